//! Requests that go through another VM, because their VM does not reach the endpoints.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ForwardCommand;
use arbutusfall_core::relay::Hop;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::PeerAddress;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SentAccount;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StreamLookup;
use arbutusfall_core::relay::StreamOrigin;
use arbutusfall_core::relay::VmStrength;
use arbutusfall_core::relay::Work;

use crate::relay_harness::CLOSED;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::UNREACHABLE;
use crate::relay_harness::connect_answer;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

fn peer(vm: &str, data_centre: &str) -> SharedRecord {
    let port = 7_000 + vm.bytes().map(u16::from).sum::<u16>();
    SharedRecord::Peer {
        vm: vm.into(),
        peer: Some(PeerAddress {
            address: ([10, 0, 0, 2], port).into(),
            data_centre: data_centre.into(),
            strength: VmStrength::default(),
        }),
    }
}

/// A VM of data centre `a` that knows these others.
fn vm_with_peers(peers: &[(&str, &str)]) -> RelayHarness {
    let mut harness = RelayHarness::with_own_address(1, peer("own", "a"));
    let peers = peers.iter().chain(&[("own", "a")]);
    let peers = peers.map(|(vm, data_centre)| peer(vm, data_centre));
    let mut records = vec![SharedRecord::HashKey(Some(RequestHashKey(7)))];
    records.extend(peers);
    harness.apply(RelayEvent::SharedRecords {
        records,
        is_full: true,
    });
    harness.with_site()
}

/// Ends the VM's checks of endpoints.
fn end_checks(harness: &mut RelayHarness, is_reachable: bool) {
    harness.end_connects(|_| connect_answer(is_reachable));
}

/// Cuts the VM off from its plain service, by a request whose connections fail; returns the request and what is sent then.
fn cut_off(harness: &mut RelayHarness, path: &str) -> (CallId, Vec<SendCommand>) {
    let call = harness.submit_with_timeout(path, ms(1_500));
    let mut sends = harness.take_sends();
    while let Some(direct) = sends.first().filter(|sent| sent.work == Work::Plain) {
        harness.advance(ms(5));
        harness.deliver(direct.exchange, UNREACHABLE);
        end_checks(harness, false);
        sends = harness.take_sends();
    }
    (call, sends)
}

fn forwarded(command: &SendCommand) -> &ForwardCommand {
    match &command.work {
        Work::Forward(forward) => forward,
        other => panic!("not forwarded: {other:?}"),
    }
}

fn hop() -> Hop {
    Hop {
        from_vm: "other".into(),
        service: "shop".into(),
        config_version: 1,
        attempts: 0,
        endpoint_ends: 0,
        stream_version: None,
        account: SentAccount::Unchanged,
    }
}

fn is_declined(harness: &RelayHarness, call: CallId) -> bool {
    let decline = RelayEffect::Decline { call };
    harness.effects.contains(&decline)
}

// Guards against a VM that takes endpoints for gone because it does not reach them itself.
#[test]
fn request_goes_through_another_vm_once_no_endpoint_of_its_service_is_reached() {
    for path in ["/pay/1", "/look/1"] {
        let mut harness = vm_with_peers(&[("near", "a"), ("far", "b")]);
        let (call, sends) = cut_off(&mut harness, path);
        assert_eq!(sends.len(), 1, "{sends:?}");
        assert_eq!(&*sends[0].instance, "near");
        let forward = forwarded(&sends[0]);
        assert_eq!(forward.caller_timeout, Some(ms(1_500)));
        assert_eq!(forward.elapsed, ms(10));
        assert_eq!(forward.hop.attempts, 0);
        let exchange = sends[0].exchange;
        harness.deliver(exchange, ExchangeEvent::Complete { status: 200 });
        let answer = RelayEffect::Answer { call, exchange };
        assert_eq!(harness.final_effect(call), Some(&answer));
        // The next request does not try endpoints first.
        harness.submit(path);
        let next = harness.take_only_send();
        assert_eq!(&*next.instance, "near");
    }
}

// Guards against requests that go through another VM although one of the service's endpoints is reached.
#[test]
fn request_does_not_go_through_another_vm_while_an_endpoint_is_reached() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    harness.submit("/look/1");
    let first = harness.take_only_send();
    harness.advance(ms(5));
    harness.deliver(first.exchange, UNREACHABLE);
    end_checks(&mut harness, true);
    let second = harness.take_only_send();
    assert_eq!(second.work, Work::Plain);
    // Its connection was opened after the one that failed.
    harness.deliver(second.exchange, ExchangeEvent::Complete { status: 200 });
    harness.advance(ms(10));
    harness.submit("/look/2");
    assert_eq!(harness.take_only_send().work, Work::Plain);
}

