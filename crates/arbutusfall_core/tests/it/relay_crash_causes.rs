//! Requests as causes of crashes: what counts as evidence, and what clears them.

use std::collections::BTreeSet;

use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::ConnectAnswer;
use arbutusfall_core::relay::CrashCause;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::PartId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_wire::Name;

use crate::relay_crash_fixtures::answer;
use crate::relay_crash_fixtures::endpoints;
use crate::relay_crash_fixtures::evidence;
use crate::relay_crash_fixtures::is_refused;
use crate::relay_crash_fixtures::read;
use crate::relay_crash_fixtures::request;
use crate::relay_crash_fixtures::run;
use crate::relay_crash_fixtures::start;
use crate::relay_crashing_site::CrashingSite;
use crate::relay_crashing_site::LoadRequest;
use crate::relay_crashing_site::failed;
use crate::relay_crashing_site::parts;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::connect_answer;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

// Guards against several VMs' evidence of one crash that counts as several crashes.
#[test]
fn one_crash_seen_by_several_vms_counts_once() {
    let mut harness = start();
    for _ in 0..6 {
        read(&mut harness, vec![evidence(request("/look/a"), 1)]);
    }
    run(&mut harness, ms(3_000), true);
    assert!(!is_refused(&mut harness, "/look/a"));
    let more = (2..=3).map(|crash| evidence(request("/look/a"), crash));
    read(&mut harness, more.collect());
    run(&mut harness, ms(3_000), true);
    assert!(is_refused(&mut harness, "/look/a"));
}

// Guards against a sound request that is blocked since endpoints ended beside it: any answer shows that it is sound.
#[test]
fn any_whole_answer_before_the_block_clears_a_request() {
    for status in [200, 404, 500, 503] {
        let mut harness = start();
        let crashes = (1..=3).map(|crash| evidence(request("/look/a"), crash));
        read(&mut harness, crashes.collect());
        run(&mut harness, ms(1_000), true);
        answer(&mut harness, "/look/a", status);
        let appended = run(&mut harness, ms(3_000), true);
        assert!(!is_refused(&mut harness, "/look/a"), "{status}");
        let deletions = appended.iter().filter(|record| record.is_deletion());
        assert_eq!(deletions.count(), 3, "other VMs do not learn of it");
    }
}

// Guards against a caller who clears its request, or convicts another one, by sending others.
#[test]
fn other_requests_neither_clear_nor_convict() {
    let mut harness = start();
    let crashes = (1..=3).map(|crash| evidence(request("/look/bad"), crash));
    read(&mut harness, crashes.collect());
    for number in 0..20 {
        answer(&mut harness, &format!("/look/{number}"), 200);
    }
    run(&mut harness, ms(2_000), true);
    assert!(is_refused(&mut harness, "/look/bad"));
    assert!(!is_refused(&mut harness, "/look/other"));
    for number in 0..20 {
        answer(&mut harness, &format!("/look/{number}"), 200);
    }
    assert!(is_refused(&mut harness, "/look/bad"));
}

// Guards against releases and scale-ins that convict the requests in progress.
#[test]
fn end_of_a_leaving_endpoint_is_no_evidence() {
    let mut harness = start();
    harness.apply(RelayEvent::EndpointChanges(endpoints(4)));
    for _ in 0..4 {
        harness.take_sends();
        let call = harness.submit("/look/a");
        let sent = harness.take_only_send();
        let mut leaving = listed(&sent.instance, "shop", Role::Plain);
        leaving.is_leaving = true;
        let change = vec![EndpointListChange::Listed(leaving)];
        harness.apply(RelayEvent::EndpointChanges(change));
        harness.deliver(sent.exchange, failed());
        harness.apply(RelayEvent::CallerGone { call });
        harness.take_sends();
        let appended = run(&mut harness, ms(2_000), true);
        assert!(appended.is_empty(), "{appended:?}");
    }
    assert!(!is_refused(&mut harness, "/look/a"));
}

// Guards against sound prompts that are refused since a repeated request with their parts is blocked.
#[test]
fn prompts_that_share_the_parts_of_a_blocked_request_are_served() {
    let mut site = CrashingSite::start(6, 10, Role::Decode, 9);
    for vm in &mut site.fleet.vms {
        vm.harness.repeats_by_path = true;
    }
    site.run_load(ms(12_000), 30, |number| {
        let is_crashing = number % 8 == 3;
        let name = if is_crashing { 0 } else { number + 1 };
        LoadRequest {
            path: format!("/stream/{name}"),
            parts: vec!["first", "second"],
            is_crashing,
        }
    });
    assert!(site.crashes.len() >= 3);
    assert!(site.late_sends(3) <= 3, "{}", site.late_sends(3));
    site.check_last_requests(|kind| kind.status() == 400);
    let relay = &site.fleet.vms[0].harness.relay;
    let blocked: Vec<&CrashCause> = relay.blocked_causes().map(|(cause, _)| cause).collect();
    assert_eq!(blocked, [&request("/stream/0")]);
}

