//! Several nodes in memory that pass peer messages to each other; time jumps from one event to the next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::Identity;
use arbutusfall_core::Node;
use arbutusfall_core::Now;
use arbutusfall_wire::Frame;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::encode_frame;

use crate::session::STARTED_AT;
use crate::session::listed;

/// One-way delay between nodes.
const DELAY: Duration = Duration::from_micros(1_500);

/// One node with what the test counts of it.
pub(crate) struct Peer {
    pub(crate) name: String,
    pub(crate) node: Node,
    pub(crate) sent_messages: u64,
    pub(crate) sent_bytes: u64,
    incarnation: Incarnation,
    wake_at: Option<Duration>,
}

/// The nodes, the messages on their way, and the faults in force.
pub(crate) struct Nodes {
    pub(crate) peers: Vec<Peer>,
    pub(crate) now: Duration,
    /// Nodes whose execution is stopped.
    pub(crate) frozen: BTreeSet<usize>,
    /// Nodes that are gone.
    pub(crate) dead: BTreeSet<usize>,
    /// Pairs between which messages are lost, in this direction.
    pub(crate) cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    sequence: u64,
}

impl Nodes {
    /// Nodes that all have the same list.
    pub(crate) fn start(count: usize) -> Self {
        let mut nodes = Self {
            peers: Vec::new(),
            now: Duration::ZERO,
            frozen: BTreeSet::new(),
            dead: BTreeSet::new(),
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        let names: Vec<String> = (0..count).map(|index| format!("vm-{index}")).collect();
        for (index, name) in names.iter().enumerate() {
            nodes.peers.push(new_peer(name, index as u64 + 1));
        }
        for index in 0..count {
            nodes.apply(index, Event::Started);
            nodes.list(index);
        }
        nodes
    }

    /// Gives a node the list of all VMs.
    fn list(&mut self, index: usize) {
        let list = self.peers.iter().map(|peer| listed(&peer.name)).collect();
        self.apply(index, Event::VmList(list));
    }

    /// Starts a node's process again, under a new incarnation.
    pub(crate) fn restart(&mut self, index: usize, incarnation: u64) {
        self.dead.remove(&index);
        let name = self.peers[index].name.clone();
        self.peers[index] = new_peer(&name, incarnation);
        self.apply(index, Event::Started);
        self.list(index);
    }

    /// Plays an event to a node at the present instant.
    pub(crate) fn apply(&mut self, index: usize, event: Event) -> Vec<Effect> {
        let now = Now {
            monotonic: self.now,
            unix: STARTED_AT + self.now,
        };
        let output = self.peers[index].node.apply(event, now);
        self.peers[index].wake_at = output.wake_at;
        for effect in &output.effects {
            if let Effect::Send { to, message } = effect {
                self.send(index, to, message.clone());
            }
        }
        output.effects
    }

    fn send(&mut self, index: usize, to: &str, message: arbutusfall_wire::PeerMessage) {
        let peer = &mut self.peers[index];
        let sender = arbutusfall_wire::Sender {
            vm: peer.name.as_str().into(),
            incarnation: peer.incarnation,
        };
        let frame = Frame {
            sender: sender.clone(),
            messages: vec![message.clone()],
        };
        peer.sent_messages += 1;
        peer.sent_bytes += encode_frame(&frame).expect("small frames").len() as u64;
        let target = self.peers.iter().position(|peer| peer.name == to);
        let target = target.expect("members are nodes");
        if !self.cut.contains(&(index, target)) {
            let event = Event::Peer {
                from: sender,
                message,
            };
            self.sequence += 1;
            self.queue
                .insert((self.now + DELAY, self.sequence), (target, event));
        }
    }

    /// Lets everything happen that is due within a time.
    pub(crate) fn run(&mut self, within: Duration) {
        let until = self.now + within;
        while let Some(at) = self.next_instant().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = until;
    }

    fn runs(&self, index: usize) -> bool {
        !self.frozen.contains(&index) && !self.dead.contains(&index)
    }

    fn next_instant(&self) -> Option<Duration> {
        let wakes = self.peers.iter().enumerate();
        let wakes = wakes.filter(|(index, _)| self.runs(*index));
        let wake = wakes.filter_map(|(_, peer)| peer.wake_at).min();
        let mut messages = self.queue.iter();
        let message = messages.find(|(_, (target, _))| !self.frozen.contains(target));
        let message = message.map(|((at, _), _)| *at);
        [wake, message].into_iter().flatten().min()
    }

    /// Plays what is due, timers first.
    fn step(&mut self) {
        for index in 0..self.peers.len() {
            let due = self.peers[index].wake_at.is_some_and(|due| due <= self.now);
            if due && self.runs(index) {
                self.apply(index, Event::Tick);
            }
        }
        let due: Vec<_> = self
            .queue
            .range(..=(self.now, u64::MAX))
            .filter(|(_, (target, _))| !self.frozen.contains(target))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            if let Some((target, event)) = self.queue.remove(&key)
                && !self.dead.contains(&target)
            {
                self.apply(target, event);
            }
        }
    }

    /// Runs until a condition holds and returns the time that it took, or none after the limit.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while self.now < began + limit {
            if condition(self) {
                return Some(self.now - began);
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    /// State of one node as another sees it.
    pub(crate) fn seen(&self, by: usize, of: usize) -> Option<(Option<Incarnation>, MemberState)> {
        let status = self.peers[by].node.status();
        let vm = status
            .vms
            .into_iter()
            .find(|vm| *vm.vm == *self.peers[of].name)?;
        Some((vm.incarnation, vm.state))
    }

    /// Whether every running node sees a node in a state.
    pub(crate) fn all_see(&self, of: usize, state: MemberState) -> bool {
        let others = (0..self.peers.len()).filter(|by| *by != of && self.runs(*by));
        others
            .map(|by| self.seen(by, of))
            .all(|seen| seen.is_some_and(|(_, seen)| seen == state))
    }
}

fn new_peer(name: &str, incarnation: u64) -> Peer {
    let incarnation = Incarnation(incarnation);
    let identity = Identity {
        vm: name.into(),
        incarnation,
        data_centre: "milano-a".into(),
        site: "rinnovo".into(),
    };
    Peer {
        name: name.to_owned(),
        node: Node::new(identity, incarnation.0),
        sent_messages: 0,
        sent_bytes: 0,
        incarnation,
        wake_at: None,
    }
}
