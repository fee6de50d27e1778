//! Limits that endpoints name, kept by all VMs together and used up.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::most_in_one_second;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

/// Step of the simulations.
const STEP: Duration = Duration::from_millis(10);

/// Time that an endpoint takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Length of the spans in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Time from the first answer that names a limit from which it must be kept.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Share of a limit that must be used where there are more requests than it allows.
const MIN_USED_SHARE: f64 = 0.7;

/// A site with plain endpoints, some of which name limits.
struct LimitedSite {
    fleet: Fleet,
    /// Limits by endpoint.
    limits: BTreeMap<String, f64>,
    /// Service times of endpoints that are slower than the others.
    slow: BTreeMap<String, Duration>,
    open: Vec<(Duration, usize, ExchangeId, String, bool)>,
    /// When requests reached each endpoint.
    received: BTreeMap<String, Vec<Duration>>,
    /// Refused requests, with the time until the refusal.
    refused: Vec<Duration>,
    sent: BTreeMap<(usize, CallId), Duration>,
    answered: usize,
    endpoint_count: usize,
    number: usize,
}

impl LimitedSite {
    fn start(vm_count: u32, endpoint_count: usize) -> Self {
        let mut site = Self {
            fleet: Fleet::start(vm_count, u64::from(vm_count) + 7),
            limits: BTreeMap::new(),
            slow: BTreeMap::new(),
            open: Vec::new(),
            received: BTreeMap::new(),
            refused: Vec::new(),
            sent: BTreeMap::new(),
            answered: 0,
            endpoint_count,
            number: 0,
        };
        for vm in 0..site.fleet.vms.len() {
            site.configure(vm);
        }
        site
    }

    fn configure(&mut self, vm: usize) {
        let harness = &mut self.fleet.vms[vm].harness;
        harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
        let endpoints = (0..self.endpoint_count)
            .map(|number| listed(&format!("shop-{number}"), "shop", Role::Plain));
        let changes = endpoints.map(EndpointListChange::Listed).collect();
        harness.apply(RelayEvent::EndpointChanges(changes));
    }

    /// Starts one more VM.
    fn join(&mut self) {
        let seed = 50_000 + self.fleet.vms.len() as u64;
        self.fleet.start_vm(seed);
        self.configure(self.fleet.vms.len() - 1);
    }

    fn run_load(&mut self, time: Duration, requests_per_s: u32) {
        let until = self.fleet.now + time;
        let mut next_at = self.fleet.now;
        while self.fleet.now < until {
            self.step();
            while next_at <= self.fleet.now {
                self.send();
                next_at += Duration::from_secs(1) / requests_per_s;
            }
        }
    }

    fn send(&mut self) {
        let vms = self.fleet.vms.iter().enumerate();
        let running: Vec<usize> = vms
            .filter(|(_, vm)| vm.is_running)
            .map(|(at, _)| at)
            .collect();
        self.number += 1;
        let vm = running[(self.number * 7 / 3) % running.len()];
        let call = self.fleet.vms[vm]
            .harness
            .submit_with_timeout("/look/", ms(1_500));
        self.sent.insert((vm, call), self.fleet.now);
        self.take_effects(vm);
    }

    fn step(&mut self) {
        self.fleet.advance(STEP);
        let now = self.fleet.now;
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.open = left;
        for (_, vm, exchange, instance, was_limited) in due {
            if !self.fleet.vms[vm].is_running {
                continue;
            }
            let harness = &mut self.fleet.vms[vm].harness;
            match self.limits.get(&instance) {
                Some(per_s) => {
                    let per_s = *per_s;
                    harness.deliver(exchange, ExchangeEvent::LimitNamed { per_s });
                }
                None if was_limited => harness.deliver(exchange, ExchangeEvent::LimitAbsent),
                None => {}
            }
            harness.deliver(exchange, ExchangeEvent::Complete { status: 200 });
        }
        for vm in 0..self.fleet.vms.len() {
            self.take_effects(vm);
        }
    }

