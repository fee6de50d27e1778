//! Simulation of VMs that send plain requests to a service whose endpoints start, crash and slow down.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::SendCommand;

use crate::relay_harness::CLOSED;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::UNREACHABLE;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;
use crate::relay_harness::store_read;

/// Number of VMs in most tests.
pub(crate) const VM_COUNT: usize = 60;

const SLOTS: usize = 6;
const QUEUE_LENGTH: usize = 24;

/// Time on the way from a VM to an endpoint, and back for a rejection.
const LINK_TIME: Duration = Duration::from_millis(2);

/// Longest time until a VM has read a new entry of the list.
pub(crate) const LIST_TIME_MS: u64 = 400;

/// Mean work of a request at an endpoint that is not cold.
const WORK_TIME: Duration = Duration::from_millis(60);

/// Factor of the work time while an endpoint is cold.
const COLD_FACTOR: f64 = 10.0;

/// Route's target.
const TARGET: Duration = Duration::from_millis(300);

/// A request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    vm: usize,
    exchange: ExchangeId,
    endpoint: usize,
    /// Run of the endpoint's process.
    run: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Request { vm: usize },
    Arrival(Sent),
    Done(Sent),
    Ended { sent: Sent, end: End },
    Listed { vm: usize, endpoint: usize },
    Restart { endpoint: usize },
    Wake { vm: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Rejected,
    Closed,
    Unreachable,
}

/// What an endpoint does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Answers,
    /// Answers every request with status 500.
    AnswersErrors,
    /// Crashes when it holds more than this many requests, and starts again 2 s later.
    CrashesAbove(usize),
}

/// An endpoint, and what was counted there.
#[derive(Debug)]
pub(crate) struct SimulatedEndpoint {
    behaviour: Behaviour,
    /// Time after each start in which work takes [`COLD_FACTOR`] times as long.
    cold_time: Duration,
    started_at: Duration,
    run: u64,
    is_up: bool,
    is_leaving: bool,
    /// Requests in progress.
    busy: BTreeSet<(usize, ExchangeId)>,
    queue: VecDeque<Sent>,
    /// When requests arrived.
    pub(crate) arrivals: Vec<Duration>,
    pub(crate) crashes: usize,
}

/// A request of a caller and how it ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    pub(crate) asked_at: Duration,
    pub(crate) ended_at: Duration,
    pub(crate) is_answered: bool,
    /// Whether an endpoint that had served from the beginning had a free slot when the request was refused.
    pub(crate) is_refused_beside_established: bool,
    /// Whether an endpoint that started later had a free slot when the request was refused.
    pub(crate) is_refused_beside_started: bool,
}

pub(crate) struct StartingSite {
    vms: Vec<RelayHarness>,
    pub(crate) endpoints: Vec<SimulatedEndpoint>,
    /// Number of the endpoints that serve from the beginning, which are the first.
    established: usize,
    happenings: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    last_number: u64,
    rng: fastrand::Rng,
    pub(crate) now: Duration,
    asked: BTreeMap<(usize, CallId), Duration>,
    /// Non-idempotent requests that an endpoint has begun to run.
    run_once: BTreeSet<(usize, CallId)>,
    pub(crate) outcomes: Vec<Outcome>,
    /// Whether requests may not be run twice.
    pub(crate) is_non_idempotent: bool,
    /// Calls of exchanges.
    calls: BTreeMap<(usize, ExchangeId), CallId>,
}

impl StartingSite {
    /// Creates VMs that know `endpoints` which have served for long.
    pub(crate) fn new(vms: usize, endpoints: usize, slow_start: bool, seed: u64) -> Self {
        let retry_limit = RetryLimit {
            ratio: 0.2,
            slack: 2.0 * vms as f64,
            vm_count: vms as u32,
        };
        let vms = (0..vms as u64).map(|number| {
            let seed = seed * 1_000 + number;
            let mut harness = RelayHarness::with_slow_start(seed, retry_limit, slow_start);
            harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
            harness
        });
        let mut site = Self {
            vms: vms.collect(),
            endpoints: Vec::new(),
            established: endpoints,
            happenings: BinaryHeap::new(),
            last_number: 0,
            rng: fastrand::Rng::with_seed(seed),
            now: ms(1_000),
            asked: BTreeMap::new(),
            run_once: BTreeSet::new(),
            outcomes: Vec::new(),
            is_non_idempotent: false,
            calls: BTreeMap::new(),
        };
        for _ in 0..endpoints {
            let endpoint = site.add_endpoint(Behaviour::Answers, Duration::ZERO);
            for vm in 0..site.vms.len() {
                site.list(vm, endpoint);
            }
        }
        site
    }

    /// Starts an endpoint that VMs have not listed yet; returns its number.
    fn add_endpoint(&mut self, behaviour: Behaviour, cold_time: Duration) -> usize {
        self.endpoints.push(SimulatedEndpoint {
            behaviour,
            cold_time,
            started_at: self.now,
            run: 1,
            is_up: true,
            is_leaving: false,
            busy: BTreeSet::new(),
            queue: VecDeque::new(),
            arrivals: Vec::new(),
            crashes: 0,
        });
        self.endpoints.len() - 1
    }

