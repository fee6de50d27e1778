//! Endpoints that fall silent in the middle of an exchange and go on: the exchange is kept until another endpoint has taken
//! the request over.

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;
use assert_matches::assert_matches;

use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

/// Starts a resumable stream that brings one event and then falls silent until it is moved.
fn silent_stream(harness: &mut RelayHarness) -> (CallId, SendCommand) {
    let (call, decode) = harness.start_stream("/resumable/1");
    harness.deliver(decode.exchange, progress(1));
    harness.advance(ms(1_300));
    (call, decode)
}

fn progress(id: u64) -> ExchangeEvent {
    ExchangeEvent::Progress {
        last_event_id: Some(id),
    }
}

fn grant(harness: &mut RelayHarness, reserve: &SendCommand) {
    assert_matches!(reserve.work, Work::Reserve { .. });
    let reservation = "second".into();
    harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
}

fn is_closed(harness: &RelayHarness, exchange: ExchangeId) -> bool {
    harness.effects.contains(&RelayEffect::Close { exchange })
}

/// Refuses all requests to other endpoints for some time.
fn refuse_all(harness: &mut RelayHarness, steps: u32) {
    for _ in 0..steps {
        for sent in harness.take_sends() {
            harness.deliver(sent.exchange, REFUSED);
        }
        harness.advance(ms(100));
    }
}

/// Checks that the silent engine goes on and completes the stream.
fn check_goes_on(harness: &mut RelayHarness, call: CallId, decode: &SendCommand) {
    assert_eq!(harness.final_effect(call), None);
    assert!(!is_closed(harness, decode.exchange), "closed too early");
    harness.deliver(decode.exchange, progress(2));
    harness.advance(ms(20));
    harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
    assert_matches!(harness.final_effect(call), Some(RelayEffect::Finish { .. }));
}

// Guards against a stream that is cut off after a silence because no other engine has room for it.
#[test]
fn silent_stream_goes_on_when_no_other_engine_has_room() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = silent_stream(&mut harness);
    refuse_all(&mut harness, 60);
    check_goes_on(&mut harness, call, &decode);
}

// Guards against a stream that is cut off after a silence because the prefill of its resumption is refused.
#[test]
fn silent_stream_goes_on_when_its_prefill_is_refused() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = silent_stream(&mut harness);
    for _ in 0..60 {
        for sent in harness.take_sends() {
            match sent.work {
                Work::Reserve { .. } => grant(&mut harness, &sent),
                _ => harness.deliver(sent.exchange, REFUSED),
            }
        }
        harness.advance(ms(100));
    }
    check_goes_on(&mut harness, call, &decode);
}

// Guards against a stream that is cut off after a silence because no other engine is listed.
#[test]
fn silent_stream_goes_on_without_another_engine() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = harness.start_stream("/resumable/1");
    harness.deliver(decode.exchange, progress(1));
    let instances = ["decode-1", "decode-2"];
    let other = instances
        .into_iter()
        .find(|name| **name != *decode.instance);
    let instance = other.expect("there are two").into();
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Removed { instance },
    ]));
    harness.advance(ms(1_300));
    refuse_all(&mut harness, 20);
    check_goes_on(&mut harness, call, &decode);
}

// Guards against a stream that is cut off after a silence because its engine is leaving and no other one takes new work.
#[test]
fn silent_stream_goes_on_at_a_leaving_engine() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = harness.start_stream("/resumable/1");
    harness.deliver(decode.exchange, progress(1));
    for instance in ["decode-1", "decode-2"] {
        let mut entry = listed(instance, "model", Role::Decode);
        entry.is_leaving = true;
        let change = EndpointListChange::Listed(entry);
        harness.apply(RelayEvent::EndpointChanges(vec![change]));
    }
    harness.advance(ms(1_300));
    refuse_all(&mut harness, 20);
    check_goes_on(&mut harness, call, &decode);
}

// Guards against a lookup that fails although its silent endpoint would have answered: the other one refuses.
#[test]
fn silent_lookup_is_answered_when_the_other_endpoint_refuses() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/look/1");
    let first = harness.take_only_send();
    harness.advance(ms(700));
    refuse_all(&mut harness, 2);
    assert_eq!(harness.final_effect(call), None);
    let exchange = first.exchange;
    harness.deliver(exchange, ExchangeEvent::Complete { status: 200 });
    let answer = RelayEffect::Answer { call, exchange };
    assert_eq!(harness.final_effect(call), Some(&answer));
}

// Guards against an answer that is dropped because the request was sent again meanwhile.
#[test]
fn first_of_two_answers_to_a_lookup_is_forwarded() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/look/1");
    let first = harness.take_only_send();
    harness.advance(ms(700));
    let second = harness.take_only_send();
    let exchange = first.exchange;
    harness.deliver(exchange, ExchangeEvent::Complete { status: 200 });
    let answer = RelayEffect::Answer { call, exchange };
    assert_eq!(harness.final_effect(call), Some(&answer));
    assert!(is_closed(&harness, second.exchange));
}