// Guards against connections that live on while new ones fail and that are taken for a sign that the service is reached.
#[test]
fn answer_on_a_connection_from_before_does_not_make_a_service_reachable() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    harness.submit("/look/0");
    let open = harness.take_only_send();
    harness.advance(ms(10));
    cut_off(&mut harness, "/look/1");
    harness.deliver(open.exchange, ExchangeEvent::Complete { status: 200 });
    harness.submit("/look/2");
    forwarded(&harness.take_only_send());
}

// Guards against a VM that stays away from endpoints after they are reached again.
#[test]
fn request_goes_to_an_endpoint_again_once_a_check_reaches_one() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    cut_off(&mut harness, "/look/1");
    harness.advance(ms(350));
    end_checks(&mut harness, true);
    harness.take_sends();
    harness.submit("/look/2");
    assert_eq!(harness.take_only_send().work, Work::Plain);
}

// Guards against a request that is lost because the first VM that is asked can't take it.
#[test]
fn declined_request_goes_to_the_next_vm_and_then_to_endpoints() {
    let mut harness = vm_with_peers(&[("near", "a"), ("far", "b")]);
    let (call, sends) = cut_off(&mut harness, "/pay/1");
    harness.deliver(sends[0].exchange, REFUSED);
    let second = harness.take_only_send();
    assert_eq!(&*second.instance, "far");
    harness.deliver(second.exchange, UNREACHABLE);
    // No VM is left; one of the endpoints may be back soon.
    assert_eq!(harness.take_sends(), []);
    assert_eq!(harness.final_effect(call), None);
    harness.advance(ms(300));
    end_checks(&mut harness, true);
    harness.advance(ms(300));
    assert_eq!(harness.take_only_send().work, Work::Plain);
}

// Guards against a non-idempotent request that runs twice because the way through another VM broke after it was sent.
#[test]
fn request_whose_way_broke_after_the_send_goes_on_only_if_it_may_run_again() {
    for (path, goes_on) in [("/pay/1", false), ("/look/1", true)] {
        let mut harness = vm_with_peers(&[("near", "a"), ("far", "b")]);
        let (call, sends) = cut_off(&mut harness, path);
        harness.deliver(sends[0].exchange, CLOSED);
        let sends = harness.take_sends();
        if goes_on {
            assert_eq!(&*sends[0].instance, "far");
            assert_eq!(forwarded(&sends[0]).hop.attempts, 1);
        } else {
            assert_eq!(sends, []);
            let problem = harness.problem(call).expect("the call has ended");
            assert_eq!(problem.kind, ProblemKind::UpstreamFailed);
        }
    }
}

// Guards against a refusal of the other VM that is taken for one of an endpoint and sent again.
#[test]
fn final_answer_of_another_vm_is_passed_on_whatever_its_status() {
    for status in [502, 503, 504] {
        let mut harness = vm_with_peers(&[("near", "a"), ("far", "b")]);
        let (call, sends) = cut_off(&mut harness, "/look/1");
        let exchange = sends[0].exchange;
        harness.deliver(exchange, ExchangeEvent::Complete { status });
        assert_eq!(harness.take_sends(), []);
        let answer = RelayEffect::Answer { call, exchange };
        assert_eq!(harness.final_effect(call), Some(&answer));
    }
}

// Guards against a request that takes more than one hop, or a circle.
#[test]
fn forwarded_request_is_declined_by_a_vm_that_does_not_reach_its_service() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    cut_off(&mut harness, "/look/1");
    let call = harness.submit_forwarded("/pay/1", hop(), ms(1_500), ms(0));
    assert_eq!(harness.take_sends(), []);
    assert!(is_declined(&harness, call));
}

// Guards against a request that ends with a refusal where another VM could have taken it: the VM finds out late that it
// reaches nothing.
#[test]
fn forwarded_request_is_declined_if_its_vm_finds_no_endpoint_before_it_ran() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    let call = harness.submit_forwarded("/pay/1", hop(), ms(1_500), ms(0));
    let mut sends = harness.take_sends();
    while let Some(direct) = sends.first() {
        assert_eq!(direct.work, Work::Plain);
        harness.deliver(direct.exchange, UNREACHABLE);
        end_checks(&mut harness, false);
        sends = harness.take_sends();
    }
    assert!(is_declined(&harness, call));
}

