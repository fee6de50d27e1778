//! Which topics of the platform's store can be read, and when they were last read.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::StoreReadFailure;
use crate::relay::StoreTopic;
use crate::relay::notice::millis;

/// Outcome of the last reads of one topic.
#[derive(Debug, Clone, Copy)]
struct TopicView {
    is_reachable: bool,
    /// Time of the last successful read.
    read_at: Option<Duration>,
}

/// Outcome of the last reads of the store.
#[derive(Debug)]
pub(crate) struct StoreView {
    /// Whether the last read of any topic succeeded.
    is_reachable: bool,
    topics: BTreeMap<StoreTopic, TopicView>,
}

impl Default for StoreView {
    fn default() -> Self {
        Self {
            is_reachable: true,
            topics: BTreeMap::new(),
        }
    }
}

impl StoreView {
    /// Returns the time since the topic was last read, if it ever was.
    pub(crate) fn unread_for(&self, topic: StoreTopic, now: Duration) -> Option<Duration> {
        let read_at = self.topics.get(&topic)?.read_at?;
        Some(now.saturating_sub(read_at))
    }

    /// Records a read of a topic; returns whether the topic's reachability changed.
    fn record(&mut self, topic: StoreTopic, is_reachable: bool, now: Duration) -> bool {
        let view = self.topics.entry(topic).or_insert(TopicView {
            is_reachable: true,
            read_at: None,
        });
        let was_reachable = std::mem::replace(&mut view.is_reachable, is_reachable);
        if is_reachable {
            view.read_at = Some(now);
        }
        was_reachable != is_reachable
    }
}

impl Relay {
    pub(super) fn on_store_read(&mut self, topic: StoreTopic, failure: Option<StoreReadFailure>) {
        let is_reachable = failure.is_none();
        let unread_for = self.store.unread_for(topic, self.now);
        if self.store.record(topic, is_reachable, self.now) {
            self.note(RelayNotice::Store {
                topic,
                reachable: is_reachable,
                reason: failure,
                unread_ms: unread_for.map(millis),
            });
        }
        let was_reachable = std::mem::replace(&mut self.store.is_reachable, is_reachable);
        if is_reachable && !was_reachable {
            self.endpoints.on_store_recovered(self.now);
        }
    }
}
