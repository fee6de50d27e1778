//! Model requests that entered by this VM, from placement to the last token.

mod cancels;
mod stream;

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceReply;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::ShardId;

use crate::AttemptId;
use crate::CallId;
use crate::CompletionRequest;
use crate::Counter;
use crate::DecodeOrder;
use crate::Effect;
use crate::EngineEvent;
use crate::EngineFailure;
use crate::PrefillOrder;
use crate::Problem;
use crate::ProblemKind;
use crate::Stage;
use crate::context::Context;
use crate::rendezvous::rank_owners;
use crate::timers::Timer;

use cancels::Cancels;
use stream::Phase;
use stream::Stream;

/// Failures of engines after which a request is given up.
const MAX_FAILURES: u32 = 4;

/// Owners that are asked for one placement.
const MAX_OWNER_TRIES: usize = 3;

/// When callers are asked to come back if no owner answers.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When callers are asked to come back after their request failed.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Model requests in progress.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    streams: BTreeMap<RequestId, Stream>,
    by_call: BTreeMap<CallId, RequestId>,
    cancels: Cancels,
}

impl Streams {
    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether engines still hold something for this VM.
    pub(crate) fn is_idle(&self) -> bool {
        self.streams.is_empty() && self.cancels.is_empty()
    }

    /// Starts a request whose account was admitted.
    pub(crate) fn start(&mut self, id: RequestId, asked: CompletionRequest, ctx: &mut Context<'_>) {
        let Some(model) = ctx.site.models.get(&asked.model) else {
            let problem = Problem::new(ProblemKind::NoModel);
            ctx.push(Effect::Refuse {
                call: asked.call,
                problem,
            });
            return;
        };
        if asked.prompt_tokens > model.max_prompt_tokens {
            let problem = Problem::new(ProblemKind::PromptTooLong);
            ctx.push(Effect::Refuse {
                call: asked.call,
                problem,
            });
            return;
        }
        ctx.count(Counter::CompletionsAsked);
        let now = ctx.now.monotonic;
        let max_output_tokens = asked.max_output_tokens.clamp(1, model.max_output_tokens);
        let first_token_due = now + model.first_token_target();
        self.by_call.insert(asked.call, id);
        self.streams
            .insert(id, Stream::new(asked, max_output_tokens, first_token_due));
        self.place(id, ctx);
    }

    /// Asks a shard's owner for a placement.
    fn place(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let shard = stream.shard(id, ctx.site);
        let model = ctx.site.models.get(&shard.model);
        let alone = model.is_some_and(|model| !model.policy.kind.has_owner());
        let owners = if alone {
            vec![ctx.identity.vm.clone()]
        } else {
            rank_owners(&shard, &ctx.members.live(&ctx.identity.site))
        };
        let Some(owner) = owners.get(stream.owner_tries).cloned() else {
            self.refuse(id, NO_OWNER_RETRY_AFTER, ctx);
            return;
        };
        stream.placement += 1;
        stream.phase = Phase::Placing {
            shard: shard.clone(),
        };
        let message = stream.place_request(id, shard, ctx.now.monotonic);
        let placement = stream.placement;
        let timeout = Duration::from_millis(ctx.site.timing.place_timeout_ms);
        ctx.set_timer(
            timeout,
            Timer::PlaceOverdue {
                request: id,
                placement,
            },
        );
        ctx.send(&owner, PeerMessage::Place(message));
    }

