//! Simulation of 65 VMs that send plain requests to a service with few slots.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::AccountTable;
use arbutusfall_core::relay::ApiKey;
use arbutusfall_core::relay::ClientAccount;
use arbutusfall_core::relay::Credential;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::RouteTable;

use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;
use crate::relay_harness::store_read;

const VM_COUNT: usize = 65;
const ACCOUNT_COUNT: usize = 16;
const ENDPOINT_COUNT: usize = 5;
const SLOTS: usize = 6;
const QUEUE_LENGTH: usize = 24;

/// Time on the way from a VM to an endpoint, and back for a rejection.
const LINK_TIME: Duration = Duration::from_millis(2);

/// Requests a second of all VMs; the endpoints can serve 500.
const USUAL_PER_S: f64 = 300.0;

/// Route's target.
const TARGET: Duration = Duration::from_millis(300);

/// Span of the burst.
const BURST_START: Duration = Duration::from_secs(5);
const BURST_END: Duration = Duration::from_secs(11);

/// End of new requests.
const LOAD_END: Duration = Duration::from_secs(16);

/// Account that sends 7 times its usual rate in the burst.
const BUSY_ACCOUNT: usize = 15;

/// A request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    vm: usize,
    exchange: ExchangeId,
    endpoint: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Request { vm: usize, account: usize },
    Arrival(Sent),
    Done(Sent),
    Rejected(Sent),
    Wake { vm: usize },
}

#[derive(Debug, Default)]
struct SimulatedEndpoint {
    busy: usize,
    queue: VecDeque<Sent>,
}

/// What was counted of an account in the burst.
#[derive(Debug, Clone, Copy, Default)]
struct AccountUse {
    asked: usize,
    served: usize,
}

struct Simulation {
    vms: Vec<RelayHarness>,
    endpoints: Vec<SimulatedEndpoint>,
    happenings: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    last_number: u64,
    rng: fastrand::Rng,
    now: Duration,
    asked: BTreeMap<(usize, CallId), (Duration, usize)>,
    accounts: [AccountUse; ACCOUNT_COUNT],
    latencies: Vec<Duration>,
    arrivals: usize,
    rejections: usize,
    refused: usize,
    retry_afters: Vec<Duration>,
    limited: usize,
    unlimited: usize,
    is_full_accepted: bool,
}

fn key(account: usize) -> ApiKey {
    ApiKey::new(format!("key-{account}").as_bytes())
}

fn route_table() -> RouteTable {
    let accounts = (0..ACCOUNT_COUNT).map(|number| {
        let account = ClientAccount {
            name: format!("account-{number}").into(),
            priority: None,
            quota: None,
        };
        (account, vec![key(number)])
    });
    let table = AccountTable::default().updated(accounts.collect::<Vec<_>>());
    RouteTable {
        accounts: Some(table.unwrap()),
        ..routes(1)
    }
}

impl Simulation {
    fn start(seed: u64) -> Self {
        let retry_limit = RetryLimit {
            ratio: 0.2,
            slack: 200.0,
            vm_count: 65,
        };
        let vms = (0..VM_COUNT as u64).map(|number| {
            let mut harness = RelayHarness::with_retry_limit(seed * 1_000 + number, retry_limit);
            harness.apply(RelayEvent::NewConfig(Arc::new(route_table())));
            let endpoints = (0..ENDPOINT_COUNT)
                .map(|number| listed(&format!("shop-{number}"), "shop", Role::Plain));
            let changes = endpoints.map(EndpointListChange::Listed).collect();
            harness.apply(RelayEvent::EndpointChanges(changes));
            harness.apply(store_read(true));
            harness
        });
        Self {
            vms: vms.collect(),
            endpoints: (0..ENDPOINT_COUNT)
                .map(|_| SimulatedEndpoint::default())
                .collect(),
            happenings: BinaryHeap::new(),
            last_number: 0,
            rng: fastrand::Rng::with_seed(seed),
            now: ms(1_000),
            asked: BTreeMap::new(),
            accounts: [AccountUse::default(); ACCOUNT_COUNT],
            latencies: Vec::new(),
            arrivals: 0,
            rejections: 0,
            refused: 0,
            retry_afters: Vec::new(),
            limited: 0,
            unlimited: 0,
            is_full_accepted: false,
        }
    }

    fn at(&mut self, at: Duration, happening: Happening) {
        self.last_number += 1;
        self.happenings
            .push(Reverse((at, self.last_number, happening)));
    }

