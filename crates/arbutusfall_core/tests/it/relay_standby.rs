//! Standby exchanges beside other events: what may go wrong while a silent exchange is kept.

use std::sync::Arc;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::config::Semantics;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::PartId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::RouteTable;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SendPermission;
use arbutusfall_core::relay::Work;
use assert_matches::assert_matches;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::endpoints;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

const REFUSED: ExchangeEvent = ExchangeEvent::NotRun {
    reason: NotRunReason::Refused,
};

const CLOSED: ExchangeEvent = ExchangeEvent::Failed {
    failure: ExchangeFailure::Closed,
};

/// Creates a relay with these routes and endpoints.
fn configured(table: RouteTable, list: Vec<EndpointListChange>) -> RelayHarness {
    let mut harness = RelayHarness::unconfigured(1);
    harness.apply(RelayEvent::NewConfig(Arc::new(table)));
    harness.apply(RelayEvent::EndpointChanges(list));
    harness.effects.clear();
    harness
}

fn progress(id: u64) -> ExchangeEvent {
    ExchangeEvent::Progress {
        last_event_id: Some(id),
    }
}

fn is_closed(harness: &RelayHarness, exchange: ExchangeId) -> bool {
    harness.effects.contains(&RelayEffect::Close { exchange })
}

/// Starts a resumable stream that falls silent after one event and is moved up to the decode at the other engine.
fn moved_stream(harness: &mut RelayHarness) -> (CallId, SendCommand, SendCommand) {
    let (call, silent) = harness.start_stream("/resumable/1");
    harness.deliver(silent.exchange, progress(1));
    harness.advance(ms(1_300));
    let next = harness.advance_to_decode();
    (call, silent, next)
}

// Guards against a prefill result that is freed although the silent engine, which goes on, still has to fetch it.
#[test]
fn prefill_result_is_kept_for_a_silent_engine_that_has_not_fetched_it() {
    let mut table = routes(1);
    for service in table.services.values_mut() {
        if let Some(engine) = &mut service.engine {
            engine.result_lifetime = ms(10_000);
        }
    }
    let mut harness = configured(table, endpoints());
    let call = harness.submit("/resumable/1");
    let decode = harness.advance_to_decode();
    assert_matches!(
        &decode.work,
        Work::Decode {
            source: Some(_),
            ..
        }
    );
    for _ in 0..30 {
        for sent in harness.take_sends() {
            harness.deliver(sent.exchange, REFUSED);
        }
        harness.advance(ms(100));
    }
    assert!(!is_closed(&harness, decode.exchange));
    assert_eq!(harness.final_effect(call), None);
    let frees = |effect: &RelayEffect| matches!(effect, RelayEffect::FreeKvCache(_));
    assert!(!harness.effects.iter().any(frees), "freed");
}

// Guards against a started stream that ends as complete because the engine that should take it over answers with an error
// of the caller's, while the silent one would go on.
#[test]
fn stream_does_not_end_with_another_answer_of_the_next_engine() {
    for status in [400, 404, 409, 413] {
        let mut harness = RelayHarness::configured(1);
        let (call, silent, next) = moved_stream(&mut harness);
        harness.deliver(next.exchange, ExchangeEvent::Complete { status });
        assert_eq!(harness.final_effect(call), None, "{status}");
        assert!(!is_closed(&harness, silent.exchange), "{status}");
    }
}

// Guards against a started stream that looks complete although its engine broke off and the next one answered with an error.
#[test]
fn broken_stream_does_not_end_as_complete_with_an_error_of_the_next_engine() {
    for status in [404, 500] {
        let mut harness = RelayHarness::configured(1);
        let (call, first) = harness.start_stream("/resumable/1");
        harness.deliver(first.exchange, progress(1));
        harness.deliver(first.exchange, CLOSED);
        let next = harness.advance_to_decode();
        harness.deliver(next.exchange, ExchangeEvent::Complete { status });
        let finish = RelayEffect::Finish { call };
        assert_ne!(harness.final_effect(call), Some(&finish), "{status}");
    }
}