    /// The owner did not answer: asks the next one in hash order.
    pub(crate) fn on_place_overdue(
        &mut self,
        id: RequestId,
        placement: u32,
        ctx: &mut Context<'_>,
    ) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let waiting = matches!(stream.phase, Phase::Placing { .. });
        if !waiting || stream.placement != placement {
            return;
        }
        ctx.count(Counter::PlacementsOverdue);
        stream.owner_tries += 1;
        if stream.owner_tries >= MAX_OWNER_TRIES {
            self.refuse(id, NO_OWNER_RETRY_AFTER, ctx);
            return;
        }
        self.place(id, ctx);
    }

    /// The owner decided.
    pub(crate) fn on_placed(&mut self, from: &Name, reply: PlaceReply, ctx: &mut Context<'_>) {
        let id = reply.request;
        let stream = self.streams.get_mut(&id);
        let current = stream.filter(|stream| {
            stream.placement == reply.placement && matches!(stream.phase, Phase::Placing { .. })
        });
        let Some(stream) = current else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        let Phase::Placing { shard } = &stream.phase else {
            return;
        };
        match reply.decision {
            PlaceDecision::Refused { retry_after } => self.refuse(id, retry_after, ctx),
            PlaceDecision::Granted(grant) => {
                let start_after = grant.start_after;
                let placement = reply.placement;
                stream.owner_tries = 0;
                stream.phase = Phase::Waiting {
                    shard: shard.clone(),
                    owner: from.clone(),
                    grant,
                };
                if start_after.is_zero() {
                    self.on_start_prefill(id, placement, ctx);
                } else {
                    let timer = Timer::StartPrefill {
                        request: id,
                        placement,
                    };
                    ctx.set_timer(start_after, timer);
                }
            }
        }
    }

    /// The instant of a grant has come: sends the prompt to the prefill engine.
    pub(crate) fn on_start_prefill(
        &mut self,
        id: RequestId,
        placement: u32,
        ctx: &mut Context<'_>,
    ) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if stream.placement != placement {
            return;
        }
        let Some(grant) = stream.begin_prefill(ctx.now.monotonic) else {
            return;
        };
        let Some(endpoint) = ctx.site.endpoints.get(&grant.prefill) else {
            let attempt = AttemptId {
                request: id,
                placement,
                stage: Stage::Prefill,
            };
            self.on_failed(attempt, EngineFailure::Unreachable, ctx);
            return;
        };
        let attempt = AttemptId {
            request: id,
            placement,
            stage: Stage::Prefill,
        };
        ctx.push(Effect::Prefill(PrefillOrder {
            attempt,
            call: stream.call,
            endpoint: grant.prefill.clone(),
            address: endpoint.address,
            delivered_tokens: stream.delivered_tokens,
            priority: 0,
        }));
    }

    /// An engine was silent for a while: opens a new connection if nothing came since.
    pub(crate) fn on_stage_overdue(
        &mut self,
        attempt: AttemptId,
        progress: u32,
        ctx: &mut Context<'_>,
    ) {
        let Some(stream) = self.current(attempt) else {
            return;
        };
        let silent = stream.received_tokens() == progress && attempt.stage == Stage::Decode;
        if silent && progress > 0 {
            let call = stream.call;
            let endpoint = stream
                .engine()
                .and_then(|name| ctx.site.endpoints.get(&name));
            if let Some(endpoint) = endpoint {
                ctx.count(Counter::ConnectionsReplaced);
                ctx.push(Effect::Resume {
                    attempt,
                    call,
                    address: endpoint.address,
                    from_index: progress,
                });
            }
        }
        self.watch_stage(attempt, ctx);
    }

    /// Looks again after a while whether the current stage made progress.
    fn watch_stage(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            return;
        };
        let progress = stream.received_tokens();
        let silence = Duration::from_millis(ctx.site.timing.engine_silence_ms);
        ctx.set_timer(silence, Timer::StageOverdue { attempt, progress });
    }

    /// Handles whatever an engine did.
    pub(crate) fn on_engine(&mut self, event: EngineEvent, ctx: &mut Context<'_>) {
        match event {
            EngineEvent::PrefillDone {
                attempt,
                transfer,
                cached_tokens,
            } => {
                self.on_prefill_done(attempt, transfer, cached_tokens, ctx);
            }
            EngineEvent::Tokens {
                attempt,
                first_index,
                texts,
            } => {
                self.on_tokens(attempt, first_index, texts, ctx);
            }
            EngineEvent::DecodeDone {
                attempt,
                generated_tokens,
            } => {
                self.on_decode_done(attempt, generated_tokens, ctx);
            }
            EngineEvent::Failed { attempt, failure } => self.on_failed(attempt, failure, ctx),
            EngineEvent::Cancelled { attempt } => self.cancels.on_confirmed(attempt),
            EngineEvent::CancelFailed { attempt } => self.cancels.on_failed(attempt, ctx),
            EngineEvent::Active { .. }
            | EngineEvent::ActiveFailed { .. }
            | EngineEvent::Load { .. }
            | EngineEvent::CacheChanged { .. } => {}
        }
    }

    /// A cancellation was not confirmed a while ago.
    pub(crate) fn on_retry_cancel(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        self.cancels.retry(attempt, ctx);
    }

    /// The stream that an attempt belongs to, if the attempt is its current one.
    fn current(&mut self, attempt: AttemptId) -> Option<&mut Stream> {
        let stream = self.streams.get_mut(&attempt.request)?;
        let current =
            stream.placement == attempt.placement && stream.phase.stage()? == attempt.stage;
        current.then_some(stream)
    }

    fn on_prefill_done(
        &mut self,
        attempt: AttemptId,
        transfer: Name,
        cached_tokens: Option<u32>,
        ctx: &mut Context<'_>,
    ) {
        let now = ctx.now.monotonic;
        let Some(stream) = self.current(attempt) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        let Some(grant) = stream.begin_decode(now, cached_tokens) else {
            return;
        };
        let decode = AttemptId {
            stage: Stage::Decode,
            ..attempt
        };
        let Some(endpoint) = ctx.site.endpoints.get(&grant.decode) else {
            self.on_failed(decode, EngineFailure::Unreachable, ctx);
            return;
        };
        ctx.push(Effect::Decode(DecodeOrder {
            attempt: decode,
            call: stream.call,
            endpoint: grant.decode.clone(),
            address: endpoint.address,
            delivered_tokens: stream.delivered_tokens,
            max_output_tokens: stream.max_output_tokens - stream.delivered_tokens,
            transfer,
            priority: 0,
        }));
        self.watch_stage(decode, ctx);
    }

    fn on_tokens(
        &mut self,
        attempt: AttemptId,
        first_index: u32,
        texts: Vec<Name>,
        ctx: &mut Context<'_>,
    ) {
        let now = ctx.now.monotonic;
        let Some(stream) = self.current(attempt) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        let fresh = stream.take_tokens(first_index, texts, now);
        if fresh.is_empty() {
            ctx.count(Counter::StaleMessages);
            return;
        }
        let call = stream.call;
        ctx.push(Effect::Deliver { call, texts: fresh });
    }

    fn on_decode_done(&mut self, attempt: AttemptId, generated_tokens: u32, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        if stream.received_tokens() != generated_tokens {
            self.on_failed(attempt, EngineFailure::Malformed, ctx);
            return;
        }
        ctx.count(Counter::CompletionsFinished);
        let finish = Effect::Finish {
            call: stream.call,
            generated_tokens: stream.delivered_tokens,
        };
        ctx.push(finish);
        self.end_grant(attempt.request, GrantEnd::Finished, ctx);
        self.remove(attempt.request);
    }

    /// An engine failed: places the request again, without the endpoint that failed.
    fn on_failed(&mut self, attempt: AttemptId, failure: EngineFailure, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        stream.failures += 1;
        let end = match (attempt.stage, failure) {
            (Stage::Prefill, _) => GrantEnd::PrefillFailed,
            (Stage::Decode, EngineFailure::TransferLost) => GrantEnd::TransferFailed,
            (Stage::Decode, _) => GrantEnd::DecodeFailed,
        };
        stream.avoid_failed(end);
        let given_up = stream.failures > MAX_FAILURES;
        if attempt.stage == Stage::Decode {
            ctx.count(Counter::DecodesMoved);
        }
        self.cancel_engine(attempt, failure, ctx);
        self.end_grant(attempt.request, end, ctx);
        if given_up {
            self.fail(attempt.request, ctx);
            return;
        }
        self.place(attempt.request, ctx);
    }

    /// Frees what the engine may still hold after a failure.
    fn cancel_engine(&mut self, attempt: AttemptId, failure: EngineFailure, ctx: &mut Context<'_>) {
        if failure == EngineFailure::Unreachable {
            return;
        }
        let Some(endpoint) = self.streams.get(&attempt.request).and_then(Stream::engine) else {
            return;
        };
        self.cancels.start(attempt, endpoint, ctx);
    }

    /// Reports the end of the current grant to its owner.
    fn end_grant(&mut self, id: RequestId, end: GrantEnd, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let Some((owner, shard, ended)) = stream.end_grant(id, end) else {
            return;
        };
        let report = GrantReport {
            shard,
            active: Vec::new(),
            ended: vec![ended],
        };
        ctx.send(&owner, PeerMessage::GrantReport(report));
    }

    /// Keeps the grants in use alive.
    pub(crate) fn on_report_grants(&mut self, ctx: &mut Context<'_>) {
        let mut reports: BTreeMap<(Name, ShardId), GrantReport> = BTreeMap::new();
        for (id, stream) in &self.streams {
            let Some((owner, shard, active)) = stream.active_grant(*id) else {
                continue;
            };
            let key = (owner, shard.clone());
            let report = reports.entry(key).or_insert_with(|| GrantReport {
                shard,
                active: Vec::new(),
                ended: Vec::new(),
            });
            report.active.push(active);
        }
        for ((owner, _), report) in reports {
            ctx.send(&owner, PeerMessage::GrantReport(report));
        }
        let interval = Duration::from_millis(ctx.site.timing.grant_report_interval_ms);
        ctx.set_timer(interval, Timer::ReportGrants);
    }

    /// Nobody waits for the answer any more: frees everything.
    pub(crate) fn on_caller_gone(&mut self, call: CallId, ctx: &mut Context<'_>) {
        let Some(id) = self.by_call.get(&call).copied() else {
            return;
        };
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        ctx.count(Counter::CompletionsCancelled);
        if let (Some(stage), Some(endpoint)) = (stream.phase.stage(), stream.engine()) {
            let attempt = AttemptId {
                request: id,
                placement: stream.placement,
                stage,
            };
            self.cancels.start(attempt, endpoint, ctx);
        }
        self.end_grant(id, GrantEnd::Cancelled, ctx);
        self.remove(id);
    }

    /// Tells the caller at once that its request does not run, and when to come back.
    fn refuse(&mut self, id: RequestId, retry_after: Duration, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        if stream.delivered_tokens > 0 {
            self.fail(id, ctx);
            return;
        }
        ctx.count(Counter::CompletionsRefused);
        let problem = Problem::retry(ProblemKind::Overloaded, retry_after);
        ctx.push(Effect::Refuse {
            call: stream.call,
            problem,
        });
        self.remove(id);
    }

    /// Gives a request up.
    fn fail(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        ctx.count(Counter::CompletionsFailed);
        let call = stream.call;
        let problem = Problem::retry(ProblemKind::UpstreamFailed, FAILED_RETRY_AFTER);
        if stream.delivered_tokens > 0 {
            ctx.push(Effect::Abort { call, problem });
        } else {
            ctx.push(Effect::Refuse { call, problem });
        }
        self.remove(id);
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(stream) = self.streams.remove(&id) {
            self.by_call.remove(&stream.call);
        }
    }
}
