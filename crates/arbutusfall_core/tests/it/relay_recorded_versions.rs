//! Software versions that VMs record for VMs that start later.

use std::sync::Arc;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_core::relay::StreamLookup;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;
use crate::relay_harness::store_read;
use crate::relay_stream_versions::engine;
use crate::relay_stream_versions::relay_with_engines;

fn recorded_version(version: &str, is_recent: bool) -> SharedRecord {
    SharedRecord::Version {
        service: "model".into(),
        version: version.into(),
        is_recent,
    }
}

/// Takes the appended records of versions of the model service from the effects.
fn take_recorded_versions(harness: &mut RelayHarness) -> Vec<SharedRecord> {
    let effects = std::mem::take(&mut harness.effects);
    let appended = effects.into_iter().filter_map(|effect| match effect {
        RelayEffect::AppendShared(records) => Some(records),
        _ => None,
    });
    let records: Vec<SharedRecord> = appended.flatten().collect();
    harness.apply(RelayEvent::SharedAppended { succeeded: true });
    let is_version = |record: &SharedRecord| matches!(record, SharedRecord::Version { service, .. } if &**service == "model");
    records.into_iter().filter(is_version).collect()
}

// Guards against a stream whose first part is of a version that has left and the rest of a newer one: all VMs were killed at once, and
// those that started since have never seen the older version.
#[test]
fn stream_of_a_killed_vm_is_refused_if_another_version_left_of_late() {
    for (recorded, is_refused) in [(&["v1", "v2"][..], true), (&["v2"], false)] {
        let mut harness = RelayHarness::before_shared_records(1);
        harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
        let versions = recorded.iter();
        harness.apply(RelayEvent::SharedRecords {
            records: versions
                .map(|version| recorded_version(version, true))
                .collect(),
            is_full: true,
        });
        harness.apply(store_read(true));
        let listed = vec![engine("decode-1", Role::Decode, "v2")];
        harness.apply(RelayEvent::EndpointChanges(listed));
        let call = harness.submit_resumption("/resumable/1", Some("request-of-a-killed-vm"));
        for _ in 0..10 {
            let lookup = StreamLookup::NotFound;
            harness.apply(RelayEvent::StreamLookup { call, lookup });
            harness.advance(ms(60));
        }
        assert_eq!(harness.problem(call).is_some(), is_refused, "{recorded:?}");
        assert_eq!(harness.take_sends().is_empty(), is_refused, "{recorded:?}");
    }
}

// Guards against a version that is never recorded because the configuration is read after the list and the records: the services are
// not known before.
#[test]
fn version_is_recorded_in_whatever_order_a_vm_reads_its_facts() {
    let facts = [
        RelayEvent::NewConfig(Arc::new(routes(1))),
        RelayEvent::EndpointChanges(vec![engine("decode-1", Role::Decode, "v1")]),
        RelayEvent::SharedRecords {
            records: Vec::new(),
            is_full: true,
        },
    ];
    for order in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ] {
        let mut harness = RelayHarness::before_shared_records(1);
        for number in order {
            harness.apply(facts[number].clone());
        }
        harness.advance(ms(500));
        assert_eq!(
            take_recorded_versions(&mut harness),
            [recorded_version("v1", true)],
            "{order:?}"
        );
    }
}

// Guards against a stream that goes on at a newer version because a VM that starts could not read the recorded versions: the store
// answers for streams, and not for records.
#[test]
fn unknown_stream_is_refused_until_the_recorded_versions_are_read() {
    let mut harness = RelayHarness::before_shared_records(1);
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
    harness.apply(store_read(true));
    let listed = vec![engine("decode-1", Role::Decode, "v2")];
    harness.apply(RelayEvent::EndpointChanges(listed));
    harness.apply(RelayEvent::StoreRead {
        topic: StoreTopic::Shared,
        failure: Some(StoreReadFailure::Silent),
    });
    for is_read in [false, true] {
        if is_read {
            harness.apply(RelayEvent::SharedRecords {
                records: Vec::new(),
                is_full: true,
            });
        }
        let call = harness.submit_resumption("/resumable/1", Some("request-of-a-killed-vm"));
        let lookup = StreamLookup::NotFound;
        harness.apply(RelayEvent::StreamLookup { call, lookup });
        assert_eq!(harness.problem(call).is_none(), is_read);
    }
}

// Guards against records that another writer's entries fill the topic with, or whose key is too long for the store.
#[test]
fn versions_of_unknown_services_and_very_long_ones_are_not_recorded() {
    let mut harness = relay_with_engines(1, &[("decode-1", "v1")]);
    let long = "v".repeat(200);
    let changes = vec![
        engine("decode-2", Role::Decode, &long),
        EndpointListChange::Listed(listed("other-1", "other", Role::Plain)),
    ];
    harness.apply(RelayEvent::EndpointChanges(changes));
    harness.advance(ms(500));
    let is_append = |effect: &RelayEffect| matches!(effect, RelayEffect::AppendShared(_));
    assert!(!harness.effects.iter().any(is_append));
}

// Guards against versions that no VM has recorded when all are killed, and against records that stay for ever.
#[test]
fn versions_are_recorded_when_they_appear_and_deleted_when_no_stream_of_them_can_come_back() {
    let mut harness = relay_with_engines(1, &[("decode-1", "v1")]);
    let shared = |harness: &mut RelayHarness, record| {
        harness.apply(RelayEvent::SharedRecords {
            records: vec![record],
            is_full: false,
        });
    };
    let changes = vec![
        engine("decode-2", Role::Decode, "v2"),
        engine("prefill-1", Role::Prefill, "v2"),
        EndpointListChange::Removed {
            instance: "decode-1".into(),
        },
    ];
    harness.apply(RelayEvent::EndpointChanges(changes.clone()));
    harness.advance(ms(500));
    assert_eq!(
        take_recorded_versions(&mut harness),
        [recorded_version("v2", true)]
    );
    shared(&mut harness, recorded_version("v2", true));
    harness.advance(ms(28_000));
    harness.apply(RelayEvent::EndpointChanges(changes[..1].to_vec()));
    harness.advance(ms(500));
    assert_eq!(take_recorded_versions(&mut harness), []);
    harness.advance(ms(3_000));
    harness.apply(RelayEvent::EndpointChanges(changes[..1].to_vec()));
    harness.advance(ms(500));
    assert_eq!(
        take_recorded_versions(&mut harness),
        [recorded_version("v1", false)]
    );
}
