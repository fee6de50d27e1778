//! Membership news that rides on probes: bounded in size, each piece passed on a few times.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use arbutusfall_wire::MemberNews;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Name;

use crate::membership::Life;
use crate::membership::Membership;

/// Most news of one message.
const MAX_NEWS: usize = 6;

/// Messages that carry one piece of news, for each doubling of the number of VMs.
const SENDS_PER_DOUBLING: u32 = 4;

/// VMs of which there is news, with the messages that are still to carry it.
#[derive(Debug, Clone, Default)]
pub(super) struct NewsQueue {
    remaining: BTreeMap<Name, u32>,
}

impl Membership {
    /// Passes on what is known of a VM.
    pub(super) fn spread(&mut self, vm: &Name) {
        let doublings = (self.members.len().max(1)).ilog2() + 1;
        let sends = SENDS_PER_DOUBLING * doublings;
        self.news.remaining.insert(vm.clone(), sends);
    }

    /// News for a message to a peer, what the peer must refute first.
    pub(super) fn news_for(&mut self, peer: &Name) -> Vec<MemberNews> {
        let mut news = Vec::new();
        let doubted = self.members.get(peer).map(|member| &member.life);
        let doubted = doubted.filter(|life| life.state != MemberState::Alive);
        news.extend(doubted.and_then(|life| life_news(peer, life)));
        if self.own.state != MemberState::Alive {
            news.extend(life_news(&self.own_vm, &self.own));
        }
        for vm in self.take_fresh(MAX_NEWS - news.len()) {
            if news.iter().all(|known| known.vm != vm) {
                news.extend(self.life(&vm).and_then(|life| life_news(&vm, life)));
            }
        }
        debug_assert!(news.len() <= MAX_NEWS);
        news
    }

    fn life(&self, vm: &Name) -> Option<&Life> {
        if *vm == self.own_vm {
            return Some(&self.own);
        }
        self.members.get(vm).map(|member| &member.life)
    }

    /// The VMs whose news was passed on least.
    fn take_fresh(&mut self, count: usize) -> Vec<Name> {
        let remaining = &mut self.news.remaining;
        let mut ranked: Vec<(Reverse<u32>, Name)> = remaining
            .iter()
            .map(|(vm, sends)| (Reverse(*sends), vm.clone()))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        for (Reverse(sends), vm) in &ranked {
            if *sends <= 1 {
                remaining.remove(vm);
            } else {
                remaining.insert(vm.clone(), sends - 1);
            }
        }
        ranked.into_iter().map(|(_, vm)| vm).collect()
    }
}

fn life_news(vm: &Name, life: &Life) -> Option<MemberNews> {
    Some(MemberNews {
        vm: vm.clone(),
        incarnation: life.incarnation?,
        refutation: life.refutation,
        state: life.state,
    })
}
