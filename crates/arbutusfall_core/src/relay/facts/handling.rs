//! The relay's use of [`FactSource`].

use arbutusfall_wire::Name;

use crate::relay::PeerAddress;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::facts::FollowOutcome;
use crate::relay::facts::NewestSearch;
use crate::relay::facts::NextFacts;

impl Relay {
    /// Returns whether other VMs may follow this one.
    pub fn may_be_followed(&self) -> bool {
        let source = self.fact_source.as_ref();
        self.is_ready && source.is_some_and(|source| source.reads_store())
    }

    /// Returns whether this VM follows another one.
    pub fn follows_vm(&self) -> bool {
        let source = self.fact_source.as_ref();
        source.is_some_and(|source| !source.reads_store())
    }

    /// Takes over the address of another VM, or its removal.
    pub(in crate::relay) fn on_fact_peer(&mut self, vm: &Name, peer: Option<&PeerAddress>) {
        if let Some(source) = &mut self.fact_source {
            source.on_peer(vm, peer);
        }
    }

    /// Follows another VM from now on, if one may be asked; otherwise this VM reads the store.
    pub(in crate::relay) fn follow_facts(&mut self) {
        if self.is_asking_for_facts || self.is_draining || !self.is_ready {
            return;
        }
        let Some(source) = &mut self.fact_source else {
            return;
        };
        match source.next(self.now) {
            NextFacts::Follow {
                vm,
                address,
                is_proven,
            } => {
                self.is_asking_for_facts = true;
                self.effects.push(RelayEffect::FollowFacts {
                    vm,
                    address,
                    waits: is_proven,
                });
            }
            NextFacts::ReadStore { until } => {
                if let Some(until) = until {
                    self.timers.set(until, RelayTimer::FollowFacts);
                }
            }
        }
    }

    /// Begins a search for a VM that passes all newest records on, once the records that VMs share have been read: they name the
    /// VMs.
    pub(in crate::relay) fn on_newest_needed(&mut self) {
        self.is_newest_needed = true;
        if self.has_read_shared {
            self.seek_newest();
        }
    }

    /// Begins a search that waits for the records that VMs share, if one does.
    pub(in crate::relay) fn seek_newest(&mut self) {
        if !std::mem::take(&mut self.is_newest_needed) {
            return;
        }
        let source = self.fact_source.as_ref();
        let stronger = source.map(|source| source.stronger()).unwrap_or_default();
        let random = self.rng.f64();
        let search = NewestSearch::new(stronger, self.now, random, self.is_ready);
        self.effects.push(RelayEffect::SeekNewest(search));
    }

    /// Handles the answer of another VM that was asked for facts.
    pub(in crate::relay) fn on_facts_followed(&mut self, vm: &Name, outcome: FollowOutcome) {
        self.is_asking_for_facts = false;
        let Some(source) = &mut self.fact_source else {
            return;
        };
        let before = source.followed().cloned();
        source.on_outcome(vm, outcome, self.now);
        let after = source.followed().cloned();
        if before != after {
            self.note(RelayNotice::FactSource {
                followed: after,
                before,
            });
        }
        self.follow_facts();
    }
}
