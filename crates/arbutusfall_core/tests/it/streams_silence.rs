//! Engines that fall silent for longer than the timeout: their streams are kept until another engine takes them over.

use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::EngineFailure;
use arbutusfall_core::ProblemKind;
use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::PeerMessage;
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

/// Time from the last token until another placement is requested: the silence timeout twice, and some slack.
const SILENCE_UNTIL_PLACEMENT_MS: u64 = 1_050;

/// Owner that answers the placement requests.
const OWNER: &str = "milano-a-2";

fn refused() -> PlaceDecision {
    let retry_after = Duration::from_millis(500);
    PlaceDecision::Refused { retry_after }
}

/// Returns an entry VM whose decoding request has been silent until its second placement was requested.
fn with_silent_request() -> TestVm {
    let mut entry = TestVm::with_decoding_request();
    let effects = entry.wait_ms(SILENCE_UNTIL_PLACEMENT_MS);
    let placements = placement_requests(&effects);
    assert_eq!(placements.len(), 1, "{effects:?}");
    assert_eq!(placements[0].1.placement, 2);
    assert_eq!(cancelled(&effects), [], "cancelled before it is replaced");
    entry
}

/// Refuses the second placement and the third, which may use all engines.
fn refuse_placements(entry: &mut TestVm) -> Vec<Effect> {
    let mut effects = entry.receive_reply(OWNER, 1, 2, refused());
    effects.extend(entry.receive_reply(OWNER, 1, 3, refused()));
    effects
}

/// Checks that the effects neither end the caller's answer nor cancel an attempt.
fn assert_is_kept(effects: &[Effect]) {
    assert_eq!(cancelled(effects), [], "cancelled before it is replaced");
    assert!(!has_effect(effects, "abort"), "cut off: {effects:?}");
    assert!(!has_effect(effects, "answer_problem"), "{effects:?}");
}

/// Checks that tokens of the first decode are delivered and that it can finish the answer.
fn assert_first_decode_finishes(entry: &mut TestVm) {
    let effects = entry.receive_tokens(1, 0, 2..4);
    assert_eq!(delivered(&effects, 1), texts(2..4));
    assert_finishes(entry, 4);
}

fn assert_finishes(entry: &mut TestVm, generated_tokens: u32) {
    let effects = entry.decode_done(1, generated_tokens);
    assert!(has_effect(&effects, "finish"), "{effects:?}");
    assert_eq!(cancelled(&effects), []);
    let ended = ended_grants(&effects);
    assert_eq!(ended.len(), 1);
    assert_eq!(
        (ended[0].1.placement, ended[0].1.end),
        (1, GrantEnd::Finished)
    );
}

/// Checks that the second placement's grant was released without a failure.
fn assert_second_grant_is_released(effects: &[Effect]) {
    let ended = ended_grants(effects);
    assert_eq!(ended.len(), 1, "{effects:?}");
    assert_eq!(
        (ended[0].1.placement, ended[0].1.end),
        (2, GrantEnd::Cancelled)
    );
}

/// Returns the reports of grants in use.
fn active_reports(effects: &[Effect]) -> Vec<&GrantReport> {
    let reports = effects.iter().filter_map(|effect| match effect {
        Effect::Send {
            message: PeerMessage::GrantReport(report),
            ..
        } if !report.active.is_empty() => Some(report),
        _ => None,
    });
    reports.collect()
}

// Guards against a stream that is cut off after a silence because no other engine has room for it.
#[test]
fn silent_stream_is_not_cut_off_when_its_placement_is_refused() {
    let mut entry = with_silent_request();
    let effects = refuse_placements(&mut entry);
    assert_is_kept(&effects);
    assert_first_decode_finishes(&mut entry);
}

// Guards against an owner that gives the slot of a kept stream to another request.
#[test]
fn grant_of_a_kept_stream_is_reported_at_once() {
    let mut entry = with_silent_request();
    let effects = refuse_placements(&mut entry);
    let reports = active_reports(&effects);
    assert_eq!(reports.len(), 1, "{effects:?}");
    assert_eq!(&*reports[0].active[0].decode, "decode-1");
    assert_eq!(reports[0].active[0].generated_tokens, 2);
}

#[test]
fn silent_stream_is_kept_when_no_owner_answers() {
    let mut entry = with_silent_request();
    assert_is_kept(&entry.wait_ms(400));
    assert_first_decode_finishes(&mut entry);
}

#[test]
fn placement_of_a_silent_stream_is_requested_again_after_a_refusal() {
    let mut entry = with_silent_request();
    refuse_placements(&mut entry);
    let effects = entry.wait_ms(SILENCE_UNTIL_PLACEMENT_MS);
    assert_is_kept(&effects);
    let placements = placement_requests(&effects);
    assert_eq!(placements.len(), 1);
    assert_eq!(placements[0].1.placement, 4, "numbers are used once");
    assert_eq!(placements[0].1.avoid, ["decode-1".into()]);
    entry.grant_placement(4, 2, 2);
    let effects = entry.prefill_done(4);
    assert!(has_effect(&effects, "decode"));
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    assert_eq!(delivered(&entry.receive_tokens(4, 2, 0..2), 1), texts(2..4));
    assert!(has_effect(&entry.decode_done(4, 2), "finish"));
}

