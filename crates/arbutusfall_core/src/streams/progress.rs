//! Progress of a granted request at its engines, up to the last token or the next placement.

use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::Name;
use arbutusfall_wire::RequestId;

use crate::AttemptId;
use crate::Counter;
use crate::DecodeOrder;
use crate::Effect;
use crate::EngineEvent;
use crate::EngineFailure;
use crate::PrefillOrder;
use crate::ProblemKind;
use crate::Stage;
use crate::context::Context;
use crate::streams::Streams;
use crate::streams::stream::Stream;

/// Failures of engines after which a request is given up.
const MAX_FAILURES: u32 = 4;

impl Streams {
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
            EngineEvent::Active { endpoint, attempts } => {
                self.on_active(&endpoint, Some(&attempts), ctx);
            }
            EngineEvent::ActiveFailed { endpoint } => self.on_active(&endpoint, None, ctx),
            EngineEvent::Load { .. } | EngineEvent::CacheChanged { .. } => {}
        }
    }

    /// A cancellation was not confirmed a while ago.
    pub(crate) fn on_retry_cancel(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        self.cancels.retry(attempt, ctx);
    }

    /// The stream that an attempt belongs to, if the attempt is its current one.
    pub(super) fn current(&mut self, attempt: AttemptId) -> Option<&mut Stream> {
        let stream = self.streams.get_mut(&attempt.request)?;
        stream.is_current(attempt).then_some(stream)
    }

    /// The instant of a grant has come: sends the prompt to an engine.
    pub(crate) fn on_start(&mut self, id: RequestId, placement: u32, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        let stream = self.streams.get_mut(&id);
        let Some(stream) = stream.filter(|stream| stream.placement == placement) else {
            return;
        };
        let Some(stage) = stream.begin(now) else {
            return;
        };
        let attempt = AttemptId {
            request: id,
            placement,
            stage,
        };
        match stage {
            Stage::Prefill => {
                self.release_result(id, ctx);
                self.order_prefill(attempt, ctx);
            }
            Stage::Decode => {
                ctx.count(Counter::TransfersRedirected);
                self.order_decode(attempt, ctx);
            }
        }
    }

    fn order_prefill(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            return;
        };
        let Some(running) = stream.running() else {
            return;
        };
        let endpoint = running.grant.prefill.clone();
        let Some(address) = ctx.site.endpoints.get(&endpoint).map(|found| found.address) else {
            self.on_failed(attempt, EngineFailure::Unreachable, ctx);
            return;
        };
        running.address = Some(address);
        ctx.push(Effect::Prefill(PrefillOrder {
            attempt,
            call: stream.call,
            endpoint,
            address,
            delivered_tokens: stream.delivered_tokens,
            priority: 0,
        }));
        self.watch(attempt, ctx);
    }

    fn order_decode(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            return;
        };
        let transfer = stream.result.as_ref().map(|result| result.transfer.clone());
        debug_assert!(transfer.is_some());
        let (Some(transfer), Some(running)) = (transfer, stream.running()) else {
            return;
        };
        let endpoint = running.grant.decode.clone();
        let Some(address) = ctx.site.endpoints.get(&endpoint).map(|found| found.address) else {
            self.on_failed(attempt, EngineFailure::Unreachable, ctx);
            return;
        };
        running.address = Some(address);
        ctx.push(Effect::Decode(DecodeOrder {
            attempt,
            call: stream.call,
            endpoint,
            address,
            delivered_tokens: stream.delivered_tokens,
            max_output_tokens: stream.max_output_tokens - stream.delivered_tokens,
            transfer,
            priority: 0,
        }));
        self.watch(attempt, ctx);
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
        let model = ctx.site.models.get(stream.model());
        let lifetime = model.map(|model| model.prefill_result_lifetime());
        let result = (transfer, lifetime.unwrap_or_default());
        stream.begin_decode(attempt, result, cached_tokens, now);
        let decode = AttemptId {
            stage: Stage::Decode,
            ..attempt
        };
        self.order_decode(decode, ctx);
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
        self.finish(attempt.request, ctx);
    }

    /// All tokens were delivered.
    fn finish(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        ctx.count(Counter::CompletionsFinished);
        ctx.push(Effect::Finish {
            call: stream.call,
            generated_tokens: stream.delivered_tokens,
        });
        self.end_grant(id, GrantEnd::Finished, ctx);
        self.release_result(id, ctx);
        self.remove(id);
    }

    /// An engine failed: places the request again, without the endpoint that failed.
    fn on_failed(&mut self, attempt: AttemptId, failure: EngineFailure, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        let end = match (attempt.stage, failure) {
            (Stage::Prefill, _) => GrantEnd::PrefillFailed,
            (Stage::Decode, EngineFailure::TransferLost) => GrantEnd::TransferFailed,
            (Stage::Decode, _) => GrantEnd::DecodeFailed,
        };
        if failure == EngineFailure::Malformed {
            // The engine streams, so it has fetched the result.
            self.release_result(attempt.request, ctx);
        } else if failure == EngineFailure::TransferLost {
            // The engine said that there is nothing left to fetch.
            if stream.result.take().is_some() {
                ctx.count(Counter::PrefillsWasted);
            }
        }
        self.move_on(attempt, end, failure != EngineFailure::Unreachable, ctx);
    }

    /// Leaves an engine for the next placement, or ends the answer.
    pub(super) fn move_on(
        &mut self,
        attempt: AttemptId,
        end: GrantEnd,
        reached: bool,
        ctx: &mut Context<'_>,
    ) {
        let id = attempt.request;
        let Some(stream) = self.current(attempt) else {
            return;
        };
        stream.failures += 1;
        stream.may_have_run |= reached && end == GrantEnd::DecodeFailed;
        stream.avoid_failed(end);
        let given_up = stream.failures > MAX_FAILURES;
        let complete = stream.delivered_tokens >= stream.max_output_tokens;
        let held = stream.engine_use(id).filter(|_| reached);
        if let Some((attempt, endpoint, address)) = held {
            self.cancels.start(attempt, endpoint, address, ctx);
        }
        if complete {
            self.finish(id, ctx);
            return;
        }
        if attempt.stage == Stage::Decode {
            ctx.count(Counter::DecodesMoved);
        }
        self.end_grant(id, end, ctx);
        if given_up {
            self.fail(id, ProblemKind::UpstreamFailed, ctx);
            return;
        }
        self.place(id, ctx);
    }
}