// Guards against a move that is given up because the silent endpoint at last refuses and names its limit.
#[test]
fn move_goes_on_when_the_silent_endpoint_refuses_with_a_limit() {
    let mut harness = RelayHarness::configured(1);
    harness.submit("/look/1");
    let first = harness.take_only_send();
    harness.advance(ms(700));
    let second = harness.take_only_send();
    let named = ExchangeEvent::LimitNamed { per_s: 100.0 };
    harness.deliver(first.exchange, named);
    harness.deliver(first.exchange, REFUSED);
    assert!(!is_closed(&harness, second.exchange));
}

// Guards against a silence check of the standby exchange that closes it in place of the current one.
#[test]
fn late_silence_check_of_a_standby_exchange_does_not_close_it() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/resumable/1");
    let silent = harness.advance_to_decode();
    // The check before the first event is due 2.1 s after the send, that within the stream 1.2 s after the event.
    harness.advance(ms(700));
    harness.deliver(silent.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(silent.exchange, progress(1));
    harness.advance(ms(1_210));
    let reserve = harness.take_only_send();
    // The process stalls: both the check of the reservation and that of the standby exchange are overdue.
    harness.now += ms(1_900);
    harness.apply(RelayEvent::Tick);
    assert!(!is_closed(&harness, silent.exchange), "standby closed");
    assert!(is_closed(&harness, reserve.exchange), "reservation left");
    assert_eq!(harness.final_effect(call), None);
}

// Guards against a broken stream that is cut off with time left, because the prefill of its resumption is refused while the
// retry budget is spent: the engine that reserved memory could read the prompt itself.
#[test]
fn broken_stream_is_resumed_when_its_prefill_is_refused_and_the_budget_is_spent() {
    for free_retries in 1..8_u32 {
        let limit = RetryLimit {
            ratio: 0.0,
            slack: f64::from(free_retries),
            vm_count: 1,
        };
        let mut harness = RelayHarness::with_retry_limit(1, limit);
        harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
        harness.apply(RelayEvent::EndpointChanges(endpoints()));
        harness.effects.clear();
        let mut was_refused = false;
        let (call, first) = harness.start_stream("/resumable/1");
        harness.deliver(first.exchange, progress(1));
        harness.deliver(first.exchange, CLOSED);
        for _ in 0..30 {
            for sent in harness.take_sends() {
                match sent.work {
                    Work::Reserve { .. } => {
                        let reservation = "second".into();
                        harness.deliver(sent.exchange, ExchangeEvent::Reserved { reservation });
                    }
                    Work::Prefill => {
                        was_refused = true;
                        harness.deliver(sent.exchange, REFUSED);
                    }
                    _ => harness.deliver(sent.exchange, ExchangeEvent::StreamBegan),
                }
            }
            harness.advance(ms(50));
        }
        // Without a retry for the resumption itself, the stream can't go on.
        if was_refused {
            assert_eq!(harness.final_effect(call), None, "{free_retries} retries");
        }
    }
}

// Guards against a broken stream that is cut off with most of its time left, because the engines that could take it over
// are silent for two seconds.
#[test]
fn broken_stream_waits_for_engines_that_are_silent_for_a_while() {
    let mut harness = RelayHarness::configured(1);
    let (call, first) = harness.start_stream("/resumable/1");
    harness.deliver(first.exchange, progress(1));
    harness.deliver(first.exchange, CLOSED);
    for step in 0..40 {
        harness.advance(ms(50));
        assert_eq!(harness.final_effect(call), None, "after {} ms", step * 50);
    }
}

