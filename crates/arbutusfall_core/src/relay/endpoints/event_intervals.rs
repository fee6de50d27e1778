//! Time between the events of an engine's streams, by which one that is slower than others gets fewer requests.

use std::time::Duration;

/// Weight of the newest interval in the mean: a stream has many, and some of its events arrive together.
const NEWEST_WEIGHT: f64 = 0.05;

/// Ratio to the median of the service from which an engine counts as slow; smaller ones may come from a fuller batch.
const SLOW_RATIO: f64 = 1.5;

/// Smallest share of a slow engine, so that its recovery is noticed.
const MIN_SLOW_SHARE: f64 = 0.125;

/// Time constant of the exponential decay of the trust in a mean after its newest interval.
const TRUST_DECAY_TIME: Duration = Duration::from_secs(30);

/// Running mean of the time between two events of a stream, over all streams of this VM at one engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct EventIntervals {
    /// In seconds; none before the first interval.
    mean_s: Option<f64>,
    updated_at: Duration,
}

impl EventIntervals {
    /// Records the time between two events of a stream.
    pub(crate) fn on_interval(&mut self, interval: Duration, now: Duration) {
        let newest_s = interval.as_secs_f64();
        let mean_s = self.mean_s.unwrap_or(newest_s);
        self.mean_s = Some(mean_s + (newest_s - mean_s) * NEWEST_WEIGHT);
        self.updated_at = now;
    }

    /// Returns the fraction of this VM's selections that may use the engine: 1 unless it is slow in comparison with the median.
    pub(crate) fn share(&self, median_s: Option<f64>, now: Duration) -> f64 {
        let (Some(mean_s), Some(median_s)) = (self.mean_s, median_s) else {
            return 1.0;
        };
        let ratio = mean_s / median_s;
        if ratio.is_nan() || ratio < SLOW_RATIO {
            return 1.0;
        }
        let share = ratio.recip().max(MIN_SLOW_SHARE);
        let age = now.saturating_sub(self.updated_at);
        let trust = (-age.as_secs_f64() / TRUST_DECAY_TIME.as_secs_f64()).exp();
        1.0 - (1.0 - share) * trust
    }
}

/// Returns the median of the mean intervals of several engines in seconds, of two the smaller one; none if fewer than two are known.
pub(crate) fn median_s<'a>(intervals: impl Iterator<Item = &'a EventIntervals>) -> Option<f64> {
    let mut means: Vec<f64> = intervals.filter_map(|known| known.mean_s).collect();
    if means.len() < 2 {
        return None;
    }
    let middle = (means.len() - 1) / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

#[cfg(test)]
mod tests {
    use super::EventIntervals;
    use super::MIN_SLOW_SHARE;
    use super::TRUST_DECAY_TIME;
    use super::median_s;
    use std::time::Duration;

    const NOW: Duration = Duration::from_secs(1);

    fn with_interval(millis: u64) -> EventIntervals {
        let mut intervals = EventIntervals::default();
        intervals.on_interval(Duration::from_millis(millis), NOW);
        intervals
    }

    // Guards against fewer requests for engines that differ by little.
    #[test]
    fn only_a_slow_engine_has_a_smaller_share() {
        let all = [50, 55, 70, 125, 5_000].map(with_interval);
        let median = median_s(all.iter());
        let shares = all.each_ref().map(|known| known.share(median, NOW));
        assert_eq!(shares[..3], [1.0; 3]);
        assert!((shares[3] - 0.56).abs() < 1e-9, "{shares:?}");
        assert!((shares[4] - MIN_SLOW_SHARE).abs() < 1e-9, "{shares:?}");
    }

    // Guards against an engine that stays slow in this VM's view because it gets no requests.
    #[test]
    fn share_recovers_without_requests() {
        let all = [50, 50, 500].map(with_interval);
        let median = median_s(all.iter());
        assert!(all[2].share(median, NOW + 3 * TRUST_DECAY_TIME) > 0.9);
    }

    // Guards against a comparison of an engine with itself, or with nothing.
    #[test]
    fn single_engine_is_not_slow() {
        let only = with_interval(5_000);
        let median = median_s([&only].into_iter());
        assert!((only.share(median, NOW) - 1.0).abs() < 1e-9);
    }
}
