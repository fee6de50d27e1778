//! Endpoints that ask for rest.

use std::collections::BTreeSet;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::Work;

use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

const OK: ExchangeEvent = ExchangeEvent::Complete { status: 200 };

/// Sends requests until one reaches the endpoint, which turns it away and asks for rest.
fn rest(harness: &mut RelayHarness, instance: &str, rest_ms: u64) {
    loop {
        harness.submit("/look/1");
        for sent in harness.take_sends() {
            if &*sent.instance == instance {
                let rest = ms(rest_ms);
                harness.deliver(sent.exchange, ExchangeEvent::RestAsked { rest });
                harness.deliver(sent.exchange, REFUSED);
                for again in harness.take_sends() {
                    harness.deliver(again.exchange, OK);
                }
                return;
            }
            harness.deliver(sent.exchange, OK);
        }
    }
}

/// Returns whether any of many requests is sent to the endpoint.
fn is_used(harness: &mut RelayHarness, instance: &str) -> bool {
    let mut is_used = false;
    for _ in 0..30 {
        harness.submit("/look/2");
        for sent in harness.take_sends() {
            is_used |= &*sent.instance == instance;
            harness.deliver(sent.exchange, OK);
        }
    }
    is_used
}

// Guards against an earlier, shorter rest that ends a longer one, and against a rest without an end.
#[test]
fn longest_rest_holds_until_its_end() {
    let mut harness = RelayHarness::configured(1);
    rest(&mut harness, "shop-1", 3_000);
    harness.apply(RelayEvent::ControlRest {
        instance: "shop-1".into(),
        rest: ms(500),
    });
    harness.advance(ms(2_990));
    assert!(!is_used(&mut harness, "shop-1"));
    // Up to a quarter of a second is added at random.
    harness.advance(ms(260));
    assert!(is_used(&mut harness, "shop-1"));
}

// Guards against a rest that a new run of the endpoint's process is held to.
#[test]
fn rest_ends_when_the_endpoint_starts_again() {
    let mut harness = RelayHarness::configured(1);
    rest(&mut harness, "shop-1", 60_000);
    let mut restarted = listed("shop-1", "shop", Role::Plain);
    restarted.started_unix_ms = Some(2);
    let changes = vec![EndpointListChange::Listed(restarted)];
    harness.apply(RelayEvent::EndpointChanges(changes));
    assert!(is_used(&mut harness, "shop-1"));
}

// Guards against a heartbeat in the list that ends a rest.
#[test]
fn rest_outlasts_changes_of_the_entry_in_the_list() {
    let mut harness = RelayHarness::configured(1);
    rest(&mut harness, "shop-1", 3_000);
    let changes = vec![EndpointListChange::Listed(listed(
        "shop-1",
        "shop",
        Role::Plain,
    ))];
    harness.apply(RelayEvent::EndpointChanges(changes));
    assert!(!is_used(&mut harness, "shop-1"));
}

// Guards against load that returns all at once after a rest.
#[test]
fn load_of_an_endpoint_returns_softly_after_a_rest() {
    let mut harness = RelayHarness::configured(1);
    rest(&mut harness, "shop-1", 1_000);
    harness.advance(ms(1_300));
    let mut sent_to_rested = Vec::new();
    for _ in 0..30 {
        harness.submit("/look/3");
        let sent = harness.take_only_send();
        if &*sent.instance == "shop-1" {
            sent_to_rested.push(sent.exchange);
        }
    }
    assert_eq!(sent_to_rested.len(), 1);
}

// Guards against a reservation, its decode and its release that are sent to an engine that rests.
#[test]
fn reservation_at_an_engine_that_rests_is_neither_used_nor_freed() {
    let mut harness = RelayHarness::configured(1);
    harness.submit("/stream/1");
    let reserve = harness.take_only_send();
    let reservation = "reservation".into();
    harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
    let prefill = harness.take_only_send();
    harness.apply(RelayEvent::ControlRest {
        instance: reserve.instance.clone(),
        rest: ms(3_000),
    });
    let handle = "handle".into();
    harness.deliver(prefill.exchange, ExchangeEvent::PrefillDone { handle });
    let next = harness.take_only_send();
    assert!(matches!(next.work, Work::Reserve { .. }));
    assert_ne!(next.instance, reserve.instance);
    let frees = |effect: &RelayEffect| matches!(effect, RelayEffect::FreeReservation { .. });
    assert!(!harness.effects.iter().any(frees));
}

// Guards against an engine that is left unused for longer than the rest that it asked for, because its refusals of decodes
// also count as those of an engine that changes its role.
#[test]
fn engine_that_turned_decodes_away_is_used_again_when_its_last_rest_ends() {
    let mut harness = RelayHarness::configured(1);
    // Each engine turns decodes away for 9 s, in rests of 3 s.
    for _ in 0..90 {
        harness.submit("/stream/1");
        turn_decodes_away(&mut harness);
        harness.advance(ms(100));
    }
    // The last rest, and what may be added at random.
    harness.advance(ms(3_300));
    harness.effects.clear();
    let mut used = BTreeSet::new();
    for _ in 0..10 {
        harness.submit("/stream/1");
        for _ in 0..5 {
            for sent in harness.take_sends() {
                used.insert(sent.instance.to_string());
                harness.deliver(sent.exchange, sound_answer(&sent.work));
            }
        }
        harness.advance(ms(100));
    }
    assert!(
        used.contains("decode-1") && used.contains("decode-2"),
        "{used:?}"
    );
}

/// Answers all that is sent, decodes by a refusal that asks for rest.
fn turn_decodes_away(harness: &mut RelayHarness) {
    for _ in 0..6 {
        for sent in harness.take_sends() {
            if matches!(sent.work, Work::Decode { .. }) {
                let rest = ms(3_000);
                harness.deliver(sent.exchange, ExchangeEvent::RestAsked { rest });
                harness.deliver(sent.exchange, REFUSED);
            } else {
                harness.deliver(sent.exchange, sound_answer(&sent.work));
            }
        }
    }
}

/// Returns the first event of an engine that accepts its work.
fn sound_answer(work: &Work) -> ExchangeEvent {
    match work {
        Work::Reserve { .. } => ExchangeEvent::Reserved {
            reservation: "reservation".into(),
        },
        Work::Prefill => ExchangeEvent::PrefillDone {
            handle: "handle".into(),
        },
        _ => ExchangeEvent::StreamBegan,
    }
}
