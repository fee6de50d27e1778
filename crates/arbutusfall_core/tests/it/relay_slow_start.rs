//! Slow start of endpoints, and the share of slow engines, compared with selection without them.

use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::Work;

use crate::relay_harness::REFUSED;
use crate::relay_harness::RETRY_LIMIT;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::store_read;
use crate::relay_simulation::RelaySimulation;
use crate::relay_starting_site::Behaviour;
use crate::relay_starting_site::LIST_TIME_MS;
use crate::relay_starting_site::Outcome;
use crate::relay_starting_site::StartingSite;
use crate::relay_starting_site::VM_COUNT;

/// Requests a second of all VMs; five endpoints can serve 500.
const USUAL_PER_S: f64 = 300.0;

/// Requests a second of all VMs that five endpoints cannot serve.
const OVERLOAD_PER_S: f64 = 900.0;

/// Time for which the endpoints have served before another one starts.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

/// Time in which requests to an endpoint are counted, from its start and from [`LATER`] on.
const COUNTED_TIME: Duration = Duration::from_secs(5);

/// Time from an endpoint's start by which it must be used as the others are.
const LATER: Duration = Duration::from_secs(16);

/// Without slow start and with it.
const MODES: [bool; 2] = [false, true];

/// What an endpoint that started beside five others did.
#[derive(Debug)]
struct Start {
    first_arrivals: usize,
    later_arrivals: usize,
    /// Fraction of all requests that were answered in time.
    in_time: f64,
    crashes: usize,
}

fn start_one(vms: usize, slow_start: bool, behaviour: Behaviour, cold_time: Duration) -> Start {
    let mut site = StartingSite::new(vms, 5, slow_start, 1);
    site.run(USUAL_PER_S, WARM_UP_TIME);
    site.is_non_idempotent = true;
    let from = site.now;
    let started = site.start_endpoint(behaviour, cold_time);
    site.run(USUAL_PER_S, LATER + COUNTED_TIME);
    Start {
        first_arrivals: site.arrivals(started, from, COUNTED_TIME),
        later_arrivals: site.arrivals(started, from + LATER, COUNTED_TIME),
        in_time: site.in_time(from),
        crashes: site.endpoints[started].crashes,
    }
}

/// Returns the same start without and with slow start.
fn compare(vms: usize, behaviour: Behaviour, cold_time: Duration) -> [Start; 2] {
    let both = MODES.map(|slow_start| start_one(vms, slow_start, behaviour, cold_time));
    println!("without {:?}, with {:?}", both[0], both[1]);
    both
}

// Guards against other decisions while no endpoint starts or fails.
#[test]
fn endpoints_that_serve_are_selected_as_before() {
    let arrivals = MODES.map(|slow_start| {
        let mut site = StartingSite::new(VM_COUNT, 5, slow_start, 1);
        site.run(USUAL_PER_S, WARM_UP_TIME);
        let endpoints = site.endpoints.into_iter();
        endpoints
            .map(|endpoint| endpoint.arrivals)
            .collect::<Vec<_>>()
    });
    assert_eq!(arrivals[0], arrivals[1]);
}

// Guards against a started endpoint that all VMs use at once, and against one that is left idle although it is fast.
#[test]
fn fast_endpoint_is_soon_used_as_the_others() {
    let [without, with] = compare(VM_COUNT, Behaviour::Answers, Duration::ZERO);
    assert!(with.first_arrivals > 0);
    assert!(with.first_arrivals * 2 < without.first_arrivals);
    assert!(with.later_arrivals * 5 > without.later_arrivals * 4);
    assert!(with.in_time >= without.in_time);
}

// Guards against an endpoint that is overloaded while it is cold, with few VMs and with many.
#[test]
fn cold_endpoint_gets_few_requests() {
    for vms in [VM_COUNT, 400] {
        let [without, with] = compare(vms, Behaviour::Answers, ms(6_000));
        assert!(with.first_arrivals > 0);
        assert!(with.first_arrivals * 2 < without.first_arrivals);
        assert!(with.in_time > without.in_time);
        assert!(with.later_arrivals * 5 > without.later_arrivals * 4);
    }
}

