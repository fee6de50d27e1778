//! Entries of the endpoint list as they were read last, so that heartbeats are neither parsed nor passed on.

use std::collections::BTreeMap;

use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_platform::directory;
use arbutusfall_platform::store::KeyedRecord;
use arbutusfall_wire::Name;

use crate::relay::store_pages::parse_listed;

#[derive(Debug)]
struct Listed {
    /// None if it is invalid or deleted.
    entry: Option<ListedEndpoint>,
    /// As the endpoint wrote it; empty if it is invalid or deleted.
    text: Vec<u8>,
}

/// The entries by instance.
#[derive(Debug, Default)]
pub(super) struct ListedEntries(BTreeMap<Name, Listed>);

impl ListedEntries {
    /// Forgets all entries.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the known entry if a record only repeats it.
    pub(super) fn repeated(&self, record: &KeyedRecord) -> Option<&ListedEndpoint> {
        let known = self.0.get(&record.key)?;
        let text = record.value.as_deref()?;
        let entry = known.entry.as_ref()?;
        directory::repeats(text, &known.text).then_some(entry)
    }

    /// Takes a record; returns its entry and whether it says what was not known. What is said of a leaving endpoint is kept for a time
    /// only, so each of its entries counts.
    pub(super) fn take(&mut self, record: &KeyedRecord) -> (Option<ListedEndpoint>, bool) {
        if let Some(entry) = self.repeated(record) {
            return (Some(entry.clone()), entry.is_leaving);
        }
        let entry = parse_listed(record);
        let known = self.0.get(&record.key).map(|known| &known.entry);
        let is_new = known != Some(&entry) || entry.as_ref().is_some_and(|entry| entry.is_leaving);
        let value = record.value.as_ref().filter(|_| entry.is_some());
        let listed = Listed {
            text: value.cloned().unwrap_or_default(),
            entry: entry.clone(),
        };
        self.0.insert(record.key.clone(), listed);
        (entry, is_new)
    }
}
