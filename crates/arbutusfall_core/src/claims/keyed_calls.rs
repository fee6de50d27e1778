//! Non-idempotent calls at the VM that received them: claims the key, sends one call to the service, and caches the
//! outcome.

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
use crate::ProblemKind;
use crate::ServiceCall;
use crate::claims::is_expired;
use crate::claims::key_state::KeyPhase;
use crate::claims::key_state::KeyState;
use crate::claims::outcomes::OutcomeSizes;
use crate::claims::outcomes::answer;
use crate::claims::outcomes::outcome_for_log;
use crate::claims::outcomes::refuse;
use crate::claims::outcomes::refuse_not_run;
use crate::claims::outcomes::refuse_unknown;
use crate::claims::outcomes::refuse_unknown_with_delay;
use crate::claims::owners_of;
use crate::config::Route;
use crate::context::Context;
use crate::timers::Timer;

/// Time that a partition owner has to reply before the claim goes to the next one.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which expired keys are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Keys of the non-idempotent calls that this VM received.
#[derive(Debug, Clone, Default)]
pub(crate) struct KeyedCalls {
    pub(super) keys: BTreeMap<IdempotencyKey, KeyState>,
    /// Key of each call waiting for an outcome.
    pub(super) key_of_call: BTreeMap<CallId, IdempotencyKey>,
    /// Key of each dispatched call, possibly still connecting. Unlike in `key_of_call`, an entry stays when the caller
    /// disconnects.
    pub(super) dispatched: BTreeMap<CallId, IdempotencyKey>,
    outcome_sizes: OutcomeSizes,
}

impl KeyedCalls {
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns the number of calls waiting for an outcome plus the number of dispatched calls.
    ///
    /// A call that is both counts twice, so only 0 is exact.
    pub(crate) fn in_progress(&self) -> usize {
        self.key_of_call.len() + self.dispatched.len()
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
        let skew = Duration::from_millis(ctx.site_config.claims.max_key_skew_ms);
        let usable = key.filter(|key: &IdempotencyKey| key.created_at() <= ctx.now.unix + skew);
        let Some(key) = usable else {
            refuse(service_call.call, ProblemKind::KeyInvalid, ctx);
            return;
        };
        if is_expired(key, ctx) {
            refuse_unknown(service_call.call, ctx);
            return;
        }
        let state = self.keys.entry(key).or_insert_with(|| KeyState {
            request,
            fingerprint: service_call.fingerprint,
            service: service.clone(),
            timeout: route.timeout(),
            waiting_calls: Vec::new(),
            requesters: Vec::new(),
            sole_call_marked_first: service_call.attempt == Some(1),
            claims_sent: 0,
            owner_rank: 0,
            phase: KeyPhase::Idle,
        });
        if state.fingerprint != service_call.fingerprint {
            refuse(service_call.call, ProblemKind::KeyReused, ctx);
            return;
        }
        state.sole_call_marked_first &= state.request == request;
        state.waiting_calls.push(service_call.call);
        self.key_of_call.insert(service_call.call, key);
        self.begin_claim(key, ctx);
        self.answer_if_finished(key, ctx);
    }

    /// Claims an idle key, with the request of the earlier claim if there is one.
    fn begin_claim(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        if !matches!(state.phase, KeyPhase::Idle) {
            return;
        }
        let claim_timeout = Duration::from_millis(ctx.site_config.claims.claim_timeout_ms);
        let deadline = ctx.now.monotonic + claim_timeout;
        state.phase = KeyPhase::Claiming { deadline };
        state.owner_rank = 0;
        let request = state.request;
        ctx.set_timer(OWNER_TIMEOUT, Timer::ClaimOverdue { key, request });
        self.send_claim(key, ctx);
    }

    /// Sends the claim to a partition owner, whose reply says which request holds the key on the log.
    ///
    /// Also looks up an outcome: for a key claimed by another request, the reply contains the outcome on the log.
    pub(super) fn send_claim(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        let owners = owners_of(key, ctx);
        if owners.is_empty() {
            return;
        }
        state.claims_sent += 1;
        let owner = &owners[state.owner_rank % owners.len()];
        let claim = ClaimRequest {
            key,
            request: state.request,
            fingerprint: state.fingerprint,
        };
        ctx.send(owner, PeerMessage::Claim(claim));
    }

    /// Handles a missing verdict: sends the claim to the next owner, or refuses the calls after the deadline.
    pub(crate) fn on_claim_overdue(
        &mut self,
        key: IdempotencyKey,
        request: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let state = self.keys.get_mut(&key);
        let Some(state) = state.filter(|state| state.request == request) else {
            return;
        };
        let KeyPhase::Claiming { deadline } = state.phase else {
            return;
        };
        if ctx.now.monotonic < deadline {
            state.owner_rank += 1;
            ctx.set_timer(OWNER_TIMEOUT, Timer::ClaimOverdue { key, request });
            self.send_claim(key, ctx);
            return;
        }
        state.phase = KeyPhase::Idle;
        for call in self.take_waiting_calls(key) {
            refuse_unknown(call, ctx);
        }
    }

    fn take_waiting_calls(&mut self, key: IdempotencyKey) -> Vec<CallId> {
        let state = self.keys.get_mut(&key);
        let waiting_calls = state.map(|state| std::mem::take(&mut state.waiting_calls));
        let waiting_calls = waiting_calls.unwrap_or_default();
        for call in &waiting_calls {
            self.key_of_call.remove(call);
        }
        waiting_calls
    }

