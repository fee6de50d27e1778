//! The newest record of each key of a topic, for VMs that have none.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::FactRecord;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

/// All newest records of a topic as another VM passes them on.
#[derive(Debug)]
pub(super) struct PassedNewest {
    pub(super) topic: StoreTopic,
    /// Where what was written later begins.
    pub(super) position: FactPosition,
    /// When the store was asked for them.
    pub(super) as_of: Duration,
    pub(super) records: Vec<(Name, Arc<[u8]>)>,
}

/// Newest records by key, without deleted ones; heartbeats don't replace the entry that they repeat.
#[derive(Debug, Default)]
pub(super) struct FactSnapshot(FastMap<Name, Arc<[u8]>>);

impl FactSnapshot {
    /// Replaces all records.
    pub(super) fn replace(&mut self, records: Vec<(Name, Arc<[u8]>)>) {
        self.0 = records.into_iter().collect();
    }

    /// Takes later records, in order.
    pub(super) fn apply(&mut self, records: &[FactRecord]) {
        for record in records {
            match &record.value {
                Some(value) => self.0.insert(record.key.clone(), value.clone()),
                None => self.0.remove(&record.key),
            };
        }
    }

    /// Returns the records, in any order.
    pub(super) fn records(&self) -> Vec<(Name, Arc<[u8]>)> {
        let records = self.0.iter();
        records
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }
}
