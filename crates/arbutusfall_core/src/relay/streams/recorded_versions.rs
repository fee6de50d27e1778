//! Software versions that VMs record for each other.
//!
//! A VM that starts knows the versions that are listed now, but not those whose endpoints have just left. Streams of these may
//! be unrecorded, if the VMs that began them were killed. So VMs record the versions that they see, and delete the record of one when
//! no caller can come back with a stream of it.

use arbutusfall_wire::Name;

use crate::relay::Relay;
use crate::relay::SharedRecord;

/// Most bytes of the names of a service and a version that are recorded: a record's key has room for three times as many.
const MAX_NAME_BYTES: usize = 80;

impl Relay {
    /// Takes over the record of a version, or its deletion.
    pub(in crate::relay) fn on_shared_version(
        &mut self,
        service: Name,
        version: Name,
        is_recent: bool,
    ) {
        if is_recent {
            self.stream_versions
                .on_recorded_version(&service, &version, self.now);
            self.recorded_versions.insert((service, version));
            self.set_record_timer();
        } else {
            self.recorded_versions.remove(&(service, version));
        }
    }

    /// Returns whether a version may be recorded: entries of the list may name any service and any version.
    fn is_recordable(&self, service: &Name, version: &Name) -> bool {
        let is_configured = self
            .routes
            .as_ref()
            .is_some_and(|routes| routes.services.contains_key(service));
        is_configured && service.len() + version.len() <= MAX_NAME_BYTES
    }

    /// Records versions that are listed and not recorded, and deletes the records of those that left long ago. One VM is enough,
    /// so each waits for a random time.
    pub(in crate::relay) fn review_recorded_versions(&mut self) {
        if !self.has_read_shared {
            return;
        }
        let listed = self.stream_versions.listed();
        let missing = listed
            .filter(|(service, version)| self.is_recordable(service, version))
            .map(|(service, version)| (service.clone(), version.clone()))
            .filter(|pair| !self.recorded_versions.contains(pair));
        let mut changes: Vec<((Name, Name), bool)> = missing.map(|pair| (pair, true)).collect();
        let expired = self.recorded_versions.iter().filter(|(service, version)| {
            !self
                .stream_versions
                .is_recent_version(service, version, self.now)
        });
        changes.extend(expired.cloned().map(|pair| (pair, false)));
        let records =
            changes
                .into_iter()
                .map(|((service, version), is_recent)| SharedRecord::Version {
                    service,
                    version,
                    is_recent,
                });
        let records: Vec<SharedRecord> = records
            .filter(|record| !self.shared_outbox.contains(&record.key()))
            .collect();
        self.append_to_shared(records);
    }
}
