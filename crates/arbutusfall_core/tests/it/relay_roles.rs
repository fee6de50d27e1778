//! The lease for role orders, and the split of engines between prefill and decode.

use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::LeaseAnswer;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RoleOutcome;
use arbutusfall_wire::Name;

use crate::relay_harness::LEASE_LIFETIME;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::connect_answer;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

/// Time after the first streams in which exactly one role decision falls: the first one comes after 4 s, the next one
/// after a role change of 6 s and a pause of 2 s.
const ONE_DECISION_TIME: Duration = Duration::from_secs(9);

/// Drains the effects and returns role and token of each role order among them.
fn take_orders(harness: &mut RelayHarness) -> Vec<(Role, u64)> {
    let effects = std::mem::take(&mut harness.effects);
    let orders = effects.into_iter().filter_map(|effect| match effect {
        RelayEffect::OrderRole { role, token, .. } => Some((role, token)),
        _ => None,
    });
    orders.collect()
}

/// Advances the time while the store gives the same answer to every renewal of the lease.
fn advance_with_lease(harness: &mut RelayHarness, time: Duration, answer: LeaseAnswer) {
    let until = harness.now + time;
    while harness.now < until {
        harness.advance(ms(100));
        let is_renewal = |effect: &RelayEffect| matches!(effect, RelayEffect::RenewLease { .. });
        if harness.effects.iter().any(is_renewal) {
            harness.effects.retain(|effect| !is_renewal(effect));
            harness.apply(RelayEvent::Lease(answer));
        }
    }
}

/// Starts streams that use much decode memory and little prefill: prompts of 5,000 tokens with equally long answers.
fn start_streams(harness: &mut RelayHarness, streams: usize) {
    for index in 0..streams {
        harness.start_stream(&format!("/stream/{index}"));
        harness.now += ms(100);
    }
}

/// Creates a relay with the given numbers of prefill and decode engines, each at least 2.
fn harness_with(prefill: usize, decode: usize) -> RelayHarness {
    let mut harness = RelayHarness::configured(1);
    let engine = |name: &str, index: usize, role| listed(&format!("{name}-{index}"), "model", role);
    let prefill = (3..=prefill).map(|index| engine("prefill", index, Role::Prefill));
    let decode = (3..=decode).map(|index| engine("decode", index, Role::Decode));
    let more = prefill.chain(decode).map(EndpointListChange::Listed);
    harness.apply(RelayEvent::EndpointChanges(more.collect()));
    harness
}

fn harness_with_idle_prefill() -> RelayHarness {
    harness_with(5, 2)
}

#[test]
fn holder_orders_idle_prefill_engines_to_decode() {
    let mut harness = harness_with_idle_prefill();
    advance_with_lease(&mut harness, LEASE_LIFETIME, LeaseAnswer::Held { token: 7 });
    start_streams(&mut harness, 10);
    advance_with_lease(
        &mut harness,
        ONE_DECISION_TIME,
        LeaseAnswer::Held { token: 7 },
    );
    assert_eq!(take_orders(&mut harness), vec![(Role::Decode, 7)]);
}

/// Lists an engine in the role that it was ordered to take, once its change is done.
fn relist_ordered(harness: &mut RelayHarness, ordered: &[(Name, Role)]) {
    let entries = ordered.iter().map(|(instance, role)| {
        let entry = listed(instance, "model", *role);
        EndpointListChange::Listed(entry)
    });
    harness.apply(RelayEvent::EndpointChanges(entries.collect()));
}

/// Drains the effects and returns engine and role of each role order among them.
fn take_ordered_engines(harness: &mut RelayHarness) -> Vec<(Name, Role)> {
    let effects = std::mem::take(&mut harness.effects);
    let orders = effects.into_iter().filter_map(|effect| match effect {
        RelayEffect::OrderRole { instance, role, .. } => Some((instance, role)),
        _ => None,
    });
    orders.collect()
}

