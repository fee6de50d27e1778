//! Answers that end with their connection: complete only if the process that wrote them has outlived them, and no silence says that it
//! has not.

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::ConnectAnswer;
use arbutusfall_core::relay::EndProof;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_wire::Name;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_run_fixtures::LISTED_START_UNIX_MS;
use crate::relay_run_fixtures::NEXT_START_UNIX_MS;
use crate::relay_run_fixtures::answer_question;
use crate::relay_run_fixtures::engine;
use crate::relay_run_fixtures::progress;
use crate::relay_run_fixtures::relay_with_engines;
use crate::relay_run_fixtures::take_questions;

const COMPLETE: ExchangeEvent = ExchangeEvent::Complete { status: 200 };

/// Time that a question takes whose engine is silent.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(1);

const LISTED: RunAnswer = RunAnswer::Started(LISTED_START_UNIX_MS);

const NEXT: RunAnswer = RunAnswer::Started(NEXT_START_UNIX_MS);

/// Begins a stream that brings an event and ends with its connection some time later. Whether its first event is of the listed process
/// is known.
fn ended_stream(harness: &mut RelayHarness, path: &str) -> (CallId, SendCommand) {
    let (call, decode) = harness.start_stream(path);
    harness.deliver(decode.exchange, progress(1));
    for asked in take_questions(harness) {
        answer_question(harness, &asked, LISTED);
    }
    harness.advance(ms(500));
    for asked in take_questions(harness) {
        answer_question(harness, &asked, LISTED);
    }
    harness.deliver(decode.exchange, ExchangeEvent::EndedWithConnection);
    (call, decode)
}

/// Completes the exchanges that are confirmed, like the tasks that run them; returns what confirmed them.
fn complete_confirmed(harness: &mut RelayHarness) -> Vec<(ExchangeId, EndProof)> {
    let effects = std::mem::take(&mut harness.effects);
    let mut confirmed = Vec::new();
    for effect in effects {
        match effect {
            RelayEffect::ConfirmEnd { exchange, proof } => confirmed.push((exchange, proof)),
            other => harness.effects.push(other),
        }
    }
    for (exchange, proof) in &confirmed {
        if *proof == EndProof::Connection {
            harness.deliver(*exchange, ExchangeEvent::EndUnmarked);
        }
        harness.deliver(*exchange, COMPLETE);
    }
    confirmed
}

fn is_finished(harness: &RelayHarness, call: CallId) -> bool {
    matches!(harness.final_effect(call), Some(RelayEffect::Finish { .. }))
}

fn is_aborted(harness: &RelayHarness, call: CallId) -> bool {
    matches!(harness.final_effect(call), Some(RelayEffect::Abort { .. }))
}

/// Returns the findings that were logged.
fn findings(harness: &RelayHarness) -> Vec<&'static str> {
    let notices = harness.effects.iter().filter_map(|effect| match effect {
        RelayEffect::Note(RelayNotice::EndChecked { finding, .. }) => Some(*finding),
        _ => None,
    });
    notices.collect()
}

// Guards against whole streams that are cut because their engine does not answer for a moment after their end.
#[test]
fn whole_streams_are_complete_once_their_silent_engine_answers() {
    for path in ["/stream/1", "/resumable/1"] {
        let mut harness = relay_with_engines(&["decode-1"]);
        let (call, decode) = ended_stream(&mut harness, path);
        for _ in 0..3 {
            assert_eq!(
                take_questions(&mut harness),
                std::slice::from_ref(&decode.instance)
            );
            harness.advance(QUESTION_TIMEOUT);
            answer_question(&mut harness, &decode.instance, RunAnswer::Failed);
            assert_eq!(harness.final_effect(call), None);
        }
        answer_question(&mut harness, &decode.instance, LISTED);
        let confirmed = complete_confirmed(&mut harness);
        assert_eq!(confirmed, [(decode.exchange, EndProof::Process)]);
        assert!(is_finished(&harness, call), "{path}");
        assert_eq!(findings(&harness), ["same_process"]);
        assert_eq!(harness.take_sends(), [], "nothing is sent again");
    }
}

// Guards against a broken-off stream that looks complete, because another process answers after a silence.
#[test]
fn streams_are_broken_off_once_another_process_answers() {
    for answer in [NEXT, RunAnswer::OtherInstance] {
        let mut harness = relay_with_engines(&["decode-1"]);
        let (call, decode) = ended_stream(&mut harness, "/stream/1");
        harness.advance(QUESTION_TIMEOUT);
        answer_question(&mut harness, &decode.instance, RunAnswer::Failed);
        answer_question(&mut harness, &decode.instance, answer);
        assert_eq!(complete_confirmed(&mut harness), []);
        assert!(is_aborted(&harness, call), "{answer:?}");
    }
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let (call, decode) = ended_stream(&mut harness, "/resumable/1");
    answer_question(&mut harness, &decode.instance, NEXT);
    assert_eq!(harness.final_effect(call), None);
    let reserve = harness.take_only_send();
    assert_ne!(reserve.instance, decode.instance, "it goes on elsewhere");
}

