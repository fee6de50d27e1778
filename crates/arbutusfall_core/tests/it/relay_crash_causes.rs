//! Requests as causes of crashes: what convicts them, what clears them, and the bounds of what is kept.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::CauseBlock;
use arbutusfall_core::relay::CrashCause;
use arbutusfall_core::relay::CrashEvidence;
use arbutusfall_core::relay::CrashId;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::PartId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::RequestKey;
use arbutusfall_core::relay::SharedKey;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_wire::Name;

use crate::relay_crashing_site::CrashingSite;
use crate::relay_crashing_site::LoadRequest;
use crate::relay_crashing_site::failed;
use crate::relay_crashing_site::parts;
use crate::relay_fleet::Fleet;
use crate::relay_fleet::most_in_one_second;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

/// Suspects and blocks that a VM keeps.
const MAX_CAUSES: usize = 4_000;

fn request(path: &str) -> CrashCause {
    CrashCause::Request(RequestKey(path.into()))
}

fn evidence(cause: CrashCause, crash: usize) -> SharedRecord {
    SharedRecord::Crash {
        cause,
        crash: CrashId(format!("{crash:016x}.0").into()),
        evidence: Some(CrashEvidence {
            instance: format!("shop-{crash}").into(),
            with: Vec::new(),
            is_late: false,
        }),
    }
}

fn block(cause: CrashCause, is_blocked: bool) -> SharedRecord {
    let block = CauseBlock {
        with: Vec::new(),
        instances: Vec::new(),
    };
    SharedRecord::Block {
        cause,
        block: is_blocked.then_some(block),
    }
}

fn read(harness: &mut RelayHarness, records: Vec<SharedRecord>) {
    let is_full = false;
    harness.apply(RelayEvent::SharedRecords { records, is_full });
}

fn start() -> RelayHarness {
    let mut harness = RelayHarness::configured(1);
    harness.repeats_by_path = true;
    harness
}

/// Lets time pass while all appends succeed or fail; returns the records appended.
fn run(harness: &mut RelayHarness, time: Duration, succeeded: bool) -> Vec<SharedRecord> {
    let until = harness.now + time;
    let mut appended = Vec::new();
    while harness.now < until {
        harness.advance(ms(10));
        for effect in std::mem::take(&mut harness.effects) {
            match effect {
                RelayEffect::AppendShared(records) => {
                    appended.extend(records);
                    harness.apply(RelayEvent::SharedAppended { succeeded });
                }
                other => harness.effects.push(other),
            }
        }
    }
    appended
}

/// Returns whether a plain request with this path is refused as one that crashes endpoints.
fn is_refused(harness: &mut RelayHarness, path: &str) -> bool {
    let call = harness.submit(path);
    let problem = harness.problem(call).map(|problem| problem.kind);
    harness.apply(RelayEvent::CallerGone { call });
    harness.take_sends();
    problem.is_some_and(|kind| kind.status() == 400)
}

/// Sends a request and answers it, and its retries, with this status.
fn answer(harness: &mut RelayHarness, path: &str, status: u16) {
    harness.take_sends();
    harness.submit(path);
    let mut sends = harness.take_sends();
    while let Some(sent) = sends.pop() {
        harness.deliver(sent.exchange, ExchangeEvent::Complete { status });
        sends = harness.take_sends();
    }
}

/// Returns endpoints of the plain service, each of which can end once.
fn endpoints(count: usize) -> Vec<EndpointListChange> {
    let all = (10..10 + count).map(|number| format!("shop-{number}"));
    all.map(|name| EndpointListChange::Listed(listed(&name, "shop", Role::Plain)))
        .collect()
}

/// Sends a request whose endpoint breaks off, and closes the call if it is sent again.
fn break_off(harness: &mut RelayHarness, path: &str) -> CallId {
    harness.take_sends();
    let call = harness.submit(path);
    let sent = harness.take_only_send();
    harness.advance(ms(20));
    harness.deliver(sent.exchange, failed());
    harness.apply(RelayEvent::CallerGone { call });
    harness.take_sends();
    call
}

// Guards against several VMs' evidence of one crash that counts as several crashes.
#[test]
fn one_crash_seen_by_several_vms_counts_once() {
    let mut harness = start();
    for _ in 0..6 {
        read(&mut harness, vec![evidence(request("/look/a"), 1)]);
    }
    run(&mut harness, ms(3_000), true);
    assert!(!is_refused(&mut harness, "/look/a"));
    let more = (2..=3).map(|crash| evidence(request("/look/a"), crash));
    read(&mut harness, more.collect());
    run(&mut harness, ms(3_000), true);
    assert!(is_refused(&mut harness, "/look/a"));
}

