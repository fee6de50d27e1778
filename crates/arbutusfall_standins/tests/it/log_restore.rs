//! Real processes whose log is restored from an older copy.

use std::path::Path;
use std::thread;
use std::time::Duration;

use arbutusfall_standins::Caller;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::PlainAnswer;
use arbutusfall_standins::SiteSpec;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

/// Longer than the longest wait of a read, after which every VM has an answer of the new era.
const RESTORE_NOTICED: Duration = Duration::from_secs(6);

struct RestoreFixture {
    fleet: Fleet,
    caller: Caller,
}

impl RestoreFixture {
    fn start(vm_count: usize) -> Self {
        let site = SiteSpec {
            prefill_engines: 1,
            decode_engines: 1,
            service_processes: 2,
            ..SiteSpec::rinnovo()
        };
        let program = Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
        let fleet = Fleet::start(program, &site, vm_count).expect("the fleet starts");
        let caller = Caller {
            executor: fleet.executor.clone(),
            key: site.key.to_owned(),
        };
        Self { fleet, caller }
    }

    fn set_log_faults(&self, faults: &Value) {
        let set = self.fleet.set_faults(&self.fleet.log, faults);
        set.expect("the stand-in answers");
    }

    fn book(&self, vm: usize, key: &str) -> PlainAnswer {
        let path = self.fleet.site.non_idempotent_path;
        let address = self.fleet.vms[vm].caller_address;
        let headers = [("idempotency-key", key)];
        let call = self.caller.call(address, Method::POST, path, &headers);
        self.fleet.block_on(call).expect("the VM answers")
    }

    /// Returns the status of a lookup, which is 401 if the configuration doesn't know the caller's key.
    fn lookup_status(&self, vm: usize) -> u16 {
        let path = format!("{}/1", self.fleet.site.idempotent_path);
        let address = self.fleet.vms[vm].caller_address;
        let call = self.caller.call(address, Method::GET, &path, &[]);
        self.fleet.block_on(call).expect("the VM answers").status
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

    fn publish_base(&self, base: &Value) {
        let published = self.fleet.publish(&["base"], base);
        published.expect("the base is accepted");
    }

    fn wait_for_lookups(&self, vms: &[usize], status: u16) {
        for vm in vms {
            let what = format!("VM {vm} answers lookups with {status}");
            let reached = || self.lookup_status(*vm) == status;
            self.fleet.wait_for(&what, reached).expect("in time");
        }
    }
}

#[test]
fn call_whose_claim_was_lost_is_executed_once() {
    let _lock = crate::fleet_lock::acquire();
    let mut fixture = RestoreFixture::start(2);
    fixture.set_log_faults(&json!({ "copy": true }));
    let key = uuid::Uuid::now_v7().to_string();
    assert_eq!(fixture.book(0, &key).status, 200);
    fixture.set_log_faults(&json!({ "restore": true }));
    // The VMs that ran and recorded the call are gone; new processes know only the log.
    for vm in [0, 1] {
        fixture.fleet.restart_vm(vm).expect("the VM restarts");
    }
    for vm in [0, 1] {
        let vm = &fixture.fleet.vms[vm];
        fixture.fleet.wait_ready(vm).expect("the VM gets ready");
    }
    let answer = fixture.book(1, &key);
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(fixture.executions(&key), 1);
    let mut key = String::new();
    fixture
        .fleet
        .wait_for("a new key is claimed again", || {
            key = uuid::Uuid::now_v7().to_string();
            fixture.book(0, &key).status == 200
        })
        .expect("in time");
    assert_eq!(fixture.executions(&key), 1);
}

#[test]
fn configuration_in_force_is_kept_until_a_publication_after_the_restore() {
    let _lock = crate::fleet_lock::acquire();
    let fixture = RestoreFixture::start(2);
    let open = fixture.fleet.site.base("weighted");
    let mut closed = open.clone();
    closed["accounts"]["demo"]["key_sha256"] = json!("0".repeat(64));
    fixture.wait_for_lookups(&[0, 1], 200);
    fixture.set_log_faults(&json!({ "copy": true }));
    fixture.publish_base(&closed);
    fixture.wait_for_lookups(&[0, 1], 401);
    fixture.set_log_faults(&json!({ "restore": true }));
    thread::sleep(RESTORE_NOTICED);
    for vm in [0, 1] {
        assert_eq!(fixture.lookup_status(vm), 401, "VM {vm}");
    }
    // This publication gets the offset of the lost one.
    fixture.publish_base(&open);
    fixture.wait_for_lookups(&[0, 1], 200);
}