// Guards against an endpoint that the load crashes after each start. No request is run twice.
#[test]
fn endpoint_that_crashes_under_load_stays_up() {
    let [without, with] = compare(VM_COUNT, Behaviour::CrashesAbove(8), ms(6_000));
    assert!(with.crashes * 2 < without.crashes);
    assert!(with.in_time > without.in_time);
}

// Guards against more crashes, or more lost requests, at an endpoint that crashes with each request.
#[test]
fn endpoint_that_always_crashes_gets_no_more_requests() {
    let [without, with] = compare(VM_COUNT, Behaviour::CrashesAbove(0), Duration::ZERO);
    assert!(with.crashes <= without.crashes);
    assert!(with.in_time >= without.in_time);
}

// Guards against an endpoint that is in the list, accepts connections and answers all requests with an error.
#[test]
fn endpoint_that_answers_errors_gets_few_requests() {
    let [without, with] = compare(VM_COUNT, Behaviour::AnswersErrors, Duration::ZERO);
    assert!(with.first_arrivals * 4 < without.first_arrivals);
    assert!(with.later_arrivals * 4 < without.later_arrivals);
}

/// Returns how the requests ended that were sent after ten endpoints had started beside five full ones.
fn ends_after_ten_starts(slow_start: bool, cold_time: Duration) -> Vec<Outcome> {
    let mut site = StartingSite::new(VM_COUNT, 5, slow_start, 1);
    site.run(OVERLOAD_PER_S, WARM_UP_TIME);
    for _ in 0..10 {
        site.start_endpoint(Behaviour::Answers, cold_time);
    }
    let all_listed_at = site.now + ms(LIST_TIME_MS);
    site.run(OVERLOAD_PER_S, ms(6_000));
    let ends = site.outcomes.into_iter();
    ends.filter(|end| end.asked_at >= all_listed_at).collect()
}

fn refused_beside_started(ends: &[Outcome]) -> usize {
    let ends = ends.iter();
    ends.filter(|end| end.is_refused_beside_started).count()
}

fn refused_beside_established(ends: &[Outcome]) -> usize {
    let ends = ends.iter();
    ends.filter(|end| end.is_refused_beside_established).count()
}

// Guards against requests that full endpoints refuse while started ones are held back.
#[test]
fn no_request_is_refused_while_a_started_endpoint_is_idle() {
    let ends = ends_after_ten_starts(true, Duration::ZERO);
    assert_eq!(refused_beside_started(&ends), 0);
    assert_eq!(refused_beside_established(&ends), 0);
}

// Guards against the same while the started endpoints are cold and answer late.
#[test]
fn no_request_is_refused_while_a_cold_endpoint_is_idle() {
    let ends = ends_after_ten_starts(true, ms(6_000));
    assert_eq!(refused_beside_started(&ends), 0);
}

// Guards against full endpoints that have emptied their queues while all VMs send to cold ones, which refuse the requests.
#[test]
fn no_request_is_refused_while_an_established_endpoint_is_idle() {
    let ends = ends_after_ten_starts(true, ms(6_000));
    assert_eq!(refused_beside_established(&ends), 0);
}

// Guards against a release that is rolled out faster than its endpoints get warm, and against requests to those that leave.
#[test]
fn rolling_release_keeps_requests_in_time() {
    let in_time = MODES.map(|slow_start| {
        let mut site = StartingSite::new(VM_COUNT, 5, slow_start, 1);
        site.run(USUAL_PER_S, WARM_UP_TIME);
        let from = site.now;
        for old in 0..5 {
            site.start_endpoint(Behaviour::Answers, ms(3_000));
            site.run(USUAL_PER_S, ms(2_000));
            site.leave(old);
            let all_listed_at = site.now + ms(LIST_TIME_MS + 10);
            site.run(USUAL_PER_S, ms(2_000));
            assert_eq!(site.arrivals(old, all_listed_at, ms(2_000)), 0);
        }
        site.in_time(from)
    });
    println!("in time without and with slow start: {in_time:?}");
    assert!(in_time[1] > in_time[0]);
    assert!(in_time[1] > 0.98);
}

