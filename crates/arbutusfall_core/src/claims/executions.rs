//! Entry side of non-idempotent calls: claim, dispatch once, keep the outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::ClaimReply;
use arbutusfall_wire::ClaimRequest;
use arbutusfall_wire::ClaimVerdict;
use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RecordOutcome;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::TellOutcome;

use crate::CallId;
use crate::Counter;
use crate::Effect;
use crate::ProblemKind;
use crate::ServiceAnswer;
use crate::ServiceCall;
use crate::ServiceOrder;
use crate::calls::pick_endpoint;
use crate::claims::execution::Execution;
use crate::claims::execution::ExecutionPhase;
use crate::claims::is_expired;
use crate::claims::outcomes::KeptOutcomes;
use crate::claims::outcomes::answer;
use crate::claims::outcomes::logged;
use crate::claims::outcomes::refuse;
use crate::claims::outcomes::refuse_not_run;
use crate::claims::outcomes::refuse_undecided;
use crate::claims::outcomes::refuse_unknown;
use crate::claims::owners_of;
use crate::config::Route;
use crate::context::Context;
use crate::timers::Timer;

/// Time that a partition owner has before the next one is asked.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which expired keys are forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Most endpoints that are tried before a byte was sent.
const MAX_CONNECT_TRIES: u32 = 3;

/// Keys that were asked for at this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct Executions {
    pub(super) executions: BTreeMap<IdempotencyKey, Execution>,
    /// Calls that wait for an outcome.
    pub(super) by_call: BTreeMap<CallId, IdempotencyKey>,
    /// Calls whose request was sent to a service.
    dispatched: BTreeMap<CallId, IdempotencyKey>,
    kept: KeptOutcomes,
}

impl Executions {
    pub(crate) fn len(&self) -> usize {
        self.executions.len()
    }

