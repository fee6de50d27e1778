//! What a VM knows of one topic of the store.

use std::time::Duration;

use arbutusfall_core::relay::FactLog;
use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::FactSpan;

use crate::relay::fact_snapshot::FactSnapshot;
use crate::relay::fact_snapshot::PassedNewest;

/// What is known of a topic.
#[derive(Debug, Default)]
pub(super) struct TopicFacts {
    /// Where the next read or the next passed span begins.
    pub(super) position: Option<FactPosition>,
    pub(super) log: FactLog,
    /// When the store was asked for what is known here.
    pub(super) as_of: Duration,
    /// Longest age with which it is passed on.
    pub(super) max_age: Duration,
    /// What another VM has passed on and the reader of the topic has not taken yet.
    pub(super) passed: Option<FactSpan>,
    /// Whether there is news that is to be read from the store.
    pub(super) is_in_store: bool,
    /// All newest records, for VMs that start.
    pub(super) snapshot: FactSnapshot,
    /// Whether the reader of the topic waits for newest records of another VM.
    pub(super) needs_newest: bool,
    /// Newest records that another VM has passed on and the reader of the topic has not taken yet.
    pub(super) passed_newest: Option<PassedNewest>,
}

impl TopicFacts {
    pub(super) fn on_read(&mut self, position: FactPosition, as_of: Duration) {
        self.position = Some(position);
        self.as_of = self.as_of.max(as_of);
        self.is_in_store = false;
        // What was passed on meanwhile begins elsewhere.
        self.passed = None;
    }

    pub(super) fn on_passed(&mut self, span: FactSpan, as_of: Duration) {
        self.position = Some(FactPosition {
            offset: span.next,
            era: span.from.era,
        });
        self.as_of = self.as_of.max(as_of);
        self.snapshot.apply(&span.records);
        self.log.append(span.clone());
        match &mut self.passed {
            Some(waiting) => {
                waiting.next = span.next;
                waiting.records.extend(span.records);
            }
            None => self.passed = Some(span),
        }
    }

    /// Takes what was passed on, if it begins at a position; otherwise the next question begins there.
    pub(super) fn take_passed(&mut self, from: FactPosition) -> Option<FactSpan> {
        let span = self.passed.take()?;
        if span.from == from {
            return Some(span);
        }
        self.position = Some(from);
        None
    }
}