// Guards against an answer to a question from before the end that is taken for one from after it.
#[test]
fn question_from_before_the_end_proves_nothing() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let (call, decode) = harness.start_stream("/stream/1");
    harness.deliver(decode.exchange, progress(1));
    let asked_at = harness.now;
    harness.advance(ms(50));
    harness.deliver(decode.exchange, ExchangeEvent::EndedWithConnection);
    harness.apply(RelayEvent::RunChecked {
        instance: decode.instance.clone(),
        asked_at,
        answer: LISTED,
    });
    assert_eq!(complete_confirmed(&mut harness), []);
    answer_question(&mut harness, &decode.instance, NEXT);
    assert!(is_aborted(&harness, call));
}

// Guards against a question and a connection for each of many answers that end together.
#[test]
fn answers_that_end_together_share_their_questions() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let mut streams = Vec::new();
    for _ in 0..46 {
        let (call, decode) = harness.start_stream("/stream/1");
        harness.deliver(decode.exchange, progress(1));
        streams.push((call, decode));
    }
    harness.advance(ms(200));
    take_questions(&mut harness);
    answer_question(&mut harness, &"decode-1".into(), LISTED);
    take_questions(&mut harness);
    for (_, decode) in &streams {
        harness.advance(ms(1));
        harness.deliver(decode.exchange, ExchangeEvent::EndedWithConnection);
    }
    assert_eq!(take_questions(&mut harness).len(), 1, "one is open");
    harness.advance(QUESTION_TIMEOUT);
    answer_question(&mut harness, &"decode-1".into(), RunAnswer::Failed);
    assert_eq!(take_questions(&mut harness).len(), 1);
    answer_question(&mut harness, &"decode-1".into(), LISTED);
    assert_eq!(complete_confirmed(&mut harness).len(), 46);
    assert!(streams.iter().all(|(call, _)| is_finished(&harness, *call)));
}

// Guards against an engine in trouble that is asked as fast as it fails.
#[test]
fn engine_that_fails_questions_at_once_is_asked_less_often() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let (call, decode) = ended_stream(&mut harness, "/stream/1");
    let mut asked = 0;
    for _ in 0..1_000 {
        for instance in take_questions(&mut harness) {
            asked += 1;
            answer_question(&mut harness, &instance, RunAnswer::Failed);
        }
        harness.advance(ms(5));
    }
    assert!((5..=12).contains(&asked), "{asked} questions in 5 s");
    answer_question(&mut harness, &decode.instance, LISTED);
    complete_confirmed(&mut harness);
    assert!(is_finished(&harness, call));
}

/// Has questions refused until `after`, from now on.
fn refuse_until(harness: &mut RelayHarness, instance: &Name, after: Duration) {
    let until = harness.now + after;
    while harness.now < until {
        if !take_questions(harness).is_empty() {
            answer_question(harness, instance, RunAnswer::Refused);
        }
        harness.advance(ms(10));
    }
}

// Guards against whole streams that are cut because one connection for a question is refused, and against ones that wait for ever at an
// engine that has ended.
#[test]
fn engine_has_ended_only_if_it_goes_on_refusing_connections() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let (call, decode) = ended_stream(&mut harness, "/stream/1");
    refuse_until(&mut harness, &decode.instance, ms(250));
    answer_question(&mut harness, &decode.instance, LISTED);
    complete_confirmed(&mut harness);
    assert!(is_finished(&harness, call));

    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let (lasting, other) = ended_stream(&mut harness, "/stream/1");
    refuse_until(&mut harness, &other.instance, ms(450));
    assert!(is_aborted(&harness, lasting));
    assert_eq!(findings(&harness), ["refused"]);

    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let (_, decode) = ended_stream(&mut harness, "/resumable/1");
    refuse_until(&mut harness, &decode.instance, ms(450));
    let reserve = harness.take_only_send();
    assert_ne!(reserve.instance, decode.instance, "it goes on elsewhere");
}

