//! Records that this VM has to append to those that VMs share.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::SharedKey;
use crate::relay::SharedRecord;

/// Shortest time between two appends of a VM.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(50);

/// Time that the interval grows by with each VM, so that all VMs together make at most 400 appends a second.
const APPEND_INTERVAL_PER_VM: Duration = Duration::from_micros(2_500);

/// Time after a failed append until the next one.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of records of one append.
const MAX_RECORDS: usize = 1_000;

#[derive(Debug, Clone)]
struct Pending {
    record: SharedRecord,
    due: Duration,
}

/// Records that wait to be appended, at most one for each key.
#[derive(Debug, Clone)]
pub(crate) struct SharedOutbox {
    pending: BTreeMap<SharedKey, Pending>,
    /// Records of the append in progress, if any, without those that were withdrawn.
    appending: Option<Vec<SharedRecord>>,
    /// Time between two appends.
    interval: Duration,
    /// No append is made before this instant.
    not_before: Duration,
}

impl SharedOutbox {
    /// Creates an empty outbox of one of `vm_count` VMs.
    pub(crate) fn new(vm_count: u32) -> Self {
        Self {
            pending: BTreeMap::new(),
            appending: None,
            interval: (APPEND_INTERVAL_PER_VM * vm_count).max(MIN_APPEND_INTERVAL),
            not_before: Duration::ZERO,
        }
    }

    /// Adds a record to append at an instant, in place of an older one with its key.
    pub(crate) fn push(&mut self, record: SharedRecord, due: Duration) {
        self.pending.insert(record.key(), Pending { record, due });
    }

    /// Adds a record to append at an instant or later: not before any that waits by now.
    pub(crate) fn push_last(&mut self, record: SharedRecord, due: Duration) {
        let waiting = self.pending.values().map(|pending| pending.due).max();
        self.push(record, waiting.unwrap_or_default().max(due));
    }

    /// Removes a record that another VM has appended meanwhile.
    pub(crate) fn remove(&mut self, record: &SharedRecord) {
        let key = record.key();
        if self
            .pending
            .get(&key)
            .is_some_and(|pending| pending.record == *record)
        {
            self.pending.remove(&key);
        }
    }

    /// Removes the record with this key: it is not appended any more, nor again after a failure.
    pub(crate) fn withdraw(&mut self, key: &SharedKey) {
        self.pending.remove(key);
        if let Some(appending) = &mut self.appending {
            appending.retain(|record| record.key() != *key);
        }
    }

    /// Returns whether a record with this key waits or is being appended.
    pub(crate) fn contains(&self, key: &SharedKey) -> bool {
        let mut appending = self.appending.iter().flatten();
        self.pending.contains_key(key) || appending.any(|record| record.key() == *key)
    }

    /// Returns the instant of the next append; none while one is in progress.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        if self.appending.is_some() {
            return None;
        }
        let due = self.pending.values().map(|pending| pending.due).min()?;
        Some(due.max(self.not_before))
    }

    /// Returns the records to append now, which may be none.
    pub(crate) fn take(&mut self, now: Duration) -> Vec<SharedRecord> {
        if self.next_due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        let due = self.pending.values().filter(|pending| pending.due <= now);
        let records: Vec<SharedRecord> = due
            .take(MAX_RECORDS)
            .map(|pending| pending.record.clone())
            .collect();
        for record in &records {
            self.pending.remove(&record.key());
        }
        if !records.is_empty() {
            self.appending = Some(records.clone());
        }
        self.not_before = now + self.interval;
        records
    }

    /// Handles the end of an append: after a failure its records are appended again, unless newer ones replace them.
    pub(crate) fn on_appended(&mut self, succeeded: bool, now: Duration) {
        let records = self.appending.take().unwrap_or_default();
        if succeeded {
            return;
        }
        let due = now + RETRY_DELAY;
        self.not_before = self.not_before.max(due);
        for record in records {
            let record = record.recorded_late();
            let pending = self.pending.entry(record.key());
            pending.or_insert(Pending { record, due });
        }
    }
}
