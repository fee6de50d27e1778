//! Property test: streams and lookups whose endpoints fall silent, go on, refuse and end, each run from a seed. The test
//! plays the part of the process: what is held isn't reported, and pieces reach the caller as they are reported.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::endpoints;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

const SEEDS: std::ops::Range<u64> = 0..2_000;

const STEPS: usize = 1_500;

/// Events of one stream.
const EVENTS: u64 = 5;

/// Attempts of each route.
const ATTEMPTS: usize = 3;

/// Longest time for which two engines may run one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Longest time for which an exchange may be held.
const MAX_HOLD: Duration = Duration::from_millis(320);

/// Window of the retry limit.
const WINDOW: Duration = Duration::from_secs(10);

/// Retries that the limit allows in a window, without any for the number of requests.
const RETRIES: usize = 12;

#[derive(Debug, Default)]
struct Request {
    path: &'static str,
    /// Last event that the caller has received.
    received: u64,
    /// Sends that may have run it.
    runs: usize,
    was_sent: bool,
    was_prefilled: bool,
    is_next_free: bool,
    has_ended: bool,
    due_at: Duration,
    /// Batch of effects in which the relay last closed a run of it.
    run_closed_in: Option<u64>,
}

#[derive(Debug)]
struct Open {
    command: SendCommand,
    sent_at: Duration,
    has_begun: bool,
    next_event: u64,
    held_since: Option<Duration>,
}

struct Run {
    harness: RelayHarness,
    rng: fastrand::Rng,
    requests: BTreeMap<CallId, Request>,
    open: BTreeMap<ExchangeId, Open>,
    reservations: BTreeSet<String>,
    repeats: BTreeMap<&'static str, VecDeque<Duration>>,
    /// How often each kind of effect occurred.
    seen: BTreeMap<String, usize>,
    /// Number of batches of effects.
    batches: u64,
}

fn runs_request(command: &SendCommand) -> bool {
    matches!(command.work, Work::Plain | Work::Decode { .. })
}

impl Run {
    fn new(seed: u64) -> Self {
        let limit = RetryLimit {
            ratio: 0.0,
            slack: (RETRIES * 13) as f64,
            vm_count: 13,
        };
        let mut harness = RelayHarness::with_retry_limit(seed, limit);
        let mut table = routes(1);
        for route in &mut table.routes {
            if ["/look/", "/resumable/"].contains(&&*route.path_prefix) {
                route.max_attempts = u32::try_from(ATTEMPTS).expect("small");
            }
        }
        harness.apply(RelayEvent::NewConfig(Arc::new(table)));
        let mut list = endpoints();
        for (instance, service, role) in [
            ("shop-3", "shop", Role::Plain),
            ("decode-3", "model", Role::Decode),
        ] {
            list.push(EndpointListChange::Listed(listed(instance, service, role)));
        }
        harness.apply(RelayEvent::EndpointChanges(list));
        harness.effects.clear();
        Self {
            harness,
            rng: fastrand::Rng::with_seed(seed),
            requests: BTreeMap::new(),
            open: BTreeMap::new(),
            reservations: BTreeSet::new(),
            repeats: BTreeMap::new(),
            seen: BTreeMap::new(),
            batches: 0,
        }
    }

    fn step(&mut self) {
        match self.rng.u32(..100) {
            0..2 => {
                let path = ["/look/1", "/resumable/1"][self.rng.usize(..2)];
                let call = self.harness.submit(path);
                let timeout = if path == "/look/1" { 1_500 } else { 14_000 };
                let request = Request {
                    path,
                    due_at: self.harness.now + ms(timeout),
                    ..Request::default()
                };
                self.requests.insert(call, request);
            }
            2 => self.disconnect(),
            3 => self.change_list(),
            4..7 => self.wait(ms(1_200)),
            7..45 => {
                let time = ms(self.rng.u64(1..120));
                self.wait(time);
            }
            _ => self.deliver_random(),
        }
        self.check_effects();
    }

    fn wait(&mut self, time: Duration) {
        let until = self.harness.now + time;
        while self.harness.now < until {
            self.harness.advance(ms(5));
            self.check_effects();
            self.check_overlap();
        }
    }

    fn disconnect(&mut self) {
        let open = self
            .requests
            .iter()
            .filter(|(_, request)| !request.has_ended);
        let open: Vec<CallId> = open.map(|(call, _)| *call).collect();
        if let Some(call) = self.rng.choice(open) {
            self.harness.apply(RelayEvent::CallerGone { call });
            self.request(call).has_ended = true;
        }
    }

