//! Processes of engines that are upgraded in place: streams begin and go on only where it is known which process answers.

use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::Hop;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SentAccount;
use arbutusfall_core::relay::StreamLookup;
use arbutusfall_core::relay::StreamOrigin;
use arbutusfall_core::relay::StreamRecord;
use arbutusfall_core::relay::Work;
use arbutusfall_wire::Name;

use crate::relay_harness::CLOSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::ms;
use crate::relay_harness::store_read;
use crate::relay_run_fixtures::LISTED_START_UNIX_MS;
use crate::relay_run_fixtures::NEXT_START_UNIX_MS;
use crate::relay_run_fixtures::answer_question;
use crate::relay_run_fixtures::begin;
use crate::relay_run_fixtures::engine;
use crate::relay_run_fixtures::progress;
use crate::relay_run_fixtures::relay_with_engines;
use crate::relay_run_fixtures::take_questions;

/// Takes the records of streams that are appended to the store.
fn take_records(harness: &mut RelayHarness) -> Vec<StreamRecord> {
    let effects = std::mem::take(&mut harness.effects);
    let mut records = Vec::new();
    for effect in effects {
        match effect {
            RelayEffect::RecordStreams(appended) => records.extend(appended),
            other => harness.effects.push(other),
        }
    }
    records
}

/// Returns the recorded versions.
fn versions(records: &[StreamRecord]) -> Vec<&str> {
    let origins = records.iter().filter_map(|record| record.origin.as_ref());
    origins.map(|origin| &*origin.version).collect()
}

// Guards against a stream that is cut off although its engine runs: the engine breaks it off before it has said which process runs.
#[test]
fn stream_that_breaks_off_at_once_goes_on_as_soon_as_its_engine_has_named_its_process() {
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let decode = begin(&mut harness);
    assert_eq!(take_questions(&mut harness).len(), 1);
    harness.deliver(decode.exchange, CLOSED);
    assert_eq!(harness.take_sends(), [], "its version is not known yet");
    let answer = RunAnswer::Started(LISTED_START_UNIX_MS);
    answer_question(&mut harness, &decode.instance, answer);
    let reserve = harness.take_only_send();
    assert_ne!(reserve.instance, decode.instance);
}

// Guards against a stream that goes on as one of the version before: another process than the listed one began it. Other VMs must not take
// it for a stream of the only version that they know, so it is recorded at once.
#[test]
fn stream_of_another_process_than_the_listed_one_goes_on_nowhere_and_is_recorded_at_once() {
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let decode = begin(&mut harness);
    harness.advance(ms(50));
    assert_eq!(versions(&take_records(&mut harness)), [""; 0]);
    let next = RunAnswer::Started(NEXT_START_UNIX_MS);
    answer_question(&mut harness, &decode.instance, next);
    harness.advance(ms(10));
    assert_eq!(versions(&take_records(&mut harness)), [""]);
    harness.deliver(decode.exchange, CLOSED);
    harness.advance(ms(500));
    assert_eq!(harness.take_sends(), []);
}

// Guards against a stream of unknown version that other VMs take for one of the only version that they know, because it is recorded only
// when its engine has been asked.
#[test]
fn stream_that_breaks_off_before_its_engine_has_answered_is_recorded_at_once() {
    for (answer, version, is_resumed) in [
        (RunAnswer::Started(LISTED_START_UNIX_MS), "v1", true),
        (RunAnswer::Failed, "", false),
    ] {
        let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
        let (call, decode) = harness.start_stream("/resumable/1");
        harness.deliver(decode.exchange, progress(1));
        harness.advance(ms(50));
        harness.deliver(decode.exchange, CLOSED);
        assert_eq!(harness.take_sends(), [], "its version is not known yet");
        answer_question(&mut harness, &decode.instance, answer);
        assert_eq!(!harness.take_sends().is_empty(), is_resumed, "{answer:?}");
        harness.apply(RelayEvent::CallerGone { call });
        harness.advance(ms(10));
        assert_eq!(
            versions(&take_records(&mut harness)),
            [version],
            "{answer:?}"
        );
    }
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let (call, decode) = harness.start_stream("/resumable/1");
    harness.deliver(decode.exchange, progress(1));
    harness.apply(RelayEvent::CallerGone { call });
    harness.advance(ms(10));
    assert_eq!(versions(&take_records(&mut harness)), [""]);
    harness.apply(RelayEvent::StreamsRecorded { succeeded: true });
    let listed = RunAnswer::Started(LISTED_START_UNIX_MS);
    answer_question(&mut harness, &decode.instance, listed);
    harness.advance(ms(10));
    assert_eq!(versions(&take_records(&mut harness)), ["v1"]);
}

