//! Explanations of routing decisions: they say what the relay then does, and change nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::Credential;
use arbutusfall_core::relay::Exclusion;
use arbutusfall_core::relay::ExplainError;
use arbutusfall_core::relay::ExplainQuery;
use arbutusfall_core::relay::ExplainedDecision;
use arbutusfall_core::relay::Explanation;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RelayRequest;
use arbutusfall_core::relay::Work;

use crate::relay_explain_states::RandomState;
use crate::relay_explain_states::key_text;
use crate::relay_explain_states::request;
use crate::relay_explain_states::routes_with_accounts;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::endpoints;
use crate::relay_harness::ms;

/// Seeds of random states. Some outcomes are rare.
const SEEDS: std::ops::Range<u64> = 1..601;

/// Id of the call of explained requests: no other call has it.
const EXPLAINED: CallId = CallId(u64::MAX);

fn query(request: &RelayRequest, account: Option<&str>) -> ExplainQuery {
    ExplainQuery::Request {
        request: Box::new(RelayRequest {
            call: EXPLAINED,
            credential: Credential::Missing,
            ..request.clone()
        }),
        account: account.map(Into::into),
    }
}

/// Explains a request in the relay's present state, and checks that the relay does not change.
fn explain(harness: &RelayHarness, query: ExplainQuery) -> Result<Explanation, ExplainError> {
    let before = format!("{:?}", harness.relay);
    let explained = harness.relay.explain(query, harness.now);
    assert_eq!(format!("{:?}", harness.relay), before, "the relay changed");
    explained
}

fn work_name(work: &Work) -> &'static str {
    match work {
        Work::Plain => "plain",
        Work::Reserve { .. } => "reserve",
        Work::Prefill => "prefill",
        Work::Decode {
            source: Some(_), ..
        } => "decode",
        Work::Decode { source: None, .. } => "prefill_and_decode",
        Work::Forward(_) => "forward",
    }
}

/// Returns the reason in the log line of a request's refusal.
fn given_up_reason(harness: &RelayHarness, request_id: &str) -> Option<&'static str> {
    harness.effects.iter().find_map(|effect| match effect {
        RelayEffect::Note(RelayNotice::GivenUp {
            request_id: of,
            reason,
            ..
        }) if **of == *request_id => Some(*reason),
        _ => None,
    })
}

/// Checks a decision against the effects of the event by which the relay then decided; returns its name.
fn check_decision(decision: &ExplainedDecision, harness: &RelayHarness, call: CallId) -> String {
    let sends = harness.effects.iter().filter_map(|effect| match effect {
        RelayEffect::Send(command) if command.call == call => Some(command),
        _ => None,
    });
    let sends: Vec<_> = sends.collect();
    let problem = harness.problem(call);
    match decision {
        ExplainedDecision::Sent { instance, work, .. } => {
            assert_eq!(sends.len(), 1, "{decision:?}");
            assert_eq!(sends[0].instance, *instance);
            assert_eq!(work_name(&sends[0].work), &**work);
            assert_eq!(problem, None);
            format!("sent {work}")
        }
        ExplainedDecision::Waiting { reason, .. } => {
            assert!(sends.is_empty(), "{decision:?}: {sends:?}");
            assert_eq!(harness.final_effect(call), None, "{decision:?}");
            format!("waiting {}", reason.name())
        }
        ExplainedDecision::Refused {
            status,
            problem: kind,
            reason,
            retry_after_ms,
        } => {
            assert!(sends.is_empty(), "{decision:?}: {sends:?}");
            let problem = problem.expect("the request is refused");
            assert_eq!(Some(problem.kind.slug()), kind.as_deref());
            assert_eq!(Some(problem.kind.status()), *status);
            let after = problem.retry_after.map(|after| after.as_millis());
            assert_eq!(after, retry_after_ms.map(u128::from));
            let request_id = format!("request-{}", call.0);
            assert_eq!(given_up_reason(harness, &request_id), Some(&**reason));
            format!("refused {reason}")
        }
        ExplainedDecision::Declined => panic!("no other VM has forwarded the request"),
    }
}

/// Checks that the selected endpoint is one that nothing excludes, or the others are not better.
fn check_candidates(explanation: &Explanation) {
    let selected = explanation
        .request
        .candidates
        .iter()
        .find(|of| of.is_selected);
    let ExplainedDecision::Sent { instance, work, .. } = &explanation.decision else {
        assert_eq!(selected, None);
        return;
    };
    if &**work == "forward" {
        assert_eq!(selected, None);
        return;
    }
    let selected = selected.expect("the selected endpoint is a candidate");
    assert_eq!(selected.instance, *instance);
    let Some(reason) = selected.reason else {
        return;
    };
    assert!(reason.is_preference(), "{selected:?}");
    let same_role = explanation.request.candidates.iter();
    let mut same_role = same_role.filter(|candidate| candidate.role == selected.role);
    assert!(same_role.all(|candidate| candidate.reason.is_some()));
}

