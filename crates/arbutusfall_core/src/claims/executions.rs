//! Non-idempotent calls at the VM that received them: claims the key, dispatches once, caches the outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::ClaimReply;
use arbutusfall_wire::ClaimRequest;
use arbutusfall_wire::ClaimVerdict;
use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::OutcomeReply;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RecordOutcome;
use arbutusfall_wire::RequestId;

use crate::CallId;
use crate::Counter;
use crate::Effect;
use crate::ProblemKind;
use crate::ServiceAnswer;
use crate::ServiceCall;
use crate::ServiceCommand;
use crate::calls::pick_endpoint;
use crate::claims::execution::Execution;
use crate::claims::execution::ExecutionPhase;
use crate::claims::is_expired;
use crate::claims::outcomes::OutcomeCache;
use crate::claims::outcomes::answer;
use crate::claims::outcomes::outcome_for_log;
use crate::claims::outcomes::refuse;
use crate::claims::outcomes::refuse_not_run;
use crate::claims::outcomes::refuse_undecided;
use crate::claims::outcomes::refuse_unknown;
use crate::claims::owners_of;
use crate::config::Route;
use crate::context::Context;
use crate::timers::Timer;

/// Time that a partition owner has to reply before the claim goes to the next one.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which expired keys are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum attempts to connect to an endpoint; a call is never resent after a byte of it was sent.
const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// Keys of the non-idempotent calls that this VM received.
#[derive(Debug, Clone, Default)]
pub(crate) struct Executions {
    pub(super) executions: BTreeMap<IdempotencyKey, Execution>,
    /// Calls waiting for an outcome.
    pub(super) waiting_calls: BTreeMap<CallId, IdempotencyKey>,
    /// Calls whose request was sent to a service.
    dispatched: BTreeMap<CallId, IdempotencyKey>,
    outcome_cache: OutcomeCache,
}

impl Executions {
    pub(crate) fn len(&self) -> usize {
        self.executions.len()
    }