// Guards against a request that is handled as only an older configuration allows, and against requests that a VM takes
// while it stops.
#[test]
fn forwarded_request_is_declined_by_a_vm_that_can_not_take_it() {
    let mut newer = hop();
    newer.config_version = 2;
    let mut harness = vm_with_peers(&[]);
    let call = harness.submit_forwarded("/pay/1", newer.clone(), ms(1_500), ms(0));
    assert!(is_declined(&harness, call));
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(2))));
    let call = harness.submit_forwarded("/pay/1", newer, ms(1_500), ms(0));
    assert!(!is_declined(&harness, call));
    harness.apply(RelayEvent::Terminate);
    let call = harness.submit_forwarded("/pay/1", hop(), ms(1_500), ms(0));
    assert!(is_declined(&harness, call));
}

// Guards against an endpoint that is given the caller's whole time again, and against attempts that are counted anew.
#[test]
fn forwarded_request_has_the_time_and_the_attempts_that_are_left() {
    let mut used = hop();
    used.attempts = 1;
    let mut harness = vm_with_peers(&[]);
    let call = harness.submit_forwarded("/look/1", used, ms(1_500), ms(400));
    let sent = harness.take_only_send();
    assert_eq!(sent.time_left, ms(1_100));
    harness.deliver(sent.exchange, CLOSED);
    assert_eq!(harness.take_sends(), []);
    assert!(harness.problem(call).is_some());
}

// Guards against a stream that goes on at another version because another VM took it up.
#[test]
fn forwarded_stream_goes_on_at_the_version_that_began_it() {
    let mut of_stream = hop();
    of_stream.service = "model".into();
    of_stream.stream_version = Some("v2".into());
    let mut harness = vm_with_peers(&[]);
    let mut other_version = listed("decode-3", "model", Role::Decode);
    other_version.version = "v2".into();
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Listed(other_version),
    ]));
    harness.submit_forwarded("/resumable/1", of_stream, ms(14_000), ms(0));
    let sent = harness.take_only_send();
    assert_eq!(&*sent.instance, "decode-3");
}

// Guards against model requests that wait for memory of engines that their VM does not reach.
#[test]
fn waiting_requests_go_through_another_vm_once_their_engines_are_not_reached() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    let first = harness.submit("/stream/1");
    let reserve = harness.take_only_send();
    harness.deliver(reserve.exchange, REFUSED);
    let second = harness.take_only_send();
    harness.deliver(second.exchange, REFUSED);
    assert_eq!(harness.take_sends(), []);
    assert_eq!(harness.final_effect(first), None);
    cut_off_engines(&mut harness);
    let sends = harness.take_sends();
    assert_eq!(sends.len(), 1, "{sends:?}");
    assert_eq!(sends[0].call, first);
    forwarded(&sends[0]);
}

// Guards against the record of a VM that the store has lost or never had, and against one that is written again and again.
#[test]
fn vm_records_its_address_unless_the_store_has_it() {
    let own = || peer("own", "a");
    for is_recorded in [false, true] {
        let mut harness = RelayHarness::with_own_address(1, own());
        let mut records = vec![SharedRecord::HashKey(Some(RequestHashKey(7)))];
        records.extend(is_recorded.then(own));
        harness.apply(RelayEvent::SharedRecords {
            records,
            is_full: true,
        });
        harness.advance(Duration::from_secs(5));
        let appended = harness.effects.iter().any(|effect| {
            matches!(effect, RelayEffect::AppendShared(records) if records.contains(&own()))
        });
        assert_eq!(appended, !is_recorded);
    }
}

// Guards against a sound VM that is avoided since a stream of an endpoint broke off behind it.
#[test]
fn vm_behind_which_a_stream_broke_off_is_used_again() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    cut_off_engines(&mut harness);
    for number in 0..3 {
        let call = harness.submit(&format!("/stream/{number}"));
        let sent = harness.take_only_send();
        assert_eq!(&*sent.instance, "near", "{number}");
        harness.deliver(sent.exchange, ExchangeEvent::StreamBegan);
        harness.deliver(sent.exchange, CLOSED);
        assert!(harness.final_effect(call).is_some());
    }
}