// Guards against refused placements that use up the failures which a request survives.
#[test]
fn silent_stream_is_kept_until_the_answer_timeout() {
    let mut entry = TestVm::new();
    let mut base = site_base();
    base["limits"] = serde_json::json!({ "answer_timeout_ms": 20_000 });
    entry.reconfigure(base);
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.prefill_done(1);
    entry.receive_tokens(1, 0, 0..2);
    let mut placement_count = 0;
    for _ in 0..199 {
        let effects = entry.wait_ms(100);
        assert_is_kept(&effects);
        let mut placements = placement_requests(&effects);
        while let Some((owner, request)) = placements.pop() {
            placement_count += 1;
            let effects = entry.receive_reply(&owner, 1, request.placement, refused());
            assert_is_kept(&effects);
            placements.extend(placement_requests(&effects));
        }
    }
    assert!(placement_count > 10, "{placement_count} placements");
    let effects = entry.wait_ms(150);
    assert_matches!(
        effects.iter().find(|effect| matches!(effect, Effect::Abort { .. })),
        Some(Effect::Abort { problem, .. }) if problem.kind == ProblemKind::AnswerTimeout
    );
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
}

#[test]
fn silent_decode_that_goes_on_during_placement_keeps_the_stream() {
    let mut entry = with_silent_request();
    let effects = entry.receive_tokens(1, 0, 2..4);
    assert_eq!(delivered(&effects, 1), texts(2..4));
    let effects = entry.grant_placement(2, 2, 2);
    assert!(!has_effect(&effects, "prefill"));
    assert_second_grant_is_released(&effects);
    assert_finishes(&mut entry, 4);
}

#[test]
fn silent_decode_that_goes_on_before_the_start_keeps_the_stream() {
    let mut entry = with_silent_request();
    let later = grant(2, 2, Duration::from_millis(100));
    assert_is_kept(&entry.receive_reply(OWNER, 1, 2, PlaceDecision::Granted(later)));
    let effects = entry.receive_tokens(1, 0, 2..4);
    assert_eq!(delivered(&effects, 1), texts(2..4));
    assert_second_grant_is_released(&effects);
    assert!(!has_effect(&entry.wait_ms(200), "prefill"));
    assert_finishes(&mut entry, 4);
}

#[test]
fn silent_decode_that_goes_on_during_prefill_keeps_the_stream() {
    let mut entry = with_silent_request();
    let effects = entry.grant_placement(2, 2, 2);
    assert!(has_effect(&effects, "prefill"));
    assert_is_kept(&effects);
    let effects = entry.receive_tokens(1, 0, 2..4);
    assert_eq!(delivered(&effects, 1), texts(2..4));
    assert_eq!(cancelled(&effects), [prefill(1, 2)]);
    assert_second_grant_is_released(&effects);
    assert!(!has_effect(&entry.prefill_done(2), "decode"));
    assert_finishes(&mut entry, 4);
}

// Guards against a late duplicate that is taken for progress.
#[test]
fn repeated_tokens_do_not_end_the_move_of_a_silent_stream() {
    let mut entry = with_silent_request();
    entry.grant_placement(2, 2, 2);
    let effects = entry.receive_tokens(1, 0, 0..2);
    assert_eq!(delivered(&effects, 1), texts(0..0));
    assert_is_kept(&effects);
    assert!(has_effect(&entry.prefill_done(2), "decode"));
}

#[test]
fn silent_decode_that_ends_during_a_move_finishes_the_answer() {
    let mut entry = with_silent_request();
    entry.grant_placement(2, 2, 2);
    let effects = entry.decode_done(1, 2);
    assert!(has_effect(&effects, "finish"), "{effects:?}");
    assert_eq!(cancelled(&effects), [prefill(1, 2)]);
}

// Guards against a stream that is given up because the prefills of its move fail.
#[test]
fn silent_stream_is_kept_when_the_prefills_of_its_move_fail() {
    let mut entry = with_silent_request();
    for placement in 2..=5 {
        assert_is_kept(&entry.grant_placement(placement, 2, 2));
        let attempt = prefill(1, placement);
        assert_is_kept(&entry.engine_failed(attempt, EngineFailure::Unreachable));
    }
    assert_first_decode_finishes(&mut entry);
}

#[test]
fn silent_decode_that_fails_during_its_move_is_replaced() {
    let mut entry = with_silent_request();
    entry.grant_placement(2, 2, 2);
    let effects = entry.engine_failed(decode(1, 1), EngineFailure::Closed);
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    assert_eq!(placement_requests(&effects), [], "one move is enough");
    let effects = entry.prefill_done(2);
    assert!(has_effect(&effects, "decode"));
    assert_eq!(cancelled(&effects), []);
    assert_eq!(delivered(&entry.receive_tokens(2, 2, 0..2), 1), texts(2..4));
    assert!(has_effect(&entry.decode_done(2, 2), "finish"));
}