// Guards against engines with slow events that get as many streams as others, because their first events are on time.
#[test]
fn slow_engines_get_fewer_streams() {
    let mut slow_streams = [0, 0];
    for seed in 1..=2 {
        for slow_start in MODES {
            let mut simulation = RelaySimulation::with_slow_start(60, 12, 24, seed, slow_start);
            for slow in 0..4 {
                let engine = format!("decode-{slow}").into();
                simulation.slow_engines.insert(engine, 2);
            }
            simulation.stream_events = 20..60;
            simulation.run_load(50.0, Duration::from_secs(60));
            let outcomes = &simulation.outcomes;
            slow_streams[usize::from(slow_start)] += outcomes.slow_decodes;
            assert_eq!(outcomes.refused + outcomes.late, 0);
        }
    }
    println!("streams at slow engines without and with slow start: {slow_streams:?}");
    assert!(slow_streams[1] < slow_streams[0]);
}

/// Returns a relay with two decode engines that serve, and a third that has just been listed.
fn with_started_engine(seed: u64) -> RelayHarness {
    let mut harness = RelayHarness::with_slow_start(seed, RETRY_LIMIT, true).with_site();
    harness.advance(ms(5_000));
    let entry = listed("decode-3", "model", Role::Decode);
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Listed(entry),
    ]));
    harness.apply(store_read(true));
    harness
}

// Guards against an engine that has just started and gets the streams of all VMs, because none has allocated memory there.
#[test]
fn started_engine_is_held_back_until_it_answers() {
    let mut at_started = 0;
    for seed in 0..64 {
        let mut harness = with_started_engine(seed);
        harness.submit("/stream/1");
        let reserve = harness.take_only_send();
        assert!(matches!(reserve.work, Work::Reserve { .. }));
        at_started += usize::from(&*reserve.instance == "decode-3");
    }
    assert!(at_started < 8, "{at_started} of 64");
}

// Guards against a request that waits because the only engine with memory has just started.
#[test]
fn started_engine_is_used_when_the_others_are_full() {
    let mut harness = with_started_engine(1);
    harness.submit("/stream/1");
    let mut asked = Vec::new();
    while !asked.iter().any(|name| name == "decode-3") {
        let reserve = harness.take_only_send();
        asked.push(reserve.instance.to_string());
        harness.deliver(reserve.exchange, REFUSED);
    }
    assert!(asked.len() <= 3, "{asked:?}");
}

// Guards against slow start that never ends, and against one that begins for the endpoints of a VM that starts itself.
#[test]
fn timely_answers_end_slow_start() {
    let mut harness = RelayHarness::with_slow_start(1, RETRY_LIMIT, true).with_site();
    assert_eq!(harness.relay.slow_start_status().endpoints, 0);
    harness.advance(ms(5_000));
    let entry = listed("shop-3", "shop", Role::Plain);
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Listed(entry),
    ]));
    assert_eq!(harness.relay.slow_start_status().endpoints, 1);
    assert_eq!(harness.relay.slow_start_status().counts.begun, 1);
    for _ in 0..200 {
        harness.apply(store_read(true));
        harness.submit("/look/1");
        let sent = harness.take_only_send();
        harness.advance(ms(200));
        harness.deliver(sent.exchange, ExchangeEvent::Complete { status: 200 });
    }
    assert_eq!(harness.relay.slow_start_status().endpoints, 0);
    let ended = harness.effects.iter().filter(|effect| {
        matches!(effect, RelayEffect::Note(RelayNotice::SlowStartEnded { instance, .. }) if &**instance == "shop-3")
    });
    assert_eq!(ended.count(), 1);
}