    fn take_effects(&mut self, vm: usize) {
        let now = self.fleet.now;
        for effect in std::mem::take(&mut self.fleet.vms[vm].harness.effects) {
            match effect {
                RelayEffect::Send(command) => {
                    let instance = command.instance.to_string();
                    self.received.entry(instance.clone()).or_default().push(now);
                    let service_time = self.slow.get(&instance).unwrap_or(&SERVICE_TIME);
                    let due = now + *service_time;
                    self.open
                        .push((due, vm, command.exchange, instance, command.is_limited));
                }
                RelayEffect::Answer { .. } => self.answered += 1,
                // Requests in progress at a VM that freezes time out.
                RelayEffect::AnswerProblem { problem, .. }
                    if problem.kind == ProblemKind::AnswerTimeout => {}
                RelayEffect::AnswerProblem { call, problem } => {
                    assert_eq!(problem.kind, ProblemKind::NotRun);
                    assert!(problem.retry_after.is_some_and(|after| !after.is_zero()));
                    let sent_at = self.sent.get(&(vm, call)).copied().unwrap_or(now);
                    self.refused.push(now - sent_at);
                }
                _ => {}
            }
        }
    }

    /// Checks the limit of an endpoint from an instant on; returns the share of it that was used.
    fn check_limit(&self, instance: &str, from: Duration, until: Duration) -> f64 {
        let limit = self.limits[instance];
        let received = self.received.get(instance).cloned().unwrap_or_default();
        let counted: Vec<Duration> = received
            .into_iter()
            .filter(|at| *at >= from && *at < until)
            .collect();
        let allowed = (1.5 * limit * SPAN.as_secs_f64() + 5.0) as usize;
        for start in &counted {
            let within = counted
                .iter()
                .filter(|at| *start <= **at && **at < *start + SPAN);
            let count = within.count();
            assert!(
                count <= allowed,
                "{instance}: {count} of {allowed} at {start:?}"
            );
        }
        counted.len() as f64 / (limit * (until - from).as_secs_f64())
    }
}

fn check_one_limited(vm_count: u32, limit: f64, requests_per_s: u32) {
    let mut site = LimitedSite::start(vm_count, 3);
    site.run_load(ms(1_000), requests_per_s);
    site.limits.insert("shop-1".to_owned(), limit);
    let named_at = site.fleet.now;
    site.run_load(ms(13_000), requests_per_s);
    let from = named_at + STABLE_WINDOW;
    let used = site.check_limit("shop-1", from, site.fleet.now);
    assert!(used >= MIN_USED_SHARE, "{used} of the limit");
    assert_eq!(site.refused, []);
    let appends = most_in_one_second(&site.fleet.appends);
    let reads = most_in_one_second(&site.fleet.reads);
    assert!(appends <= 400, "{appends} appends in a second");
    assert!(reads <= 2_000, "{reads} reads in a second");
    site.limits.clear();
    site.run_load(ms(3_000), requests_per_s);
    let before = site.received["shop-1"].len();
    site.run_load(ms(3_000), requests_per_s);
    let after = site.received["shop-1"].len() - before;
    // Its part of the load is one third.
    assert!(
        after >= requests_per_s as usize / 2,
        "{after} requests in 3 s"
    );
    for vm in &site.fleet.vms {
        assert_eq!(vm.harness.relay.limit_status().endpoints, 0);
    }
}

// Guards against a limit that each VM keeps for itself, and one that is divided by a fixed number of VMs.
#[test]
fn limit_is_kept_and_used_by_one_vm() {
    check_one_limited(1, 4.4, 30);
}

#[test]
fn limit_is_kept_and_used_by_6_vms() {
    check_one_limited(6, 2.1, 60);
}

#[test]
fn limit_is_kept_and_used_by_77_vms() {
    check_one_limited(77, 4.4, 300);
}

#[test]
fn low_limit_is_kept_and_used_by_410_vms() {
    check_one_limited(410, 2.1, 800);
}

#[test]
fn high_limit_is_kept_and_used_by_410_vms() {
    check_one_limited(410, 50.0, 1_600);
}

