//! Sessions of model requests under faults; some are compared with golden files.

use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::EngineFailure;
use arbutusfall_core::Event;
use arbutusfall_core::ProblemKind;
use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::PlaceDecision;
use assert_matches::assert_matches;

use crate::session::site_base;
use crate::streams_harness::TestVm;
use crate::streams_harness::cancelled;
use crate::streams_harness::decode;
use crate::streams_harness::delivered;
use crate::streams_harness::ended_grants;
use crate::streams_harness::grant;
use crate::streams_harness::has_effect;
use crate::streams_harness::placement_requests;
use crate::streams_harness::prefill;
use crate::streams_harness::texts;

#[test]
fn finished_answer_ends_its_grant() {
    let mut entry = TestVm::with_decoding_request();
    let effects = entry.decode_done(1, 2);
    assert!(has_effect(&effects, "finish"));
    assert_eq!(ended_grants(&effects)[0].1.end, GrantEnd::Finished);
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn refusal_is_passed_to_the_caller() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    let retry_after = Duration::from_millis(700);
    let effects = entry.receive_reply("milano-a-2", 1, 1, PlaceDecision::Refused { retry_after });
    assert_matches!(&effects[..], [.., Effect::AnswerProblem { problem, .. }] if problem.retry_after == Some(retry_after));
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn grant_is_released_if_the_caller_disconnected_during_placement() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.disconnect_caller(1);
    let effects = entry.grant_placement(1, 1, 1);
    let ended = ended_grants(&effects);
    assert_eq!(
        ended.len(),
        1,
        "the late grant must be released: {effects:?}"
    );
    assert_eq!(ended[0].1.placement, 1);
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn late_grant_of_a_timed_out_owner_is_released() {
    let mut entry = TestVm::new();
    let first = placement_requests(&entry.start_request(1))[0].0.clone();
    let next = placement_requests(&entry.wait_ms(110))[0].0.clone();
    assert_ne!(first, next, "the next owner must be asked");
    let late = PlaceDecision::Granted(grant(1, 1, Duration::ZERO));
    let effects = entry.receive_reply(&first, 1, 1, late);
    let released = ended_grants(&effects);
    assert_eq!(
        released.len(),
        1,
        "the late grant must be released: {effects:?}"
    );
    assert_eq!((&released[0].0, released[0].1.placement), (&first, 1));
    let effects = entry.grant_placement(2, 2, 2);
    assert!(has_effect(&effects, "prefill"));
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn caller_disconnect_before_the_start_releases_the_grant() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    let later = grant(1, 1, Duration::from_millis(300));
    entry.receive_reply("milano-a-2", 1, 1, PlaceDecision::Granted(later));
    let effects = entry.disconnect_caller(1);
    assert_eq!(ended_grants(&effects)[0].1.end, GrantEnd::Cancelled);
    let effects = entry.wait_ms(400);
    assert!(!has_effect(&effects, "prefill"));
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn caller_disconnect_during_prefill_cancels_until_confirmed() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    let mut effects = entry.disconnect_caller(1);
    for _ in 0..3 {
        assert_eq!(cancelled(&effects), [prefill(1, 1)]);
        entry.engine(EngineEvent::CancelFailed {
            attempt: prefill(1, 1),
        });
        effects = entry.wait_ms(400);
    }
    entry.engine(EngineEvent::Cancelled {
        attempt: prefill(1, 1),
    });
    assert_eq!(cancelled(&entry.wait_ms(5_000)), []);
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn caller_disconnect_during_transfer_cancels_both_engines() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.wait_ms(200);
    entry.prefill_done(1);
    let effects = entry.disconnect_caller(1);
    let mut cancelled = cancelled(&effects);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [prefill(1, 1), decode(1, 1)]);
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn caller_disconnect_during_decode_cancels_it() {
    let mut entry = TestVm::with_decoding_request();
    let effects = entry.disconnect_caller(1);
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn cancel_is_sent_to_an_engine_removed_from_the_configuration() {
    let mut entry = TestVm::with_decoding_request();
    let mut base = site_base();
    base["endpoints"]
        .as_object_mut()
        .expect("endpoints are an object")
        .remove("decode-1");
    entry.reconfigure(base);
    let effects = entry.disconnect_caller(1);
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
}

#[test]
fn unreachable_prefill_engine_is_avoided() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    let effects = entry.engine_failed(prefill(1, 1), EngineFailure::Unreachable);
    let (_, place) = &placement_requests(&effects)[0];
    assert_eq!(place.avoid, ["prefill-1".into()]);
    assert_eq!(ended_grants(&effects)[0].1.end, GrantEnd::PrefillFailed);
    entry.grant_placement(2, 2, 1);
    entry.prefill_done(2);
    entry.receive_tokens(2, 0, 0..2);
    assert!(has_effect(&entry.decode_done(2, 2), "finish"));
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn frozen_prefill_engine_is_replaced() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    let effects = entry.wait_ms(800);
    assert!(
        has_effect(&effects, "list_attempts"),
        "the engine must be asked for its attempts"
    );
    let effects = entry.engine(EngineEvent::ListAttemptsFailed {
        endpoint: "prefill-1".into(),
    });
    assert_eq!(cancelled(&effects), [prefill(1, 1)]);
    assert_eq!(
        placement_requests(&effects)[0].1.avoid,
        ["prefill-1".into()]
    );
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn slow_prefill_engine_that_lists_the_attempt_is_kept() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.wait_ms(800);
    let effects = entry.engine(EngineEvent::AttemptsListed {
        endpoint: "prefill-1".into(),
        attempts: vec![prefill(1, 1)],
    });
    assert_eq!(cancelled(&effects), []);
    assert!(has_effect(&entry.prefill_done(1), "decode"));
}

#[test]
fn prefill_that_its_engine_does_not_list_is_placed_again() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.wait_ms(800);
    let effects = entry.engine(EngineEvent::AttemptsListed {
        endpoint: "prefill-1".into(),
        attempts: Vec::new(),
    });
    assert_eq!(placement_requests(&effects).len(), 1);
}

