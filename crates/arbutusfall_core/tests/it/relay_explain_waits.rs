//! Explanations of requests that wait: the stated reason is what the request waits for.

use std::collections::BTreeSet;
use std::sync::Arc;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExplainQuery;
use arbutusfall_core::relay::ExplainedDecision;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::WaitReason;
use arbutusfall_core::relay::Work;

use crate::relay_explain_states::peer;
use crate::relay_explain_states::request;
use crate::relay_explain_states::routes_with_accounts;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::UNREACHABLE;
use crate::relay_harness::endpoints;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::store_read;
use crate::relay_limited_endpoint::read_back;

const OK: ExchangeEvent = ExchangeEvent::Complete { status: 200 };

/// Returns what a call waits for; none if it has ended or an endpoint has it.
fn wait_reason(harness: &RelayHarness, call: CallId) -> Option<WaitReason> {
    let request_id = format!("request-{}", call.0).into();
    let asked = ExplainQuery::InProgress { request_id };
    match harness.relay.explain(asked, harness.now).ok()?.decision {
        ExplainedDecision::Waiting { reason, .. } => Some(reason),
        _ => None,
    }
}

/// Delivers an event to all exchanges of a call until none is begun any more.
fn deliver_to_all(harness: &mut RelayHarness, event: &ExchangeEvent) {
    loop {
        let sends = harness.take_sends();
        if sends.is_empty() {
            return;
        }
        for send in sends {
            harness.deliver(send.exchange, event.clone());
        }
    }
}

/// Submits plain requests that are answered at once until one waits; returns its reason.
fn first_wait_of_plain(harness: &mut RelayHarness) -> Option<WaitReason> {
    for number in 0..60 {
        let call = harness.submit(&format!("/look/{number}"));
        if let Some(reason) = wait_reason(harness, call) {
            return Some(reason);
        }
        deliver_to_all(harness, &OK);
    }
    None
}

// Guards against another reason while the owner of the quota has not answered.
#[test]
fn wait_for_the_quota_is_stated() {
    let mut harness = RelayHarness::with_own_address(1, peer("own"));
    let hash_key = SharedRecord::HashKey(Some(RequestHashKey(7)));
    harness.apply(RelayEvent::SharedRecords {
        records: vec![hash_key, peer("own"), peer("other")],
        is_full: true,
    });
    harness.apply(RelayEvent::NewConfig(Arc::new(routes_with_accounts())));
    harness.apply(store_read(true));
    harness.apply(RelayEvent::EndpointChanges(endpoints()));
    let call = CallId(1);
    let limited = request(call, "/look/1", Some("museum"), 0);
    harness.apply(RelayEvent::RequestReceived(Box::new(limited)));
    assert_eq!(wait_reason(&harness, call), Some(WaitReason::Quota));
}

// Guards against another reason while all decode engines refuse reservations.
#[test]
fn wait_for_decode_memory_is_stated() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/stream/1");
    deliver_to_all(&mut harness, &REFUSED);
    assert_eq!(wait_reason(&harness, call), Some(WaitReason::DecodeMemory));
}

// Guards against `decode_memory` while decode engines have memory and the prefill engines are busy.
#[test]
fn wait_for_a_prefill_engine_is_stated() {
    let mut harness = RelayHarness::configured(1);
    let mut reason = None;
    for number in 0..40 {
        let call = harness.submit(&format!("/stream/{number}"));
        reason = wait_reason(&harness, call);
        if reason.is_some() {
            break;
        }
        for send in harness.take_sends() {
            assert!(matches!(send.work, Work::Reserve { .. }));
            let reservation = format!("r{number}").as_str().into();
            harness.deliver(send.exchange, ExchangeEvent::Reserved { reservation });
        }
        // The prefills go on.
        harness.take_sends();
    }
    assert_eq!(reason, Some(WaitReason::Prefill));
}

// Guards against another reason while all endpoints have used up the limits that they named.
#[test]
fn wait_for_the_limits_of_endpoints_is_stated() {
    let mut harness = RelayHarness::configured(1);
    for instance in ["shop-1", "shop-2"] {
        harness.apply(RelayEvent::ControlLimit {
            instance: instance.into(),
            per_s: 8.0,
        });
    }
    let mut reasons = BTreeSet::new();
    for number in 0..60 {
        // The VM takes shares of the limits while requests want them.
        let call = harness.submit(&format!("/look/{number}"));
        reasons.extend(wait_reason(&harness, call).map(WaitReason::name));
        deliver_to_all(&mut harness, &OK);
        harness.advance(ms(100));
        deliver_to_all(&mut harness, &OK);
        read_back(&mut harness);
    }
    for number in 0..40 {
        let call = harness.submit(&format!("/look/{number}"));
        reasons.extend(wait_reason(&harness, call).map(WaitReason::name));
    }
    assert_eq!(reasons, BTreeSet::from(["endpoint_limit"]));
}

// Guards against another reason while a VM limits a service whose endpoints reject requests.
#[test]
fn wait_for_the_limit_of_a_service_is_stated() {
    let mut harness = RelayHarness::unconfigured(1);
    harness.apply(RelayEvent::NewConfig(Arc::new(routes_with_accounts())));
    harness.apply(RelayEvent::EndpointChanges(endpoints()));
    harness.credential = request(CallId(1), "/look/1", Some("archive"), 0).credential;
    for number in 0..400 {
        harness.submit(&format!("/look/{number}"));
        deliver_to_all(&mut harness, &OK);
        harness.advance(ms(5));
    }
    for number in 0..4 {
        harness.submit(&format!("/look/{number}"));
        deliver_to_all(&mut harness, &REFUSED);
    }
    assert_eq!(
        first_wait_of_plain(&mut harness),
        Some(WaitReason::ServiceLimit)
    );
}

// Guards against another reason while all endpoints rest.
#[test]
fn wait_for_the_end_of_a_rest_is_stated() {
    let mut harness = RelayHarness::configured(1);
    for instance in ["shop-1", "shop-2"] {
        harness.apply(RelayEvent::ControlRest {
            instance: instance.into(),
            rest: ms(100),
        });
    }
    // A request waits only if the first rest ends soon, and the rests have a random addition.
    let mut reason = None;
    while reason.is_none() && harness.relay.resting_endpoints() == 2 {
        let call = harness.submit("/look/1");
        reason = wait_reason(&harness, call);
        harness.advance(ms(10));
    }
    assert_eq!(reason, Some(WaitReason::Rest));
}

// Guards against another reason while no connection to any endpoint opens.
#[test]
fn wait_for_reachable_endpoints_is_stated() {
    let mut harness = RelayHarness::configured(1);
    let call = harness.submit("/look/1");
    deliver_to_all(&mut harness, &UNREACHABLE);
    assert_eq!(wait_reason(&harness, call), Some(WaitReason::Reach));
}

// Guards against another reason while the store is asked which version began a stream.
#[test]
fn wait_for_the_origin_of_a_stream_is_stated() {
    let mut harness = RelayHarness::configured(1);
    let newer = EndpointListChange::Listed(ListedEndpoint {
        version: "v2".into(),
        ..listed("decode-3", "model", Role::Decode)
    });
    harness.apply(RelayEvent::EndpointChanges(vec![newer]));
    let call = harness.submit_resumption("/resumable/1", Some("earlier"));
    assert_eq!(harness.take_sends(), []);
    assert_eq!(wait_reason(&harness, call), Some(WaitReason::StreamOrigin));
}
