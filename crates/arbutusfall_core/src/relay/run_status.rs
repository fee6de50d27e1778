//! Whether the process at an engine's address is still the one that its entry describes.
//!
//! A process that ends breaks its connections off. The next one at the same address, under the same id, may have another
//! software version, and its entry is read only later. So an engine whose connections break off is in doubt until it says
//! itself when its process started, or until it has run for long enough that its entry must have been read.

use std::time::Duration;

use serde::Serialize;

/// Shortest time between two checks of an engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time after an answer from which the entry read is that of the process that answered: a process writes its entry when it
/// starts, and a list that is used is not older than this.
const ENTRY_READ_TIME: Duration = Duration::from_secs(3);

/// Whether an engine's process is the listed one.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunStatus {
    doubt: Option<RunDoubt>,
    /// When the engine was last asked.
    checked_at: Option<Duration>,
}

/// An engine's process may have ended.
#[derive(Debug, Clone, Copy)]
struct RunDoubt {
    since: Duration,
    /// First answer since then; it didn't say when the process started.
    answered_at: Option<Duration>,
}

/// What an engine that was asked said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunAnswer {
    /// Its process started at this time, in Unix milliseconds.
    Started(u64),
    /// It did not say when.
    Unstated,
    /// It did not answer.
    Failed,
}

impl RunStatus {
    /// Returns whether nothing speaks against the listed process.
    pub(crate) fn is_listed(&self) -> bool {
        self.doubt.is_none()
    }

    /// Records that a connection to the engine broke off or was not accepted.
    pub(crate) fn on_broken_off(&mut self, now: Duration) {
        self.doubt = Some(RunDoubt {
            since: now,
            answered_at: None,
        });
    }

    /// Returns when the engine may be asked next.
    pub(crate) fn next_check_at(&self) -> Duration {
        self.checked_at
            .map_or(Duration::ZERO, |checked_at| checked_at + CHECK_INTERVAL)
    }

    /// Returns whether the engine is to be asked now; if so, the next check is due after the interval.
    pub(crate) fn start_check(&mut self, now: Duration) -> bool {
        let is_due = !self.is_listed() && now >= self.next_check_at();
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }

    /// Takes what the engine said to a question of `asked_at`; `listed` is the start of the listed process.
    pub(crate) fn on_checked(
        &mut self,
        asked_at: Duration,
        answer: RunAnswer,
        listed: Option<u64>,
    ) {
        let Some(doubt) = self.doubt.as_mut().filter(|doubt| asked_at >= doubt.since) else {
            return;
        };
        match answer {
            RunAnswer::Started(started) if listed == Some(started) => self.doubt = None,
            RunAnswer::Unstated => _ = doubt.answered_at.get_or_insert(asked_at),
            RunAnswer::Started(_) | RunAnswer::Failed => {}
        }
    }

    /// Records that the list was read and still has the engine's entry of before.
    pub(crate) fn on_list_read(&mut self, now: Duration) {
        let answered_at = self.doubt.and_then(|doubt| doubt.answered_at);
        if answered_at.is_some_and(|answered_at| now >= answered_at + ENTRY_READ_TIME) {
            self.doubt = None;
        }
    }
}
