//! Limits that endpoints name, at one VM: answers that name or lift them, shares, and requests that wait for them.

use std::time::Duration;

use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::Work;
use arbutusfall_wire::Name;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

/// Longest time until a VM has read a record: the pause between two reads and the read itself.
const READ_LAG: Duration = Duration::from_millis(500);

/// Returns a VM to which an endpoint has named a limit, and the endpoint.
fn limited_harness() -> (RelayHarness, Name) {
    let mut harness = RelayHarness::configured(5);
    harness.submit("/look/");
    let send = harness.take_only_send();
    harness.advance(ms(30));
    harness.deliver(send.exchange, ExchangeEvent::LimitNamed { per_s: 2.0 });
    harness.deliver(send.exchange, ExchangeEvent::Complete { status: 200 });
    (harness, send.instance)
}

fn limited_count(harness: &RelayHarness) -> usize {
    harness.relay.limit_status().endpoints
}

// Guards against an answer to an earlier request that lifts a limit, or names one that was lifted.
#[test]
fn answers_that_overtake_each_other_do_not_change_a_limit_back() {
    let mut harness = RelayHarness::configured(5);
    let mut sends = Vec::new();
    for _ in 0..6 {
        harness.submit("/look/");
        sends.push(harness.take_only_send());
    }
    let instance = sends[0].instance.clone();
    sends.retain(|send| send.instance == instance);
    assert!(sends.len() >= 3);
    harness.advance(ms(20));
    harness.deliver(sends[1].exchange, ExchangeEvent::LimitNamed { per_s: 2.0 });
    // Sent before the limit was known.
    harness.deliver(sends[0].exchange, ExchangeEvent::LimitAbsent);
    assert_eq!(limited_count(&harness), 1);
    // The VM takes shares and sends twice again; the answer to the later request comes first and names none.
    take_shares(&mut harness);
    let earlier = send_to(&mut harness, &instance);
    harness.advance(ms(10));
    let later = send_to(&mut harness, &instance);
    harness.deliver(later, ExchangeEvent::LimitAbsent);
    assert_eq!(limited_count(&harness), 0);
    harness.deliver(earlier, ExchangeEvent::LimitNamed { per_s: 2.0 });
    assert_eq!(limited_count(&harness), 0);
}

/// Plays some seconds in which requests want the limited endpoint, and the VM reads what it appends.
fn take_shares(harness: &mut RelayHarness) {
    for _ in 0..40 {
        harness.submit("/look/");
        harness.take_sends();
        harness.advance(ms(100));
        read_back(harness);
    }
}

/// Confirms the records that the VM has appended, and lets it read them.
pub(crate) fn read_back(harness: &mut RelayHarness) -> Vec<SharedRecord> {
    let mut records = Vec::new();
    harness.effects.retain(|effect| match effect {
        RelayEffect::AppendShared(appended) => {
            records.extend(appended.iter().cloned());
            false
        }
        _ => true,
    });
    let shares = records.iter();
    let shares = shares.filter(|record| matches!(record, SharedRecord::Share { .. }));
    let shares: Vec<SharedRecord> = shares.cloned().collect();
    if !records.is_empty() {
        harness.apply(RelayEvent::SharedAppended { succeeded: true });
        let is_full = false;
        harness.apply(RelayEvent::SharedRecords { records, is_full });
    }
    shares
}

/// Submits requests until one is sent to the endpoint.
fn send_to(harness: &mut RelayHarness, instance: &str) -> ExchangeId {
    for _ in 0..60 {
        harness.submit("/look/");
        let sends = harness.take_sends();
        if let Some(send) = sends.iter().find(|send| *send.instance == *instance) {
            assert!(send.is_limited);
            return send.exchange;
        }
        harness.advance(ms(100));
    }
    panic!("no request was sent to {instance}");
}

// Guards against two VMs that use a share at the same time: the last one to write gets it, and others read that later.
#[test]
fn share_is_not_used_before_other_vms_have_read_who_holds_it() {
    let mut harness = RelayHarness::configured(5);
    harness.submit("/look/");
    let send = harness.take_only_send();
    harness.deliver(send.exchange, ExchangeEvent::LimitNamed { per_s: 900.0 });
    let mut first_record_at = None;
    for _ in 0..300 {
        harness.submit("/look/");
        let sends = harness.take_sends();
        if sends.iter().any(|later| later.instance == send.instance) {
            break;
        }
        harness.advance(ms(10));
        if !read_back(&mut harness).is_empty() {
            first_record_at.get_or_insert(harness.now);
        }
    }
    let first_record_at = first_record_at.expect("the VM takes shares");
    assert!(harness.now >= first_record_at + READ_LAG);
    assert!(harness.now < first_record_at + ms(2_500));
}

