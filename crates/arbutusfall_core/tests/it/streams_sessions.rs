//! Whole sessions of model requests under faults, as golden files.

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
use crate::streams_play::Play;
use crate::streams_play::cancelled;
use crate::streams_play::decode;
use crate::streams_play::delivered;
use crate::streams_play::ended;
use crate::streams_play::grant;
use crate::streams_play::has;
use crate::streams_play::places;
use crate::streams_play::prefill;
use crate::streams_play::texts;

#[test]
fn finished_answer_ends_its_grant() {
    let mut play = Play::decoding();
    let effects = play.done(1, 2);
    assert!(has(&effects, "finish"));
    assert_eq!(ended(&effects)[0].1.end, GrantEnd::Finished);
    insta::assert_snapshot!(play.golden());
}

#[test]
fn refusal_is_passed_on_at_once() {
    let mut play = Play::new();
    play.ask(1);
    let retry_after = Duration::from_millis(700);
    let effects = play.placed("milano-a-2", 1, 1, PlaceDecision::Refused { retry_after });
    assert_matches!(&effects[..], [.., Effect::Refuse { problem, .. }] if problem.retry_after == Some(retry_after));
    insta::assert_snapshot!(play.golden());
}

#[test]
fn grant_for_a_caller_that_left_while_placing_is_given_back() {
    let mut play = Play::new();
    play.ask(1);
    play.caller_gone(1);
    let effects = play.granted(1, 1, 1);
    let ended = ended(&effects);
    assert_eq!(ended.len(), 1, "the late grant is returned: {effects:?}");
    assert_eq!(ended[0].1.placement, 1);
    insta::assert_snapshot!(play.golden());
}

#[test]
fn late_grant_of_a_silent_owner_is_given_back() {
    let mut play = Play::new();
    let first = places(&play.ask(1))[0].0.clone();
    let next = places(&play.wait_ms(110))[0].0.clone();
    assert_ne!(first, next, "the next owner is asked");
    let late = PlaceDecision::Granted(grant(1, 1, Duration::ZERO));
    let effects = play.placed(&first, 1, 1, late);
    let back = ended(&effects);
    assert_eq!(back.len(), 1, "the late grant is returned: {effects:?}");
    assert_eq!((&back[0].0, back[0].1.placement), (&first, 1));
    let effects = play.granted(2, 2, 2);
    assert!(has(&effects, "prefill"));
    insta::assert_snapshot!(play.golden());
}

#[test]
fn caller_that_leaves_while_waiting_frees_the_grant() {
    let mut play = Play::new();
    play.ask(1);
    let later = grant(1, 1, Duration::from_millis(300));
    play.placed("milano-a-2", 1, 1, PlaceDecision::Granted(later));
    let effects = play.caller_gone(1);
    assert_eq!(ended(&effects)[0].1.end, GrantEnd::Cancelled);
    let later = play.wait_ms(400);
    assert!(!has(&later, "prefill"));
    insta::assert_snapshot!(play.golden());
}

#[test]
fn caller_that_leaves_during_the_prefill_cancels_it_until_confirmed() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    let mut effects = play.caller_gone(1);
    for _ in 0..3 {
        assert_eq!(cancelled(&effects), [prefill(1, 1)]);
        play.engine(EngineEvent::CancelFailed {
            attempt: prefill(1, 1),
        });
        effects = play.wait_ms(400);
    }
    play.engine(EngineEvent::Cancelled {
        attempt: prefill(1, 1),
    });
    assert_eq!(cancelled(&play.wait_ms(5_000)), []);
    insta::assert_snapshot!(play.golden());
}

#[test]
fn caller_that_leaves_during_the_transfer_cancels_both_engines() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    play.wait_ms(200);
    play.prefill_done(1);
    let effects = play.caller_gone(1);
    let mut cancelled = cancelled(&effects);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [prefill(1, 1), decode(1, 1)]);
    insta::assert_snapshot!(play.golden());
}

#[test]
fn caller_that_leaves_while_decoding_cancels_the_decode() {
    let mut play = Play::decoding();
    let effects = play.caller_gone(1);
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    insta::assert_snapshot!(play.golden());
}

#[test]
fn cancel_reaches_an_engine_that_left_the_configuration() {
    let mut play = Play::decoding();
    let mut base = site_base();
    base["endpoints"]
        .as_object_mut()
        .expect("endpoints are an object")
        .remove("decode-1");
    play.reconfigure(base);
    let effects = play.caller_gone(1);
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
}

#[test]
fn dead_prefill_engine_is_avoided() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    let effects = play.failed(prefill(1, 1), EngineFailure::Unreachable);
    let (_, place) = &places(&effects)[0];
    assert_eq!(place.avoid, ["prefill-1".into()]);
    assert_eq!(ended(&effects)[0].1.end, GrantEnd::PrefillFailed);
    play.granted(2, 2, 1);
    play.prefill_done(2);
    play.tokens(2, 0, 0..2);
    assert!(has(&play.done(2, 2), "finish"));
    insta::assert_snapshot!(play.golden());
}

