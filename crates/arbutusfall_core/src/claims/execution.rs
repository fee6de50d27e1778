//! Entry side of a non-idempotent call: claim, dispatch once, keep the outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::AskOutcome;
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
use crate::Problem;
use crate::ProblemKind;
use crate::ServiceAnswer;
use crate::ServiceCall;
use crate::ServiceOrder;
use crate::calls::pick_endpoint;
use crate::claims::partition_of;
use crate::config::Route;
use crate::context::Context;
use crate::rendezvous::rank_owners;
use crate::timers::Timer;

/// Time that a partition owner has before the next one is asked.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a claim's holder has to tell an outcome, beyond the route's own timeout.
const ASK_GRACE: Duration = Duration::from_secs(1);

/// When callers are asked to come back for an outcome.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Interval at which expired keys are forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Most endpoints that are tried before a byte was sent.
const MAX_CONNECT_TRIES: u32 = 3;

/// Largest body that is kept as an outcome, in bytes.
const MAX_KEPT_BODY_BYTES: usize = 16 * 1024;

/// Keys that were asked for at this VM.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    executions: BTreeMap<IdempotencyKey, Execution>,
    by_call: BTreeMap<CallId, IdempotencyKey>,
}

/// One key at this VM.
#[derive(Debug)]
struct Execution {
    request: RequestId,
    service: Name,
    timeout: Duration,
    /// The call whose body is dispatched; its connection may be gone.
    first_call: CallId,
    /// Calls that wait for the outcome.
    callers: Vec<CallId>,
    /// Other VMs' requests that wait for the outcome.
    askers: Vec<(Name, RequestId)>,
    /// Whether the caller said that the key was never sent before.
    first_attempt: bool,
    phase: ExecutionPhase,
}

/// How far a key has come at this VM.
#[derive(Debug)]
enum ExecutionPhase {
    /// The claim was sent to a partition owner.
    Claiming {
        owner_tries: usize,
        give_up_at: Duration,
    },
    /// The claim may still win, but its callers were answered; it is never dispatched.
    Abandoned,
    /// Another request holds the claim and was asked for the outcome.
    Asking,
    /// The claim won and the call was sent, or its connection is being opened.
    Dispatched {
        tries: u32,
        failed: Vec<Name>,
        endpoint: Name,
    },
    /// The outcome is known.
    Finished { outcome: Outcome },
}

impl Executions {
    pub(crate) fn len(&self) -> usize {
        self.executions.len()
    }

    /// Calls that wait for an answer, and dispatches in progress.
    pub(crate) fn in_progress(&self) -> usize {
        let running = |execution: &&Execution| {
            !execution.callers.is_empty()
                || matches!(execution.phase, ExecutionPhase::Dispatched { .. })
        };
        self.executions.values().filter(running).count()
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
        let parsed = asked
            .idempotency_key
            .as_deref()
            .and_then(|text| text.parse().ok());
        let Some(key): Option<IdempotencyKey> = parsed else {
            let problem = Problem::new(ProblemKind::KeyInvalid);
            ctx.push(Effect::Refuse {
                call: asked.call,
                problem,
            });
            return;
        };
        let skew = Duration::from_millis(ctx.site.claims.max_key_skew_ms);
        if key.created_at() > ctx.now.unix + skew {
            let problem = Problem::new(ProblemKind::KeyInvalid);
            ctx.push(Effect::Refuse {
                call: asked.call,
                problem,
            });
            return;
        }
        if is_expired(key, ctx) {
            refuse_unknown(asked.call, ctx);
            return;
        }
        self.by_call.insert(asked.call, key);
        if let Some(execution) = self.executions.get_mut(&key)
            && !matches!(execution.phase, ExecutionPhase::Abandoned)
        {
            execution.callers.push(asked.call);
            self.answer_if_finished(key, ctx);
            return;
        }
        let claim_timeout = Duration::from_millis(ctx.site.claims.claim_timeout_ms);
        let give_up_at = ctx.now.monotonic + claim_timeout;
        self.executions.insert(
            key,
            Execution {
                request,
                service: service.clone(),
                timeout: route.timeout(),
                first_call: asked.call,
                callers: vec![asked.call],
                askers: Vec::new(),
                first_attempt: asked.attempt == Some(1),
                phase: ExecutionPhase::Claiming {
                    owner_tries: 0,
                    give_up_at,
                },
            },
        );
        self.claim(key, ctx);
    }

    fn claim(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get(&key) else {
            return;
        };
        let ExecutionPhase::Claiming { owner_tries, .. } = execution.phase else {
            return;
        };
        let partition = partition_of(key, &ctx.site.claims);
        let live = ctx.members.live(&ctx.identity.site);
        let owners = rank_owners(&("claims", partition), &live);
        let request = execution.request;
        ctx.set_timer(OWNER_TIMEOUT, Timer::ClaimOverdue { key, request });
        if owners.is_empty() {
            return;
        }
        let owner = owners[owner_tries % owners.len()].clone();
        ctx.send(&owner, PeerMessage::Claim(ClaimRequest { key, request }));
    }

