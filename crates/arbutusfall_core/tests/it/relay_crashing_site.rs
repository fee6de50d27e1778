//! Simulation of a site whose endpoints crash when they begin to run certain requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::PartId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::most_in_one_second;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

/// Step of the simulations.
const STEP: Duration = Duration::from_millis(10);

/// Time from the start of a run to the crash of its endpoint.
const CRASH_TIME: Duration = Duration::from_millis(100);

/// Time from the start of a decode to the end of its stream.
const STREAM_TIME: Duration = Duration::from_millis(800);

/// Time from the send of a plain request to its answer.
const PLAIN_TIME: Duration = Duration::from_millis(50);

/// Time from a crash until the endpoint is back under another id.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Time for a VM to read a change of the endpoint list.
const LIST_TIME: Duration = Duration::from_millis(1_000);

pub(crate) fn parts(ids: &[&str]) -> Vec<PartId> {
    ids.iter().map(|id| PartId((*id).into())).collect()
}

/// An exchange in progress at an endpoint of the simulation.
struct OpenExchange {
    vm: usize,
    exchange: ExchangeId,
    instance: String,
    /// Instant and event of the next thing that happens to it.
    next: (Duration, ExchangeEvent),
    crashes: bool,
}

/// A request of the simulation's load.
#[derive(Debug, Clone)]
pub(crate) struct LoadRequest {
    pub(crate) path: String,
    /// Shared parts of the prompt; none for a plain request.
    pub(crate) parts: Vec<&'static str>,
    pub(crate) is_crashing: bool,
}

/// What became of a request.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) sent_at: Duration,
    pub(crate) is_crashing: bool,
    /// Whether events of the stream or the plain answer were forwarded to the caller.
    pub(crate) has_begun: bool,
    /// Problem with which it was answered.
    pub(crate) problem: Option<ProblemKind>,
}

/// A site with endpoints that crash, and the load on it.
pub(crate) struct CrashingSite {
    pub(crate) fleet: Fleet,
    /// Role of the endpoints that crash.
    role: Role,
    /// Whether each endpoint is running.
    endpoints: BTreeMap<String, bool>,
    /// Changes of the list that VMs read later.
    list_changes: Vec<(Duration, EndpointListChange)>,
    starts: Vec<Duration>,
    open: Vec<OpenExchange>,
    pub(crate) sent: BTreeMap<(usize, CallId), Sent>,
    pub(crate) crashes: Vec<Duration>,
    /// Prefills and runs of crashing requests.
    crashing_sends: Vec<Duration>,
    started_endpoints: usize,
}

impl CrashingSite {
    /// Starts VMs and endpoints with this role; the VMs know a prefill engine as well.
    pub(crate) fn start(vm_count: u32, endpoint_count: usize, role: Role, seed: u64) -> Self {
        let mut site = Self {
            fleet: Fleet::start(vm_count, seed),
            role,
            endpoints: BTreeMap::new(),
            list_changes: Vec::new(),
            starts: vec![Duration::ZERO; endpoint_count],
            open: Vec::new(),
            sent: BTreeMap::new(),
            crashes: Vec::new(),
            crashing_sends: Vec::new(),
            started_endpoints: 0,
        };
        let prefill = listed("prefill", "model", Role::Prefill);
        for vm in &mut site.fleet.vms {
            vm.harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
            let list = vec![EndpointListChange::Listed(prefill.clone())];
            vm.harness.apply(RelayEvent::EndpointChanges(list));
        }
        site.run(LIST_TIME + STEP * 2);
        site
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.fleet.now + time;
        while self.fleet.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.fleet.advance(STEP);
        self.start_endpoints();
        self.deliver_list();
        self.play_exchanges();
        for vm in 0..self.fleet.vms.len() {
            self.take_effects(vm);
        }
    }