// Guards against a second silent endpoint that is given up for a third one, which refuses.
#[test]
fn second_silent_lookup_is_kept_when_a_third_endpoint_is_tried() {
    let mut table = routes(1);
    for route in &mut table.routes {
        route.max_attempts = 3;
    }
    let mut list = endpoints();
    let third = listed("shop-3", "shop", Role::Plain);
    list.push(EndpointListChange::Listed(third));
    let mut harness = configured(table, list);
    let call = harness.submit("/look/1");
    let first = harness.take_only_send();
    harness.advance(ms(650));
    let second = harness.take_only_send();
    harness.advance(ms(650));
    for sent in harness.take_sends() {
        harness.deliver(sent.exchange, REFUSED);
    }
    // The first endpoint has ended after all; the second one was only slow.
    harness.deliver(first.exchange, CLOSED);
    assert!(!is_closed(&harness, second.exchange), "closed");
    assert_eq!(harness.final_effect(call), None);
}

// Guards against a prompt that may crash its engines and is sent to a third one, because the first of the two that ended was
// silent before.
#[test]
fn suspect_prompt_is_not_sent_on_when_its_silent_engine_ends() {
    let mut table = routes(1);
    for route in &mut table.routes {
        route.max_attempts = 4;
    }
    let mut list = endpoints();
    for instance in ["decode-3", "decode-4"] {
        let entry = listed(instance, "model", Role::Decode);
        list.push(EndpointListChange::Listed(entry));
    }
    let mut harness = configured(table, list);
    let parts = vec![PartId("part".into())];
    harness.submit_with_parts("/resumable/1", parts);
    let first = harness.advance_to_decode();
    harness.deliver(first.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(first.exchange, progress(1));
    harness.advance(ms(1_300));
    let next = harness.advance_to_decode();
    harness.deliver(next.exchange, CLOSED);
    harness.deliver(first.exchange, CLOSED);
    let mut runs = 0;
    for _ in 0..20 {
        for sent in harness.take_sends() {
            let event = match sent.work {
                Work::Reserve { .. } => ExchangeEvent::Reserved {
                    reservation: "third".into(),
                },
                Work::Prefill => ExchangeEvent::PrefillDone { handle: "h".into() },
                _ => {
                    runs += 1;
                    continue;
                }
            };
            harness.deliver(sent.exchange, event);
        }
        harness.advance(ms(20));
    }
    assert_eq!(runs, 0, "sent to a third engine");
}

// Guards against a generation without a stream that two engines run side by side.
#[test]
fn silent_generation_does_not_run_at_two_engines_for_long() {
    let mut table = routes(1);
    for route in &mut table.routes {
        if route.is_model_route {
            route.is_stream = false;
            route.is_resumable = false;
            route.semantics = Semantics::Idempotent;
            route.max_attempts = 2;
        }
    }
    let mut harness = configured(table, endpoints());
    harness.submit("/resumable/1");
    let first = harness.advance_to_decode();
    harness.advance(ms(2_200));
    let second = harness.advance_to_decode();
    harness.advance(ms(400));
    let closed = [&first, &second].map(|run| is_closed(&harness, run.exchange));
    assert!(closed.contains(&true), "both run");
}

fn permission(harness: &mut RelayHarness, sent: &SendCommand) -> SendPermission {
    harness.permission(sent.exchange)
}

// Guards against requests that reach no endpoint because each connection takes longer than the silence that is allowed, and against a
// stream that begins at two engines because the first one's connection opens late.
#[test]
fn request_whose_connection_opens_after_the_move_is_sent_only_if_it_may_run_twice() {
    let mut harness = RelayHarness::configured(1);
    harness.submit("/look/1");
    let first = harness.take_only_send();
    let second = loop {
        harness.advance(ms(50));
        if let Some(second) = harness.take_sends().pop() {
            break second;
        }
    };
    assert_ne!(second.instance, first.instance);
    assert_eq!(permission(&mut harness, &first), SendPermission::Granted);
    assert_eq!(permission(&mut harness, &second), SendPermission::Granted);
    let mut harness = RelayHarness::configured(1);
    harness.submit("/resumable/1");
    let silent = harness.advance_to_decode();
    harness.advance(ms(3_000));
    let next = harness.advance_to_decode();
    assert_ne!(next.instance, silent.instance);
    assert_eq!(permission(&mut harness, &silent), SendPermission::Withdrawn);
    assert_eq!(permission(&mut harness, &next), SendPermission::Granted);
}