    /// Starts an endpoint, which all VMs list within [`LIST_TIME_MS`]; returns its number.
    pub(crate) fn start_endpoint(&mut self, behaviour: Behaviour, cold_time: Duration) -> usize {
        let endpoint = self.add_endpoint(behaviour, cold_time);
        self.announce(endpoint);
        endpoint
    }

    /// Lets an endpoint leave: it finishes what it has.
    pub(crate) fn leave(&mut self, endpoint: usize) {
        self.endpoints[endpoint].is_leaving = true;
        self.announce(endpoint);
    }

    fn announce(&mut self, endpoint: usize) {
        for vm in 0..self.vms.len() {
            let at = self.now + ms(self.rng.u64(..LIST_TIME_MS));
            self.at(at, Happening::Listed { vm, endpoint });
        }
    }

    fn list(&mut self, vm: usize, endpoint: usize) {
        let simulated = &self.endpoints[endpoint];
        let entry = ListedEndpoint {
            started_unix_ms: Some(simulated.run),
            is_leaving: simulated.is_leaving,
            ..listed(&format!("shop-{endpoint}"), "shop", Role::Plain)
        };
        let changes = vec![EndpointListChange::Listed(entry)];
        self.vms[vm].apply(RelayEvent::EndpointChanges(changes));
        self.vms[vm].apply(store_read(true));
    }

    fn at(&mut self, at: Duration, happening: Happening) {
        self.last_number += 1;
        self.happenings
            .push(Reverse((at, self.last_number, happening)));
    }

