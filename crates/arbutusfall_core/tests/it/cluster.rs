//! In-memory cluster of VMs that exchange peer messages; simulated time advances from event to event.

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

/// One-way delay of messages between VMs.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1_500);

/// One VM's node, with counters of the traffic that it sent.
pub(crate) struct ClusterVm {
    pub(crate) name: String,
    pub(crate) node: Node,
    pub(crate) sent_messages: u64,
    pub(crate) sent_bytes: u64,
    incarnation: Incarnation,
    wake_at: Option<Duration>,
}

/// The VMs, the messages in flight, and the injected faults.
pub(crate) struct Cluster {
    pub(crate) vms: Vec<ClusterVm>,
    pub(crate) now: Duration,
    /// VMs whose execution is paused.
    pub(crate) frozen: BTreeSet<usize>,
    /// VMs whose process ended.
    pub(crate) dead: BTreeSet<usize>,
    /// Links that drop all messages, as (sender, receiver).
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    /// By arrival time and send number.
    messages_in_flight: BTreeMap<(Duration, u64), (usize, Event)>,
    sequence: u64,
}

impl Cluster {
    /// Starts VMs that all have the same VM list.
    pub(crate) fn start(count: usize) -> Self {
        let mut cluster = Self {
            vms: Vec::new(),
            now: Duration::ZERO,
            frozen: BTreeSet::new(),
            dead: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            messages_in_flight: BTreeMap::new(),
            sequence: 0,
        };
        let names: Vec<String> = (0..count).map(|index| format!("vm-{index}")).collect();
        for (index, name) in names.iter().enumerate() {
            cluster.vms.push(new_vm(name, index as u64 + 1));
        }
        for index in 0..count {
            cluster.apply(index, Event::Started);
            cluster.apply_vm_list(index);
        }
        cluster
    }

    /// Applies the list of all VMs to one VM.
    fn apply_vm_list(&mut self, index: usize) {
        let list = self.vms.iter().map(|vm| listed(&vm.name)).collect();
        self.apply(index, Event::VmList(list));
    }

    /// Restarts a VM's process under a new incarnation.
    pub(crate) fn restart(&mut self, index: usize, incarnation: u64) {
        self.dead.remove(&index);
        let name = self.vms[index].name.clone();
        self.vms[index] = new_vm(&name, incarnation);
        self.apply(index, Event::Started);
        self.apply_vm_list(index);
    }

    /// Applies an event to a VM at the current time and sends its messages.
    pub(crate) fn apply(&mut self, index: usize, event: Event) -> Vec<Effect> {
        let now = Now {
            monotonic: self.now,
            unix: STARTED_AT + self.now,
        };
        let output = self.vms[index].node.apply(event, now);
        self.vms[index].wake_at = output.wake_at;
        for effect in &output.effects {
            if let Effect::Send { to, message } = effect {
                self.send(index, to, message.clone());
            }
        }
        output.effects
    }

    fn send(&mut self, index: usize, to: &str, message: arbutusfall_wire::PeerMessage) {
        let vm = &mut self.vms[index];
        let sender = arbutusfall_wire::Sender {
            vm: vm.name.as_str().into(),
            incarnation: vm.incarnation,
        };
        let frame = Frame {
            sender: sender.clone(),
            messages: vec![message.clone()],
        };
        vm.sent_messages += 1;
        vm.sent_bytes += encode_frame(&frame)
            .expect("frame fits the size limit")
            .len() as u64;
        let target = self.vms.iter().position(|vm| vm.name == to);
        let target = target.expect("messages go to VMs of the cluster");
        if !self.cut_links.contains(&(index, target)) {
            let event = Event::Peer {
                from: sender,
                message,
            };
            self.sequence += 1;
            self.messages_in_flight
                .insert((self.now + ONE_WAY_DELAY, self.sequence), (target, event));
        }
    }

    /// Advances the time by `duration` and processes all timers and messages that become due.
    pub(crate) fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(at) = self.next_instant().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = until;
    }

    fn is_running(&self, index: usize) -> bool {
        !self.frozen.contains(&index) && !self.dead.contains(&index)
    }

    fn next_instant(&self) -> Option<Duration> {
        let vms = self.vms.iter().enumerate();
        let running_vms = vms.filter(|(index, _)| self.is_running(*index));
        let wake = running_vms.filter_map(|(_, vm)| vm.wake_at).min();
        let mut messages = self.messages_in_flight.iter();
        let message = messages.find(|(_, (target, _))| !self.frozen.contains(target));
        let message = message.map(|((at, _), _)| *at);
        [wake, message].into_iter().flatten().min()
    }

    /// Processes due timers, then due messages.
    fn step(&mut self) {
        for index in 0..self.vms.len() {
            let due = self.vms[index].wake_at.is_some_and(|due| due <= self.now);
            if due && self.is_running(index) {
                self.apply(index, Event::Tick);
            }
        }
        let due: Vec<_> = self
            .messages_in_flight
            .range(..=(self.now, u64::MAX))
            .filter(|(_, (target, _))| !self.frozen.contains(target))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            if let Some((target, event)) = self.messages_in_flight.remove(&key)
                && !self.dead.contains(&target)
            {
                self.apply(target, event);
            }
        }
    }

    /// Runs until a condition holds and returns the elapsed time, or `None` if the limit is reached first.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while self.now < started_at + limit {
            if condition(self) {
                return Some(self.now - started_at);
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    /// Returns the incarnation and state of one VM as another observes them.
    pub(crate) fn observed_state(
        &self,
        observer: usize,
        subject: usize,
    ) -> Option<(Option<Incarnation>, MemberState)> {
        let status = self.vms[observer].node.status();
        let vm = status
            .vms
            .into_iter()
            .find(|vm| *vm.vm == *self.vms[subject].name)?;
        Some((vm.incarnation, vm.state))
    }

    /// Returns whether every other running VM observes a VM in a state.
    pub(crate) fn all_see(&self, subject: usize, state: MemberState) -> bool {
        let others = (0..self.vms.len())
            .filter(|observer| *observer != subject && self.is_running(*observer));
        others
            .map(|observer| self.observed_state(observer, subject))
            .all(|observation| observation.is_some_and(|(_, observed)| observed == state))
    }
}

fn new_vm(name: &str, incarnation: u64) -> ClusterVm {
    let incarnation = Incarnation(incarnation);
    let identity = Identity {
        vm: name.into(),
        incarnation,
        data_centre: "milano-a".into(),
        site: "rinnovo".into(),
    };
    ClusterVm {
        name: name.to_owned(),
        node: Node::new(identity, incarnation.0),
        sent_messages: 0,
        sent_bytes: 0,
        incarnation,
        wake_at: None,
    }
}
