//! Non-idempotent calls to real processes under fault injection: each call is executed at most once, and no answer
//! contradicts that.

use std::path::Path;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_standins::Caller;
use arbutusfall_standins::CallerError;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::PlainAnswer;
use arbutusfall_standins::SiteSpec;
use futures_lite::future;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

/// Longest time until a call is refused while the log answers with errors or is known to be silent, even on a busy
/// machine.
const REFUSAL_BOUND: Duration = Duration::from_millis(1_000);

type CallResult = Result<PlainAnswer, CallerError>;

/// A fleet with two processes of the plain service, and a caller.
struct ClaimsFixture {
    fleet: Fleet,
    caller: Caller,
}

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

impl ClaimsFixture {
    /// Starts a fleet with one claim partition.
    fn start(vm_count: usize) -> Self {
        Self::start_with(vm_count, json!({ "partitions": 1 }))
    }

    fn start_with(vm_count: usize, claims_config: Value) -> Self {
        let site = SiteSpec {
            prefill_engines: 1,
            decode_engines: 1,
            service_processes: 2,
            ..SiteSpec::rinnovo()
        };
        let program = Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
        let mut fleet = Fleet::start_stand_ins(program, &site).expect("the platform starts");
        let mut base = site.base("weighted");
        base["claims"] = claims_config;
        let addresses = fleet.endpoints.iter();
        let addresses = addresses.map(|(name, process)| (name.clone(), process.address));
        let overlay = site.overlay(&addresses.collect());
        fleet.publish(&["base"], &base).expect("a valid base");
        fleet
            .publish(&["overlay", site.name], &overlay)
            .expect("a valid overlay");
        fleet.start_vms(vm_count).expect("the VMs start");
        let caller = Caller {
            executor: fleet.executor.clone(),
            key: site.key.to_owned(),
        };
        Self { fleet, caller }
    }

