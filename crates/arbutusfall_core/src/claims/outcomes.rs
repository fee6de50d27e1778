//! Memory limit of the outcome cache, and the answers to callers.

use std::collections::VecDeque;
use std::time::Duration;

use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Outcome;

use crate::CallId;
use crate::Counter;
use crate::Effect;
use crate::Problem;
use crate::ProblemKind;
use crate::ServiceAnswer;
use crate::context::Context;

/// Retry delay sent with [`ProblemKind::OutcomeUnknown`] and [`ProblemKind::NotRun`], unless the partition owner gave
/// another one.
const OUTCOME_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum size of a body that is written to the log.
const MAX_LOGGED_BODY_BYTES: usize = 16 * 1024;

/// Maximum size of all outcomes that one VM caches.
const MAX_CACHED_BYTES: usize = 32 * 1024 * 1024;

/// Approximate memory of a cached outcome besides its body.
const OUTCOME_OVERHEAD_BYTES: usize = 512;

/// Keys and sizes of the outcomes cached in [`KeyPhase::Finished`](crate::claims::key_state::KeyPhase::Finished), to
/// bound their memory.
#[derive(Debug, Clone, Default)]
pub(super) struct OutcomeSizes {
    oldest_first: VecDeque<(IdempotencyKey, usize)>,
    /// Invariant: the sum of the sizes in `oldest_first`.
    total_bytes: usize,
}

impl OutcomeSizes {
    pub(super) fn push(&mut self, key: IdempotencyKey, outcome: &Outcome) {
        let body_bytes = match outcome {
            Outcome::Answered { body, .. } => body.as_bytes().len(),
            Outcome::NotRun | Outcome::Unknown => 0,
        };
        self.oldest_first
            .push_back((key, OUTCOME_OVERHEAD_BYTES + body_bytes));
        self.total_bytes += OUTCOME_OVERHEAD_BYTES + body_bytes;
    }

    /// Removes and returns the oldest key if the outcomes exceed [`MAX_CACHED_BYTES`]. The caller removes its outcome.
    pub(super) fn pop_excess(&mut self) -> Option<IdempotencyKey> {
        if self.total_bytes <= MAX_CACHED_BYTES {
            return None;
        }
        let (key, bytes) = self.oldest_first.pop_front()?;
        self.total_bytes -= bytes;
        Some(key)
    }

    pub(super) fn retain(&mut self, is_kept: impl Fn(&IdempotencyKey) -> bool) {
        self.oldest_first.retain(|(key, _)| is_kept(key));
        self.total_bytes = self.oldest_first.iter().map(|(_, bytes)| bytes).sum();
    }
}

/// Returns the outcome to write to the log: [`Outcome::Unknown`] instead of a long body.
pub(super) fn outcome_for_log(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Answered { body, .. } if body.as_bytes().len() > MAX_LOGGED_BODY_BYTES => {
            Outcome::Unknown
        }
        outcome => outcome.clone(),
    }
}

pub(super) fn answer(call: CallId, outcome: &Outcome, ctx: &mut Context<'_>) {
    match outcome {
        Outcome::Answered {
            status,
            content_type,
            body,
        } => {
            ctx.count(Counter::CallsAnswered);
            let answer = ServiceAnswer {
                status: *status,
                content_type: content_type.clone(),
                body: body.clone(),
            };
            ctx.push(Effect::Answer { call, answer });
        }
        Outcome::NotRun => refuse_not_run(call, OUTCOME_RETRY_AFTER, ctx),
        Outcome::Unknown => refuse_unknown_with_delay(call, OUTCOME_RETRY_AFTER, ctx),
    }
}

pub(super) fn refuse_not_run(call: CallId, retry_after: Duration, ctx: &mut Context<'_>) {
    ctx.count(Counter::AnsweredNotRun);
    let problem = Problem::retry(ProblemKind::NotRun, retry_after);
    ctx.push(Effect::AnswerProblem { call, problem });
}

pub(super) fn refuse_unknown_with_delay(
    call: CallId,
    retry_after: Duration,
    ctx: &mut Context<'_>,
) {
    ctx.count(Counter::AnsweredUnknown);
    let problem = Problem::retry(ProblemKind::OutcomeUnknown, retry_after);
    ctx.push(Effect::AnswerProblem { call, problem });
}

/// Refuses a call without a retry delay.
pub(super) fn refuse(call: CallId, kind: ProblemKind, ctx: &mut Context<'_>) {
    let problem = Problem::new(kind);
    ctx.push(Effect::AnswerProblem { call, problem });
}

/// Refuses a call with an unknown outcome and the default retry delay.
pub(super) fn refuse_unknown(call: CallId, ctx: &mut Context<'_>) {
    refuse_unknown_with_delay(call, OUTCOME_RETRY_AFTER, ctx);
}
