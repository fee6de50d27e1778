//! State of the search for another VM that passes newest records on.

use std::time::Duration;

use arbutusfall_core::relay::StoreTopic;

use crate::relay::fact_board::FactBoard;
use crate::relay::fact_board::TOPICS;
use crate::relay::fact_board::place;
use crate::relay::fact_snapshot::PassedNewest;

impl FactBoard {
    /// Records that a topic's newest records are needed; returns false if this VM reads them from the store at once.
    pub(in crate::relay) fn begin_need(&self, topic: StoreTopic) -> bool {
        if self.seeks_newest {
            self.state().topics[place(topic)].needs_newest = true;
        }
        self.seeks_newest
    }

    /// Waits until another VM has passed on a topic's newest records; none if the search has ended without them or the time is over, so
    /// that they are to be read from the store.
    pub(in crate::relay) async fn sought(
        &self,
        topic: StoreTopic,
        timeout: Duration,
    ) -> Option<PassedNewest> {
        let until = self.now() + timeout;
        loop {
            let now = self.now();
            {
                let mut state = self.state();
                let facts = &mut state.topics[place(topic)];
                facts.needs_newest &= now < until;
                if !facts.needs_newest {
                    return facts.passed_newest.take();
                }
            }
            self.changed(until.saturating_sub(now)).await;
        }
    }

    /// Begins a search for newest records; returns false if one is in progress.
    pub(in crate::relay) fn begin_search(&self) -> bool {
        !std::mem::replace(&mut self.state().is_seeking, true)
    }

    /// Returns the topics whose newest records are needed; if there are none, records that the search has ended.
    pub(in crate::relay) fn needed_topics(&self) -> Vec<StoreTopic> {
        let mut state = self.state();
        let topics = TOPICS.into_iter().zip(&state.topics);
        let needed = topics.filter(|(_, facts)| facts.needs_newest);
        let needed: Vec<StoreTopic> = needed.map(|(topic, _)| topic).collect();
        state.is_seeking = !needed.is_empty();
        needed
    }

    /// Ends a search: what is needed is read from the store.
    pub(in crate::relay) fn end_search(&self) {
        let mut state = self.state();
        state.is_seeking = false;
        for facts in &mut state.topics {
            facts.needs_newest = false;
        }
        state.waiters.wake_all();
    }

    /// Takes newest records that another VM has passed on; reads of the store are replaced until `fresh_until`. Returns false if one of
    /// the topics is known better here.
    pub(in crate::relay) fn on_newest_passed(
        &self,
        passed: Vec<PassedNewest>,
        fresh_until: Duration,
    ) -> bool {
        let mut state = self.state();
        let is_older = passed.iter().any(|passed| {
            let known = state.topics[place(passed.topic)].position;
            known.is_some_and(|known| {
                known.era == passed.position.era && known.offset > passed.position.offset
            })
        });
        if is_older {
            return false;
        }
        for passed in passed {
            let facts = &mut state.topics[place(passed.topic)];
            if facts.needs_newest {
                facts.needs_newest = false;
                facts.passed_newest = Some(passed);
            }
        }
        state.fresh_until = state.fresh_until.max(Some(fresh_until));
        state.waiters.wake_all();
        true
    }
}
