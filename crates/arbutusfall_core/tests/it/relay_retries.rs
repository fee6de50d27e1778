//! Retries of the relay: when a request is sent again, and the retry budget.

use arbutusfall_core::ProblemKind;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;
use assert_matches::assert_matches;

use crate::relay_harness::CLOSED;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::ms;

#[test]
fn failed_lookup_is_retried_once_at_the_other_endpoint() {
    for event in [CLOSED, ExchangeEvent::Complete { status: 500 }] {
        let mut harness = RelayHarness::configured(1);
        let call = harness.submit("/look/1");
        let first = harness.take_only_send();
        harness.deliver(first.exchange, event);
        let second = harness.take_only_send();
        assert_ne!(first.instance, second.instance);
        harness.deliver(second.exchange, ExchangeEvent::Complete { status: 500 });
        assert!(harness.take_sends().is_empty(), "sent a third time");
        assert_matches!(harness.final_effect(call), Some(RelayEffect::Answer { .. }));
    }
}

#[test]
fn silent_lookup_is_retried_at_the_other_endpoint() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/look/1");
    let first = harness.take_only_send();
    harness.advance(ms(600));
    let second = harness.take_only_send();
    assert_ne!(first.instance, second.instance);
    let exchange = first.exchange;
    let close = RelayEffect::Close { exchange };
    assert!(!harness.effects.contains(&close), "it may still answer");
    let exchange = second.exchange;
    harness.deliver(exchange, ExchangeEvent::Complete { status: 200 });
    let answer = RelayEffect::Answer { call, exchange };
    assert_eq!(harness.final_effect(call), Some(&answer));
    assert!(harness.effects.contains(&close), "it runs for nobody");
}

// Guards against a silent exchange that is never retried because the budget was spent when its silence was first noticed.
#[test]
fn silent_lookup_is_retried_once_the_budget_allows_it() {
    let mut harness = RelayHarness::configured(1);
    spend_budget(&mut harness);
    harness.submit("/look/1");
    let silent = harness.take_only_send();
    harness.advance(ms(700));
    assert_eq!(harness.take_sends(), [], "the budget is spent");
    for _ in 0..20 {
        harness.submit("/pay/1");
    }
    harness.take_sends();
    harness.advance(ms(700));
    let sends = harness.take_sends();
    let is_retry = |sent: &SendCommand| sent.call == silent.call;
    assert!(sends.iter().any(is_retry), "{sends:?}");
}

/// Fails requests until no retry is allowed.
fn spend_budget(harness: &mut RelayHarness) {
    for _ in 0..10 {
        harness.submit("/look/1");
        while let Some(sent) = harness.take_sends().pop() {
            harness.deliver(sent.exchange, CLOSED);
        }
    }
}

// Guards against retries that spend the budget on a service all of whose endpoints refuse requests.
#[test]
fn request_that_the_whole_service_refuses_is_not_retried() {
    let mut harness = RelayHarness::configured(1);
    for _ in 0..20 {
        refuse_all_sends(&mut harness, "/pay/1");
    }
    assert_eq!(refuse_all_sends(&mut harness, "/pay/2"), 1);
}

#[test]
fn request_that_one_endpoint_refuses_is_retried_at_another() {
    let mut harness = RelayHarness::configured(1);
    for _ in 0..20 {
        harness.submit("/pay/1");
        let sent = harness.take_only_send();
        harness.deliver(sent.exchange, ExchangeEvent::Complete { status: 200 });
    }
    assert_eq!(refuse_all_sends(&mut harness, "/pay/2"), 2);
}

/// Submits a request and refuses each send of it; returns the number of sends.
fn refuse_all_sends(harness: &mut RelayHarness, path: &str) -> usize {
    let call = harness.submit(path);
    let mut sends = 0;
    loop {
        let newest = harness.take_sends();
        if newest.is_empty() {
            break;
        }
        sends += newest.len();
        for sent in newest {
            harness.deliver(sent.exchange, REFUSED);
        }
    }
    let problem = harness.problem(call).expect("the call was refused");
    assert_eq!(problem.kind, ProblemKind::NotRun);
    sends
}

#[test]
fn retries_stay_within_the_budget() {
    let mut harness = RelayHarness::configured(1);
    let mut sends = 0;
    for _ in 0..100 {
        harness.submit("/look/1");
        for _ in 0..2 {
            for sent in harness.take_sends() {
                sends += 1;
                harness.deliver(sent.exchange, CLOSED);
            }
        }
    }
    let retries = sends - 100;
    assert!(retries <= 2 + 20, "{retries} retries for 100 requests");
}

#[test]
fn second_prefill_of_a_request_counts_against_the_retry_budget() {
    let mut harness = RelayHarness::configured(1);
    let mut extra = 0;
    for index in 0..50 {
        harness.submit(&format!("/stream/{index}"));
        let mut prefills: usize = 0;
        let mut decodes: usize = 0;
        for _ in 0..6 {
            for sent in harness.take_sends() {
                let event = match sent.work {
                    Work::Reserve { .. } => ExchangeEvent::Reserved {
                        reservation: "r".into(),
                    },
                    Work::Prefill => ExchangeEvent::PrefillDone { handle: "h".into() },
                    _ => REFUSED,
                };
                prefills += usize::from(sent.work == Work::Prefill);
                decodes += usize::from(matches!(sent.work, Work::Decode { .. }));
                harness.deliver(sent.exchange, event);
            }
        }
        extra += prefills.saturating_sub(1) + decodes.saturating_sub(1);
        harness.now += ms(200);
    }
    // A fifth of the requests (the retry ratio), plus a sixth of a bound that is looser than the budget's own: six VMs
    // together make at most 52 further retries in the ten seconds of this test.
    let allowed = 50 / 5 + 52 / 6;
    assert!(
        extra <= allowed,
        "{extra} repeated prefills and decodes for 50 requests"
    );
}

// Guards against cutting off a caller's stream because requests whose streams had not started spent the whole budget.
#[test]
fn broken_stream_resumes_although_other_requests_spent_their_budget() {
    let mut harness = RelayHarness::configured(1);
    let (call, decode) = harness.start_stream("/resumable/1");
    for event_id in 1..5 {
        let last_event_id = Some(event_id);
        let progress = ExchangeEvent::Progress { last_event_id };
        harness.deliver(decode.exchange, progress);
        harness.submit("/resumable/2");
        let other = harness.advance_to_decode();
        harness.deliver(other.exchange, CLOSED);
        harness.take_sends();
        harness.advance(ms(1_000));
        harness.take_sends();
    }
    harness.effects.clear();
    harness.deliver(decode.exchange, CLOSED);
    assert_eq!(harness.final_effect(call), None);
}

// Guards against fetching a prefill result a second time after a decode engine refused it and left the endpoint list.
#[test]
fn refused_prefill_result_is_not_used_again_when_the_engine_has_left_the_list() {
    let mut harness = RelayHarness::configured(1);
    harness.submit("/resumable/1");
    let decode = harness.advance_to_decode();
    let instance = decode.instance.clone();
    let removed = EndpointListChange::Removed { instance };
    harness.apply(RelayEvent::EndpointChanges(vec![removed]));
    let reason = NotRunReason::Refused;
    harness.deliver(decode.exchange, ExchangeEvent::NotRun { reason });
    let reserve = harness.take_only_send();
    let reservation = "second".into();
    harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
    let next = harness.take_only_send();
    assert_eq!(next.work, Work::Prefill);
}