// Guards against whole streams of engines that leave without saying so, which are cut because their engine is no longer listed; and
// against broken-off ones that wait although another process is listed.
#[test]
fn the_list_breaks_streams_off_only_by_a_later_process() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let (call, decode) = ended_stream(&mut harness, "/stream/1");
    take_questions(&mut harness);
    let instance = decode.instance.clone();
    let removed = EndpointListChange::Removed { instance };
    harness.apply(RelayEvent::EndpointChanges(vec![removed]));
    harness.advance(QUESTION_TIMEOUT);
    answer_question(&mut harness, &decode.instance, RunAnswer::Failed);
    assert_eq!(harness.final_effect(call), None);
    assert_eq!(
        take_questions(&mut harness),
        std::slice::from_ref(&decode.instance)
    );
    answer_question(&mut harness, &decode.instance, LISTED);
    complete_confirmed(&mut harness);
    assert!(is_finished(&harness, call));

    let mut harness = relay_with_engines(&["decode-1"]);
    let (call, _) = ended_stream(&mut harness, "/stream/1");
    let older = engine("decode-1", "v1", LISTED_START_UNIX_MS - 1);
    harness.apply(RelayEvent::EndpointChanges(vec![older]));
    assert_eq!(
        harness.final_effect(call),
        None,
        "the list may come from an older copy"
    );
    let next = engine("decode-1", "v1", NEXT_START_UNIX_MS);
    harness.apply(RelayEvent::EndpointChanges(vec![next]));
    assert!(is_aborted(&harness, call));
}

// Guards against an answer that looks complete, or a call without an end, because its engine never says which process runs.
#[test]
fn stream_whose_engine_never_answers_is_aborted_when_its_call_ends() {
    for is_drained in [false, true] {
        let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
        let (call, decode) = ended_stream(&mut harness, "/resumable/1");
        if is_drained {
            harness.apply(RelayEvent::DrainTimeout);
        }
        for _ in 0..14 {
            take_questions(&mut harness);
            harness.advance(QUESTION_TIMEOUT);
            answer_question(&mut harness, &decode.instance, RunAnswer::Failed);
        }
        assert!(is_aborted(&harness, call));
        harness.advance(QUESTION_TIMEOUT);
        assert_eq!(take_questions(&mut harness), [""; 0].map(Name::from));
        assert_eq!(findings(&harness), ["unknown"]);
    }
}

// Guards against a whole stream that is cut, because its silent engine ends it while the stream is being moved.
#[test]
fn proved_end_of_a_silent_stream_is_its_end() {
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let (call, decode) = harness.start_stream("/resumable/1");
    harness.deliver(decode.exchange, progress(1));
    take_questions(&mut harness);
    answer_question(&mut harness, &decode.instance, LISTED);
    harness.advance(ms(1_250));
    let moved = harness.take_only_send();
    assert_ne!(moved.instance, decode.instance);
    harness.deliver(decode.exchange, ExchangeEvent::EndedWithConnection);
    assert_eq!(harness.final_effect(call), None);
    answer_question(&mut harness, &decode.instance, LISTED);
    complete_confirmed(&mut harness);
    assert!(is_finished(&harness, call));
}

// Guards against an endpoint that gets a question for each answer that ends although it has asked for rest; and against answers that wait
// for the end of its rest without need.
#[test]
fn resting_engine_is_asked_once_for_answers_that_have_ended() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let (first, decode) = harness.start_stream("/stream/1");
    harness.deliver(decode.exchange, progress(1));
    let (second, later) = harness.start_stream("/stream/2");
    harness.deliver(later.exchange, progress(1));
    harness.advance(ms(200));
    take_questions(&mut harness);
    answer_question(&mut harness, &decode.instance, LISTED);
    take_questions(&mut harness);
    harness.apply(RelayEvent::ControlRest {
        instance: decode.instance.clone(),
        rest: ms(3_000),
    });
    harness.deliver(decode.exchange, ExchangeEvent::EndedWithConnection);
    assert_eq!(take_questions(&mut harness).len(), 1);
    answer_question(&mut harness, &decode.instance, LISTED);
    complete_confirmed(&mut harness);
    assert!(is_finished(&harness, first));
    harness.advance(ms(200));
    harness.deliver(later.exchange, ExchangeEvent::EndedWithConnection);
    harness.advance(ms(2_700));
    assert_eq!(take_questions(&mut harness), [""; 0].map(Name::from));
    harness.advance(ms(500));
    assert_eq!(take_questions(&mut harness).len(), 1);
    answer_question(&mut harness, &decode.instance, LISTED);
    complete_confirmed(&mut harness);
    assert!(is_finished(&harness, second));
}

// Guards against a whole answer of an endpoint that doesn't say when it started, which is lost because a connection hangs.
#[test]
fn plain_answer_is_complete_once_its_endpoint_accepts_a_connection() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let shop = EndpointListChange::Listed(listed("shop-1", "shop", Role::Plain));
    harness.apply(RelayEvent::EndpointChanges(vec![shop]));
    let call = harness.submit("/pay/1");
    let sent = harness.take_only_send();
    harness.deliver(sent.exchange, ExchangeEvent::EndedWithConnection);
    for _ in 0..2 {
        let checked = harness.end_connects(|_| ConnectAnswer::Unanswered);
        assert!(checked.contains(&sent.instance));
        harness.advance(ms(400));
        assert_eq!(harness.final_effect(call), None);
    }
    harness.end_connects(|_| ConnectAnswer::Accepted);
    let confirmed = complete_confirmed(&mut harness);
    assert_eq!(confirmed, [(sent.exchange, EndProof::Connection)]);
    assert!(matches!(
        harness.final_effect(call),
        Some(RelayEffect::Answer { .. })
    ));
}

