//! Endpoints that have started again, under their id: what is learnt from exchanges with the process before says nothing of the next.

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;

use crate::relay_harness::CLOSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::UNREACHABLE;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

/// Reads the entry of an endpoint's next process.
fn restart(harness: &mut RelayHarness, instance: &str, service: &str, role: Role) {
    let entry = ListedEndpoint {
        started_unix_ms: Some(2),
        ..listed(instance, service, role)
    };
    let changes = vec![EndpointListChange::Listed(entry)];
    harness.apply(RelayEvent::EndpointChanges(changes));
}

/// Sends lookups until one reaches an endpoint.
fn lookup_at(harness: &mut RelayHarness, instance: &str) -> SendCommand {
    for _ in 0..50 {
        harness.submit("/look/1");
        for sent in harness.take_sends() {
            if &*sent.instance == instance {
                return sent;
            }
            let complete = ExchangeEvent::Complete { status: 200 };
            harness.deliver(sent.exchange, complete);
        }
    }
    panic!("{instance} gets no request");
}

// Guards against a process that gets no requests because the one before it said that it leaves, asked for rest or broke off.
#[test]
fn late_word_of_the_process_before_does_not_keep_requests_from_an_endpoint() {
    let rest = ms(60_000);
    for event in [
        ExchangeEvent::Leaving,
        ExchangeEvent::RestAsked { rest },
        CLOSED,
    ] {
        let mut harness = RelayHarness::configured(1);
        let old = lookup_at(&mut harness, "shop-1");
        restart(&mut harness, "shop-1", "shop", Role::Plain);
        harness.deliver(old.exchange, event);
        harness.effects.clear();
        let answered = lookup_at(&mut harness, "shop-1");
        harness.deliver(answered.exchange, ExchangeEvent::Complete { status: 200 });
    }
}

// Guards against a reservation of another request that is freed: the next process may give out the same ids.
#[test]
fn reservation_of_the_process_before_is_not_freed_at_the_next_one() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/stream/1");
    let reserve = harness.take_only_send();
    let reservation = "reservation".into();
    harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
    restart(&mut harness, &reserve.instance, "model", Role::Decode);
    harness.apply(RelayEvent::CallerGone { call });
    let frees = |effect: &RelayEffect| matches!(effect, RelayEffect::FreeReservation { .. });
    assert!(!harness.effects.iter().any(frees));
}

// Guards against a request that goes on from the KV cache of another one: the next process may give out the same handles.
#[test]
fn prefill_result_of_the_process_before_is_neither_fetched_nor_freed_at_the_next_one() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/resumable/1");
    let decode = harness.advance_to_decode();
    let Work::Decode {
        source: Some(source),
        ..
    } = &decode.work
    else {
        panic!("no prefill result: {decode:?}");
    };
    for instance in ["prefill-1", "prefill-2"] {
        restart(&mut harness, instance, "model", Role::Prefill);
    }
    harness.deliver(decode.exchange, UNREACHABLE);
    let reserve = harness.take_only_send();
    let reservation = "second".into();
    harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
    let next = harness.take_only_send();
    let is_fetched =
        matches!(&next.work, Work::Decode { source: Some(fetched), .. } if fetched == source);
    assert!(!is_fetched, "{next:?}");
    harness.apply(RelayEvent::CallerGone { call });
    let frees = |effect: &RelayEffect| matches!(effect, RelayEffect::FreeKvCache(_));
    assert!(!harness.effects.iter().any(frees));
}