// Guards against pieces of two versions in one answer: the engine crashes within a round trip of the first event, so that it never says
// which process began the stream, and it may start again at another version.
#[test]
fn stream_whose_engine_crashes_within_a_round_trip_of_its_first_event_goes_on_nowhere() {
    for answer in [RunAnswer::Failed, RunAnswer::Started(NEXT_START_UNIX_MS)] {
        let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
        let (call, decode) = harness.start_stream("/resumable/1");
        harness.deliver(decode.exchange, progress(1));
        harness.deliver(decode.exchange, CLOSED);
        // Until its deadline, the engine may still name the process.
        for _ in 0..150 {
            for asked in take_questions(&mut harness) {
                answer_question(&mut harness, &asked, answer);
            }
            harness.advance(ms(100));
            assert_eq!(harness.take_sends(), [], "{answer:?}");
        }
        let records = take_records(&mut harness);
        assert_eq!(versions(&records), [""], "{answer:?}");
        let end = harness.final_effect(call);
        assert!(matches!(end, Some(RelayEffect::Abort { .. })), "{end:?}");
    }
}

// Guards against such a stream that another VM takes for one of the only version that it knows.
#[test]
fn recorded_stream_without_a_known_version_is_refused_at_another_vm() {
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let call = harness.submit_resumption("/resumable/1", Some("begun-elsewhere"));
    let origin = StreamOrigin {
        service: "model".into(),
        version: "".into(),
    };
    for _ in 0..10 {
        let lookup = StreamLookup::Found(origin.clone());
        harness.apply(RelayEvent::StreamLookup { call, lookup });
        harness.advance(ms(60));
    }
    assert_eq!(harness.take_sends(), []);
    assert!(harness.problem(call).is_some());
}

// Guards against a stream of an unknown version that goes on at the version before: its VM died before it had recorded the stream, and the
// list already shows the second version.
#[test]
fn stream_of_a_vm_that_died_before_its_record_is_refused_once_the_list_shows_its_version() {
    for is_listed in [false, true] {
        let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
        harness.apply(store_read(true));
        if is_listed {
            let upgraded = vec![engine("decode-2", "v2", NEXT_START_UNIX_MS)];
            harness.apply(RelayEvent::EndpointChanges(upgraded));
        }
        let call = harness.submit_resumption("/resumable/1", Some("begun-at-a-dead-vm"));
        assert!(harness.take_sends().is_empty());
        for _ in 0..20 {
            let lookup = StreamLookup::NotFound;
            harness.apply(RelayEvent::StreamLookup { call, lookup });
            harness.advance(ms(60));
        }
        let is_refused = harness.problem(call).is_some();
        // Until then nothing tells it from a stream of the only version.
        assert_eq!(is_refused, is_listed);
    }
}

// Guards against a stream that can never go on because one question to its engine failed, which runs.
#[test]
fn engine_that_does_not_answer_a_question_is_asked_again() {
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let decode = begin(&mut harness);
    answer_question(&mut harness, &decode.instance, RunAnswer::Failed);
    harness.effects.clear();
    harness.advance(ms(400));
    assert_eq!(take_questions(&mut harness).len(), 1);
    let listed = RunAnswer::Started(LISTED_START_UNIX_MS);
    answer_question(&mut harness, &decode.instance, listed);
    harness.deliver(decode.exchange, CLOSED);
    assert!(!harness.take_sends().is_empty());
}

// Guards against a stream that is taken for one of the version at its send: the engine's entry was removed before the first event.
#[test]
fn stream_of_an_engine_that_is_listed_no_longer_has_no_known_version() {
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let (call, decode) = harness.start_stream("/resumable/1");
    let instance = decode.instance.clone();
    let removed = vec![EndpointListChange::Removed { instance }];
    harness.apply(RelayEvent::EndpointChanges(removed));
    harness.advance(ms(3_000));
    harness.deliver(decode.exchange, progress(1));
    harness.apply(RelayEvent::CallerGone { call });
    harness.advance(ms(10));
    assert_eq!(versions(&take_records(&mut harness)), [""]);
}