#[test]
fn frozen_prefill_engine_is_left_for_another() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    let effects = play.wait_ms(800);
    assert!(has(&effects, "list_active"), "the engine is asked");
    let effects = play.engine(EngineEvent::ActiveFailed {
        endpoint: "prefill-1".into(),
    });
    assert_eq!(cancelled(&effects), [prefill(1, 1)]);
    assert_eq!(places(&effects)[0].1.avoid, ["prefill-1".into()]);
    insta::assert_snapshot!(play.golden());
}

#[test]
fn slow_prefill_engine_is_waited_for() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    play.wait_ms(800);
    let effects = play.engine(EngineEvent::Active {
        endpoint: "prefill-1".into(),
        attempts: vec![prefill(1, 1)],
    });
    assert_eq!(cancelled(&effects), []);
    assert!(has(&play.prefill_done(1), "decode"));
}

#[test]
fn prefill_that_its_engine_does_not_know_is_placed_again() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    play.wait_ms(800);
    let effects = play.engine(EngineEvent::Active {
        endpoint: "prefill-1".into(),
        attempts: Vec::new(),
    });
    assert_eq!(places(&effects).len(), 1);
}

#[test]
fn dead_decode_engine_is_resumed_elsewhere() {
    let mut play = Play::decoding();
    let effects = play.failed(decode(1, 1), EngineFailure::Closed);
    let (_, place) = &places(&effects)[0];
    assert!(place.resumed);
    assert_eq!(place.avoid, ["decode-1".into()]);
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    play.granted(2, 2, 2);
    play.prefill_done(2);
    assert_eq!(delivered(&play.tokens(1, 0, 2..4), 1), [], "a late token");
    assert_eq!(delivered(&play.tokens(2, 2, 0..2), 1), texts(2..4));
    assert!(has(&play.done(2, 2), "finish"));
    insta::assert_snapshot!(play.golden());
}

#[test]
fn decode_engine_that_dies_after_the_last_token_ends_the_answer() {
    let mut play = Play::decoding();
    play.tokens(1, 0, 2..10);
    let effects = play.failed(decode(1, 1), EngineFailure::Closed);
    assert!(has(&effects, "finish"), "{effects:?}");
}

#[test]
fn request_is_given_up_with_an_error_at_once_when_engines_keep_failing() {
    let mut play = Play::decoding();
    let mut effects = play.failed(decode(1, 1), EngineFailure::Closed);
    for placement in 2..=5 {
        assert_eq!(places(&effects).len(), 1);
        play.granted(placement, 1, 1);
        effects = play.failed(prefill(1, placement), EngineFailure::Unreachable);
    }
    assert_matches!(
        effects.iter().find(|effect| matches!(effect, Effect::Abort { .. })),
        Some(Effect::Abort { problem, .. }) if problem.retry_after.is_some()
    );
    insta::assert_snapshot!(play.golden());
}

#[test]
fn refused_resumption_is_tried_again_with_all_engines() {
    let mut play = Play::decoding();
    play.failed(decode(1, 1), EngineFailure::Closed);
    let retry_after = Duration::from_millis(500);
    let effects = play.placed("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
    let (_, place) = &places(&effects)[0];
    assert_eq!(place.avoid, []);
}

#[test]
fn stalled_transfer_is_redirected_without_a_new_prefill() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    play.wait_ms(200);
    play.prefill_done(1);
    let effects = play.wait_ms(500);
    assert!(has(&effects, "resume"), "a new connection comes first");
    let asked = places(&effects);
    let (_, place) = asked.first().expect("another slot is asked for");
    assert_eq!(place.prefilled_on, Some("prefill-1".into()));
    assert_eq!(cancelled(&effects), [decode(1, 1)], "the result is kept");
    let effects = play.granted(2, 1, 2);
    assert!(!has(&effects, "prefill"), "no new prefill");
    assert_matches!(
        effects.iter().find(|effect| matches!(effect, Effect::Decode(_))),
        Some(Effect::Decode(order)) if &*order.transfer == "{\"of\":1}"
    );
    assert_eq!(delivered(&play.tokens(2, 0, 0..2), 1), texts(0..2));
    assert!(has(&play.done(2, 2), "finish"));
    insta::assert_snapshot!(play.golden());
}

#[test]
fn prefill_result_that_no_slot_can_take_is_given_up() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    play.prefill_done(1);
    play.failed(decode(1, 1), EngineFailure::Closed);
    let retry_after = Duration::from_millis(500);
    let effects = play.placed("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
    assert_eq!(cancelled(&effects), [prefill(1, 1)]);
    assert!(has(&effects, "refuse"));
}

