//! Membership: the platform's list of VMs combined with the results of liveness probes.
//!
//! Only the list makes a VM a member; probes determine the incarnation of its process and whether it answers.

mod liveness;
mod probe;
mod update_queue;

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;

use crate::Effect;
use crate::ListedVm;
use crate::Notice;
use crate::PeerAddress;
use crate::context::Context;
use crate::context::Identity;
use crate::timers::Timer;

use liveness::Liveness;
use probe::Probes;
pub(crate) use probe::announce_draining;
pub(crate) use probe::on_ack;
pub(crate) use probe::on_indirect_probe;
pub(crate) use probe::on_probe;
pub(crate) use probe::on_probe_overdue;
pub(crate) use probe::on_probe_timer;
pub(crate) use probe::on_suspicion_timeout;
pub(crate) use probe::record_contact;
use update_queue::UpdateQueue;

/// Unlisted processes whose incarnation is remembered.
const MAX_UNLISTED: usize = 64;

/// After this many VM lists that omit its VM, a process is forgotten. Each message from the process or update about it
/// restarts the count.
const MAX_MISSED_LISTS: u32 = 5;

/// This VM's view of the deployment's VMs.
#[derive(Debug, Clone)]
pub(crate) struct Membership {
    own_vm: Name,
    own_liveness: Liveness,
    members: BTreeMap<Name, Member>,
    /// Processes known from messages or updates although the list does not name their VM yet.
    unlisted: BTreeMap<Name, UnlistedProcess>,
    update_queue: UpdateQueue,
    probes: Probes,
    /// First offset of the configuration stream that this VM has not applied; sent to peers with each probe.
    next_config_offset: Offset,
}

/// A process whose VM is not on the list.
#[derive(Debug, Clone, Copy)]
struct UnlistedProcess {
    incarnation: Incarnation,
    /// Lists that may still omit the VM before the process is forgotten.
    lists_left: u32,
}

/// A listed VM; this VM is included once the list names it.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) listed: ListedVm,
    /// State derived from the list and the probes.
    pub(crate) state: MemberState,
    liveness: Liveness,
}

impl Member {
    fn may_own(&self, site: &Name) -> bool {
        self.listed.site == *site && self.state <= MemberState::Suspect
    }

    /// Derives the state from the list and the probes; returns a notice if it changed.
    fn recompute_state(&mut self) -> Option<Notice> {
        let leaving = self.listed.leaving && self.liveness.state < MemberState::Leaving;
        let state = if leaving {
            MemberState::Leaving
        } else {
            self.liveness.state
        };
        if state == self.state {
            return None;
        }
        self.state = state;
        Some(Notice::Member {
            vm: self.listed.vm.clone(),
            state,
        })
    }
}

impl Membership {
    /// Starts without members; only this process is known.
    pub(crate) fn new(identity: &Identity) -> Self {
        Self {
            own_vm: identity.vm.clone(),
            own_liveness: Liveness::running(identity.incarnation),
            members: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            update_queue: UpdateQueue::default(),
            probes: Probes::default(),
            next_config_offset: Offset::default(),
        }
    }

    /// Returns the VMs of a site that may own shards and partitions, sorted by name.
    pub(crate) fn owner_candidates(&self, site: &Name) -> Vec<Name> {
        let may_own = |member: &&Member| member.may_own(site);
        let owners = self.members.values().filter(may_own);
        owners.map(|member| member.listed.vm.clone()).collect()
    }