// Guards against memory and prefills that are kept for a move that is no longer needed.
#[test]
fn move_ends_when_the_silent_engine_goes_on() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = silent_stream(&mut harness);
    let reserve = harness.take_only_send();
    grant(&mut harness, &reserve);
    let prefill = harness.take_only_send();
    assert_eq!(prefill.work, Work::Prefill);
    harness.deliver(decode.exchange, progress(2));
    assert!(is_closed(&harness, prefill.exchange));
    let is_freed = |effect: &RelayEffect| matches!(effect, RelayEffect::FreeReservation { .. });
    assert!(harness.effects.iter().any(is_freed));
    check_goes_on(&mut harness, call, &decode);
}

/// Moves a silent stream up to the decode at the other engine.
fn moved_stream(harness: &mut RelayHarness) -> (CallId, SendCommand, SendCommand) {
    let (call, silent) = silent_stream(harness);
    let next = harness.advance_to_decode();
    let exchange = silent.exchange;
    assert!(harness.effects.contains(&RelayEffect::Hold { exchange }));
    (call, silent, next)
}

// Guards against a stream that is cut off because the engine that should take it over refuses it at last.
#[test]
fn silent_stream_is_released_when_its_decode_is_refused() {
    let mut harness = RelayHarness::configured(1);
    let (call, silent, next) = moved_stream(&mut harness);
    harness.deliver(next.exchange, REFUSED);
    let exchange = silent.exchange;
    assert!(harness.effects.contains(&RelayEffect::Release { exchange }));
    refuse_all(&mut harness, 10);
    check_goes_on(&mut harness, call, &silent);
}

// Guards against two engines that run one stream for long.
#[test]
fn silent_stream_ends_when_the_other_engine_begins_late() {
    let mut harness = RelayHarness::configured(1);
    let (call, silent, next) = moved_stream(&mut harness);
    harness.advance(ms(290));
    assert!(!is_closed(&harness, silent.exchange));
    harness.advance(ms(20));
    assert!(is_closed(&harness, silent.exchange));
    harness.deliver(next.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(next.exchange, ExchangeEvent::Complete { status: 200 });
    assert_matches!(harness.final_effect(call), Some(RelayEffect::Finish { .. }));
}

// Guards against a move that ends with the engine from which it moves.
#[test]
fn stream_goes_on_elsewhere_when_the_silent_engine_ends() {
    let mut harness = RelayHarness::configured(1);
    let (call, silent) = silent_stream(&mut harness);
    let failure = ExchangeFailure::Closed;
    harness.deliver(silent.exchange, ExchangeEvent::Failed { failure });
    let next = harness.advance_to_decode();
    harness.deliver(next.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(next.exchange, ExchangeEvent::Complete { status: 200 });
    assert_matches!(harness.final_effect(call), Some(RelayEffect::Finish { .. }));
}

// Guards against an engine that works on for a caller who has left, or past the deadline.
#[test]
fn both_exchanges_are_closed_when_the_call_ends() {
    for is_caller_gone in [true, false] {
        let mut harness = RelayHarness::configured(1);
        let (call, silent, next) = moved_stream(&mut harness);
        if is_caller_gone {
            harness.apply(RelayEvent::CallerGone { call });
        } else {
            harness.deliver(next.exchange, REFUSED);
            harness.advance(ms(14_000));
            assert_matches!(harness.final_effect(call), Some(RelayEffect::Abort { .. }));
        }
        assert!(is_closed(&harness, silent.exchange));
        assert!(!is_caller_gone || is_closed(&harness, next.exchange));
    }
}

// Guards against a retry budget that is spent by silences after which nothing was sent again.
#[test]
fn abandoned_move_gives_its_retry_back() {
    let mut harness = RelayHarness::configured(1);
    let (_, decode) = harness.start_stream("/resumable/1");
    for event_id in 1..=8 {
        harness.deliver(decode.exchange, progress(event_id));
        harness.advance(ms(1_300));
        assert!(!harness.take_sends().is_empty(), "move {event_id}");
    }
}

// Guards against a call without an answer at the process's exit, because it returns to its silent endpoint.
#[test]
fn moved_call_ends_when_the_process_must_exit() {
    let mut harness = RelayHarness::configured(1);
    let (call, silent, next) = moved_stream(&mut harness);
    harness.apply(RelayEvent::DrainTimeout);
    assert_matches!(harness.final_effect(call), Some(RelayEffect::Abort { .. }));
    assert!(is_closed(&harness, silent.exchange));
    assert!(is_closed(&harness, next.exchange));
}

// Guards against a stream that looks complete because its silent engine's connection ends without a marked end.
#[test]
fn unmarked_end_of_a_silent_stream_is_not_its_end() {
    let mut harness = RelayHarness::configured(1);
    let (call, silent) = silent_stream(&mut harness);
    harness.deliver(silent.exchange, ExchangeEvent::EndUnmarked);
    harness.deliver(silent.exchange, ExchangeEvent::Complete { status: 200 });
    assert_eq!(harness.final_effect(call), None);
    let next = harness.advance_to_decode();
    harness.deliver(next.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(next.exchange, ExchangeEvent::Complete { status: 200 });
    assert_matches!(harness.final_effect(call), Some(RelayEffect::Finish { .. }));
}