// Guards against a sound request that is blocked since endpoints ended beside it: any answer shows that it is sound.
#[test]
fn any_whole_answer_before_the_block_clears_a_request() {
    for status in [200, 404, 500, 503] {
        let mut harness = start();
        let crashes = (1..=3).map(|crash| evidence(request("/look/a"), crash));
        read(&mut harness, crashes.collect());
        run(&mut harness, ms(1_000), true);
        answer(&mut harness, "/look/a", status);
        let appended = run(&mut harness, ms(3_000), true);
        assert!(!is_refused(&mut harness, "/look/a"), "{status}");
        let deletions = appended.iter().filter(|record| record.is_deletion());
        assert_eq!(deletions.count(), 3, "other VMs do not learn of it");
    }
}

// Guards against a caller who clears its request, or convicts another one, by sending others.
#[test]
fn other_requests_neither_clear_nor_convict() {
    let mut harness = start();
    let crashes = (1..=3).map(|crash| evidence(request("/look/bad"), crash));
    read(&mut harness, crashes.collect());
    for number in 0..20 {
        answer(&mut harness, &format!("/look/{number}"), 200);
    }
    run(&mut harness, ms(2_000), true);
    assert!(is_refused(&mut harness, "/look/bad"));
    assert!(!is_refused(&mut harness, "/look/other"));
    for number in 0..20 {
        answer(&mut harness, &format!("/look/{number}"), 200);
    }
    assert!(is_refused(&mut harness, "/look/bad"));
}

// Guards against releases and scale-ins that convict the requests in progress.
#[test]
fn end_of_a_leaving_endpoint_is_no_evidence() {
    let mut harness = start();
    harness.apply(RelayEvent::EndpointChanges(endpoints(4)));
    for _ in 0..4 {
        harness.take_sends();
        let call = harness.submit("/look/a");
        let sent = harness.take_only_send();
        let mut leaving = listed(&sent.instance, "shop", Role::Plain);
        leaving.is_leaving = true;
        let change = vec![EndpointListChange::Listed(leaving)];
        harness.apply(RelayEvent::EndpointChanges(change));
        harness.deliver(sent.exchange, failed());
        harness.apply(RelayEvent::CallerGone { call });
        harness.take_sends();
        let appended = run(&mut harness, ms(2_000), true);
        assert!(appended.is_empty(), "{appended:?}");
    }
    assert!(!is_refused(&mut harness, "/look/a"));
}

// Guards against a VM that needs the store to learn from its own crashes, or does not tell of them later.
#[test]
fn crashes_without_the_store_block_a_request_and_are_told_later() {
    let mut harness = start();
    harness.apply(RelayEvent::EndpointChanges(endpoints(6)));
    for _ in 0..3 {
        break_off(&mut harness, "/pay/a");
        run(&mut harness, ms(2_000), false);
    }
    run(&mut harness, ms(2_000), false);
    assert!(is_refused(&mut harness, "/pay/a"));
    let appended = run(&mut harness, ms(2_000), true);
    let key = SharedKey::Block(request("/pay/a"));
    assert!(appended.iter().any(|record| record.key() == key));
}

// Guards against sound prompts that are refused since a repeated request with their parts is blocked.
#[test]
fn prompts_that_share_the_parts_of_a_blocked_request_are_served() {
    let mut site = CrashingSite::start(6, 10, Role::Decode, 9);
    for vm in &mut site.fleet.vms {
        vm.harness.repeats_by_path = true;
    }
    site.run_load(ms(12_000), 30, |number| {
        let is_crashing = number % 8 == 3;
        let name = if is_crashing { 0 } else { number + 1 };
        LoadRequest {
            path: format!("/stream/{name}"),
            parts: vec!["first", "second"],
            is_crashing,
        }
    });
    assert!(site.crashes.len() >= 3);
    assert!(site.late_sends(3) <= 3, "{}", site.late_sends(3));
    site.check_last_requests(|kind| kind.status() == 400);
    let relay = &site.fleet.vms[0].harness.relay;
    let blocked: Vec<&CrashCause> = relay.blocked_causes().map(|(cause, _)| cause).collect();
    assert_eq!(blocked, [&request("/stream/0")]);
}

