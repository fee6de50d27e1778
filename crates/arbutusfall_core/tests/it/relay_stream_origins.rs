//! Records of the software versions that began streams: which streams are recorded, when, and in how many appends.

use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::StreamRecord;

use crate::relay_harness::ms;
use crate::relay_stream_versions::engine;
use crate::relay_stream_versions::origin;
use crate::relay_stream_versions::progress;
use crate::relay_stream_versions::relay_with_engines;
use crate::relay_stream_versions::take_appends;

// Guards against recording streams that nobody can mistake: those that were complete while there was only one version.
// Beside a second version every stream is recorded, for as long as its caller may come back: a stream that is complete
// here may not have reached its caller.
#[test]
fn streams_beside_a_second_version_are_recorded_until_their_callers_cannot_come_back() {
    let mut harness = relay_with_engines(1, &[("decode-1", "v1")]);
    let (_, open) = harness.start_stream("/resumable/1");
    harness.deliver(open.exchange, progress(1));
    harness.advance(ms(1_000));
    assert!(take_appends(&mut harness).is_empty());
    harness.deliver(open.exchange, progress(2));
    let second = engine("decode-2", Role::Decode, "v2");
    harness.apply(RelayEvent::EndpointChanges(vec![second]));
    let (_, brief) = harness.start_stream("/resumable/2");
    harness.deliver(brief.exchange, progress(1));
    harness.deliver(brief.exchange, ExchangeEvent::Complete { status: 200 });
    harness.advance(ms(200));
    let appends = take_appends(&mut harness);
    let mut attempts: Vec<&str> = appends.iter().flatten().map(|r| &*r.attempt).collect();
    attempts.sort_unstable();
    assert_eq!(attempts, ["request-1", "request-2"]);
    assert!(
        appends
            .iter()
            .flatten()
            .all(|record| record.origin.is_some())
    );
    harness.deliver(open.exchange, ExchangeEvent::Complete { status: 200 });
    harness.advance(ms(29_000));
    assert!(take_appends(&mut harness).is_empty());
    harness.advance(ms(8_000));
    let deletions = take_appends(&mut harness);
    assert_eq!(deletions.iter().flatten().count(), 2);
    assert!(
        deletions
            .iter()
            .flatten()
            .all(|record| record.origin.is_none())
    );
}

// Guards against an unknown origin when the VM that began the stream has not read of the second version yet, but the one
// at which the caller takes it up has.
#[test]
fn stream_that_broke_off_is_recorded_although_only_one_version_is_known() {
    let mut harness = relay_with_engines(1, &[("decode-1", "v1")]);
    let (call, decode) = harness.start_stream("/resumable/1");
    harness.deliver(decode.exchange, progress(1));
    harness.apply(RelayEvent::CallerGone { call });
    harness.advance(ms(10));
    let expected = StreamRecord {
        attempt: "request-1".into(),
        origin: Some(origin("v1")),
    };
    assert_eq!(take_appends(&mut harness), [vec![expected]]);
}

// Guards against an origin that is recorded only after the delay although its caller is about to return.
#[test]
fn streams_that_break_off_together_are_recorded_at_once_in_one_append() {
    let engines = [("decode-1", "v1"), ("decode-2", "v2")];
    let mut harness = relay_with_engines(410, &engines);
    let begun: Vec<_> = (0..10)
        .map(|_| {
            let (call, decode) = harness.start_stream("/resumable/1");
            harness.deliver(decode.exchange, progress(1));
            harness.effects.clear();
            call
        })
        .collect();
    for call in begun {
        harness.apply(RelayEvent::CallerGone { call });
    }
    harness.advance(ms(10));
    let appends = take_appends(&mut harness);
    assert_eq!(appends.len(), 1);
    assert_eq!(appends[0].len(), 10);
}

/// Appends that all VMs together may make, as a share of the platform's limit of 400 writing calls a second.
const MAX_APPENDS_PER_S: f64 = 200.0;

// The load of the target size: 16,000 streams a second at 410 VMs, each open for 3 s, and long enough for records to be
// deleted.
#[test]
fn appends_of_all_vms_stay_within_the_limit_at_the_target_size() {
    const VMS: u32 = 410;
    const STREAMS_PER_S: u64 = 39;
    const SECONDS: u64 = 60;
    let engines = [("decode-1", "v1"), ("decode-2", "v2")];
    let mut harness = relay_with_engines(VMS, &engines);
    let mut open = std::collections::VecDeque::new();
    let mut appends = 0;
    for _ in 0..SECONDS * STREAMS_PER_S {
        let (_, decode) = harness.start_stream("/resumable/1");
        harness.deliver(decode.exchange, progress(1));
        open.push_back(decode.exchange);
        for exchange in &open {
            // Without events the streams would count as silent.
            harness.deliver(*exchange, progress(2));
        }
        if open.len() as u64 > 3 * STREAMS_PER_S {
            let exchange = open.pop_front().expect("a stream is open");
            harness.deliver(exchange, ExchangeEvent::Complete { status: 200 });
        }
        harness
            .effects
            .retain(|effect| matches!(effect, RelayEffect::RecordStreams(_)));
        harness.advance(Duration::from_secs(1) / STREAMS_PER_S as u32);
        appends += take_appends(&mut harness).len();
    }
    let appends_per_s = appends as f64 * f64::from(VMS) / SECONDS as f64;
    assert!(
        appends > 0 && appends_per_s <= MAX_APPENDS_PER_S,
        "{appends_per_s}"
    );
}
