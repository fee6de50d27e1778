//! Limits how many answers with all newest records are sent at a time, by the link: they must arrive in time and take a bounded part of
//! the memory.

use std::sync::Mutex;
use std::time::Duration;

use arbutusfall_core::relay::BYTES_PER_S_PER_MBPS;

use crate::lock::lock;

/// Part of the link that answers with newest records may take.
const LINK_SHARE: f64 = 0.7;

/// Bandwidth that is assumed if the link is not known, in Mbit/s: that of the narrowest links in use.
const ASSUMED_LINK_MBPS: u32 = 10;

/// An answer is declined if those before it take longer than this.
const MAX_BACKLOG: Duration = Duration::from_secs(1);

/// Admits answers with all newest records as fast as the link can send them.
#[derive(Debug)]
pub(super) struct NewestPace {
    bytes_per_s: f64,
    /// When the admitted answers have been sent.
    free_at: Mutex<Duration>,
}

impl NewestPace {
    /// Creates the pace of a VM with this link, if it is known.
    pub(super) fn new(link_mbps: Option<u32>) -> Self {
        let link_mbps = f64::from(link_mbps.unwrap_or(ASSUMED_LINK_MBPS));
        Self {
            bytes_per_s: (link_mbps * BYTES_PER_S_PER_MBPS * LINK_SHARE).max(1.0),
            free_at: Mutex::default(),
        }
    }

    /// Returns whether an answer of this size may be sent now, and counts it if so.
    pub(super) fn admit(&self, bytes: usize, now: Duration) -> bool {
        let mut free_at = lock(&self.free_at);
        let begins_at = (*free_at).max(now);
        if begins_at > now + MAX_BACKLOG {
            return false;
        }
        *free_at = begins_at + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        true
    }
}
