//! Load balancing between plain endpoints.

use std::collections::BTreeMap;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_wire::Name;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

/// Sends plain requests one after the other; each is answered after a millisecond. Returns how many each endpoint got.
fn play_fast_requests(harness: &mut RelayHarness, count: usize) -> BTreeMap<Name, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        harness.submit("/look/");
        let send = harness.take_only_send();
        *counts.entry(send.instance).or_default() += 1;
        harness.advance(ms(1));
        harness.deliver(send.exchange, ExchangeEvent::Complete { status: 200 });
    }
    counts
}

// Guards against endpoints that get no requests because others are faster than what is assumed of an unknown one.
#[test]
fn unknown_endpoint_is_tried_beside_fast_ones() {
    let mut harness = RelayHarness::configured(3);
    play_fast_requests(&mut harness, 20);
    let new = listed("shop-3", "shop", Role::Plain);
    let changes = vec![EndpointListChange::Listed(new)];
    harness.apply(RelayEvent::EndpointChanges(changes));
    let counts = play_fast_requests(&mut harness, 60);
    assert_eq!(counts.len(), 3, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 5), "{counts:?}");
}

// Guards against an endpoint that one slow answer keeps from all further requests.
#[test]
fn endpoint_that_was_slow_once_is_tried_again() {
    let mut harness = RelayHarness::configured(3);
    play_fast_requests(&mut harness, 20);
    harness.submit("/look/");
    let slow = harness.take_only_send();
    harness.advance(ms(250));
    harness.deliver(slow.exchange, ExchangeEvent::Complete { status: 200 });
    play_fast_requests(&mut harness, 20);
    harness.advance(ms(12_000));
    let counts = play_fast_requests(&mut harness, 40);
    let count = counts.get(&slow.instance).copied().unwrap_or_default();
    assert!(count >= 5, "{counts:?}");
}

/// Sends plain requests one after the other, ten a second; each is answered after `latency_ms`, which gets the number of
/// the request and its endpoint. Returns how many each endpoint got.
fn play_paced_requests(
    harness: &mut RelayHarness,
    count: usize,
    latency_ms: impl Fn(usize, &str) -> u64,
) -> BTreeMap<Name, usize> {
    let mut counts = BTreeMap::new();
    for number in 0..count {
        harness.submit("/look/");
        let send = harness.take_only_send();
        let after = latency_ms(number, &send.instance);
        *counts.entry(send.instance).or_default() += 1;
        harness.advance(ms(after));
        harness.deliver(send.exchange, ExchangeEvent::Complete { status: 200 });
        harness.advance(ms(100 - after));
    }
    counts
}

/// Plays requests until one endpoint has answered for the first time, after `slow_ms`.
fn play_slow_answer(harness: &mut RelayHarness, slow: &str, slow_ms: u64) {
    let latency = |_, instance: &str| if instance == slow { slow_ms } else { 1 };
    while !play_paced_requests(harness, 1, latency).contains_key(slow) {}
}

// Guards against an old latency that keeps an endpoint from requests seconds after it is as fast as the others.
#[test]
fn endpoint_that_was_several_times_slower_gets_its_part_soon() {
    for slow_ms in [4, 20, 60] {
        let mut harness = RelayHarness::configured(3);
        play_slow_answer(&mut harness, "shop-1", slow_ms);
        play_paced_requests(&mut harness, 50, |_, _| 1);
        let counts = play_paced_requests(&mut harness, 60, |_, _| 1);
        let count = counts.get("shop-1").copied().unwrap_or_default();
        assert!(count >= 15, "{slow_ms} ms: {counts:?}");
    }
}

// Guards against a slow endpoint that gets more requests than show whether it is slow still.
#[test]
fn endpoint_that_stays_slow_is_tried_seldom() {
    let mut harness = RelayHarness::configured(3);
    let latency = |_, instance: &str| if instance == "shop-1" { 60 } else { 1 };
    let counts = play_paced_requests(&mut harness, 600, latency);
    let count = counts.get("shop-1").copied().unwrap_or_default();
    assert!((2..=18).contains(&count), "{counts:?}");
}

// Guards against differences of a few milliseconds that give one endpoint all requests for seconds.
#[test]
fn endpoints_of_nearly_equal_latency_share_the_load_in_any_three_seconds() {
    let mut harness = RelayHarness::configured(3);
    let latency = |number, _: &str| if number % 5 == 3 { 4 } else { 1 };
    for _ in 0..20 {
        let counts = play_paced_requests(&mut harness, 30, latency);
        assert_eq!(counts.len(), 2, "{counts:?}");
        assert!(counts.values().all(|count| *count >= 5), "{counts:?}");
    }
}

// Guards against a difference of a millisecond that keeps an endpoint from nearly all requests.
#[test]
fn endpoint_that_is_slower_by_a_millisecond_gets_a_good_part() {
    let mut harness = RelayHarness::configured(3);
    let latency = |_, instance: &str| if instance == "shop-1" { 2 } else { 1 };
    let counts = play_paced_requests(&mut harness, 600, latency);
    let count = counts.get("shop-1").copied().unwrap_or_default();
    assert!(count >= 75, "{counts:?}");
}

// Guards against a failure that keeps an endpoint from requests for good.
#[test]
fn endpoint_that_failed_once_gets_its_part_again() {
    let mut harness = RelayHarness::configured(3);
    play_paced_requests(&mut harness, 20, |_, _| 1);
    harness.submit("/look/");
    let failed = harness.take_only_send();
    let failure = ExchangeFailure::Unreachable;
    harness.deliver(failed.exchange, ExchangeEvent::Failed { failure });
    let retry = harness.take_only_send();
    harness.deliver(retry.exchange, ExchangeEvent::Complete { status: 200 });
    play_paced_requests(&mut harness, 150, |_, _| 1);
    let counts = play_paced_requests(&mut harness, 60, |_, _| 1);
    let count = counts.get(&failed.instance).copied().unwrap_or_default();
    assert!(count >= 15, "{counts:?}");
}
