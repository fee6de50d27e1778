//! Whether a VM reads the records of a topic after its position (the tail), or all newest records again.

use std::time::Duration;

use crate::relay::BYTES_PER_S_PER_MBPS;

/// Shortest tail that is not read on: below it, a slow answer has another cause than the link.
const LEAST_LONG_TAIL_BYTES: f64 = 256.0 * 1024.0;

/// Part of the answer's timeout that the transfer of a tail may take.
const TRANSFER_SHARE: f64 = 0.6;

/// Weight of the newest page in the mean rate.
const RATE_WEIGHT: f64 = 0.3;

/// What reading a topic on costs at this VM's link.
///
/// A tail grows while it is not read, and brings nothing if it does not arrive in time. Newest records come in pages of bounded
/// size, each with a timeout of its own, or from another VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct TailCost {
    link_mbps: Option<u32>,
    /// Mean rate at which the topic is written; 0 before the first observation.
    bytes_per_s: f64,
}

impl TailCost {
    /// Creates the cost at a VM with this link, if it is known.
    pub fn new(link_mbps: Option<u32>) -> Self {
        Self {
            link_mbps,
            bytes_per_s: 0.0,
        }
    }

    /// Records the size of a tail that was written within a time.
    pub fn on_tail(&mut self, bytes: usize, written_in: Duration) {
        let rate = bytes as f64 / written_in.as_secs_f64().max(0.1);
        let weight = if self.bytes_per_s == 0.0 {
            1.0
        } else {
            RATE_WEIGHT
        };
        self.bytes_per_s += (rate - self.bytes_per_s) * weight;
    }

    /// Records the size of all newest records, each of which is expected to be written once in `interval`.
    pub fn on_newest(&mut self, bytes: usize, interval: Duration) {
        if self.bytes_per_s == 0.0 {
            self.bytes_per_s = bytes as f64 / interval.as_secs_f64();
        }
    }

    /// Returns whether the tail that was written within a time is too long to be read in time.
    pub fn is_too_long(&self, written_in: Duration, answer_timeout: Duration) -> bool {
        let Some(link_mbps) = self.link_mbps else {
            return false;
        };
        let tail_bytes = self.bytes_per_s * written_in.as_secs_f64();
        let link_bytes_per_s = f64::from(link_mbps) * BYTES_PER_S_PER_MBPS;
        let readable_bytes = link_bytes_per_s * answer_timeout.as_secs_f64() * TRANSFER_SHARE;
        tail_bytes > readable_bytes.max(LEAST_LONG_TAIL_BYTES)
    }
}
