//! Streams and the software versions of the endpoints that began them.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_core::relay::StreamLookup;
use arbutusfall_core::relay::StreamOrigin;
use arbutusfall_core::relay::StreamRecord;
use arbutusfall_core::relay::Work;
use arbutusfall_wire::Name;
use assert_matches::assert_matches;

use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;
use crate::relay_harness::store_read;

/// Time for which engines are full: longer than the target of the routes.
const FULL_TIME: Duration = Duration::from_millis(2_000);

/// Step of the clock.
const STEP: Duration = Duration::from_millis(20);

/// Returns a listed engine of a version.
pub(crate) fn engine(instance: &str, role: Role, version: &str) -> EndpointListChange {
    EndpointListChange::Listed(ListedEndpoint {
        version: version.into(),
        ..listed(instance, "model", role)
    })
}

/// Returns a relay, one of `vm_count`, with a prefill engine and these decode engines and their versions.
pub(crate) fn relay_with_engines(vm_count: u32, engines: &[(&str, &str)]) -> RelayHarness {
    let retry_limit = RetryLimit {
        ratio: 0.2,
        slack: 4.0 * f64::from(vm_count),
        vm_count,
    };
    let mut harness = RelayHarness::with_retry_limit(1, retry_limit);
    harness.engines_state_their_starts = false;
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
    harness.apply(store_read(true));
    let mut changes = vec![engine("prefill-1", Role::Prefill, "v1")];
    let engines = engines.iter();
    changes.extend(engines.map(|(instance, version)| engine(instance, Role::Decode, version)));
    harness.apply(RelayEvent::EndpointChanges(changes));
    harness.effects.clear();
    harness
}

/// Returns the event that a stream has come to this event id.
pub(crate) fn progress(last_event_id: u64) -> ExchangeEvent {
    ExchangeEvent::Progress {
        last_event_id: Some(last_event_id),
    }
}

fn closed() -> ExchangeEvent {
    ExchangeEvent::Failed {
        failure: ExchangeFailure::Closed,
    }
}

/// Returns the origin of a stream that began at a version.
pub(crate) fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "model".into(),
        version: version.into(),
    }
}

fn is_send(effect: &RelayEffect) -> bool {
    matches!(effect, RelayEffect::Send(_))
}

/// Takes the appends of stream records from the effects and confirms them.
pub(crate) fn take_appends(harness: &mut RelayHarness) -> Vec<Vec<StreamRecord>> {
    let effects = std::mem::take(&mut harness.effects);
    let mut appends = Vec::new();
    for effect in effects {
        match effect {
            RelayEffect::RecordStreams(records) => appends.push(records),
            other => harness.effects.push(other),
        }
    }
    for _ in &appends {
        harness.apply(RelayEvent::StreamsRecorded { succeeded: true });
    }
    appends
}

/// Answers all questions to engines when their processes started; returns the engines.
fn answer_run_checks(harness: &mut RelayHarness, answer: RunAnswer) -> Vec<Name> {
    let effects = std::mem::take(&mut harness.effects);
    let mut asked = Vec::new();
    for effect in effects {
        match effect {
            RelayEffect::CheckRun { instance, .. } => asked.push(instance),
            other => harness.effects.push(other),
        }
    }
    for instance in &asked {
        harness.apply(RelayEvent::RunChecked {
            instance: instance.clone(),
            asked_at: harness.now,
            answer,
        });
    }
    asked
}

/// Begins streams until there is one at each engine; returns their exchanges by engine.
fn streams_at_all(harness: &mut RelayHarness, engines: usize) -> BTreeMap<Name, ExchangeId> {
    let mut streams = BTreeMap::new();
    for number in 0..50 {
        let (_, decode) = harness.start_stream(&format!("/resumable/{number}"));
        harness.deliver(decode.exchange, progress(1));
        match streams.entry(decode.instance) {
            Entry::Vacant(entry) => {
                entry.insert(decode.exchange);
            }
            Entry::Occupied(_) => {
                harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
            }
        }
        harness.effects.clear();
        if streams.len() == engines {
            return streams;
        }
    }
    panic!("some engine gets no stream");
}

