//! Ends of requests whose exchanges have written nothing yet: callers learn that they have not run.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Semantics;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::PeerAddress;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SendPermission;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::VmStrength;
use arbutusfall_core::relay::Work;

use crate::relay_harness::CLOSED;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::UNREACHABLE;
use crate::relay_harness::connect_answer;
use crate::relay_harness::ms;
use crate::relay_harness::routes;
use crate::relay_harness::store_read;

const CLOSED_UNSENT: ExchangeEvent = ExchangeEvent::Failed {
    failure: ExchangeFailure::ClosedUnsent,
};

/// A site to whose endpoints connections open only when a test says so.
fn slow_site() -> RelayHarness {
    let mut harness = RelayHarness::configured(1);
    harness.opens_connections = false;
    harness
}

fn write(harness: &mut RelayHarness, sent: &SendCommand) {
    let permission = harness.permission(sent.exchange);
    assert_eq!(permission, SendPermission::Granted);
}

fn problem_kind(harness: &RelayHarness, call: CallId) -> Option<ProblemKind> {
    harness.problem(call).map(|problem| problem.kind)
}

/// Checks that a call ended as not run, and that none of its exchanges may write any more.
fn check_not_run(harness: &mut RelayHarness, call: CallId, sends: &[&SendCommand]) {
    let problem = harness.problem(call).expect("the call has ended");
    assert_eq!(problem.kind, ProblemKind::NotRun);
    assert!(problem.retry_after.is_some());
    for sent in sends {
        let permission = harness.permission(sent.exchange);
        assert_eq!(permission, SendPermission::Withdrawn);
    }
}

fn position(harness: &RelayHarness, is_wanted: impl Fn(&RelayEffect) -> bool) -> Option<usize> {
    harness.effects.iter().position(is_wanted)
}

// Guards against 504 for a request whose connection never opened, and against one that is written after its caller was answered that it
// has not run.
#[test]
fn request_whose_connection_has_not_opened_at_the_deadline_has_not_run() {
    for path in ["/pay/1", "/look/1"] {
        let mut harness = slow_site();
        let call = harness.submit_with_timeout(path, ms(400));
        let sent = harness.take_only_send();
        harness.advance(ms(400));
        let exchange = sent.exchange;
        let closed = position(&harness, |e| *e == RelayEffect::Close { exchange });
        let answered = position(&harness, |e| matches!(e, RelayEffect::AnswerProblem { .. }));
        assert!(closed.is_some() && closed < answered, "{path}");
        check_not_run(&mut harness, call, &[&sent]);
    }
}

// Guards against "not run" for a request that was written.
#[test]
fn written_request_may_have_run_at_the_deadline() {
    for path in ["/pay/1", "/look/1"] {
        let mut harness = slow_site();
        let call = harness.submit_with_timeout(path, ms(400));
        let sent = harness.take_only_send();
        harness.advance(ms(200));
        write(&mut harness, &sent);
        harness.advance(ms(200));
        let kind = problem_kind(&harness, call);
        assert_eq!(kind, Some(ProblemKind::AnswerTimeout), "{path}");
    }
}

// Guards against 504 for a request that waited for a read of the endpoint list with its connection open.
#[test]
fn request_that_waits_for_the_endpoint_list_has_not_run() {
    let mut harness = slow_site();
    harness.advance(ms(4_000));
    harness.apply(store_read(true));
    harness.advance(ms(1_700));
    let call = harness.submit_with_timeout("/pay/1", ms(400));
    let sent = harness.take_only_send();
    harness.advance(ms(300));
    let permission = harness.permission(sent.exchange);
    assert_eq!(permission, SendPermission::ListOverdue);
    harness.advance(ms(100));
    check_not_run(&mut harness, call, &[&sent]);
}

// Guards against a request that is taken for run because its decode engine was selected.
#[test]
fn stream_whose_decode_was_not_written_has_not_run() {
    for (is_written, expected) in [
        (false, ProblemKind::NotRun),
        (true, ProblemKind::AnswerTimeout),
    ] {
        let mut harness = slow_site();
        let call = harness.submit("/stream/1");
        let decode = harness.advance_to_decode();
        if is_written {
            write(&mut harness, &decode);
        }
        harness.advance(ms(14_000));
        assert_eq!(problem_kind(&harness, call), Some(expected));
    }
}

