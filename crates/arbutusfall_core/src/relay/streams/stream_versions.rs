//! Software versions of streams, so that a stream that broke off goes on only at the version that began it.
//!
//! This VM keeps the origin of each resumable stream that has brought an event. Origins are also recorded in the platform's
//! store, where other VMs find them: those of broken-off streams at once; those of all streams while a service has
//! endpoints of several versions, in groups, as soon as this VM's share of the appends allows it.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::StreamOrigin;
use crate::relay::StreamRecord;

/// Time for which the origin of a stream is kept after its end, and a version counts as present after its last endpoint left:
/// longer than callers wait for an answer.
pub(crate) const ORIGIN_LIFETIME: Duration = Duration::from_secs(30);

/// Shortest time between two appends with origins of streams that did not break off.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(50);

/// Time that the interval grows by with each VM, so that all VMs together make fewer than 200 appends a second.
const APPEND_INTERVAL_PER_VM: Duration = Duration::from_millis(6);

/// Time for which origins of streams that begin or break off together are collected.
const GROUP_DELAY: Duration = Duration::from_millis(5);

/// Time after a failed append until the next one.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Longest time for which a deletion waits for an append with origins to record.
const DELETION_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of records of one append.
const MAX_RECORDS: usize = 5_000;

/// Whether an origin is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordState {
    Missing,
    /// An append with it is in progress.
    Appending,
    Written,
}

/// Whether and how a stream has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Open,
    /// It broke off, or its caller left.
    BrokeOff(Duration),
    /// This VM has written all of it, which its caller may not have received.
    Complete(Duration),
}

impl StreamEnd {
    /// Returns the instant from which its caller does not come back.
    fn expires_at(self) -> Option<Duration> {
        match self {
            Self::Open => None,
            Self::BrokeOff(at) | Self::Complete(at) => Some(at + ORIGIN_LIFETIME),
        }
    }
}

/// A stream that has brought an event.
#[derive(Debug, Clone)]
struct KnownStream {
    origin: StreamOrigin,
    began_at: Duration,
    end: StreamEnd,
    record: RecordState,
    /// Whether it is known which process began it, or that this can't be known.
    is_judged: bool,
}

/// When a version was listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VersionPresence {
    Listed,
    LeftAt(Duration),
}

/// Origins of streams and versions of services.
#[derive(Debug, Clone)]
pub(crate) struct StreamVersions {
    /// Streams by the id of the attempt that brought their first event to the caller.
    streams: BTreeMap<Name, KnownStream>,
    /// Attempts whose records must be deleted from the store.
    deletions: Vec<Name>,
    /// Instant by which the deletions are due, unless an append with origins takes them along before.
    deletions_due: Option<Duration>,
    /// Versions of each service that are listed or were within [`ORIGIN_LIFETIME`].
    versions: BTreeMap<Name, BTreeMap<Name, VersionPresence>>,
    /// Time between two appends with origins of streams that did not break off.
    append_interval: Duration,
    last_append_at: Option<Duration>,
    is_appending: bool,
    /// No append is made before this instant.
    append_not_before: Duration,
}

impl StreamVersions {
    /// Creates an empty state for one of `vm_count` VMs.
    pub(crate) fn new(vm_count: u32) -> Self {
        Self {
            streams: BTreeMap::new(),
            deletions: Vec::new(),
            deletions_due: None,
            versions: BTreeMap::new(),
            append_interval: (APPEND_INTERVAL_PER_VM * vm_count).max(MIN_APPEND_INTERVAL),
            last_append_at: None,
            is_appending: false,
            append_not_before: Duration::ZERO,
        }
    }

