//! What this VM knows of the store's topics, for the VMs that follow it, and what the VM that it follows has passed on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::FactSpan;
use arbutusfall_core::relay::FactTimes;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_wire::Name;
use async_io::Timer;
use futures_lite::FutureExt;

use crate::Clock;
use crate::SystemClock;
use crate::lock::lock;
use crate::relay::fact_board::topic_facts::TopicFacts;
use crate::relay::fact_snapshot::PassedNewest;
use crate::relay::waiters::Waiters;

mod newest_search;
mod topic_facts;

/// Followers that are served at the same time; one more reads the store or asks another VM.
const MAX_FOLLOWERS: usize = 128;

/// Topics, in the order of their places in a board.
pub(super) const TOPICS: [StoreTopic; 3] = [
    StoreTopic::Config,
    StoreTopic::Endpoints,
    StoreTopic::Shared,
];

/// Facts by topic; shared by the tasks that read the store, follow another VM or answer followers.
#[derive(Debug)]
pub(super) struct FactBoard {
    state: Mutex<State>,
    followers: AtomicUsize,
    /// Whether this VM asks stronger ones for newest records before it reads them from the store.
    seeks_newest: bool,
    pub(super) times: FactTimes,
    clock: SystemClock,
}

/// Counts a follower while its question is answered.
#[derive(Debug)]
pub(super) struct FollowerGuard<'a>(&'a AtomicUsize);

impl Drop for FollowerGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug, Default)]
struct State {
    topics: [TopicFacts; 3],
    /// Until when what was passed on replaces reads of the store; none if no VM is followed.
    fresh_until: Option<Duration>,
    /// Whether a search for newest records is in progress.
    is_seeking: bool,
    waiters: Waiters,
}

/// What is passed on of a topic.
#[derive(Debug)]
pub(super) struct PassedFacts {
    pub(super) topic: StoreTopic,
    pub(super) span: FactSpan,
    /// Time since the store was asked for this; not known if there is more.
    pub(super) age: Duration,
    /// Whether there is more, which is to be read from the store.
    pub(super) is_in_store: bool,
    /// Whether there is more, which is to be asked for next.
    pub(super) has_more: bool,
}

/// What another VM has passed on of a topic.
#[derive(Debug)]
pub(super) struct PassedSpan {
    pub(super) span: FactSpan,
    /// When the store was asked for what is known with it.
    pub(super) as_of: Duration,
}

fn place(topic: StoreTopic) -> usize {
    match topic {
        StoreTopic::Config => 0,
        StoreTopic::Endpoints => 1,
        StoreTopic::Shared => 2,
    }
}

