//! Engines that answer reservations late: they are slow, not gone.

use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::Work;

use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

const STEP: Duration = Duration::from_millis(10);

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

const PREFILL_TIME: Duration = Duration::from_millis(60);

const STREAM_TIME: Duration = Duration::from_millis(300);

/// End of a silence that begins when the VM starts.
const SILENCE_END: Duration = Duration::from_millis(1_900);

/// What becomes of an exchange, and when.
struct Pending {
    due: Duration,
    exchange: ExchangeId,
    event: ExchangeEvent,
}

/// One VM with slow engines.
struct SlowEngines {
    harness: RelayHarness,
    pending: Vec<Pending>,
    /// Time that an engine takes for a reservation at an instant; none if it does not answer.
    reservation_time: fn(&str, Duration) -> Option<Duration>,
    /// Streams that began: when, at which engine.
    began: Vec<(Duration, String)>,
    /// Reservations sent to each engine.
    reservations: Vec<(Duration, String)>,
}

impl SlowEngines {
    fn start(reservation_time: fn(&str, Duration) -> Option<Duration>) -> Self {
        let mut harness = RelayHarness::configured(1);
        let more = ["decode-3", "decode-4"];
        let more = more.map(|name| EndpointListChange::Listed(listed(name, "model", Role::Decode)));
        harness.apply(RelayEvent::EndpointChanges(more.into()));
        Self {
            harness,
            pending: Vec::new(),
            reservation_time,
            began: Vec::new(),
            reservations: Vec::new(),
        }
    }

    /// Sends requests for some time; returns their number.
    fn play(&mut self, path: &str, time: Duration) -> usize {
        let until = self.harness.now + time;
        let mut next_request = self.harness.now;
        let mut requests = 0;
        while self.harness.now < until {
            if self.harness.now >= next_request {
                next_request += REQUEST_INTERVAL;
                self.harness.submit(path);
                requests += 1;
            }
            self.step();
        }
        requests
    }

    /// Lets all that is in progress end.
    fn settle(&mut self) {
        let until = self.harness.now + ms(3_000);
        while self.harness.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.answer_sends();
        self.harness.advance(STEP);
        self.deliver_due();
    }