    /// Takes the versions of all listed endpoints, as pairs of service and version.
    pub(crate) fn on_endpoints<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a Name, &'a Name)>,
        now: Duration,
    ) {
        for presence in self.versions.values_mut().flat_map(BTreeMap::values_mut) {
            if *presence == VersionPresence::Listed {
                *presence = VersionPresence::LeftAt(now);
            }
        }
        for (service, version) in listed {
            let versions = self.versions.entry(service.clone()).or_default();
            versions.insert(version.clone(), VersionPresence::Listed);
        }
        for versions in self.versions.values_mut() {
            versions.retain(|_, presence| is_recent(*presence, now));
        }
        self.versions.retain(|_, versions| !versions.is_empty());
    }

    /// Takes a version that another VM has recorded: its endpoints may have left just now.
    pub(crate) fn on_recorded_version(&mut self, service: &Name, version: &Name, now: Duration) {
        let versions = self.versions.entry(service.clone()).or_default();
        versions
            .entry(version.clone())
            .or_insert(VersionPresence::LeftAt(now));
    }

    /// Returns services and versions that are listed now.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (&Name, &Name)> {
        let services = self.versions.iter();
        services.flat_map(|(service, versions)| {
            let listed = versions
                .iter()
                .filter(|(_, presence)| **presence == VersionPresence::Listed);
            listed.map(move |(version, _)| (service, version))
        })
    }

    /// Returns whether the service has, or had of late, endpoints of a version.
    pub(crate) fn is_recent_version(&self, service: &Name, version: &Name, now: Duration) -> bool {
        self.recent_versions(service, now)
            .any(|recent| recent == version)
    }

    fn recent_versions(&self, service: &Name, now: Duration) -> impl Iterator<Item = &Name> {
        let versions = self.versions.get(service).into_iter().flatten();
        versions
            .filter(move |(_, presence)| is_recent(**presence, now))
            .map(|(version, _)| version)
    }

    /// Returns whether the service has, or had of late, endpoints of several versions.
    pub(crate) fn has_several(&self, service: &Name, now: Duration) -> bool {
        self.recent_versions(service, now).nth(1).is_some()
    }

    /// Returns the service's version if it had no other of late.
    pub(crate) fn only_version(&self, service: &Name, now: Duration) -> Option<Name> {
        let mut versions = self.recent_versions(service, now);
        let first = versions.next()?;
        versions.next().is_none().then(|| first.clone())
    }

    /// Returns the origin of a stream whose first event came with an attempt at this VM.
    pub(crate) fn origin(&self, attempt: &Name) -> Option<&StreamOrigin> {
        self.streams.get(attempt).map(|stream| &stream.origin)
    }

    /// Records the first event that an attempt brought.
    pub(crate) fn on_first_event(
        &mut self,
        attempt: Name,
        origin: StreamOrigin,
        is_judged: bool,
        now: Duration,
    ) {
        let stream = KnownStream {
            origin,
            began_at: now,
            end: StreamEnd::Open,
            record: RecordState::Missing,
            is_judged,
        };
        self.streams.insert(attempt, stream);
    }

    /// Takes the version of a stream whose process has become known; an empty one if its version can't be known.
    ///
    /// Returns whether that is new.
    pub(crate) fn on_judged(&mut self, attempt: &Name, version: Name) -> bool {
        let Some(stream) = self.streams.get_mut(attempt) else {
            return false;
        };
        let was_open = !std::mem::replace(&mut stream.is_judged, true);
        let is_other = stream.origin.version != version;
        if is_other {
            stream.origin.version = version;
            stream.record = RecordState::Missing;
        }
        was_open || is_other
    }

    /// Records that all of a stream was written to its caller.
    pub(crate) fn on_complete(&mut self, attempt: &Name, now: Duration) {
        self.on_end(attempt, StreamEnd::Complete(now));
    }

    /// Records that a stream broke off or that its caller left: the caller may take it up again.
    pub(crate) fn on_broke_off(&mut self, attempt: &Name, now: Duration) {
        self.on_end(attempt, StreamEnd::BrokeOff(now));
    }

    fn on_end(&mut self, attempt: &Name, end: StreamEnd) {
        if let Some(stream) = self.streams.get_mut(attempt)
            && stream.end == StreamEnd::Open
        {
            stream.end = end;
        }
    }

    /// Returns the instant at which [`Self::take_records`] has something to do.
    pub(crate) fn next_due(&self, now: Duration) -> Option<Duration> {
        let streams = self.streams.values();
        let expiry = streams.filter_map(|stream| stream.end.expires_at()).min();
        self.append_due(now).into_iter().chain(expiry).min()
    }

    /// Returns the instant of the next append; none while one is in progress.
    fn append_due(&self, now: Duration) -> Option<Duration> {
        if self.is_appending {
            return None;
        }
        let next_group_at = self
            .last_append_at
            .map_or(Duration::ZERO, |at| at + self.append_interval);
        let missing = self
            .streams
            .values()
            .filter(|stream| self.must_record(stream, now));
        let records = missing.map(|stream| match stream.end {
            StreamEnd::BrokeOff(at) => at + GROUP_DELAY,
            _ if !stream.origin.is_known() => stream.began_at + GROUP_DELAY,
            StreamEnd::Open | StreamEnd::Complete(_) => {
                (stream.began_at + GROUP_DELAY).max(next_group_at)
            }
        });
        let due = records.chain(self.deletions_due).min()?;
        Some(due.max(self.append_not_before))
    }

    fn must_record(&self, stream: &KnownStream, now: Duration) -> bool {
        // Other VMs must not take a stream of unknown version for one of the only version that they know.
        let must_be_known = matches!(stream.end, StreamEnd::BrokeOff(_))
            || (stream.is_judged && !stream.origin.is_known())
            || (stream.is_judged && self.has_several(&stream.origin.service, now));
        must_be_known && stream.record == RecordState::Missing
    }

    /// Removes the origins of streams that ended long ago. Returns what to append to the store now: every origin that
    /// must be recorded, and the deletions that wait.
    pub(crate) fn take_records(&mut self, now: Duration) -> Vec<StreamRecord> {
        self.remove_expired(now);
        if self.append_due(now).is_none_or(|due| now < due) {
            return Vec::new();
        }
        let missing: Vec<Name> = self
            .streams
            .iter()
            .filter(|(_, stream)| self.must_record(stream, now))
            .map(|(attempt, _)| attempt.clone())
            .take(MAX_RECORDS)
            .collect();
        let mut records = Vec::new();
        for attempt in missing {
            let Some(stream) = self.streams.get_mut(&attempt) else {
                continue;
            };
            stream.record = RecordState::Appending;
            records.push(StreamRecord {
                origin: Some(stream.origin.clone()),
                attempt,
            });
        }
        records.extend(self.take_deletions(MAX_RECORDS - records.len(), now));
        if !records.is_empty() {
            self.is_appending = true;
            self.last_append_at = Some(now);
        }
        records
    }

    fn take_deletions(&mut self, most: usize, now: Duration) -> Vec<StreamRecord> {
        let count = self.deletions.len().min(most);
        let deletions = self.deletions.drain(..count).map(|attempt| StreamRecord {
            attempt,
            origin: None,
        });
        let deletions = deletions.collect();
        self.deletions_due = (!self.deletions.is_empty()).then_some(now + DELETION_DELAY);
        deletions
    }

    fn remove_expired(&mut self, now: Duration) {
        let deletions = &mut self.deletions;
        self.streams.retain(|attempt, stream| {
            let is_expired = stream.end.expires_at().is_some_and(|at| at <= now);
            if is_expired && stream.record != RecordState::Missing {
                deletions.push(attempt.clone());
            }
            !is_expired
        });
        if !self.deletions.is_empty() {
            self.deletions_due.get_or_insert(now + DELETION_DELAY);
        }
    }

    /// Handles the loss of the records in the store: those of streams that may still be resumed are missing again.
    pub(crate) fn on_records_lost(&mut self) {
        for stream in self.streams.values_mut() {
            if stream.record == RecordState::Written {
                stream.record = RecordState::Missing;
            }
        }
    }

    /// Handles the end of an append. After a failure its origins are recorded again; its deletions are not repeated, so
    /// that records may stay behind in the store.
    pub(crate) fn on_appended(&mut self, succeeded: bool, now: Duration) {
        self.is_appending = false;
        let state = if succeeded {
            RecordState::Written
        } else {
            self.append_not_before = now + RETRY_DELAY;
            RecordState::Missing
        };
        for stream in self.streams.values_mut() {
            if stream.record == RecordState::Appending {
                stream.record = state;
            }
        }
    }
}

fn is_recent(presence: VersionPresence, now: Duration) -> bool {
    match presence {
        VersionPresence::Listed => true,
        VersionPresence::LeftAt(at) => now < at + ORIGIN_LIFETIME,
    }
}