impl FactBoard {
    /// Creates a board on which nothing is known.
    pub(super) fn new(times: FactTimes, seeks_newest: bool, clock: SystemClock) -> Self {
        Self {
            state: Mutex::default(),
            followers: AtomicUsize::new(0),
            seeks_newest,
            times,
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the monotonic time.
    pub(super) fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Counts a follower until the guard is dropped; none if there are too many.
    pub(super) fn add_follower(&self) -> Option<FollowerGuard<'_>> {
        let earlier = self.followers.fetch_add(1, Ordering::Relaxed);
        let guard = FollowerGuard(&self.followers);
        (earlier < MAX_FOLLOWERS).then_some(guard)
    }

    /// Returns the number of followers whose questions are being answered.
    pub(super) fn followers(&self) -> usize {
        self.followers.load(Ordering::Relaxed)
    }

    /// Returns the age of what is known of each topic that has been read, by its name, in milliseconds.
    pub(super) fn ages_ms(&self) -> Vec<(&'static str, u64)> {
        let now = self.now();
        let state = self.state();
        let read = TOPICS.iter().zip(&state.topics);
        let read = read.filter(|(_, facts)| facts.position.is_some());
        let ages = read.map(|(topic, facts)| {
            let age = now.saturating_sub(facts.as_of).as_millis();
            (topic.name(), u64::try_from(age).unwrap_or(u64::MAX))
        });
        ages.collect()
    }

    /// Sets the longest age with which facts of a topic are passed on.
    pub(super) fn set_max_age(&self, topic: StoreTopic, max_age: Duration) {
        self.state().topics[place(topic)].max_age = max_age;
    }

    /// Replaces what is known of a topic by all its newest records, which were read from the store or passed on by another VM.
    pub(super) fn on_read_newest(
        &self,
        topic: StoreTopic,
        at: FactPosition,
        records: Vec<(Name, Arc<[u8]>)>,
        as_of: Duration,
    ) {
        let mut state = self.state();
        let facts = &mut state.topics[place(topic)];
        facts.log.restart(at);
        facts.snapshot.replace(records);
        facts.on_read(at, as_of);
        state.waiters.wake_all();
    }

    /// Records what was read from the store, without records that say what was known before.
    pub(super) fn on_read_tail(&self, topic: StoreTopic, span: FactSpan, as_of: Duration) {
        let mut state = self.state();
        let facts = &mut state.topics[place(topic)];
        let position = FactPosition {
            offset: span.next,
            era: span.from.era,
        };
        facts.snapshot.apply(&span.records);
        facts.log.append(span);
        facts.on_read(position, as_of);
        state.waiters.wake_all();
    }

    /// Returns where this VM is in each topic; none before all have been read.
    pub(super) fn positions(&self) -> Option<[FactPosition; 3]> {
        let state = self.state();
        let [config, endpoints, shared] = &state.topics;
        Some([config.position?, endpoints.position?, shared.position?])
    }

    /// Takes what another VM has passed on; it replaces reads of the store until `fresh_until`. Returns false if it does not
    /// continue what is known.
    pub(super) fn on_passed(&self, facts: Vec<PassedFacts>, fresh_until: Duration) -> bool {
        let mut state = self.state();
        let now = self.clock.now().monotonic;
        let continues = facts.iter().all(|passed| {
            let known = &state.topics[place(passed.topic)];
            known.position == Some(passed.span.from)
        });
        if !continues {
            return false;
        }
        for passed in facts {
            let known = &mut state.topics[place(passed.topic)];
            known.is_in_store = passed.is_in_store;
            // Until the last part has come, what is known is as old as before.
            let as_of = if passed.has_more {
                known.as_of
            } else {
                now.saturating_sub(passed.age)
            };
            known.on_passed(passed.span, as_of);
        }
        state.fresh_until = Some(fresh_until);
        state.waiters.wake_all();
        true
    }

    /// Makes all topics be read from the store again.
    pub(super) fn on_not_passed(&self) {
        let mut state = self.state();
        state.fresh_until = None;
        state.waiters.wake_all();
    }

    /// Waits until another VM has passed on what comes after a position of a topic.
    pub(super) async fn passed(&self, topic: StoreTopic, from: FactPosition) -> PassedSpan {
        loop {
            let changed = {
                let mut state = self.state();
                let facts = &mut state.topics[place(topic)];
                if let Some(span) = facts.take_passed(from) {
                    let as_of = facts.as_of;
                    return PassedSpan { span, as_of };
                }
                state.waiters.add()
            };
            changed.await;
        }
    }

    /// Waits until another VM has passed on what comes after a position of a topic, and leaves it to be taken.
    pub(super) async fn has_passed(&self, topic: StoreTopic, from: FactPosition) {
        loop {
            let changed = {
                let mut state = self.state();
                let passed = &state.topics[place(topic)].passed;
                if passed.as_ref().is_some_and(|span| span.from == from) {
                    return;
                }
                state.waiters.add()
            };
            changed.await;
        }
    }

    /// Waits until what was passed on does not replace a read of a topic from the store.
    pub(super) async fn lapsed(&self, topic: StoreTopic) {
        loop {
            let (changed, fresh_for) = {
                let mut state = self.state();
                let now = self.clock.now().monotonic;
                let until = state.fresh_until.filter(|until| now < *until);
                let Some(until) = until.filter(|_| !state.topics[place(topic)].is_in_store) else {
                    return;
                };
                (state.waiters.add(), until - now)
            };
            let expired = async {
                Timer::after(fresh_for).await;
            };
            changed.or(expired).await;
        }
    }

    /// Returns what comes after a position of a topic, if it is known here and not too old to be passed on.
    pub(super) fn since(&self, topic: StoreTopic, from: FactPosition) -> Option<PassedFacts> {
        let state = self.state();
        let facts = &state.topics[place(topic)];
        let age = self.clock.now().monotonic.saturating_sub(facts.as_of);
        let span = facts.log.since(from)?;
        (age <= facts.max_age).then_some(PassedFacts {
            topic,
            span,
            age,
            is_in_store: false,
            has_more: false,
        })
    }

    /// Returns all newest records of a topic, if they are known here and not too old to be passed on.
    pub(super) fn newest(&self, topic: StoreTopic) -> Option<PassedNewest> {
        let state = self.state();
        let facts = &state.topics[place(topic)];
        let age = self.clock.now().monotonic.saturating_sub(facts.as_of);
        let position = facts.position.filter(|_| age <= facts.max_age)?;
        Some(PassedNewest {
            topic,
            position,
            as_of: facts.as_of,
            records: facts.snapshot.records(),
        })
    }

    /// Returns when the store was asked for what is known of a topic.
    pub(super) fn as_of(&self, topic: StoreTopic) -> Duration {
        self.state().topics[place(topic)].as_of
    }

    /// Waits until all news that is only in the store has been read, but not longer than a time.
    pub(super) async fn in_store_read(&self, timeout: Duration) {
        let until = self.now() + timeout;
        while self.now() < until && self.state().topics.iter().any(|facts| facts.is_in_store) {
            self.changed(until.saturating_sub(self.now())).await;
        }
    }

    /// Waits until anything changes, but not longer than a time.
    pub(super) async fn changed(&self, timeout: Duration) {
        let changed = self.state().waiters.add();
        let expired = async {
            Timer::after(timeout).await;
        };
        changed.or(expired).await;
    }
}
