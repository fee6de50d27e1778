//! How long an engine takes to answer reservations.

use std::time::Duration;

/// Time that an engine has for a reservation as long as it answers quickly.
const MIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time that an engine has for a reservation: later, the caller has waited for far longer than its target.
pub(crate) const MAX_RESERVE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Factor of the longest known time after each answer.
const DECAY: f64 = 0.8;

/// Times of an engine's answers to this VM's reservations.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReservationTimes {
    /// Longest time of late, which decays with each answer; a silence counts as a time.
    longest: Duration,
}

impl ReservationTimes {
    /// Records that the engine granted or refused a reservation.
    pub(crate) fn on_answered(&mut self, after: Duration) {
        self.longest = after.max(self.longest.mul_f64(DECAY));
    }

    /// Records that the engine did not answer a reservation for some time.
    pub(crate) fn on_silent(&mut self, silence: Duration) {
        self.longest = self.longest.max(silence);
    }

    /// Returns the time after which a reservation is tried elsewhere.
    pub(crate) fn timeout(&self) -> Duration {
        (self.longest * 2).clamp(MIN_TIMEOUT, MAX_RESERVE_TIMEOUT)
    }
}