// Guards against one request that comes at all VMs at once: each VM sees one crash only.
#[test]
fn request_that_comes_at_all_vms_at_once_is_refused_at_all() {
    let mut site = CrashingSite::start(410, 100, Role::Plain, 5);
    let crashing = LoadRequest {
        path: "/look/crashing".to_owned(),
        parts: Vec::new(),
        is_crashing: true,
    };
    for _ in 0..3 {
        for vm in 0..410 {
            site.send(vm, &crashing);
        }
        site.run(ms(4_000));
    }
    assert!(site.crashes.len() >= 3);
    assert!(site.late_sends(3) <= 3, "{}", site.late_sends(3));
}

// Guards against a VM that stops once it knows as many blocks as it keeps.
#[test]
fn vm_with_all_blocks_it_keeps_goes_on() {
    let mut harness = start();
    let blocks = (0..MAX_CAUSES).map(|number| block(request(&format!("/{number}")), true));
    read(&mut harness, blocks.collect());
    let crashes = (1..=3).map(|crash| evidence(request("/look/bad"), crash));
    read(&mut harness, crashes.collect());
    run(&mut harness, ms(5_000), true);
    answer(&mut harness, "/look/other", 200);
    let blocked = |harness: &RelayHarness| harness.relay.blocked_causes().count();
    assert_eq!(blocked(&harness), MAX_CAUSES);
    read(&mut harness, vec![block(request("/7"), false)]);
    run(&mut harness, ms(3_000), true);
    assert!(is_refused(&mut harness, "/look/bad"));
}

// Guards against evidence that no VM keeps any more and that stays in the store for ever, and against suspects without bound.
#[test]
fn evidence_that_gives_way_is_deleted_from_the_store() {
    for crashes in 1..=2 {
        let mut harness = start();
        let many = (0..MAX_CAUSES + 50).flat_map(|number| {
            let cause = request(&format!("/{number}"));
            (1..=crashes).map(move |crash| evidence(cause.clone(), crash))
        });
        let many: Vec<SharedRecord> = many.collect();
        for records in many.chunks(100) {
            read(&mut harness, records.to_vec());
        }
        let appended = run(&mut harness, ms(3_000), true);
        assert!(appended.iter().all(SharedRecord::is_deletion));
        let deleted: BTreeSet<SharedKey> = appended.iter().map(SharedRecord::key).collect();
        assert_eq!(deleted.len(), 50 * crashes, "{crashes} crashes");
    }
}

// Guards against many different requests that make a VM forget which parts are sound.
#[test]
fn part_answered_beside_many_requests_is_not_blocked() {
    let mut harness = RelayHarness::configured(1);
    for _ in 0..5_000 {
        answer(&mut harness, "/look/", 200);
        harness.effects.clear();
    }
    harness.submit_with_parts("/stream/", parts(&["popular"]));
    let decode = harness.advance_to_decode();
    harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
    let end = ExchangeEvent::Complete { status: 200 };
    harness.deliver(decode.exchange, end);
    let popular = CrashCause::Part(PartId("popular".into()));
    let crashes = (1..=4).map(|crash| evidence(popular.clone(), crash));
    read(&mut harness, crashes.collect());
    run(&mut harness, ms(3_000), true);
    let call = harness.submit_with_parts("/stream/", parts(&["popular"]));
    let problem = harness.problem(call).map(|problem| problem.kind);
    assert_ne!(problem, Some(ProblemKind::CrashingPrompt));
}

// Guards against a new VM whose own hash key replaces the known one after a return of the store: all blocks would be void.
#[test]
fn known_hash_key_is_written_again_before_new_vms_propose_theirs() {
    let mut harness = start();
    let (previous, era) = (0, 1);
    harness.apply(RelayEvent::StoreReturned { previous, era });
    let (records, is_full) = (Vec::new(), true);
    harness.apply(RelayEvent::SharedRecords { records, is_full });
    let mut new = RelayHarness::before_shared_records(2);
    let (records, is_full) = (Vec::new(), true);
    new.apply(RelayEvent::SharedRecords { records, is_full });
    let known = SharedRecord::HashKey(Some(RequestHashKey(7)));
    assert!(run(&mut harness, ms(400), true).contains(&known));
    assert!(run(&mut new, ms(400), true).is_empty());
}

