//! From where a VM has the facts of the store: it reads them itself, or follows another VM of its data centre.
//!
//! All VMs of a data centre rank each other, without asking anybody: by class of strength, then by a hash of the name. Each follows the
//! first one above itself that passes facts on; one that finds none reads the store. A VM that follows another one has no followers, so
//! facts take one step only.
//!
//! VMs may rank each other differently: an older build knows no strength, and a record may be of the VM's last run. Then two VMs may each
//! place the other above itself. Both decline as soon as both follow, and the time until the next question differs between them and
//! doubles until a VM has passed facts on twice in a row, so one of them reads the store while the other follows it.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::stable_hash;

use crate::relay::PeerAddress;
use crate::relay::StrengthClass;
use crate::relay::VmStrength;

/// Number of VMs that are asked for all newest records: if they all decline, more would not help.
const MAX_NEWEST_SOURCES: usize = 3;

/// Time for which a VM is not asked after it declined; doubles with each consecutive time.
const DECLINED_BACKOFF: Duration = Duration::from_millis(500);

/// Upper limit of [`DECLINED_BACKOFF`] when doubled.
const MAX_DECLINED_BACKOFF: Duration = Duration::from_secs(4);

/// Time for which a VM is not asked after it did not answer; doubles with each consecutive time.
const FAILED_BACKOFF: Duration = Duration::from_secs(1);

/// Upper limit of [`FAILED_BACKOFF`] when doubled: the entry may be of a VM that was removed.
const MAX_FAILED_BACKOFF: Duration = Duration::from_secs(16);

/// Shortest time between two questions to VMs that have not passed facts on.
const QUESTION_INTERVAL: Duration = Duration::from_millis(250);

/// What became of a question to another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowOutcome {
    /// It passed facts on.
    Passed,
    /// It passes none on now, or lacks what this VM needs.
    Declined,
    /// It did not answer.
    Failed,
}

/// What a VM does next for its facts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextFacts {
    /// Ask another VM.
    Follow {
        /// The VM.
        vm: Name,
        /// Where it listens for other VMs.
        address: SocketAddr,
        /// Whether it passed facts on last time, so that it may wait for news.
        is_proven: bool,
    },
    /// Read the store.
    ReadStore {
        /// When to ask again; none before another VM is known.
        until: Option<Duration>,
    },
}

/// Place of a VM in the order of its data centre; the least is followed first.
type Rank = (StrengthClass, u64);

/// A VM that ranks above this one.
#[derive(Debug, Clone)]
struct Candidate {
    rank: Rank,
    vm: Name,
    address: SocketAddr,
    refusals: u32,
    not_before: Duration,
}

/// Whom a VM follows.
#[derive(Debug, Clone)]
pub struct FactSource {
    vm: Name,
    data_centre: Name,
    own_rank: Rank,
    /// Addition to the time for which a VM is not asked from the second refusal on, as a share of it: differs between VMs.
    backoff_addition: f64,
    /// VMs of the data centre above this one, ordered by rank.
    candidates: Vec<Candidate>,
    following: Option<Name>,
    next_question: Duration,
}

fn rank(vm: &Name, strength: VmStrength) -> Rank {
    (strength.class(), stable_hash(vm))
}

/// Returns a number from 0 to 0.5 that differs between VMs.
fn backoff_addition(vm: &Name) -> f64 {
    (stable_hash(vm) % 512) as f64 / 1_024.0
}

impl FactSource {
    /// Creates the source of a VM that knows no other one.
    pub fn new(vm: Name, data_centre: Name, strength: VmStrength) -> Self {
        Self {
            own_rank: rank(&vm, strength),
            backoff_addition: backoff_addition(&vm),
            vm,
            data_centre,
            candidates: Vec::new(),
            following: None,
            next_question: Duration::ZERO,
        }
    }