/// What an engine does with questions for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Answers,
    /// Questions hang.
    Silent,
    /// Connections are reset, or what comes back can't be read.
    Resets,
    Refuses,
}

/// An engine whose stream ends with its connection, and may end itself.
#[derive(Debug)]
struct ModelEngine {
    phase: Phase,
    phase_until: Duration,
    started_unix_ms: u64,
    /// When its process is replaced by another one, if it is.
    replaced_at: Option<Duration>,
    /// A question with the time of its asking and of its answer.
    question: Option<(Duration, Duration)>,
}

impl ModelEngine {
    fn step(&mut self, rng: &mut fastrand::Rng, now: Duration) {
        if self.replaced_at.is_some_and(|at| now >= at) {
            self.started_unix_ms = NEXT_START_UNIX_MS;
        }
        if now < self.phase_until {
            return;
        }
        let (phase, times_ms) = match rng.u32(..5) {
            // Refusals for shorter than it takes to count as ended, and a question that is answered after them.
            _ if self.phase == Phase::Refuses => (Phase::Answers, 150..450),
            0 => (Phase::Silent, 1..1_500),
            1 => (Phase::Resets, 1..600),
            2 => (Phase::Refuses, 1..200),
            _ => (Phase::Answers, 1..300),
        };
        self.phase = phase;
        self.phase_until = now + ms(rng.u64(times_ms));
    }

    /// Returns when a question of `now` is over.
    fn due(&self, rng: &mut fastrand::Rng, now: Duration) -> Duration {
        match self.phase {
            Phase::Silent => (now + QUESTION_TIMEOUT).min(self.phase_until),
            Phase::Resets | Phase::Refuses | Phase::Answers => now + ms(rng.u64(..20)),
        }
    }

    fn answer(&self) -> RunAnswer {
        match self.phase {
            Phase::Answers => RunAnswer::Started(self.started_unix_ms),
            Phase::Silent | Phase::Resets => RunAnswer::Failed,
            Phase::Refuses => RunAnswer::Refused,
        }
    }
}

// Guards against broken-off answers that look complete and whole ones that are cut, in any order of silences, lost questions, refusals,
// restarts and reads of the list.
#[test]
fn answers_are_complete_if_and_only_if_their_process_outlives_them() {
    let mut outcomes = [0, 0];
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut harness = relay_with_engines(&["decode-1"]);
        let (call, decode) = ended_stream(&mut harness, "/stream/1");
        let ended_at = harness.now;
        let is_broken_off = rng.bool();
        let replaced_at = if is_broken_off {
            // Its connections closed as it ended.
            Some(ended_at)
        } else {
            // Maybe later, when the answer may be known to be complete or not.
            rng.bool().then(|| ended_at + ms(rng.u64(1..4_000)))
        };
        let mut model = ModelEngine {
            phase: Phase::Answers,
            phase_until: ended_at,
            started_unix_ms: LISTED_START_UNIX_MS,
            replaced_at,
            question: None,
        };
        let listed_at = replaced_at.map(|at| at + ms(rng.u64(500..3_000)));
        let mut is_listed = false;
        while harness.now < ended_at + ms(12_000) && harness.final_effect(call).is_none() {
            model.step(&mut rng, harness.now);
            if !take_questions(&mut harness).is_empty() && model.question.is_none() {
                let due = model.due(&mut rng, harness.now);
                model.question = Some((harness.now, due));
            }
            if let Some((asked_at, _)) = model.question.take_if(|(_, due)| harness.now >= *due) {
                harness.apply(RelayEvent::RunChecked {
                    instance: decode.instance.clone(),
                    asked_at,
                    answer: model.answer(),
                });
            }
            if !is_listed && listed_at.is_some_and(|at| harness.now >= at) {
                is_listed = true;
                let next = engine("decode-1", "v1", NEXT_START_UNIX_MS);
                harness.apply(RelayEvent::EndpointChanges(vec![next]));
            }
            complete_confirmed(&mut harness);
            harness.advance(ms(5));
        }
        let is_complete = is_finished(&harness, call);
        assert!(!(is_complete && is_broken_off), "seed {seed}: broken off");
        let lives_on = replaced_at.is_none();
        assert!(is_complete || !lives_on, "seed {seed}: a whole answer");
        outcomes[usize::from(is_complete)] += 1;
    }
    assert!(outcomes.iter().all(|count| *count > 300), "{outcomes:?}");
}
