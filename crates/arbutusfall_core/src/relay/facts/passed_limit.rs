//! How much a VM passes on in one answer.

use crate::relay::BYTES_PER_S_PER_MBPS;

/// Most bytes of a topic's records in an answer of a VM whose link is not known.
const LEAST_PASSED_BYTES: usize = 16 * 1024;

/// Upper limit, whatever this VM's link: a follower with a narrow link could not receive a longer answer in time.
const MOST_PASSED_BYTES: usize = 256 * 1024;

/// Part of a second of the link that news to all followers together may take: the rest is for requests of callers.
const LINK_SHARE: f64 = 0.5;

/// Returns the most bytes of a topic's records that a VM passes on in an answer; news beyond it is read from the store.
pub fn max_passed_bytes(link_mbps: Option<u32>, followers: usize) -> usize {
    let link_bytes_per_s = f64::from(link_mbps.unwrap_or(0)) * BYTES_PER_S_PER_MBPS;
    let share = link_bytes_per_s * LINK_SHARE / followers.max(1) as f64;
    (share as usize).clamp(LEAST_PASSED_BYTES, MOST_PASSED_BYTES)
}
