//! Model requests of the relay: reservations, waiting requests, streams and their resumption.

use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::Work;
use assert_matches::assert_matches;

use crate::relay_harness::CLOSED;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

#[test]
fn memory_is_reserved_before_the_prompt_is_prefilled() {
    let mut harness = RelayHarness::configured(1);
    harness.submit("/stream/1");
    let reserve = harness.take_only_send();
    assert_matches!(reserve.work, Work::Reserve { tokens, .. } if tokens == 5_000 + 4_500 + 3_000);
    harness.deliver(
        reserve.exchange,
        ExchangeEvent::Reserved {
            reservation: "r".into(),
        },
    );
    let prefill = harness.take_only_send();
    assert_eq!(prefill.work, Work::Prefill);
    harness.deliver(
        prefill.exchange,
        ExchangeEvent::PrefillDone { handle: "h".into() },
    );
    let decode = harness.take_only_send();
    assert_eq!(decode.instance, reserve.instance);
    assert_matches!(
        decode.work,
        Work::Decode { source: Some(source), reservation: Some(reservation) }
            if source.address == prefill.address && &*source.handle == "h" && &*reservation == "r"
    );
}

#[test]
fn full_engines_are_retried_after_an_interval_and_no_prompt_is_prefilled() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/stream/1");
    for _ in 0..2 {
        let reserve = harness.take_only_send();
        harness.deliver(reserve.exchange, REFUSED);
    }
    assert!(harness.take_sends().is_empty());
    assert!(
        harness.final_effect(call).is_none(),
        "the waiting request was ended"
    );
    harness.advance(ms(100));
    assert!(
        harness.take_sends().is_empty(),
        "a full engine was retried before its interval"
    );
    harness.advance(ms(150));
    assert_matches!(harness.take_only_send().work, Work::Reserve { .. });
}

#[test]
fn end_of_a_stream_triggers_a_reservation_for_a_waiting_request() {
    let mut harness = RelayHarness::configured(1);
    let (_, decode) = harness.start_stream("/stream/1");
    harness.submit("/stream/2");
    for _ in 0..2 {
        let reserve = harness.take_only_send();
        harness.deliver(reserve.exchange, REFUSED);
    }
    harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
    let reserve = harness.take_only_send();
    assert_eq!(reserve.instance, decode.instance);
}

#[test]
fn waiting_request_is_refused_when_it_can_no_longer_be_on_time() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/stream/1");
    let started_at = harness.now;
    while harness.final_effect(call).is_none() {
        for reserve in harness.take_sends() {
            harness.deliver(reserve.exchange, REFUSED);
        }
        harness.advance(ms(10));
    }
    let waited = harness.now - started_at;
    assert!(waited < ms(900), "waited {waited:?}");
    let problem = harness.problem(call).expect("not refused");
    assert_eq!(problem.kind, ProblemKind::NotRun);
    assert!(problem.retry_after.unwrap() >= ms(2_500));
}

#[test]
fn request_behind_a_full_queue_is_refused_immediately() {
    let mut harness = RelayHarness::configured(1);
    // Teaches the relay that no reservation is granted.
    for index in 0..20 {
        harness.submit(&format!("/stream/before-{index}"));
        for _ in 0..2 {
            for reserve in harness.take_sends() {
                harness.deliver(reserve.exchange, REFUSED);
            }
            harness.advance(ms(400));
        }
    }
    harness.advance(ms(2_000));
    harness.effects.clear();
    let mut refused = 0;
    for index in 0..6 {
        let call = harness.submit(&format!("/stream/{index}"));
        for reserve in harness.take_sends() {
            harness.deliver(reserve.exchange, REFUSED);
        }
        for reserve in harness.take_sends() {
            harness.deliver(reserve.exchange, REFUSED);
        }
        refused += usize::from(harness.problem(call).is_some());
    }
    assert!(
        refused >= 5,
        "more than one request waits although no reservation is granted"
    );
}

#[test]
fn disconnect_of_a_caller_frees_its_reservation_and_prefill_result() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/stream/1");
    let decode = harness.advance_to_decode();
    harness.apply(RelayEvent::CallerGone { call });
    let exchange = decode.exchange;
    assert!(harness.effects.contains(&RelayEffect::Close { exchange }));
    let frees = |effect: &RelayEffect| matches!(effect, RelayEffect::FreeReservation { .. });
    assert!(harness.effects.iter().any(frees));
    let frees = |effect: &RelayEffect| matches!(effect, RelayEffect::FreeKvCache(_));
    assert!(harness.effects.iter().any(frees));
}

