//! Progress of a granted request at its engines, up to the last token or the next placement.

use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::Name;
use arbutusfall_wire::RequestId;

use crate::AttemptId;
use crate::Counter;
use crate::DecodeCommand;
use crate::Effect;
use crate::EngineEvent;
use crate::EngineFailure;
use crate::PrefillCommand;
use crate::ProblemKind;
use crate::Stage;
use crate::context::Context;
use crate::streams::Streams;
use crate::streams::stream::Stream;

/// Engine failures that a request survives; one more fails it.
pub(super) const MAX_FAILURES: u32 = 4;

impl Streams {
    /// Handles an engine event.
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
            EngineEvent::AttemptsListed { endpoint, attempts } => {
                self.on_attempts_listed(&endpoint, Some(&attempts), ctx);
            }
            EngineEvent::ListAttemptsFailed { endpoint } => {
                self.on_attempts_listed(&endpoint, None, ctx)
            }
            EngineEvent::Load { .. } | EngineEvent::CacheChanged { .. } => {}
        }
    }

    /// Handles the retry timer of an unconfirmed cancellation.
    pub(crate) fn on_retry_cancel(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        self.cancels.send(attempt, ctx);
    }

    /// Returns the stream of an attempt if the attempt is its current one.
    pub(super) fn current_stream(&mut self, attempt: AttemptId) -> Option<&mut Stream> {
        let stream = self.streams.get_mut(&attempt.request)?;
        stream.is_current(attempt).then_some(stream)
    }

    /// Starts a granted request at its start instant.
    ///
    /// Sends the decode if an unexpired prefill result exists, else the prefill.
    pub(crate) fn on_start_due(&mut self, id: RequestId, placement: u32, ctx: &mut Context<'_>) {
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
                if stream.standby.is_none() {
                    self.cancel_prefill_result(id, ctx);
                }
                self.send_prefill(attempt, ctx);
            }
            Stage::Decode => {
                ctx.count(Counter::TransfersRedirected);
                self.send_decode(attempt, ctx);
            }
        }
    }

    fn send_prefill(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current_stream(attempt) else {
            return;
        };
        let Some(running) = stream.running() else {
            return;
        };
        let endpoint = running.grant.prefill.clone();
        let Some(address) = ctx.site_config.address_of(&endpoint) else {
            self.on_failed(attempt, EngineFailure::Unreachable, ctx);
            return;
        };
        running.address = Some(address);
        ctx.push(Effect::Prefill(PrefillCommand {
            attempt,
            call: stream.call,
            endpoint,
            address,
            delivered_tokens: stream.delivered_tokens,
            priority: 0,
        }));
        self.set_overdue_timer(attempt, ctx);
    }

    fn send_decode(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current_stream(attempt) else {
            return;
        };
        let transfer = stream
            .prefill_result
            .as_ref()
            .map(|result| result.transfer_params.clone());
        debug_assert!(transfer.is_some());
        let (Some(transfer), Some(running)) = (transfer, stream.running()) else {
            return;
        };
        let endpoint = running.grant.decode.clone();
        let Some(address) = ctx.site_config.address_of(&endpoint) else {
            self.on_failed(attempt, EngineFailure::Unreachable, ctx);
            return;
        };
        running.address = Some(address);
        let command = DecodeCommand {
            attempt,
            call: stream.call,
            endpoint,
            address,
            delivered_tokens: stream.delivered_tokens,
            max_output_tokens: stream.max_output_tokens - stream.delivered_tokens,
            transfer,
            priority: 0,
        };
        self.replace_standby(attempt.request, ctx);
        ctx.push(Effect::Decode(command));
        self.set_overdue_timer(attempt, ctx);
    }

    fn on_prefill_done(
        &mut self,
        attempt: AttemptId,
        transfer_params: Name,
        cached_tokens: Option<u32>,
        ctx: &mut Context<'_>,
    ) {
        let now = ctx.now.monotonic;
        if self.current_stream(attempt).is_none() {
            ctx.count(Counter::StaleMessages);
            return;
        }
        // The result of an earlier placement was kept for the standby decode.
        self.cancel_prefill_result(attempt.request, ctx);
        let Some(stream) = self.current_stream(attempt) else {
            return;
        };
        let model = ctx.site_config.models.get(stream.model());
        let lifetime = model.map(|model| model.prefill_result_lifetime());
        let params_and_lifetime = (transfer_params, lifetime.unwrap_or_default());
        stream.begin_decode(attempt, params_and_lifetime, cached_tokens, now);
        let decode = AttemptId {
            stage: Stage::Decode,
            ..attempt
        };
        self.send_decode(decode, ctx);
    }

    fn on_tokens(
        &mut self,
        attempt: AttemptId,
        first_index: u32,
        texts: Vec<Name>,
        ctx: &mut Context<'_>,
    ) {
        let now = ctx.now.monotonic;
        self.end_move_on_tokens(attempt, first_index, &texts, ctx);
        let Some(stream) = self.current_stream(attempt) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        let new_texts = stream.accept_tokens(first_index, texts, now);
        if new_texts.is_empty() {
            ctx.count(Counter::StaleMessages);
            return;
        }
        let call = stream.call;
        ctx.push(Effect::Deliver {
            call,
            texts: new_texts,
        });
    }

    fn on_decode_done(&mut self, attempt: AttemptId, generated_tokens: u32, ctx: &mut Context<'_>) {
        self.end_move_on_done(attempt, generated_tokens, ctx);
        if self.is_standby(attempt) {
            self.on_standby_failed(attempt, EngineFailure::Malformed, ctx);
            return;
        }
        let Some(stream) = self.current_stream(attempt) else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        if stream.received_tokens() != generated_tokens {
            self.on_failed(attempt, EngineFailure::Malformed, ctx);
            return;
        }
        self.finish(attempt.request, ctx);
    }

    /// Completes the answer after its last token.
    fn finish(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        ctx.count(Counter::CompletionsFinished);
        ctx.push(Effect::Finish {
            call: stream.call,
            generated_tokens: stream.delivered_tokens,
        });
        self.report_grant_end(id, GrantEnd::Finished, ctx);
        self.cancel_prefill_result(id, ctx);
        self.remove(id);
    }

    /// Handles an engine failure: places the request again, without the endpoint that failed.
    fn on_failed(&mut self, attempt: AttemptId, failure: EngineFailure, ctx: &mut Context<'_>) {
        if self.is_standby(attempt) {
            self.on_standby_failed(attempt, failure, ctx);
            return;
        }
        if self.current_stream(attempt).is_none() {
            ctx.count(Counter::StaleMessages);
            return;
        }
        let end = match (attempt.stage, failure) {
            (Stage::Prefill, _) => GrantEnd::PrefillFailed,
            (Stage::Decode, EngineFailure::TransferLost) => GrantEnd::TransferFailed,
            (Stage::Decode, _) => GrantEnd::DecodeFailed,
        };
        if attempt.stage == Stage::Decode {
            self.discard_used_result(attempt.request, failure, ctx);
        }
        self.fail_over(attempt, end, failure != EngineFailure::Unreachable, ctx);
    }

    /// Discards the prefill result of a failed decode if the failure shows that it cannot be fetched again.
    pub(super) fn discard_used_result(
        &mut self,
        id: RequestId,
        failure: EngineFailure,
        ctx: &mut Context<'_>,
    ) {
        if failure == EngineFailure::Malformed {
            // The engine answered, so it probably fetched the result, which then cannot be reused for another decode.
            self.cancel_prefill_result(id, ctx);
        } else if failure == EngineFailure::TransferLost {
            // The engine reported that the result no longer exists.
            let stream = self.streams.get_mut(&id);
            if stream
                .and_then(|stream| stream.prefill_result.take())
                .is_some()
            {
                ctx.count(Counter::PrefillsWasted);
            }
        }
    }

    /// Ends an attempt at an engine and requests the next placement, or ends the answer.
    ///
    /// If the retries are exhausted, a standby decode continues.
    ///
    /// If `engine_may_hold` is set, the attempt is cancelled at the engine, and a failed decode sets `may_have_run`.
    pub(super) fn fail_over(
        &mut self,
        attempt: AttemptId,
        end: GrantEnd,
        engine_may_hold: bool,
        ctx: &mut Context<'_>,
    ) {
        let id = attempt.request;
        let Some(stream) = self.current_stream(attempt) else {
            return;
        };
        stream.failures += 1;
        stream.may_have_run |= engine_may_hold && end == GrantEnd::DecodeFailed;
        stream.avoid_failed(end);
        let retries_exhausted = stream.failures > MAX_FAILURES;
        let complete = stream.delivered_tokens >= stream.max_output_tokens;
        let to_cancel = stream.engine_attempt(id).filter(|_| engine_may_hold);
        if let Some((held_attempt, endpoint, address)) = to_cancel {
            self.cancels.start(held_attempt, endpoint, address, ctx);
        }
        if complete {
            self.finish(id, ctx);
            return;
        }
        if attempt.stage == Stage::Decode {
            ctx.count(Counter::DecodesMoved);
        }
        self.report_grant_end(id, end, ctx);
        if retries_exhausted {
            if self.resume_standby(id, ctx) {
                return;
            }
            self.fail(id, ProblemKind::UpstreamFailed, ctx);
            return;
        }
        self.request_placement(id, ctx);
    }
}
