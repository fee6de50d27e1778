//! Records that VMs share: what this VM reads of them and appends to them.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::relay::NamedLimit;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayTimer;
use crate::relay::RequestHashKey;
use crate::relay::SharedKey;
use crate::relay::SharedRecord;

/// Shortest time from the start of a VM until it proposes a key for hashes of requests, unless it has read one.
const HASH_KEY_DELAY: Duration = Duration::from_millis(500);

/// Shortest time until VMs write the key again that the store has lost: after blocks, and before new VMs have proposed one.
const LOST_HASH_KEY_DELAY: Duration = Duration::from_millis(200);

/// Longest random addition to `HASH_KEY_DELAY`, for each VM: most VMs that start together have read a key before they propose one.
const HASH_KEY_DELAY_PER_VM: Duration = Duration::from_millis(20);

/// Time from the first read of a key until VMs that proposed others at the same time have read the newest one too.
const HASH_KEY_SETTLE_TIME: Duration = Duration::from_millis(600);

/// Longest time for which a VM that has read the shared records waits for a key before it takes requests.
const HASH_KEY_TIMEOUT: Duration = Duration::from_secs(3);

impl Relay {
    /// Takes over all records that VMs share, as read from the store.
    pub(in crate::relay) fn on_all_shared_records(&mut self, records: Vec<SharedRecord>) {
        let has_returned = std::mem::take(&mut self.has_store_returned);
        if has_returned {
            self.crash_suspects.on_shared_readable(self.now);
        }
        let listed: BTreeSet<SharedKey> = records.iter().map(SharedRecord::key).collect();
        let mut lost = Vec::new();
        for record in self.own_view_of_shared_records() {
            let key = record.key();
            if listed.contains(&key) || self.shared_outbox.contains(&key) {
                continue;
            }
            if has_returned {
                // The store lost it; one VM is enough to write it again.
                lost.push(record.recorded_late());
            } else {
                self.drop_shared_record(key);
            }
        }
        self.append_to_shared(lost);
        let has_hash_key = self.is_hash_key_shared || listed.contains(&SharedKey::HashKey);
        if !listed.contains(&SharedKey::HashKey) {
            self.propose_hash_key();
        }
        // They may be from long ago.
        self.is_shared_news_late = true;
        self.on_shared_records(records);
        self.has_read_shared = true;
        self.seek_newest();
        self.review_recorded_versions();
        self.review_restoration();
        self.record_own_address();
        if has_hash_key {
            self.is_shared_known = true;
        } else {
            // What is known of requests under a key that is replaced soon would be lost.
            let due = self.now + HASH_KEY_TIMEOUT;
            self.timers.set(due, RelayTimer::HashKeySettled);
        }
    }

    /// Appends records that other VMs may be about to append too, all at one instant.
    pub(in crate::relay) fn append_to_shared(&mut self, records: Vec<SharedRecord>) {
        if records.is_empty() {
            return;
        }
        let due = self.now + self.random_delay();
        for record in records {
            self.shared_outbox.push(record, due);
        }
        self.set_shared_timer();
    }

    /// Records this VM's key for hashes of requests, which the store does not have: before new VMs do if the store has lost it.
    fn propose_hash_key(&mut self) {
        let delay = if self.is_hash_key_shared {
            LOST_HASH_KEY_DELAY + self.random_delay()
        } else {
            let spread = HASH_KEY_DELAY_PER_VM * self.vm_count;
            HASH_KEY_DELAY + spread.mul_f64(self.rng.f64())
        };
        let record = SharedRecord::HashKey(Some(self.hash_key));
        self.shared_outbox.push(record, self.now + delay);
    }

    /// Takes over the key for hashes of requests that another VM has recorded.
    fn on_shared_hash_key(&mut self, key: Option<RequestHashKey>) {
        if let Some(key) = key {
            self.hash_key = key;
            self.is_hash_key_shared = true;
            if !self.is_shared_known {
                let due = self.now + HASH_KEY_SETTLE_TIME;
                self.timers.set(due, RelayTimer::HashKeySettled);
            }
            self.shared_outbox.withdraw(&SharedKey::HashKey);
        }
    }