#[test]
fn silent_connection_is_replaced_and_the_stream_goes_on() {
    let mut play = Play::decoding();
    let effects = play.wait_ms(510);
    assert_matches!(
        effects
            .iter()
            .find(|effect| matches!(effect, Effect::Resume { .. })),
        Some(Effect::Resume { from_index: 2, .. })
    );
    assert_eq!(delivered(&play.tokens(1, 0, 1..4), 1), texts(2..4));
    assert!(has(&play.done(1, 4), "finish"));
    insta::assert_snapshot!(play.golden());
}

#[test]
fn engine_that_stays_silent_is_left_for_another() {
    let mut play = Play::decoding();
    let effects = play.wait_ms(1_050);
    let resumes = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Resume { .. }));
    assert_eq!(resumes.count(), 1);
    assert_eq!(places(&effects).len(), 1, "the stream moves");
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    insta::assert_snapshot!(play.golden());
}

#[test]
fn late_doubled_and_reordered_tokens_are_delivered_once_in_order() {
    let mut play = Play::decoding();
    let mut effects = play.tokens(1, 0, 4..6);
    effects.extend(play.tokens(1, 0, 1..3));
    effects.extend(play.tokens(1, 0, 0..2));
    effects.extend(play.tokens(1, 0, 2..5));
    effects.extend(play.tokens(1, 0, 2..5));
    assert_eq!(delivered(&effects, 1), texts(2..5));
    assert!(has(&play.done(1, 5), "finish"));
    assert_eq!(play.done(1, 5).len(), 1, "a second end is only counted");
    insta::assert_snapshot!(play.golden());
}

#[test]
fn answer_past_its_deadline_ends_at_once_and_frees_the_engine() {
    let mut play = Play::new();
    let mut base = site_base();
    base["limits"] = serde_json::json!({ "answer_timeout_ms": 1_000 });
    play.reconfigure(base);
    play.ask(1);
    play.granted(1, 1, 1);
    play.prefill_done(1);
    for index in 0..8 {
        play.wait_ms(120);
        play.tokens(1, 0, index..index + 1);
    }
    let effects = play.wait_ms(60);
    assert_matches!(
        effects.iter().find(|effect| matches!(effect, Effect::Abort { .. })),
        Some(Effect::Abort { problem, .. }) if problem.kind == ProblemKind::AnswerTimeout
    );
    assert_eq!(cancelled(&effects), [decode(1, 1)]);
    assert_eq!(ended(&effects)[0].1.end, GrantEnd::Cancelled);
    insta::assert_snapshot!(play.golden());
}

#[test]
fn cancel_that_is_never_confirmed_holds_the_exit_for_a_bounded_time() {
    let mut play = Play::decoding();
    play.caller_gone(1);
    let attempt = decode(1, 1);
    play.engine(EngineEvent::CancelFailed { attempt });
    let effects = play.session.apply(Event::Terminate);
    assert!(!effects.contains(&Effect::Exit), "the engine is told again");
    let mut exited = false;
    for _ in 0..12 {
        let mut effects = play.wait_ms(500);
        if !cancelled(&effects).is_empty() {
            effects.extend(play.engine(EngineEvent::CancelFailed { attempt }));
        }
        exited |= effects.contains(&Effect::Exit);
    }
    assert!(exited, "the sweep takes over after the process is gone");
}

#[test]
fn refusal_says_not_run_only_if_no_engine_can_have_generated() {
    let retry_after = Duration::from_millis(500);
    let answer_after = |failure| {
        let mut play = Play::new();
        play.ask(1);
        play.granted(1, 1, 1);
        play.prefill_done(1);
        play.failed(decode(1, 1), failure);
        let effects = play.placed("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
        let mut refusals = effects.into_iter().filter_map(|effect| match effect {
            Effect::Refuse { problem, .. } => Some(problem.kind),
            _ => None,
        });
        refusals.next()
    };
    let not_run = Some(ProblemKind::Overloaded);
    assert_eq!(answer_after(EngineFailure::Unreachable), not_run);
    assert_eq!(answer_after(EngineFailure::TransferLost), not_run);
    let failed = Some(ProblemKind::UpstreamFailed);
    assert_eq!(answer_after(EngineFailure::Closed), failed);
}

#[test]
fn refusal_after_a_silent_decode_does_not_say_not_run() {
    let mut play = Play::new();
    play.ask(1);
    play.granted(1, 1, 1);
    play.prefill_done(1);
    let effects = play.wait_ms(500);
    assert_eq!(places(&effects).len(), 1, "the engine is left");
    let retry_after = Duration::from_millis(500);
    let effects = play.placed("milano-a-2", 1, 2, PlaceDecision::Refused { retry_after });
    let refusal = effects.iter().find_map(|effect| match effect {
        Effect::Refuse { problem, .. } => Some(problem.kind),
        _ => None,
    });
    assert_eq!(refusal, Some(ProblemKind::UpstreamFailed));
}