    /// Handles a partition owner's reply to a claim.
    pub(crate) fn on_claim_reply(&mut self, reply: ClaimReply, ctx: &mut Context<'_>) {
        let key = reply.key;
        let state = self.keys.get(&key);
        let Some(state) = state.filter(|state| state.request == reply.request) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        match &state.phase {
            KeyPhase::Claiming { .. } => self.on_verdict_while_claiming(key, reply.verdict, ctx),
            KeyPhase::Idle => match reply.verdict {
                ClaimVerdict::Won => self.finish(key, Outcome::NotRun, ctx),
                ClaimVerdict::Lost { .. } => {
                    self.keys.remove(&key);
                }
                ClaimVerdict::LogUnavailable { .. } => {}
            },
            KeyPhase::AwaitingOutcome { .. } => match reply.verdict {
                ClaimVerdict::Lost { outcome, .. } => self.on_log_lookup(key, outcome, ctx),
                ClaimVerdict::LogUnavailable { .. } => self.on_log_lookup(key, None, ctx),
                ClaimVerdict::Won => ctx.count(Counter::StaleMessages),
            },
            KeyPhase::Dispatched { .. } | KeyPhase::Finished { .. } => {
                ctx.count(Counter::StaleMessages);
            }
        }
    }

    /// Handles the verdict on a claim that calls wait for.
    fn on_verdict_while_claiming(
        &mut self,
        key: IdempotencyKey,
        verdict: ClaimVerdict,
        ctx: &mut Context<'_>,
    ) {
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
                let Some(state) = self.keys.get(&key) else {
                    return;
                };
                if state.fingerprint != fingerprint {
                    self.refuse_reused(key, ctx);
                    return;
                }
                // For a key that is too old, the owner names the request itself as the holder (`too_old_verdict`).
                let holder_is_unknown = state.request == holder;
                match outcome {
                    // A long body is not on the log, but the holder may still have it cached.
                    Some(Outcome::Unknown) | None if !holder_is_unknown => {
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
        for call in self.take_waiting_calls(key) {
            refuse(call, ProblemKind::KeyReused, ctx);
        }
        self.keys.remove(&key);
    }

    /// Handles a partition owner's reply that it did not append the claim.
    ///
    /// The call was certainly not run only if it is the only call with this key here, its caller marked it as the first
    /// attempt, and this was the only claim message sent.
    fn refuse_unclaimed(
        &mut self,
        key: IdempotencyKey,
        retry_after: Duration,
        ctx: &mut Context<'_>,
    ) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        let sent_once = state.claims_sent == 1;
        let proven_not_run = state.sole_call_marked_first && sent_once;
        state.phase = KeyPhase::Idle;
        for call in self.take_waiting_calls(key) {
            if proven_not_run {
                refuse_not_run(call, retry_after, ctx);
            } else {
                refuse_unknown_with_delay(call, retry_after, ctx);
            }
        }
        if sent_once {
            self.keys.remove(&key);
        }
    }

    /// Finishes a key whose claim this VM won: sends the outcome to the partition owner, which appends it to the log,
    /// and answers all waiting calls and VMs.
    pub(super) fn finish(&mut self, key: IdempotencyKey, outcome: Outcome, ctx: &mut Context<'_>) {
        let Some(state) = self.keys.get(&key) else {
            return;
        };
        if let KeyPhase::Dispatched { call, .. } = state.phase {
            self.dispatched.remove(&call);
        }
        let record = RecordOutcome {
            key,
            request: state.request,
            outcome: outcome_for_log(&outcome),
        };
        if let Some(owner) = owners_of(key, ctx).first() {
            ctx.send(owner, PeerMessage::RecordOutcome(record));
        }
        self.set_outcome(key, outcome, ctx);
    }

    /// Caches an outcome and answers all waiting calls and VMs.
    pub(super) fn set_outcome(
        &mut self,
        key: IdempotencyKey,
        outcome: Outcome,
        ctx: &mut Context<'_>,
    ) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        debug_assert!(!state.is_finished());
        self.outcome_sizes.push(key, &outcome);
        state.phase = KeyPhase::Finished { outcome };
        self.answer_if_finished(key, ctx);
        while let Some(oldest) = self.outcome_sizes.pop_excess() {
            self.keys.remove(&oldest);
        }
    }

    pub(super) fn answer_if_finished(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        let KeyPhase::Finished { outcome } = &state.phase else {
            return;
        };
        for call in std::mem::take(&mut state.waiting_calls) {
            self.key_of_call.remove(&call);
            answer(call, outcome, ctx);
        }
        for (vm, requester) in std::mem::take(&mut state.requesters) {
            let reply = OutcomeReply {
                key,
                requester,
                outcome: outcome.clone(),
            };
            ctx.send(&vm, PeerMessage::OutcomeReply(reply));
        }
    }

    /// Removes keys older than the claim window that no call uses, and sets the timer of the next sweep.
    pub(crate) fn on_sweep_timer(&mut self, ctx: &mut Context<'_>) {
        self.keys
            .retain(|key, state| !(state.is_removable() && is_expired(*key, ctx)));
        let keys = &self.keys;
        self.outcome_sizes.retain(|key| keys.contains_key(key));
        ctx.set_timer(SWEEP_INTERVAL, Timer::SweepClaims);
    }

    /// Removes a call whose caller disconnected.
    ///
    /// A dispatched call continues; a claim that wins without another waiting call sends nothing to the service.
    pub(crate) fn on_caller_gone(&mut self, call: CallId) {
        let Some(key) = self.key_of_call.remove(&call) else {
            return;
        };
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        state.waiting_calls.retain(|waiting| *waiting != call);
        let claiming = matches!(state.phase, KeyPhase::Claiming { .. });
        if claiming && state.waiting_calls.is_empty() {
            state.phase = KeyPhase::Idle;
        }
    }
}