    /// No verdict came: asks the next owner, or gives up.
    pub(crate) fn on_claim_overdue(
        &mut self,
        key: IdempotencyKey,
        request: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        if execution.request != request {
            return;
        }
        let ExecutionPhase::Claiming {
            owner_tries,
            give_up_at,
        } = &mut execution.phase
        else {
            return;
        };
        if ctx.now.monotonic < *give_up_at {
            *owner_tries += 1;
            self.claim(key, ctx);
            return;
        }
        execution.phase = ExecutionPhase::Abandoned;
        for call in std::mem::take(&mut execution.callers) {
            self.by_call.remove(&call);
            refuse_unknown(call, ctx);
        }
    }

    /// The log's word on a claim.
    pub(crate) fn on_claimed(&mut self, reply: ClaimReply, ctx: &mut Context<'_>) {
        let key = reply.key;
        let Some(execution) = self.executions.get_mut(&key) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        if execution.request != reply.request {
            ctx.count(Counter::StaleMessages);
            return;
        }
        match (&execution.phase, reply.verdict) {
            (ExecutionPhase::Claiming { .. }, ClaimVerdict::Won) => {
                ctx.count(Counter::ClaimsWon);
                self.dispatch_first(key, ctx);
            }
            (ExecutionPhase::Abandoned, ClaimVerdict::Won) => {
                self.finish(key, Outcome::NotRun, ctx);
            }
            (
                ExecutionPhase::Claiming { .. },
                ClaimVerdict::Lost {
                    vm,
                    holder,
                    outcome,
                },
            ) => {
                ctx.count(Counter::ClaimsLost);
                match outcome {
                    Some(outcome) => self.learn(key, outcome, ctx),
                    None => self.ask(key, &vm, holder, ctx),
                }
            }
            (ExecutionPhase::Claiming { .. }, ClaimVerdict::LogUnavailable { retry_after }) => {
                self.refuse_unclaimed(key, retry_after, ctx)
            }
            _ => ctx.count(Counter::StaleMessages),
        }
    }

    /// Dispatches a claim that won, unless the key has become too old meanwhile.
    fn dispatch_first(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        if is_expired(key, ctx) {
            self.finish(key, Outcome::Unknown, ctx);
            return;
        }
        let failed = Vec::new();
        execution.phase = ExecutionPhase::Dispatched {
            tries: 0,
            failed,
            endpoint: execution.service.clone(),
        };
        self.dispatch(key, ctx);
    }

    fn dispatch(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        let ExecutionPhase::Dispatched {
            tries,
            failed,
            endpoint,
        } = &mut execution.phase
        else {
            return;
        };
        let turn = *tries as usize;
        let picked = pick_endpoint(ctx.site, &execution.service, failed, turn);
        let Some(picked) = picked.filter(|_| *tries < MAX_CONNECT_TRIES) else {
            self.finish(key, Outcome::NotRun, ctx);
            return;
        };
        *tries += 1;
        *endpoint = picked.clone();
        if *tries == 1 {
            ctx.count(Counter::ClaimsDispatched);
        }
        let order = ServiceOrder {
            call: execution.first_call,
            attempt: *tries,
            address: ctx.site.endpoints[&picked].address,
            endpoint: picked,
            timeout: execution.timeout,
            key: Some(key),
        };
        ctx.push(Effect::CallService(order));
    }

    /// Key of a dispatched call, if the call is a non-idempotent one.
    fn dispatched_key(&self, call: CallId, attempt: u32) -> Option<IdempotencyKey> {
        let found = self.executions.iter().find(|(_, execution)| {
            execution.first_call == call
                && matches!(execution.phase,
					ExecutionPhase::Dispatched { tries, .. } if tries == attempt)
        });
        found.map(|(key, _)| *key)
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
        let Some(execution) = self.executions.get_mut(&key) else {
            return true;
        };
        if let ExecutionPhase::Dispatched {
            failed, endpoint, ..
        } = &mut execution.phase
        {
            failed.push(endpoint.clone());
        }
        self.dispatch(key, ctx);
        true
    }

    /// Records the outcome of a claim that this VM holds and answers everybody who waits.
    fn finish(&mut self, key: IdempotencyKey, outcome: Outcome, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get(&key) else {
            return;
        };
        let record = RecordOutcome {
            key,
            request: execution.request,
            outcome: kept(outcome.clone()),
        };
        let partition = partition_of(key, &ctx.site.claims);
        let live = ctx.members.live(&ctx.identity.site);
        if let Some(owner) = rank_owners(&("claims", partition), &live).first() {
            ctx.send(owner, PeerMessage::RecordOutcome(record));
        }
        self.learn(key, outcome, ctx);
    }

    /// Takes an outcome over and answers everybody who waits.
    fn learn(&mut self, key: IdempotencyKey, outcome: Outcome, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        execution.phase = ExecutionPhase::Finished { outcome };
        self.answer_if_finished(key, ctx);
    }