#[test]
fn stream_of_a_failed_decode_is_aborted_when_its_move_is_refused() {
    let mut entry = with_silent_request();
    entry.engine_failed(decode(1, 1), EngineFailure::Closed);
    assert!(has_effect(&refuse_placements(&mut entry), "abort"));
}

#[test]
fn caller_disconnect_during_a_move_cancels_both_attempts() {
    let mut entry = with_silent_request();
    entry.grant_placement(2, 2, 2);
    let effects = entry.disconnect_caller(1);
    let mut cancelled = cancelled(&effects);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [decode(1, 1), prefill(1, 2)]);
    assert_second_grant_is_released(&effects);
}

#[test]
fn silent_transfer_is_kept_when_its_placement_is_refused() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.prefill_done(1);
    let effects = entry.wait_ms(500);
    assert_eq!(placement_requests(&effects).len(), 1);
    assert_is_kept(&effects);
    assert_is_kept(&entry.receive_reply(OWNER, 1, 2, refused()));
    let effects = entry.receive_tokens(1, 0, 0..2);
    assert_eq!(delivered(&effects, 1), texts(0..2));
    assert_finishes(&mut entry, 2);
}

// Guards against a silence that counts as the failure which ends a request.
#[test]
fn silent_stream_without_retries_left_waits_for_its_engine() {
    let mut entry = TestVm::with_decoding_request();
    for placement in 1..=4 {
        entry.engine_failed(decode(1, placement), EngineFailure::Closed);
        entry.grant_placement(placement + 1, 1, 1);
        entry.prefill_done(placement + 1);
    }
    entry.receive_tokens(5, 2, 0..1);
    let effects = entry.wait_ms(3 * SILENCE_UNTIL_PLACEMENT_MS);
    assert_is_kept(&effects);
    assert_eq!(placement_requests(&effects), []);
    assert!(has_effect(&effects, "reconnect"));
    assert_eq!(delivered(&entry.receive_tokens(5, 2, 1..3), 1), texts(3..5));
    assert!(has_effect(&entry.decode_done(5, 3), "finish"));
}

// Guards against a prefill result that is discarded although the silent engine may still fetch it.
#[test]
fn result_of_a_silent_transfer_is_kept_until_another_decode_is_sent() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.prefill_done(1);
    entry.wait_ms(500);
    let after_expiry = grant(2, 2, Duration::from_secs(30));
    assert_is_kept(&entry.receive_reply(OWNER, 1, 2, PlaceDecision::Granted(after_expiry)));
    let effects = entry.wait_ms(30_000);
    assert!(has_effect(&effects, "prefill"), "the result has expired");
    assert_is_kept(&effects);
    let effects = entry.prefill_done(2);
    let mut cancelled = cancelled(&effects);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [prefill(1, 1), decode(1, 1)]);
    assert!(has_effect(&effects, "decode"));
}

#[test]
fn silent_decode_then_refusals_fails_the_request_at_its_timeout() {
    let mut entry = TestVm::new();
    let mut base = site_base();
    base["limits"] = serde_json::json!({ "answer_timeout_ms": 1_000 });
    entry.reconfigure(base);
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.prefill_done(1);
    let effects = entry.wait_ms(500);
    assert_eq!(
        placement_requests(&effects).len(),
        1,
        "the request must be placed again"
    );
    let retry_after = Duration::from_millis(500);
    let effects = entry.receive_reply("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
    assert!(!has_effect(&effects, "answer_problem"), "{effects:?}");
    assert_eq!(cancelled(&effects), []);
    let effects = entry.wait_ms(550);
    let problem = effects.iter().find_map(|effect| match effect {
        Effect::AnswerProblem { problem, .. } => Some(problem.kind),
        _ => None,
    });
    assert_eq!(problem, Some(ProblemKind::AnswerTimeout));
    let mut cancelled = cancelled(&effects);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [prefill(1, 1), decode(1, 1)]);
}

#[test]
fn silent_decode_that_is_lost_then_refusal_fails_the_request() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    entry.grant_placement(1, 1, 1);
    entry.prefill_done(1);
    entry.wait_ms(500);
    entry.engine_failed(decode(1, 1), EngineFailure::Unreachable);
    let retry_after = Duration::from_millis(500);
    let effects = entry.receive_reply("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
    let problem = effects.iter().find_map(|effect| match effect {
        Effect::AnswerProblem { problem, .. } => Some(problem.kind),
        _ => None,
    });
    assert_eq!(
        problem,
        Some(ProblemKind::UpstreamFailed),
        "the silent engine may have generated tokens"
    );
    assert_eq!(cancelled(&effects), [prefill(1, 1)]);
}