// Guards against requests to an engine that asked for rest just before the entry of its process was read, and against questions to it.
#[test]
fn rest_that_was_asked_for_before_the_entry_was_read_holds_after_it() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let (instance, rest) = (Name::from("decode-1"), ms(2_000));
    let next = RunAnswer::Started(NEXT_START_UNIX_MS);
    answer_question(&mut harness, &instance, next);
    harness.advance(ms(10));
    harness.apply(RelayEvent::ControlRest { instance, rest });
    let changes = vec![engine("decode-1", "v2", NEXT_START_UNIX_MS)];
    harness.advance(ms(100));
    harness.apply(RelayEvent::EndpointChanges(changes));
    for _ in 0..10 {
        harness.submit("/resumable/1");
        harness.advance(ms(100));
    }
    assert_eq!(harness.take_sends(), []);
    assert_eq!(take_questions(&mut harness).len(), 0);
}

// Guards against streams of a new process that can never go on: they began before its entry was read, but after it was known.
#[test]
fn stream_of_a_known_process_goes_on_at_its_version_once_the_entry_is_read() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let early = begin(&mut harness);
    harness.advance(ms(5));
    let next = RunAnswer::Started(NEXT_START_UNIX_MS);
    answer_question(&mut harness, &early.instance, next);
    harness.advance(ms(200));
    assert_eq!(versions(&take_records(&mut harness)), [""]);
    harness.apply(RelayEvent::StreamsRecorded { succeeded: true });
    let late = begin(&mut harness);
    harness.advance(ms(200));
    answer_question(&mut harness, &late.instance, next);
    harness.advance(ms(50));
    assert_eq!(versions(&take_records(&mut harness)), [""]);
    harness.apply(RelayEvent::StreamsRecorded { succeeded: true });
    let changes = vec![
        engine("decode-1", "v2", NEXT_START_UNIX_MS),
        engine("decode-2", "v1", LISTED_START_UNIX_MS),
        engine("decode-3", "v2", LISTED_START_UNIX_MS),
    ];
    harness.apply(RelayEvent::EndpointChanges(changes));
    harness.advance(ms(200));
    // Which process began the early one can't be known.
    assert_eq!(versions(&take_records(&mut harness)), ["v2"]);
    harness.take_sends();
    harness.deliver(late.exchange, CLOSED);
    harness.advance(ms(100));
    assert_eq!(&*harness.take_only_send().instance, "decode-3");
}

// Guards against new streams that wait for a question, and against one question for each of many streams that begin together.
#[test]
fn streams_that_begin_are_forwarded_at_once_and_share_questions() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let mut asked = 0;
    for _ in 0..40 {
        let decode = begin(&mut harness);
        let is_forwarded = harness.effects.iter().any(|effect| {
            matches!(effect, RelayEffect::Forward { exchange, .. } if *exchange == decode.exchange)
        });
        assert!(is_forwarded);
        for instance in take_questions(&mut harness) {
            asked += 1;
            let answer = RunAnswer::Started(LISTED_START_UNIX_MS);
            answer_question(&mut harness, &instance, answer);
        }
        harness.effects.clear();
        harness.advance(ms(10));
    }
    assert!((1..=5).contains(&asked), "{asked} questions in 400 ms");
}

// Guards against questions to engines that want nothing from this VM.
#[test]
fn resting_engine_is_not_asked() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let (_, decode) = harness.start_stream("/resumable/1");
    let rest = ms(2_000);
    let instance = decode.instance.clone();
    harness.apply(RelayEvent::ControlRest { instance, rest });
    harness.deliver(decode.exchange, progress(1));
    harness.advance(ms(1_000));
    assert_eq!(take_questions(&mut harness).len(), 0);
}

