//! Streams whose version is looked for while the store may not show again what it lost when it returned from an older copy.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::FIRST_ERA;
use arbutusfall_core::relay::LIST_RECOVERY_GRACE;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StreamLookup;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::ms;
use crate::relay_harness::routes;
use crate::relay_harness::store_read;
use crate::relay_stream_versions::engine;
use crate::relay_stream_versions::origin;

/// Era of the store after one return.
const SECOND_ERA: u64 = FIRST_ERA + 1;

/// Number of VMs of a large fleet.
const VM_COUNT: u32 = 195;

/// Step of the clock; the list is read once in it.
const STEP: Duration = Duration::from_millis(100);

/// Applies a read of the endpoint list that was asked for now.
fn read_list(harness: &mut RelayHarness) {
    let as_of = harness.now;
    harness.apply(store_read(true));
    harness.apply(RelayEvent::ListKnown { as_of });
}

fn list_engine(harness: &mut RelayHarness, instance: &str, version: &str) {
    let changes = vec![engine(instance, Role::Decode, version)];
    harness.apply(RelayEvent::EndpointChanges(changes));
}

fn read_shared(harness: &mut RelayHarness, records: &[SharedRecord]) {
    harness.apply(RelayEvent::SharedRecords {
        records: records.to_vec(),
        is_full: true,
    });
}

/// Returns a VM that starts and reads what a store in an era has: an engine of v1 and these records of VMs.
fn started_vm(era: Option<u64>, records: &[SharedRecord]) -> RelayHarness {
    start(RelayHarness::before_shared_records(1), era, records)
}

fn start(mut harness: RelayHarness, era: Option<u64>, records: &[SharedRecord]) -> RelayHarness {
    harness.advance(ms(20));
    if let Some(era) = era {
        harness.apply(RelayEvent::StoreSeen { era });
    }
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
    read_shared(&mut harness, records);
    let as_of = harness.now;
    harness.apply(store_read(true));
    list_engine(&mut harness, "decode-1", "v1");
    harness.apply(RelayEvent::ListKnown { as_of });
    harness.advance(ms(20));
    harness
}

/// Takes up a stream of another VM, of which the store has no record.
fn take_up(harness: &mut RelayHarness) -> CallId {
    harness.submit_resumption("/resumable/1", Some("request-of-a-killed-vm"))
}

/// Answers each lookup of a stream's origin.
fn answer_lookups(harness: &mut RelayHarness, lookup: &StreamLookup) {
    let effects = std::mem::take(&mut harness.effects);
    for effect in effects {
        match effect {
            RelayEffect::FindStream { call, .. } => {
                let lookup = lookup.clone();
                harness.apply(RelayEvent::StreamLookup { call, lookup });
            }
            other => harness.effects.push(other),
        }
    }
}

/// What became of a stream that was taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    WentOn,
    Refused,
    Waits,
}

/// Lets time pass, in which the list is read and the store finds no origin.
fn outcome_after(harness: &mut RelayHarness, call: CallId, time: Duration) -> Outcome {
    let until = harness.now + time;
    loop {
        answer_lookups(harness, &StreamLookup::NotFound);
        if harness.problem(call).is_some() {
            return Outcome::Refused;
        }
        if !harness.take_sends().is_empty() {
            return Outcome::WentOn;
        }
        if harness.now >= until {
            return Outcome::Waits;
        }
        harness.advance(STEP);
        read_list(harness);
    }
}

/// Lets time pass in which the list is read, and confirms all appends; returns the records of VMs that were appended, in their order.
fn appended_in(harness: &mut RelayHarness, time: Duration) -> Vec<SharedRecord> {
    let until = harness.now + time;
    let mut appended = Vec::new();
    while harness.now < until {
        harness.advance(STEP);
        read_list(harness);
        for effect in std::mem::take(&mut harness.effects) {
            let RelayEffect::AppendShared(records) = effect else {
                harness.effects.push(effect);
                continue;
            };
            appended.extend(records);
            harness.apply(RelayEvent::SharedAppended { succeeded: true });
        }
    }
    appended
}

/// Returns how many of the records say that an era is restored.
fn count_restored(records: &[SharedRecord], era: u64) -> usize {
    let of_era = |record: &&SharedRecord| **record == SharedRecord::RestoredEra(era);
    records.iter().filter(of_era).count()
}

// Guards against streams of two versions: the store returned from a copy without the second one, and a VM that starts then takes the first
// one for the only one.
#[test]
fn stream_of_a_killed_vm_is_refused_if_the_list_shows_a_second_version_after_the_return() {
    for listed_after in [100, 700, 1_500, 2_000] {
        let mut harness = started_vm(Some(SECOND_ERA), &[]);
        let call = take_up(&mut harness);
        let waits = outcome_after(&mut harness, call, ms(listed_after));
        assert_eq!(waits, Outcome::Waits, "{listed_after} ms");
        list_engine(&mut harness, "decode-2", "v2");
        let outcome = outcome_after(&mut harness, call, ms(3_000));
        assert_eq!(outcome, Outcome::Refused, "{listed_after} ms");
    }
}

