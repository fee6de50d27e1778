//! What became of a key that another request holds: its VM is asked, and the log when that VM cannot tell.

use std::time::Duration;

use arbutusfall_wire::AskOutcome;
use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::TellOutcome;

use crate::Counter;
use crate::claims::Executions;
use crate::claims::execution::ExecutionPhase;
use crate::claims::outcomes::refuse_undecided;
use crate::context::Context;
use crate::timers::Timer;

/// Time that a claim's holder has to tell an outcome, beyond the route's own timeout.
const ASK_GRACE: Duration = Duration::from_secs(1);

/// Interval at which the holder is asked again, or the next partition owner when the holder is lost.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

impl Executions {
    /// Asks the holder of the claim for its outcome.
    pub(super) fn ask(
        &mut self,
        key: IdempotencyKey,
        vm: Name,
        holder: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        execution.phase = ExecutionPhase::Asking {
            vm,
            holder,
            give_up_at: ctx.now.monotonic + execution.timeout + ASK_GRACE,
            holder_lost: false,
        };
        self.send_ask(key, ctx);
    }

    /// Asks the holder, or the log if the holder cannot tell.
    fn send_ask(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get(&key) else {
            return;
        };
        let ExecutionPhase::Asking {
            vm,
            holder,
            holder_lost,
            ..
        } = &execution.phase
        else {
            return;
        };
        let request = execution.request;
        ctx.set_timer(ASK_INTERVAL, Timer::OutcomeOverdue { key, request });
        if *holder_lost {
            self.send_claim(key, ctx);
            return;
        }
        let asked = AskOutcome {
            key,
            holder: *holder,
            asker: request,
        };
        ctx.send(vm, PeerMessage::AskOutcome(asked));
    }

    /// Another VM asks what became of a claim that this VM's process should hold.
    pub(crate) fn on_ask(&mut self, from: &Name, asked: AskOutcome, ctx: &mut Context<'_>) {
        let key = asked.key;
        let execution = self.executions.get_mut(&key);
        let Some(execution) = execution.filter(|execution| execution.request == asked.holder)
        else {
            // An earlier process of this VM held the claim, or its outcome is no longer kept here.
            let told = TellOutcome {
                key,
                asker: asked.asker,
                outcome: Outcome::Unknown,
            };
            ctx.send(from, PeerMessage::TellOutcome(told));
            return;
        };
        let asker = (from.clone(), asked.asker);
        if !execution.askers.contains(&asker) {
            execution.askers.push(asker);
        }
        if matches!(execution.phase, ExecutionPhase::Abandoned) {
            // The question shows that the claim won, and it was never dispatched.
            self.finish(key, Outcome::NotRun, ctx);
            return;
        }
        self.answer_if_finished(key, ctx);
    }

    /// The holder of a claim told its outcome.
    pub(crate) fn on_told(&mut self, told: TellOutcome, ctx: &mut Context<'_>) {
        let key = told.key;
        let execution = self.executions.get_mut(&key);
        let Some(execution) = execution.filter(|execution| execution.request == told.asker) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        let ExecutionPhase::Asking { holder_lost, .. } = &mut execution.phase else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        if told.outcome != Outcome::Unknown {
            self.learn(key, told.outcome, ctx);
        } else if !*holder_lost {
            *holder_lost = true;
            self.send_claim(key, ctx);
        }
    }

    /// The log's word on a key whose holder was asked.
    pub(super) fn on_looked_up(
        &mut self,
        key: IdempotencyKey,
        outcome: Option<Outcome>,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get(&key) else {
            return;
        };
        let ExecutionPhase::Asking { holder_lost, .. } = execution.phase else {
            return;
        };
        match outcome {
            Some(Outcome::Unknown) | None if holder_lost => self.conclude_unknown(key, ctx),
            Some(Outcome::Unknown) | None => {}
            Some(outcome) => self.learn(key, outcome, ctx),
        }
    }

    /// No outcome was told for a while.
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
        let ExecutionPhase::Asking {
            give_up_at,
            holder_lost,
            ..
        } = &mut execution.phase
        else {
            return;
        };
        if ctx.now.monotonic < *give_up_at {
            execution.owner += usize::from(*holder_lost);
            self.send_ask(key, ctx);
            return;
        }
        if *holder_lost {
            self.conclude_unknown(key, ctx);
            return;
        }
        // The holder is silent: the log has the last word, within one more interval.
        *holder_lost = true;
        *give_up_at = ctx.now.monotonic + ASK_INTERVAL;
        ctx.count(Counter::HoldersSilent);
        self.send_ask(key, ctx);
    }

    /// Answers that the outcome is unknown; the next repeat of the key asks again.
    fn conclude_unknown(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.remove(&key) else {
            return;
        };
        for call in execution.callers {
            self.by_call.remove(&call);
            refuse_undecided(call, ctx);
        }
    }
}
