//! Streams that callers take up again: each goes on at the software version that began it, or is refused.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::StoreTopic;
use crate::relay::StreamLookup;
use crate::relay::StreamOrigin;
use crate::relay::calls::call::CallStage;
use crate::relay::streams::stream_proofs::RunVersion;
use crate::relay::streams::stream_versions::ORIGIN_LIFETIME;

/// Time from a request's arrival during which its stream's origin is looked for: it may be about to be recorded.
const LOOKUP_PERIOD: Duration = Duration::from_millis(400);

/// Time from a request's arrival after which a stream that broke off before is recorded, if its VM could do it.
const RECORD_TIME: Duration = Duration::from_millis(120);

/// Time between two lookups of one request.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(60);

/// Age of the endpoint list up to which it shows whether there is only one version.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);

/// Reason of the refusal of a stream whose version is not known.
pub(in crate::relay) const UNKNOWN_VERSION: &str = "unknown_version";

/// What this VM can conclude from the absence of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VersionKnowledge {
    /// All versions are known that a stream can have begun at.
    Complete,
    /// The store has returned from an older copy of late, so versions may be missing that it shows again soon.
    Restoring,
    /// The list may be too old, or what VMs have recorded is not known.
    Incomplete,
}

impl Relay {
    /// Sends a new request, or first finds the version of the stream that it goes on with.
    pub(in crate::relay) fn begin_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let resumption = call.request.resumption.as_ref();
        let must_find = call.route.is_stream && call.stream_version.is_none();
        let Some(resumption) = resumption.filter(|_| must_find) else {
            self.send_next(id);
            return;
        };
        let Some(attempt) = resumption.first_attempt.clone() else {
            self.go_on_at_only_version(id);
            return;
        };
        if self.unproved_streams.instance_of(&attempt).is_some() {
            self.find_stream_later(id);
            return;
        }
        match self.stream_versions.origin(&attempt).cloned() {
            Some(origin) => self.go_on_at(id, origin, "own"),
            None => self
                .effects
                .push(RelayEffect::FindStream { call: id, attempt }),
        }
    }

    /// Handles the answer to a lookup of a stream's origin in the store.
    pub(in crate::relay) fn on_stream_lookup(&mut self, id: CallId, lookup: StreamLookup) {
        let Some(call) = self.calls.get(&id) else {
            // The call has ended meanwhile.
            return;
        };
        match lookup {
            StreamLookup::Found(origin) if origin.is_known() => self.go_on_at(id, origin, "store"),
            StreamLookup::NotFound
                if !self.stream_versions.has_several(&call.service, self.now) =>
            {
                let is_on_its_way = self.now < call.arrived_at + RECORD_TIME;
                if is_on_its_way && self.version_knowledge() != VersionKnowledge::Incomplete {
                    self.find_stream_later(id);
                } else {
                    self.go_on_at_only_version(id);
                }
            }
            StreamLookup::Found(_) | StreamLookup::NotFound | StreamLookup::Failed => {
                self.find_stream_later(id);
            }
        }
    }

    /// Looks for the origin of a call's stream once more after a pause, or refuses the call if that takes too long.
    fn find_stream_later(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let next_at = self.now + LOOKUP_INTERVAL;
        if next_at <= call.arrived_at + LOOKUP_PERIOD {
            self.timers.set(next_at, RelayTimer::FindStream(id));
        } else {
            self.fail_call(id, UNKNOWN_VERSION);
        }
    }

    /// Sends a call whose stream's origin is known. If the route has moved to other services, their versions have nothing
    /// to do with the origin's.
    fn go_on_at(&mut self, id: CallId, origin: StreamOrigin, source: &'static str) {
        if !origin.is_known() {
            self.fail_call(id, UNKNOWN_VERSION);
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let mut services = call.route.services.iter();
        if services.any(|(service, _)| *service == origin.service) {
            call.service = origin.service;
            call.stream_version = Some(origin.version.clone());
        }
        let notice = RelayNotice::GoesOn {
            request_id: call.request.request_id.clone(),
            version: origin.version,
            source,
        };
        self.note(notice);
        self.send_next(id);
    }

    /// Sends a call whose stream's origin is unknown, if the service has had a single version for as long as the stream
    /// can have lasted; otherwise refuses it. As long as another version may only be missing, the call waits.
    fn go_on_at_only_version(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let service = call.service.clone();
        let only_version = self.stream_versions.only_version(&service, self.now);
        match (only_version, self.version_knowledge()) {
            (Some(version), VersionKnowledge::Complete) => {
                self.go_on_at(id, StreamOrigin { service, version }, "only_version");
            }
            (Some(_), VersionKnowledge::Restoring) => self.wait_for_restoration(id),
            (Some(_), VersionKnowledge::Incomplete) | (None, _) => {
                self.fail_call(id, UNKNOWN_VERSION);
            }
        }
    }

    /// Returns what the absence of a version means: all are known by the list and the versions that VMs have recorded, or because
    /// this VM has seen the list for long enough itself.
    fn version_knowledge(&self) -> VersionKnowledge {
        let age = self.store.unread_for(StoreTopic::Endpoints, self.now);
        let is_fresh = age.is_some_and(|age| age <= MAX_LIST_AGE);
        let first_read_at = self.store.first_read_at(StoreTopic::Endpoints);
        let has_history = first_read_at.is_some_and(|at| at + ORIGIN_LIFETIME <= self.now);
        if !(is_fresh && (has_history || self.has_read_shared)) {
            VersionKnowledge::Incomplete
        } else if self.restoration.is_complete() {
            VersionKnowledge::Complete
        } else {
            VersionKnowledge::Restoring
        }
    }

    /// Remembers the version of the call's stream at its first event.
    pub(in crate::relay) fn on_first_event(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        if !(call.route.is_stream && call.route.is_resumable) {
            return;
        }
        if current.stage == CallStage::Forward {
            // The other VM records it.
            return;
        }
        let current = current.clone();
        let version = self.version_of_run(&current);
        let is_judged = version != RunVersion::NotYet;
        if let RunVersion::Unknown(reason) = version {
            self.note_unknown_version(id, &current.instance, reason);
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // No endpoint has the empty version.
        let version = match version {
            RunVersion::Known(version) => version,
            RunVersion::NotYet | RunVersion::Unknown(_) => Name::default(),
        };
        call.stream_version = Some(version.clone());
        let origin = StreamOrigin {
            service: call.service.clone(),
            version,
        };
        let attempt = call.stream_attempt().clone();
        let streams = &mut self.stream_versions;
        streams.on_first_event(attempt.clone(), origin, is_judged, self.now);
        if !is_judged {
            self.begin_proof(attempt, &current);
        }
        self.set_record_timer();
    }

    /// Records the end of the call's stream; its origin is kept for the caller's next attempt.
    pub(in crate::relay) fn on_stream_end(&mut self, attempt: &Name, is_complete: bool) {
        if self.stream_versions.origin(attempt).is_none() {
            return;
        }
        if is_complete {
            self.stream_versions.on_complete(attempt, self.now);
        } else {
            self.stream_versions.on_broke_off(attempt, self.now);
        }
        self.set_record_timer();
    }

    /// Appends to the store what is due.
    pub(in crate::relay) fn record_streams(&mut self) {
        let records = self.stream_versions.take_records(self.now);
        if !records.is_empty() {
            self.effects.push(RelayEffect::RecordStreams(records));
        }
        self.record_timer_due = None;
        self.set_record_timer();
    }

    pub(in crate::relay) fn on_streams_recorded(&mut self, succeeded: bool) {
        self.stream_versions.on_appended(succeeded, self.now);
        self.set_record_timer();
    }

    /// Sets the timer of [`Self::record_streams`], unless an earlier one is set.
    pub(in crate::relay) fn set_record_timer(&mut self) {
        let Some(due) = self.stream_versions.next_due(self.now) else {
            return;
        };
        let due = due.max(self.now);
        if self.record_timer_due.is_some_and(|set| set <= due) {
            return;
        }
        self.record_timer_due = Some(due);
        self.timers.set(due, RelayTimer::RecordStreams);
    }
}
