//! The clock, passed in wherever time is read.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arbutusfall_core::Now;

/// Source of the time.
pub trait Clock {
    /// The time now.
    fn now(&self) -> Now;
}

/// The machine's clocks.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    started: Instant,
}

impl SystemClock {
    /// A clock whose monotonic time begins now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The instant at which the monotonic time reaches `monotonic`.
    pub fn instant_of(&self, monotonic: std::time::Duration) -> Instant {
        self.started + monotonic
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now {
            monotonic: self.started.elapsed(),
            unix: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }
}