/// A third of many engines prefill although hardly any prefill is needed: the surplus changes its role in steps of at most a
/// quarter of all engines, each after the engines of the last one serve again, and some prefill engines stay.
///
/// Guards against more engines that serve nothing at the same time, and against a surplus that stays.
#[test]
fn many_idle_prefill_engines_change_in_steps() {
    let mut harness = harness_with(19, 37);
    let lease = LeaseAnswer::Held { token: 7 };
    advance_with_lease(&mut harness, LEASE_LIFETIME, lease);
    start_streams(&mut harness, 10);
    let mut changed = 0;
    let mut away: Vec<(Name, Role)> = Vec::new();
    let mut away_until = harness.now;
    let until = harness.now + ms(50_000);
    while harness.now < until {
        advance_with_lease(&mut harness, ms(500), lease);
        if !away.is_empty() && harness.now >= away_until {
            relist_ordered(&mut harness, &std::mem::take(&mut away));
        }
        let ordered = take_ordered_engines(&mut harness);
        if ordered.is_empty() {
            continue;
        }
        assert!(away.is_empty(), "{ordered:?} while {away:?} change");
        assert!((1..=14).contains(&ordered.len()), "{ordered:?}");
        assert!(ordered.iter().all(|(_, role)| *role == Role::Decode));
        changed += ordered.len();
        away = ordered;
        away_until = harness.now + ms(6_000);
    }
    // One of the 19 must stay; the 36 s after the first order are time for five steps at most.
    assert!((12..=18).contains(&changed), "{changed}");
}

/// Guards against an order while the engine of the last one still serves nothing.
#[test]
fn next_order_waits_until_the_ordered_engine_is_listed_again() {
    let mut harness = harness_with(5, 2);
    let lease = LeaseAnswer::Held { token: 7 };
    advance_with_lease(&mut harness, LEASE_LIFETIME, lease);
    start_streams(&mut harness, 10);
    advance_with_lease(&mut harness, ONE_DECISION_TIME, lease);
    let ordered = take_ordered_engines(&mut harness);
    assert_eq!(ordered.len(), 1, "{ordered:?}");
    advance_with_lease(&mut harness, ms(6_000), lease);
    assert!(take_ordered_engines(&mut harness).is_empty());
    relist_ordered(&mut harness, &ordered);
    advance_with_lease(&mut harness, ms(2_000), lease);
    assert_eq!(take_ordered_engines(&mut harness).len(), 1);
}

/// Guards against a shortage that stays because an engine never carried out an order.
#[test]
fn lost_order_is_given_again() {
    let mut harness = harness_with_idle_prefill();
    let lease = LeaseAnswer::Held { token: 7 };
    advance_with_lease(&mut harness, LEASE_LIFETIME, lease);
    start_streams(&mut harness, 10);
    advance_with_lease(&mut harness, ONE_DECISION_TIME, lease);
    assert_eq!(take_orders(&mut harness).len(), 1);
    advance_with_lease(&mut harness, ms(13_000), lease);
    assert_eq!(take_orders(&mut harness).len(), 1);
}

/// Guards against a decode engine that is taken away while requests are refused for lack of decode memory.
#[test]
fn pool_with_refusals_loses_no_engine() {
    let mut harness = harness_with(2, 8);
    advance_with_lease(&mut harness, LEASE_LIFETIME, LeaseAnswer::Held { token: 7 });
    for index in 0..30 {
        harness.submit(&format!("/stream/{index}"));
        let full = harness.take_only_send();
        harness.deliver(full.exchange, REFUSED);
        let decode = harness.advance_to_decode_after(ms(500));
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
        harness.apply(RelayEvent::Lease(LeaseAnswer::Held { token: 7 }));
    }
    assert!(take_orders(&mut harness).is_empty());
}

