//! Single faults of non-idempotent calls: no call is dispatched twice, and "not run" is answered only if it is true.

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::LogStream;
use arbutusfall_core::ProblemKind;
use arbutusfall_wire::ClaimRecord;
use arbutusfall_wire::ClaimRequest;
use arbutusfall_wire::ClaimVerdict;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::OutcomeReply;
use arbutusfall_wire::PeerMessage;
use assert_matches::assert_matches;
use serde_json::json;

use crate::claims_fixtures::FINGERPRINT;
use crate::claims_fixtures::OTHER;
use crate::claims_fixtures::OWN;
use crate::claims_fixtures::answered;
use crate::claims_fixtures::answered_calls;
use crate::claims_fixtures::append_effects;
use crate::claims_fixtures::append_failed;
use crate::claims_fixtures::appended;
use crate::claims_fixtures::booked_outcome;
use crate::claims_fixtures::call;
use crate::claims_fixtures::call_marked_first;
use crate::claims_fixtures::claim_record;
use crate::claims_fixtures::claim_reply;
use crate::claims_fixtures::dispatched_calls;
use crate::claims_fixtures::from_other;
use crate::claims_fixtures::key;
use crate::claims_fixtures::key_created_at;
use crate::claims_fixtures::log_read;
use crate::claims_fixtures::log_unavailable_verdict;
use crate::claims_fixtures::lost_verdict;
use crate::claims_fixtures::outcome_record;
use crate::claims_fixtures::peer_messages;
use crate::claims_fixtures::read_count;
use crate::claims_fixtures::read_failed;
use crate::claims_fixtures::refused_calls;
use crate::claims_fixtures::request;
use crate::claims_fixtures::service_call;
use crate::claims_fixtures::wait;
use crate::session::STARTED_AT;
use crate::session::Session;
use crate::session::config_read;
use crate::session::listed;
use crate::session::site_base;

fn single_vm() -> Session {
    Session::serving(OWN, &[OWN])
}

/// Returns a VM that owns no partition and never suspects the owners.
fn non_owner() -> Session {
    let mut session = Session::new("entry");
    let mut base = site_base();
    base["timing"] = json!({ "suspect_timeout_ms": 60_000 });
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed(OWN), listed(OTHER)]));
    session.apply(config_read(base));
    session
}

const PAST_CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

#[test]
fn claim_that_may_be_logged_is_answered_unknown() {
    let mut session = single_vm();
    session.apply(call_marked_first(1));
    session.apply(append_failed(1, true));
    session.apply(log_read(0, &[]));
    let effects = wait(&mut session, Duration::from_millis(50));
    assert_eq!(append_effects(&effects), [(2, 1)]);
    let effects = session.apply(append_failed(2, false));
    assert_eq!(refused_calls(&effects), []);
    let effects = wait(&mut session, PAST_CLAIM_TIMEOUT);
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

#[test]
fn log_unavailable_after_a_second_claim_message_is_answered_unknown() {
    let mut session = non_owner();
    session.apply(call_marked_first(1));
    wait(&mut session, Duration::from_millis(500));
    let effects = session.apply(claim_reply(log_unavailable_verdict()));
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

#[test]
fn log_unavailable_for_the_only_claim_message_is_answered_not_run_if_marked_first() {
    let mut session = non_owner();
    session.apply(call_marked_first(1));
    let effects = session.apply(claim_reply(log_unavailable_verdict()));
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::NotRun)]);
    let mut session = non_owner();
    session.apply(call(1));
    let effects = session.apply(claim_reply(log_unavailable_verdict()));
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

#[test]
fn later_call_resumes_a_claim_that_timed_out() {
    let mut session = single_vm();
    session.apply(call(1));
    let effects = wait(&mut session, PAST_CLAIM_TIMEOUT);
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
    session.apply(call(2));
    let effects = session.apply(log_read(0, &[claim_record(OWN, request(7, 1))]));
    assert_eq!(dispatched_calls(&effects), [(2, 1)]);
    let effects = session.apply(answered(2, 1));
    assert_eq!(answered_calls(&effects), [2]);
}

