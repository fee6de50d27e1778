//! Membership updates piggybacked on probes: bounded per message, and each sent a limited number of times.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use arbutusfall_wire::MemberState;
use arbutusfall_wire::MemberUpdate;
use arbutusfall_wire::Name;

use crate::membership::Liveness;
use crate::membership::Membership;

/// Maximum number of membership updates that one message carries.
const MAX_UPDATES_PER_MESSAGE: usize = 6;

/// Each update is sent this number × (1 + log2 of the number of VMs, rounded down) times.
const SEND_FACTOR: u32 = 4;

/// For each VM, how many more times its update is to be sent.
#[derive(Debug, Clone, Default)]
pub(super) struct UpdateQueue {
    sends_left: BTreeMap<Name, u32>,
}

impl Membership {
    /// Queues an update with the liveness of a VM.
    pub(super) fn queue_update(&mut self, vm: &Name) {
        let size_factor = (self.members.len().max(1)).ilog2() + 1;
        let sends = SEND_FACTOR * size_factor;
        self.update_queue.sends_left.insert(vm.clone(), sends);
    }

    /// Returns the updates for a message to a peer; a suspicion or other non-alive state of the
    /// peer itself comes first, so that the peer can refute it.
    pub(super) fn updates_for(&mut self, peer: &Name) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        let peer_liveness = self.members.get(peer).map(|member| &member.liveness);
        let peer_liveness = peer_liveness.filter(|liveness| liveness.state != MemberState::Alive);
        updates.extend(peer_liveness.and_then(|liveness| member_update(peer, liveness)));
        if self.own_liveness.state != MemberState::Alive {
            updates.extend(member_update(&self.own_vm, &self.own_liveness));
        }
        for vm in self.take_least_sent(MAX_UPDATES_PER_MESSAGE - updates.len()) {
            if updates.iter().all(|known| known.vm != vm) {
                updates.extend(
                    self.liveness(&vm)
                        .and_then(|liveness| member_update(&vm, liveness)),
                );
            }
        }
        debug_assert!(updates.len() <= MAX_UPDATES_PER_MESSAGE);
        updates
    }

    fn liveness(&self, vm: &Name) -> Option<&Liveness> {
        if *vm == self.own_vm {
            return Some(&self.own_liveness);
        }
        self.members.get(vm).map(|member| &member.liveness)
    }

    /// Takes the VMs whose updates were sent least often.
    fn take_least_sent(&mut self, count: usize) -> Vec<Name> {
        let sends_left = &mut self.update_queue.sends_left;
        let mut ranked: Vec<(Reverse<u32>, Name)> = sends_left
            .iter()
            .map(|(vm, sends)| (Reverse(*sends), vm.clone()))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        for (Reverse(sends), vm) in &ranked {
            if *sends <= 1 {
                sends_left.remove(vm);
            } else {
                sends_left.insert(vm.clone(), sends - 1);
            }
        }
        ranked.into_iter().map(|(_, vm)| vm).collect()
    }
}

fn member_update(vm: &Name, liveness: &Liveness) -> Option<MemberUpdate> {
    Some(MemberUpdate {
        vm: vm.clone(),
        incarnation: liveness.incarnation?,
        update_version: liveness.update_version,
        state: liveness.state,
    })
}
