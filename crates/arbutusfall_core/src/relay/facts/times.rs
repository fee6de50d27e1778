//! How long facts that another VM passed on are fresh.

use std::time::Duration;

/// Time after the latest answer of a followed VM in which it must come; a random part is added, so that not all followers of
/// a VM that ends read the store at the same instant.
const ANSWER_SLACK: Duration = Duration::from_millis(350);

/// Longest random addition to [`ANSWER_SLACK`].
const MAX_SLACK_ADDITION: Duration = Duration::from_millis(250);

/// Times of the facts that VMs pass on, derived from the times at which a VM that follows none reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FactTimes {
    /// Longest time for which the followed VM waits for news before it answers: the time between its own reads.
    pub wait: Duration,
}

impl FactTimes {
    /// Returns the time after which a followed VM that does not answer is given up; `random` is from 0 to 1.
    pub fn answer_timeout(&self, wait: Duration, random: f64) -> Duration {
        wait + ANSWER_SLACK + MAX_SLACK_ADDITION.mul_f64(random)
    }

    /// Returns until when facts replace reads of the store that were read from it at `as_of`: as long as it takes until the followed
    /// VM has read it again, and a little longer.
    pub fn fresh_until(&self, as_of: Duration) -> Duration {
        as_of + self.answer_timeout(self.wait, 1.0)
    }
}