#[test]
fn claim_that_wins_after_its_timeout_is_answered_not_run() {
    let mut session = single_vm();
    session.apply(call(1));
    wait(&mut session, PAST_CLAIM_TIMEOUT);
    let effects = session.apply(log_read(0, &[claim_record(OWN, request(7, 1))]));
    assert_eq!(dispatched_calls(&effects), []);
    let effects = session.apply(call(2));
    assert_eq!(refused_calls(&effects), [(2, ProblemKind::NotRun)]);
}

#[test]
fn new_claims_are_refused_while_the_log_is_down() {
    let mut session = single_vm();
    session.apply(call(1));
    session.apply(append_failed(1, true));
    session.apply(read_failed());
    let other = key_created_at(STARTED_AT, 2).to_string();
    let effects = session.apply(Event::ServiceCall(service_call(2, &other, Some(1))));
    assert_eq!(refused_calls(&effects), [(2, ProblemKind::NotRun)]);
    assert!(read_count(&wait(&mut session, PAST_CLAIM_TIMEOUT)) > 0);
}

#[test]
fn queued_claims_are_refused_when_an_append_fails() {
    let mut session = single_vm();
    session.apply(call(1));
    let other = key_created_at(STARTED_AT, 2).to_string();
    session.apply(Event::ServiceCall(service_call(2, &other, Some(1))));
    let effects = session.apply(append_failed(1, true));
    assert_eq!(refused_calls(&effects), [(2, ProblemKind::NotRun)]);
}

#[test]
fn lost_append_answer_is_resolved_by_reading_the_log() {
    let mut session = single_vm();
    session.apply(call(1));
    let effects = wait(&mut session, Duration::from_millis(250));
    assert_eq!(read_count(&effects), 1);
    let effects = session.apply(log_read(0, &[claim_record(OWN, request(7, 1))]));
    assert_eq!(dispatched_calls(&effects), [(1, 1)]);
    let effects = session.apply(append_failed(1, true));
    assert_eq!(append_effects(&effects), []);
}

#[test]
fn append_during_a_read_starts_another_read() {
    let mut session = single_vm();
    session.apply(call(1));
    wait(&mut session, Duration::from_millis(250));
    session.apply(appended(1));
    let effects = session.apply(log_read(0, &[]));
    assert_eq!(read_count(&effects), 1);
}

#[test]
fn dispatch_uses_a_connected_caller() {
    let mut session = single_vm();
    session.apply(call(1));
    session.apply(call(2));
    session.apply(Event::CallerGone { call: CallId(1) });
    let effects = session.apply(log_read(0, &[claim_record(OWN, request(7, 1))]));
    assert_eq!(dispatched_calls(&effects), [(2, 1)]);
}

#[test]
fn claim_without_waiting_calls_is_not_dispatched() {
    let mut session = single_vm();
    session.apply(call(1));
    session.apply(Event::CallerGone { call: CallId(1) });
    let effects = session.apply(log_read(0, &[claim_record(OWN, request(7, 1))]));
    assert_eq!(dispatched_calls(&effects), []);
    let effects = session.apply(call(2));
    assert_eq!(refused_calls(&effects), [(2, ProblemKind::NotRun)]);
}

#[test]
fn key_with_another_fingerprint_is_refused() {
    let mut session = single_vm();
    session.apply(call(1));
    let mut other = service_call(2, &key().to_string(), None);
    other.fingerprint = FINGERPRINT + 1;
    let effects = session.apply(Event::ServiceCall(other.clone()));
    assert_eq!(refused_calls(&effects), [(2, ProblemKind::KeyReused)]);
    let mut session = single_vm();
    session.apply(Event::ServiceCall(other));
    let records = [
        claim_record(OTHER, request(8, 4)),
        outcome_record(request(8, 4), booked_outcome()),
    ];
    let effects = session.apply(log_read(0, &records));
    assert_eq!(refused_calls(&effects), [(2, ProblemKind::KeyReused)]);
}

#[test]
fn quoted_key_equals_the_bare_key() {
    let mut session = single_vm();
    session.apply(call(1));
    let quoted = format!("\"{}\"", key());
    session.apply(Event::ServiceCall(service_call(2, &quoted, None)));
    session.apply(log_read(0, &[claim_record(OWN, request(7, 1))]));
    assert_eq!(answered_calls(&session.apply(answered(1, 1))), [1, 2]);
}