    /// Runs for `time` while requests arrive at random at a mean rate of `per_s` per second.
    pub(crate) fn run(&mut self, per_s: f64, time: Duration) {
        let until = self.now + time;
        let mut at = self.now;
        loop {
            at += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / per_s);
            if at >= until {
                break;
            }
            let vm = self.rng.usize(..self.vms.len());
            self.at(at, Happening::Request { vm });
        }
        while let Some(Reverse((at, _, happening))) = self.happenings.pop() {
            if at >= until {
                self.at(at, happening);
                break;
            }
            self.now = at;
            self.on_happening(happening);
        }
        self.now = until;
    }

    fn on_happening(&mut self, happening: Happening) {
        match happening {
            Happening::Request { vm } => {
                self.catch_up(vm);
                let path = if self.is_non_idempotent {
                    "/pay/1"
                } else {
                    "/look/1"
                };
                let call = self.vms[vm].submit_with_timeout(path, ms(1_500));
                self.asked.insert((vm, call), self.now);
                self.take_effects(vm);
            }
            Happening::Arrival(sent) => self.arrive(sent),
            Happening::Done(sent) => self.on_done(sent),
            Happening::Ended { sent, end } => {
                let event = match end {
                    End::Rejected => REFUSED,
                    End::Closed => CLOSED,
                    End::Unreachable => UNREACHABLE,
                };
                self.deliver(sent, event);
            }
            Happening::Listed { vm, endpoint } => {
                self.catch_up(vm);
                self.list(vm, endpoint);
                self.take_effects(vm);
            }
            Happening::Restart { endpoint } => {
                let simulated = &mut self.endpoints[endpoint];
                simulated.run += 1;
                simulated.is_up = true;
                simulated.started_at = self.now;
                self.announce(endpoint);
            }
            Happening::Wake { vm } => {
                self.catch_up(vm);
                self.take_effects(vm);
            }
        }
    }

    fn arrive(&mut self, sent: Sent) {
        let sent = Sent {
            run: self.endpoints[sent.endpoint].run,
            ..sent
        };
        let endpoint = &mut self.endpoints[sent.endpoint];
        if !endpoint.is_up {
            self.end(sent, End::Unreachable);
            return;
        }
        endpoint.arrivals.push(self.now);
        if endpoint.busy.len() == SLOTS && endpoint.queue.len() == QUEUE_LENGTH {
            self.end(sent, End::Rejected);
            return;
        }
        if endpoint.busy.len() < SLOTS {
            self.work(sent);
        } else {
            endpoint.queue.push_back(sent);
        }
        self.crash_if_overloaded(sent.endpoint);
    }

    fn end(&mut self, sent: Sent, end: End) {
        self.at(self.now + LINK_TIME, Happening::Ended { sent, end });
    }

    fn work(&mut self, sent: Sent) {
        if let Some(call) = self.calls.get(&(sent.vm, sent.exchange))
            && self.is_non_idempotent
        {
            let is_first = self.run_once.insert((sent.vm, *call));
            assert!(is_first, "a non-idempotent request runs twice");
        }
        let now = self.now;
        let endpoint = &mut self.endpoints[sent.endpoint];
        endpoint.busy.insert((sent.vm, sent.exchange));
        let is_cold = now < endpoint.started_at + endpoint.cold_time;
        let factor = if is_cold { COLD_FACTOR } else { 1.0 };
        let time = WORK_TIME.mul_f64(factor * (0.8 + 0.4 * self.rng.f64()));
        self.at(now + time, Happening::Done(sent));
    }

    fn crash_if_overloaded(&mut self, number: usize) {
        let endpoint = &mut self.endpoints[number];
        let held = endpoint.busy.len() + endpoint.queue.len();
        let Behaviour::CrashesAbove(most) = endpoint.behaviour else {
            return;
        };
        if held <= most {
            return;
        }
        endpoint.crashes += 1;
        endpoint.is_up = false;
        let run = endpoint.run;
        let queued: Vec<Sent> = endpoint.queue.drain(..).collect();
        let busy = std::mem::take(&mut endpoint.busy).into_iter();
        let busy = busy.map(|(vm, exchange)| Sent {
            vm,
            exchange,
            endpoint: number,
            run,
        });
        for sent in busy.collect::<Vec<_>>().into_iter().chain(queued) {
            self.end(sent, End::Closed);
        }
        let restart = Happening::Restart { endpoint: number };
        self.at(self.now + ms(2_000), restart);
    }

    fn on_done(&mut self, sent: Sent) {
        let endpoint = &mut self.endpoints[sent.endpoint];
        if endpoint.run != sent.run || !endpoint.busy.remove(&(sent.vm, sent.exchange)) {
            return;
        }
        let is_error = endpoint.behaviour == Behaviour::AnswersErrors;
        if let Some(next) = endpoint.queue.pop_front() {
            self.work(next);
        }
        let status = if is_error { 500 } else { 200 };
        self.deliver(sent, ExchangeEvent::Complete { status });
    }

    fn deliver(&mut self, sent: Sent, event: ExchangeEvent) {
        self.catch_up(sent.vm);
        self.vms[sent.vm].deliver(sent.exchange, event);
        self.take_effects(sent.vm);
    }

    fn catch_up(&mut self, vm: usize) {
        let harness = &mut self.vms[vm];
        harness.advance(self.now - harness.now);
        // The endpoint list of the VM stays current.
        harness.apply(store_read(true));
    }

    fn take_effects(&mut self, vm: usize) {
        for effect in std::mem::take(&mut self.vms[vm].effects) {
            match effect {
                RelayEffect::Send(command) => self.send(vm, &command),
                RelayEffect::Close { exchange } => self.close(vm, exchange),
                RelayEffect::Answer { call, .. } => self.on_ended(vm, call, true),
                RelayEffect::AnswerProblem { call, .. } | RelayEffect::Abort { call } => {
                    self.on_ended(vm, call, false);
                }
                _ => {}
            }
        }
        if let Some(wake_at) = self.vms[vm].wake_at {
            self.at(wake_at.max(self.now + ms(1)), Happening::Wake { vm });
        }
    }

    fn send(&mut self, vm: usize, command: &SendCommand) {
        let number = command.instance.trim_start_matches("shop-");
        let endpoint: usize = number.parse().expect("a simulated endpoint");
        let sent = Sent {
            vm,
            exchange: command.exchange,
            endpoint,
            run: self.endpoints[endpoint].run,
        };
        self.calls.insert((vm, command.exchange), command.call);
        self.at(self.now + LINK_TIME, Happening::Arrival(sent));
    }

    /// Takes a request off the queue that its VM no longer waits for.
    fn close(&mut self, vm: usize, exchange: ExchangeId) {
        for endpoint in &mut self.endpoints {
            let queue = &mut endpoint.queue;
            queue.retain(|sent| (sent.vm, sent.exchange) != (vm, exchange));
        }
    }

    fn on_ended(&mut self, vm: usize, call: CallId, is_answered: bool) {
        let asked_at = self.asked.remove(&(vm, call)).expect("an open request");
        let (established, started) = self.endpoints.split_at(self.established);
        let has_idle = |endpoints: &[SimulatedEndpoint]| {
            let mut endpoints = endpoints.iter();
            endpoints.any(|endpoint| {
                endpoint.is_up && !endpoint.is_leaving && endpoint.busy.len() < SLOTS
            })
        };
        self.outcomes.push(Outcome {
            asked_at,
            ended_at: self.now,
            is_answered,
            is_refused_beside_established: !is_answered && has_idle(established),
            is_refused_beside_started: !is_answered && has_idle(started),
        });
    }

    /// Returns the requests that arrived at an endpoint within `time` from an instant.
    pub(crate) fn arrivals(&self, endpoint: usize, from: Duration, time: Duration) -> usize {
        let arrivals = self.endpoints[endpoint].arrivals.iter();
        arrivals
            .filter(|at| (from..from + time).contains(at))
            .count()
    }

    /// Returns the fraction of the requests from an instant on that were answered in time.
    pub(crate) fn in_time(&self, from: Duration) -> f64 {
        let all = self.outcomes.iter().filter(|end| end.asked_at >= from);
        let is_in_time = |end: &&Outcome| end.is_answered && end.ended_at - end.asked_at <= TARGET;
        all.clone().filter(is_in_time).count() as f64 / all.count() as f64
    }
}
