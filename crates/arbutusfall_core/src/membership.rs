//! VMs of the deployment: the platform's list joined with what probes tell.
//!
//! Only the list makes a VM a member; probes tell which life of its process runs and whether it answers.

mod life;
mod news;
mod probe;

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

use life::Life;
use news::NewsQueue;
use probe::Probes;
pub(crate) use probe::announce_leaving;
pub(crate) use probe::on_ack;
pub(crate) use probe::on_heard;
pub(crate) use probe::on_probe;
pub(crate) use probe::on_probe_for;
pub(crate) use probe::on_probe_overdue;
pub(crate) use probe::on_probe_timer;
pub(crate) use probe::on_suspect_overdue;

/// Processes off the list whose incarnation is remembered.
const MAX_UNLISTED: usize = 64;

/// Lists without its VM after which a process that is not heard of is forgotten.
const MAX_LISTS_WITHOUT: u32 = 5;

/// What this VM knows of the others.
#[derive(Debug, Clone)]
pub(crate) struct Membership {
    own_vm: Name,
    own: Life,
    members: BTreeMap<Name, Member>,
    /// Processes that sent messages although the list does not name their VM yet.
    unlisted: BTreeMap<Name, Unlisted>,
    news: NewsQueue,
    probes: Probes,
    /// Next offset of the configuration stream, as probes tell it to peers.
    config_next: Offset,
}

/// A process off the list.
#[derive(Debug, Clone, Copy)]
struct Unlisted {
    incarnation: Incarnation,
    /// Lists that may still come without its VM before it is forgotten.
    lists_left: u32,
}

/// One VM, this one included once the list names it.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) listed: ListedVm,
    /// State by the list and by probes together.
    pub(crate) state: MemberState,
    life: Life,
}

impl Member {
    /// Joins list and probes; returns the notice if the result changed.
    fn refresh(&mut self) -> Option<Notice> {
        let leaving = self.listed.leaving && self.life.state < MemberState::Leaving;
        let state = if leaving {
            MemberState::Leaving
        } else {
            self.life.state
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
    /// Knows only this process.
    pub(crate) fn new(identity: &Identity) -> Self {
        Self {
            own_vm: identity.vm.clone(),
            own: Life::of(identity.incarnation),
            members: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            news: NewsQueue::default(),
            probes: Probes::default(),
            config_next: Offset::default(),
        }
    }

    /// VMs of a site that may own shards and partitions, in the order of their names.
    pub(crate) fn live(&self, site: &Name) -> Vec<Name> {
        self.members
            .values()
            .filter(|member| member.listed.site == *site && member.state <= MemberState::Suspect)
            .map(|member| member.listed.vm.clone())
            .collect()
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Sets the position in the configuration stream that probes tell to peers.
    pub(crate) fn set_config_next(&mut self, next: Offset) {
        self.config_next = next;
    }

    /// The life of a member's process as it is known, with its state; none until it was heard of.
    pub(crate) fn life_of(&self, vm: &Name) -> Option<(Incarnation, MemberState)> {
        let member = self.members.get(vm)?;
        Some((member.life.incarnation?, member.state))
    }

    /// Whether a process that is not known to be gone may run under this incarnation.
    ///
    /// While the incarnation of a member that may be alive is not known, it may be any.
    pub(crate) fn holds(&self, incarnation: Incarnation) -> bool {
        let own = self.own.incarnation == Some(incarnation);
        let mut alive = self
            .members
            .values()
            .filter(|member| member.listed.vm != self.own_vm && member.state < MemberState::Dead);
        let may_run = |member: &Member| {
            member
                .life
                .incarnation
                .is_none_or(|known| known == incarnation)
        };
        own || alive.any(may_run)
            || self
                .unlisted
                .values()
                .any(|unlisted| unlisted.incarnation == incarnation)
    }

    /// Takes over a new list; the answer says what changed.
    pub(crate) fn update(&mut self, list: Vec<ListedVm>) -> Vec<Notice> {
        let mut notices = Vec::new();
        let mut members = BTreeMap::new();
        for listed in list {
            let vm = listed.vm.clone();
            let mut member = match self.members.remove(&vm) {
                Some(member) => Member { listed, ..member },
                None => {
                    let member = self.join(listed);
                    notices.push(Notice::Member {
                        vm: vm.clone(),
                        state: member.state,
                    });
                    member
                }
            };
            notices.extend(member.refresh());
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

    fn join(&mut self, listed: ListedVm) -> Member {
        let life = if listed.vm == self.own_vm {
            self.own.clone()
        } else {
            let heard = self.unlisted.remove(&listed.vm);
            Life::unheard(heard.map(|unlisted| unlisted.incarnation))
        };
        let state = if listed.leaving {
            MemberState::Leaving
        } else {
            life.state
        };
        Member {
            listed,
            state,
            life,
        }
    }

    /// Remembers the process of a VM that the list does not name.
    fn remember_unlisted(&mut self, vm: &Name, incarnation: Incarnation) {
        if self.unlisted.len() < MAX_UNLISTED || self.unlisted.contains_key(vm) {
            let unlisted = Unlisted {
                incarnation,
                lists_left: MAX_LISTS_WITHOUT,
            };
            self.unlisted.insert(vm.clone(), unlisted);
        }
    }

    /// Shows this process's own life in the list of members.
    fn refresh_own(&mut self) -> Option<Notice> {
        let member = self.members.get_mut(&self.own_vm)?;
        member.life = self.own.clone();
        member.refresh()
    }

    /// Members other than this VM.
    fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.listed.vm != self.own_vm)
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
    let peers = ctx.members.peers().map(|member| PeerAddress {
        vm: member.listed.vm.clone(),
        address: member.listed.peer_address,
    });
    let peers = peers.collect();
    ctx.push(Effect::SetPeers(peers));
}