#[test]
fn key_that_expires_before_its_verdict_is_not_dispatched() {
    let mut session = single_vm();
    session.apply(call(1));
    session.advance(Duration::from_secs(25 * 3_600));
    let effects = session.apply(log_read(0, &[claim_record(OWN, request(7, 1))]));
    assert_eq!(dispatched_calls(&effects), []);
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

#[test]
fn too_old_key_cannot_be_won() {
    let mut session = single_vm();
    session.advance(Duration::from_secs(25 * 3_600));
    let claim = ClaimRequest {
        key: key(),
        request: request(8, 4),
        fingerprint: FINGERPRINT,
    };
    let effects = session.apply(from_other(PeerMessage::Claim(claim)));
    assert_eq!(append_effects(&effects), []);
    let messages = peer_messages(&effects);
    let [PeerMessage::ClaimReply(reply)] = messages.as_slice() else {
        panic!("one reply expected: {messages:?}");
    };
    assert_matches!(
        reply.verdict,
        ClaimVerdict::Lost {
            outcome: Some(Outcome::Unknown),
            ..
        }
    );
}

#[test]
fn claims_over_the_waiting_request_limit_are_refused() {
    let mut session = single_vm();
    let mut refused = 0;
    for number in 0..5_000 {
        let claim = ClaimRequest {
            key: key_created_at(STARTED_AT + Duration::from_millis(number), 1),
            request: request(8, number),
            fingerprint: FINGERPRINT,
        };
        let effects = session.apply(from_other(PeerMessage::Claim(claim)));
        refused += peer_messages(&effects).len();
    }
    assert_eq!(refused, 5_000 - 4_096);
}

#[test]
fn unknown_from_the_holder_is_checked_on_the_log() {
    let mut session = single_vm();
    session.apply(call(1));
    session.apply(log_read(0, &[claim_record(OTHER, request(8, 4))]));
    let reply = PeerMessage::OutcomeReply(OutcomeReply {
        key: key(),
        requester: request(7, 1),
        outcome: Outcome::Unknown,
    });
    let effects = session.apply(from_other(reply));
    assert_eq!(
        (refused_calls(&effects).len(), read_count(&effects)),
        (0, 1)
    );
    let effects = session.apply(log_read(1, &[]));
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
    session.apply(call(2));
    let effects = session.apply(log_read(
        1,
        &[outcome_record(request(8, 4), booked_outcome())],
    ));
    assert_eq!(answered_calls(&effects), [2]);
}

#[test]
fn silent_holder_is_retried_before_the_log_is_read() {
    let mut session = non_owner();
    session.apply(call(1));
    let verdict = lost_verdict(OTHER, request(8, 4), None);
    session.apply(claim_reply(verdict.clone()));
    let effects = wait(&mut session, Duration::from_millis(600));
    assert_matches!(
        peer_messages(&effects).as_slice(),
        [PeerMessage::OutcomeRequest(_)]
    );
    let effects = wait(&mut session, Duration::from_millis(2_500));
    assert_matches!(peer_messages(&effects).last(), Some(PeerMessage::Claim(_)));
    let effects = session.apply(claim_reply(verdict));
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

#[test]
fn append_rate_stays_within_the_limit() {
    let mut base = site_base();
    base["claims"] = json!({ "partitions": 1, "max_appends_per_s": 20 });
    base["accounts"]["school"]["max_concurrent_requests"] = json!(10_000);
    let mut session = Session::new(OWN);
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed(OWN)]));
    session.apply(config_read(base));
    let mut log: Vec<ClaimRecord> = Vec::new();
    let mut made = 0;
    for number in 1..=1_000 {
        session.advance(Duration::from_millis(1));
        let mut effects = session.apply(Event::Tick);
        let key = key_created_at(session.now.unix, 1).to_string();
        effects.extend(session.apply(Event::ServiceCall(service_call(number, &key, None))));
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Append {
                    append, records, ..
                } => {
                    made += 1;
                    let records = records.iter().map(|text| serde_json::from_str(text));
                    log.extend(records.map(|record| record.expect("a claim record")));
                    effects.extend(session.apply(appended(append)));
                }
                Effect::ReadLog {
                    stream: LogStream::Claims(_),
                    from,
                    ..
                } => effects.extend(session.apply(log_read(from.0, &log[from.0 as usize..]))),
                _ => {}
            }
        }
    }
    assert!((19..=21).contains(&made), "{made} appends in a second");
    assert!(log.len() > 900, "only {} claims were appended", log.len());
}