// Guards against a stream that goes on, in one answer, at another software version: engines that are upgraded in place, one after
// the other, are back before their new entries are read.
#[test]
fn stream_goes_on_at_no_engine_that_may_have_been_upgraded_since_it_was_listed() {
    let mut harness = relay_with_engines(1, &[("decode-1", "v1"), ("decode-2", "v1")]);
    let streams = streams_at_all(&mut harness, 2);
    harness.deliver(streams["decode-1"], closed());
    harness.take_sends();
    harness.advance(ms(500));
    harness.deliver(streams["decode-2"], closed());
    for _ in 0..10 {
        harness.advance(ms(100));
        // Neither runs as the process that was listed.
        answer_run_checks(&mut harness, RunAnswer::Started(2));
        let sends = harness.take_sends();
        let to_first = sends.iter().filter(|sent| &*sent.instance == "decode-1");
        assert_eq!(to_first.count(), 0, "the first engine is v2 by now");
    }
}

// Guards against streams that are lost although their engines run: a cut of the network breaks connections off too.
#[test]
fn streams_go_on_at_once_when_engines_say_that_they_have_not_started_again() {
    let mut harness = relay_with_engines(1, &[("decode-1", "v1"), ("decode-2", "v1")]);
    let streams = streams_at_all(&mut harness, 2);
    // The second engine's connection breaks off first, so the other one's stream finds both in doubt.
    harness.deliver(streams["decode-2"], closed());
    harness.take_sends();
    harness.effects.clear();
    harness.deliver(streams["decode-1"], closed());
    harness.advance(ms(350));
    let asked = answer_run_checks(&mut harness, RunAnswer::Started(1));
    assert!(!asked.is_empty());
    harness.advance(ms(400));
    let sends = harness.take_sends();
    assert!(
        sends
            .iter()
            .any(|sent| matches!(sent.work, Work::Reserve { .. })),
        "{sends:?}"
    );
}

// Guards against a stream whose first event comes from an engine that was upgraded in place before its new entry is read: it would
// be taken for one of the old version.
#[test]
fn stream_that_begins_at_an_engine_in_doubt_goes_on_at_no_listed_version() {
    let mut harness = relay_with_engines(1, &[("decode-1", "v1"), ("decode-2", "v1")]);
    let streams = streams_at_all(&mut harness, 2);
    harness.deliver(streams["decode-1"], ExchangeEvent::Complete { status: 200 });
    harness.deliver(streams["decode-2"], closed());
    harness.take_sends();
    let begun = (0..50).find_map(|number| {
        harness.advance(ms(100));
        harness.effects.clear();
        let (_, decode) = harness.start_stream(&format!("/resumable/new-{number}"));
        harness.deliver(decode.exchange, progress(1));
        (&*decode.instance == "decode-2").then_some(decode.exchange)
    });
    let begun = begun.expect("the engine is used again");
    harness.effects.clear();
    harness.deliver(begun, closed());
    for _ in 0..10 {
        harness.advance(ms(100));
        assert_eq!(harness.take_sends(), [], "its version is not known");
    }
}

// Guards against a stream that waits until its deadline although the only engine of its version is usable again.
#[test]
fn stream_is_resumed_when_the_only_engine_of_its_version_is_usable_again() {
    let engines = [("decode-1", "v1"), ("decode-2", "v2"), ("decode-3", "v2")];
    let mut harness = relay_with_engines(1, &engines);
    let first = loop {
        let (_, decode) = harness.start_stream("/resumable/1");
        if &*decode.instance == "decode-1" {
            break decode;
        }
        harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
        harness.effects.clear();
    };
    harness.deliver(first.exchange, progress(1));
    harness.effects.clear();
    harness.deliver(first.exchange, closed());
    assert!(
        harness.take_sends().is_empty(),
        "the engine has just failed"
    );
    harness.advance(ms(300));
    assert!(
        harness.take_sends().is_empty(),
        "it may have started again with another version"
    );
    answer_run_checks(&mut harness, RunAnswer::Started(1));
    harness.advance(ms(300));
    let reserve = harness.take_only_send();
    assert!(matches!(reserve.work, Work::Reserve { .. }));
    assert_eq!(&*reserve.instance, "decode-1");
}