// Guards against the latency of an endpoint in need, which keeps it from requests after its limit was lifted.
#[test]
fn endpoint_that_was_slow_under_its_limit_gets_its_part_soon_after() {
    let mut site = LimitedSite::start(6, 3);
    site.run_load(ms(1_000), 60);
    site.limits.insert("shop-1".to_owned(), 4.4);
    site.slow.insert("shop-1".to_owned(), SERVICE_TIME * 4);
    site.run_load(ms(11_000), 60);
    site.limits.clear();
    site.slow.clear();
    site.run_load(ms(3_000), 60);
    for vm in &site.fleet.vms {
        assert_eq!(vm.harness.relay.limit_status().endpoints, 0);
    }
    let before = site.received["shop-1"].len();
    site.run_load(ms(3_000), 60);
    let after = site.received["shop-1"].len() - before;
    // Its part of the load is 60.
    assert!(after >= 30, "{after} requests in 3 s");
}

// Guards against shares that are fixed at the start: VMs join, die and freeze.
#[test]
fn limit_is_kept_while_vms_join_die_and_freeze() {
    let mut site = LimitedSite::start(4, 2);
    site.limits.insert("shop-0".to_owned(), 2.0);
    let named_at = site.fleet.now;
    for round in 0..6 {
        site.run_load(ms(3_000), 60);
        site.join();
        site.join();
        site.fleet.vms[round].is_running = false;
        site.run_load(ms(3_000), 60);
        if round % 2 == 0 {
            // It was frozen, and does not know what happened meanwhile.
            site.fleet.thaw(round);
        }
    }
    let used = site.check_limit("shop-0", named_at + STABLE_WINDOW, site.fleet.now);
    // The shares of a VM that ends are free again after six seconds.
    assert!(used >= 0.4, "{used} of the limit");
}

// Guards against requests that wait although they can't be served, and limits that are not used up while others wait.
#[test]
fn limits_of_all_endpoints_are_used_and_the_rest_is_refused_at_once() {
    let mut site = LimitedSite::start(8, 2);
    site.limits.insert("shop-0".to_owned(), 2.0);
    site.limits.insert("shop-1".to_owned(), 6.0);
    let named_at = site.fleet.now;
    site.run_load(ms(15_000), 40);
    let from = named_at + STABLE_WINDOW;
    for instance in ["shop-0", "shop-1"] {
        let used = site.check_limit(instance, from, site.fleet.now);
        assert!(used >= MIN_USED_SHARE, "{instance}: {used} of the limit");
    }
    assert!(site.refused.len() > 300, "{}", site.refused.len());
    // The target of the route is 300 ms: no request waits longer, and most don't wait.
    assert!(site.refused.iter().all(|after| *after <= ms(310)));
    let at_once = site.refused.iter().filter(|after| **after <= STEP);
    assert!(at_once.count() * 10 >= site.refused.len() * 9);
}

// Guards against a limit that falls while VMs use shares of the higher one.
#[test]
fn limit_that_changes_is_followed() {
    let mut site = LimitedSite::start(6, 3);
    for limit in [12.0, 2.0, 0.0, 5.0] {
        site.limits.insert("shop-2".to_owned(), limit);
        site.run_load(ms(4_000), 60);
        let from = site.fleet.now;
        site.run_load(ms(10_000), 60);
        let used = site.check_limit("shop-2", from, site.fleet.now);
        assert!(limit == 0.0 || used >= MIN_USED_SHARE, "{used} of {limit}");
    }
    // One request shows that a limit of 0 is lifted.
    site.limits.insert("shop-2".to_owned(), 0.0);
    site.run_load(ms(10_000), 60);
    site.limits.clear();
    site.run_load(ms(10_000), 60);
    let before = site.received["shop-2"].len();
    site.run_load(ms(2_000), 60);
    let after = site.received["shop-2"].len() - before;
    assert!(after >= 20, "{after} requests in 2 s");
}

// Guards against shares that end with the store, and against their use at twice the rate.
#[test]
fn shares_are_half_used_while_the_store_is_away() {
    let mut site = LimitedSite::start(4, 2);
    site.limits.insert("shop-0".to_owned(), 4.0);
    site.run_load(ms(6_000), 60);
    site.fleet.is_store_up = false;
    for vm in &mut site.fleet.vms {
        vm.harness.apply(RelayEvent::StoreRead {
            topic: StoreTopic::Shared,
            failure: Some(StoreReadFailure::Silent),
        });
    }
    site.run_load(ms(5_000), 60);
    let from = site.fleet.now;
    site.run_load(ms(10_000), 60);
    let used = site.check_limit("shop-0", from, site.fleet.now);
    assert!((0.3..=0.7).contains(&used), "{used} of the limit");
}