    /// Takes over the address of a VM, or its removal.
    pub fn on_peer(&mut self, vm: &Name, listed: Option<&PeerAddress>) {
        let listed = listed.filter(|listed| {
            let rank = rank(vm, listed.strength);
            listed.data_centre == self.data_centre && (rank, vm) < (self.own_rank, &self.vm)
        });
        let known = self.candidates.iter().position(|known| known.vm == *vm);
        match (listed, known) {
            (Some(listed), Some(at))
                if self.candidates[at].address == listed.address
                    && self.candidates[at].rank == rank(vm, listed.strength) => {}
            (Some(listed), known) => {
                if let Some(at) = known {
                    self.candidates.remove(at);
                }
                self.candidates.push(Candidate {
                    rank: rank(vm, listed.strength),
                    vm: vm.clone(),
                    address: listed.address,
                    refusals: 0,
                    not_before: Duration::ZERO,
                });
                self.candidates
                    .sort_by(|left, right| (left.rank, &left.vm).cmp(&(right.rank, &right.vm)));
            }
            (None, Some(at)) => {
                self.candidates.remove(at);
                self.following.take_if(|followed| followed == vm);
            }
            (None, None) => {}
        }
    }

    /// Returns what to do now; a question is answered with [`Self::on_outcome`].
    pub fn next(&mut self, now: Duration) -> NextFacts {
        if self.following.is_none() && now < self.next_question {
            return self.read_store(now);
        }
        let mut candidates = self.candidates.iter();
        let Some(first) = candidates.find(|candidate| now >= candidate.not_before) else {
            return self.read_store(now);
        };
        // A VM above the followed one is only tried: if it passes nothing on, the followed one stays.
        let is_proven = self.following.as_ref() == Some(&first.vm);
        NextFacts::Follow {
            vm: first.vm.clone(),
            address: first.address,
            is_proven,
        }
    }

    fn read_store(&mut self, now: Duration) -> NextFacts {
        self.following = None;
        let first = self.candidates.iter().map(|c| c.not_before).min();
        let until = first.map(|first| first.max(self.next_question).max(now));
        NextFacts::ReadStore { until }
    }

    /// Records what became of a question.
    pub fn on_outcome(&mut self, vm: &Name, outcome: FollowOutcome, now: Duration) {
        let Some(candidate) = self.candidates.iter_mut().find(|known| known.vm == *vm) else {
            return;
        };
        let (least, most) = match outcome {
            FollowOutcome::Passed => {
                let was_followed = self.following.as_ref() == Some(vm);
                if was_followed {
                    candidate.refusals = 0;
                }
                self.following = Some(vm.clone());
                return;
            }
            FollowOutcome::Declined => (DECLINED_BACKOFF, MAX_DECLINED_BACKOFF),
            FollowOutcome::Failed => (FAILED_BACKOFF, MAX_FAILED_BACKOFF),
        };
        let doublings = candidate.refusals.min(8);
        candidate.refusals += 1;
        let backoff = (least * (1 << doublings)).min(most);
        let addition = if doublings == 0 {
            0.0
        } else {
            self.backoff_addition
        };
        candidate.not_before = now + backoff.mul_f64(1.0 + addition);
        self.following.take_if(|followed| followed == vm);
        self.next_question = now + QUESTION_INTERVAL;
    }

    /// Returns the VMs that are asked for all newest records: those of a stronger class, the strongest class first. Within a class each
    /// VM has its own order, so that several VMs share the work.
    pub fn stronger(&self) -> Vec<(Name, SocketAddr)> {
        if self.own_rank.0 == StrengthClass::UNKNOWN {
            return Vec::new();
        }
        let stronger = self.candidates.iter();
        let stronger = stronger.filter(|candidate| candidate.rank.0 < self.own_rank.0);
        let mut stronger: Vec<&Candidate> = stronger.collect();
        stronger
            .sort_by_key(|candidate| (candidate.rank.0, stable_hash(&(&self.vm, &candidate.vm))));
        let first = stronger.into_iter().take(MAX_NEWEST_SOURCES);
        first
            .map(|candidate| (candidate.vm.clone(), candidate.address))
            .collect()
    }

    /// Returns whether this VM reads the store itself, so that others may follow it.
    pub fn reads_store(&self) -> bool {
        self.following.is_none()
    }

    /// Returns the VM that this one follows.
    pub fn followed(&self) -> Option<&Name> {
        self.following.as_ref()
    }
}
