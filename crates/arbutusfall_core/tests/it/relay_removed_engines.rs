//! Streams of engines that have left the list: an engine that leaves serves on, and says which process it is when it is asked.

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::UnknownRun;
use arbutusfall_wire::Name;

use crate::relay_harness::CLOSED;
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

/// When a stream's engine is removed from the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Removal {
    BeforeFirstEvent,
    AfterFirstEvent,
}

const REMOVALS: [Removal; 2] = [Removal::BeforeFirstEvent, Removal::AfterFirstEvent];

fn remove(harness: &mut RelayHarness, instance: &Name) {
    let instance = instance.clone();
    let changes = vec![EndpointListChange::Removed { instance }];
    harness.apply(RelayEvent::EndpointChanges(changes));
}

fn list(harness: &mut RelayHarness, instance: &str, version: &str, started_unix_ms: u64) {
    let changes = vec![engine(instance, version, started_unix_ms)];
    harness.apply(RelayEvent::EndpointChanges(changes));
}

/// Begins a stream at one of two engines, which is removed from the list and has not been asked since.
fn stream_of_removed_engine(removal: Removal) -> (RelayHarness, CallId, SendCommand) {
    let mut harness = relay_with_engines(&["decode-1", "decode-2"]);
    let (call, decode) = harness.start_stream("/resumable/1");
    if removal == Removal::AfterFirstEvent {
        harness.deliver(decode.exchange, progress(1));
    }
    remove(&mut harness, &decode.instance);
    harness.advance(ms(50));
    if removal == Removal::BeforeFirstEvent {
        harness.deliver(decode.exchange, progress(1));
    }
    (harness, call, decode)
}

/// Lets the engine answer all questions for a time as one process.
fn answer_for(harness: &mut RelayHarness, answer: RunAnswer) {
    for _ in 0..10 {
        for asked in take_questions(harness) {
            answer_question(harness, &asked, answer);
        }
        harness.advance(ms(50));
    }
}

/// Returns why versions of streams are unknown, by the log.
fn unknown_reasons(harness: &RelayHarness) -> Vec<UnknownRun> {
    let effects = harness.effects.iter();
    let reasons = effects.filter_map(|effect| match effect {
        RelayEffect::Note(RelayNotice::VersionUnknown { reason, .. }) => Some(*reason),
        _ => None,
    });
    reasons.collect()
}

/// Returns the version that was recorded last for any stream.
fn recorded_version(harness: &RelayHarness) -> Option<Name> {
    let effects = harness.effects.iter();
    let records = effects.filter_map(|effect| match effect {
        RelayEffect::RecordStreams(records) => Some(records),
        _ => None,
    });
    let mut origins = records.flatten().filter_map(|record| record.origin.clone());
    origins.next_back().map(|origin| origin.version)
}

// Guards against the loss of streams whose engine left the list before it was asked which process began them.
#[test]
fn stream_of_a_removed_engine_goes_on_once_the_engine_has_named_its_process() {
    for removal in REMOVALS {
        let (mut harness, _, decode) = stream_of_removed_engine(removal);
        answer_for(&mut harness, RunAnswer::Started(LISTED_START_UNIX_MS));
        assert_eq!(unknown_reasons(&harness), [], "{removal:?}");
        harness.take_sends();
        harness.deliver(decode.exchange, CLOSED);
        let reserve = harness.take_only_send();
        assert_ne!(reserve.instance, decode.instance, "{removal:?}");
    }
}

// Guards against such a stream that other VMs take for one of unknown version.
#[test]
fn stream_of_a_removed_engine_is_recorded_with_its_version() {
    for removal in REMOVALS {
        let (mut harness, call, _) = stream_of_removed_engine(removal);
        answer_for(&mut harness, RunAnswer::Started(LISTED_START_UNIX_MS));
        harness.apply(RelayEvent::CallerGone { call });
        harness.advance(ms(50));
        let version = recorded_version(&harness);
        assert_eq!(version.as_deref(), Some("v1"), "{removal:?}");
    }
}

// Guards against streams of two versions: a process that was never listed wrote the first event, or may have.
#[test]
fn stream_of_a_removed_engine_goes_on_nowhere_if_another_process_may_have_begun_it() {
    for removal in REMOVALS {
        for answer in [
            RunAnswer::Started(NEXT_START_UNIX_MS),
            RunAnswer::Unstated,
            RunAnswer::OtherInstance,
            RunAnswer::Refused,
            RunAnswer::Failed,
        ] {
            let (mut harness, _, decode) = stream_of_removed_engine(removal);
            harness.deliver(decode.exchange, CLOSED);
            answer_for(&mut harness, answer);
            assert_eq!(harness.take_sends(), [], "{removal:?} {answer:?}");
            let version = recorded_version(&harness);
            assert_eq!(version.as_deref(), Some(""), "{removal:?} {answer:?}");
        }
    }
}