    fn run(&mut self, burst: f64) {
        self.schedule_requests(burst);
        while let Some(Reverse((at, _, happening))) = self.happenings.pop() {
            if at > LOAD_END + ms(10_000) {
                break;
            }
            self.now = at;
            self.on_happening(happening);
        }
    }

    fn schedule_requests(&mut self, burst: f64) {
        let mut at = ms(1_000);
        while at < LOAD_END {
            let is_burst = self.is_in_burst(at) && burst > 1.0;
            let rate = USUAL_PER_S * if is_burst { burst } else { 1.0 };
            at += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / rate);
            let vm = self.rng.usize(..VM_COUNT);
            let weight = if is_burst { 7 } else { 1 };
            let drawn = self.rng.usize(..ACCOUNT_COUNT - 1 + weight);
            let account = drawn.min(BUSY_ACCOUNT);
            self.at(at, Happening::Request { vm, account });
        }
    }

    fn is_in_burst(&self, at: Duration) -> bool {
        (BURST_START..BURST_END).contains(&at)
    }

    fn on_happening(&mut self, happening: Happening) {
        match happening {
            Happening::Request { vm, account } => {
                let is_burst = self.is_in_burst(self.now);
                self.accounts[account].asked += usize::from(is_burst);
                self.catch_up(vm);
                self.vms[vm].credential = Credential::Key(key(account));
                let call = self.vms[vm].submit_with_timeout("/look/1", ms(1_500));
                self.asked.insert((vm, call), (self.now, account));
                self.take_effects(vm);
            }
            Happening::Arrival(sent) => self.arrive(sent),
            Happening::Done(sent) => {
                match self.endpoints[sent.endpoint].queue.pop_front() {
                    Some(next) => self.work(next),
                    None => self.endpoints[sent.endpoint].busy -= 1,
                }
                self.deliver(sent, ExchangeEvent::Complete { status: 200 });
            }
            Happening::Rejected(sent) => self.deliver(sent, REFUSED),
            Happening::Wake { vm } => {
                self.catch_up(vm);
                self.take_effects(vm);
            }
        }
    }

    fn arrive(&mut self, sent: Sent) {
        self.arrivals += 1;
        let endpoint = &mut self.endpoints[sent.endpoint];
        if endpoint.busy < SLOTS {
            endpoint.busy += 1;
            self.work(sent);
        } else if endpoint.queue.len() < QUEUE_LENGTH || self.is_full_accepted {
            endpoint.queue.push_back(sent);
        } else {
            self.rejections += 1;
            self.at(self.now + LINK_TIME, Happening::Rejected(sent));
        }
    }

    fn work(&mut self, sent: Sent) {
        let time = ms(60).mul_f64(0.8 + 0.4 * self.rng.f64());
        self.at(self.now + time, Happening::Done(sent));
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
                RelayEffect::Send(command) => {
                    let number = command.instance.trim_start_matches("shop-");
                    let sent = Sent {
                        vm,
                        exchange: command.exchange,
                        endpoint: number.parse().unwrap(),
                    };
                    self.at(self.now + LINK_TIME, Happening::Arrival(sent));
                }
                RelayEffect::Answer { call, .. } => self.on_answer(vm, call),
                RelayEffect::AnswerProblem { call, problem } => {
                    // Endpoints that take more than they can serve let requests time out.
                    let is_timeout = problem.kind == ProblemKind::AnswerTimeout;
                    let is_expected = is_timeout && self.is_full_accepted;
                    assert!(is_expected || problem.kind == ProblemKind::NotRun);
                    self.asked.remove(&(vm, call));
                    self.refused += 1;
                    self.retry_afters.extend(problem.retry_after);
                }
                RelayEffect::Note(RelayNotice::ServiceLimited { .. }) => self.limited += 1,
                RelayEffect::Note(RelayNotice::ServiceUnlimited { .. }) => self.unlimited += 1,
                _ => {}
            }
        }
        if let Some(wake_at) = self.vms[vm].wake_at {
            self.at(wake_at.max(self.now + ms(1)), Happening::Wake { vm });
        }
    }

    fn on_answer(&mut self, vm: usize, call: CallId) {
        let (asked_at, account) = self.asked.remove(&(vm, call)).unwrap();
        if self.is_in_burst(asked_at) {
            self.accounts[account].served += 1;
            self.latencies.push(self.now - asked_at);
        }
    }

    fn median_latency(&self) -> Duration {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        latencies[latencies.len() / 2]
    }

    fn served_share(&self, accounts: impl Iterator<Item = usize>) -> f64 {
        let mut sum = AccountUse::default();
        for account in accounts {
            sum.asked += self.accounts[account].asked;
            sum.served += self.accounts[account].served;
        }
        sum.served as f64 / sum.asked as f64
    }

    fn limited_services(&self) -> usize {
        let vms = self.vms.iter();
        vms.map(|vm| vm.relay.load_status().limited_services).sum()
    }
}