    fn own_view_of_shared_records(&self) -> Vec<SharedRecord> {
        let crashes = self.crash_suspects.evidence();
        let crashes = crashes.map(|(cause, crash, evidence)| SharedRecord::Crash {
            cause: cause.clone(),
            crash: crash.clone(),
            evidence: Some(evidence.clone()),
        });
        let blocks = self.crash_suspects.blocks().iter();
        let blocks = blocks.map(|(cause, block)| SharedRecord::Block {
            cause: cause.clone(),
            block: Some(block.clone()),
        });
        let limits = self.limits.iter().filter_map(|(run, limit)| {
            let instance = self.instance_of(run)?;
            let per_s = limit.per_s;
            let limit = Some(NamedLimit { instance, per_s });
            let run = run.clone();
            Some(SharedRecord::Limit { run, limit })
        });
        let peers = self.peers.iter().map(|(vm, peer)| SharedRecord::Peer {
            vm: vm.clone(),
            peer: Some(peer.clone()),
        });
        let versions = self.recorded_versions.iter();
        let versions = versions.map(|(service, version)| SharedRecord::Version {
            service: service.clone(),
            version: version.clone(),
            is_recent: true,
        });
        crashes
            .chain(blocks)
            .chain(limits)
            .chain(peers)
            .chain(versions)
            .collect()
    }

    fn drop_shared_record(&mut self, key: SharedKey) {
        match key {
            SharedKey::Crash(cause, crash) => self.on_shared_crash(cause, crash, None, self.now),
            SharedKey::Block(cause) => self.on_shared_block(cause, None),
            SharedKey::HashKey => self.on_shared_hash_key(None),
            SharedKey::Limit(run) => self.on_shared_limit(&run, None),
            SharedKey::Peer(vm) => self.on_shared_peer(&vm, None),
            SharedKey::Version(service, version) => self.on_shared_version(service, version, false),
            // Each role change ends after the time that the service states for it.
            SharedKey::RoleChanges(_) => {}
            SharedKey::Share(run, number) => self.on_shared_share(&run, number, None),
            // It is not among this VM's own view.
            SharedKey::RestoredEra => {}
        }
    }

    /// Handles records that were read, oldest first.
    pub(in crate::relay) fn on_shared_records(&mut self, records: Vec<SharedRecord>) {
        // One instant for all, so that a VM answers them in one append.
        let has_evidence = records
            .iter()
            .any(|record| matches!(record, SharedRecord::Crash { .. }));
        let answer_due = if has_evidence {
            self.now + self.random_delay()
        } else {
            self.now
        };
        let is_late = std::mem::take(&mut self.is_shared_news_late);
        for record in records {
            self.shared_outbox.remove(&record);
            let record = if is_late {
                record.recorded_late()
            } else {
                record
            };
            match record {
                SharedRecord::Crash {
                    cause,
                    crash,
                    evidence,
                } => self.on_shared_crash(cause, crash, evidence, answer_due),
                SharedRecord::Block { cause, block } => self.on_shared_block(cause, block),
                SharedRecord::HashKey(key) => self.on_shared_hash_key(key),
                SharedRecord::Limit { run, limit } => self.on_shared_limit(&run, limit),
                SharedRecord::Peer { vm, peer } => self.on_shared_peer(&vm, peer),
                SharedRecord::Version {
                    service,
                    version,
                    is_recent,
                } => self.on_shared_version(service, version, is_recent),
                SharedRecord::RoleChanges { service, changes } => {
                    self.on_shared_role_changes(&service, &changes, is_late);
                }
                SharedRecord::Share {
                    run,
                    number,
                    holder,
                } => self.on_shared_share(&run, number, holder),
                SharedRecord::RestoredEra(era) => self.on_shared_restored_era(era),
            }
        }
        self.set_shared_timer();
    }

    pub(in crate::relay) fn on_shared_appended(&mut self, succeeded: bool) {
        self.shared_outbox.on_appended(succeeded, self.now);
        self.set_shared_timer();
    }

    /// Handles the timer for evidence, blocks and records to append.
    pub(in crate::relay) fn on_shared_timer(&mut self) {
        if self.shared_timer_due.is_some_and(|due| due > self.now) {
            // This timer was superseded by an earlier one.
            return;
        }
        self.shared_timer_due = None;
        self.review_crashes();
        let records = self.shared_outbox.take(self.now);
        if !records.is_empty() {
            self.effects.push(RelayEffect::AppendShared(records));
        }
        self.set_shared_timer();
    }

    pub(in crate::relay) fn set_shared_timer(&mut self) {
        let due = [
            self.endpoint_ends.next_due(),
            self.crash_suspects.next_block(),
            self.shared_outbox.next_due(),
        ];
        let Some(due) = due.into_iter().flatten().min() else {
            return;
        };
        let due = due.max(self.now);
        if self.shared_timer_due.is_some_and(|set| set <= due) {
            return;
        }
        self.shared_timer_due = Some(due);
        self.timers.set(due, RelayTimer::Shared);
    }
}
