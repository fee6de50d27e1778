//! What a VM has read of a topic of late, for the VMs that follow it.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;

/// Maximum number of records that are kept of a topic.
const MAX_RECORDS: usize = 4_096;

/// Position in a topic of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FactPosition {
    /// Offset of the next record.
    pub offset: Offset,
    /// Era of the store in which it was read: in another one the offset has other records.
    pub era: Option<u64>,
}

/// A record of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FactRecord {
    /// Its offset in the topic.
    pub offset: Offset,
    /// Its key.
    pub key: Name,
    /// Its content; none deletes the key.
    pub value: Option<Arc<[u8]>>,
}

impl FactRecord {
    /// Returns the size of key and value.
    pub fn bytes(&self) -> usize {
        let value = self.value.as_ref().map_or(0, |value| value.len());
        self.key.len() + value
    }
}

/// Records between two positions; of each key, the newest one only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FactSpan {
    /// Position at which it begins.
    pub from: FactPosition,
    /// Offset at which the next span begins.
    pub next: Offset,
    /// Records in order.
    pub records: Vec<FactRecord>,
}

impl FactSpan {
    /// Keeps the first records that fit into `max_bytes`, keys and values counted; the span then ends before the first of the others.
    /// Returns whether there are others.
    pub fn truncate(&mut self, max_bytes: usize) -> bool {
        let mut bytes = 0;
        let mut fits = |record: &FactRecord| {
            bytes += record.bytes();
            bytes <= max_bytes
        };
        let count = self
            .records
            .iter()
            .take_while(|record| fits(record))
            .count();
        let Some(left_out) = self.records.get(count) else {
            return false;
        };
        self.next = left_out.offset;
        self.records.truncate(count);
        true
    }
}

/// Newest records of a topic by offset.
///
/// Invariant: it has the newest record of each key that was written from `floor` to before `end`, except for records that say
/// what was known before.
#[derive(Debug, Clone)]
pub struct FactLog {
    /// Position from which it is complete; none before the first read.
    floor: Option<FactPosition>,
    end: Offset,
    records: BTreeMap<Offset, FactRecord>,
    by_key: FastMap<Name, Offset>,
}

impl Default for FactLog {
    fn default() -> Self {
        Self {
            floor: None,
            end: Offset(0),
            records: BTreeMap::new(),
            by_key: FastMap::default(),
        }
    }
}

impl FactLog {
    /// Forgets all records and begins at a position.
    pub fn restart(&mut self, at: FactPosition) {
        *self = Self {
            floor: Some(at),
            end: at.offset,
            ..Self::default()
        };
    }

    /// Adds what was read between two positions, without records that say what was known before.
    pub fn append(&mut self, span: FactSpan) {
        let era = self.floor.map(|floor| floor.era);
        if era != Some(span.from.era) || self.end != span.from.offset {
            self.restart(span.from);
        }
        for record in span.records {
            if let Some(earlier) = self.by_key.insert(record.key.clone(), record.offset) {
                self.records.remove(&earlier);
            }
            self.records.insert(record.offset, record);
        }
        self.end = span.next;
        self.drop_oldest();
    }

    fn drop_oldest(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let Some((offset, record)) = self.records.pop_first() else {
                return;
            };
            self.by_key.remove(&record.key);
            if let Some(floor) = &mut self.floor {
                floor.offset = Offset(offset.0 + 1);
            }
        }
    }

    /// Returns what comes after a position; none if that is not known here.
    pub fn since(&self, from: FactPosition) -> Option<FactSpan> {
        let floor = self.floor?;
        if from.era != floor.era || from.offset < floor.offset {
            return None;
        }
        let records = self.records.range(from.offset..);
        Some(FactSpan {
            from,
            // A follower may know more than this VM.
            next: self.end.max(from.offset),
            records: records.map(|(_, record)| record.clone()).collect(),
        })
    }

    /// Returns whether there is anything after a position.
    pub fn has_news(&self, from: FactPosition) -> bool {
        self.records.range(from.offset..).next().is_some()
    }
}
