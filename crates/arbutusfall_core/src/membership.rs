//! VMs of the deployment: the platform's list joined with what probes tell.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Name;

use crate::Effect;
use crate::ListedVm;
use crate::Notice;
use crate::PeerAddress;
use crate::context::Context;
use crate::timers::Timer;

/// What this VM knows of the others.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    members: BTreeMap<Name, Member>,
}

/// One VM, this one included once the list names it.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) listed: ListedVm,
    pub(crate) state: MemberState,
}

impl Membership {
    /// VMs of a site that may own shards and partitions, in the order of their names.
    pub(crate) fn live(&self, site: &Name) -> Vec<Name> {
        self.members
            .values()
            .filter(|member| member.listed.site == *site && member.state <= MemberState::Suspect)
            .map(|member| member.listed.vm.clone())
            .collect()
    }

    /// Whether some member that is not known to be dead may run under an incarnation.
    pub(crate) fn holds(&self, _incarnation: Incarnation) -> bool {
        true
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Takes over a new list; the answer says what changed.
    pub(crate) fn update(&mut self, list: Vec<ListedVm>) -> Vec<Notice> {
        let mut notices = Vec::new();
        let mut members = BTreeMap::new();
        for listed in list {
            let state = if listed.leaving {
                MemberState::Leaving
            } else {
                MemberState::Alive
            };
            let before = self.members.remove(&listed.vm).map(|member| member.state);
            if before != Some(state) {
                notices.push(Notice::Member {
                    vm: listed.vm.clone(),
                    state,
                });
            }
            members.insert(listed.vm.clone(), Member { listed, state });
        }
        for vm in self.members.keys() {
            notices.push(Notice::Member {
                vm: vm.clone(),
                state: MemberState::Dead,
            });
        }
        self.members = members;
        notices
    }
}

/// Reads the platform's list at an interval.
pub(crate) fn schedule_fetch(ctx: &mut Context<'_>) {
    ctx.set_timer(
        Duration::from_millis(ctx.site.timing.vm_list_interval_ms),
        Timer::FetchVmList,
    );
}

/// Takes over the platform's list.
pub(crate) fn on_list(list: Vec<ListedVm>, ctx: &mut Context<'_>) {
    for notice in ctx.members.update(list) {
        ctx.note(notice);
    }
    let own = &ctx.identity.vm;
    let peers = ctx
        .members
        .members()
        .filter(|member| member.listed.vm != *own);
    let peers = peers.map(|member| PeerAddress {
        vm: member.listed.vm.clone(),
        address: member.listed.peer_address,
    });
    let peers = peers.collect();
    ctx.push(Effect::SetPeers(peers));
}

/// Probes a few peers at an interval.
pub(crate) fn on_probe_timer(ctx: &mut Context<'_>) {
    let interval = Duration::from_millis(ctx.site.timing.probe_interval_ms);
    ctx.set_timer(interval, Timer::ProbePeers);
}