// Guards against the loss of streams after the same kill and return if they can only be of the one version that there is.
#[test]
fn stream_of_a_killed_vm_goes_on_after_a_return_once_the_only_version_is_known_as_such() {
    for taken_up_after in [0, 300, 1_000, 2_000] {
        let mut harness = started_vm(Some(SECOND_ERA), &[]);
        harness.advance(ms(taken_up_after));
        read_list(&mut harness);
        let call = take_up(&mut harness);
        let outcome = outcome_after(&mut harness, call, LIST_RECOVERY_GRACE + STEP);
        assert_eq!(outcome, Outcome::WentOn, "{taken_up_after} ms");
    }
}

// Guards against streams that wait although the store did not return, or did so long ago.
#[test]
fn stream_of_a_killed_vm_goes_on_at_once_without_a_return_of_late() {
    let restored = [SharedRecord::RestoredEra(SECOND_ERA)];
    for (era, records) in [
        (None, &[][..]),
        (Some(FIRST_ERA), &[]),
        (Some(SECOND_ERA), &restored),
    ] {
        let mut harness = started_vm(era, records);
        let call = take_up(&mut harness);
        let outcome = outcome_after(&mut harness, call, ms(200));
        assert_eq!(outcome, Outcome::WentOn, "{era:?}");
    }
}

// Guards against a record of the era before, which the copy still has, that is taken for one of this era.
#[test]
fn record_of_an_earlier_era_does_not_show_that_the_store_is_restored() {
    let mut harness = started_vm(
        Some(SECOND_ERA + 1),
        &[SharedRecord::RestoredEra(SECOND_ERA)],
    );
    let call = take_up(&mut harness);
    let outcome = outcome_after(&mut harness, call, ms(1_500));
    assert_eq!(outcome, Outcome::Waits);
}

// Guards against a list from before the endpoints have written their entries again, which another VM passes on late.
#[test]
fn list_that_was_read_too_early_does_not_show_the_only_version() {
    let mut harness = started_vm(Some(SECOND_ERA), &[]);
    let as_of = harness.now + ms(2_000);
    harness.advance(LIST_RECOVERY_GRACE);
    harness.apply(store_read(true));
    harness.apply(RelayEvent::ListKnown { as_of });
    let call = take_up(&mut harness);
    answer_lookups(&mut harness, &StreamLookup::NotFound);
    assert_eq!(harness.take_sends(), []);
    let outcome = outcome_after(&mut harness, call, ms(300));
    assert_eq!(outcome, Outcome::WentOn);
}

// Guards against a second return, during which the first one's record or waiting time counts.
#[test]
fn second_return_in_a_row_makes_streams_wait_again() {
    let mut harness = started_vm(Some(SECOND_ERA), &[]);
    let call = take_up(&mut harness);
    assert_eq!(outcome_after(&mut harness, call, ms(1_500)), Outcome::Waits);
    harness.apply(RelayEvent::StoreReturned {
        previous: SECOND_ERA,
        era: SECOND_ERA + 1,
    });
    let other = take_up(&mut harness);
    let outcome = outcome_after(&mut harness, other, ms(1_500));
    assert_eq!(outcome, Outcome::Waits);
    let outcome = outcome_after(&mut harness, other, ms(900));
    assert_eq!(outcome, Outcome::WentOn);
}

// Guards against streams of two versions at a VM that was not killed: the store lost the second version before the VM had read of it.
#[test]
fn vm_that_has_run_for_long_waits_after_a_return_too() {
    let mut harness = started_vm(Some(FIRST_ERA), &[]);
    for _ in 0..400 {
        harness.advance(STEP);
        read_list(&mut harness);
    }
    harness.apply(RelayEvent::StoreReturned {
        previous: FIRST_ERA,
        era: SECOND_ERA,
    });
    let call = take_up(&mut harness);
    let outcome = outcome_after(&mut harness, call, ms(1_500));
    assert_eq!(outcome, Outcome::Waits);
    list_engine(&mut harness, "decode-2", "v2");
    let outcome = outcome_after(&mut harness, call, ms(1_500));
    assert_eq!(outcome, Outcome::Refused);
}

// Guards against waiting for what a VM that lives has recorded again.
#[test]
fn stream_goes_on_when_its_origin_is_found_while_others_wait() {
    let mut harness = started_vm(Some(SECOND_ERA), &[]);
    let waiting = take_up(&mut harness);
    assert_eq!(
        outcome_after(&mut harness, waiting, ms(300)),
        Outcome::Waits
    );
    let found = take_up(&mut harness);
    answer_lookups(&mut harness, &StreamLookup::Found(origin("v1")));
    assert_eq!(harness.take_sends().len(), 1);
    assert!(harness.problem(found).is_none());
}

