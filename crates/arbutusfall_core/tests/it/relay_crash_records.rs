//! Records of crashes and blocks in the store: how many are kept and written, and what happens while the store is away.

use std::collections::BTreeSet;
use std::sync::Arc;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedKey;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;

use crate::relay_crash_fixtures::answer;
use crate::relay_crash_fixtures::block;
use crate::relay_crash_fixtures::break_off;
use crate::relay_crash_fixtures::endpoints;
use crate::relay_crash_fixtures::evidence;
use crate::relay_crash_fixtures::is_refused;
use crate::relay_crash_fixtures::read;
use crate::relay_crash_fixtures::request;
use crate::relay_crash_fixtures::run;
use crate::relay_crash_fixtures::start;
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

fn read_shared(harness: &mut RelayHarness, succeeded: bool) {
    harness.apply(RelayEvent::StoreRead {
        topic: StoreTopic::Shared,
        failure: (!succeeded).then_some(StoreReadFailure::Silent),
    });
}

/// Returns the records with which another VM deletes the evidence in these.
fn deletions(records: Vec<SharedRecord>) -> Vec<SharedRecord> {
    let deletions = records.into_iter().filter_map(|record| match record {
        SharedRecord::Crash { cause, crash, .. } => Some(SharedRecord::Crash {
            cause,
            crash,
            evidence: None,
        }),
        _ => None,
    });
    deletions.collect()
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
            read(&mut harness, deletions(appended));
        }
        run(&mut harness, ms(2_500), true);
        assert_eq!(is_refused(&mut harness, "/pay/a"), !is_answered_elsewhere);
    }
}

// Guards against a sound request that a VM blocks on resuming from a pause, before it reads that another VM has cleared it.
#[test]
fn request_is_not_blocked_before_other_vms_are_heard_after_a_pause() {
    for is_answered_elsewhere in [true, false] {
        let mut harness = start();
        harness.apply(RelayEvent::EndpointChanges(endpoints(6)));
        run(&mut harness, ms(2_000), true);
        let mut appended = Vec::new();
        for _ in 0..3 {
            break_off(&mut harness, "/pay/a");
            appended.extend(run(&mut harness, ms(200), true));
        }
        harness.now += ms(2_500);
        harness.apply(RelayEvent::Tick);
        assert!(!is_refused(&mut harness, "/pay/a"));
        if is_answered_elsewhere {
            read(&mut harness, deletions(appended));
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