// Guards against a resumption at any engine while the lookup of its origin is in progress, or after it failed.
#[test]
fn resumption_waits_for_the_lookup_and_is_refused_if_nothing_is_known() {
    let engines = [("decode-1", "v1"), ("decode-2", "v2")];
    let answers = [
        (StreamLookup::Found(origin("v2")), Some("decode-2")),
        (StreamLookup::NotFound, None),
        (StreamLookup::Failed, None),
    ];
    for (lookup, expected) in answers {
        let mut harness = relay_with_engines(1, &engines);
        let call = harness.submit_resumption("/resumable/1", Some("elsewhere"));
        assert!(harness.take_sends().is_empty());
        for _ in 0..20 {
            let lookup = lookup.clone();
            harness.apply(RelayEvent::StreamLookup { call, lookup });
            harness.advance(ms(60));
        }
        let sends = harness.take_sends();
        let instance = sends.first().map(|send| &*send.instance);
        assert_eq!(instance, expected, "{lookup:?}");
        let is_refused = harness.problem(call).is_some();
        assert_eq!(is_refused, expected.is_none(), "{lookup:?}");
    }
}

// Guards against a stream that is refused to a caller who has part of it because the engines were full until its target had passed.
#[test]
fn resumption_at_another_vm_waits_for_memory_after_its_target() {
    let mut harness = relay_with_engines(1, &[("decode-1", "v1"), ("decode-2", "v1")]);
    let call = harness.submit_resumption("/resumable/1", Some("elsewhere"));
    let lookup = StreamLookup::Found(origin("v1"));
    harness.apply(RelayEvent::StreamLookup { call, lookup });
    let full_until = harness.now + FULL_TIME;
    while harness.now < full_until {
        for reserve in harness.take_sends() {
            harness.deliver(reserve.exchange, REFUSED);
        }
        harness.advance(STEP);
    }
    assert_eq!(harness.final_effect(call), None);
    while !harness.effects.iter().any(is_send) && harness.now < full_until + FULL_TIME {
        harness.advance(STEP);
    }
    let decode = harness.advance_to_decode();
    harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
    assert_matches!(
        harness.final_effect(call),
        Some(RelayEffect::Answer { .. } | RelayEffect::Finish { .. })
    );
}

// Guards against refusing resumptions for ever after a release: 30 s after the last endpoint of the old version left, an
// unknown stream can only be one of the new version. A list that was not read of late shows nothing.
#[test]
fn unknown_stream_goes_on_once_the_other_version_is_long_gone() {
    let engines = [("decode-1", "v1"), ("decode-2", "v2")];
    let mut harness = relay_with_engines(1, &engines);
    let instance = "decode-1".into();
    let removed = EndpointListChange::Removed { instance };
    let prefill = engine("prefill-1", Role::Prefill, "v2");
    harness.apply(RelayEvent::EndpointChanges(vec![removed, prefill]));
    for (wait, is_read, is_refused) in [
        (ms(20_000), true, true),
        (ms(11_000), false, true),
        (ms(0), true, false),
    ] {
        harness.advance(wait);
        if is_read {
            harness.apply(store_read(true));
            harness.apply(RelayEvent::EndpointChanges(Vec::new()));
        }
        let call = harness.submit_resumption("/resumable/1", None);
        assert_eq!(harness.problem(call).is_some(), is_refused, "{wait:?}");
    }
}
