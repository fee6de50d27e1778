//! Times of the reads of a topic of the store, derived together from the bound that they must keep.

use std::time::Duration;

use arbutusfall_core::relay::LIST_RECOVERY_GRACE;

/// Maximum time for the answer to a read, in addition to its long-polling wait.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum time for the answer to a read of the endpoint list.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum pause between reads of the endpoint list after a failed one: the second of them must come after endpoints are
/// listed again and within [`LIST_RECOVERY_GRACE`].
const MAX_PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(1_050);

/// Time for the first read of the endpoint list that the recovered store answers.
const FRESH_LIST_READ: Duration = Duration::from_millis(150);

/// Maximum answer timeout of a read of the configuration, as a share of the silence bound.
const ANSWER_TIMEOUT_SHARE: f64 = 1.0 / 3.0;

/// Share of the silence bound that is left for the first read that the recovered store answers.
const FRESH_READ_SHARE: f64 = 1.0 / 6.0;

/// Pause between two reads of the endpoint list, as a share of the leaving bound; the rest of the bound is for a slow
/// answer.
const ENDPOINT_LIST_PAUSE_SHARE: f64 = 0.55;

/// Long-polling wait of a read of the records that VMs share: they seldom change.
const SHARED_WAIT: Duration = Duration::from_secs(25);

/// Pause between reads of the records that VMs share, which limits the reads of all VMs while many records are written.
const SHARED_PAUSE: Duration = Duration::from_millis(400);

/// Maximum of the minimum time between the starts of a failed read and the next one.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Longest further wait of a topic for a call that succeeds, while reads of the endpoint list show whether the store answers.
const MAX_WAIT_FOR_SUCCESS: Duration = Duration::from_millis(2_000);

/// Time by which what is known of a topic may be older than its reads explain and still be passed on to other VMs.
const AGE_SLACK: Duration = Duration::from_millis(500);

/// Successful reads after a failed one that are followed by a shorter pause.
pub(super) const READS_AFTER_FAILURE: u32 = 2;

/// Times of the reads of one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTiming {
    /// Long-polling wait of a read that follows a successful one. A read that follows a failed one does not wait, so
    /// that a silent store is detected within `answer_timeout`.
    pub wait: Duration,
    /// Time for the answer, in addition to the wait.
    pub answer_timeout: Duration,
    /// Pause after a successful read that waited for records; without such waits, the time between the starts of two reads.
    pub pause: Duration,
    /// Pause after each of the first two successful reads that follow a failed one.
    pub pause_after_failure: Duration,
    /// Maximum of the minimum time between the starts of a failed read and the next one.
    pub max_retry_interval: Duration,
    /// Longest further wait for another call that succeeds, once that maximum is reached.
    pub max_wait_for_success: Duration,
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
            pause_after_failure: Duration::ZERO,
            max_retry_interval: MAX_RETRY_INTERVAL,
            max_wait_for_success: MAX_WAIT_FOR_SUCCESS,
        }
    }

    /// Returns the times of reads of the records that VMs share.
    pub fn of_shared_records() -> Self {
        Self {
            wait: SHARED_WAIT,
            answer_timeout: MAX_ANSWER_TIMEOUT,
            pause: SHARED_PAUSE,
            pause_after_failure: SHARED_PAUSE,
            max_retry_interval: MAX_RETRY_INTERVAL,
            max_wait_for_success: MAX_WAIT_FOR_SUCCESS,
        }
    }

    /// Returns the times of reads of the endpoint list. It is not long-polled, because endpoints write to it too often.
    ///
    /// Endpoints that left unseen during an outage must be removed within `silence_bound` after it: a read that is never
    /// answered, the next one and the grace period for missing endpoints add up.
    pub fn of_endpoint_list(leaving_bound: Duration, silence_bound: Duration) -> Self {
        let pause = leaving_bound.mul_f64(ENDPOINT_LIST_PAUSE_SHARE);
        Self {
            wait: Duration::ZERO,
            answer_timeout: silence_bound
                .saturating_sub(LIST_RECOVERY_GRACE + FRESH_LIST_READ)
                .clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT),
            pause,
            pause_after_failure: pause.min(MAX_PAUSE_AFTER_FAILURE),
            max_retry_interval: MAX_RETRY_INTERVAL,
            max_wait_for_success: Duration::ZERO,
        }
    }

    /// Returns the longest age with which what is known of the topic is passed on to other VMs: a read that waited and the
    /// next one, which is slow.
    pub fn max_age(&self) -> Duration {
        self.wait * 2 + self.pause + self.answer_timeout + AGE_SLACK
    }

    /// Returns the longest time from the store's recovery until the next read begins.
    pub fn max_time_to_fresh_read(&self) -> Duration {
        self.pause.max(self.wait + self.answer_timeout)
    }
}