// Guards against a failed append that is made again although another VM's key has been taken over: all blocks would be void.
#[test]
fn own_hash_key_is_not_appended_again_once_another_is_known() {
    let mut harness = RelayHarness::before_shared_records(1);
    let (records, is_full) = (Vec::new(), true);
    harness.apply(RelayEvent::SharedRecords { records, is_full });
    harness.advance(ms(2_000));
    let key = SharedRecord::HashKey(Some(RequestHashKey(7)));
    read(&mut harness, vec![key]);
    harness.apply(RelayEvent::SharedAppended { succeeded: false });
    harness.effects.clear();
    assert!(run(&mut harness, ms(3_000), true).is_empty());
}

// Guards against a VM without the store that blocks again what an operator has unblocked at another one.
#[test]
fn block_whose_append_failed_is_not_written_after_it_was_lifted() {
    let mut harness = start();
    let crashes = (1..=3).map(|crash| evidence(request("/look/a"), crash));
    read(&mut harness, crashes.collect());
    // The append is in progress.
    harness.advance(ms(3_000));
    assert!(is_refused(&mut harness, "/look/a"));
    let lifted = [true, false].map(|is_blocked| block(request("/look/a"), is_blocked));
    read(&mut harness, lifted.to_vec());
    harness.apply(RelayEvent::SharedAppended { succeeded: false });
    harness.effects.clear();
    let appended = run(&mut harness, ms(3_000), true);
    assert!(
        appended.iter().all(SharedRecord::is_deletion),
        "{appended:?}"
    );
    assert!(!is_refused(&mut harness, "/look/a"));
}

/// Gives each VM an answered prompt with shared parts, ends an engine under 48 others with them, and lets 5 s pass.
fn end_engine_under_popular_parts(fleet: &mut Fleet) {
    let mut in_progress = Vec::new();
    for (number, vm) in fleet.vms.iter_mut().enumerate() {
        let harness = &mut vm.harness;
        harness.take_sends();
        harness.submit_with_parts("/stream/", parts(&["a", "b", "c", "d", "e", "f", "g", "h"]));
        let decode = harness.advance_to_decode();
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        if number < 48 {
            in_progress.push((number, decode.exchange));
        } else {
            let end = ExchangeEvent::Complete { status: 200 };
            harness.deliver(decode.exchange, end);
        }
    }
    fleet.advance(ms(50));
    fleet.appends.clear();
    for (vm, exchange) in in_progress {
        fleet.vms[vm].harness.deliver(exchange, failed());
    }
    for _ in 0..500 {
        fleet.advance(ms(10));
    }
}

// Guards against a crash under popular parts after which all VMs write to the store at once.
#[test]
fn appends_after_a_crash_of_a_full_engine_stay_within_the_limit() {
    for vm_count in [77, 410] {
        let mut fleet = Fleet::start(vm_count, 3);
        for vm in &mut fleet.vms {
            vm.harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
            let engines = [("decode", Role::Decode), ("prefill", Role::Prefill)];
            let engines = engines.map(|(name, role)| listed(name, "model", role));
            let changes = engines.map(EndpointListChange::Listed).to_vec();
            vm.harness.apply(RelayEvent::EndpointChanges(changes));
        }
        for _ in 0..300 {
            fleet.advance(ms(10));
        }
        end_engine_under_popular_parts(&mut fleet);
        let appends = most_in_one_second(&fleet.appends);
        assert!(appends <= 400, "{appends} appends of {vm_count} VMs");
        let is_evidence = |record: &SharedRecord| matches!(record, SharedRecord::Crash { .. });
        assert!(
            !fleet.newest().iter().any(is_evidence),
            "not all is deleted"
        );
    }
}

/// Lets the VM's checks of endpoints end; returns the endpoints.
fn end_checks(harness: &mut RelayHarness, is_reachable: impl Fn(&Name) -> bool) -> Vec<Name> {
    let mut checked = Vec::new();
    for effect in std::mem::take(&mut harness.effects) {
        if let RelayEffect::CheckEndpoint { instance, .. } = effect {
            checked.push(instance);
        }
    }
    for instance in &checked {
        harness.apply(RelayEvent::EndpointChecked {
            instance: instance.clone(),
            asked_at: harness.now,
            is_reachable: is_reachable(instance),
        });
    }
    checked
}

/// Sends a request whose answer ends with its connection; returns the endpoint.
fn answer_unmarked(harness: &mut RelayHarness, path: &str) -> Name {
    harness.take_sends();
    harness.submit(path);
    let sent = harness.take_only_send();
    harness.deliver(sent.exchange, ExchangeEvent::EndUnmarked);
    let end = ExchangeEvent::Complete { status: 200 };
    harness.deliver(sent.exchange, end);
    sent.instance
}

