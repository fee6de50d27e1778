//! Non-idempotent calls on real processes under faults: at most one execution, and true answers.

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

/// Time within which a call is refused that the system has given up on, on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(1_000);

type Answer = Result<PlainAnswer, CallerError>;

/// A small site with claims in one partition.
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

    /// Makes a call on a thread of its own.
    fn call_beside(&self, vm: usize, key: &str, attempt: u32) -> JoinHandle<Answer> {
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
        let answer = self.call_beside(vm, key, attempt).join();
        answer.expect("no panic").expect("an answer")
    }

    /// How often the service's processes executed a key, all together.
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

    fn log_faults(&self, faults: Value) {
        let set = self.fleet.set_faults(&self.fleet.log, &faults);
        set.expect("the stand-in answers");
    }

    fn service_faults(&self, faults: &Value) {
        let processes = self.fleet.endpoints.iter();
        for (_, process) in processes.filter(|(name, _)| name.starts_with("plain")) {
            let set = self.fleet.set_faults(process, faults);
            set.expect("the stand-in answers");
        }
    }

    fn wait_for(&self, what: &str, condition: impl FnMut() -> bool) {
        self.fleet.wait_for(what, condition).expect("in time");
    }

    /// Repeats a key until its answer is not "unknown", or is still that after a few tries.
    fn last_word(&self, vm: usize, key: &str) -> u16 {
        let repeats = (2..5).map(|attempt| self.call(vm, key, attempt).status);
        let decided = repeats.into_iter().find(|status| *status != 504);
        decided.unwrap_or(504)
    }
}

#[test]
fn same_key_at_two_vms_at_once() {
    let site = Site::start(3);
    let keys: Vec<String> = (0..20).map(|_| new_key()).collect();
    let calls: Vec<_> = keys
        .iter()
        .map(|key| [0, 1].map(|vm| site.call_beside(vm, key, 2)))
        .collect();
    for (key, calls) in keys.iter().zip(calls) {
        let answers = calls.map(|call| call.join().expect("no panic").expect("an answer"));
        assert_eq!(answers[0].status, 200, "{answers:?}");
        assert_eq!(answers[0], answers[1]);
        assert_eq!(site.executions(key), 1);
    }
}

#[test]
fn vm_killed_before_the_append() {
    let mut site = Site::start(3);
    site.log_faults(json!({ "slow_ms": 1_000 }));
    let key = new_key();
    let call = site.call_beside(0, &key, 1);
    site.wait_for("the call", || site.claims_at(0) == 1);
    site.fleet.vms[0].process.kill();
    site.log_faults(json!({}));
    assert!(call.join().expect("no panic").is_err());
    let word = site.last_word(1, &key);
    assert_eq!(site.executions(&key), u64::from(word == 200), "{word}");
}

#[test]
fn vm_killed_after_the_append() {
    let mut site = Site::start(3);
    site.log_faults(json!({ "hold_reads": true }));
    let before = site.appends();
    let key = new_key();
    let call = site.call_beside(0, &key, 1);
    site.wait_for("the append", || site.appends() > before);
    site.fleet.vms[0].process.kill();
    site.log_faults(json!({}));
    assert!(call.join().expect("no panic").is_err());
    assert_eq!(site.last_word(1, &key), 504);
    assert_eq!(site.executions(&key), 0);
}

#[test]
fn vm_killed_after_the_dispatch() {
    let mut site = Site::start(3);
    site.service_faults(&json!({ "slow_ms": 1_500 }));
    let key = new_key();
    let call = site.call_beside(0, &key, 1);
    site.wait_for("the execution", || site.executions(&key) == 1);
    site.fleet.vms[0].process.kill();
    assert!(call.join().expect("no panic").is_err());
    assert_eq!(site.last_word(1, &key), 504);
    assert_eq!(site.executions(&key), 1);
}