// Guards against 502 for requests that nothing was written of when the process exits, and against 503 for the others.
#[test]
fn exit_of_the_process_ends_only_unwritten_requests_as_not_run() {
    let mut harness = slow_site();
    let unwritten = harness.submit("/pay/1");
    let unsent = harness.take_only_send();
    let written = harness.submit("/pay/2");
    let sent = harness.take_only_send();
    write(&mut harness, &sent);
    harness.apply(RelayEvent::Terminate);
    harness.apply(RelayEvent::DrainTimeout);
    check_not_run(&mut harness, unwritten, &[&unsent]);
    let kind = problem_kind(&harness, written);
    assert_eq!(kind, Some(ProblemKind::UpstreamFailed));
}

// Guards against 502 for a request whose connections are closed before it is written, and against retries of it without a limit.
#[test]
fn request_whose_connections_close_unsent_is_sent_again_within_the_budget() {
    let mut harness = slow_site();
    let call = harness.submit("/pay/1");
    let mut sends = Vec::new();
    while harness.final_effect(call).is_none() {
        let sent = harness.take_only_send();
        write(&mut harness, &sent);
        harness.deliver(sent.exchange, CLOSED_UNSENT);
        sends.push(sent);
    }
    assert!(sends.len() >= 2, "not sent again");
    assert!(sends.len() <= 3, "sent {} times", sends.len());
    check_not_run(&mut harness, call, &sends.iter().collect::<Vec<_>>());
}

// Guards against a request that ends as not run because only its last connection did not open.
#[test]
fn request_that_was_written_once_may_have_run_whatever_follows() {
    let mut harness = slow_site();
    let call = harness.submit_with_timeout("/look/1", ms(1_000));
    let first = harness.take_only_send();
    write(&mut harness, &first);
    harness.deliver(first.exchange, CLOSED);
    harness.take_only_send();
    harness.advance(ms(1_000));
    let kind = problem_kind(&harness, call);
    assert_eq!(kind, Some(ProblemKind::AnswerTimeout));
}

/// Starts a request and lets its endpoint be silent until it is moved; returns the call and both sends.
fn move_request(harness: &mut RelayHarness, is_written: bool) -> (CallId, [SendCommand; 2]) {
    let call = harness.submit_with_timeout("/look/1", ms(1_400));
    let first = harness.take_only_send();
    if is_written {
        write(harness, &first);
    }
    harness.advance(ms(650));
    let second = harness.take_only_send();
    (call, [first, second])
}

// Guards against 504 for a request that was moved although neither connection opened, and against 503 if one did at any time.
#[test]
fn moved_request_has_not_run_only_if_neither_exchange_was_written() {
    type Step = fn(&mut RelayHarness, &[SendCommand; 2]);
    let cases: [(&str, bool, Step, ProblemKind); 6] = [
        ("neither", false, |_, _| {}, ProblemKind::NotRun),
        ("first", true, |_, _| {}, ProblemKind::AnswerTimeout),
        (
            "first, in standby",
            false,
            |harness, [first, _]| write(harness, first),
            ProblemKind::AnswerTimeout,
        ),
        (
            "second, then the first goes on alone",
            false,
            |harness, [first, second]| {
                write(harness, second);
                harness.deliver(first.exchange, UNREACHABLE);
            },
            ProblemKind::AnswerTimeout,
        ),
        (
            "first, which says that it did not run it",
            true,
            |harness, [first, _]| harness.deliver(first.exchange, REFUSED),
            ProblemKind::NotRun,
        ),
        (
            "first, which breaks off in standby",
            true,
            |harness, [first, _]| harness.deliver(first.exchange, CLOSED),
            ProblemKind::AnswerTimeout,
        ),
    ];
    for (written, is_first_written, step, expected) in cases {
        let mut harness = slow_site();
        let (call, sends) = move_request(&mut harness, is_first_written);
        step(&mut harness, &sends);
        harness.advance(ms(1_000));
        assert_eq!(problem_kind(&harness, call), Some(expected), "{written}");
        for sent in &sends {
            let permission = harness.permission(sent.exchange);
            assert_eq!(permission, SendPermission::Withdrawn, "{written}");
        }
    }
}

