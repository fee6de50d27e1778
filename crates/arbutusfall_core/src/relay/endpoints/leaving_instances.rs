//! Instances that leave.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::ListedEndpoint;
use crate::relay::endpoints::list::KNOWN_LIFETIME;

/// An instance that is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeavingInstance {
    started_unix_ms: Option<u64>,
    /// Whether it said so itself, maybe without an entry that does.
    is_own_word: bool,
    /// When it was last listed, or said so.
    known_at: Duration,
}

/// Instances that were listed as leaving or said so, also after their removal. An endpoint that leaves never becomes ready again, but a store
/// that returned from an older copy may say so.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeavingInstances(BTreeMap<Name, LeavingInstance>);

impl LeavingInstances {
    /// Returns the entry as leaving if this run of the endpoint's process was listed as leaving before.
    pub(crate) fn with_known(
        &mut self,
        mut listed: ListedEndpoint,
        now: Duration,
    ) -> ListedEndpoint {
        self.0
            .retain(|_, leaving| now < leaving.known_at + KNOWN_LIFETIME);
        if listed.is_leaving {
            let leaving = LeavingInstance {
                started_unix_ms: listed.started_unix_ms,
                is_own_word: false,
                known_at: now,
            };
            self.0.insert(listed.instance.clone(), leaving);
            return listed;
        }
        let Some(known) = self.0.get_mut(&listed.instance) else {
            return listed;
        };
        listed.is_leaving = match (known.started_unix_ms, listed.started_unix_ms) {
            (Some(known), Some(listed)) => known == listed,
            // Nothing says that it has started again.
            (Some(_), None) => true,
            (None, Some(_)) => false,
            (None, None) => known.is_own_word,
        };
        if listed.is_leaving {
            known.known_at = now;
        }
        listed
    }

    /// Records that an instance says itself that it is leaving.
    pub(crate) fn on_own_word(
        &mut self,
        instance: &Name,
        started_unix_ms: Option<u64>,
        now: Duration,
    ) {
        let leaving = LeavingInstance {
            started_unix_ms,
            is_own_word: true,
            known_at: now,
        };
        self.0.insert(instance.clone(), leaving);
    }
}