    fn change_list(&mut self) {
        let instance = ["decode-1", "shop-1", "prefill-1"][self.rng.usize(..3)];
        let change = if self.rng.bool() {
            vec![EndpointListChange::Removed {
                instance: instance.into(),
            }]
        } else {
            endpoints()
        };
        self.harness.apply(RelayEvent::EndpointChanges(change));
    }

    fn request(&mut self, call: CallId) -> &mut Request {
        self.requests.get_mut(&call).expect("known")
    }

    fn deliver_random(&mut self) {
        let ids: Vec<ExchangeId> = self.open.keys().copied().collect();
        let Some(exchange) = self.rng.choice(ids) else {
            return;
        };
        let open = &self.open[&exchange];
        let call = open.command.call;
        let (has_begun, next_event) = (open.has_begun, open.next_event);
        let dice = self.rng.u32(..100);
        if dice < 8 {
            let failure = match self.rng.u32(..4) {
                0 if !has_begun => ExchangeFailure::Unreachable,
                1 if !has_begun => ExchangeFailure::Malformed,
                _ => ExchangeFailure::Closed,
            };
            self.end(exchange, ExchangeEvent::Failed { failure });
            return;
        }
        if self.open[&exchange].held_since.is_some() {
            return;
        }
        if dice < 25 && !has_begun {
            let reason = if dice < 10 {
                NotRunReason::Misdirected
            } else {
                NotRunReason::Refused
            };
            self.end(exchange, ExchangeEvent::NotRun { reason });
            return;
        }
        match self.open[&exchange].command.work {
            Work::Reserve { .. } => {
                let reservation = format!("r{}", exchange.0);
                self.reservations.insert(reservation.clone());
                let reservation = reservation.as_str().into();
                self.end(exchange, ExchangeEvent::Reserved { reservation });
            }
            Work::Prefill => {
                self.request(call).was_prefilled = true;
                let handle = "handle".into();
                self.end(exchange, ExchangeEvent::PrefillDone { handle });
            }
            Work::Plain | Work::Forward(_) => {
                let status = if dice < 35 { 500 } else { 200 };
                self.end(exchange, ExchangeEvent::Complete { status });
            }
            Work::Decode { .. } if !has_begun => {
                self.open.get_mut(&exchange).expect("open").has_begun = true;
                self.harness.deliver(exchange, ExchangeEvent::StreamBegan);
            }
            Work::Decode { .. } if next_event > EVENTS => {
                self.end(exchange, ExchangeEvent::Complete { status: 200 });
            }
            Work::Decode { .. } => {
                let request = self.request(call);
                assert_eq!(request.received + 1, next_event, "{call:?} {exchange:?}");
                request.received = next_event;
                self.open.get_mut(&exchange).expect("open").next_event += 1;
                let last_event_id = Some(next_event);
                self.harness
                    .deliver(exchange, ExchangeEvent::Progress { last_event_id });
            }
        }
    }

    fn end(&mut self, exchange: ExchangeId, event: ExchangeEvent) {
        let open = self.open.remove(&exchange).expect("open");
        let call = open.command.call;
        let is_unreachable = matches!(
            event,
            ExchangeEvent::Failed {
                failure: ExchangeFailure::Unreachable
            }
        );
        let is_run = runs_request(&open.command);
        let request = self.request(call);
        if is_run && (is_unreachable || matches!(event, ExchangeEvent::NotRun { .. })) {
            request.runs -= 1;
        }
        // What no endpoint received is not a repeat.
        request.is_next_free |= is_unreachable;
        self.harness.deliver(exchange, event);
    }

    fn check_effects(&mut self) {
        self.batches += 1;
        let batch = self.batches;
        for effect in std::mem::take(&mut self.harness.effects) {
            self.count(&effect);
            match effect {
                RelayEffect::Send(command) => self.on_send(command),
                RelayEffect::Close { exchange } => {
                    if let Some(open) = self.open.remove(&exchange)
                        && runs_request(&open.command)
                    {
                        self.request(open.command.call).run_closed_in = Some(batch);
                    }
                }
                RelayEffect::Hold { exchange } => {
                    let now = self.harness.now;
                    let open = self.open.get_mut(&exchange).expect("held after its end");
                    open.held_since = Some(now);
                }
                RelayEffect::Release { exchange } => {
                    if let Some(open) = self.open.get_mut(&exchange) {
                        open.held_since = None;
                    }
                }
                RelayEffect::FreeReservation { reservation, .. } => {
                    self.reservations.remove(&*reservation);
                }
                RelayEffect::Finish { call } => {
                    let request = self.request(call);
                    assert_eq!(request.received, EVENTS, "finished early");
                    self.on_end(call);
                }
                RelayEffect::Abort { call } | RelayEffect::AnswerProblem { call, .. } => {
                    let now = self.harness.now;
                    let request = self.request(call);
                    let gave_up = now < request.due_at && request.run_closed_in == Some(batch);
                    assert!(!gave_up, "gave up a run that may go on: {request:?}");
                    self.on_end(call);
                }
                RelayEffect::Answer { call, .. } => self.on_end(call),
                _ => {}
            }
        }
    }

