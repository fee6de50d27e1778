//! How long facts that another VM passed on are fresh.

use std::time::Duration;

/// Time after the latest answer of a followed VM in which it must come; a random part is added, so that not all followers of
/// a VM that ends read the store at the same instant.
const ANSWER_SLACK: Duration = Duration::from_millis(350);

/// Longest random addition to [`ANSWER_SLACK`].
const MAX_SLACK_ADDITION: Duration = Duration::from_millis(250);

/// Time for which the answer to a question that has waited long enough is put off because the followed VM's next read is due: its end
/// and the end of the wait fall on the same instant, and whichever comes first, the answer has what that read brought. Less than
/// [`ANSWER_SLACK`].
const READ_ALLOWANCE: Duration = Duration::from_millis(300);

/// Time in which the next part of news must come that are passed on in parts.
const NEXT_PART_TIME: Duration = Duration::from_secs(1);

/// A question that waits for news at the followed VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingQuestion {
    /// When it arrived.
    pub arrived_at: Duration,
    /// Longest time for which it may wait; zero if it is to be answered at once.
    pub wait: Duration,
    /// When the store was asked for what the followed VM knew on its arrival.
    pub known_as_of: Duration,
}

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

    /// Returns the longest time after which a question with this wait is answered.
    pub fn longest_wait(&self, wait: Duration) -> Duration {
        if wait.is_zero() {
            wait
        } else {
            wait + READ_ALLOWANCE
        }
    }

    /// Returns whether a question is answered now although there is no news; `as_of` is when the store was asked for what the
    /// followed VM knows now. A read counts that began before the question arrived: the follower doesn't know its outcome.
    pub fn is_answer_due(
        &self,
        question: &WaitingQuestion,
        as_of: Duration,
        now: Duration,
    ) -> bool {
        let waited = now.saturating_sub(question.arrived_at);
        as_of > question.known_as_of || waited >= self.longest_wait(question.wait)
    }

    /// Returns until when facts replace reads of the store that were read from it at `as_of`: as long as it takes until the followed
    /// VM has read it again, and a little longer.
    pub fn fresh_until(&self, as_of: Duration) -> Duration {
        as_of + self.answer_timeout(self.wait, 1.0)
    }

    /// Returns until when facts that were read at `as_of` replace reads of the store after a part of newer ones has come at `now`. Parts may
    /// take twice as long as facts are fresh: many VMs that read the store at the same time would take longer.
    pub fn fresh_until_next_part(&self, as_of: Duration, now: Duration) -> Duration {
        let most = as_of + 2 * self.answer_timeout(self.wait, 1.0);
        self.fresh_until(as_of).max(most.min(now + NEXT_PART_TIME))
    }
}
