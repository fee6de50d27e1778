//! Silence of exchanges: how long each may last, and what follows one that is too long.

use std::time::Duration;

use crate::CallId;
use crate::relay::ExchangeId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayTimer;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::CurrentExchange;

/// Shortest silence in the middle of a stream after which a resumable stream is moved to another engine.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);

/// Time added to twice a prefill's estimate before another engine is tried.
const PREFILL_SLACK: Duration = Duration::from_millis(1_200);

impl Relay {
    /// Sets a timer for the instant at which the call's exchange exceeds its allowed silence.
    pub(in crate::relay) fn set_silence_timer(&mut self, id: CallId) {
        let Some((exchange, silent_at)) = self.calls.get(&id).and_then(|call| {
            let current = call.current.as_ref()?;
            let silence_limit = self.silence_limit(call, current)?;
            Some((current.exchange, current.last_activity_at + silence_limit))
        }) else {
            return;
        };
        self.timers
            .set(silent_at, RelayTimer::CheckSilence(exchange));
    }

    /// Returns the silence after which the exchange is abandoned for a retry; none if no retry is allowed, or if the stream has ended and
    /// nothing more is expected but the proof that it is complete.
    fn silence_limit(&self, call: &Call, current: &CurrentExchange) -> Option<Duration> {
        if current.ended_at.is_some() && call.route.is_stream {
            return None;
        }
        let may_retry_silent =
            call.route.allows_repeated_runs() && call.attempts < call.route.max_attempts;
        match current.stage {
            CallStage::Reserve => Some(current.answer_due.saturating_sub(current.sent_at)),
            CallStage::Prefill => {
                let expected = current.answer_due.saturating_sub(current.sent_at);
                Some(expected * 2 + PREFILL_SLACK)
            }
            CallStage::Plain => may_retry_silent.then(|| call.run_silence()),
            CallStage::Decode { .. } => may_retry_silent.then(|| call.stream_silence()),
            CallStage::Forward => may_retry_silent.then(|| {
                let of_endpoint = if call.route.is_stream {
                    call.stream_silence()
                } else {
                    call.run_silence()
                };
                call.forward_silence(of_endpoint)
            }),
        }
    }

    /// Handles an exchange that exceeded its allowed silence: one that may run the request is kept while the request is moved,
    /// others are closed and done again. If the retry budget is spent, the exchange goes on and is checked again later; a
    /// reservation needs no budget.
    pub(in crate::relay) fn check_silence(&mut self, exchange: ExchangeId) {
        let Some(id) = self.calls_by_exchange.get(&exchange).copied() else {
            return;
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        if current.exchange != exchange {
            // The exchange is in standby.
            return;
        }
        let Some(silence_limit) = self.silence_limit(call, current) else {
            return;
        };
        if self.now < current.last_activity_at + silence_limit {
            self.set_silence_timer(id);
            return;
        }
        let stage = current.stage;
        if stage == CallStage::Reserve {
            self.on_reservation_silent(id);
            return;
        }
        if !self.take_retry(id) {
            self.check_silence_later(id);
            return;
        }
        if stage.runs_request() {
            // Of two silent endpoints, the one that has been silent for less long is kept.
            self.drop_standby(id);
            self.move_from_silent(id);
            return;
        }
        self.effects.push(RelayEffect::Close { exchange });
        self.fail_exchange(id, "silent", true);
        self.retry_or_fail(id);
    }

    /// Sets a timer for the instant at which the call's exchange is silent if it goes on being so from now.
    pub(in crate::relay) fn check_silence_later(&mut self, id: CallId) {
        let Some((exchange, silence_limit)) = self.calls.get(&id).and_then(|call| {
            let current = call.current.as_ref()?;
            Some((current.exchange, self.silence_limit(call, current)?))
        }) else {
            return;
        };
        let due = self.now + silence_limit;
        self.timers.set(due, RelayTimer::CheckSilence(exchange));
    }
}

impl Call {
    /// Returns the silence after which a plain request is moved to another endpoint.
    fn run_silence(&self) -> Duration {
        self.route.latency_target * 2
    }

    /// Returns the silence after which a stream is moved to another engine.
    fn stream_silence(&self) -> Duration {
        let silence = STREAM_SILENCE.max(self.route.event_interval_target * 3);
        if self.has_stream_started {
            silence
        } else {
            silence + self.route.latency_target
        }
    }
}