fn check_no_key(explanation: &Explanation) {
    let json = serde_json::to_string(explanation).expect("an explanation is JSON");
    assert!(!json.contains("sk-secret"), "{json}");
}

// Guards against an explanation that decides by other code or other random numbers than a request, or that uses up some of them.
#[test]
fn explanation_says_what_the_request_then_does() {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for seed in SEEDS {
        let mut state = RandomState::new(seed);
        let call = state.next_call();
        let (path, account) = state.random_target();
        let tokens = state.rng.u32(100..20_000);
        let request = request(call, path, account, tokens);
        let explained = explain(&state.harness, query(&request, account));
        let explanation = explained.expect("path and account exist");
        check_candidates(&explanation);
        check_no_key(&explanation);
        state.harness.effects.clear();
        let event = RelayEvent::RequestReceived(Box::new(request));
        state.harness.apply(event);
        let outcome = check_decision(&explanation.decision, &state.harness, call);
        *outcomes.entry(outcome).or_default() += 1;
    }
    let refused = outcomes.keys().filter(|of| of.starts_with("refused"));
    let waiting = outcomes.keys().filter(|of| of.starts_with("waiting"));
    assert!(refused.count() >= 6 && waiting.count() >= 4, "{outcomes:?}");
    for sent in ["sent plain", "sent reserve", "sent forward"] {
        assert!(outcomes.contains_key(sent), "{outcomes:?}");
    }
}

// Guards against an explanation of a waiting request that differs from what the VM does with it at that instant.
#[test]
fn explanation_of_a_waiting_request_says_what_becomes_of_it() {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for seed in SEEDS {
        let mut state = RandomState::new(seed);
        let call = state.next_call();
        let (path, account) = state.random_target();
        let request = request(call, path, account, 9_000);
        let request_id = request.request_id.clone();
        let event = RelayEvent::RequestReceived(Box::new(request));
        state.harness.apply(event);
        let has_ended = state.harness.final_effect(call).is_some();
        state.harness.effects.clear();
        // Timers that fell due meanwhile have not been handled.
        state.harness.now += ms(state.rng.u64(..400));
        let asked = ExplainQuery::InProgress { request_id };
        let explained = explain(&state.harness, asked);
        if has_ended {
            assert_eq!(explained, Err(ExplainError::UnknownRequest));
            continue;
        }
        let explanation = explained.expect("the request is in progress");
        check_no_key(&explanation);
        let sent_ms = match &explanation.decision {
            ExplainedDecision::Sent { sent_ms, .. } => *sent_ms,
            _ => None,
        };
        if sent_ms.is_some() {
            *outcomes.entry("in progress".to_owned()).or_default() += 1;
            continue;
        }
        state.harness.apply(RelayEvent::Tick);
        let outcome = check_decision(&explanation.decision, &state.harness, call);
        *outcomes.entry(outcome).or_default() += 1;
    }
    let waiting = outcomes.keys().filter(|of| of.starts_with("waiting"));
    assert!(waiting.count() >= 2, "{outcomes:?}");
    assert!(
        outcomes.keys().any(|of| of.starts_with("refused")),
        "{outcomes:?}"
    );
    assert!(outcomes.contains_key("in progress"), "{outcomes:?}");
}

/// Returns a relay with accounts and all endpoints.
fn site() -> RelayHarness {
    let mut harness = RelayHarness::unconfigured(1);
    harness.apply(RelayEvent::NewConfig(Arc::new(routes_with_accounts())));
    harness.apply(RelayEvent::EndpointChanges(endpoints()));
    harness.effects.clear();
    harness
}

// Guards against an answer to a question that names something unknown.
#[test]
fn unknown_path_account_and_request_are_errors() {
    let harness = site();
    let lost = request(EXPLAINED, "/lost/1", None, 0);
    let explained = explain(&harness, query(&lost, Some("school")));
    assert_eq!(explained, Err(ExplainError::UnknownPath));
    let look = request(EXPLAINED, "/look/1", None, 0);
    let foreign = RelayRequest {
        host: "other.example".into(),
        ..look.clone()
    };
    let explained = explain(&harness, query(&foreign, Some("school")));
    assert_eq!(explained, Err(ExplainError::UnknownPath));
    let key = key_text("school");
    for account in ["nobody", &key] {
        let error = explain(&harness, query(&look, Some(account))).expect_err("unknown");
        assert_eq!(error, ExplainError::UnknownAccount);
        assert!(!error.to_string().contains(account), "{error}");
    }
    let request_id = "request-9".into();
    let explained = explain(&harness, ExplainQuery::InProgress { request_id });
    assert_eq!(explained, Err(ExplainError::UnknownRequest));
}