// Guards against endpoints that end just after what looks like a whole answer, for ever.
#[test]
fn unmarked_end_is_evidence_if_the_endpoint_is_unreachable_then() {
    for is_reachable in [false, true] {
        let mut harness = start();
        harness.apply(RelayEvent::EndpointChanges(endpoints(6)));
        for _ in 0..3 {
            let instance = answer_unmarked(&mut harness, "/pay/a");
            run(&mut harness, ms(150), true);
            // The other endpoints accept connections.
            let answers = |checked: &Name| is_reachable || *checked != instance;
            let checked = end_checks(&mut harness, answers);
            assert_eq!(checked, std::slice::from_ref(&instance));
            run(&mut harness, ms(150), true);
            end_checks(&mut harness, answers);
            let removed = EndpointListChange::Removed { instance };
            harness.apply(RelayEvent::EndpointChanges(vec![removed]));
            run(&mut harness, ms(850), true);
            // Checks of the others, because a connection to one failed.
            end_checks(&mut harness, |_| true);
            run(&mut harness, ms(850), true);
            end_checks(&mut harness, |_| true);
        }
        assert_eq!(is_refused(&mut harness, "/pay/a"), !is_reachable);
    }
}

// Guards against checks of endpoints that are known to run, and against planned ends that count as crashes.
#[test]
fn unmarked_end_is_not_checked_if_the_endpoint_answers_or_leaves() {
    for is_leaving in [false, true] {
        let mut harness = start();
        let instance = answer_unmarked(&mut harness, "/pay/a");
        if is_leaving {
            let mut leaving = listed(&instance, "shop", Role::Plain);
            leaving.is_leaving = true;
            let change = vec![EndpointListChange::Listed(leaving)];
            harness.apply(RelayEvent::EndpointChanges(change));
        } else {
            harness.advance(ms(10));
            for number in 0..8 {
                answer(&mut harness, &format!("/pay/{number}"), 200);
            }
        }
        run(&mut harness, ms(500), true);
        assert!(end_checks(&mut harness, |_| false).is_empty());
    }
}

/// Lists two more plain endpoints, sends three requests at once and ends the endpoint of each.
fn end_three_together(paths: [&str; 3]) -> RelayHarness {
    let mut harness = start();
    for instance in ["shop-3", "shop-4"] {
        let entry = listed(instance, "shop", Role::Plain);
        let change = EndpointListChange::Listed(entry);
        harness.apply(RelayEvent::EndpointChanges(vec![change]));
    }
    for path in paths {
        harness.submit(path);
    }
    let sends = harness.take_sends();
    let instances: BTreeSet<&Name> = sends.iter().map(|sent| &sent.instance).collect();
    assert_eq!(instances.len(), 3, "{sends:?}");
    harness.advance(ms(30));
    for sent in &sends {
        harness.deliver(sent.exchange, failed());
    }
    run(&mut harness, ms(2_000), true);
    harness
}

fn is_blocked(harness: &mut RelayHarness, path: &str) -> bool {
    let call = harness.submit(path);
    let kind = harness.problem(call).map(|problem| problem.kind);
    kind == Some(ProblemKind::CrashingRequest)
}

// Guards against copies of a request that are sent at once: what ended their endpoints together is the request.
#[test]
fn copies_of_a_request_that_end_endpoints_together_are_blocked() {
    let mut harness = end_three_together(["/pay/1"; 3]);
    assert!(is_blocked(&mut harness, "/pay/1"));
}

// Guards against a cut of the VM's own link that convicts what was in progress.
#[test]
fn different_requests_that_end_endpoints_together_are_not_blocked() {
    let mut harness = end_three_together(["/pay/1", "/pay/2", "/pay/3"]);
    for path in ["/pay/1", "/pay/2", "/pay/3"] {
        assert!(!is_blocked(&mut harness, path));
    }
}

// Guards against an answer with an error status that is retried and then forgotten: its endpoint has not ended.
#[test]
fn error_that_is_retried_clears_the_request() {
    let mut harness = start();
    let records = (1..=2).map(|crash| evidence(request("/look/1"), crash));
    read(&mut harness, records.collect());
    harness.submit("/look/1");
    let first = harness.take_only_send();
    harness.deliver(first.exchange, ExchangeEvent::Complete { status: 500 });
    let second = harness.take_only_send();
    harness.deliver(second.exchange, failed());
    run(&mut harness, ms(2_000), true);
    assert!(!is_blocked(&mut harness, "/look/1"));
}