    fn answer_if_finished(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
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

    /// The claim was never offered to the log.
    fn refuse_unclaimed(
        &mut self,
        key: IdempotencyKey,
        retry_after: Duration,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        let proved = execution.first_attempt && execution.callers.len() == 1;
        execution.phase = ExecutionPhase::Abandoned;
        for call in std::mem::take(&mut execution.callers) {
            self.by_call.remove(&call);
            if proved {
                ctx.count(Counter::AnsweredNotRun);
                let problem = Problem::retry(ProblemKind::NotRun, retry_after);
                ctx.push(Effect::Refuse { call, problem });
            } else {
                refuse_unknown(call, ctx);
            }
        }
    }

    /// Asks the holder of the claim for its outcome.
    fn ask(&mut self, key: IdempotencyKey, vm: &Name, holder: RequestId, ctx: &mut Context<'_>) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        execution.phase = ExecutionPhase::Asking;
        let asker = execution.request;
        let timeout = execution.timeout + ASK_GRACE;
        ctx.set_timer(
            timeout,
            Timer::OutcomeOverdue {
                key,
                request: asker,
            },
        );
        ctx.send(
            vm,
            PeerMessage::AskOutcome(AskOutcome { key, holder, asker }),
        );
    }

    /// Another VM asks what became of a claim that this VM's process should hold.
    pub(crate) fn on_ask(&mut self, from: &Name, asked: AskOutcome, ctx: &mut Context<'_>) {
        let key = asked.key;
        let execution = self.executions.get_mut(&key);
        let Some(execution) = execution.filter(|execution| execution.request == asked.holder)
        else {
            // An earlier life of this process held the claim; what it did is lost.
            let told = TellOutcome {
                key,
                asker: asked.asker,
                outcome: Outcome::Unknown,
            };
            ctx.send(from, PeerMessage::TellOutcome(told));
            return;
        };
        execution.askers.push((from.clone(), asked.asker));
        if matches!(execution.phase, ExecutionPhase::Abandoned) {
            self.finish(key, Outcome::NotRun, ctx);
            return;
        }
        self.answer_if_finished(key, ctx);
    }

    /// The holder of a claim told its outcome.
    pub(crate) fn on_told(&mut self, told: TellOutcome, ctx: &mut Context<'_>) {
        let execution = self.executions.get(&told.key);
        let waiting = execution.is_some_and(|execution| {
            execution.request == told.asker && matches!(execution.phase, ExecutionPhase::Asking)
        });
        if waiting {
            self.learn(told.key, told.outcome, ctx);
        } else {
            ctx.count(Counter::StaleMessages);
        }
    }

    /// The holder of a claim did not tell its outcome in time.
    pub(crate) fn on_outcome_overdue(
        &mut self,
        key: IdempotencyKey,
        request: RequestId,
        ctx: &mut Context<'_>,
    ) {
        let Some(execution) = self.executions.get_mut(&key) else {
            return;
        };
        let asking = matches!(execution.phase, ExecutionPhase::Asking);
        if execution.request != request || !asking {
            return;
        }
        // The next repeat of the key asks again: the outcome may be on the log by then.
        let callers = std::mem::take(&mut execution.callers);
        self.executions.remove(&key);
        for call in callers {
            self.by_call.remove(&call);
            refuse_unknown(call, ctx);
        }
    }

    /// Forgets keys at an interval whose age is beyond the claim window.
    pub(crate) fn on_sweep_timer(&mut self, ctx: &mut Context<'_>) {
        self.executions.retain(|key, execution| {
            let finished = matches!(execution.phase, ExecutionPhase::Finished { .. });
            !(finished && execution.callers.is_empty() && is_expired(*key, ctx))
        });
        ctx.set_timer(SWEEP_INTERVAL, Timer::SweepClaims);
    }

    /// Nobody waits for this call's answer any more; an execution in progress goes on.
    pub(crate) fn on_caller_gone(&mut self, call: CallId) {
        let Some(key) = self.by_call.remove(&call) else {
            return;
        };
        if let Some(execution) = self.executions.get_mut(&key) {
            execution.callers.retain(|waiting| *waiting != call);
        }
    }
}

/// Whether a key is older than the claim window.
fn is_expired(key: IdempotencyKey, ctx: &Context<'_>) -> bool {
    let window = Duration::from_secs(ctx.site.claims.window_s);
    key.created_at() + window < ctx.now.unix
}

/// The outcome as it is kept on the log: a long body is not.
fn kept(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Answered { body, .. } if body.as_bytes().len() > MAX_KEPT_BODY_BYTES => {
            Outcome::Unknown
        }
        outcome => outcome,
    }
}

fn answer(call: CallId, outcome: &Outcome, ctx: &mut Context<'_>) {
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
        Outcome::NotRun => {
            ctx.count(Counter::AnsweredNotRun);
            let problem = Problem::retry(ProblemKind::NotRun, UNKNOWN_RETRY_AFTER);
            ctx.push(Effect::Refuse { call, problem });
        }
        Outcome::Unknown => refuse_unknown(call, ctx),
    }
}

fn refuse_unknown(call: CallId, ctx: &mut Context<'_>) {
    ctx.count(Counter::AnsweredUnknown);
    let problem = Problem::retry(ProblemKind::OutcomeUnknown, UNKNOWN_RETRY_AFTER);
    ctx.push(Effect::Refuse { call, problem });
}
