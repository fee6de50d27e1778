//! Endpoints to which no connection can be opened for a moment although they are sound.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;
use assert_matches::assert_matches;

use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::UNREACHABLE;
use crate::relay_harness::connect_answer;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

/// Step of the clock.
const STEP: Duration = Duration::from_millis(2);

/// Time after which a connection is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(402);

/// Time that an endpoint takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(33);

/// Time of a caller.
const CALLER_TIMEOUT: Duration = Duration::from_millis(5_000);

/// One VM all of whose connections hang for a moment.
struct HangingConnections {
    harness: RelayHarness,
    /// From when until when connections hang.
    hang: (Duration, Duration),
    /// Whether connections that were begun meanwhile open at the end; otherwise only later ones do.
    begun_open: bool,
    pending: Vec<(Duration, RelayEvent)>,
    calls: Vec<CallId>,
    served: Vec<CallId>,
    /// Refused calls: when they had arrived, why and after how many milliseconds.
    refused: Vec<(CallId, String)>,
}

impl HangingConnections {
    fn start(hang_from: Duration, hang_time: Duration, begun_open: bool) -> Self {
        let mut harness = RelayHarness::configured(1);
        let more = [
            listed("decode-3", "model", Role::Decode),
            listed("shop-3", "shop", Role::Plain),
        ];
        let more = more.map(EndpointListChange::Listed);
        harness.apply(RelayEvent::EndpointChanges(more.into()));
        let mut routes = routes(2);
        for route in &mut routes.routes {
            route.timeout = CALLER_TIMEOUT;
        }
        harness.apply(RelayEvent::NewConfig(Arc::new(routes)));
        let hang_from = harness.now + hang_from;
        Self {
            harness,
            hang: (hang_from, hang_from + hang_time),
            begun_open,
            pending: Vec::new(),
            calls: Vec::new(),
            served: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Sends requests for some time, and lets all that is in progress end.
    fn play(&mut self, path: &str, time: Duration) {
        let until = self.harness.now + time;
        let mut next_request = self.harness.now;
        while self.harness.now < until + CALLER_TIMEOUT {
            if self.harness.now >= next_request && self.harness.now < until {
                next_request += REQUEST_INTERVAL;
                let call = self.harness.submit_with_timeout(path, CALLER_TIMEOUT);
                self.calls.push(call);
            }
            self.take_effects();
            self.harness.advance(STEP);
            self.deliver_due();
        }
    }

    /// Returns when a connection begun now is open; none if it hangs for too long.
    fn opened_at(&self) -> Option<Duration> {
        let now = self.harness.now;
        let (from, until) = self.hang;
        let is_hanging = from <= now && now < until;
        if is_hanging && (!self.begun_open || until > now + CONNECT_TIMEOUT) {
            return None;
        }
        Some(if is_hanging { until } else { now })
    }

    fn take_effects(&mut self) {
        for effect in std::mem::take(&mut self.harness.effects) {
            match effect {
                RelayEffect::Send(command) => {
                    let exchange = command.exchange;
                    let Some(opened_at) = self.opened_at() else {
                        let event = RelayEvent::Exchange {
                            exchange,
                            event: UNREACHABLE,
                        };
                        self.push(CONNECT_TIMEOUT, event);
                        continue;
                    };
                    let after = opened_at - self.harness.now + ANSWER_TIME;
                    for event in answer(&command.work) {
                        self.push(after, RelayEvent::Exchange { exchange, event });
                    }
                }
                RelayEffect::CheckEndpoint { instance, .. } => {
                    let opened_at = self.opened_at();
                    let now = self.harness.now;
                    let after = opened_at.map_or(CONNECT_TIMEOUT, |at| at - now + STEP);
                    let event = RelayEvent::EndpointChecked {
                        instance,
                        asked_at: now,
                        answer: connect_answer(opened_at.is_some()),
                    };
                    self.push(after, event);
                }
                RelayEffect::Answer { call, .. } | RelayEffect::Finish { call } => {
                    self.served.push(call);
                }
                RelayEffect::Note(RelayNotice::GivenUp {
                    request_id,
                    reason,
                    after_ms,
                    ..
                }) => {
                    let number = request_id.trim_start_matches("request-").parse();
                    let call = CallId(number.expect("ids have numbers"));
                    self.refused.push((call, format!("{reason} {after_ms}")));
                }
                _ => {}
            }
        }
    }

    fn push(&mut self, after: Duration, event: RelayEvent) {
        self.pending.push((self.harness.now + after, event));
    }

    fn deliver_due(&mut self) {
        let now = self.harness.now;
        let due = self.pending.extract_if(.., |(due, _)| *due <= now);
        let due: Vec<(Duration, RelayEvent)> = due.collect();
        for (_, event) in due {
            self.harness.apply(event);
        }
    }
}

/// Returns the events of a sound endpoint's answer.
fn answer(work: &Work) -> Vec<ExchangeEvent> {
    match work {
        Work::Reserve { .. } => vec![ExchangeEvent::Reserved {
            reservation: "reservation".into(),
        }],
        Work::Prefill => vec![ExchangeEvent::PrefillDone {
            handle: "handle".into(),
        }],
        Work::Plain => vec![ExchangeEvent::Complete { status: 200 }],
        _ => vec![
            ExchangeEvent::StreamBegan,
            ExchangeEvent::Progress {
                last_event_id: Some(1),
            },
            ExchangeEvent::Complete { status: 200 },
        ],
    }
}

/// Plays requests while no connection opens for a moment; they must all be served.
fn check_served(path: &str, hang_ms: u64) {
    for begun_open in [true, false] {
        let mut site = HangingConnections::start(ms(1_000), ms(hang_ms), begun_open);
        site.play(path, ms(4_000));
        let (all, refused) = (site.calls.len(), &site.refused);
        assert!(
            refused.is_empty(),
            "{path}, {hang_ms} ms, {begun_open}: {} of {all} refused: {refused:?}",
            refused.len()
        );
        assert_eq!(site.served.len(), all, "{path}, {hang_ms} ms, {begun_open}");
    }
}

// Guards against streams that are refused although their engines are sound and time is left: no connection could be opened for a
// moment.
#[test]
fn streams_are_served_after_a_moment_in_which_no_connection_opens() {
    for path in ["/stream/1", "/resumable/1"] {
        for hang_ms in [450, 900, 1_250, 1_700] {
            check_served(path, hang_ms);
        }
    }
}

// Guards against plain requests that are refused although their endpoints are sound and time is left: no connection could be opened
// for a moment.
#[test]
fn plain_requests_are_served_after_a_moment_in_which_no_connection_opens() {
    for path in ["/look/1", "/pay/1"] {
        for hang_ms in [450, 900, 1_250, 1_700] {
            check_served(path, hang_ms);
        }
    }
}

// Guards against callers that wait for endpoints which stay unreached until they have no time left to try elsewhere.
#[test]
fn request_is_refused_while_time_is_left_if_no_connection_opens() {
    for path in ["/stream/1", "/look/1", "/pay/1"] {
        let mut site = HangingConnections::start(ms(0), ms(60_000), true);
        let call = site.harness.submit_with_timeout(path, ms(1_500));
        let submitted_at = site.harness.now;
        while site.refused.is_empty() && site.harness.now < submitted_at + ms(1_500) {
            site.take_effects();
            site.harness.advance(STEP);
            site.deliver_due();
        }
        let waited = site.harness.now - submitted_at;
        assert_eq!(
            site.refused.first().map(|(refused, _)| *refused),
            Some(call)
        );
        assert!(waited < ms(1_300), "{path}: {waited:?}");
        assert_eq!(site.served, []);
    }
}

/// Removes an endpoint from the list.
fn remove(harness: &mut RelayHarness, instance: &str) {
    let instance = instance.into();
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Removed { instance },
    ]));
}

