//! Reads the decision on a call off a relay's state and effects.

use std::time::Duration;

use crate::CallId;
use crate::Problem;
use crate::relay::ExplainedDecision;
use crate::relay::QuotaUse;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::SendPermission;
use crate::relay::WaitReason;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::endpoints::rests::rest_wait_until;
use crate::relay::limits::limit_waiting::latest_send;
use crate::relay::notice::millis;

/// How a call waits.
struct Wait {
    reason: WaitReason,
    ahead: Option<usize>,
    until: Duration,
}

impl Relay {
    /// Returns what became of a call.
    pub(super) fn decision(&self, id: CallId) -> ExplainedDecision {
        let Some(call) = self.calls.get(&id) else {
            return self.refusal(id);
        };
        if let Some(current) = &call.current {
            return self.sent(current);
        }
        let wait = self.wait_of(id, call);
        ExplainedDecision::Waiting {
            reason: wait.reason,
            ahead: wait.ahead,
            at_most_ms: millis(wait.until.saturating_sub(self.now)),
        }
    }

    fn sent(&self, current: &CurrentExchange) -> ExplainedDecision {
        let mut effects = self.effects.iter();
        let is_new = effects.any(|effect| {
            matches!(effect, RelayEffect::Send(command) if command.exchange == current.exchange)
        });
        let permission = self.judge_send(current.exchange, self.now);
        let sent_for = self.now.saturating_sub(current.sent_at);
        ExplainedDecision::Sent {
            instance: current.instance.clone(),
            work: current.stage.name().into(),
            sent_ms: (!is_new).then(|| millis(sent_for)),
            is_list_overdue: permission == SendPermission::ListOverdue,
        }
    }

    /// Returns the refusal of a call that has ended, from the effects that ended it.
    fn refusal(&self, id: CallId) -> ExplainedDecision {
        let is_end = |effect: &RelayEffect| match effect {
            RelayEffect::AnswerProblem { call, .. } | RelayEffect::Abort { call } => *call == id,
            _ => false,
        };
        let Some(end) = self.effects.iter().rposition(is_end) else {
            return ExplainedDecision::Declined;
        };
        let problem: Option<&Problem> = match &self.effects[end] {
            RelayEffect::AnswerProblem { problem, .. } => Some(problem),
            _ => None,
        };
        // The log line of a refusal precedes it.
        let mut before = self.effects[..end].iter().rev();
        let reason = before.find_map(|effect| match effect {
            RelayEffect::Note(RelayNotice::GivenUp { reason, .. }) => Some(*reason),
            _ => None,
        });
        let retry_after = problem.and_then(|problem| problem.retry_after);
        ExplainedDecision::Refused {
            status: problem.map(|problem| problem.kind.status()),
            problem: problem.map(|problem| problem.kind.slug().into()),
            reason: reason.unwrap_or_default().into(),
            retry_after_ms: retry_after.map(millis),
        }
    }

    /// Returns how a call waits that has no exchange.
    fn wait_of(&self, id: CallId, call: &Call) -> Wait {
        let in_queue = self.quota_wait(id, call);
        let in_queue = in_queue.or_else(|| self.memory_wait(id, call));
        let in_queue = in_queue.or_else(|| self.limit_wait(id, call));
        let in_queue = in_queue.or_else(|| self.load_wait(id, call));
        in_queue.unwrap_or_else(|| self.timed_wait(call))
    }

    fn quota_wait(&self, id: CallId, call: &Call) -> Option<Wait> {
        if call.quota_use != QuotaUse::Waiting {
            return None;
        }
        let place = self.quota_place(id);
        Some(Wait {
            reason: WaitReason::Quota,
            ahead: place.map(|place| place.ahead),
            until: place.map_or(call.due_at, |place| place.until),
        })
    }

    fn memory_wait(&self, id: CallId, call: &Call) -> Option<Wait> {
        let ahead = self.queue_order().iter().position(|other| *other == id)?;
        let reason = if self.must_wait_for_rest(call) {
            WaitReason::Rest
        } else if !self.may_reserve(call) {
            WaitReason::DecodeMemory
        } else if !self.can_prefill_in_time(call) {
            WaitReason::Prefill
        } else {
            WaitReason::ProcessCheck
        };
        Some(Wait {
            reason,
            ahead: Some(ahead),
            until: call.wait_until(),
        })
    }

    fn limit_wait(&self, id: CallId, call: &Call) -> Option<Wait> {
        let ahead = self.limited_order().iter().position(|other| *other == id)?;
        Some(Wait {
            reason: WaitReason::EndpointLimit,
            ahead: Some(ahead),
            until: latest_send(call),
        })
    }

    fn load_wait(&self, id: CallId, call: &Call) -> Option<Wait> {
        let load = self.load.services.get(&call.service)?;
        Some(Wait {
            reason: WaitReason::ServiceLimit,
            ahead: Some(load.queue.ahead_of(id)?),
            until: latest_send(call),
        })
    }

    /// Returns how a call waits that is in no queue: a timer of its own sends it.
    fn timed_wait(&self, call: &Call) -> Wait {
        let resumes = call.request.resumption.is_some() && call.route.is_stream;
        let (reason, until) = if resumes && call.stream_version.is_none() {
            (WaitReason::StreamOrigin, call.due_at)
        } else if self.must_wait_for_rest(call) {
            (WaitReason::Rest, rest_wait_until(call))
        } else {
            (WaitReason::Reach, call.reach_wait_until())
        };
        Wait {
            reason,
            ahead: None,
            until,
        }
    }
}
