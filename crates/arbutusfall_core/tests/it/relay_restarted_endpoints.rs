//! Endpoints that have started again, under their id: what is learnt from exchanges with the process before says nothing of the next.

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;

use crate::relay_harness::CLOSED;
use crate::relay_harness::RelayHarness;
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