#[test]
fn stream_of_a_failed_decode_engine_resumes_on_another() {
    let mut entry = TestVm::with_decoding_request();
    let effects = entry.engine_failed(decode(1, 1), EngineFailure::Closed);
    let (_, place) = &placement_requests(&effects)[0];
    assert!(place.resumed);
    assert_eq!(place.avoid, ["decode-1".into()]);
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    entry.grant_placement(2, 2, 2);
    entry.prefill_done(2);
    assert_eq!(
        delivered(&entry.receive_tokens(1, 0, 2..4), 1),
        [],
        "a late token must be dropped"
    );
    assert_eq!(delivered(&entry.receive_tokens(2, 2, 0..2), 1), texts(2..4));
    assert!(has_effect(&entry.decode_done(2, 2), "finish"));
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn decode_failure_after_the_last_token_finishes_the_answer() {
    let mut entry = TestVm::with_decoding_request();
    entry.receive_tokens(1, 0, 2..10);
    let effects = entry.engine_failed(decode(1, 1), EngineFailure::Closed);
    assert!(has_effect(&effects, "finish"), "{effects:?}");
}

#[test]
fn request_is_aborted_after_repeated_engine_failures() {
    let mut entry = TestVm::with_decoding_request();
    let mut effects = entry.engine_failed(decode(1, 1), EngineFailure::Closed);
    for placement in 2..=5 {
        assert_eq!(placement_requests(&effects).len(), 1);
        entry.grant_placement(placement, 1, 1);
        effects = entry.engine_failed(prefill(1, placement), EngineFailure::Unreachable);
    }
    assert_matches!(
        effects.iter().find(|effect| matches!(effect, Effect::Abort { .. })),
        Some(Effect::Abort { problem, .. }) if problem.retry_after.is_some()
    );
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn refused_resumption_is_retried_with_all_engines() {
    let mut entry = TestVm::with_decoding_request();
    entry.engine_failed(decode(1, 1), EngineFailure::Closed);
    let retry_after = Duration::from_millis(500);
    let effects = entry.receive_reply("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
    let (_, place) = &placement_requests(&effects)[0];
    assert_eq!(place.avoid, []);
}

#[test]
fn stalled_transfer_is_redirected_without_a_new_prefill() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.wait_ms(200);
    entry.prefill_done(1);
    let effects = entry.wait_ms(500);
    assert!(
        has_effect(&effects, "reconnect"),
        "a new connection must come first"
    );
    let asked = placement_requests(&effects);
    let (_, place) = asked.first().expect("another placement must be requested");
    assert_eq!(place.prefilled_on, Some("prefill-1".into()));
    assert_eq!(
        cancelled(&effects),
        [],
        "the result and the decode must be kept"
    );
    let effects = entry.grant_placement(2, 1, 2);
    assert_eq!(
        cancelled(&effects),
        [decode(1, 1)],
        "the result must be kept"
    );
    assert!(
        !has_effect(&effects, "prefill"),
        "there must be no new prefill"
    );
    assert_matches!(
        effects.iter().find(|effect| matches!(effect, Effect::Decode(_))),
        Some(Effect::Decode(command)) if &*command.transfer == "{\"of\":1}"
    );
    assert_eq!(delivered(&entry.receive_tokens(2, 0, 0..2), 1), texts(0..2));
    assert!(has_effect(&entry.decode_done(2, 2), "finish"));
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn prefill_result_is_cancelled_when_no_slot_is_granted() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.prefill_done(1);
    entry.engine_failed(decode(1, 1), EngineFailure::Closed);
    let retry_after = Duration::from_millis(500);
    let effects = entry.receive_reply("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
    assert_eq!(cancelled(&effects), [prefill(1, 1)]);
    assert!(has_effect(&effects, "answer_problem"));
}

#[test]
fn silent_connection_is_replaced_and_the_stream_continues() {
    let mut entry = TestVm::with_decoding_request();
    let effects = entry.wait_ms(510);
    assert_matches!(
        effects
            .iter()
            .find(|effect| matches!(effect, Effect::Reconnect { .. })),
        Some(Effect::Reconnect { from_index: 2, .. })
    );
    assert_eq!(delivered(&entry.receive_tokens(1, 0, 1..4), 1), texts(2..4));
    assert!(has_effect(&entry.decode_done(1, 4), "finish"));
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn engine_that_stays_silent_is_replaced() {
    let mut entry = TestVm::with_decoding_request();
    let effects = entry.wait_ms(1_050);
    let reconnects = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Reconnect { .. }));
    assert_eq!(reconnects.count(), 1);
    assert_eq!(
        placement_requests(&effects).len(),
        1,
        "the stream must be placed again"
    );
    assert_eq!(
        cancelled(&effects),
        [],
        "the engine must be kept until another one takes the stream over"
    );
    let effects = entry.grant_placement(2, 2, 2);
    assert!(has_effect(&effects, "prefill"));
    assert_eq!(cancelled(&effects), []);
    let effects = entry.prefill_done(2);
    assert_matches!(
        effects.iter().find(|effect| matches!(effect, Effect::Decode(_))),
        Some(Effect::Decode(command)) if command.delivered_tokens == 2
    );
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    assert_eq!(
        delivered(&entry.receive_tokens(1, 0, 2..4), 1),
        [],
        "a late token must be dropped"
    );
    assert_eq!(delivered(&entry.receive_tokens(2, 2, 0..2), 1), texts(2..4));
    assert!(has_effect(&entry.decode_done(2, 2), "finish"));
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn late_duplicate_and_reordered_tokens_are_delivered_once_in_order() {
    let mut entry = TestVm::with_decoding_request();
    let mut effects = entry.receive_tokens(1, 0, 4..6);
    effects.extend(entry.receive_tokens(1, 0, 1..3));
    effects.extend(entry.receive_tokens(1, 0, 0..2));
    effects.extend(entry.receive_tokens(1, 0, 2..5));
    effects.extend(entry.receive_tokens(1, 0, 2..5));
    assert_eq!(delivered(&effects, 1), texts(2..5));
    assert!(has_effect(&entry.decode_done(1, 5), "finish"));
    assert_eq!(
        entry.decode_done(1, 5).len(),
        1,
        "a duplicate end must only be counted"
    );
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn answer_past_its_timeout_is_aborted_and_cancelled() {
    let mut entry = TestVm::new();
    let mut base = site_base();
    base["limits"] = serde_json::json!({ "answer_timeout_ms": 1_000 });
    entry.reconfigure(base);
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.prefill_done(1);
    for index in 0..8 {
        entry.wait_ms(120);
        entry.receive_tokens(1, 0, index..index + 1);
    }
    let effects = entry.wait_ms(60);
    assert_matches!(
        effects.iter().find(|effect| matches!(effect, Effect::Abort { .. })),
        Some(Effect::Abort { problem, .. }) if problem.kind == ProblemKind::AnswerTimeout
    );
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    assert_eq!(ended_grants(&effects)[0].1.end, GrantEnd::Cancelled);
    insta::assert_snapshot!(entry.golden());
}

#[test]
fn unconfirmed_cancel_delays_the_exit_for_a_bounded_time() {
    let mut entry = TestVm::with_decoding_request();
    entry.disconnect_caller(1);
    let attempt = decode(1, 1);
    entry.engine(EngineEvent::CancelFailed { attempt });
    let effects = entry.session.apply(Event::Terminate);
    assert!(
        !effects.contains(&Effect::Exit),
        "the cancel must still be retried"
    );
    let mut exited = false;
    for _ in 0..12 {
        let mut effects = entry.wait_ms(500);
        if !cancelled(&effects).is_empty() {
            effects.extend(entry.engine(EngineEvent::CancelFailed { attempt }));
        }
        exited |= effects.contains(&Effect::Exit);
    }
    assert!(
        exited,
        "the exit must wait only for a bounded time, since the sweep cancels the attempt later"
    );
}

#[test]
fn request_that_may_have_run_fails_instead_of_being_refused() {
    let retry_after = Duration::from_millis(500);
    let answer_after = |failure| {
        let mut entry = TestVm::new();
        entry.start_request(1);
        entry.grant_placement(1, 1, 1);
        entry.prefill_done(1);
        entry.engine_failed(decode(1, 1), failure);
        let effects =
            entry.receive_reply("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
        let mut problems = effects.into_iter().filter_map(|effect| match effect {
            Effect::AnswerProblem { problem, .. } => Some(problem.kind),
            _ => None,
        });
        problems.next()
    };
    let refused = Some(ProblemKind::Overloaded);
    assert_eq!(answer_after(EngineFailure::Unreachable), refused);
    assert_eq!(answer_after(EngineFailure::TransferLost), refused);
    let failed = Some(ProblemKind::UpstreamFailed);
    assert_eq!(answer_after(EngineFailure::Closed), failed);
}