    fn start_endpoints(&mut self) {
        let now = self.fleet.now;
        let due = self.starts.iter().filter(|at| **at <= now).count();
        self.starts.retain(|at| *at > now);
        for _ in 0..due {
            self.started_endpoints += 1;
            let instance = format!("crashing-{}", self.started_endpoints);
            let service = if self.role == Role::Plain {
                "shop"
            } else {
                "model"
            };
            let endpoint = listed(&instance, service, self.role);
            self.endpoints.insert(instance, true);
            let change = EndpointListChange::Listed(endpoint);
            self.list_changes.push((now + LIST_TIME, change));
        }
    }

    fn deliver_list(&mut self) {
        let now = self.fleet.now;
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.list_changes)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.list_changes = left;
        if due.is_empty() {
            return;
        }
        let changes: Vec<EndpointListChange> = due.into_iter().map(|(_, change)| change).collect();
        for vm in &mut self.fleet.vms {
            let changes = changes.clone();
            vm.harness.apply(RelayEvent::EndpointChanges(changes));
        }
    }

    fn play_exchanges(&mut self) {
        let now = self.fleet.now;
        let mut index = 0;
        while index < self.open.len() {
            if self.open[index].next.0 > now {
                index += 1;
                continue;
            }
            if self.open[index].crashes && self.open[index].next.1 == failed() {
                let instance = self.open[index].instance.clone();
                self.crash(&instance);
                index = 0;
                continue;
            }
            let (vm, exchange) = (self.open[index].vm, self.open[index].exchange);
            let event = self.open[index].next.1.clone();
            match event {
                ExchangeEvent::StreamBegan => {
                    let open = &mut self.open[index];
                    open.next = if open.crashes {
                        (now + CRASH_TIME, failed())
                    } else {
                        let last_event_id = Some(1);
                        (now + STEP, ExchangeEvent::Progress { last_event_id })
                    };
                }
                ExchangeEvent::Progress { .. } => {
                    let end = ExchangeEvent::Complete { status: 200 };
                    self.open[index].next = (now + STREAM_TIME, end);
                }
                _ => drop(self.open.swap_remove(index)),
            }
            self.fleet.vms[vm].harness.deliver(exchange, event);
        }
    }

    /// Ends an endpoint with all its exchanges.
    fn crash(&mut self, instance: &str) {
        let now = self.fleet.now;
        self.crashes.push(now);
        self.endpoints.insert(instance.to_owned(), false);
        self.starts.push(now + DOWN_TIME);
        let removed = EndpointListChange::Removed {
            instance: instance.into(),
        };
        self.list_changes.push((now + LIST_TIME, removed));
        let (ended, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|open| open.instance == instance);
        self.open = left;
        for open in ended {
            self.fleet.vms[open.vm]
                .harness
                .deliver(open.exchange, failed());
        }
    }

    fn take_effects(&mut self, vm: usize) {
        let effects = std::mem::take(&mut self.fleet.vms[vm].harness.effects);
        for effect in effects {
            match effect {
                RelayEffect::Send(command) => self.on_send(vm, command),
                RelayEffect::Close { exchange } => {
                    self.open
                        .retain(|open| open.vm != vm || open.exchange != exchange);
                }
                RelayEffect::Forward { call, .. } | RelayEffect::Answer { call, .. } => {
                    if let Some(sent) = self.sent.get_mut(&(vm, call)) {
                        sent.has_begun = true;
                    }
                }
                RelayEffect::AnswerProblem { call, problem } => {
                    if let Some(sent) = self.sent.get_mut(&(vm, call)) {
                        sent.problem = Some(problem.kind);
                    }
                }
                _ => {}
            }
        }
    }

    fn on_send(&mut self, vm: usize, command: SendCommand) {
        let now = self.fleet.now;
        let sent = self.sent.get(&(vm, command.call));
        let is_crashing = sent.is_some_and(|sent| sent.is_crashing);
        let has_parts = !matches!(command.work, Work::Reserve { .. });
        if is_crashing && has_parts {
            self.crashing_sends.push(now);
        }
        let is_up = self.endpoints.get(&*command.instance) == Some(&true);
        let is_up = is_up || &*command.instance == "prefill";
        let crashes =
            is_crashing && is_up && matches!(command.work, Work::Plain | Work::Decode { .. });
        let event = match command.work {
            _ if !is_up => ExchangeEvent::Failed {
                failure: ExchangeFailure::Unreachable,
            },
            Work::Reserve { .. } => ExchangeEvent::Reserved {
                reservation: "reservation".into(),
            },
            Work::Prefill => ExchangeEvent::PrefillDone {
                handle: "handle".into(),
            },
            Work::Decode { .. } => ExchangeEvent::StreamBegan,
            Work::Plain if crashes => failed(),
            Work::Plain | Work::Forward(_) => ExchangeEvent::Complete { status: 200 },
        };
        let after = match event {
            ExchangeEvent::Complete { .. } => PLAIN_TIME,
            _ if crashes && event == failed() => CRASH_TIME,
            _ => STEP,
        };
        self.open.push(OpenExchange {
            vm,
            exchange: command.exchange,
            instance: command.instance.to_string(),
            next: (now + after, event),
            crashes,
        });
    }

    /// Sends a request to a VM.
    pub(crate) fn send(&mut self, vm: usize, request: &LoadRequest) {
        let harness = &mut self.fleet.vms[vm].harness;
        let call = if self.role == Role::Plain {
            harness.repeats_by_path = true;
            harness.submit(&request.path)
        } else {
            harness.submit_with_parts(&request.path, parts(&request.parts))
        };
        let sent = Sent {
            sent_at: self.fleet.now,
            is_crashing: request.is_crashing,
            has_begun: false,
            problem: None,
        };
        self.sent.insert((vm, call), sent);
        self.take_effects(vm);
    }

    /// Sends requests to all VMs in turn; `request` returns the request with a number.
    pub(crate) fn run_load(
        &mut self,
        time: Duration,
        requests_per_s: u64,
        request: impl Fn(u64) -> LoadRequest,
    ) {
        let until = self.fleet.now + time;
        let mut number = 0u64;
        let mut next_at = self.fleet.now;
        while self.fleet.now < until {
            self.step();
            while next_at <= self.fleet.now {
                let vm = (number as usize * 7 + 3) % self.fleet.vms.len();
                self.send(vm, &request(number));
                number += 1;
                next_at += Duration::from_secs(1) / requests_per_s as u32;
            }
        }
    }

    /// Returns how many crashing requests reached endpoints later than 3 s after the crash with this number.
    pub(crate) fn late_sends(&self, crash: usize) -> usize {
        let from = self.crashes[crash - 1] + ms(3_000);
        let late = self.crashing_sends.iter().filter(|at| **at > from);
        late.count()
    }

    /// Checks that crashing requests of the last 6 s got one of these answers, that sound ones were served, and the
    /// rates of the store.
    pub(crate) fn check_last_requests(&self, is_refusal: impl Fn(ProblemKind) -> bool) {
        let last = self.fleet.now - ms(6_000);
        let late = || self.sent.values().filter(|sent| sent.sent_at > last);
        let refused = late().filter(|sent| sent.is_crashing);
        assert!(refused.clone().count() > 3);
        assert!(
            refused
                .clone()
                .all(|sent| sent.problem.is_some_and(&is_refusal))
        );
        let sound =
            late().filter(|sent| !sent.is_crashing && sent.sent_at < self.fleet.now - ms(1_000));
        let sound: Vec<&Sent> = sound.collect();
        let begun = sound.iter().filter(|sent| sent.has_begun).count();
        assert!(begun == sound.len(), "{begun} of {} begun", sound.len());
        let appends = most_in_one_second(&self.fleet.appends);
        let reads = most_in_one_second(&self.fleet.reads);
        assert!(appends <= 400, "{appends} appends in a second");
        assert!(reads <= 2_000, "{reads} reads in a second");
    }
}

/// Returns the event of an exchange whose connection closed too early.
pub(crate) fn failed() -> ExchangeEvent {
    ExchangeEvent::Failed {
        failure: ExchangeFailure::Closed,
    }
}