// Guards against a caller that leaves during the wait: it is told at once when to come back, and goes on then.
#[test]
fn caller_that_bears_no_such_gap_is_refused_at_once_and_comes_back_in_time() {
    let mut harness = started_vm(Some(SECOND_ERA), &[]);
    let mut table = routes(2);
    for route in &mut table.routes {
        route.latency_target = ms(300);
        route.event_interval_target = ms(100);
    }
    harness.apply(RelayEvent::NewConfig(Arc::new(table)));
    let call = take_up(&mut harness);
    assert_eq!(outcome_after(&mut harness, call, ms(200)), Outcome::Refused);
    let problem = harness.problem(call).expect("it was refused");
    let after = problem.retry_after.expect("it may come back");
    let left = LIST_RECOVERY_GRACE.saturating_sub(harness.now);
    assert!(after >= left, "{after:?} is before the list is complete");
    assert!(after <= LIST_RECOVERY_GRACE, "{after:?}");
    appended_in(&mut harness, after);
    let again = take_up(&mut harness);
    let outcome = outcome_after(&mut harness, again, ms(500));
    assert_eq!(outcome, Outcome::WentOn);
}

// Guards against VMs that start later and wait although the store has been restored for long, and against a record by which they don't
// wait although it isn't.
#[test]
fn restored_era_is_recorded_once_all_entries_are_back_and_only_if_it_is_not_yet() {
    let recorded = [SharedRecord::RestoredEra(SECOND_ERA)];
    for (era, records, is_recorded) in [
        (Some(SECOND_ERA), &[][..], true),
        (Some(SECOND_ERA), &recorded, false),
        (Some(FIRST_ERA), &[], false),
        (None, &[], false),
    ] {
        let mut harness = started_vm(era, records);
        let early = appended_in(&mut harness, LIST_RECOVERY_GRACE - STEP);
        assert_eq!(count_restored(&early, SECOND_ERA), 0, "{era:?}");
        let late = appended_in(&mut harness, ms(2_000));
        let count = count_restored(&late, SECOND_ERA);
        assert_eq!(count, usize::from(is_recorded), "{era:?} {records:?}");
        assert_eq!(count_restored(&late, FIRST_ERA), 0);
    }
}

// Guards against a record of a restored era that other VMs read before the versions that the store lost.
#[test]
fn restored_era_is_not_recorded_before_the_versions_that_the_store_lost() {
    let mut harness = started_vm(Some(FIRST_ERA), &[]);
    list_engine(&mut harness, "decode-2", "v2");
    appended_in(&mut harness, ms(1_000));
    let second = SharedRecord::Version {
        service: "model".into(),
        version: "v2".into(),
        is_recent: true,
    };
    harness.apply(RelayEvent::SharedRecords {
        records: vec![second.clone()],
        is_full: false,
    });
    harness.apply(RelayEvent::StoreReturned {
        previous: FIRST_ERA,
        era: SECOND_ERA,
    });
    let before = appended_in(&mut harness, ms(4_000));
    assert_eq!(
        count_restored(&before, SECOND_ERA),
        0,
        "the records of VMs are not read again"
    );
    read_shared(&mut harness, &[]);
    let appended = appended_in(&mut harness, ms(1_000));
    let restored = SharedRecord::RestoredEra(SECOND_ERA);
    let place = |sought: &SharedRecord| appended.iter().position(|record| record == sought);
    let version = place(&second);
    assert!(
        version.is_some() && version < place(&restored),
        "{appended:?}"
    );
}

// Guards against records of all VMs at once, and against VMs of which some wait for longer: many VMs start after a return.
#[test]
fn many_vms_that_start_after_a_return_record_it_a_few_times_and_take_all_streams_up() {
    let start_one = |seed| {
        let harness = RelayHarness::one_of(VM_COUNT, seed);
        start(harness, Some(SECOND_ERA), &[])
    };
    let mut vms: Vec<RelayHarness> = (0..u64::from(VM_COUNT)).map(start_one).collect();
    let calls: Vec<CallId> = vms.iter_mut().map(take_up).collect();
    let mut went_on = vec![false; vms.len()];
    let mut recorded = 0;
    for _ in 0..40 {
        let mut appended = Vec::new();
        for (vm, has_gone_on) in vms.iter_mut().zip(&mut went_on) {
            appended.extend(appended_in(vm, STEP));
            answer_lookups(vm, &StreamLookup::NotFound);
            *has_gone_on |= !vm.take_sends().is_empty();
        }
        recorded += count_restored(&appended, SECOND_ERA);
        for vm in &mut vms {
            vm.apply(RelayEvent::SharedRecords {
                records: appended.clone(),
                is_full: false,
            });
        }
    }
    for (vm, call) in vms.iter().zip(&calls) {
        assert!(vm.problem(*call).is_none());
    }
    assert!(went_on.iter().all(|has_gone_on| *has_gone_on));
    let most = usize::try_from(VM_COUNT / 10).expect("it is small");
    assert!((1..=most).contains(&recorded), "{recorded} records");
}
