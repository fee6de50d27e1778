//! Engines that say nothing: a silent connection is told from a dead engine, and neither is waited for without bound.

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
use crate::streams::stream::Inquiry;
use crate::streams::stream::Stream;
use crate::timers::Timer;

/// Multiple of the estimated transfer time after which the first token is overdue.
const TRANSFER_SLACK: u32 = 2;

/// Token intervals within which a new connection must bring a token that the engine already has.
const RESUME_STEPS: u32 = 4;

/// Share of a prefill result's lifetime that a transfer is given at least.
///
/// The rest is left for another decode engine to fetch the same result.
const TRANSFER_LIFETIME_SHARE: f64 = 0.5;

impl Streams {
    /// Looks again when the engine of the current stage is overdue.
    pub(super) fn watch(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            return;
        };
        let Some(due) = overdue_at(stream, attempt.stage, ctx.site) else {
            return;
        };
        let after = due.saturating_sub(ctx.now.monotonic);
        ctx.set_timer(after, Timer::StageOverdue { attempt });
    }

    /// The engine of a stage may be overdue: asks about the attempt, opens a new connection, or leaves the engine.
    pub(crate) fn on_stage_overdue(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            return;
        };
        let Some(due) = overdue_at(stream, attempt.stage, ctx.site) else {
            return;
        };
        if ctx.now.monotonic < due {
            // There was a sign of the engine meanwhile.
            self.watch(attempt, ctx);
            return;
        }
        match (
            attempt.stage,
            stream.running().map(|running| running.inquiry),
        ) {
            (Stage::Prefill, _) => self.ask_prefill_engine(attempt, ctx),
            (Stage::Decode, Some(Inquiry::None)) => self.resume(attempt, ctx),
            (Stage::Decode, _) => self.leave_silent_decode(attempt, ctx),
        }
    }

    /// Asks a prefill engine whether it holds the attempt; a prefill gives no sign until it is done.
    fn ask_prefill_engine(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        let Some(running) = self.current(attempt).and_then(Stream::running) else {
            return;
        };
        let (Some(address), endpoint) = (running.address, running.engine().clone()) else {
            return;
        };
        running.inquiry = Inquiry::Asked;
        running.quiet_since = now;
        ctx.push(Effect::ListActive { endpoint, address });
        self.watch(attempt, ctx);
    }

    /// An engine said what it holds, or did not answer: prefills that it does not have are placed again.
    pub(super) fn on_active(
        &mut self,
        endpoint: &Name,
        held: Option<&[AttemptId]>,
        ctx: &mut Context<'_>,
    ) {
        let now = ctx.now.monotonic;
        let mut lost = Vec::new();
        for (id, stream) in &mut self.streams {
            let Some((attempt, ..)) = stream.engine_use(*id) else {
                continue;
            };
            let asked = stream.running().filter(|running| {
                running.inquiry == Inquiry::Asked && running.engine() == endpoint
            });
            let Some(running) = asked else {
                continue;
            };
            if held.is_some_and(|held| held.contains(&attempt)) {
                running.inquiry = Inquiry::None;
                running.quiet_since = now;
            } else {
                lost.push(attempt);
            }
        }
        for attempt in lost {
            self.move_on(attempt, GrantEnd::PrefillFailed, true, ctx);
        }
    }

    /// Opens a new connection to a decode engine; the old one may have been lost on the way.
    fn resume(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        let Some(stream) = self.current(attempt) else {
            return;
        };
        let call = stream.call;
        let Some(running) = stream.running() else {
            return;
        };
        let Some(address) = running.address else {
            return;
        };
        running.inquiry = Inquiry::Resumed;
        running.quiet_since = now;
        let from_index = running.received_tokens();
        ctx.count(Counter::ConnectionsReplaced);
        ctx.push(Effect::Resume {
            attempt,
            call,
            address,
            from_index,
        });
        self.watch(attempt, ctx);
    }

    /// A new connection brought nothing either.
    fn leave_silent_decode(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(stream) = self.current(attempt) else {
            return;
        };
        // Tokens may have been generated that no connection brought.
        stream.may_have_run = true;
        let end = match stream.received_tokens() {
            0 => GrantEnd::TransferFailed,
            _ => GrantEnd::DecodeFailed,
        };
        self.move_on(attempt, end, true, ctx);
    }
}

/// Instant at which the engine of the current stage is overdue; none if no engine works.
fn overdue_at(stream: &mut Stream, stage: Stage, site: &SiteConfig) -> Option<Duration> {
    let silence = Duration::from_millis(site.timing.engine_silence_ms);
    let transfer = transfer_limit(stream, site);
    let running = stream.running()?;
    let limit = match (stage, running.inquiry) {
        (Stage::Prefill, Inquiry::None) => running.grant.first_token_after + silence,
        (Stage::Prefill, _) => silence,
        (Stage::Decode, _) if running.received_tokens() > 0 => silence,
        (Stage::Decode, Inquiry::None) => transfer,
        (Stage::Decode, _) => resume_limit(stream, site).min(silence),
    };
    stream.running().map(|running| running.quiet_since + limit)
}

/// Time allowed from the order of a decode to its first token.
fn transfer_limit(stream: &Stream, site: &SiteConfig) -> Duration {
    let Some(model) = site.models.get(stream.model()) else {
        return Duration::from_millis(site.timing.engine_silence_ms);
    };
    let result = stream.result.as_ref();
    let link = result.and_then(|result| site.endpoints.get(&result.endpoint));
    let link = link.map_or(u64::MAX, |endpoint| endpoint.link_bytes_per_s);
    let transfer = model.transfer_time(stream.context_tokens(), link);
    let first_token = transfer * TRANSFER_SLACK + model.decode_step();
    let share = model
        .prefill_result_lifetime()
        .mul_f64(TRANSFER_LIFETIME_SHARE);
    let expected = stream.expected_first_token().unwrap_or_default();
    let expected = expected + model.decode_step() * RESUME_STEPS;
    first_token.max(share).max(expected)
}

/// Time allowed for a token over a new connection.
fn resume_limit(stream: &Stream, site: &SiteConfig) -> Duration {
    let model = site.models.get(stream.model());
    model.map_or(Duration::MAX, |model| model.decode_step() * RESUME_STEPS)
}