#[test]
fn vm_killed_after_the_answer() {
    let mut site = Site::start(3);
    let before = site.appends();
    let key = new_key();
    let answer = site.call(0, &key, 1);
    assert_eq!(answer.status, 200);
    site.wait_for("the outcome's append", || site.appends() >= before + 2);
    site.fleet.vms[0].process.kill();
    assert_eq!(site.call(1, &key, 2), answer);
    assert_eq!(site.executions(&key), 1);
}

#[test]
fn append_answer_lost() {
    let site = Site::start(2);
    site.log_faults(json!({ "lose_answers": 1 }));
    let key = new_key();
    let answer = site.call(0, &key, 1);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(site.call(1, &key, 2), answer);
    assert_eq!(site.executions(&key), 1);
}

#[test]
fn log_slow_down_and_back() {
    let site = Site::start(2);
    site.log_faults(json!({ "slow_ms": 300 }));
    assert_eq!(site.call(0, &new_key(), 1).status, 200);
    site.log_faults(json!({ "down": true }));
    for vm in [0, 1] {
        let key = new_key();
        let asked = Instant::now();
        let answer = site.call(vm, &key, 1);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
        assert!(answer.body["retry_after_ms"].is_u64());
        assert_eq!(site.executions(&key), 0);
    }
    site.log_faults(json!({}));
    site.wait_for("the log's return", || {
        site.call(0, &new_key(), 1).status == 200
    });
}

#[test]
fn silent_log_is_known_after_the_first_claim() {
    let site = Site::start(2);
    site.log_faults(json!({ "silent": true }));
    let first = new_key();
    assert_eq!(site.call(0, &first, 1).status, 504);
    site.wait_for("the outage to be known", || {
        let asked = Instant::now();
        let status = site.call(0, &new_key(), 1).status;
        status == 503 && asked.elapsed() < AT_ONCE
    });
    site.log_faults(json!({}));
    let mut word = 504;
    site.wait_for("the log's return", || {
        word = site.call(1, &first, 2).status;
        word != 504
    });
    assert_eq!(site.executions(&first), u64::from(word == 200), "{word}");
}

#[test]
fn frozen_vm_goes_on_after_its_timeouts() {
    let site = Site::start(3);
    site.log_faults(json!({ "hold_reads": true }));
    let before = site.appends();
    let key = new_key();
    let call = site.call_beside(0, &key, 1);
    site.wait_for("the append", || site.appends() > before);
    site.fleet.vms[0].process.freeze();
    site.log_faults(json!({}));
    let elsewhere = site.call(1, &key, 2).status;
    site.fleet.vms[0].process.thaw();
    let told = call.join().expect("no panic").expect("an answer").status;
    let word = site.last_word(1, &key);
    let executions = site.executions(&key);
    assert_eq!(executions, u64::from(word == 200), "{elsewhere} {told}");
    let not_run = [elsewhere, told, word].contains(&503);
    assert!(!not_run || executions == 0, "{elsewhere} {told} {word}");
}

#[test]
fn service_dies_after_it_took_the_call() {
    let site = Site::start(2);
    let key = new_key();
    site.service_faults(&json!({ "die_after_execution": true }));
    assert_eq!(site.call(0, &key, 1).status, 504);
    assert_eq!(site.last_word(1, &key), 504);
    // One process died with its execution; the other never saw the key.
    assert_eq!(site.executions(&key), 0);
}

#[test]
fn key_older_than_the_window() {
    let site = Site::start_with(2, json!({ "partitions": 1, "window_s": 2 }));
    let key = new_key();
    let answer = site.call(0, &key, 1);
    assert_eq!(answer.status, 200);
    site.wait_for("the key's age", || site.call(1, &key, 2).status == 504);
    let old = uuid::Uuid::now_v7().as_u128() - (10_000 << 80);
    let old = uuid::Uuid::from_u128(old).to_string();
    assert_eq!(site.call(0, &old, 1).status, 504);
    assert_eq!((site.executions(&key), site.executions(&old)), (1, 0));
}