    fn count(&mut self, effect: &RelayEffect) {
        let kind = match effect {
            RelayEffect::Note(RelayNotice::MoveAbandoned { reason, .. }) => {
                format!("moved {reason}")
            }
            RelayEffect::Note(RelayNotice::ExchangeSilent { .. }) => "silent".to_owned(),
            RelayEffect::Hold { .. } => "hold".to_owned(),
            RelayEffect::Release { .. } => "release".to_owned(),
            RelayEffect::Finish { .. } => "finish".to_owned(),
            RelayEffect::Abort { .. } => "abort".to_owned(),
            RelayEffect::Answer { .. } => "answer".to_owned(),
            RelayEffect::AnswerProblem { .. } => "problem".to_owned(),
            _ => return,
        };
        *self.seen.entry(kind).or_default() += 1;
    }

    fn on_send(&mut self, command: SendCommand) {
        let now = self.harness.now;
        let call = command.call;
        let twice = self.open.values().any(|open| {
            open.command.call == call
                && runs_request(&open.command)
                && runs_request(&command)
                && open.command.instance == command.instance
        });
        assert!(!twice, "sent twice to one endpoint: {command:?}");
        let request = self.requests.get_mut(&call).expect("known");
        assert!(!request.has_ended, "sent after the end");
        let is_run = runs_request(&command);
        let is_repeat = match command.work {
            Work::Reserve { .. } => false,
            Work::Prefill => request.was_prefilled,
            Work::Plain | Work::Decode { .. } | Work::Forward(_) => {
                std::mem::replace(&mut request.was_sent, true)
            }
        };
        if is_run {
            request.runs += 1;
            assert!(request.runs <= ATTEMPTS, "{request:?}");
        }
        let is_free = is_run && std::mem::take(&mut request.is_next_free);
        if is_repeat && !is_free {
            let repeats = self.repeats.entry(request.path).or_default();
            repeats.push_back(now);
            while repeats.front().is_some_and(|at| *at + WINDOW < now) {
                repeats.pop_front();
            }
            assert!(repeats.len() <= RETRIES, "{} repeats", repeats.len());
        }
        if let Work::Decode {
            reservation: Some(reservation),
            ..
        } = &command.work
        {
            self.reservations.remove(&**reservation);
        }
        let next_event = command.after_event_id.map_or(1, |last| last + 1);
        let open = Open {
            sent_at: now,
            has_begun: false,
            next_event,
            held_since: None,
            command,
        };
        self.open.insert(open.command.exchange, open);
    }

    fn on_end(&mut self, call: CallId) {
        let request = self.request(call);
        assert!(!request.has_ended, "several ends: {request:?}");
        request.has_ended = true;
    }

    fn check_overlap(&self) {
        let now = self.harness.now;
        for (exchange, open) in &self.open {
            if let Some(since) = open.held_since {
                assert!(now <= since + MAX_HOLD, "held for too long: {open:?}");
            }
            if !matches!(open.command.work, Work::Decode { .. })
                || now <= open.sent_at + MAX_OVERLAP
            {
                continue;
            }
            let older = self.open.iter().any(|(other, older)| {
                other < exchange
                    && older.command.call == open.command.call
                    && matches!(older.command.work, Work::Decode { .. })
            });
            assert!(!older, "two engines run one stream: {open:?}");
        }
    }

    fn finish(&mut self) {
        self.wait(ms(15_000));
        for request in self.requests.values() {
            assert!(request.has_ended, "{request:?}");
        }
        assert!(self.open.is_empty(), "{:?}", self.open);
        assert!(self.reservations.is_empty(), "{:?}", self.reservations);
    }
}

// Guards against two runs of one stream that are mixed or last side by side, and against holds, exchanges, reservations and
// calls that never end, while endpoints fall silent at any stage.
#[test]
fn silences_at_random_break_nothing() {
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    for seed in SEEDS {
        let mut run = Run::new(seed);
        for _ in 0..STEPS {
            run.step();
        }
        run.finish();
        for (kind, count) in run.seen {
            *seen.entry(kind).or_default() += count;
        }
    }
    // The runs reach what the test is about.
    for kind in [
        "silent",
        "hold",
        "release",
        "moved goes_on",
        "finish",
        "answer",
    ] {
        let count = seen.get(kind).copied().unwrap_or_default();
        assert!(count >= 100, "{kind}: {seen:?}");
    }
}
