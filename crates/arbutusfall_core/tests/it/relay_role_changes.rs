//! Role changes that one VM orders and all VMs heed.

use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::LeaseAnswer;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RoleOutcome;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::Work;
use arbutusfall_wire::Name;

use crate::relay_harness::LEASE_LIFETIME;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

/// Duration of a role change in the harness's configuration, and a little more.
const CHANGED: Duration = Duration::from_millis(6_100);

fn role_changes(changes: &[(&str, Role)]) -> SharedRecord {
    let changes = changes.iter().map(|(name, role)| ((*name).into(), *role));
    SharedRecord::RoleChanges {
        service: "model".into(),
        changes: changes.collect(),
    }
}

fn read_shared(harness: &mut RelayHarness, record: SharedRecord) {
    harness.apply(RelayEvent::SharedRecords {
        records: vec![record],
        is_full: false,
    });
}

/// Runs some streams one after the other and returns the engines that prefilled them.
fn prefill_engines_of_streams(harness: &mut RelayHarness, streams: usize) -> Vec<Name> {
    let mut used = Vec::new();
    for index in 0..streams {
        harness.submit(&format!("/stream/{index}"));
        let reserve = harness.take_only_send();
        let reservation = "r".into();
        harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
        let prefill = harness.take_only_send();
        assert_eq!(prefill.work, Work::Prefill);
        harness.now += ms(50);
        let handle = "h".into();
        harness.deliver(prefill.exchange, ExchangeEvent::PrefillDone { handle });
        let decode = harness.take_only_send();
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
        harness.take_sends();
        used.push(prefill.instance);
    }
    used
}

// Guards against prefills that are sent to an engine that refuses them because another VM has ordered it to change its
// role: each is a rejected arrival, and together they used up the retry budget.
#[test]
fn no_prefill_goes_to_an_engine_that_changes_its_role_for_another_vm() {
    let mut harness = RelayHarness::configured(1);
    read_shared(&mut harness, role_changes(&[("prefill-1", Role::Decode)]));
    let used = prefill_engines_of_streams(&mut harness, 20);
    assert!(
        used.iter().all(|engine| &**engine == "prefill-2"),
        "{used:?}"
    );
    harness.advance(CHANGED);
    let instance = "prefill-2".into();
    let removed = vec![EndpointListChange::Removed { instance }];
    harness.apply(RelayEvent::EndpointChanges(removed));
    let used = prefill_engines_of_streams(&mut harness, 5);
    assert!(
        used.iter().all(|engine| &**engine == "prefill-1"),
        "{used:?}"
    );
}

// Guards against an engine that stays unused after the list shows that its change is done.
#[test]
fn engine_is_used_in_its_new_role_as_soon_as_it_is_listed() {
    let mut harness = RelayHarness::configured(1);
    read_shared(&mut harness, role_changes(&[("decode-1", Role::Prefill)]));
    harness.advance(ms(2_000));
    let changed = listed("decode-1", "model", Role::Prefill);
    let changes = vec![EndpointListChange::Listed(changed)];
    harness.apply(RelayEvent::EndpointChanges(changes));
    let used = prefill_engines_of_streams(&mut harness, 30);
    assert!(
        used.iter().any(|engine| &**engine == "decode-1"),
        "{used:?}"
    );
}

// Guards against engines that a VM avoids for seconds after its start because of changes from long ago.
#[test]
fn changes_that_were_read_at_the_start_are_not_heeded() {
    let mut harness = RelayHarness::configured(1);
    harness.apply(RelayEvent::SharedRecords {
        records: vec![role_changes(&[("prefill-1", Role::Decode)])],
        is_full: true,
    });
    let used = prefill_engines_of_streams(&mut harness, 20);
    assert!(
        used.iter().any(|engine| &**engine == "prefill-1"),
        "{used:?}"
    );
}

fn shared_role_changes(harness: &RelayHarness) -> Vec<SharedRecord> {
    let appended = harness.effects.iter().filter_map(|effect| match effect {
        RelayEffect::AppendShared(records) => Some(records.clone()),
        _ => None,
    });
    let appended = appended.flatten();
    appended
        .filter(|record| matches!(record, SharedRecord::RoleChanges { .. }))
        .collect()
}

fn order_one_engine(harness: &mut RelayHarness) -> Name {
    for _ in 0..400 {
        harness.apply(RelayEvent::Lease(LeaseAnswer::Held { token: 7 }));
        harness.advance(ms(100));
        let ordered = harness.effects.iter().find_map(|effect| match effect {
            RelayEffect::OrderRole { instance, .. } => Some(instance.clone()),
            _ => None,
        });
        if let Some(instance) = ordered {
            harness.effects.clear();
            return instance;
        }
    }
    panic!("no engine was ordered");
}

fn holder_with_a_surplus_of_prefill() -> RelayHarness {
    let mut harness = RelayHarness::configured(1);
    let more = (3..=5).map(|index| listed(&format!("prefill-{index}"), "model", Role::Prefill));
    let more = more.map(EndpointListChange::Listed);
    harness.apply(RelayEvent::EndpointChanges(more.collect()));
    harness.apply(RelayEvent::Lease(LeaseAnswer::Held { token: 7 }));
    harness.advance(LEASE_LIFETIME);
    for index in 0..40 {
        harness.start_stream(&format!("/stream/{index}"));
        harness.advance(ms(100));
        harness.effects.clear();
        harness.apply(RelayEvent::Lease(LeaseAnswer::Held { token: 7 }));
    }
    harness
}

// Guards against a change that only the VM that ordered it knows of.
#[test]
fn holder_shares_a_change_once_the_engine_has_accepted_it() {
    for outcome in [RoleOutcome::Accepted, RoleOutcome::Refused] {
        let mut harness = holder_with_a_surplus_of_prefill();
        let instance = order_one_engine(&mut harness);
        assert_eq!(shared_role_changes(&harness), []);
        harness.apply(RelayEvent::RoleOutcome {
            instance: instance.clone(),
            outcome,
        });
        harness.advance(ms(200));
        let shared = shared_role_changes(&harness);
        if outcome == RoleOutcome::Accepted {
            assert_eq!(shared, [role_changes(&[(&*instance, Role::Decode)])]);
        } else {
            assert_eq!(shared, []);
        }
    }
}
