//! Many relays with one simulated store: what they share travels with the delays of the store and of their reads.

use std::time::Duration;

use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::SharedRecord;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::ms;

/// Time until an append is in the store.
const APPEND_TIME: Duration = Duration::from_millis(12);

/// Pause of a VM between two reads of shared records.
const READ_PAUSE: Duration = Duration::from_millis(400);

/// Time for a read's answer.
const READ_TIME: Duration = Duration::from_millis(10);

/// One VM with its position in the log of shared records.
pub(crate) struct FleetVm {
    pub(crate) harness: RelayHarness,
    /// Whether its process runs; it is dead or frozen otherwise.
    pub(crate) is_running: bool,
    /// Number of records that it has read.
    read: usize,
    next_read_at: Duration,
    /// Confirmation of an append in progress.
    confirm_at: Option<Duration>,
}

/// VMs that share records through one log.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<FleetVm>,
    pub(crate) now: Duration,
    /// Whether appends and reads are answered.
    pub(crate) is_store_up: bool,
    log: Vec<SharedRecord>,
    /// Appends that are on their way, with the instant at which they are in the log.
    on_their_way: Vec<(Duration, Vec<SharedRecord>)>,
    /// When appends were made.
    pub(crate) appends: Vec<Duration>,
    /// When reads were answered with records.
    pub(crate) reads: Vec<Duration>,
    limit: RetryLimit,
}

impl Fleet {
    /// Starts `count` VMs without configuration.
    pub(crate) fn start(count: u32, seed: u64) -> Self {
        let limit = RetryLimit {
            ratio: 0.2,
            slack: 2.0 * f64::from(count) + 40.0,
            vm_count: count,
        };
        let mut fleet = Self {
            vms: Vec::new(),
            now: ms(1_000),
            is_store_up: true,
            log: Vec::new(),
            on_their_way: Vec::new(),
            appends: Vec::new(),
            reads: Vec::new(),
            limit,
        };
        for number in 0..u64::from(count) {
            fleet.start_vm(seed * 1_000 + number);
        }
        fleet
    }

    /// Starts one more VM, which reads all records of the store.
    pub(crate) fn start_vm(&mut self, seed: u64) {
        let mut harness = RelayHarness::with_retry_limit(seed, self.limit);
        harness.now = self.now;
        harness.apply(RelayEvent::SharedRecords {
            records: self.newest(),
            is_full: true,
        });
        self.vms.push(FleetVm {
            harness,
            is_running: true,
            read: self.log.len(),
            next_read_at: self.now,
            confirm_at: None,
        });
    }

    /// Returns the newest record of each key, as a VM reads them that starts.
    pub(crate) fn newest(&self) -> Vec<SharedRecord> {
        let mut newest: Vec<SharedRecord> = Vec::new();
        for record in &self.log {
            newest.retain(|older| older.key() != record.key());
            if !record.is_deletion() {
                newest.push(record.clone());
            }
        }
        newest
    }

    /// Advances the clock, and all VMs, appends and reads with it.
    pub(crate) fn advance(&mut self, step: Duration) {
        self.now += step;
        self.store_appends();
        for number in 0..self.vms.len() {
            if self.vms[number].is_running {
                self.advance_vm(number, step);
            }
        }
    }

    /// Lets a frozen VM run on; all its timers are due at once.
    pub(crate) fn thaw(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.is_running = true;
        vm.harness.now = self.now;
        vm.harness.apply(RelayEvent::Tick);
    }

    fn store_appends(&mut self) {
        let now = self.now;
        let (arrived, left) = std::mem::take(&mut self.on_their_way)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.on_their_way = left;
        for (_, records) in arrived {
            self.log.extend(records);
        }
    }

    fn advance_vm(&mut self, number: usize, step: Duration) {
        let vm = &mut self.vms[number];
        vm.harness.advance(step);
        if vm.confirm_at.is_some_and(|at| at <= self.now) {
            vm.confirm_at = None;
            let succeeded = self.is_store_up;
            vm.harness.apply(RelayEvent::SharedAppended { succeeded });
        }
        if self.is_store_up && vm.read < self.log.len() && self.now >= vm.next_read_at {
            let records = self.log[vm.read..].to_vec();
            vm.read = self.log.len();
            vm.next_read_at = self.now + READ_PAUSE + READ_TIME;
            vm.harness.apply(RelayEvent::SharedRecords {
                records,
                is_full: false,
            });
            self.reads.push(self.now);
        }
        let effects = std::mem::take(&mut vm.harness.effects);
        for effect in effects {
            match effect {
                RelayEffect::AppendShared(records) => {
                    self.appends.push(self.now);
                    if self.is_store_up {
                        self.on_their_way.push((self.now + APPEND_TIME, records));
                    }
                    vm.confirm_at = Some(self.now + APPEND_TIME);
                }
                other => vm.harness.effects.push(other),
            }
        }
    }
}

/// Returns the largest number of instants within one second.
pub(crate) fn most_in_one_second(instants: &[Duration]) -> usize {
    let counts = instants.iter().map(|start| {
        let end = *start + Duration::from_secs(1);
        let within = instants.iter().filter(|at| *start <= **at && **at < end);
        within.count()
    });
    counts.max().unwrap_or_default()
}
