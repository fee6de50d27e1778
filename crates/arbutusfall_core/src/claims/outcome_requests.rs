//! Outcome of a key that another request holds: requested from the holder's VM, then from the log if that VM doesn't
//! know it or doesn't reply.

use std::time::Duration;

use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::OutcomeReply;
use arbutusfall_wire::OutcomeRequest;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RequestId;

use crate::Counter;
use crate::claims::KeyedCalls;
use crate::claims::key_state::KeyPhase;
use crate::claims::outcomes::refuse_unknown;
use crate::context::Context;
use crate::timers::Timer;

/// Time that the holder's VM has to send an outcome, beyond the route's own timeout.
const OUTCOME_REQUEST_GRACE: Duration = Duration::from_secs(1);

/// Interval at which the outcome is requested again: from the holder's VM or, if `log_only`, from the next partition
/// owner.
const OUTCOME_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

impl KeyedCalls {
    /// Starts waiting for the outcome of a claim that another request holds.
    pub(super) fn await_outcome(
        &mut self,
        key: IdempotencyKey,
        holder_vm: Name,
        holder: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        state.phase = KeyPhase::AwaitingOutcome {
            holder_vm,
            holder,
            deadline: ctx.now.monotonic + state.timeout + OUTCOME_REQUEST_GRACE,
            log_only: false,
        };
        self.request_outcome(key, ctx);
    }

    /// Requests the outcome from the holder's VM or, if `log_only`, from a partition owner.
    fn request_outcome(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(state) = self.keys.get(&key) else {
            return;
        };
        let KeyPhase::AwaitingOutcome {
            holder_vm,
            holder,
            log_only,
            ..
        } = &state.phase
        else {
            return;
        };
        let request = state.request;
        ctx.set_timer(
            OUTCOME_REQUEST_INTERVAL,
            Timer::OutcomeOverdue { key, request },
        );
        if *log_only {
            // A resent claim makes the owner read the outcome from the log.
            self.send_claim(key, ctx);
            return;
        }
        let query = OutcomeRequest {
            key,
            holder: *holder,
            requester: request,
        };
        ctx.send(holder_vm, PeerMessage::OutcomeRequest(query));
    }

    /// Handles another VM's request for the outcome of a claim that this VM holds according to the log.
    pub(crate) fn on_outcome_request(
        &mut self,
        from: &Name,
        query: OutcomeRequest,
        ctx: &mut Context<'_>,
    ) {
        let key = query.key;
        let state = self.keys.get_mut(&key);
        let Some(state) = state.filter(|state| state.request == query.holder) else {
            // An earlier process of this VM held the claim, or its outcome was evicted here.
            let reply = OutcomeReply {
                key,
                requester: query.requester,
                outcome: Outcome::Unknown,
            };
            ctx.send(from, PeerMessage::OutcomeReply(reply));
            return;
        };
        let requester = (from.clone(), query.requester);
        if !state.requesters.contains(&requester) {
            state.requesters.push(requester);
        }
        if matches!(state.phase, KeyPhase::Idle) {
            // The request shows that the claim won, and it was never dispatched.
            self.finish(key, Outcome::NotRun, ctx);
            return;
        }
        self.answer_if_finished(key, ctx);
    }

    /// Handles the reply of the holder's VM to an outcome request.
    pub(crate) fn on_outcome_reply(&mut self, reply: OutcomeReply, ctx: &mut Context<'_>) {
        let key = reply.key;
        let state = self.keys.get_mut(&key);
        let Some(state) = state.filter(|state| state.request == reply.requester) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        let KeyPhase::AwaitingOutcome { log_only, .. } = &mut state.phase else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        if reply.outcome != Outcome::Unknown {
            self.set_outcome(key, reply.outcome, ctx);
        } else if !*log_only {
            *log_only = true;
            // A resent claim makes the owner read the outcome from the log.
            self.send_claim(key, ctx);
        }
    }

    /// Handles the outcome that a partition owner read from the log; `None` if the log has none or is unavailable.
    pub(super) fn on_log_lookup(
        &mut self,
        key: IdempotencyKey,
        outcome: Option<Outcome>,
        ctx: &mut Context<'_>,
    ) {
        let Some(state) = self.keys.get(&key) else {
            return;
        };
        let KeyPhase::AwaitingOutcome { log_only, .. } = state.phase else {
            return;
        };
        match outcome {
            Some(Outcome::Unknown) | None if log_only => self.remove_as_unknown(key, ctx),
            Some(Outcome::Unknown) | None => {}
            Some(outcome) => self.set_outcome(key, outcome, ctx),
        }
    }

    /// Handles the timeout of an outcome request: resends it until the deadline, then asks only the log, and after one
    /// more interval ends the calls.
    pub(crate) fn on_outcome_overdue(
        &mut self,
        key: IdempotencyKey,
        request: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let state = self.keys.get_mut(&key);
        let Some(state) = state.filter(|state| state.request == request) else {
            return;
        };
        let KeyPhase::AwaitingOutcome {
            deadline, log_only, ..
        } = &mut state.phase
        else {
            return;
        };
        if ctx.now.monotonic < *deadline {
            state.owner_rank += usize::from(*log_only);
            self.request_outcome(key, ctx);
            return;
        }
        if *log_only {
            self.remove_as_unknown(key, ctx);
            return;
        }
        // The holder's VM doesn't reply: only the log is asked, for one more interval.
        *log_only = true;
        *deadline = ctx.now.monotonic + OUTCOME_REQUEST_INTERVAL;
        ctx.count(Counter::HoldersSilent);
        self.request_outcome(key, ctx);
    }

    /// Removes the key and refuses its waiting calls with an unknown outcome.
    ///
    /// Other VMs waiting for the outcome get no reply and request it again. A later call with the key claims it again.
    fn remove_as_unknown(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(state) = self.keys.remove(&key) else {
            return;
        };
        for call in state.waiting_calls {
            self.key_of_call.remove(&call);
            refuse_unknown(call, ctx);
        }
    }
}
