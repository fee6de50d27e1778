//! Idempotent calls: retried within the budget, answered once and before the deadline.

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Counter;
use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::ServiceCall;
use arbutusfall_core::ServiceCommand;
use serde_json::json;

use crate::claims_fixtures::OWN;
use crate::claims_fixtures::answered;
use crate::claims_fixtures::answered_calls;
use crate::claims_fixtures::refused_calls;
use crate::claims_fixtures::service_call;
use crate::claims_fixtures::service_failed;
use crate::claims_fixtures::wait;
use crate::session::Session;
use crate::session::config_read;
use crate::session::listed;
use crate::session::site_base;

/// Longer than the delay before the first retry.
const PAST_RETRY_DELAY: Duration = Duration::from_millis(100);

fn single_vm() -> Session {
    Session::serving(OWN, &[OWN])
}

fn idempotent_call(call: u64) -> Event {
    Event::ServiceCall(ServiceCall {
        method: "GET".into(),
        path: "/v1/status/4711".into(),
        idempotency_key: None,
        ..service_call(call, "", None)
    })
}

fn service_commands(effects: &[Effect]) -> Vec<&ServiceCommand> {
    let commands = effects.iter().filter_map(|effect| match effect {
        Effect::CallService(command) => Some(command),
        _ => None,
    });
    commands.collect()
}

#[test]
fn failed_call_is_retried_at_another_endpoint() {
    let mut session = single_vm();
    let effects = session.apply(idempotent_call(1));
    let first = service_commands(&effects)[0].endpoint.clone();
    session.apply(service_failed(1, 1, true));
    let effects = wait(&mut session, PAST_RETRY_DELAY);
    let second = service_commands(&effects)[0];
    assert_eq!((second.call, second.attempt), (CallId(1), 2));
    assert_ne!(second.endpoint, first);
    assert_eq!(answered_calls(&session.apply(answered(1, 2))), [1]);
}

#[test]
fn call_is_retried_at_another_endpoint_after_the_route_timeout() {
    let mut session = single_vm();
    session.apply(idempotent_call(1));
    let effects = wait(&mut session, Duration::from_millis(950));
    assert!(service_commands(&effects).is_empty());
    let effects = wait(&mut session, Duration::from_millis(50) + PAST_RETRY_DELAY);
    assert_eq!(service_commands(&effects).len(), 1);
}

#[test]
fn overdue_attempt_that_also_fails_is_retried_once() {
    let mut session = single_vm();
    session.apply(idempotent_call(1));
    let mut effects = wait(&mut session, Duration::from_millis(1_000));
    effects.extend(session.apply(service_failed(1, 1, true)));
    let retried = effects
        .iter()
        .filter(|effect| **effect == Effect::Count(Counter::CallsRetried));
    assert_eq!(retried.count(), 1);
}

#[test]
fn only_the_first_of_two_answers_is_forwarded() {
    let mut session = single_vm();
    session.apply(idempotent_call(1));
    let effects = wait(
        &mut session,
        Duration::from_millis(1_000) + PAST_RETRY_DELAY,
    );
    assert_eq!(service_commands(&effects).len(), 1);
    assert_eq!(answered_calls(&session.apply(answered(1, 1))), [1]);
    assert!(answered_calls(&session.apply(answered(1, 2))).is_empty());
}

#[test]
fn retries_stay_within_the_budget() {
    let mut session = single_vm();
    let mut retries = 0;
    for call in 1..=100 {
        session.apply(idempotent_call(call));
        session.apply(service_failed(call, 1, true));
        retries += service_commands(&wait(&mut session, PAST_RETRY_DELAY)).len();
        session.apply(answered(call, 2));
    }
    // The budget starts with ten retries, and every ten calls add one.
    assert!((19..=20).contains(&retries), "{retries} retries");
}

#[test]
fn retries_end_at_the_call_deadline() {
    let mut session = Session::new(OWN);
    let mut base = site_base();
    base["limits"] = json!({ "answer_timeout_ms": 1_500 });
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed(OWN)]));
    session.apply(config_read(base));
    session.apply(idempotent_call(1));
    let effects = wait(&mut session, Duration::from_millis(1_450));
    assert_eq!(refused_calls(&effects), []);
    let effects = wait(&mut session, Duration::from_millis(50));
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::AnswerTimeout)]);
}