    fn answer_sends(&mut self) {
        let now = self.harness.now;
        for effect in std::mem::take(&mut self.harness.effects) {
            match effect {
                RelayEffect::Close { exchange } => {
                    self.pending.retain(|pending| pending.exchange != exchange);
                }
                RelayEffect::Send(command) => {
                    let instance = command.instance.to_string();
                    let exchange = command.exchange;
                    match command.work {
                        Work::Reserve { .. } => {
                            self.reservations.push((now, instance.clone()));
                            let Some(time) = (self.reservation_time)(&instance, now) else {
                                continue;
                            };
                            let reservation = format!("r{}", exchange.0).as_str().into();
                            let event = ExchangeEvent::Reserved { reservation };
                            self.push(now + time, exchange, event);
                        }
                        Work::Prefill => {
                            let handle = "handle".into();
                            let event = ExchangeEvent::PrefillDone { handle };
                            self.push(now + PREFILL_TIME, exchange, event);
                        }
                        _ => {
                            self.began.push((now, instance));
                            self.push(now + STEP, exchange, ExchangeEvent::StreamBegan);
                            let last_event_id = Some(1);
                            let event = ExchangeEvent::Progress { last_event_id };
                            self.push(now + 2 * STEP, exchange, event);
                            let event = ExchangeEvent::Complete { status: 200 };
                            self.push(now + STREAM_TIME, exchange, event);
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn push(&mut self, due: Duration, exchange: ExchangeId, event: ExchangeEvent) {
        self.pending.push(Pending {
            due,
            exchange,
            event,
        });
    }

    fn deliver_due(&mut self) {
        let now = self.harness.now;
        let pending = std::mem::take(&mut self.pending);
        let (due, later): (Vec<Pending>, Vec<Pending>) =
            pending.into_iter().partition(|pending| pending.due <= now);
        self.pending = later;
        for pending in due {
            self.harness.deliver(pending.exchange, pending.event);
        }
    }

    fn began_at(&self, instance: &str, from: Duration) -> usize {
        let began = self.began.iter();
        began
            .filter(|(at, name)| *at >= from && name == instance)
            .count()
    }
}

// Guards against a service without engines because all of them take longer for a reservation than a moment.
#[test]
fn requests_are_served_while_all_engines_answer_reservations_slowly() {
    let times: [fn(&str, Duration) -> Option<Duration>; 4] = [
        |_, _| Some(ms(100)),
        |_, _| Some(ms(400)),
        |_, _| Some(ms(700)),
        |_, _| Some(ms(1_500)),
    ];
    for (number, time) in times.into_iter().enumerate() {
        let mut engines = SlowEngines::start(time);
        engines.play("/stream/1", ms(3_000));
        engines.settle();
        engines.began.clear();
        let requests = engines.play("/stream/1", ms(5_000));
        engines.settle();
        let began = engines.began.len();
        assert!(
            began * 20 >= requests * 19,
            "case {number}: {began} of {requests}"
        );
    }
}

// Guards against an engine that is left unused for seconds because its answers to reservations were late once.
#[test]
fn engines_are_used_again_after_a_short_silence_of_all() {
    let mut engines =
        SlowEngines::start(|_, now| Some(SILENCE_END.saturating_sub(now).max(ms(20))));
    // All that is asked until then is answered then.
    let silence = engines.play("/stream/1", SILENCE_END - engines.harness.now);
    engines.settle();
    let served = engines.began.len();
    assert_eq!(served, silence);
    let from = engines.harness.now;
    let requests = engines.play("/stream/1", ms(2_000));
    engines.settle();
    let used = ["decode-1", "decode-2", "decode-3", "decode-4"];
    let used = used.map(|name| engines.began_at(name, from));
    assert_eq!(used.iter().sum::<usize>(), requests);
    assert!(used.iter().all(|count| *count > 0), "{used:?}");
}

// Guards against requests that wait for an engine that is gone, and against one that is tried with each of them.
#[test]
fn engine_that_answers_no_reservation_is_avoided_while_others_serve() {
    let time = |name: &str, _: Duration| (name != "decode-1").then(|| ms(20));
    let mut engines = SlowEngines::start(time);
    let requests = engines.play("/stream/1", ms(10_000));
    engines.settle();
    assert_eq!(engines.began.len(), requests);
    let tries = engines.reservations.iter();
    let tries = tries.filter(|(_, name)| name == "decode-1").count();
    assert!(
        tries <= 12,
        "{tries} reservations at the engine that is gone"
    );
}

// Guards against an engine whose streams show that it runs and that is avoided because a reservation was not answered.
#[test]
fn engine_with_running_streams_is_not_avoided_for_a_silent_reservation() {
    let mut harness = RelayHarness::configured(1);
    let only = RelayEvent::EndpointChanges(vec![EndpointListChange::Removed {
        instance: "decode-2".into(),
    }]);
    harness.apply(only);
    let (_, running) = harness.start_stream("/stream/1");
    harness.apply(RelayEvent::EndpointChanges(vec![
        EndpointListChange::Listed(listed("decode-2", "model", Role::Decode)),
    ]));
    // Until the silent engine is asked.
    let silent = loop {
        harness.submit("/stream/2");
        let reserve = harness.take_only_send();
        if reserve.instance == running.instance {
            break reserve;
        }
        harness.deliver(reserve.exchange, REFUSED);
        harness.effects.clear();
    };
    harness.advance(ms(100));
    let last_event_id = Some(2);
    harness.deliver(running.exchange, ExchangeEvent::Progress { last_event_id });
    harness.advance(ms(300));
    let closed = RelayEffect::Close {
        exchange: silent.exchange,
    };
    let is_closed = harness.effects.contains(&closed);
    let avoided = harness.effects.iter().any(|effect| {
        matches!(
            effect,
            RelayEffect::Note(RelayNotice::EndpointAvoided { .. })
        )
    });
    assert!(!avoided, "closed: {is_closed}");
}
