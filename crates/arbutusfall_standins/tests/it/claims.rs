//! Non-idempotent calls to real processes under fault injection: at most one execution, and no answer contradicts it.

use std::path::Path;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_standins::Caller;
use arbutusfall_standins::CallerError;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::PlainAnswer;
use arbutusfall_standins::SiteSize;
use futures_lite::future;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

/// Longest time until a call is refused while the log is known to be down, even on a busy machine.
const REFUSAL_BOUND: Duration = Duration::from_millis(1_000);

type Answer = Result<PlainAnswer, CallerError>;

/// A running small site and its caller; claims have one partition by default.
struct Site {
    fleet: Fleet,
    caller: Caller,
}

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

impl Site {
    fn start(vms: usize) -> Self {
        Self::start_with(vms, json!({ "partitions": 1 }))
    }

    fn start_with(vms: usize, claims: Value) -> Self {
        let site = SiteSize {
            prefill_engines: 1,
            decode_engines: 1,
            service_processes: 2,
            ..SiteSize::rinnovo()
        };
        let program = Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
        let mut fleet = Fleet::start_platform(program, &site).expect("the platform starts");
        let mut base = site.base("weighted");
        base["claims"] = claims;
        let addresses = fleet.endpoints.iter();
        let addresses = addresses.map(|(name, process)| (name.clone(), process.address));
        let overlay = site.overlay(&addresses.collect());
        fleet.publish(&["base"], &base).expect("a valid base");
        fleet
            .publish(&["overlay", site.name], &overlay)
            .expect("a valid overlay");
        fleet.start_vms(vms).expect("the VMs start");
        let caller = Caller {
            executor: fleet.executor.clone(),
            key: site.key.to_owned(),
        };
        Self { fleet, caller }
    }

    /// Starts a call on a separate thread.
    fn start_call(&self, vm: usize, key: &str, attempt: u32) -> JoinHandle<Answer> {
        let caller = self.caller.clone();
        let address = self.fleet.vms[vm].caller_address;
        let path = self.fleet.site.non_idempotent_path;
        let key = key.to_owned();
        thread::spawn(move || {
            let attempt = attempt.to_string();
            let headers = [
                ("idempotency-key", &*key),
                ("arbutusfall-attempt", &*attempt),
            ];
            let call = caller.call(address, Method::POST, path, &headers);
            future::block_on(caller.executor.run(call))
        })
    }

    fn call(&self, vm: usize, key: &str, attempt: u32) -> PlainAnswer {
        let answer = self.start_call(vm, key, attempt).join();
        answer.expect("no panic").expect("the VM answers")
    }

    /// Returns how often the service's processes executed a key in total.
    fn executions(&self, key: &str) -> u64 {
        let processes = self.fleet.endpoints.iter();
        let plain = processes.filter(|(name, _)| name.starts_with("plain"));
        let counts = plain.map(|(_, process)| {
            let executions = self.fleet.get(process.address, "/executions");
            executions.unwrap_or_default()[key]
                .as_u64()
                .unwrap_or_default()
        });
        counts.sum()
    }

    fn appends(&self) -> u64 {
        let stats = self.fleet.get(self.fleet.log.address, "/stats");
        stats.unwrap_or_default()["appends"]
            .as_u64()
            .unwrap_or_default()
    }

    fn claims_at(&self, vm: usize) -> u64 {
        let address = self.fleet.vms[vm].settings.operator_address;
        let status = self.fleet.get(address, "/status").unwrap_or_default();
        status["claims"].as_u64().unwrap_or_default()
    }

    fn set_log_faults(&self, faults: Value) {
        let set = self.fleet.set_faults(&self.fleet.log, &faults);
        set.expect("the stand-in answers");
    }

    fn set_service_faults(&self, faults: &Value) {
        let processes = self.fleet.endpoints.iter();
        for (_, process) in processes.filter(|(name, _)| name.starts_with("plain")) {
            let set = self.fleet.set_faults(process, faults);
            set.expect("the stand-in answers");
        }
    }

    fn wait_for(&self, what: &str, condition: impl FnMut() -> bool) {
        self.fleet
            .wait_for(what, condition)
            .expect("the condition holds in time");
    }

    /// Repeats a key until its answer is not 504 (outcome unknown), at most three times; returns the last status.
    fn final_status(&self, vm: usize, key: &str) -> u16 {
        let repeats = (2..5).map(|attempt| self.call(vm, key, attempt).status);
        let decided = repeats.into_iter().find(|status| *status != 504);
        decided.unwrap_or(504)
    }
}

#[test]
fn same_key_at_two_vms_is_executed_once() {
    let site = Site::start(3);
    let keys: Vec<String> = (0..20).map(|_| new_key()).collect();
    let calls: Vec<_> = keys
        .iter()
        .map(|key| [0, 1].map(|vm| site.start_call(vm, key, 2)))
        .collect();
    for (key, calls) in keys.iter().zip(calls) {
        let answers = calls.map(|call| call.join().expect("no panic").expect("the VM answers"));
        assert_eq!(answers[0].status, 200, "{answers:?}");
        assert_eq!(answers[0], answers[1]);
        assert_eq!(site.executions(key), 1);
    }
}

#[test]
fn vm_killed_before_the_append_leaves_a_consistent_outcome() {
    let mut site = Site::start(3);
    site.set_log_faults(json!({ "slow_ms": 1_000 }));
    let key = new_key();
    let call = site.start_call(0, &key, 1);
    site.wait_for("the claim is open", || site.claims_at(0) == 1);
    site.fleet.vms[0].process.kill();
    site.set_log_faults(json!({}));
    assert!(call.join().expect("no panic").is_err());
    let final_status = site.final_status(1, &key);
    assert_eq!(
        site.executions(&key),
        u64::from(final_status == 200),
        "{final_status}"
    );
}

