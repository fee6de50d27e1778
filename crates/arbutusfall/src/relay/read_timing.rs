//! Times of the reads of a topic of the store, derived together from the bound that they must keep.

use std::time::Duration;

/// Maximum time for the answer to a read, in addition to its long-polling wait.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum answer timeout of a read of the configuration, as a share of the silence bound.
const ANSWER_TIMEOUT_SHARE: f64 = 1.0 / 3.0;

/// Share of the silence bound that is left for the first read that the recovered store answers.
const FRESH_READ_SHARE: f64 = 1.0 / 6.0;

/// Pause between two reads of the endpoint list, as a share of the leaving bound; the rest of the bound is for a slow
/// answer.
const ENDPOINT_LIST_PAUSE_SHARE: f64 = 0.55;

/// Times of the reads of one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTiming {
    /// Long-polling wait of a read that follows a successful one. A read that follows a failed one does not wait, so
    /// that a silent store is detected within `answer_timeout`.
    pub wait: Duration,
    /// Time for the answer, in addition to the wait.
    pub answer_timeout: Duration,
    /// Pause after a successful read.
    pub pause: Duration,
}

impl ReadTiming {
    /// Returns the times of reads of the configuration.
    ///
    /// The store may recover just after a read began that it will never answer. That read and the next one, which is
    /// answered, must end within `silence_bound`.
    pub fn of_config(silence_bound: Duration) -> Self {
        let answer_timeout = silence_bound
            .mul_f64(ANSWER_TIMEOUT_SHARE)
            .min(MAX_ANSWER_TIMEOUT);
        let fresh_read = silence_bound.mul_f64(FRESH_READ_SHARE);
        Self {
            wait: silence_bound.saturating_sub(answer_timeout + fresh_read),
            answer_timeout,
            pause: Duration::ZERO,
        }
    }

    /// Returns the times of reads of the endpoint list. It is not long-polled, because endpoints write to it too often.
    pub fn of_endpoint_list(leaving_bound: Duration) -> Self {
        Self {
            wait: Duration::ZERO,
            answer_timeout: MAX_ANSWER_TIMEOUT,
            pause: leaving_bound.mul_f64(ENDPOINT_LIST_PAUSE_SHARE),
        }
    }

    /// Returns the longest time from the store's recovery until the next read begins.
    pub fn max_time_to_fresh_read(&self) -> Duration {
        self.pause.max(self.wait + self.answer_timeout)
    }
}
