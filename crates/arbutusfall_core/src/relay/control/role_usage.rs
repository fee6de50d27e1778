//! Usage of a service's engines by this VM's streams, with the confidence bounds of its estimate.

use std::time::Duration;

/// Time constant of the decay of recorded usage: a VM that sees 0.7 streams a second decides from some 20.
const USAGE_DECAY_TIME: Duration = Duration::from_secs(30);

/// Number of this VM's recent streams, ended or in progress, before its usage decides on roles.
const MIN_STREAMS: f64 = 4.0;

/// Standard deviation that is assumed for one stream's ratio of prefill to decode, in addition to the observed one: few streams
/// may be alike by chance.
const PRIOR_DEVIATION: f64 = 0.5;

/// Usage of the engines by one stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamUsage {
    /// Compute time of its prefill.
    pub(crate) prefill: Duration,
    /// Memory allocated to it.
    pub(crate) memory_tokens: u64,
    /// Time for which it streamed and held that memory.
    pub(crate) decode: Duration,
}

/// Ratio of the prefill to the decode that streams need, with its bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct NeedRatio {
    /// Seconds of prefill for each token second of decode memory.
    pub(super) estimate: f64,
    /// Standard deviation of the estimate's logarithm.
    pub(super) log_deviation: f64,
}

impl NeedRatio {
    /// Returns the lower and the upper bound at `deviations` standard deviations from the estimate.
    pub(super) fn bounds(self, deviations: f64) -> (f64, f64) {
        let factor = (deviations * self.log_deviation).exp();
        (self.estimate / factor, self.estimate * factor)
    }
}

/// Usage of the engines by this VM's streams of a service. All sums decay; `observed_since` does not.
///
/// Prefill and decode are counted for the same streams, so that their ratio is correct even shortly after the start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EngineUsage {
    /// Decayed number of streams, ended or in progress.
    streams: f64,
    /// Decayed number of ended streams.
    ended_streams: f64,
    prefill_s: f64,
    /// Memory of decode engines times the time for which it was held, in token seconds.
    decode_token_s: f64,
    /// Sums of squares and products of the two, for their variances.
    prefill_squares: f64,
    decode_squares: f64,
    products: f64,
    /// Memory that ended streams held, in tokens.
    ended_tokens: f64,
    /// Start of the first stream.
    observed_since: Option<Duration>,
}

impl EngineUsage {
    /// Adds a stream that has ended.
    pub(super) fn add_ended(&mut self, stream: StreamUsage, now: Duration) {
        self.observe_from(now.saturating_sub(stream.decode));
        self.ended_streams += 1.0;
        self.ended_tokens += stream.memory_tokens as f64;
        self.add(stream);
    }

    /// Adds a stream in progress, with the time for which it will probably last.
    pub(super) fn add_in_progress(
        &mut self,
        prefill: Duration,
        memory_tokens: u64,
        began_at: Duration,
        mean_decode: Duration,
        now: Duration,
    ) {
        self.observe_from(began_at);
        self.add(StreamUsage {
            prefill,
            memory_tokens,
            decode: mean_decode.max(now.saturating_sub(began_at)),
        });
    }

    fn observe_from(&mut self, began_at: Duration) {
        let since = self.observed_since.unwrap_or(began_at);
        self.observed_since = Some(since.min(began_at));
    }

    fn add(&mut self, stream: StreamUsage) {
        let prefill_s = stream.prefill.as_secs_f64();
        let decode_token_s = stream.memory_tokens as f64 * stream.decode.as_secs_f64();
        self.streams += 1.0;
        self.prefill_s += prefill_s;
        self.decode_token_s += decode_token_s;
        self.prefill_squares += prefill_s * prefill_s;
        self.decode_squares += decode_token_s * decode_token_s;
        self.products += prefill_s * decode_token_s;
    }

    /// Reduces the weight of all streams by the time that has passed.
    pub(super) fn decay(&mut self, passed: Duration) {
        let left = (-passed.as_secs_f64() / USAGE_DECAY_TIME.as_secs_f64()).exp();
        self.streams *= left;
        self.ended_streams *= left;
        self.prefill_s *= left;
        self.decode_token_s *= left;
        self.ended_tokens *= left;
        // The weight of a stream in a variance is squared.
        let left = left * left;
        self.prefill_squares *= left;
        self.decode_squares *= left;
        self.products *= left;
    }

    /// Returns the mean time for which ended streams held their memory, weighted by memory.
    pub(super) fn mean_decode(&self) -> Duration {
        Duration::from_secs_f64(self.decode_token_s / self.ended_tokens.max(1.0))
    }

    /// Returns whether streams have been observed for at least `time`.
    pub(super) fn is_observed_for(&self, time: Duration, now: Duration) -> bool {
        self.observed_since.is_some_and(|since| now >= since + time)
    }

    /// Returns whether enough streams have ended to know how long they last.
    pub(super) fn knows_duration(&self) -> bool {
        self.ended_streams >= MIN_STREAMS
    }

    /// Returns the ratio of prefill to decode; none after too few streams.
    pub(super) fn need_ratio(&self) -> Option<NeedRatio> {
        if self.streams < MIN_STREAMS || self.prefill_s <= 0.0 {
            return None;
        }
        let prefill_s = self.prefill_s;
        // Streams that have just begun have held no memory yet.
        let decode_token_s = self.decode_token_s.max(1.0);
        // Variance of the logarithm of a ratio of two sums, to first order.
        let observed = self.prefill_squares / (prefill_s * prefill_s)
            + self.decode_squares / (decode_token_s * decode_token_s)
            - 2.0 * self.products / (prefill_s * decode_token_s);
        let assumed = PRIOR_DEVIATION * PRIOR_DEVIATION / self.streams;
        Some(NeedRatio {
            estimate: prefill_s / decode_token_s,
            log_deviation: (observed.max(0.0) + assumed).sqrt(),
        })
    }
}