// Guards against evidence that is lost because VMs take requests before they have agreed on a key for their hashes.
#[test]
fn vm_takes_requests_once_it_has_read_the_hash_key() {
    let is_ready = |harness: &RelayHarness| harness.effects.contains(&RelayEffect::SetReady(true));
    let mut harness = RelayHarness::before_shared_records(1);
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
    let entry = listed("shop-1", "shop", Role::Plain);
    let list = vec![EndpointListChange::Listed(entry)];
    harness.apply(RelayEvent::EndpointChanges(list));
    harness.apply(RelayEvent::SharedRecords {
        records: Vec::new(),
        is_full: true,
    });
    harness.advance(ms(1_000));
    assert!(!is_ready(&harness), "no key is known");
    let key = |number| SharedRecord::HashKey(Some(RequestHashKey(number)));
    read(&mut harness, vec![key(1)]);
    harness.advance(ms(400));
    assert!(!is_ready(&harness), "a newer key may come");
    read(&mut harness, vec![key(2)]);
    harness.advance(ms(700));
    assert!(is_ready(&harness));
    assert_eq!(harness.relay.hash_key(), RequestHashKey(2));
}

// Guards against a VM that never takes requests, because no key can be written.
#[test]
fn vm_without_a_hash_key_takes_requests_after_a_while() {
    let mut harness = RelayHarness::before_shared_records(1);
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
    let entry = listed("shop-1", "shop", Role::Plain);
    let list = vec![EndpointListChange::Listed(entry)];
    harness.apply(RelayEvent::EndpointChanges(list));
    harness.apply(RelayEvent::SharedRecords {
        records: Vec::new(),
        is_full: true,
    });
    harness.advance(ms(3_100));
    assert!(harness.effects.contains(&RelayEffect::SetReady(true)));
}

fn read_shared(harness: &mut RelayHarness, succeeded: bool) {
    harness.apply(RelayEvent::StoreRead {
        topic: StoreTopic::Shared,
        failure: (!succeeded).then_some(StoreReadFailure::Silent),
    });
}

// Guards against a sound request that is blocked just after an outage of the store, before other VMs could tell that it is
// answered.
#[test]
fn request_is_not_blocked_before_other_vms_are_heard_after_an_outage_of_the_store() {
    for is_answered_elsewhere in [true, false] {
        let mut harness = start();
        harness.apply(RelayEvent::EndpointChanges(endpoints(6)));
        run(&mut harness, ms(2_000), true);
        read_shared(&mut harness, false);
        for _ in 0..3 {
            break_off(&mut harness, "/pay/a");
            run(&mut harness, ms(200), false);
        }
        run(&mut harness, ms(1_000), false);
        read_shared(&mut harness, true);
        let appended = run(&mut harness, ms(500), true);
        assert!(!is_refused(&mut harness, "/pay/a"));
        if is_answered_elsewhere {
            let evidence = appended.into_iter().filter_map(|record| match record {
                SharedRecord::Crash { cause, crash, .. } => Some(SharedRecord::Crash {
                    cause,
                    crash,
                    evidence: None,
                }),
                _ => None,
            });
            read(&mut harness, evidence.collect());
        }
        run(&mut harness, ms(2_500), true);
        assert_eq!(is_refused(&mut harness, "/pay/a"), !is_answered_elsewhere);
    }
}

// Guards against a sound request that is blocked during an outage of the store by evidence that other VMs have deleted meanwhile.
#[test]
fn request_is_blocked_during_an_outage_of_the_store_by_own_crashes_only() {
    for is_own in [false, true] {
        let mut harness = start();
        harness.apply(RelayEvent::EndpointChanges(endpoints(6)));
        run(&mut harness, ms(2_000), true);
        if !is_own {
            let records = (1..=2).map(|crash| evidence(request("/pay/a"), crash));
            read(&mut harness, records.collect());
        }
        read_shared(&mut harness, false);
        for _ in 0..if is_own { 3 } else { 1 } {
            break_off(&mut harness, "/pay/a");
            run(&mut harness, ms(200), false);
        }
        run(&mut harness, ms(2_000), false);
        assert_eq!(is_refused(&mut harness, "/pay/a"), is_own);
        read_shared(&mut harness, true);
        run(&mut harness, ms(2_500), true);
        assert!(is_refused(&mut harness, "/pay/a"), "{is_own}");
    }
}