    /// Returns whether any VM of a site may own shards and partitions.
    pub(crate) fn has_owner_candidate(&self, site: &Name) -> bool {
        self.members.values().any(|member| member.may_own(site))
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Sets the next offset of the configuration stream that is sent to peers with each probe.
    pub(crate) fn set_next_config_offset(&mut self, next: Offset) {
        self.next_config_offset = next;
    }

    /// Returns the incarnation and state of a member's process, or `None` while its incarnation is unknown.
    pub(crate) fn incarnation_and_state(&self, vm: &Name) -> Option<(Incarnation, MemberState)> {
        let member = self.members.get(vm)?;
        Some((member.liveness.incarnation?, member.state))
    }

    /// Returns whether a process with this incarnation may still be running.
    ///
    /// A member that may be alive but whose incarnation is unknown matches any incarnation.
    pub(crate) fn may_be_running(&self, incarnation: Incarnation) -> bool {
        let is_own = self.own_liveness.incarnation == Some(incarnation);
        let mut not_dead = self
            .members
            .values()
            .filter(|member| member.listed.vm != self.own_vm && member.state < MemberState::Dead);
        let may_run = |member: &Member| {
            member
                .liveness
                .incarnation
                .is_none_or(|known| known == incarnation)
        };
        is_own
            || not_dead.any(may_run)
            || self
                .unlisted
                .values()
                .any(|unlisted| unlisted.incarnation == incarnation)
    }

    /// Applies a new list and returns a notice for each change.
    pub(crate) fn apply_list(&mut self, list: Vec<ListedVm>) -> Vec<Notice> {
        let mut notices = Vec::new();
        let mut members = BTreeMap::new();
        for listed in list {
            let vm = listed.vm.clone();
            let mut member = match self.members.remove(&vm) {
                Some(member) => Member { listed, ..member },
                None => {
                    let member = self.new_member(listed);
                    notices.push(Notice::Member {
                        vm: vm.clone(),
                        state: member.state,
                    });
                    member
                }
            };
            notices.extend(member.recompute_state());
            members.insert(vm, member);
        }
        for vm in self.members.keys() {
            notices.push(Notice::Member {
                vm: vm.clone(),
                state: MemberState::Dead,
            });
        }
        self.members = members;
        self.unlisted.retain(|_, unlisted| {
            unlisted.lists_left = unlisted.lists_left.saturating_sub(1);
            unlisted.lists_left > 0
        });
        notices
    }

    fn new_member(&mut self, listed: ListedVm) -> Member {
        let liveness = if listed.vm == self.own_vm {
            self.own_liveness.clone()
        } else {
            let known = self.unlisted.remove(&listed.vm);
            Liveness::assumed_alive(known.map(|unlisted| unlisted.incarnation))
        };
        let state = if listed.leaving {
            MemberState::Leaving
        } else {
            liveness.state
        };
        Member {
            listed,
            state,
            liveness,
        }
    }

    /// Remembers the process of a VM that the list does not name.
    fn remember_unlisted(&mut self, vm: &Name, incarnation: Incarnation) {
        if self.unlisted.len() < MAX_UNLISTED || self.unlisted.contains_key(vm) {
            let unlisted = UnlistedProcess {
                incarnation,
                lists_left: MAX_MISSED_LISTS,
            };
            self.unlisted.insert(vm.clone(), unlisted);
        }
    }

    /// Copies this process's own liveness into its member entry.
    fn copy_own_liveness(&mut self) -> Option<Notice> {
        let member = self.members.get_mut(&self.own_vm)?;
        member.liveness = self.own_liveness.clone();
        member.recompute_state()
    }

    /// Returns the members other than this VM.
    fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.listed.vm != self.own_vm)
    }
}

/// Schedules the next read of the platform's list.
pub(crate) fn schedule_vm_list_fetch(ctx: &mut Context<'_>) {
    ctx.set_timer(
        Duration::from_millis(ctx.site_config.timing.vm_list_interval_ms),
        Timer::FetchVmList,
    );
}

/// Applies the platform's list and updates the peer addresses.
pub(crate) fn on_vm_list(list: Vec<ListedVm>, ctx: &mut Context<'_>) {
    for notice in ctx.members.apply_list(list) {
        ctx.note(notice);
    }
    let peers = ctx.members.peers().map(|member| PeerAddress {
        vm: member.listed.vm.clone(),
        address: member.listed.peer_address,
    });
    let peers = peers.collect();
    ctx.push(Effect::SetPeers(peers));
}