    /// Returns the number of calls waiting for an outcome plus the number of dispatches in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.waiting_calls.len() + self.dispatched.len()
    }

    /// Starts a call, or joins the earlier calls of its key.
    pub(crate) fn start(
        &mut self,
        request: RequestId,
        service_call: &ServiceCall,
        service: &Name,
        route: &Route,
        ctx: &mut Context<'_>,
    ) {
        let key = service_call.idempotency_key.as_deref();
        // The header may contain the key bare or as a quoted string.
        let key = key.and_then(|text| text.trim_matches('"').parse().ok());
        let skew = Duration::from_millis(ctx.site.claims.max_key_skew_ms);
        let usable = key.filter(|key: &IdempotencyKey| key.created_at() <= ctx.now.unix + skew);
        let Some(key) = usable else {
            refuse(service_call.call, ProblemKind::KeyInvalid, ctx);
            return;
        };
        if is_expired(key, ctx) {
            refuse_undecided(service_call.call, ctx);
            return;
        }
        let execution = self.executions.entry(key).or_insert_with(|| Execution {
            request,
            fingerprint: service_call.fingerprint,
            service: service.clone(),
            timeout: route.timeout(),
            callers: Vec::new(),
            requesters: Vec::new(),
            sole_first_attempt: service_call.attempt == Some(1),
            claims_sent: 0,
            owner_rank: 0,
            phase: ExecutionPhase::Abandoned,
        });
        if execution.fingerprint != service_call.fingerprint {
            refuse(service_call.call, ProblemKind::KeyReused, ctx);
            return;
        }
        execution.sole_first_attempt &= execution.request == request;
        execution.callers.push(service_call.call);
        self.waiting_calls.insert(service_call.call, key);
        self.begin_claim(key, ctx);
        self.answer_if_finished(key, ctx);
    }

    /// Claims an abandoned or new key, with the request of the earlier claim if there is one.
    fn begin_claim(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        if !matches!(execution.phase, ExecutionPhase::Abandoned) {
            return;
        }
        let claim_timeout = Duration::from_millis(ctx.site.claims.claim_timeout_ms);
        let deadline = ctx.now.monotonic + claim_timeout;
        execution.phase = ExecutionPhase::Claiming { deadline };
        execution.owner_rank = 0;
        let request = execution.request;
        ctx.set_timer(OWNER_TIMEOUT, Timer::ClaimOverdue { key, request });
        self.send_claim(key, ctx);
    }

    /// Sends the claim to a partition owner, whose reply says which request holds the key on the log.
    pub(super) fn send_claim(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        let owners = owners_of(key, ctx);
        if owners.is_empty() {
            return;
        }
        execution.claims_sent += 1;
        let owner = &owners[execution.owner_rank % owners.len()];
        let claim = ClaimRequest {
            key,
            request: execution.request,
            fingerprint: execution.fingerprint,
        };
        ctx.send(owner, PeerMessage::Claim(claim));
    }

    /// Handles a missing verdict: sends the claim to the next owner, or abandons it after the deadline.
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
        let ExecutionPhase::Claiming { deadline } = execution.phase else {
            return;
        };
        if ctx.now.monotonic < deadline {
            execution.owner_rank += 1;
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
            self.waiting_calls.remove(call);
        }
        callers
    }

    /// Handles a partition owner's reply to a claim.
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
            ExecutionPhase::AwaitingOutcome { .. } => match reply.verdict {
                ClaimVerdict::Lost { outcome, .. } => self.on_log_lookup(key, outcome, ctx),
                ClaimVerdict::LogUnavailable { .. } => self.on_log_lookup(key, None, ctx),
                ClaimVerdict::Won => ctx.count(Counter::StaleMessages),
            },
            ExecutionPhase::Dispatched { .. } | ExecutionPhase::Finished { .. } => {
                ctx.count(Counter::StaleMessages);
            }
        }
    }

    /// Handles the verdict on a claim with waiting calls.
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
                    // A long body is not on the log, but the holder may still have it cached.
                    Some(Outcome::Unknown) | None if !is_own => {
                        self.await_outcome(key, vm, holder, ctx)
                    }
                    outcome => self.set_outcome(key, outcome.unwrap_or(Outcome::Unknown), ctx),
                }
            }
            ClaimVerdict::LogUnavailable { retry_after } => {
                self.refuse_unclaimed(key, retry_after, ctx);
            }
        }
    }

    /// Refuses the calls of a key that is held by a request with another fingerprint.
    fn refuse_reused(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        for call in self.take_callers(key) {
            refuse(call, ProblemKind::KeyReused, ctx);
        }
        self.executions.remove(&key);
    }

    /// Handles an owner that did not offer the claim to the log.
    ///
    /// This proves that the key was not run only if no other call used it and no other owner received the claim.
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
        let proven_not_run = execution.sole_first_attempt && unoffered;
        execution.phase = ExecutionPhase::Abandoned;
        for call in self.take_callers(key) {
            if proven_not_run {
                refuse_not_run(call, retry_after, ctx);
            } else {
                refuse_unknown(call, retry_after, ctx);
            }
        }
        if unoffered {
            self.executions.remove(&key);
        }
    }

    /// Dispatches a claim that won, unless the key has expired since.
    fn dispatch_first(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        if is_expired(key, ctx) {
            self.finish(key, Outcome::Unknown, ctx);
            return;
        }
        self.dispatch(key, 0, Vec::new(), ctx);
    }

    /// Sends the call to an endpoint. No byte of it may have been sent before.
    fn dispatch(
        &mut self,
        key: IdempotencyKey,
        attempts_made: u32,
        failed_endpoints: Vec<Name>,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        // Any caller's body will do because the fingerprints are equal; without callers there is no body to send.
        let call = execution.callers.first().copied();
        let endpoint = pick_endpoint(
            ctx.site,
            &execution.service,
            &failed_endpoints,
            attempts_made as usize,
        );
        let (Some(call), Some(endpoint)) = (call, endpoint) else {
            self.finish(key, Outcome::NotRun, ctx);
            return;
        };
        if attempts_made >= MAX_CONNECT_ATTEMPTS {
            self.finish(key, Outcome::NotRun, ctx);
            return;
        }
        let attempt = attempts_made + 1;
        if attempt == 1 {
            ctx.count(Counter::ClaimsDispatched);
        }
        ctx.push(Effect::CallService(ServiceCommand {
            call,
            attempt,
            address: ctx.site.endpoints[&endpoint].address,
            endpoint: endpoint.clone(),
            timeout: execution.timeout,
            key: Some(key),
        }));
        execution.phase = ExecutionPhase::Dispatched {
            call,
            attempts_made: attempt,
            failed_endpoints,
            endpoint,
        };
        self.dispatched.insert(call, key);
    }

    /// Returns the key of a dispatched call if the attempt is its current one.
    fn dispatched_key(&self, call: CallId, attempt: u32) -> Option<IdempotencyKey> {
        let key = *self.dispatched.get(&call)?;
        let execution = self.executions.get(&key)?;
        match &execution.phase {
            ExecutionPhase::Dispatched {
                call: sent,
                attempts_made,
                ..
            } if *sent == call && *attempts_made == attempt => Some(key),
            _ => None,
        }
    }

    /// Handles a service's answer. Returns false if the call is not non-idempotent.
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

    /// Handles a failed attempt; `sent` if a byte may have reached the service. Returns false if the call is not
    /// non-idempotent.
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
            failed_endpoints,
            endpoint,
            ..
        } = &mut execution.phase
        {
            let mut failed_endpoints = std::mem::take(failed_endpoints);
            failed_endpoints.push(endpoint.clone());
            self.dispatch(key, attempt, failed_endpoints, ctx);
        }
        true
    }

    /// Sends the outcome of a claim that this VM holds to the log, and answers all waiting calls and requests.
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
            outcome: outcome_for_log(&outcome),
        };
        if let Some(owner) = owners_of(key, ctx).first() {
            ctx.send(owner, PeerMessage::RecordOutcome(record));
        }
        self.set_outcome(key, outcome, ctx);
    }

    /// Caches an outcome and answers all waiting calls and requests.
    pub(super) fn set_outcome(
        &mut self,
        key: IdempotencyKey,
        outcome: Outcome,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        debug_assert!(!execution.is_finished());
        self.outcome_cache.push(key, &outcome);
        execution.phase = ExecutionPhase::Finished { outcome };
        self.answer_if_finished(key, ctx);
        while let Some(oldest) = self.outcome_cache.evict_excess() {
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
            self.waiting_calls.remove(&call);
            answer(call, outcome, ctx);
        }
        for (vm, requester) in std::mem::take(&mut execution.requesters) {
            let reply = OutcomeReply {
                key,
                requester,
                outcome: outcome.clone(),
            };
            ctx.send(&vm, PeerMessage::OutcomeReply(reply));
        }
    }

    /// Removes evictable keys older than the claim window, and sets the timer of the next sweep.
    pub(crate) fn on_sweep_timer(&mut self, ctx: &mut Context<'_>) {
        self.executions
            .retain(|key, execution| !(execution.is_evictable() && is_expired(*key, ctx)));
        let executions = &self.executions;
        self.outcome_cache
            .retain(|key| executions.contains_key(key));
        ctx.set_timer(SWEEP_INTERVAL, Timer::SweepClaims);
    }

    /// Removes a call whose caller disconnected.
    ///
    /// A dispatch in progress continues; a claim without another waiting call is not dispatched.
    pub(crate) fn on_caller_gone(&mut self, call: CallId) {
        let Some(key) = self.waiting_calls.remove(&call) else {
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
