//! Answers that ended with their connections: whether their endpoint ended too shows only later.

use std::time::Duration;

use crate::relay::CrashCauses;

/// Time within which an answer of an engine proves that it did not end before; after it, the engine may have started again.
const UNMARKED_END_LIFETIME: Duration = Duration::from_millis(1_000);

/// Answers without a marked end that are remembered for an endpoint.
const MAX_UNMARKED_ENDS: usize = 64;

/// An answer that ended with its connection: it is complete, or the endpoint has ended.
#[derive(Debug, Clone)]
pub(crate) struct UnmarkedEnd {
    pub(crate) sent_at: Duration,
    pub(crate) ended_at: Duration,
    pub(crate) causes: CrashCauses,
    /// Whether the answer has lasted long enough to show that its request does not crash the endpoint.
    pub(crate) has_survived: bool,
}

impl UnmarkedEnd {
    fn is_recent(&self, now: Duration) -> bool {
        now <= self.ended_at + UNMARKED_END_LIFETIME
    }
}

/// The newest of these answers from one endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnmarkedEnds {
    ends: Vec<UnmarkedEnd>,
}

impl UnmarkedEnds {
    /// Records an answer that ended with its connection.
    pub(crate) fn add(&mut self, end: UnmarkedEnd, now: Duration) {
        self.ends.retain(|known| known.is_recent(now));
        if self.ends.len() < MAX_UNMARKED_ENDS {
            self.ends.push(end);
        }
    }

    /// Returns whether answers ended with their connections, and nothing is known of the endpoint since.
    pub(crate) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns whether answers have ended with their connections of late, and nothing is known of the endpoint since.
    pub(crate) fn has_recent(&self, now: Duration) -> bool {
        self.ends.iter().any(|end| end.is_recent(now))
    }

    /// Takes the answers that ended of late, before the endpoint was found to have ended.
    pub(crate) fn take_before(&mut self, found_at: Duration, now: Duration) -> Vec<UnmarkedEnd> {
        let ends = std::mem::take(&mut self.ends).into_iter();
        let (taken, later) = ends
            .filter(|end| end.is_recent(now))
            .partition(|end| end.ended_at < found_at);
        self.ends = later;
        taken
    }

    /// Takes the causes of prompts that an answer to a request of `sent_at` proves to have been answered completely: the
    /// engine still ran after them.
    pub(crate) fn take_proved_causes(
        &mut self,
        sent_at: Duration,
        now: Duration,
    ) -> Vec<CrashCauses> {
        let mut proved = Vec::new();
        self.ends.retain(|end| {
            let is_recent = end.is_recent(now);
            let is_proved = is_recent && sent_at > end.ended_at;
            if is_proved {
                proved.push(end.causes.clone());
            }
            is_recent && !is_proved
        });
        proved
    }
}