#[test]
fn vm_killed_after_the_append_leaves_the_outcome_unknown() {
    let mut site = Site::start(3);
    site.set_log_faults(json!({ "hold_reads": true }));
    let before = site.appends();
    let key = new_key();
    let call = site.start_call(0, &key, 1);
    site.wait_for("the claim is appended", || site.appends() > before);
    site.fleet.vms[0].process.kill();
    site.set_log_faults(json!({}));
    assert!(call.join().expect("no panic").is_err());
    assert_eq!(site.final_status(1, &key), 504);
    assert_eq!(site.executions(&key), 0);
}

#[test]
fn vm_killed_after_the_dispatch_causes_no_second_execution() {
    let mut site = Site::start(3);
    site.set_service_faults(&json!({ "slow_ms": 1_500 }));
    let key = new_key();
    let call = site.start_call(0, &key, 1);
    site.wait_for("the service executes the key", || {
        site.executions(&key) == 1
    });
    site.fleet.vms[0].process.kill();
    assert!(call.join().expect("no panic").is_err());
    assert_eq!(site.final_status(1, &key), 504);
    assert_eq!(site.executions(&key), 1);
}

#[test]
fn vm_killed_after_the_answer_keeps_the_outcome() {
    let mut site = Site::start(3);
    let before = site.appends();
    let key = new_key();
    let answer = site.call(0, &key, 1);
    assert_eq!(answer.status, 200);
    site.wait_for("the outcome is appended", || site.appends() >= before + 2);
    site.fleet.vms[0].process.kill();
    assert_eq!(site.call(1, &key, 2), answer);
    assert_eq!(site.executions(&key), 1);
}

#[test]
fn lost_append_answer_causes_no_second_execution() {
    let site = Site::start(2);
    site.set_log_faults(json!({ "lose_answers": 1 }));
    let key = new_key();
    let answer = site.call(0, &key, 1);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(site.call(1, &key, 2), answer);
    assert_eq!(site.executions(&key), 1);
}

#[test]
fn slow_log_is_tolerated_and_calls_are_refused_while_it_is_down() {
    let site = Site::start(2);
    site.set_log_faults(json!({ "slow_ms": 300 }));
    assert_eq!(site.call(0, &new_key(), 1).status, 200);
    site.set_log_faults(json!({ "down": true }));
    for vm in [0, 1] {
        let key = new_key();
        let started = Instant::now();
        let answer = site.call(vm, &key, 1);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(started.elapsed() < REFUSAL_BOUND, "{:?}", started.elapsed());
        assert!(answer.body["retry_after_ms"].is_u64());
        assert_eq!(site.executions(&key), 0);
    }
    site.set_log_faults(json!({}));
    site.wait_for("the log is reachable again", || {
        site.call(0, &new_key(), 1).status == 200
    });
}

#[test]
fn silent_log_is_detected_by_the_first_claim() {
    let site = Site::start(2);
    site.set_log_faults(json!({ "silent": true }));
    let first = new_key();
    assert_eq!(site.call(0, &first, 1).status, 504);
    site.wait_for("the log outage is detected", || {
        let started = Instant::now();
        let status = site.call(0, &new_key(), 1).status;
        status == 503 && started.elapsed() < REFUSAL_BOUND
    });
    site.set_log_faults(json!({}));
    let mut final_status = 504;
    site.wait_for("the log is reachable again", || {
        final_status = site.call(1, &first, 2).status;
        final_status != 504
    });
    assert_eq!(
        site.executions(&first),
        u64::from(final_status == 200),
        "{final_status}"
    );
}

#[test]
fn thawed_vm_does_not_contradict_the_final_outcome() {
    let site = Site::start(3);
    site.set_log_faults(json!({ "hold_reads": true }));
    let before = site.appends();
    let key = new_key();
    let call = site.start_call(0, &key, 1);
    site.wait_for("the claim is appended", || site.appends() > before);
    site.fleet.vms[0].process.freeze();
    site.set_log_faults(json!({}));
    let repeat_status = site.call(1, &key, 2).status;
    site.fleet.vms[0].process.thaw();
    let original_status = call
        .join()
        .expect("no panic")
        .expect("the VM answers")
        .status;
    let final_status = site.final_status(1, &key);
    let executions = site.executions(&key);
    assert_eq!(
        executions,
        u64::from(final_status == 200),
        "{repeat_status} {original_status}"
    );
    let not_run = [repeat_status, original_status, final_status].contains(&503);
    assert!(
        !not_run || executions == 0,
        "{repeat_status} {original_status} {final_status}"
    );
}

#[test]
fn service_dies_after_it_took_the_call() {
    let site = Site::start(2);
    let key = new_key();
    site.set_service_faults(&json!({ "die_after_execution": true }));
    assert_eq!(site.call(0, &key, 1).status, 504);
    assert_eq!(site.final_status(1, &key), 504);
    // The process that executed the key exited and its count is lost; the other never received the key.
    assert_eq!(site.executions(&key), 0);
}

#[test]
fn key_older_than_the_window_is_not_executed() {
    let site = Site::start_with(2, json!({ "partitions": 1, "window_s": 2 }));
    let key = new_key();
    let answer = site.call(0, &key, 1);
    assert_eq!(answer.status, 200);
    site.wait_for("the key is older than the window", || {
        site.call(1, &key, 2).status == 504
    });
    let old = uuid::Uuid::now_v7().as_u128() - (10_000 << 80);
    let old = uuid::Uuid::from_u128(old).to_string();
    assert_eq!(site.call(0, &old, 1).status, 504);
    assert_eq!((site.executions(&key), site.executions(&old)), (1, 0));
}
