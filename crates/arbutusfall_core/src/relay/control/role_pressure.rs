//! Signs of the load on a service's engines that one VM sees: arrivals, refused reservations and waits for prefills.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of review intervals whose arrivals count as the present load.
const RECENT_INTERVALS: usize = 8;

/// Number of review intervals before them with whose arrivals they are compared.
const EARLIER_INTERVALS: usize = 16;

/// Standard deviations by which arrivals must exceed the earlier ones before the load counts as rising.
const RISE_DEVIATIONS: f64 = 2.0;

/// Time after a refused reservation in which decode memory counts as scarce.
const REFUSAL_TIME: Duration = Duration::from_secs(6);

/// Time constant of the decay of observed waits for prefills.
const WAIT_DECAY_TIME: Duration = Duration::from_secs(6);

/// Mean wait for a prefill from which prefill counts as scarce: about one prefill of a typical prompt.
const MAX_PREFILL_WAIT_S: f64 = 0.1;

/// Prefills, after decay, below which their mean wait says nothing.
const MIN_PREFILLS: f64 = 0.5;

/// Signs of load on one service's engines.
#[derive(Debug, Clone, Default)]
pub(super) struct RolePressure {
    /// Arrivals in each review interval, the current one last.
    ///
    /// Invariant: at most [`RECENT_INTERVALS`] plus [`EARLIER_INTERVALS`] entries.
    arrivals: VecDeque<u32>,
    refused_at: Option<Duration>,
    /// Decayed sum of the waits for prefills.
    prefill_wait_s: f64,
    /// Decayed number of prefills.
    prefills: f64,
}

impl RolePressure {
    /// Counts a request that arrived.
    pub(super) fn on_arrival(&mut self) {
        match self.arrivals.back_mut() {
            Some(count) => *count = count.saturating_add(1),
            None => self.arrivals.push_back(1),
        }
    }

    /// Records that an engine had no memory for a request.
    pub(super) fn on_reservation_refused(&mut self, now: Duration) {
        self.refused_at = Some(now);
    }

    /// Records how long a prefill queued at its engine.
    pub(super) fn on_prefilled(&mut self, wait: Duration) {
        self.prefill_wait_s += wait.as_secs_f64();
        self.prefills += 1.0;
    }

    /// Begins the next review interval.
    pub(super) fn on_interval(&mut self, interval: Duration) {
        self.arrivals.push_back(0);
        while self.arrivals.len() > RECENT_INTERVALS + EARLIER_INTERVALS {
            self.arrivals.pop_front();
        }
        let left = (-interval.as_secs_f64() / WAIT_DECAY_TIME.as_secs_f64()).exp();
        self.prefill_wait_s *= left;
        self.prefills *= left;
    }

    /// Returns whether significantly more requests arrive than before. The variance of a number of arrivals is taken to be that
    /// number, as if they were independent.
    ///
    /// Until all earlier intervals have been observed, the missing ones count as without arrivals, so a load may count as rising.
    pub(super) fn is_rising(&self) -> bool {
        let newest_first = self.arrivals.iter().rev().map(|count| f64::from(*count));
        let recent: f64 = newest_first.clone().take(RECENT_INTERVALS).sum();
        let earlier: f64 = newest_first.skip(RECENT_INTERVALS).sum();
        let scale = RECENT_INTERVALS as f64 / EARLIER_INTERVALS as f64;
        let deviation = (recent + earlier * scale * scale).sqrt();
        recent - earlier * scale > RISE_DEVIATIONS * deviation
    }

    /// Returns whether decode memory is scarce.
    pub(super) fn is_decode_scarce(&self, now: Duration) -> bool {
        self.refused_at
            .is_some_and(|refused_at| now < refused_at + REFUSAL_TIME)
    }

    /// Returns whether prefills wait for long.
    pub(super) fn is_prefill_scarce(&self) -> bool {
        self.prefills >= MIN_PREFILLS && self.prefill_wait_s > MAX_PREFILL_WAIT_S * self.prefills
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const INTERVAL: Duration = Duration::from_millis(500);

    fn with_arrivals(per_interval: &[(usize, u32)]) -> RolePressure {
        let mut pressure = RolePressure::default();
        for (intervals, arrivals) in per_interval {
            for _ in 0..*intervals {
                pressure.on_interval(INTERVAL);
                for _ in 0..*arrivals {
                    pressure.on_arrival();
                }
            }
        }
        pressure
    }

    // Guards against changes at the start of a burst, when each engine is needed.
    #[test]
    fn burst_counts_as_rising_load() {
        assert!(with_arrivals(&[(16, 1), (8, 3)]).is_rising());
    }

    // Guards against a service that never changes its split under steady or little load.
    #[test]
    fn steady_load_is_not_rising() {
        assert!(!with_arrivals(&[(24, 2)]).is_rising());
        assert!(!with_arrivals(&[(22, 0), (2, 1)]).is_rising());
    }

    // Guards against signs that outlast the load.
    #[test]
    fn refusals_and_waits_are_forgotten() {
        let mut pressure = RolePressure::default();
        pressure.on_reservation_refused(Duration::from_secs(1));
        pressure.on_prefilled(Duration::from_millis(500));
        assert!(pressure.is_decode_scarce(Duration::from_secs(2)));
        assert!(pressure.is_prefill_scarce());
        for _ in 0..20 {
            pressure.on_interval(INTERVAL);
        }
        assert!(!pressure.is_decode_scarce(Duration::from_secs(11)));
        assert!(!pressure.is_prefill_scarce());
    }
}
