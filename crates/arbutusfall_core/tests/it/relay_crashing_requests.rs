//! Plain requests that crash every endpoint that runs them: refused at all VMs, beside sound ones.

use std::time::Duration;

use arbutusfall_core::config::Role;

use crate::relay_crashing_site::CrashingSite;
use crate::relay_crashing_site::LoadRequest;
use crate::relay_harness::ms;

/// Crashes after which the limit of further requests begins to run.
const CRASHES: usize = 3;

/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Returns the request with this number; one in ten is the crashing one, the others are repeated or sent once.
fn plain_request(route: &str, number: u64) -> LoadRequest {
    let is_crashing = number % 10 == 3;
    let name = match (is_crashing, number % 2) {
        (true, _) => "crashing".to_owned(),
        (false, 0) => format!("repeated-{}", number % 5),
        (false, _) => format!("single-{number}"),
    };
    LoadRequest {
        path: format!("{route}{name}"),
        parts: Vec::new(),
        is_crashing,
    }
}

fn check_fleet(vm_count: u32, endpoint_count: usize, requests_per_s: u64, route: &str) {
    let seed = u64::from(vm_count);
    let mut site = CrashingSite::start(vm_count, endpoint_count, Role::Plain, seed);
    site.run_load(LOAD_TIME, requests_per_s, |number| {
        plain_request(route, number)
    });
    let crashes = site.crashes.len();
    assert!(crashes >= CRASHES, "{crashes} crashes");
    let late = site.late_sends(CRASHES);
    assert!(late <= 3, "{late} late sends, {crashes} crashes");
    site.check_last_requests(|kind| kind.status() == 400);
}

// Guards against requests that are refused at none or only at some VMs.
#[test]
fn crashing_request_is_refused_at_one_vm() {
    check_fleet(1, 8, 30, "/look/");
}

// Guards against a memory of requests that may be sent again only.
#[test]
fn crashing_request_is_refused_at_6_vms() {
    check_fleet(6, 8, 30, "/pay/");
}

// Guards against a memory in each VM alone: no VM sees a second crash.
#[test]
fn crashing_request_is_refused_at_77_vms() {
    check_fleet(77, 40, 40, "/look/");
}

// Guards against a verdict that costs the store too much, or that comes too late, at the target size.
#[test]
fn crashing_request_is_refused_at_410_vms() {
    check_fleet(410, 100, 60, "/pay/");
}

// Guards against a verdict that ends with the requests, or that VMs do not know that start later.
#[test]
fn refusal_outlasts_a_quiet_spell() {
    let mut site = CrashingSite::start(6, 8, Role::Plain, 4);
    let request = |number| plain_request("/look/", number);
    site.run_load(ms(8_000), 30, request);
    let crashes = site.crashes.len();
    site.run(Duration::from_secs(1_200));
    for vm in 0..6 {
        site.send(vm, &request(3));
    }
    site.run(ms(1_000));
    assert_eq!(site.crashes.len(), crashes);
}
