//! Monotonic and wall-clock time of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arbutusfall_core::Now;

/// Source of the current time.
pub trait Clock {
    /// Returns the current monotonic and wall-clock time.
    fn now(&self) -> Now;
}

/// [`Clock`] of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    started: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time is zero now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Waits until the monotonic time reaches `due`; without a due time, forever.
    pub async fn wait_until(&self, due: Option<Duration>) {
        match due {
            Some(due) => {
                async_io::Timer::at(self.started + due).await;
            }
            None => std::future::pending().await,
        }
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
