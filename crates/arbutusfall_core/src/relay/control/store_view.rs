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
    /// Time of the first successful read.
    first_read_at: Option<Duration>,
    /// Time of the last successful read.
    read_at: Option<Duration>,
    /// Time between the last successful read and the one before it.
    read_gap: Option<Duration>,
}

/// Outcome of the last reads of the store. Topics can fail and recover separately.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreView {
    topics: BTreeMap<StoreTopic, TopicView>,
}

impl StoreView {
    /// Returns the time since the topic was last read, if it ever was.
    pub(crate) fn unread_for(&self, topic: StoreTopic, now: Duration) -> Option<Duration> {
        let read_at = self.topics.get(&topic)?.read_at?;
        Some(now.saturating_sub(read_at))
    }

    /// Returns whether the last read of a topic succeeded, but longer ago than `max_age`: a read that failed since would be known.
    pub(crate) fn is_overdue(&self, topic: StoreTopic, max_age: Duration, now: Duration) -> bool {
        let view = self.topics.get(&topic);
        let readable = view.filter(|view| view.is_reachable);
        let read_at = readable.and_then(|view| view.read_at);
        read_at.is_some_and(|read_at| now > read_at + max_age)
    }

    /// Returns the time of the topic's first successful read.
    pub(crate) fn first_read_at(&self, topic: StoreTopic) -> Option<Duration> {
        self.topics.get(&topic)?.first_read_at
    }

    /// Returns the time between the topic's last successful read and the one before it, if there were two.
    pub(crate) fn read_gap(&self, topic: StoreTopic) -> Option<Duration> {
        self.topics.get(&topic)?.read_gap
    }

    /// Records a read of a topic; returns whether the topic's reachability changed.
    fn record(&mut self, topic: StoreTopic, is_reachable: bool, now: Duration) -> bool {
        let view = self.topics.entry(topic).or_insert(TopicView {
            is_reachable: true,
            first_read_at: None,
            read_at: None,
            read_gap: None,
        });
        let was_reachable = std::mem::replace(&mut view.is_reachable, is_reachable);
        if is_reachable {
            view.read_gap = view.read_at.map(|read_at| now.saturating_sub(read_at));
            view.first_read_at.get_or_insert(now);
            view.read_at = Some(now);
        }
        was_reachable != is_reachable
    }
}

impl Relay {
    /// Handles the loss of what was written to the store since its copy. Endpoints that are missing in the list are kept
    /// until they have had time to write their entries again; this VM's own records are written again.
    pub(in crate::relay) fn on_store_returned(&mut self, previous: u64, era: u64) {
        self.on_store_era(era);
        self.endpoints.on_list_recovered(self.now);
        self.stream_versions.on_records_lost();
        self.has_store_returned = true;
        self.set_record_timer();
        self.lose_lease();
        self.note(RelayNotice::StoreReturned {
            previous_era: previous,
            era,
        });
    }

    pub(in crate::relay) fn on_store_read(
        &mut self,
        topic: StoreTopic,
        failure: Option<StoreReadFailure>,
    ) {
        let is_reachable = failure.is_none();
        // Without the store, this VM decides by what it sees itself.
        self.is_shared_known |= topic == StoreTopic::Shared && !is_reachable;
        if topic == StoreTopic::Shared && !is_reachable {
            self.seek_newest();
        }
        self.is_shared_news_late |= topic == StoreTopic::Shared && !is_reachable;
        if topic == StoreTopic::Endpoints && is_reachable {
            self.on_list_read();
        }
        let unread_for = self.store.unread_for(topic, self.now);
        if !self.store.record(topic, is_reachable, self.now) {
            return;
        }
        match topic {
            StoreTopic::Endpoints if is_reachable => self.endpoints.on_list_recovered(self.now),
            StoreTopic::Shared if is_reachable => {
                self.crash_suspects.on_shared_readable(self.now);
                self.set_shared_timer();
            }
            StoreTopic::Shared => self.crash_suspects.on_shared_unreadable(),
            StoreTopic::Config | StoreTopic::Endpoints => {}
        }
        self.note(RelayNotice::Store {
            topic,
            reachable: is_reachable,
            reason: failure,
            unread_ms: unread_for.map(millis),
        });
    }
}