// Guards against one request that comes at all VMs at once: each VM sees one crash only.
#[test]
fn request_that_comes_at_all_vms_at_once_is_refused_at_all() {
    let mut site = CrashingSite::start(410, 100, Role::Plain, 5);
    let crashing = LoadRequest {
        path: "/look/crashing".to_owned(),
        parts: Vec::new(),
        is_crashing: true,
    };
    for _ in 0..3 {
        for vm in 0..410 {
            site.send(vm, &crashing);
        }
        site.run(ms(4_000));
    }
    assert!(site.crashes.len() >= 3);
    assert!(site.late_sends(3) <= 3, "{}", site.late_sends(3));
}

// Guards against many different requests that make a VM forget which parts are sound.
#[test]
fn part_answered_beside_many_requests_is_not_blocked() {
    let mut harness = RelayHarness::configured(1);
    for _ in 0..5_000 {
        answer(&mut harness, "/look/", 200);
        harness.effects.clear();
    }
    harness.submit_with_parts("/stream/", parts(&["popular"]));
    let decode = harness.advance_to_decode();
    harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
    let end = ExchangeEvent::Complete { status: 200 };
    harness.deliver(decode.exchange, end);
    let popular = CrashCause::Part(PartId("popular".into()));
    let crashes = (1..=4).map(|crash| evidence(popular.clone(), crash));
    read(&mut harness, crashes.collect());
    run(&mut harness, ms(3_000), true);
    let call = harness.submit_with_parts("/stream/", parts(&["popular"]));
    let problem = harness.problem(call).map(|problem| problem.kind);
    assert_ne!(problem, Some(ProblemKind::CrashingPrompt));
}

/// Lets the VM's checks of endpoints end; returns the endpoints.
fn end_checks(harness: &mut RelayHarness, is_reachable: impl Fn(&Name) -> bool) -> Vec<Name> {
    end_checks_with(harness, |checked| connect_answer(is_reachable(checked)))
}

/// Lets the VM's checks of endpoints end with these answers; returns the endpoints.
fn end_checks_with(
    harness: &mut RelayHarness,
    answer: impl Fn(&Name) -> ConnectAnswer,
) -> Vec<Name> {
    harness
        .effects
        .retain(|effect| matches!(effect, RelayEffect::CheckEndpoint { .. }));
    harness.end_connects(answer)
}

/// Sends a request whose answer ends with its connection; returns the endpoint.
fn answer_unmarked(harness: &mut RelayHarness, path: &str) -> Name {
    harness.take_sends();
    harness.submit(path);
    let sent = harness.take_only_send();
    harness.deliver(sent.exchange, ExchangeEvent::EndUnmarked);
    let end = ExchangeEvent::Complete { status: 200 };
    harness.deliver(sent.exchange, end);
    sent.instance
}

// Guards against endpoints that end just after what looks like a whole answer, for ever.
#[test]
fn unmarked_end_is_evidence_if_the_endpoint_is_unreachable_then() {
    for is_reachable in [false, true] {
        let mut harness = start();
        harness.apply(RelayEvent::EndpointChanges(endpoints(6)));
        for _ in 0..3 {
            let instance = answer_unmarked(&mut harness, "/pay/a");
            run(&mut harness, ms(150), true);
            // The other endpoints accept connections.
            let answers = |checked: &Name| is_reachable || *checked != instance;
            let checked = end_checks(&mut harness, answers);
            assert_eq!(checked, std::slice::from_ref(&instance));
            run(&mut harness, ms(150), true);
            end_checks(&mut harness, answers);
            let removed = EndpointListChange::Removed { instance };
            harness.apply(RelayEvent::EndpointChanges(vec![removed]));
            run(&mut harness, ms(850), true);
            // Checks of the others, because a connection to one failed.
            end_checks(&mut harness, |_| true);
            run(&mut harness, ms(850), true);
            end_checks(&mut harness, |_| true);
        }
        assert_eq!(is_refused(&mut harness, "/pay/a"), !is_reachable);
    }
}

