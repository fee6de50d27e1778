//! Records as they are read from the platform's store: its pages, and what is kept of other writers' records.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_platform::directory::parse_entry;
use arbutusfall_platform::store;
use arbutusfall_platform::store::KeyedRecord;
use arbutusfall_platform::store::NewestPage;
use arbutusfall_wire::Name;

use crate::http::ClientError;

/// Pages of newest records that have been read.
#[derive(Debug)]
pub(super) struct NewestPages {
    /// When the first page was asked for.
    pub(super) started_at: Duration,
    pub(super) records: Vec<KeyedRecord>,
    /// Key after which the next page begins; none before the first page.
    pub(super) after: Option<Name>,
    /// Last keys of all pages read.
    ends: BTreeSet<Name>,
    /// Position at the end of the topic when the first page was read.
    pub(super) first_end: Option<FactPosition>,
}

impl NewestPages {
    pub(super) fn new(started_at: Duration) -> Self {
        Self {
            started_at,
            records: Vec::new(),
            after: None,
            ends: BTreeSet::new(),
            first_end: None,
        }
    }

    /// Adds the next page; returns whether there is a further one.
    pub(super) fn add(&mut self, topic: StoreTopic, page: NewestPage) -> Result<bool, ClientError> {
        if let Some(end) = &page.next_after
            && !self.ends.insert(end.clone())
        {
            log::warn!(
                "a page of {} ends where an earlier one ended, at key {end}",
                topic.name()
            );
            return Err(ClientError::Malformed);
        }
        let records = page.records.into_iter();
        self.records
            .extend(records.map(|record| without_foreign_value(topic, record)));
        self.after = page.next_after;
        Ok(self.after.is_some())
    }
}

/// Parses an entry of the endpoint list; none if it is deleted or invalid.
pub(super) fn parse_listed(record: &KeyedRecord) -> Option<ListedEndpoint> {
    let value = record.value.as_deref()?;
    let instance = &record.key;
    parse_entry(instance.clone(), value)
        .inspect_err(|error| {
            log::info!(
                "treating endpoint {instance} as removed, because its list entry is invalid: {error}"
            );
        })
        .ok()
}

/// Drops the value of a record that another writer wrote: it says nothing, and its size is not bounded.
pub(super) fn without_foreign_value(topic: StoreTopic, record: KeyedRecord) -> KeyedRecord {
    let is_foreign = match topic {
        StoreTopic::Config => *record.key != *store::CONFIG_KEY,
        StoreTopic::Endpoints => parse_listed(&record).is_none(),
        StoreTopic::Shared => false,
    };
    KeyedRecord {
        value: record.value.filter(|_| !is_foreign),
        key: record.key,
    }
}

/// Returns the size of the keys and values of records.
pub(super) fn record_bytes(records: &[KeyedRecord]) -> usize {
    let bytes = records.iter().map(|record| {
        let value = record.value.as_ref().map_or(0, Vec::len);
        record.key.len() + value
    });
    bytes.sum()
}

/// Returns a newest record as it is kept for VMs that start; none if it has no value, because it was deleted or is another writer's.
pub(super) fn kept_record(record: &KeyedRecord) -> Option<(Name, Arc<[u8]>)> {
    let value = record.value.as_deref()?;
    Some((record.key.clone(), value.into()))
}
