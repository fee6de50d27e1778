//! Counters and spans as received by their collectors.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;

use arbutusfall_standins::Fleet;
use hyper::Method;
use serde_json::Value;

use crate::fleet_lock;
use crate::support::caller;
use crate::support::program;
use crate::support::small_site;

fn spans_of(fleet: &Fleet, trace: &str) -> Vec<Value> {
    let all = fleet.get(fleet.collector.address, "/spans");
    let all = all.unwrap_or_default().as_array().cloned();
    let all = all.unwrap_or_default().into_iter();
    all.filter(|span| span["traceId"] == trace).collect()
}

fn span_names(spans: &[Value]) -> BTreeSet<&str> {
    spans
        .iter()
        .filter_map(|span| span["name"].as_str())
        .collect()
}

/// Asserts that the spans form one tree below the caller's own span, and returns the VMs that sent them.
fn assert_one_tree(spans: &[Value], parent: &str) -> BTreeSet<String> {
    let ids: BTreeSet<&str> = spans
        .iter()
        .filter_map(|span| span["id"].as_str())
        .collect();
    for span in spans {
        let parent_id = span["parentId"].as_str().expect("the span has a parent");
        assert!(
            parent_id == parent || ids.contains(parent_id),
            "{span} has no parent in {spans:?}"
        );
    }
    let roots = spans.iter().filter(|span| span["parentId"] == parent);
    assert_eq!(roots.count(), 1, "{spans:?}");
    let vms = spans
        .iter()
        .map(|span| span["localEndpoint"]["serviceName"].as_str());
    vms.flatten().map(str::to_owned).collect()
}

#[test]
fn spans_of_a_completion_form_one_tree_across_two_vms() {
    let _lock = fleet_lock::acquire();
    let fleet = Fleet::start(program(), &small_site(), 2).expect("the fleet starts");
    let parent = "b7ad6b7169203331";
    let mut most_vms = 0;
    // One VM owns the shard, so the completion sent to the other VM is placed by a VM that did not receive it.
    for (index, vm) in fleet.vms.iter().enumerate() {
        let trace = format!("0af7651916cd43dd8448eb211c80319{index}");
        let traceparent = format!("00-{trace}-{parent}-01");
        let caller = caller(&fleet);
        let model = fleet.site.model;
        let answer = caller.complete(vm.caller_address, model, "a", 3, Some(&traceparent));
        assert_eq!(
            fleet.block_on(answer).expect("an answer arrives").status,
            200
        );
        let expected = BTreeSet::from(["caller", "place", "prefill", "decode"]);
        let all_spans_arrived = || span_names(&spans_of(&fleet, &trace)) == expected;
        fleet
            .wait_for("all spans", all_spans_arrived)
            .expect("the collector receives all spans");
        let vms = assert_one_tree(&spans_of(&fleet, &trace), parent);
        most_vms = most_vms.max(vms.len());
    }
    assert_eq!(most_vms, 2, "no trace has spans of two VMs");
}

#[test]
fn spans_of_a_booking_form_one_tree() {
    let _lock = fleet_lock::acquire();
    let fleet = Fleet::start(program(), &small_site(), 2).expect("the fleet starts");
    let trace = "0af7651916cd43dd8448eb211c803199";
    let parent = "b7ad6b7169203331";
    let key = uuid::Uuid::now_v7().to_string();
    let traceparent = format!("00-{trace}-{parent}-01");
    let headers = [("idempotency-key", &*key), ("traceparent", &*traceparent)];
    let caller = caller(&fleet);
    let path = fleet.site.non_idempotent_path;
    let call = caller.call(fleet.vms[0].caller_address, Method::POST, path, &headers);
    assert_eq!(fleet.block_on(call).expect("an answer arrives").status, 200);
    let all_spans_arrived =
        || span_names(&spans_of(&fleet, trace)) == ["caller", "claim", "service"].into();
    fleet
        .wait_for("all spans", all_spans_arrived)
        .expect("the collector receives all spans");
    assert_one_tree(&spans_of(&fleet, trace), parent);
}

#[test]
fn counters_are_sent_and_requests_succeed_without_a_collector() {
    let _lock = fleet_lock::acquire();
    let mut fleet = Fleet::start(program(), &small_site(), 1).expect("the fleet starts");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
    let timeout = Some(Duration::from_secs(10));
    socket.set_read_timeout(timeout).expect("a timeout is set");
    fleet.vms[0].process.kill();
    fleet.collector.kill();
    let mut settings = fleet.vms[0].settings.clone();
    settings.metrics_address = Some(socket.local_addr().expect("an address"));
    fleet.vms[0] = fleet.start_vm(settings).expect("the VM starts");
    fleet.wait_ready(&fleet.vms[0]).expect("the VM is ready");
    let caller = caller(&fleet);
    for _ in 0..3 {
        let vm = fleet.vms[0].caller_address;
        let answer = caller.complete(vm, fleet.site.model, "a", 3, None);
        assert_eq!(
            fleet.block_on(answer).expect("an answer arrives").status,
            200
        );
    }
    let mut packet = [0; 2_048];
    let mut finished = 0;
    while finished < 3 {
        let length = socket
            .recv(&mut packet)
            .expect("a packet of counters arrives");
        let text = String::from_utf8_lossy(&packet[..length]).into_owned();
        finished += text.matches("arbutusfall.completions.finished:1|c").count();
    }
    let lost = || crate::support::counter(&fleet, 0, "spans.lost") > 0;
    fleet
        .wait_for("lost spans are counted", lost)
        .expect("lost spans are counted");
}