/// Grants all reservations, whose callers then leave.
fn grant_reservations(harness: &mut RelayHarness) {
    for reserve in harness.take_sends() {
        let reservation = "reservation".into();
        let event = ExchangeEvent::Reserved { reservation };
        harness.deliver(reserve.exchange, event);
        let call = reserve.call;
        harness.apply(RelayEvent::CallerGone { call });
    }
    harness.take_sends();
}

// Guards against model requests that are refused although the next token comes in time.
#[test]
fn model_request_waits_for_the_next_token_of_a_limited_engine() {
    let mut harness = RelayHarness::configured(5);
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Removed {
            instance: "decode-2".into(),
        },
    ]));
    harness.apply(RelayEvent::ControlLimit {
        instance: "decode-1".into(),
        per_s: 8.0,
    });
    for _ in 0..40 {
        harness.submit("/stream/");
        grant_reservations(&mut harness);
        harness.advance(ms(100));
        grant_reservations(&mut harness);
        read_back(&mut harness);
    }
    for _ in 0..24 {
        harness.advance(ms(50));
        grant_reservations(&mut harness);
        read_back(&mut harness);
    }
    // Two tokens are there, for one of these.
    let calls = [harness.submit("/stream/"), harness.submit("/stream/")];
    assert_eq!(harness.take_sends().len(), 1);
    harness.advance(ms(290));
    assert_eq!(harness.take_sends().len(), 1);
    assert!(
        calls
            .iter()
            .all(|call| harness.final_effect(*call).is_none())
    );
}

// Guards against a limit that an endpoint has no more after it started again under its id.
#[test]
fn endpoint_that_starts_again_has_no_limit() {
    let (mut harness, instance) = limited_harness();
    let mut restarted = listed(&instance, "shop", Role::Plain);
    restarted.started_unix_ms = Some(2);
    let changes = vec![EndpointListChange::Listed(restarted)];
    harness.apply(RelayEvent::EndpointChanges(changes));
    let mut count = 0;
    for _ in 0..40 {
        harness.submit("/look/");
        let sends = harness.take_sends();
        count += sends
            .iter()
            .filter(|send| send.instance == instance)
            .count();
        for send in sends {
            harness.advance(ms(30));
            harness.deliver(send.exchange, ExchangeEvent::Complete { status: 200 });
        }
    }
    assert!(count >= 10, "{count} of 40");
}

// Guards against model requests that take reservations or prefills beyond a limit.
#[test]
fn engines_without_a_share_get_neither_reservations_nor_prefills() {
    let mut harness = RelayHarness::configured(5);
    for instance in ["decode-1", "prefill-1"] {
        harness.apply(RelayEvent::ControlLimit {
            instance: instance.into(),
            per_s: 2.0,
        });
    }
    for _ in 0..6 {
        harness.submit("/stream/");
        let reserve = harness.take_only_send();
        assert_eq!(&*reserve.instance, "decode-2");
        let reservation = "reservation".into();
        let event = ExchangeEvent::Reserved { reservation };
        harness.deliver(reserve.exchange, event);
        let prefill = harness.take_only_send();
        assert_eq!(prefill.work, Work::Prefill);
        assert_eq!(&*prefill.instance, "prefill-2");
        harness.advance(ms(10));
        let handle = "handle".into();
        harness.deliver(prefill.exchange, ExchangeEvent::PrefillDone { handle });
        harness.take_sends();
    }
}

// Guards against a decode that waits for a limit although its reservation is held and its prefill is done.
#[test]
fn decode_uses_the_token_of_its_reservation() {
    let mut harness = RelayHarness::configured(5);
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Removed {
            instance: "decode-2".into(),
        },
    ]));
    harness.submit("/stream/");
    let reserve = harness.take_only_send();
    let limit = ExchangeEvent::LimitNamed { per_s: 1.0 };
    harness.deliver(reserve.exchange, limit);
    let reservation = "reservation".into();
    harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
    let prefill = harness.take_only_send();
    let handle = "handle".into();
    harness.deliver(prefill.exchange, ExchangeEvent::PrefillDone { handle });
    let decode = harness.take_only_send();
    assert!(matches!(decode.work, Work::Decode { .. }));
    assert_eq!(&*decode.instance, "decode-1");
    // The next request can't be served, and is refused at once.
    let call = harness.submit("/stream/");
    let problem = harness.problem(call).map(|problem| problem.kind);
    assert_eq!(problem, Some(ProblemKind::NotRun));
}