    /// Starts a call on a separate thread.
    fn start_call(&self, vm: usize, key: &str, attempt: u32) -> JoinHandle<CallResult> {
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

    /// Returns how many times the service's processes executed calls with a key, in total.
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

    /// Returns the number of idempotency keys that a VM keeps, of calls in progress or with an outcome.
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

    /// Repeats the call with a key until its answer is not 504 (outcome unknown), at most three times; returns the last
    /// status.
    fn final_status(&self, vm: usize, key: &str) -> u16 {
        let repeats = (2..5).map(|attempt| self.call(vm, key, attempt).status);
        let decided = repeats.into_iter().find(|status| *status != 504);
        decided.unwrap_or(504)
    }
}

#[test]
fn calls_with_one_key_at_two_vms_are_executed_once() {
    let fixture = ClaimsFixture::start(3);
    let keys: Vec<String> = (0..20).map(|_| new_key()).collect();
    // Attempt 1 would say that the key was never sent before, which holds for neither of the two calls.
    let calls: Vec<_> = keys
        .iter()
        .map(|key| [0, 1].map(|vm| fixture.start_call(vm, key, 2)))
        .collect();
    for (key, calls) in keys.iter().zip(calls) {
        let answers = calls.map(|call| call.join().expect("no panic").expect("the VM answers"));
        assert_eq!(answers[0].status, 200, "{answers:?}");
        assert_eq!(answers[0], answers[1]);
        assert_eq!(fixture.executions(key), 1);
    }
}

#[test]
fn vm_killed_before_the_append_leaves_a_consistent_outcome() {
    let mut fixture = ClaimsFixture::start(3);
    fixture.set_log_faults(json!({ "slow_ms": 1_000 }));
    let key = new_key();
    let call = fixture.start_call(0, &key, 1);
    fixture.wait_for("the VM has received the call", || fixture.claims_at(0) == 1);
    fixture.fleet.vms[0].process.kill();
    fixture.set_log_faults(json!({}));
    assert!(call.join().expect("no panic").is_err());
    let final_status = fixture.final_status(1, &key);
    assert_eq!(
        fixture.executions(&key),
        u64::from(final_status == 200),
        "final status {final_status}"
    );
}

#[test]
fn vm_killed_after_the_append_leaves_the_outcome_unknown() {
    let mut fixture = ClaimsFixture::start(3);
    fixture.set_log_faults(json!({ "hold_reads": true }));
    let before = fixture.appends();
    let key = new_key();
    let call = fixture.start_call(0, &key, 1);
    fixture.wait_for("the claim is appended", || fixture.appends() > before);
    fixture.fleet.vms[0].process.kill();
    fixture.set_log_faults(json!({}));
    assert!(call.join().expect("no panic").is_err());
    assert_eq!(fixture.final_status(1, &key), 504);
    assert_eq!(fixture.executions(&key), 0);
}

#[test]
fn vm_killed_after_the_dispatch_causes_no_second_execution() {
    let mut fixture = ClaimsFixture::start(3);
    fixture.set_service_faults(&json!({ "slow_ms": 1_500 }));
    let key = new_key();
    let call = fixture.start_call(0, &key, 1);
    fixture.wait_for("the service executes the call", || {
        fixture.executions(&key) == 1
    });
    fixture.fleet.vms[0].process.kill();
    assert!(call.join().expect("no panic").is_err());
    assert_eq!(fixture.final_status(1, &key), 504);
    assert_eq!(fixture.executions(&key), 1);
}

#[test]
fn vm_killed_after_the_answer_keeps_the_outcome() {
    let mut fixture = ClaimsFixture::start(3);
    let before = fixture.appends();
    let key = new_key();
    let answer = fixture.call(0, &key, 1);
    assert_eq!(answer.status, 200);
    fixture.wait_for("the outcome is appended", || {
        fixture.appends() >= before + 2
    });
    fixture.fleet.vms[0].process.kill();
    assert_eq!(fixture.call(1, &key, 2), answer);
    assert_eq!(fixture.executions(&key), 1);
}

#[test]
fn lost_append_answer_causes_no_second_execution() {
    let fixture = ClaimsFixture::start(2);
    fixture.set_log_faults(json!({ "lose_answers": 1 }));
    let key = new_key();
    let answer = fixture.call(0, &key, 1);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(fixture.call(1, &key, 2), answer);
    assert_eq!(fixture.executions(&key), 1);
}

#[test]
fn slow_log_is_tolerated_and_calls_are_refused_while_it_is_down() {
    let fixture = ClaimsFixture::start(2);
    fixture.set_log_faults(json!({ "slow_ms": 300 }));
    assert_eq!(fixture.call(0, &new_key(), 1).status, 200);
    fixture.set_log_faults(json!({ "down": true }));
    for vm in [0, 1] {
        let key = new_key();
        let started = Instant::now();
        let answer = fixture.call(vm, &key, 1);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(started.elapsed() < REFUSAL_BOUND, "{:?}", started.elapsed());
        assert!(answer.body["retry_after_ms"].is_u64());
        assert_eq!(fixture.executions(&key), 0);
    }
    fixture.set_log_faults(json!({}));
    fixture.wait_for("the log is reachable again", || {
        fixture.call(0, &new_key(), 1).status == 200
    });
}

#[test]
fn calls_are_refused_once_a_silent_log_is_detected() {
    let fixture = ClaimsFixture::start(2);
    fixture.set_log_faults(json!({ "silent": true }));
    let first = new_key();
    assert_eq!(fixture.call(0, &first, 1).status, 504);
    fixture.wait_for("the log outage is detected", || {
        let started = Instant::now();
        let status = fixture.call(0, &new_key(), 1).status;
        status == 503 && started.elapsed() < REFUSAL_BOUND
    });
    fixture.set_log_faults(json!({}));
    let mut final_status = 504;
    fixture.wait_for("the log is reachable again", || {
        final_status = fixture.call(1, &first, 2).status;
        final_status != 504
    });
    assert_eq!(
        fixture.executions(&first),
        u64::from(final_status == 200),
        "final status {final_status}"
    );
}

#[test]
fn thawed_vm_does_not_contradict_the_final_outcome() {
    let fixture = ClaimsFixture::start(3);
    fixture.set_log_faults(json!({ "hold_reads": true }));
    let before = fixture.appends();
    let key = new_key();
    let call = fixture.start_call(0, &key, 1);
    fixture.wait_for("the claim is appended", || fixture.appends() > before);
    fixture.fleet.vms[0].process.freeze();
    fixture.set_log_faults(json!({}));
    let repeat_status = fixture.call(1, &key, 2).status;
    fixture.fleet.vms[0].process.thaw();
    let original_status = call
        .join()
        .expect("no panic")
        .expect("the VM answers")
        .status;
    let final_status = fixture.final_status(1, &key);
    let executions = fixture.executions(&key);
    assert_eq!(
        executions,
        u64::from(final_status == 200),
        "original status {original_status}, repeat {repeat_status}"
    );
    // 503 promises that the call was not run.
    let reported_not_run = [repeat_status, original_status, final_status].contains(&503);
    assert!(
        !reported_not_run || executions == 0,
        "original status {original_status}, repeat {repeat_status}, final {final_status}"
    );
}

#[test]
fn service_dies_after_it_took_the_call() {
    let fixture = ClaimsFixture::start(2);
    let key = new_key();
    fixture.set_service_faults(&json!({ "die_after_execution": true }));
    assert_eq!(fixture.call(0, &key, 1).status, 504);
    assert_eq!(fixture.final_status(1, &key), 504);
    // The process that executed the call exited and its count is lost; the other never received the key.
    assert_eq!(fixture.executions(&key), 0);
}

#[test]
fn call_with_a_key_older_than_the_window_is_not_executed() {
    let fixture = ClaimsFixture::start_with(2, json!({ "partitions": 1, "window_s": 2 }));
    let key = new_key();
    let answer = fixture.call(0, &key, 1);
    assert_eq!(answer.status, 200);
    fixture.wait_for("the key is older than the window", || {
        fixture.call(1, &key, 2).status == 504
    });
    // 10 s older: the top 48 bits of a version-7 UUID are a timestamp in milliseconds.
    let old = uuid::Uuid::now_v7().as_u128() - (10_000 << 80);
    let old = uuid::Uuid::from_u128(old).to_string();
    assert_eq!(fixture.call(0, &old, 1).status, 504);
    assert_eq!((fixture.executions(&key), fixture.executions(&old)), (1, 0));
}