// Guards against a request that ends one endpoint after the other because each VM counts anew.
#[test]
fn request_that_may_have_ended_an_endpoint_is_told_so_to_the_next_vm() {
    let mut harness = vm_with_peers(&[("near", "a"), ("far", "b")]);
    cut_off_engines(&mut harness);
    harness.submit("/resumable/1");
    let sent = harness.take_only_send();
    harness.deliver(sent.exchange, CLOSED);
    let again = harness.take_only_send();
    assert_eq!(forwarded(&again).hop.endpoint_ends, 1);
}

/// Cuts the VM off from all engines.
fn cut_off_engines(harness: &mut RelayHarness) {
    for instance in ["decode-1", "decode-2", "prefill-1"] {
        harness.advance(ms(1));
        harness.apply(RelayEvent::EndpointChecked {
            instance: instance.into(),
            asked_at: harness.now,
            answer: connect_answer(false),
        });
    }
}

// Guards against a stream that goes on at another version than that at which it began behind another VM.
#[test]
fn stream_that_broke_off_behind_another_vm_goes_on_at_its_version() {
    for is_version_stated in [true, false] {
        let mut harness = vm_with_peers(&[("near", "a")]);
        cut_off_engines(&mut harness);
        let call = harness.submit("/resumable/1");
        let exchange = harness.take_only_send().exchange;
        if is_version_stated {
            let version = "v2".into();
            harness.deliver(exchange, ExchangeEvent::VersionStated { version });
        }
        harness.deliver(exchange, ExchangeEvent::StreamBegan);
        let last_event_id = Some(1);
        harness.deliver(exchange, ExchangeEvent::Progress { last_event_id });
        let mut other_version = listed("decode-3", "model", Role::Decode);
        other_version.version = "v2".into();
        harness.apply(RelayEvent::EndpointChanges(vec![
            EndpointListChange::Listed(other_version),
        ]));
        harness.advance(ms(20));
        harness.apply(RelayEvent::EndpointChecked {
            instance: "decode-1".into(),
            asked_at: harness.now,
            answer: connect_answer(true),
        });
        harness.deliver(exchange, CLOSED);
        if is_version_stated {
            assert_eq!(&*harness.take_only_send().instance, "decode-3");
        } else {
            assert_eq!(harness.take_sends(), []);
            assert_eq!(
                harness.final_effect(call),
                Some(&RelayEffect::Abort { call })
            );
        }
    }
}

// Guards against a VM that is not used for one service since it does not reach another.
#[test]
fn vm_that_declines_requests_of_one_service_gets_those_of_others() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    cut_off_engines(&mut harness);
    harness.submit("/stream/1");
    let sent = harness.take_only_send();
    harness.deliver(sent.exchange, REFUSED);
    harness.take_sends();
    let (_, sends) = cut_off(&mut harness, "/look/1");
    assert_eq!(&*sends[0].instance, "near");
}

// Guards against streams that are taken up at a VM which reaches engines of their service, but none of their version, and are refused
// although another VM reaches them.
#[test]
fn stream_goes_through_another_vm_if_no_engine_of_its_version_is_reached() {
    let mut harness = vm_with_peers(&[("near", "a")]);
    let upgraded = ["decode-8", "decode-9"].map(|instance| {
        EndpointListChange::Listed(ListedEndpoint {
            version: "v2".into(),
            ..listed(instance, "model", Role::Decode)
        })
    });
    harness.apply(RelayEvent::EndpointChanges(upgraded.into()));
    let call = harness.submit_resumption("/resumable/1", Some("elsewhere"));
    let origin = StreamOrigin {
        service: "model".into(),
        version: "v2".into(),
    };
    let lookup = StreamLookup::Found(origin);
    harness.apply(RelayEvent::StreamLookup { call, lookup });
    for _ in 0..2 {
        let reserve = harness.take_only_send();
        assert!(matches!(reserve.work, Work::Reserve { .. }));
        harness.advance(ms(5));
        harness.deliver(reserve.exchange, UNREACHABLE);
        end_checks(&mut harness, true);
    }
    let forward = harness.take_only_send();
    assert_eq!(&*forward.instance, "near");
    assert_eq!(
        forwarded(&forward).hop.stream_version.as_deref(),
        Some("v2")
    );
    assert_eq!(harness.problem(call), None);
}