/// Advances the clock until requests are sent, and returns the only one.
fn next_send(harness: &mut RelayHarness, within: Duration) -> SendCommand {
    let until = harness.now + within;
    while harness.now < until && harness.effects.iter().all(is_no_send) {
        harness.advance(STEP);
    }
    harness.take_only_send()
}

fn is_no_send(effect: &RelayEffect) -> bool {
    !matches!(effect, RelayEffect::Send(_))
}

/// Grants the next reservation.
fn grant(harness: &mut RelayHarness, within: Duration) {
    let reserve = next_send(harness, within);
    assert_matches!(reserve.work, Work::Reserve { .. });
    let reservation = "reservation".into();
    harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
}

// Guards against a stream that is refused because its prefill got no answer while connections hung, although the next decode engine
// can prefill the prompt itself.
#[test]
fn stream_whose_prefill_hung_is_served_by_the_next_decode_engine() {
    let mut harness = RelayHarness::configured(1);
    remove(&mut harness, "prefill-2");
    let call = harness.submit("/stream/1");
    grant(&mut harness, STEP);
    assert_eq!(harness.take_only_send().work, Work::Prefill);
    let decode = next_send(&mut harness, ms(3_000));
    assert_matches!(decode.work, Work::Decode { source: None, .. });
    // Meanwhile the prefill engine is no longer avoided.
    harness.advance(ms(600));
    harness.deliver(decode.exchange, UNREACHABLE);
    grant(&mut harness, ms(300));
    assert_eq!(harness.final_effect(call), None);
    let decode = harness.take_only_send();
    assert_matches!(decode.work, Work::Decode { source: None, .. });
}

/// Submits a stream that waits because no connection to its engines opens, and lets connections open again after its target.
fn stream_that_waits_for_reach(harness: &mut RelayHarness) -> CallId {
    let call = harness.submit("/stream/1");
    let open_at = harness.now + ms(900);
    while harness.now < open_at {
        for reserve in harness.take_sends() {
            harness.deliver(reserve.exchange, UNREACHABLE);
        }
        harness.advance(STEP);
    }
    harness.apply(RelayEvent::EndpointChecked {
        instance: "decode-1".into(),
        asked_at: harness.now,
        answer: connect_answer(true),
    });
    assert_eq!(harness.final_effect(call), None);
    call
}

// Guards against a stream that is refused after a moment in which no connection opened, because its wait for engine memory ends at its
// target, which passed meanwhile.
#[test]
fn stream_that_has_waited_for_a_connection_may_wait_for_memory() {
    let mut harness = RelayHarness::configured(1);
    let call = stream_that_waits_for_reach(&mut harness);
    let reserve = next_send(&mut harness, ms(1_000));
    assert_matches!(reserve.work, Work::Reserve { .. });
    harness.deliver(reserve.exchange, REFUSED);
    assert_eq!(harness.final_effect(call), None);
    harness.advance(ms(1_000));
    assert_eq!(harness.final_effect(call), None);
}

// Guards against a stream that, after a moment in which no connection opened, waits for memory until its caller has no time left to try
// elsewhere.
#[test]
fn stream_that_has_waited_for_a_connection_is_refused_while_time_is_left() {
    let mut harness = RelayHarness::configured(1);
    let started_at = harness.now;
    let call = stream_that_waits_for_reach(&mut harness);
    while harness.final_effect(call).is_none() {
        for reserve in harness.take_sends() {
            harness.deliver(reserve.exchange, REFUSED);
        }
        harness.advance(ms(10));
    }
    let waited = harness.now - started_at;
    assert!(waited < ms(7_500), "waited {waited:?} of 14 s");
    assert!(harness.problem(call).is_some());
}