// Guards against a burst in which VMs keep sending requests that full endpoints reject.
#[test]
fn burst_is_limited_fairly_and_the_service_is_open_afterwards() {
    for seed in 1..=3 {
        let mut simulation = Simulation::start(seed);
        simulation.run(3.0);
        let served = simulation.latencies.len();
        println!(
            "seed {seed}: {} of {} arrivals rejected, {served} served in the burst, median {:?}, {} refused, {} limits",
            simulation.rejections,
            simulation.arrivals,
            simulation.median_latency(),
            simulation.refused,
            simulation.limited,
        );
        assert!(simulation.limited > VM_COUNT / 2);
        assert!(simulation.rejections * 10 < simulation.arrivals);
        assert!(simulation.median_latency() < TARGET);
        // The endpoints can serve 3,000 in the burst.
        assert!(served > 2_400, "{served}");
        for account in 0..ACCOUNT_COUNT {
            let own = simulation.served_share([account].into_iter());
            let others = (0..ACCOUNT_COUNT).filter(|other| *other != account);
            let others = simulation.served_share(others);
            assert!(own > others / 4.0, "account {account}: {own} of {others}");
        }
        let spread: BTreeSet<_> = simulation.retry_afters.iter().collect();
        assert!(spread.len() * 2 > simulation.retry_afters.len());
        assert_eq!(simulation.asked.len(), 0);
        assert_eq!(simulation.limited_services(), 0);
        assert_eq!(simulation.limited, simulation.unlimited);
    }
}

// Guards against limits on a service whose endpoints do not reject, however late they answer.
#[test]
fn service_without_rejections_is_never_limited() {
    for (burst, accepts_all) in [(1.0, false), (3.0, true)] {
        let mut simulation = Simulation::start(4);
        simulation.is_full_accepted = accepts_all;
        simulation.run(burst);
        assert_eq!(simulation.rejections, 0);
        assert_eq!(simulation.limited, 0);
        for vm in &simulation.vms {
            assert_eq!(vm.relay.load_status().counts, Default::default());
        }
    }
}

/// Returns a relay whose service is limited, with one request that waits.
fn with_waiting_request() -> (RelayHarness, CallId) {
    let mut harness = RelayHarness::configured(1);
    let with_accounts = RouteTable {
        version: 2,
        ..route_table()
    };
    harness.apply(RelayEvent::NewConfig(Arc::new(with_accounts)));
    harness.credential = Credential::Key(key(0));
    for _ in 0..40 {
        harness.submit("/look/1");
        let sent = harness.take_only_send();
        harness.advance(ms(50));
        harness.deliver(sent.exchange, ExchangeEvent::Complete { status: 200 });
    }
    harness.submit("/look/1");
    for _ in 0..2 {
        let sent = harness.take_only_send();
        harness.deliver(sent.exchange, REFUSED);
    }
    harness.advance(ms(5));
    let call = harness.submit("/look/2");
    assert_eq!(harness.take_sends(), []);
    assert_eq!(harness.problem(call), None);
    (harness, call)
}

// Guards against a service that is limited in a deployment without client accounts.
#[test]
fn service_is_not_limited_without_accounts() {
    let mut harness = RelayHarness::configured(1);
    for _ in 0..10 {
        harness.submit("/look/1");
        for _ in 0..2 {
            for sent in harness.take_sends() {
                harness.deliver(sent.exchange, REFUSED);
            }
        }
    }
    assert_eq!(harness.relay.load_status().limited_services, 0);
    assert_eq!(harness.relay.load_status().counts, Default::default());
}

// Guards against a waiting request that is never sent, and against a place that is kept for a caller who has gone.
#[test]
fn waiting_request_is_sent_unless_its_caller_goes() {
    let (mut harness, call) = with_waiting_request();
    harness.advance(ms(200));
    assert_eq!(harness.take_only_send().call, call);

    let (mut harness, call) = with_waiting_request();
    harness.apply(RelayEvent::CallerGone { call });
    harness.advance(ms(200));
    assert_eq!(harness.take_sends(), []);
    let next = harness.submit("/look/3");
    assert_eq!(harness.take_only_send().call, next);
}
