//! Slow start: limits the load of an endpoint that has just started, or has failed, until it has answered in time.
//!
//! VMs don't know of each other's requests, and each sees few. So the window limits both this VM's requests in flight and
//! the fraction of its selections that may use the endpoint, which keeps the requests of all VMs together a small
//! fraction of the usual load, whatever the number of VMs.

use std::time::Duration;

/// Requests in flight that one VM may have at an endpoint that has not answered yet.
const INITIAL_WINDOW: u32 = 1;

/// Window at which slow start ends; the fraction of selections is the window divided by it.
const FULL_WINDOW: u32 = 32;

/// Largest window without a timely answer at the present one: only an answer ends slow start.
const MAX_UNPROVED_WINDOW: u32 = FULL_WINDOW / 2;

/// Time in which the window doubles while this VM waits for no answer of the endpoint. A VM that sends an endpoint one request
/// in many seconds would hold it back for minutes otherwise.
const IDLE_DOUBLING_TIME: Duration = Duration::from_secs(2);

/// Bad outcomes in a row, each of which doubles [`IDLE_DOUBLING_TIME`], that are counted.
const MAX_BAD_OUTCOMES: u32 = 3;

/// Window of one VM for an endpoint in slow start.
#[derive(Debug, Clone)]
pub(crate) struct SlowStart {
    /// Invariant: from [`INITIAL_WINDOW`] to [`FULL_WINDOW`], exclusive.
    window: u32,
    /// When the window last changed, or the last of this VM's requests at the endpoint ended.
    idle_since: Duration,
    /// Late, refused and failed requests since the last timely answer.
    bad_outcomes: u32,
    /// Whether the newest outcome was a timely answer.
    is_proved: bool,
    began_at: Duration,
}

impl SlowStart {
    /// Begins the slow start of an endpoint.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            window: INITIAL_WINDOW,
            idle_since: now,
            bad_outcomes: 0,
            is_proved: false,
            began_at: now,
        }
    }

    /// Returns the instant at which slow start began.
    pub(crate) fn began_at(&self) -> Duration {
        self.began_at
    }

    /// Returns whether the newest outcome was a timely answer.
    pub(crate) fn is_proved(&self) -> bool {
        self.is_proved
    }

    /// Returns whether this VM may have one more request in flight at the endpoint.
    pub(crate) fn has_room(&self, in_flight: u32, now: Duration) -> bool {
        in_flight < self.window(in_flight, now)
    }

    /// Returns the fraction of this VM's selections that may use the endpoint.
    pub(crate) fn share(&self, in_flight: u32, now: Duration) -> f64 {
        f64::from(self.window(in_flight, now)) / f64::from(FULL_WINDOW)
    }

    /// Returns the window. It grows with time only while nothing is in flight: an answer that is awaited decides.
    fn window(&self, in_flight: u32, now: Duration) -> u32 {
        if in_flight > 0 || self.window >= MAX_UNPROVED_WINDOW {
            return self.window;
        }
        let doubling_time = IDLE_DOUBLING_TIME * (1 << self.bad_outcomes);
        let idle = now.saturating_sub(self.idle_since);
        let doublings = (idle.as_millis() / doubling_time.as_millis()).min(8) as u32;
        (self.window << doublings).min(MAX_UNPROVED_WINDOW)
    }

    /// Records that a request is sent while `in_flight` others are at the endpoint.
    pub(crate) fn on_sent(&mut self, in_flight: u32, now: Duration) {
        self.window = self.window(in_flight, now);
    }

    /// Records that the last of this VM's requests at the endpoint ended.
    pub(crate) fn on_idle(&mut self, now: Duration) {
        self.idle_since = now;
    }

    /// Records a timely answer; returns whether slow start has ended.
    pub(crate) fn on_timely(&mut self, now: Duration) -> bool {
        self.window *= 2;
        self.idle_since = now;
        self.bad_outcomes = 0;
        self.is_proved = true;
        self.window >= FULL_WINDOW
    }

    /// Records a late answer or a refusal.
    pub(crate) fn on_late(&mut self, now: Duration) {
        self.window = (self.window / 2).max(INITIAL_WINDOW);
        self.on_bad_outcome(now);
    }

    /// Records a failure of the endpoint: the window starts over.
    pub(crate) fn on_failed(&mut self, now: Duration) {
        self.window = INITIAL_WINDOW;
        self.on_bad_outcome(now);
    }

    fn on_bad_outcome(&mut self, now: Duration) {
        self.bad_outcomes = (self.bad_outcomes + 1).min(MAX_BAD_OUTCOMES);
        self.is_proved = false;
        self.idle_since = now;
    }
}

#[cfg(test)]
mod tests {
    use super::FULL_WINDOW;
    use super::IDLE_DOUBLING_TIME;
    use super::INITIAL_WINDOW;
    use super::MAX_UNPROVED_WINDOW;
    use super::SlowStart;
    use std::time::Duration;

    const LONG: Duration = Duration::from_secs(600);

    // Guards against slow start that ends without an answer: such an endpoint may answer health checks only.
    #[test]
    fn only_a_timely_answer_ends_slow_start() {
        let mut slow_start = SlowStart::new(Duration::ZERO);
        assert_eq!(slow_start.window(0, LONG), MAX_UNPROVED_WINDOW);
        slow_start.on_sent(0, LONG);
        assert!(slow_start.on_timely(LONG));
    }

    // Guards against a window that grows while the first answer of a cold endpoint is awaited.
    #[test]
    fn window_does_not_grow_while_an_answer_is_awaited() {
        let mut slow_start = SlowStart::new(Duration::ZERO);
        slow_start.on_sent(0, Duration::ZERO);
        assert_eq!(slow_start.window(1, LONG), INITIAL_WINDOW);
        assert!(!slow_start.has_room(1, LONG));
    }

    // Guards against a window that stays as it was after a crash, and grows as fast as before it.
    #[test]
    fn failure_starts_the_window_over() {
        let mut slow_start = SlowStart::new(Duration::ZERO);
        for _ in 0..3 {
            assert!(!slow_start.on_timely(Duration::ZERO));
        }
        slow_start.on_failed(Duration::ZERO);
        assert_eq!(slow_start.window(0, IDLE_DOUBLING_TIME), INITIAL_WINDOW);
        assert_eq!(slow_start.window(0, 2 * IDLE_DOUBLING_TIME), 2);
    }

    // Guards against a window below one request, at which the endpoint would never be tried again.
    #[test]
    fn window_stays_within_its_bounds() {
        let mut slow_start = SlowStart::new(Duration::ZERO);
        let mut rng = fastrand::Rng::with_seed(1);
        let mut now = Duration::ZERO;
        for _ in 0..10_000 {
            now += Duration::from_millis(rng.u64(..3_000));
            match rng.u32(..5) {
                0 if slow_start.on_timely(now) => slow_start = SlowStart::new(now),
                1 => slow_start.on_late(now),
                2 => slow_start.on_failed(now),
                3 => slow_start.on_idle(now),
                _ => slow_start.on_sent(rng.u32(..2), now),
            }
            let window = slow_start.window(rng.u32(..2), now);
            assert!((INITIAL_WINDOW..FULL_WINDOW).contains(&window));
        }
    }
}
