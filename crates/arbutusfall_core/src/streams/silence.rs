//! Timeouts for silent engines, which distinguish a lost connection from a failed engine.

use std::time::Duration;

use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::Name;

use crate::AttemptId;
use crate::Counter;
use crate::Effect;
use crate::Stage;
use crate::config::SiteConfig;
use crate::context::Context;
use crate::streams::Streams;
use crate::streams::stream::LivenessCheck;
use crate::streams::stream::Stream;
use crate::timers::Timer;

/// Factor of the estimated transfer time in the first-token timeout, unless another bound is longer.
const TRANSFER_TIME_FACTOR: u32 = 2;

/// Decode steps within which the first token must arrive over a new connection; it should already be generated.
///
/// Also added to the owner's estimate of the first token.
const FIRST_TOKEN_SLACK_STEPS: u32 = 4;

/// Minimum first-token timeout, as a fraction of the prefill result's lifetime.
///
/// Unless a longer time is estimated, the rest of the lifetime lets another decode engine fetch the same result.
const MIN_TIMEOUT_LIFETIME_FRACTION: f64 = 0.5;

impl Streams {
    /// Sets a timer for the instant at which the engine of the current stage is overdue.
    pub(super) fn set_overdue_timer(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current_stream(attempt) else {
            return;
        };
        let Some(due) = overdue_at(stream, attempt.stage, ctx.site_config) else {
            return;
        };
        let after = due.saturating_sub(ctx.now.monotonic);
        ctx.set_timer(after, Timer::StageOverdue { attempt });
    }

    /// Handles the overdue timer of a stage: checks the engine, opens a new connection, or moves the request.
    pub(crate) fn on_stage_overdue(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current_stream(attempt) else {
            return;
        };
        let Some(due) = overdue_at(stream, attempt.stage, ctx.site_config) else {
            return;
        };
        if ctx.now.monotonic < due {
            // The engine responded since the timer was set.
            self.set_overdue_timer(attempt, ctx);
            return;
        }
        match (
            attempt.stage,
            stream.running().map(|running| running.liveness_check),
        ) {
            (Stage::Prefill, _) => self.check_prefill_engine(attempt, ctx),
            (Stage::Decode, Some(LivenessCheck::NotChecked)) => self.reconnect(attempt, ctx),
            (Stage::Decode, _) => self.move_from_silent(attempt, ctx),
        }
    }

    /// Requests the attempts of a prefill engine, since a prefill sends nothing until it is done.
    fn check_prefill_engine(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        let Some(running) = self.current_stream(attempt).and_then(Stream::running) else {
            return;
        };
        let (Some(address), endpoint) = (running.address, running.engine().clone()) else {
            return;
        };
        running.liveness_check = LivenessCheck::Asked;
        running.timeout_from = now;
        ctx.push(Effect::ListAttempts { endpoint, address });
        self.set_overdue_timer(attempt, ctx);
    }

    /// Handles an engine's list of attempts, or `None` if it did not answer.
    ///
    /// Prefills that the engine does not list are placed again; without an answer, all of them are.
    pub(super) fn on_attempts_listed(
        &mut self,
        endpoint: &Name,
        listed: Option<&[AttemptId]>,
        ctx: &mut Context<'_>,
    ) {
        let now = ctx.now.monotonic;
        let mut lost = Vec::new();
        for (id, stream) in &mut self.streams {
            let Some((attempt, ..)) = stream.engine_attempt(*id) else {
                continue;
            };
            let asked = stream.running().filter(|running| {
                running.liveness_check == LivenessCheck::Asked && running.engine() == endpoint
            });
            let Some(running) = asked else {
                continue;
            };
            if listed.is_some_and(|listed| listed.contains(&attempt)) {
                running.liveness_check = LivenessCheck::NotChecked;
                running.timeout_from = now;
            } else {
                lost.push(attempt);
            }
        }
        for attempt in lost {
            self.fail_over(attempt, GrantEnd::PrefillFailed, true, ctx);
        }
    }

    /// Opens a new connection to a decode engine, since the old one may be lost.
    fn reconnect(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        let Some(stream) = self.current_stream(attempt) else {
            return;
        };
        let call = stream.call;
        let Some(running) = stream.running() else {
            return;
        };
        let Some(address) = running.address else {
            return;
        };
        running.liveness_check = LivenessCheck::Reconnected;
        running.timeout_from = now;
        let from_index = running.received_tokens();
        ctx.count(Counter::ConnectionsReplaced);
        ctx.push(Effect::Reconnect {
            attempt,
            call,
            address,
            from_index,
        });
        self.set_overdue_timer(attempt, ctx);
    }
}

/// Returns the instant at which the engine of the current stage is overdue, or `None` if no engine is in use.
fn overdue_at(stream: &mut Stream, stage: Stage, site: &SiteConfig) -> Option<Duration> {
    let silence = Duration::from_millis(site.timing.engine_silence_ms);
    let first_token = first_token_timeout(stream, site);
    let running = stream.running()?;
    let timeout = match (stage, running.liveness_check) {
        (Stage::Prefill, LivenessCheck::NotChecked) => running.grant.first_token_after + silence,
        (Stage::Prefill, _) => silence,
        (Stage::Decode, _) if running.received_tokens() > 0 => silence,
        (Stage::Decode, LivenessCheck::NotChecked) => first_token,
        (Stage::Decode, _) => reconnect_timeout(stream, site).min(silence),
    };
    stream
        .running()
        .map(|running| running.timeout_from + timeout)
}

/// Returns the timeout from sending a decode to its first token.
fn first_token_timeout(stream: &Stream, site: &SiteConfig) -> Duration {
    let Some(model) = site.models.get(stream.model()) else {
        return Duration::from_millis(site.timing.engine_silence_ms);
    };
    let prefill_result = stream.prefill_result.as_ref();
    let prefill_endpoint =
        prefill_result.and_then(|prefill_result| site.endpoints.get(&prefill_result.endpoint));
    let link_bytes_per_s = prefill_endpoint.map_or(u64::MAX, |endpoint| endpoint.link_bytes_per_s);
    let transfer_time = model.transfer_time(stream.context_tokens(), link_bytes_per_s);
    let from_transfer = transfer_time * TRANSFER_TIME_FACTOR + model.decode_step();
    let min_timeout = model
        .prefill_result_lifetime()
        .mul_f64(MIN_TIMEOUT_LIFETIME_FRACTION);
    let expected = stream.expected_first_token_delay().unwrap_or_default();
    let expected = expected + model.decode_step() * FIRST_TOKEN_SLACK_STEPS;
    from_transfer.max(min_timeout).max(expected)
}

/// Returns the timeout for the first token over a new connection.
fn reconnect_timeout(stream: &Stream, site: &SiteConfig) -> Duration {
    let model = site.models.get(stream.model());
    model.map_or(Duration::MAX, |model| {
        model.decode_step() * FIRST_TOKEN_SLACK_STEPS
    })
}