    /// Calls that wait for an answer, and dispatches in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.by_call.len() + self.dispatched.len()
    }

    /// Starts a call, or joins the one that holds its key.
    pub(crate) fn start(
        &mut self,
        request: RequestId,
        asked: &ServiceCall,
        service: &Name,
        route: &Route,
        ctx: &mut Context<'_>,
    ) {
        let key = asked.idempotency_key.as_deref();
        // The header may hold the key as it is or as a quoted string.
        let key = key.and_then(|text| text.trim_matches('"').parse().ok());
        let skew = Duration::from_millis(ctx.site.claims.max_key_skew_ms);
        let usable = key.filter(|key: &IdempotencyKey| key.created_at() <= ctx.now.unix + skew);
        let Some(key) = usable else {
            refuse(asked.call, ProblemKind::KeyInvalid, ctx);
            return;
        };
        if is_expired(key, ctx) {
            refuse_undecided(asked.call, ctx);
            return;
        }
        let execution = self.executions.entry(key).or_insert_with(|| Execution {
            request,
            fingerprint: asked.fingerprint,
            service: service.clone(),
            timeout: route.timeout(),
            callers: Vec::new(),
            askers: Vec::new(),
            sole_first_attempt: asked.attempt == Some(1),
            claims_sent: 0,
            owner: 0,
            phase: ExecutionPhase::Abandoned,
        });
        if execution.fingerprint != asked.fingerprint {
            refuse(asked.call, ProblemKind::KeyReused, ctx);
            return;
        }
        execution.sole_first_attempt &= execution.request == request;
        execution.callers.push(asked.call);
        self.by_call.insert(asked.call, key);
        self.begin_claim(key, ctx);
        self.answer_if_finished(key, ctx);
    }

    /// Claims a key that is not being claimed, with the request that claimed it before if there is one.
    fn begin_claim(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        if !matches!(execution.phase, ExecutionPhase::Abandoned) {
            return;
        }
        let claim_timeout = Duration::from_millis(ctx.site.claims.claim_timeout_ms);
        let give_up_at = ctx.now.monotonic + claim_timeout;
        execution.phase = ExecutionPhase::Claiming { give_up_at };
        execution.owner = 0;
        let request = execution.request;
        ctx.set_timer(OWNER_TIMEOUT, Timer::ClaimOverdue { key, request });
        self.send_claim(key, ctx);
    }

    /// Asks a partition owner for the log's word on a key.
    pub(super) fn send_claim(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        let owners = owners_of(key, ctx);
        if owners.is_empty() {
            return;
        }
        execution.claims_sent += 1;
        let owner = &owners[execution.owner % owners.len()];
        let claim = ClaimRequest {
            key,
            request: execution.request,
            fingerprint: execution.fingerprint,
        };
        ctx.send(owner, PeerMessage::Claim(claim));
    }

    /// No verdict came: asks the next owner, or gives up.
    pub(crate) fn on_claim_overdue(
        &mut self,
        key: IdempotencyKey,
        request: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let execution = self.executions.get_mut(&key);
        let Some(execution) = execution.filter(|execution| execution.request == request) else {
            return;
        };
        let ExecutionPhase::Claiming { give_up_at } = execution.phase else {
            return;
        };
        if ctx.now.monotonic < give_up_at {
            execution.owner += 1;
            ctx.set_timer(OWNER_TIMEOUT, Timer::ClaimOverdue { key, request });
            self.send_claim(key, ctx);
            return;
        }
        execution.phase = ExecutionPhase::Abandoned;
        for call in self.take_callers(key) {
            refuse_undecided(call, ctx);
        }
    }

    fn take_callers(&mut self, key: IdempotencyKey) -> Vec<CallId> {
        let execution = self.executions.get_mut(&key);
        let callers = execution.map(|execution| std::mem::take(&mut execution.callers));
        let callers = callers.unwrap_or_default();
        for call in &callers {
            self.by_call.remove(call);
        }
        callers
    }

    /// The log's word on a claim.
    pub(crate) fn on_claimed(&mut self, reply: ClaimReply, ctx: &mut Context<'_>) {
        let key = reply.key;
        let execution = self.executions.get(&key);
        let Some(execution) = execution.filter(|execution| execution.request == reply.request)
        else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        match &execution.phase {
            ExecutionPhase::Claiming { .. } => self.on_verdict(key, reply.verdict, ctx),
            ExecutionPhase::Abandoned => match reply.verdict {
                ClaimVerdict::Won => self.finish(key, Outcome::NotRun, ctx),
                ClaimVerdict::Lost { .. } => {
                    self.executions.remove(&key);
                }
                ClaimVerdict::LogUnavailable { .. } => {}
            },
            ExecutionPhase::Asking { .. } => match reply.verdict {
                ClaimVerdict::Lost { outcome, .. } => self.on_looked_up(key, outcome, ctx),
                ClaimVerdict::LogUnavailable { .. } => self.on_looked_up(key, None, ctx),
                ClaimVerdict::Won => ctx.count(Counter::StaleMessages),
            },
            ExecutionPhase::Dispatched { .. } | ExecutionPhase::Finished { .. } => {
                ctx.count(Counter::StaleMessages);
            }
        }
    }

    /// The verdict on a claim that calls wait for.
    fn on_verdict(&mut self, key: IdempotencyKey, verdict: ClaimVerdict, ctx: &mut Context<'_>) {
        match verdict {
            ClaimVerdict::Won => {
                ctx.count(Counter::ClaimsWon);
                self.dispatch_first(key, ctx);
            }
            ClaimVerdict::Lost {
                vm,
                holder,
                fingerprint,
                outcome,
            } => {
                ctx.count(Counter::ClaimsLost);
                let Some(execution) = self.executions.get(&key) else {
                    return;
                };
                if execution.fingerprint != fingerprint {
                    self.refuse_reused(key, ctx);
                    return;
                }
                let is_own = execution.request == holder;
                match outcome {
                    // A long body is not on the log, but its holder may still have it.
                    Some(Outcome::Unknown) | None if !is_own => self.ask(key, vm, holder, ctx),
                    outcome => self.learn(key, outcome.unwrap_or(Outcome::Unknown), ctx),
                }
            }
            ClaimVerdict::LogUnavailable { retry_after } => {
                self.refuse_unclaimed(key, retry_after, ctx);
            }
        }
    }

    /// Another request for something else holds the key.
    fn refuse_reused(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        for call in self.take_callers(key) {
            refuse(call, ProblemKind::KeyReused, ctx);
        }
        self.executions.remove(&key);
    }

    /// One owner did not offer the claim to the log.
    ///
    /// That proves that the key was not run only if no other call brought it and no other owner was asked.
    fn refuse_unclaimed(
        &mut self,
        key: IdempotencyKey,
        retry_after: Duration,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        let unoffered = execution.claims_sent == 1;
        let proved = execution.sole_first_attempt && unoffered;
        execution.phase = ExecutionPhase::Abandoned;
        for call in self.take_callers(key) {
            if proved {
                refuse_not_run(call, retry_after, ctx);
            } else {
                refuse_unknown(call, retry_after, ctx);
            }
        }
        if unoffered {
            self.executions.remove(&key);
        }
    }

    /// Dispatches a claim that won, unless the key has become too old meanwhile.
    fn dispatch_first(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        if is_expired(key, ctx) {
            self.finish(key, Outcome::Unknown, ctx);
            return;
        }
        self.dispatch(key, 0, Vec::new(), ctx);
    }

    /// Sends the call to an endpoint; before that no byte of it reached one.
    fn dispatch(
        &mut self,
        key: IdempotencyKey,
        tries: u32,
        failed: Vec<Name>,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        // Any caller's body serves, because all asked for the same; without callers there is none.
        let call = execution.callers.first().copied();
        let endpoint = pick_endpoint(ctx.site, &execution.service, &failed, tries as usize);
        let (Some(call), Some(endpoint)) = (call, endpoint) else {
            self.finish(key, Outcome::NotRun, ctx);
            return;
        };
        if tries >= MAX_CONNECT_TRIES {
            self.finish(key, Outcome::NotRun, ctx);
            return;
        }
        let attempt = tries + 1;
        if attempt == 1 {
            ctx.count(Counter::ClaimsDispatched);
        }
        ctx.push(Effect::CallService(ServiceOrder {
            call,
            attempt,
            address: ctx.site.endpoints[&endpoint].address,
            endpoint: endpoint.clone(),
            timeout: execution.timeout,
            key: Some(key),
        }));
        execution.phase = ExecutionPhase::Dispatched {
            call,
            tries: attempt,
            failed,
            endpoint,
        };
        self.dispatched.insert(call, key);
    }

    /// Key of a call that was sent to a service with this attempt.
    fn dispatched_key(&self, call: CallId, attempt: u32) -> Option<IdempotencyKey> {
        let key = *self.dispatched.get(&call)?;
        let execution = self.executions.get(&key)?;
        match &execution.phase {
            ExecutionPhase::Dispatched {
                call: sent, tries, ..
            } if *sent == call && *tries == attempt => Some(key),
            _ => None,
        }
    }

    /// The service answered; false if the call is not a non-idempotent one.
    pub(crate) fn on_answered(
        &mut self,
        call: CallId,
        attempt: u32,
        answer: &ServiceAnswer,
        ctx: &mut Context<'_>,
    ) -> bool {
        let Some(key) = self.dispatched_key(call, attempt) else {
            return false;
        };
        let outcome = Outcome::Answered {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone(),
        };
        self.finish(key, outcome, ctx);
        true
    }

    /// The service did not answer; false if the call is not a non-idempotent one.
    pub(crate) fn on_failed(
        &mut self,
        call: CallId,
        attempt: u32,
        sent: bool,
        ctx: &mut Context<'_>,
    ) -> bool {
        let Some(key) = self.dispatched_key(call, attempt) else {
            return false;
        };
        if sent {
            self.finish(key, Outcome::Unknown, ctx);
            return true;
        }
        self.dispatched.remove(&call);
        let Some(execution) = self.executions.get_mut(&key) else {
            return true;
        };
        if let ExecutionPhase::Dispatched {
            failed, endpoint, ..
        } = &mut execution.phase
        {
            let mut failed = std::mem::take(failed);
            failed.push(endpoint.clone());
            self.dispatch(key, attempt, failed, ctx);
        }
        true
    }

    /// Records the outcome of a claim that this VM holds and answers everybody who waits.
    pub(super) fn finish(&mut self, key: IdempotencyKey, outcome: Outcome, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get(&key) else {
            return;
        };
        if let ExecutionPhase::Dispatched { call, .. } = execution.phase {
            self.dispatched.remove(&call);
        }
        let record = RecordOutcome {
            key,
            request: execution.request,
            outcome: logged(&outcome),
        };
        if let Some(owner) = owners_of(key, ctx).first() {
            ctx.send(owner, PeerMessage::RecordOutcome(record));
        }
        self.learn(key, outcome, ctx);
    }

    /// Takes an outcome over and answers everybody who waits.
    pub(super) fn learn(&mut self, key: IdempotencyKey, outcome: Outcome, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        debug_assert!(!execution.is_finished());
        self.kept.push(key, &outcome);
        execution.phase = ExecutionPhase::Finished { outcome };
        self.answer_if_finished(key, ctx);
        while let Some(oldest) = self.kept.pop_excess() {
            self.executions.remove(&oldest);
        }
    }

    pub(super) fn answer_if_finished(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        let ExecutionPhase::Finished { outcome } = &execution.phase else {
            return;
        };
        for call in std::mem::take(&mut execution.callers) {
            self.by_call.remove(&call);
            answer(call, outcome, ctx);
        }
        for (vm, asker) in std::mem::take(&mut execution.askers) {
            let told = TellOutcome {
                key,
                asker,
                outcome: outcome.clone(),
            };
            ctx.send(&vm, PeerMessage::TellOutcome(told));
        }
    }

    /// Forgets keys at an interval whose age is beyond the claim window.
    pub(crate) fn on_sweep_timer(&mut self, ctx: &mut Context<'_>) {
        self.executions
            .retain(|key, execution| !(execution.is_settled() && is_expired(*key, ctx)));
        let executions = &self.executions;
        self.kept.retain(|key| executions.contains_key(key));
        ctx.set_timer(SWEEP_INTERVAL, Timer::SweepClaims);
    }

    /// Nobody waits for this call's answer any more.
    ///
    /// What was sent to a service goes on; a claim that no other call waits for is not dispatched.
    pub(crate) fn on_caller_gone(&mut self, call: CallId) {
        let Some(key) = self.by_call.remove(&call) else {
            return;
        };
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        execution.callers.retain(|waiting| *waiting != call);
        let claiming = matches!(execution.phase, ExecutionPhase::Claiming { .. });
        if claiming && execution.callers.is_empty() {
            execution.phase = ExecutionPhase::Abandoned;
        }
    }
}