// Guards against a stream that goes on at an engine whose process has not been proved, and against a retry, an attempt or a failure
// that is counted although the engine has got nothing.
#[test]
fn stream_that_goes_on_names_the_process_that_must_get_it_and_leaves_another_one() {
    let mut harness = relay_with_engines(&["decode-1", "decode-2", "decode-3"]);
    let decode = begin(&mut harness);
    assert_eq!(decode.required_start_unix_ms, None);
    let listed = RunAnswer::Started(LISTED_START_UNIX_MS);
    answer_question(&mut harness, &decode.instance, listed);
    take_questions(&mut harness);
    harness.deliver(decode.exchange, CLOSED);
    let mut tried = vec![decode.instance];
    for _ in 0..2 {
        let reserve = harness.take_only_send();
        let reservation = "reservation".into();
        harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
        let mut next = harness.take_only_send();
        if next.work == Work::Prefill {
            let handle = "handle".into();
            harness.deliver(next.exchange, ExchangeEvent::PrefillDone { handle });
            next = harness.take_only_send();
        }
        assert!(matches!(next.work, Work::Decode { .. }), "{next:?}");
        assert_eq!(next.required_start_unix_ms, Some(LISTED_START_UNIX_MS));
        assert!(!tried.contains(&next.instance));
        tried.push(next.instance.clone());
        if tried.len() == 2 {
            let failure = ExchangeFailure::OtherProcess;
            answer_question(
                &mut harness,
                &next.instance,
                RunAnswer::Started(NEXT_START_UNIX_MS),
            );
            harness.deliver(next.exchange, ExchangeEvent::Failed { failure });
        }
    }
}

// Guards against a version in the answer to another VM that is not the one of the process that answers.
#[test]
fn stream_that_another_vm_forwards_goes_to_the_listed_process_only() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let hop = Hop {
        from_vm: "vm-2".into(),
        service: "model".into(),
        config_version: 1,
        attempts: 0,
        endpoint_ends: 0,
        stream_version: None,
        account: SentAccount::Unchanged,
    };
    for (path, required) in [
        ("/resumable/1", Some(LISTED_START_UNIX_MS)),
        ("/stream/1", None),
    ] {
        harness.submit_forwarded(path, hop.clone(), ms(10_000), ms(0));
        let decode = harness.advance_to_decode();
        assert_eq!(decode.required_start_unix_ms, required, "{path}");
    }
}

// Guards against a stream that goes on at another version because the store could not be asked where it began: an engine may have been
// upgraded since the list was read, however long a single version has been listed.
#[test]
fn stream_that_cannot_be_looked_up_goes_on_at_no_listed_version() {
    for (lookup, is_refused) in [
        (StreamLookup::Failed, true),
        (StreamLookup::NotFound, false),
    ] {
        let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
        harness.advance(ms(40_000));
        harness.apply(store_read(true));
        let call = harness.submit_resumption("/resumable/1", Some("elsewhere"));
        for _ in 0..10 {
            let lookup = lookup.clone();
            harness.apply(RelayEvent::StreamLookup { call, lookup });
            harness.advance(ms(60));
        }
        assert_eq!(harness.problem(call).is_some(), is_refused, "{lookup:?}");
    }
}

// Guards against a stream that is refused because the only engine of its version does not say for a moment which process runs.
#[test]
fn stream_waits_for_the_only_engine_of_its_version_that_is_silent() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let call = harness.submit_resumption("/resumable/1", Some("elsewhere"));
    let lookup = StreamLookup::Found(StreamOrigin {
        service: "model".into(),
        version: "v1".into(),
    });
    harness.apply(RelayEvent::StreamLookup { call, lookup });
    for _ in 0..4 {
        let decode = grant_until_decode(&mut harness);
        assert_eq!(decode.required_start_unix_ms, Some(LISTED_START_UNIX_MS));
        harness.advance(ms(600));
        let failure = ExchangeFailure::ProcessUnknown;
        harness.deliver(decode.exchange, ExchangeEvent::Failed { failure });
        assert_eq!(harness.problem(call), None);
    }
    let decode = grant_until_decode(&mut harness);
    harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
    assert!(matches!(
        harness.final_effect(call),
        Some(RelayEffect::Finish { .. })
    ));
}

/// Grants the only request its reservation and, if it asks for one, its prefill; returns the send to the decode engine.
fn grant_until_decode(harness: &mut RelayHarness) -> SendCommand {
    loop {
        let sent = harness.take_only_send();
        let event = match sent.work {
            Work::Decode { .. } => return sent,
            Work::Prefill => ExchangeEvent::PrefillDone {
                handle: "handle".into(),
            },
            _ => ExchangeEvent::Reserved {
                reservation: "reservation".into(),
            },
        };
        harness.deliver(sent.exchange, event);
    }
}
