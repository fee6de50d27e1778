//! Outcome of a key that another request holds: requested from the holder's VM, then from the log if that VM
//! doesn't know it or is silent.

use std::time::Duration;

use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::OutcomeReply;
use arbutusfall_wire::OutcomeRequest;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RequestId;

use crate::Counter;
use crate::claims::Executions;
use crate::claims::execution::ExecutionPhase;
use crate::claims::outcomes::refuse_undecided;
use crate::context::Context;
use crate::timers::Timer;

/// Time that a claim's holder has to send an outcome, beyond the route's own timeout.
const OUTCOME_REQUEST_GRACE: Duration = Duration::from_secs(1);

/// Interval at which the request to the holder, or to the next partition owner if the holder is lost, is repeated.
const OUTCOME_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

impl Executions {
    /// Starts waiting for the outcome of a claim that another request holds.
    pub(super) fn await_outcome(
        &mut self,
        key: IdempotencyKey,
        vm: Name,
        holder: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        execution.phase = ExecutionPhase::AwaitingOutcome {
            vm,
            holder,
            deadline: ctx.now.monotonic + execution.timeout + OUTCOME_REQUEST_GRACE,
            holder_lost: false,
        };
        self.request_outcome(key, ctx);
    }

    /// Requests the outcome from the holder, or from a partition owner if the holder is lost.
    fn request_outcome(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get(&key) else {
            return;
        };
        let ExecutionPhase::AwaitingOutcome {
            vm,
            holder,
            holder_lost,
            ..
        } = &execution.phase
        else {
            return;
        };
        let request = execution.request;
        ctx.set_timer(
            OUTCOME_REQUEST_INTERVAL,
            Timer::OutcomeOverdue { key, request },
        );
        if *holder_lost {
            self.send_claim(key, ctx);
            return;
        }
        let query = OutcomeRequest {
            key,
            holder: *holder,
            requester: request,
        };
        ctx.send(vm, PeerMessage::OutcomeRequest(query));
    }

    /// Handles another VM's request for the outcome of a claim that this process should hold.
    pub(crate) fn on_outcome_request(
        &mut self,
        from: &Name,
        query: OutcomeRequest,
        ctx: &mut Context<'_>,
    ) {
        let key = query.key;
        let execution = self.executions.get_mut(&key);
        let Some(execution) = execution.filter(|execution| execution.request == query.holder)
        else {
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
        if !execution.requesters.contains(&requester) {
            execution.requesters.push(requester);
        }
        if matches!(execution.phase, ExecutionPhase::Abandoned) {
            // The request shows that the claim won, and it was never dispatched.
            self.finish(key, Outcome::NotRun, ctx);
            return;
        }
        self.answer_if_finished(key, ctx);
    }

    /// Handles the holder's reply to an outcome request.
    pub(crate) fn on_outcome_reply(&mut self, reply: OutcomeReply, ctx: &mut Context<'_>) {
        let key = reply.key;
        let execution = self.executions.get_mut(&key);
        let Some(execution) = execution.filter(|execution| execution.request == reply.requester)
        else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        let ExecutionPhase::AwaitingOutcome { holder_lost, .. } = &mut execution.phase else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        if reply.outcome != Outcome::Unknown {
            self.set_outcome(key, reply.outcome, ctx);
        } else if !*holder_lost {
            *holder_lost = true;
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
        let Some(execution) = self.executions.get(&key) else {
            return;
        };
        let ExecutionPhase::AwaitingOutcome { holder_lost, .. } = execution.phase else {
            return;
        };
        match outcome {
            Some(Outcome::Unknown) | None if holder_lost => self.remove_undecided(key, ctx),
            Some(Outcome::Unknown) | None => {}
            Some(outcome) => self.set_outcome(key, outcome, ctx),
        }
    }

    /// Handles the timeout of an outcome request: repeats it until the deadline, then asks only the log, then gives up.
    pub(crate) fn on_outcome_overdue(
        &mut self,
        key: IdempotencyKey,
        request: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let execution = self.executions.get_mut(&key);
        let Some(execution) = execution.filter(|execution| execution.request == request) else {
            return;
        };
        let ExecutionPhase::AwaitingOutcome {
            deadline,
            holder_lost,
            ..
        } = &mut execution.phase
        else {
            return;
        };
        if ctx.now.monotonic < *deadline {
            execution.owner_rank += usize::from(*holder_lost);
            self.request_outcome(key, ctx);
            return;
        }
        if *holder_lost {
            self.remove_undecided(key, ctx);
            return;
        }
        // The holder is silent: only the log is asked, for one more interval.
        *holder_lost = true;
        *deadline = ctx.now.monotonic + OUTCOME_REQUEST_INTERVAL;
        ctx.count(Counter::HoldersSilent);
        self.request_outcome(key, ctx);
    }

    /// Removes the key and answers its callers that the outcome is unknown; a later repeat starts over.
    fn remove_undecided(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.remove(&key) else {
            return;
        };
        for call in execution.callers {
            self.waiting_calls.remove(&call);
            refuse_undecided(call, ctx);
        }
    }
}