/// At the start of a load, prefills complete within milliseconds while the first streams take seconds to end. Counting
/// prefills before their streams would overestimate prefill and change a split that fits the load.
#[test]
fn balanced_split_stays_at_the_start_of_a_load() {
    let mut harness = harness_with(2, 7);
    advance_with_lease(&mut harness, LEASE_LIFETIME, LeaseAnswer::Held { token: 7 });
    let mut streams = std::collections::VecDeque::new();
    for index in 0..60 {
        harness.submit(&format!("/stream/{index}"));
        let decode = harness.advance_to_decode_after(ms(94));
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        streams.push_back((harness.now, decode.exchange));
        advance_with_lease(&mut harness, ms(150), LeaseAnswer::Held { token: 7 });
        while let Some((began_at, exchange)) = streams.front().copied() {
            if harness.now < began_at + ms(3_400) {
                break;
            }
            streams.pop_front();
            harness.deliver(exchange, ExchangeEvent::Complete { status: 200 });
        }
        assert!(
            take_orders(&mut harness).is_empty(),
            "after {index} requests"
        );
    }
}

#[test]
fn only_the_holder_gives_orders() {
    let mut harness = harness_with_idle_prefill();
    advance_with_lease(
        &mut harness,
        LEASE_LIFETIME,
        LeaseAnswer::NotHeld { token: 7 },
    );
    start_streams(&mut harness, 10);
    advance_with_lease(&mut harness, ms(10_000), LeaseAnswer::NotHeld { token: 7 });
    assert!(take_orders(&mut harness).is_empty());
}

#[test]
fn new_holder_waits_for_the_time_of_a_change_before_orders() {
    let mut harness = harness_with_idle_prefill();
    start_streams(&mut harness, 10);
    advance_with_lease(
        &mut harness,
        ONE_DECISION_TIME,
        LeaseAnswer::NotHeld { token: 6 },
    );
    advance_with_lease(&mut harness, ms(6_000), LeaseAnswer::Held { token: 7 });
    assert!(take_orders(&mut harness).is_empty());
    advance_with_lease(&mut harness, ms(2_000), LeaseAnswer::Held { token: 7 });
    assert_eq!(take_orders(&mut harness).len(), 1);
}

#[test]
fn holder_without_the_store_gives_no_orders() {
    let mut harness = harness_with_idle_prefill();
    advance_with_lease(
        &mut harness,
        LEASE_LIFETIME + ms(1_000),
        LeaseAnswer::Held { token: 7 },
    );
    advance_with_lease(&mut harness, ms(2_000), LeaseAnswer::Failed);
    start_streams(&mut harness, 10);
    advance_with_lease(&mut harness, ms(10_000), LeaseAnswer::Failed);
    assert!(take_orders(&mut harness).is_empty());
}

#[test]
fn holder_frozen_past_its_lease_observes_again() {
    let mut harness = harness_with_idle_prefill();
    start_streams(&mut harness, 10);
    advance_with_lease(
        &mut harness,
        ONE_DECISION_TIME,
        LeaseAnswer::NotHeld { token: 6 },
    );
    advance_with_lease(&mut harness, ms(2_500), LeaseAnswer::Held { token: 7 });
    // The frozen VM handles no ticks.
    harness.now += ms(5_000);
    harness.effects.clear();
    advance_with_lease(&mut harness, ms(5_500), LeaseAnswer::Held { token: 9 });
    assert!(take_orders(&mut harness).is_empty());
    advance_with_lease(&mut harness, ms(2_000), LeaseAnswer::Held { token: 9 });
    assert_eq!(take_orders(&mut harness), vec![(Role::Decode, 9)]);
}

