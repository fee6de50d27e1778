//! The key of the hashes of requests, on which all VMs agree.

use std::sync::Arc;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::SharedRecord;

use crate::relay_crash_fixtures::read;
use crate::relay_crash_fixtures::run;
use crate::relay_crash_fixtures::start;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

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

/// Returns a VM that has routes, an endpoint and no records of other VMs.
fn start_without_shared_records() -> RelayHarness {
    let mut harness = RelayHarness::before_shared_records(1);
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
    let entry = listed("shop-1", "shop", Role::Plain);
    let list = vec![EndpointListChange::Listed(entry)];
    harness.apply(RelayEvent::EndpointChanges(list));
    harness.apply(RelayEvent::SharedRecords {
        records: Vec::new(),
        is_full: true,
    });
    harness
}

// Guards against evidence that is lost because VMs take requests before they have agreed on a key for their hashes.
#[test]
fn vm_takes_requests_once_it_has_read_the_hash_key() {
    let is_ready = |harness: &RelayHarness| harness.effects.contains(&RelayEffect::SetReady(true));
    let mut harness = start_without_shared_records();
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
    let mut harness = start_without_shared_records();
    harness.advance(ms(3_100));
    assert!(harness.effects.contains(&RelayEffect::SetReady(true)));
}