/// Returns a VM that reaches none of its plain endpoints and knows another VM; its routes have this time.
fn cut_off_vm(timeout: Duration) -> RelayHarness {
    let address = |port: u16| PeerAddress {
        address: ([10, 0, 0, 2], port).into(),
        data_centre: "a".into(),
        strength: VmStrength::default(),
    };
    let record = |vm: &str, port: u16| SharedRecord::Peer {
        vm: vm.into(),
        peer: Some(address(port)),
    };
    let mut harness = RelayHarness::with_own_address(1, record("own", 7_001));
    harness.apply(RelayEvent::SharedRecords {
        records: vec![
            SharedRecord::HashKey(Some(RequestHashKey(7))),
            record("own", 7_001),
            record("near", 7_002),
        ],
        is_full: true,
    });
    let mut harness = harness.with_site();
    let mut table = routes(2);
    for route in &mut table.routes {
        route.timeout = timeout;
        route.max_attempts = 4;
    }
    harness.apply(RelayEvent::NewConfig(Arc::new(table)));
    harness.effects.clear();
    harness.opens_connections = false;
    harness
}

/// Submits a request whose connections fail; returns it and what is sent to the other VM.
fn submit_forwarded(harness: &mut RelayHarness, path: &str) -> (CallId, SendCommand) {
    let call = harness.submit_with_timeout(path, ms(1_500));
    loop {
        let sent = harness.take_only_send();
        if sent.work != Work::Plain {
            return (call, sent);
        }
        fail_connection(harness, &sent, UNREACHABLE);
    }
}

/// Ends an exchange with a failure, and the checks of endpoints that follow.
fn fail_connection(harness: &mut RelayHarness, sent: &SendCommand, failure: ExchangeEvent) {
    harness.advance(ms(5));
    harness.deliver(sent.exchange, failure);
    harness.end_connects(|_| connect_answer(false));
}

// Guards against 504 for a request that the other VM never got, and against 503 for one that it got.
#[test]
fn request_on_its_way_through_another_vm_has_run_only_if_it_was_written() {
    for (is_written, expected) in [
        (false, ProblemKind::NotRun),
        (true, ProblemKind::AnswerTimeout),
    ] {
        let mut harness = cut_off_vm(ms(1_500));
        let (call, forwarded) = submit_forwarded(&mut harness, "/pay/1");
        if is_written {
            write(&mut harness, &forwarded);
        }
        harness.advance(ms(1_500));
        assert_eq!(problem_kind(&harness, call), Some(expected));
        let permission = harness.permission(forwarded.exchange);
        assert_eq!(permission, SendPermission::Withdrawn);
    }
}

// Guards against "not run" from another VM for a request that an endpoint of this VM may have run before.
#[test]
fn refusal_of_another_vm_is_no_answer_if_an_endpoint_may_have_run_the_request() {
    for is_written in [false, true] {
        let mut harness = cut_off_vm(ms(1_500));
        let call = harness.submit_with_timeout("/look/1", ms(1_500));
        let first = harness.take_only_send();
        if is_written {
            write(&mut harness, &first);
        }
        let failure = if is_written { CLOSED } else { UNREACHABLE };
        fail_connection(&mut harness, &first, failure);
        let forwarded = loop {
            let sent = harness.take_only_send();
            if sent.work != Work::Plain {
                break sent;
            }
            fail_connection(&mut harness, &sent, UNREACHABLE);
        };
        write(&mut harness, &forwarded);
        let refused = ExchangeEvent::Complete { status: 503 };
        harness.deliver(forwarded.exchange, refused);
        if is_written {
            let kind = problem_kind(&harness, call);
            assert_eq!(kind, Some(ProblemKind::UpstreamFailed));
        } else {
            let exchange = forwarded.exchange;
            let answer = RelayEffect::Answer { call, exchange };
            assert_eq!(harness.final_effect(call), Some(&answer));
        }
    }
}

// Guards against a request of a route without repeated runs that is moved, and so may run twice, because nothing was written yet.
#[test]
fn unwritten_request_that_may_not_run_twice_is_not_moved_from_its_exchange() {
    let mut harness = slow_site();
    assert_eq!(routes(1).routes[0].semantics, Semantics::NonIdempotent);
    harness.submit_with_timeout("/pay/1", ms(1_400));
    harness.take_only_send();
    harness.advance(ms(1_300));
    assert_eq!(harness.take_sends(), []);
}