#[test]
fn holder_with_a_refused_token_gives_no_orders_until_its_token_changes() {
    let mut harness = harness_with_idle_prefill();
    advance_with_lease(
        &mut harness,
        LEASE_LIFETIME + ms(500),
        LeaseAnswer::Held { token: 7 },
    );
    harness.apply(RelayEvent::RoleOutcome {
        instance: "prefill-1".into(),
        outcome: RoleOutcome::StaleToken,
    });
    start_streams(&mut harness, 10);
    advance_with_lease(
        &mut harness,
        ONE_DECISION_TIME,
        LeaseAnswer::Held { token: 7 },
    );
    assert!(take_orders(&mut harness).is_empty());
    advance_with_lease(&mut harness, ms(2_000), LeaseAnswer::Held { token: 8 });
    assert_eq!(take_orders(&mut harness), vec![(Role::Decode, 8)]);
}

#[test]
fn last_prefill_engine_keeps_its_role() {
    let mut harness = RelayHarness::configured(1);
    let gone = ["prefill-2"].map(|instance| {
        let instance = instance.into();
        EndpointListChange::Removed { instance }
    });
    harness.apply(RelayEvent::EndpointChanges(gone.into()));
    advance_with_lease(&mut harness, LEASE_LIFETIME, LeaseAnswer::Held { token: 7 });
    start_streams(&mut harness, 12);
    advance_with_lease(&mut harness, ms(10_000), LeaseAnswer::Held { token: 7 });
    assert!(take_orders(&mut harness).is_empty());
}

#[test]
fn slow_prefill_gets_more_engines() {
    let mut harness = harness_with(2, 8);
    advance_with_lease(&mut harness, LEASE_LIFETIME, LeaseAnswer::Held { token: 7 });
    for index in 0..30 {
        harness.submit(&format!("/stream/{index}"));
        let decode = harness.advance_to_decode_after(ms(500));
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
        harness.apply(RelayEvent::Lease(LeaseAnswer::Held { token: 7 }));
    }
    let orders = take_orders(&mut harness);
    assert!(orders.contains(&(Role::Prefill, 7)), "{orders:?}");
}

/// The streams of one VM are a small sample, so a deviation within the sampling error must move no engine to prefill.
#[test]
fn sampling_error_moves_no_engine_to_prefill() {
    let mut harness = harness_with(8, 38);
    advance_with_lease(&mut harness, LEASE_LIFETIME, LeaseAnswer::Held { token: 7 });
    for index in 0..40 {
        // Eight answers of five seconds alternate with eight of four seconds.
        let stream_ms = if index / 8 % 2 == 0 { 5_000 } else { 4_000 };
        harness.submit(&format!("/stream/{index}"));
        let decode = harness.advance_to_decode_after(ms(94));
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        advance_with_lease(&mut harness, ms(stream_ms), LeaseAnswer::Held { token: 7 });
        harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
        let orders = take_orders(&mut harness);
        let to_prefill = orders.iter().filter(|(role, _)| *role == Role::Prefill);
        assert_eq!(to_prefill.count(), 0, "after {index} requests");
    }
}

// Guards against orders that no engine gets, since their holder reaches none, while another VM could give them.
#[test]
fn holder_that_reaches_no_engine_gives_the_lease_up() {
    let mut harness = harness_with_idle_prefill();
    advance_with_lease(&mut harness, LEASE_LIFETIME, LeaseAnswer::Held { token: 7 });
    for instance in ["decode-1", "decode-2", "prefill-1"] {
        harness.advance(ms(1));
        harness.apply(RelayEvent::EndpointChecked {
            instance: instance.into(),
            asked_at: harness.now,
            answer: connect_answer(false),
        });
    }
    harness.effects.clear();
    harness.advance(ms(1_100));
    assert!(harness.effects.contains(&RelayEffect::ReleaseLease));
    let renews = |effect: &RelayEffect| matches!(effect, RelayEffect::RenewLease { .. });
    assert!(!harness.effects.iter().any(renews));
    harness.apply(RelayEvent::EndpointChecked {
        instance: "decode-1".into(),
        asked_at: harness.now,
        answer: connect_answer(true),
    });
    harness.effects.clear();
    harness.advance(ms(1_100));
    assert!(harness.effects.iter().any(renews));
}
