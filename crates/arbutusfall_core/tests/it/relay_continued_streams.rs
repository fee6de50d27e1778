//! Started streams that go on at another engine.

use std::sync::Arc;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;
use assert_matches::assert_matches;

use crate::relay_harness::CLOSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

/// Statuses of whole answers: errors, and successes that are no event stream.
const WHOLE_STATUSES: [u16; 6] = [200, 204, 400, 404, 500, 502];

/// Returns a relay whose resumable streams have this many attempts, with three decode engines.
fn relay_with_attempts(max_attempts: u32) -> RelayHarness {
    let mut harness = RelayHarness::configured(1);
    let mut table = routes(2);
    for route in &mut table.routes {
        route.max_attempts = max_attempts;
    }
    harness.apply(RelayEvent::NewConfig(Arc::new(table)));
    let third = listed("decode-3", "model", Role::Decode);
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Listed(third),
    ]));
    harness.effects.clear();
    harness
}

/// Starts a stream that breaks off after its first event; returns its continuation at another engine.
fn continue_broken_stream(harness: &mut RelayHarness) -> (CallId, SendCommand) {
    let (call, first) = harness.start_stream("/resumable/1");
    let last_event_id = Some(1);
    harness.deliver(first.exchange, ExchangeEvent::Progress { last_event_id });
    harness.deliver(first.exchange, CLOSED);
    let second = harness.advance_to_decode();
    assert_ne!(first.instance, second.instance);
    (call, second)
}

// Guards against a stream that looks complete to its caller, because the engine that takes it over answers with an error
// or another whole answer.
#[test]
fn started_stream_is_aborted_if_its_last_attempt_has_a_whole_answer() {
    for status in WHOLE_STATUSES {
        let mut harness = relay_with_attempts(2);
        let (call, second) = continue_broken_stream(&mut harness);
        harness.deliver(second.exchange, ExchangeEvent::Complete { status });
        let end = harness.final_effect(call);
        assert_matches!(end, Some(RelayEffect::Abort { .. }), "{status}");
    }
}

#[test]
fn started_stream_goes_on_elsewhere_after_a_whole_answer() {
    for status in WHOLE_STATUSES {
        let mut harness = relay_with_attempts(3);
        let (call, second) = continue_broken_stream(&mut harness);
        harness.deliver(second.exchange, ExchangeEvent::Complete { status });
        assert_eq!(harness.final_effect(call), None, "{status}");
        // The prefill engine still has the KV cache, which no engine is known to have fetched.
        let reserve = harness.take_only_send();
        assert_ne!(reserve.instance, second.instance, "{status}");
        let reservation = "reservation".into();
        harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
        let third = harness.take_only_send();
        assert_matches!(third.work, Work::Decode { .. }, "{status}");
        harness.deliver(third.exchange, ExchangeEvent::StreamBegan);
        harness.deliver(third.exchange, ExchangeEvent::Complete { status: 200 });
        let end = harness.final_effect(call);
        assert_matches!(end, Some(RelayEffect::Finish { .. }), "{status}");
    }
}

#[test]
fn stream_that_goes_on_elsewhere_is_complete_when_the_new_stream_is() {
    let mut harness = relay_with_attempts(2);
    let (call, second) = continue_broken_stream(&mut harness);
    harness.deliver(second.exchange, ExchangeEvent::StreamBegan);
    harness.advance(ms(20));
    harness.deliver(second.exchange, ExchangeEvent::Complete { status: 200 });
    assert_matches!(harness.final_effect(call), Some(RelayEffect::Finish { .. }));
}