// Guards against streams of two versions: the id comes back with another version before the first process was asked.
#[test]
fn stream_of_a_removed_engine_goes_on_nowhere_if_its_id_comes_back_as_another_process() {
    for removal in REMOVALS {
        let (mut harness, _, decode) = stream_of_removed_engine(removal);
        list(&mut harness, &decode.instance, "v2", NEXT_START_UNIX_MS);
        answer_for(&mut harness, RunAnswer::Started(NEXT_START_UNIX_MS));
        harness.deliver(decode.exchange, CLOSED);
        answer_for(&mut harness, RunAnswer::Started(NEXT_START_UNIX_MS));
        assert_eq!(harness.take_sends(), [], "{removal:?}");
    }
}

// Guards against a known version that is forgotten because the id comes back as another process.
#[test]
fn known_version_of_a_stream_outlives_the_engine_that_began_it() {
    let (mut harness, _, decode) = stream_of_removed_engine(Removal::BeforeFirstEvent);
    answer_for(&mut harness, RunAnswer::Started(LISTED_START_UNIX_MS));
    list(&mut harness, &decode.instance, "v2", NEXT_START_UNIX_MS);
    harness.take_sends();
    harness.deliver(decode.exchange, CLOSED);
    let reserve = harness.take_only_send();
    assert_ne!(reserve.instance, decode.instance);
}

// Guards against the loss of streams whose engine's entry was away for a moment, as after an outage of the store.
#[test]
fn stream_goes_on_if_the_entry_of_the_same_process_comes_back_before_the_engine_is_asked() {
    for removal in REMOVALS {
        let (mut harness, _, decode) = stream_of_removed_engine(removal);
        list(&mut harness, &decode.instance, "v1", LISTED_START_UNIX_MS);
        answer_for(&mut harness, RunAnswer::Started(LISTED_START_UNIX_MS));
        assert_eq!(unknown_reasons(&harness), [], "{removal:?}");
        harness.take_sends();
        harness.deliver(decode.exchange, CLOSED);
        assert_eq!(harness.take_sends().len(), 1, "{removal:?}");
    }
}

// Guards against requests to an engine that asked for rest and whose entry was away meanwhile, and against a rest that never ends.
#[test]
fn rest_of_an_engine_holds_while_its_entry_is_away_and_ends_in_time() {
    let mut harness = relay_with_engines(&["decode-1"]);
    let instance = Name::from("decode-1");
    let rest = ms(2_000);
    harness.apply(RelayEvent::ControlRest {
        instance: instance.clone(),
        rest,
    });
    remove(&mut harness, &instance);
    harness.advance(ms(500));
    list(&mut harness, &instance, "v1", LISTED_START_UNIX_MS);
    harness.submit("/resumable/1");
    harness.advance(ms(500));
    assert_eq!(harness.take_sends(), []);
    remove(&mut harness, &instance);
    harness.advance(ms(2_000));
    list(&mut harness, &instance, "v1", LISTED_START_UNIX_MS);
    harness.submit("/resumable/2");
    assert_eq!(harness.take_sends().len(), 1);
}

// Guards against questions to an engine without end: nobody can come back with the stream any more.
#[test]
fn removed_engine_is_not_asked_any_more_once_its_stream_is_forgotten() {
    let (mut harness, call, _) = stream_of_removed_engine(Removal::BeforeFirstEvent);
    harness.apply(RelayEvent::CallerGone { call });
    for _ in 0..700 {
        for asked in take_questions(&mut harness) {
            answer_question(&mut harness, &asked, RunAnswer::Failed);
        }
        harness.advance(ms(50));
    }
    harness.advance(ms(1_000));
    assert_eq!(take_questions(&mut harness), [""; 0].map(Name::from));
}

// Guards against the loss of streams of a removed engine that can't say which process it is, and against those whose process may have
// ended.
#[test]
fn stream_of_a_removed_engine_that_states_no_start_is_of_the_version_at_its_send() {
    for (has_ended, expected) in [(false, "v1"), (true, "")] {
        let mut harness = relay_with_engines(&[]);
        let unstated = ListedEndpoint {
            started_unix_ms: None,
            ..listed("decode-1", "model", Role::Decode)
        };
        let entries = vec![EndpointListChange::Listed(unstated)];
        harness.apply(RelayEvent::EndpointChanges(entries));
        let (other, broken) = harness.start_stream("/resumable/1");
        let (call, decode) = harness.start_stream("/resumable/2");
        remove(&mut harness, &decode.instance);
        if has_ended {
            harness.deliver(broken.exchange, CLOSED);
        }
        harness.apply(RelayEvent::CallerGone { call: other });
        harness.deliver(decode.exchange, progress(1));
        harness.apply(RelayEvent::CallerGone { call });
        harness.advance(ms(50));
        let version = recorded_version(&harness);
        assert_eq!(version.as_deref(), Some(expected), "{has_ended}");
    }
}
