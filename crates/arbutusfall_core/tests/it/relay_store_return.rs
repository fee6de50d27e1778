//! The store's return from an older copy: what the relay knows beyond the copy stays in force.

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::LeaseAnswer;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;

use crate::relay_harness::LEASE_LIFETIME;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::store_read;

fn return_store(harness: &mut RelayHarness) {
    harness.apply(RelayEvent::StoreReturned {
        previous: 0,
        era: 1,
    });
}

fn held_lease(harness: &mut RelayHarness) -> Option<bool> {
    let effects = std::mem::take(&mut harness.effects);
    let held = effects.iter().filter_map(|effect| match effect {
        RelayEffect::Note(RelayNotice::Lease { held, .. }) => Some(*held),
        _ => None,
    });
    held.reduce(|_, last| last)
}

// Guards against orders with a fencing token that may have been given out before the return, to this VM or another.
#[test]
fn lease_counts_after_a_return_only_with_a_higher_token() {
    let mut harness = RelayHarness::configured(1);
    harness.apply(RelayEvent::Lease(LeaseAnswer::Held { token: 7 }));
    assert_eq!(held_lease(&mut harness), Some(true));
    return_store(&mut harness);
    assert_eq!(held_lease(&mut harness), Some(false));
    for token in [5, 6, 7] {
        harness.apply(RelayEvent::Lease(LeaseAnswer::Held { token }));
        // Released, so that the next holder gets a higher token.
        assert!(
            harness.effects.contains(&RelayEffect::ReleaseLease),
            "{token}"
        );
        assert_eq!(held_lease(&mut harness), None, "{token}");
        harness.advance(LEASE_LIFETIME);
    }
    harness.apply(RelayEvent::Lease(LeaseAnswer::Held { token: 8 }));
    assert_eq!(held_lease(&mut harness), Some(true));
}

// Guards against removing endpoints at once that the copy does not know: they write their entries again.
#[test]
fn endpoints_that_the_copy_does_not_know_are_kept_for_the_grace_period() {
    let mut harness = RelayHarness::configured(1);
    harness.apply(store_read(true));
    return_store(&mut harness);
    let rest = vec!["shop-1".into()];
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::FullList(rest),
    ]));
    harness.submit("/stream/1");
    assert_eq!(harness.take_sends().len(), 1, "an engine is known");
    harness.advance(ms(2_500));
    harness.effects.clear();
    let call = harness.submit("/stream/2");
    assert!(
        harness.problem(call).is_some(),
        "no engine is known any more"
    );
}

// Guards against requests to an endpoint that is leaving, because the copy is older than its notice.
#[test]
fn endpoint_that_is_leaving_gets_no_requests_although_the_copy_says_that_it_is_ready() {
    let mut harness = RelayHarness::configured(1);
    let instance = "shop-2".into();
    let removed = EndpointListChange::Removed { instance };
    harness.apply(RelayEvent::EndpointChanges(vec![removed]));
    let ready = listed("shop-1", "shop", Role::Plain);
    let leaving = ListedEndpoint {
        is_leaving: true,
        ..ready.clone()
    };
    let instance = ready.instance.clone();
    let restarted = ListedEndpoint {
        started_unix_ms: Some(2),
        ..ready.clone()
    };
    let steps = [
        (EndpointListChange::Listed(leaving), false),
        (EndpointListChange::Listed(ready.clone()), false),
        (EndpointListChange::Removed { instance }, false),
        (EndpointListChange::Listed(ready), false),
        (EndpointListChange::Listed(restarted), true),
    ];
    for (change, may_be_sent) in steps {
        return_store(&mut harness);
        harness.apply(RelayEvent::EndpointChanges(vec![change.clone()]));
        harness.advance(ms(3_000));
        harness.effects.clear();
        harness.submit("/look/1");
        let is_sent = !harness.take_sends().is_empty();
        assert_eq!(is_sent, may_be_sent, "{change:?}");
    }
}

// Guards against origins of streams that only the lost part of the store knew.
#[test]
fn origins_of_streams_are_recorded_again() {
    let mut harness = RelayHarness::configured(1);
    let second = ListedEndpoint {
        version: "v2".into(),
        ..listed("decode-9", "model", Role::Decode)
    };
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Listed(second),
    ]));
    let (_, decode) = harness.start_stream("/resumable/1");
    let last_event_id = Some(1);
    harness.deliver(decode.exchange, ExchangeEvent::Progress { last_event_id });
    for _ in 0..2 {
        harness.advance(ms(500));
        let is_append = |effect: &RelayEffect| matches!(effect, RelayEffect::RecordStreams(_));
        let appends = harness.effects.iter().filter(|effect| is_append(effect));
        assert_eq!(appends.count(), 1);
        harness.effects.clear();
        harness.apply(RelayEvent::StreamsRecorded { succeeded: true });
        return_store(&mut harness);
    }
}