// Guards against a sound request that is blocked, because connections to the endpoints that answered it hang for a moment.
#[test]
fn unmarked_end_is_no_evidence_if_a_connection_hangs_then() {
    for last in [
        ConnectAnswer::Unanswered,
        ConnectAnswer::Accepted,
        ConnectAnswer::Refused,
    ] {
        let mut harness = start();
        harness.apply(RelayEvent::EndpointChanges(endpoints(6)));
        for _ in 0..3 {
            let instance = answer_unmarked(&mut harness, "/pay/a");
            run(&mut harness, ms(150), true);
            let hangs = |checked: &Name| {
                if *checked == instance {
                    ConnectAnswer::Unanswered
                } else {
                    ConnectAnswer::Accepted
                }
            };
            let checked = end_checks_with(&mut harness, hangs);
            assert_eq!(checked, std::slice::from_ref(&instance));
            // The endpoint is checked again, since nothing is known yet.
            run(&mut harness, ms(150), true);
            let now_known = |checked: &Name| {
                if *checked == instance {
                    last
                } else {
                    ConnectAnswer::Accepted
                }
            };
            let checked = end_checks_with(&mut harness, now_known);
            assert!(checked.contains(&instance), "{last:?}");
            run(&mut harness, ms(150), true);
            end_checks_with(&mut harness, now_known);
            let removed = EndpointListChange::Removed { instance };
            harness.apply(RelayEvent::EndpointChanges(vec![removed]));
            run(&mut harness, ms(850), true);
            end_checks(&mut harness, |_| true);
            run(&mut harness, ms(850), true);
            end_checks(&mut harness, |_| true);
        }
        let is_blocked = last == ConnectAnswer::Refused;
        assert_eq!(is_refused(&mut harness, "/pay/a"), is_blocked, "{last:?}");
    }
}

// Guards against checks of endpoints that are known to run, and against planned ends that count as crashes.
#[test]
fn unmarked_end_is_not_checked_if_the_endpoint_answers_or_leaves() {
    for is_leaving in [false, true] {
        let mut harness = start();
        let instance = answer_unmarked(&mut harness, "/pay/a");
        if is_leaving {
            let mut leaving = listed(&instance, "shop", Role::Plain);
            leaving.is_leaving = true;
            let change = vec![EndpointListChange::Listed(leaving)];
            harness.apply(RelayEvent::EndpointChanges(change));
        } else {
            harness.advance(ms(10));
            for number in 0..8 {
                answer(&mut harness, &format!("/pay/{number}"), 200);
            }
        }
        run(&mut harness, ms(500), true);
        assert!(end_checks(&mut harness, |_| false).is_empty());
    }
}

/// Lists two more plain endpoints, sends three requests at once and ends the endpoint of each.
fn end_three_together(paths: [&str; 3]) -> RelayHarness {
    let mut harness = start();
    for instance in ["shop-3", "shop-4"] {
        let entry = listed(instance, "shop", Role::Plain);
        let change = EndpointListChange::Listed(entry);
        harness.apply(RelayEvent::EndpointChanges(vec![change]));
    }
    for path in paths {
        harness.submit(path);
    }
    let sends = harness.take_sends();
    let instances: BTreeSet<&Name> = sends.iter().map(|sent| &sent.instance).collect();
    assert_eq!(instances.len(), 3, "{sends:?}");
    harness.advance(ms(30));
    for sent in &sends {
        harness.deliver(sent.exchange, failed());
    }
    run(&mut harness, ms(2_000), true);
    harness
}

fn is_blocked(harness: &mut RelayHarness, path: &str) -> bool {
    let call = harness.submit(path);
    let kind = harness.problem(call).map(|problem| problem.kind);
    kind == Some(ProblemKind::CrashingRequest)
}

// Guards against copies of a request that are sent at once: what ended their endpoints together is the request.
#[test]
fn copies_of_a_request_that_end_endpoints_together_are_blocked() {
    let mut harness = end_three_together(["/pay/1"; 3]);
    assert!(is_blocked(&mut harness, "/pay/1"));
}

// Guards against a cut of the VM's own link that convicts what was in progress.
#[test]
fn different_requests_that_end_endpoints_together_are_not_blocked() {
    let mut harness = end_three_together(["/pay/1", "/pay/2", "/pay/3"]);
    for path in ["/pay/1", "/pay/2", "/pay/3"] {
        assert!(!is_blocked(&mut harness, path));
    }
}

// Guards against an answer with an error status that is retried and then forgotten: its endpoint has not ended.
#[test]
fn error_that_is_retried_clears_the_request() {
    let mut harness = start();
    let records = (1..=2).map(|crash| evidence(request("/look/1"), crash));
    read(&mut harness, records.collect());
    harness.submit("/look/1");
    let first = harness.take_only_send();
    harness.deliver(first.exchange, ExchangeEvent::Complete { status: 500 });
    let second = harness.take_only_send();
    harness.deliver(second.exchange, failed());
    run(&mut harness, ms(2_000), true);
    assert!(!is_blocked(&mut harness, "/look/1"));
}