// Guards against a route of another host when the operator states none.
#[test]
fn host_is_found_by_the_path_unless_several_have_it() {
    let mut harness = RelayHarness::unconfigured(1);
    let mut table = routes_with_accounts();
    let mut elsewhere = table.routes[1].clone();
    elsewhere.host = "other.example".into();
    table.routes.push(elsewhere);
    harness.apply(RelayEvent::NewConfig(Arc::new(table)));
    let without_host = |path: &str| RelayRequest {
        host: "".into(),
        ..request(EXPLAINED, path, None, 0)
    };
    let explained = explain(&harness, query(&without_host("/pay/1"), Some("school")));
    let explanation = explained.expect("one host has the path");
    assert_eq!(explanation.request.route.as_deref(), Some("/pay/"));
    let explained = explain(&harness, query(&without_host("/look/1"), Some("school")));
    let hosts = vec!["kiosk.example".into(), "other.example".into()];
    assert_eq!(explained, Err(ExplainError::SeveralHosts(hosts)));
}

// Guards against an error where callers get a refusal that operators look for the cause of.
#[test]
fn refusals_of_callers_are_explained() {
    let unconfigured = RelayHarness::unconfigured(1);
    let look = request(EXPLAINED, "/look/1", None, 0);
    let explained = explain(&unconfigured, query(&look, Some("school")));
    let decision = explained.expect("the refusal is explained").decision;
    assert!(matches!(
        decision,
        ExplainedDecision::Refused { problem: Some(kind), .. } if *kind == *"unavailable"
    ));
    let explained = explain(&site(), query(&look, None));
    let explanation = explained.expect("the refusal is explained");
    assert_eq!(explanation.request.route.as_deref(), Some("/look/"));
    assert!(matches!(
        &explanation.decision,
        ExplainedDecision::Refused { status: Some(401), reason, .. } if **reason == *"key_missing"
    ));
}

// Guards against exclusions and quotas that are not those of the decision.
#[test]
fn exclusions_and_quota_are_stated() {
    let mut harness = site();
    harness.apply(RelayEvent::ControlRest {
        instance: "shop-1".into(),
        rest: ms(5_000),
    });
    let look = request(EXPLAINED, "/look/1", None, 0);
    let explained = explain(&harness, query(&look, Some("archive")));
    let explanation = explained.expect("the request is explained");
    assert_eq!(explanation.request.quota, None);
    let shops = explanation.request.candidates.iter();
    let shops: Vec<_> = shops
        .map(|shop| (&*shop.instance, shop.reason, shop.is_selected))
        .collect();
    assert_eq!(
        shops,
        [
            ("shop-1", Some(Exclusion::Resting), false),
            ("shop-2", None, true)
        ]
    );
    assert!(explanation.request.candidates[0].for_ms >= Some(5_000));
    let explained = explain(&harness, query(&look, Some("museum")));
    let explanation = explained.expect("the request is explained");
    let quota = explanation.request.quota.expect("the account has a quota");
    assert_eq!(
        (&*quota.unit, quota.cost, quota.burst),
        ("requests", 1.0, 2.0)
    );
    let stream = request(EXPLAINED, "/stream/1", None, 9_000);
    let explained = explain(&harness, query(&stream, Some("archive")));
    let explanation = explained.expect("the request is explained");
    let roles = explanation
        .request
        .candidates
        .iter()
        .map(|engine| engine.role);
    let roles: Vec<Role> = roles.collect();
    assert_eq!(
        roles,
        [Role::Decode, Role::Decode, Role::Prefill, Role::Prefill]
    );
}

// Guards against a wait whose queue and reason are not stated.
#[test]
fn wait_for_memory_is_stated_with_the_queue_ahead() {
    let mut harness = site();
    harness.credential = request(EXPLAINED, "/stream/1", Some("archive"), 0).credential;
    for _ in 0..2 {
        harness.submit("/stream/1");
        for send in harness.take_sends() {
            harness.deliver(send.exchange, REFUSED);
        }
    }
    let id = |number: u64| ExplainQuery::InProgress {
        request_id: format!("request-{number}").into(),
    };
    let mut aheads = Vec::new();
    for number in [1, 2] {
        if let Ok(explanation) = explain(&harness, id(number))
            && let ExplainedDecision::Waiting { ahead, .. } = explanation.decision
        {
            aheads.push(ahead);
            assert!(explanation.request.waiting > 0);
        }
    }
    assert!(aheads.contains(&Some(0)), "{aheads:?}");
}