#[test]
fn broken_stream_on_a_route_without_resumption_is_aborted() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = harness.start_stream("/stream/1");
    harness.deliver(
        decode.exchange,
        ExchangeEvent::Progress {
            last_event_id: Some(3),
        },
    );
    harness.deliver(decode.exchange, CLOSED);
    assert!(harness.take_sends().is_empty());
    assert_matches!(harness.final_effect(call), Some(RelayEffect::Abort { .. }));
}

#[test]
fn broken_stream_resumes_after_its_last_event() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = harness.start_stream("/resumable/1");
    harness.deliver(
        decode.exchange,
        ExchangeEvent::Progress {
            last_event_id: Some(3),
        },
    );
    harness.deliver(decode.exchange, CLOSED);
    let next = harness.advance_to_decode();
    assert_ne!(next.instance, decode.instance);
    assert_eq!(next.after_event_id, Some(3));
    harness.deliver(next.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(next.exchange, ExchangeEvent::Complete { status: 200 });
    assert_matches!(harness.final_effect(call), Some(RelayEffect::Finish { .. }));
}

#[test]
fn silent_stream_is_closed_before_its_resumption_is_forwarded() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = harness.start_stream("/resumable/1");
    let progress = ExchangeEvent::Progress {
        last_event_id: Some(3),
    };
    harness.deliver(decode.exchange, progress);
    harness.advance(ms(1_300));
    let next = harness.advance_to_decode();
    assert_ne!(next.instance, decode.instance);
    assert_eq!(next.after_event_id, Some(3));
    let exchange = decode.exchange;
    let hold = RelayEffect::Hold { exchange };
    assert!(harness.effects.contains(&hold), "two engines may write");
    harness.effects.clear();
    harness.deliver(next.exchange, ExchangeEvent::StreamBegan);
    let exchange = next.exchange;
    let forward = RelayEffect::Forward { call, exchange };
    let exchange = decode.exchange;
    let close = RelayEffect::Close { exchange };
    let is_either = |effect: &RelayEffect| *effect == close || *effect == forward;
    let seen: Vec<RelayEffect> = harness
        .effects
        .iter()
        .filter(|e| is_either(e))
        .cloned()
        .collect();
    assert_eq!(seen, [close.clone(), forward.clone()]);
}

/// An engine that is changing its role still grants reservations but refuses the requests that use them. Without a
/// backoff the relay would keep sending it requests.
#[test]
fn engine_that_refuses_a_request_with_a_reservation_is_avoided_for_seconds() {
    let mut harness = RelayHarness::configured(1);
    harness.submit("/resumable/1");
    let refused = harness.advance_to_decode();
    harness.deliver(refused.exchange, REFUSED);
    let is_refusing_notice = |effect: &RelayEffect| matches!(effect, RelayEffect::Note(notice) if notice.name() == "engine_refusing");
    assert!(
        harness.effects.iter().any(is_refusing_notice),
        "no `engine_refusing` notice"
    );
    harness.take_sends();
    for index in 0..10 {
        harness.advance(ms(150));
        harness.submit(&format!("/resumable/more-{index}"));
        let sends = harness.take_sends();
        let reservations = sends
            .iter()
            .filter(|command| matches!(command.work, Work::Reserve { .. }));
        for command in reservations {
            assert_ne!(command.instance, refused.instance, "after {index} more");
        }
    }
}

/// Decode engines refuse requests whose prefill result is lost. The prefill engine, not the decode engines, must count
/// as failed after two results in a row.
#[test]
fn prefill_engine_whose_results_are_lost_is_avoided() {
    let mut harness = RelayHarness::configured(1);
    let more = (3..9).map(|index| listed(&format!("decode-{index}"), "model", Role::Decode));
    harness.apply(RelayEvent::EndpointChanges(
        more.map(EndpointListChange::Listed).collect(),
    ));
    let mut refused_decodes = std::collections::BTreeMap::new();
    for index in 0..4 {
        harness.submit(&format!("/stream/{index}"));
        let reserve = harness.take_only_send();
        let reservation = "reservation".into();
        harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
        let prefill = harness.take_only_send();
        let handle = "handle".into();
        harness.deliver(prefill.exchange, ExchangeEvent::PrefillDone { handle });
        let decode = harness.take_only_send();
        if &*prefill.instance == "prefill-1" {
            harness.deliver(decode.exchange, REFUSED);
            *refused_decodes.entry(prefill.instance).or_insert(0) += 1;
        } else {
            harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        }
        harness.take_sends();
    }
    assert_eq!(
        refused_decodes.get("prefill-1"),
        Some(&2),
        "not two refused decodes of results from prefill-1: {refused_decodes:?}"
    );
}
