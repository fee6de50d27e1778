//! Whether the store shows again what it lost when it returned from an older copy of its contents.
//!
//! Endpoints write their entries again within about two seconds of the return. Until then, what the list does not show is not known to
//! be absent. A VM that starts can't tell from the store's era when the store returned. So VMs record the newest era in which this time
//! is over; a VM that finds no such record of the present era waits as long as if the store had returned when the VM first saw the era.

use std::time::Duration;

use crate::relay::LIST_RECOVERY_GRACE;
use crate::relay::Relay;
use crate::relay::SharedRecord;

/// Era of a store that has not returned from a copy yet. A store that states no era counts as such.
pub const FIRST_ERA: u64 = 1;

/// Time before the record of a restored era is written in which the list shows all endpoints already: what [`LIST_RECOVERY_GRACE`] is
/// longer than endpoints take.
const RECORD_MARGIN: Duration = Duration::from_millis(300);

/// Longest random delay of the record, for each VM: most VMs have read it before they would write it.
const RECORD_DELAY_PER_VM: Duration = Duration::from_millis(20);

/// What is known of the store's last return.
#[derive(Debug, Clone)]
pub(crate) struct StoreRestoration {
    /// Newest era that the store has stated.
    era: u64,
    /// Reads of the endpoint list that began from this instant on show all endpoints.
    complete_from: Duration,
    /// When the store was asked for the list as this VM knows it.
    list_as_of: Duration,
    /// Newest era that is recorded as restored.
    recorded_era: u64,
}

impl Default for StoreRestoration {
    fn default() -> Self {
        Self {
            era: FIRST_ERA,
            complete_from: Duration::ZERO,
            list_as_of: Duration::ZERO,
            recorded_era: FIRST_ERA,
        }
    }
}

impl StoreRestoration {
    /// Takes the store's era, which is new to this VM: the store may have returned just now.
    fn on_era(&mut self, era: u64, now: Duration) {
        self.era = era;
        if era > FIRST_ERA {
            self.complete_from = now + LIST_RECOVERY_GRACE;
        }
    }

    /// Takes the record of the newest era that is restored.
    fn on_recorded(&mut self, era: u64, now: Duration) {
        self.recorded_era = era;
        if era == self.era {
            let written_from = now.saturating_sub(RECORD_MARGIN);
            self.complete_from = self.complete_from.min(written_from);
        }
    }

    /// Takes the instant at which the store was asked for the list as this VM knows it now.
    fn on_list_read(&mut self, as_of: Duration) {
        self.list_as_of = self.list_as_of.max(as_of);
    }

    /// Returns whether the list as this VM knows it shows all endpoints.
    pub(crate) fn is_complete(&self) -> bool {
        self.list_as_of >= self.complete_from
    }

    /// Returns the earliest instant at which the list can show all endpoints.
    pub(crate) fn complete_from(&self) -> Duration {
        self.complete_from
    }

    /// Returns the era to record as restored, once.
    fn take_unrecorded_era(&mut self) -> Option<u64> {
        let is_new = self.is_complete() && self.era > self.recorded_era;
        is_new.then(|| {
            self.recorded_era = self.era;
            self.era
        })
    }
}

impl Relay {
    /// Takes the store's era, which is new to this VM.
    pub(in crate::relay) fn on_store_era(&mut self, era: u64) {
        self.restoration.on_era(era, self.now);
    }

    /// Handles a read of the endpoint list whose changes have been applied.
    pub(in crate::relay) fn on_list_known(&mut self, as_of: Duration) {
        self.restoration.on_list_read(as_of);
        self.review_restoration();
    }

    /// Takes over the record of the newest era that is restored.
    pub(in crate::relay) fn on_shared_restored_era(&mut self, era: u64) {
        self.restoration.on_recorded(era, self.now);
        self.review_restoration();
    }

    /// Once the store shows everything again, goes on with the streams that wait for it and records that. One VM is enough for that, so each
    /// waits for a random time; it has read first what others have recorded in this era.
    pub(in crate::relay) fn review_restoration(&mut self) {
        if !self.restoration.is_complete() {
            return;
        }
        for call in std::mem::take(&mut self.waiting_for_restoration) {
            self.begin_call(call);
        }
        let may_record = self.has_read_shared && !self.has_store_returned;
        if !may_record {
            return;
        }
        if let Some(era) = self.restoration.take_unrecorded_era() {
            let spread = RECORD_DELAY_PER_VM * self.vm_count;
            let due = self.now + spread.mul_f64(self.rng.f64());
            let record = SharedRecord::RestoredEra(era);
            self.shared_outbox.push_last(record, due);
            self.set_shared_timer();
        }
    }
}
