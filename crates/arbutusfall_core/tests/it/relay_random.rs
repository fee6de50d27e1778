//! Property test: random interleavings of requests, failures and endpoint changes, each from a seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use arbutusfall_core::CallId;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SendPermission;
use arbutusfall_core::relay::Work;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::endpoints;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::store_read;

const SEEDS: std::ops::Range<u64> = 0..300;

/// Steps of one run.
const STEPS: usize = 400;

const PATHS: [&str; 4] = ["/pay/1", "/look/1", "/stream/1", "/resumable/1"];

/// Observed state of a request.
#[derive(Debug, Default)]
struct RequestState {
    path: &'static str,
    /// Permitted writes by which an endpoint may have run the request, and has not said that it did not.
    runs: usize,
    ends: usize,
}

/// An exchange in progress.
#[derive(Debug)]
struct OpenExchange {
    command: SendCommand,
    /// Whether its request was written, at least in part.
    is_written: bool,
}

/// A relay driven by random events.
struct RandomRun {
    harness: RelayHarness,
    rng: fastrand::Rng,
    requests: BTreeMap<CallId, RequestState>,
    /// Exchanges in progress.
    open_exchanges: BTreeMap<ExchangeId, OpenExchange>,
    /// Exchanges that the relay has closed before their request was written.
    closed_unwritten: Vec<ExchangeId>,
    reservations: BTreeSet<String>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let mut harness = RelayHarness::configured(seed);
        harness.opens_connections = false;
        Self {
            harness,
            rng: fastrand::Rng::with_seed(seed),
            requests: BTreeMap::new(),
            open_exchanges: BTreeMap::new(),
            closed_unwritten: Vec::new(),
            reservations: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        match self.rng.u32(..28) {
            20.. => self.open_random_connection(),
            0..5 => self.submit_random(),
            5..14 => self.deliver_random_event(),
            14..17 => {
                let time = ms(self.rng.u64(1..400));
                self.harness.advance(time);
            }
            17 => self.change_endpoints(),
            18 => {
                let reachable = self.rng.bool();
                self.harness.apply(store_read(reachable));
            }
            _ => self.disconnect_caller(),
        }
        self.check_effects();
    }

    fn submit_random(&mut self) {
        let path = PATHS[self.rng.usize(..PATHS.len())];
        let call = self.harness.submit(path);
        let request = RequestState {
            path,
            ..RequestState::default()
        };
        self.requests.insert(call, request);
    }

    /// Lets the connection of a random exchange open; its request is written if the relay permits it.
    fn open_random_connection(&mut self) {
        let open = self.open_exchanges.iter();
        let unwritten = open.filter(|(_, open)| !open.is_written);
        let unwritten: Vec<ExchangeId> = unwritten.map(|(exchange, _)| *exchange).collect();
        let Some(exchange) = self.rng.choice(unwritten) else {
            return;
        };
        match self.harness.permission(exchange) {
            SendPermission::Granted => self.on_written(exchange),
            SendPermission::Withdrawn => {
                let failure = ExchangeFailure::Withdrawn;
                self.deliver(exchange, ExchangeEvent::Failed { failure });
            }
            SendPermission::ListOverdue => {}
        }
    }

    fn on_written(&mut self, exchange: ExchangeId) {
        let Some(open) = self.open_exchanges.get_mut(&exchange) else {
            return;
        };
        open.is_written = true;
        let request = self.requests.get_mut(&open.command.call);
        let request = request.expect("unknown request");
        assert_eq!(request.ends, 0, "written after the request's final answer");
        request.runs += usize::from(runs_request(&open.command));
        let may_run_again = matches!(request.path, "/look/1" | "/resumable/1");
        assert!(may_run_again || request.runs <= 1, "ran twice: {request:?}");
    }

    /// Delivers a random event that fits the work of a random exchange and what was written of it.
    fn deliver_random_event(&mut self) {
        let count = self.open_exchanges.len();
        if count == 0 {
            return;
        }
        let nth = self.rng.usize(..count);
        let Some((&exchange, open)) = self.open_exchanges.iter().nth(nth) else {
            return;
        };
        if !open.is_written {
            let failure = match self.rng.u32(..7) {
                0 => ExchangeFailure::Unreachable,
                1 => ExchangeFailure::OtherProcess,
                2 => ExchangeFailure::ProcessUnknown,
                _ => return,
            };
            self.deliver(exchange, ExchangeEvent::Failed { failure });
            return;
        }
        let command = &open.command;
        let failure = match self.rng.u32(..3) {
            0 => ExchangeFailure::ClosedUnsent,
            1 => ExchangeFailure::Closed,
            _ => ExchangeFailure::Malformed,
        };
        let reason = if self.rng.bool() {
            NotRunReason::Refused
        } else {
            NotRunReason::Misdirected
        };
        let event = match (self.rng.u32(..10), &command.work) {
            (0..2, _) => ExchangeEvent::Failed { failure },
            (2..4, _) => ExchangeEvent::NotRun { reason },
            (_, Work::Reserve { .. }) => ExchangeEvent::Reserved {
                reservation: format!("r{}", exchange.0).into(),
            },
            (_, Work::Prefill) => ExchangeEvent::PrefillDone { handle: "h".into() },
            (4, _) => ExchangeEvent::Complete { status: 500 },
            (_, Work::Plain | Work::Forward(_)) => ExchangeEvent::Complete { status: 200 },
            (_, Work::Decode { .. }) => {
                self.harness.deliver(exchange, ExchangeEvent::StreamBegan);
                let last_event_id = Some(self.rng.u64(1..9));
                self.harness
                    .deliver(exchange, ExchangeEvent::Progress { last_event_id });
                ExchangeEvent::Complete { status: 200 }
            }
        };
        self.deliver(exchange, event);
    }

    fn deliver(&mut self, exchange: ExchangeId, event: ExchangeEvent) {
        let Some(open) = self.open_exchanges.remove(&exchange) else {
            return;
        };
        let command = open.command;
        let did_not_run = matches!(
            event,
            ExchangeEvent::NotRun { .. }
                | ExchangeEvent::Failed {
                    failure: ExchangeFailure::ClosedUnsent
                }
        );
        if open.is_written
            && did_not_run
            && let Some(request) = self.requests.get_mut(&command.call)
        {
            request.runs -= usize::from(runs_request(&command));
        }
        if let ExchangeEvent::Reserved { reservation } = &event {
            self.reservations.insert(reservation.to_string());
        }
        self.harness.deliver(exchange, event);
    }

    fn change_endpoints(&mut self) {
        let instance = ["shop-1", "decode-1", "prefill-1"][self.rng.usize(..3)];
        let change = match self.rng.u32(..3) {
            0 => EndpointListChange::Removed {
                instance: instance.into(),
            },
            1 => EndpointListChange::Listed(ListedEndpoint {
                is_leaving: true,
                ..listed("shop-2", "shop", Role::Plain)
            }),
            _ => {
                self.harness.apply(RelayEvent::EndpointChanges(endpoints()));
                return;
            }
        };
        self.harness
            .apply(RelayEvent::EndpointChanges(vec![change]));
    }

    fn disconnect_caller(&mut self) {
        let open: Vec<CallId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.ends == 0)
            .map(|(call, _)| *call)
            .collect();
        if let Some(call) = self.rng.choice(open) {
            self.harness.apply(RelayEvent::CallerGone { call });
            if let Some(request) = self.requests.get_mut(&call) {
                request.ends += 1;
            }
        }
    }

    /// Records the relay's effects and checks the invariants.
    fn check_effects(&mut self) {
        for effect in std::mem::take(&mut self.harness.effects) {
            match effect {
                RelayEffect::Send(command) => self.on_send(command),
                RelayEffect::Close { exchange } => {
                    let closed = self.open_exchanges.remove(&exchange);
                    if closed.is_some_and(|closed| !closed.is_written) {
                        self.closed_unwritten.push(exchange);
                    }
                }
                RelayEffect::FreeReservation { reservation, .. } => {
                    self.reservations.remove(&*reservation);
                }
                RelayEffect::AnswerProblem { call, problem } => {
                    let request = self.on_end(call);
                    if problem.kind == ProblemKind::NotRun {
                        assert_eq!(request.runs, 0, "may have run: {request:?}");
                        assert!(problem.retry_after.is_some(), "{problem:?}");
                    } else {
                        assert_ne!(request.runs, 0, "has not run: {request:?}, {problem:?}");
                    }
                }
                RelayEffect::Answer { call, .. }
                | RelayEffect::Finish { call }
                | RelayEffect::Abort { call } => {
                    self.on_end(call);
                }
                _ => {}
            }
        }
    }

    fn on_send(&mut self, command: SendCommand) {
        let request = self
            .requests
            .get_mut(&command.call)
            .expect("unknown request");
        assert_eq!(request.ends, 0, "sent after the request's final answer");
        if let Work::Decode {
            reservation: Some(reservation),
            ..
        } = &command.work
        {
            self.reservations.remove(&**reservation);
        }
        let open = OpenExchange {
            command,
            is_written: false,
        };
        self.open_exchanges.insert(open.command.exchange, open);
    }

    fn on_end(&mut self, call: CallId) -> &RequestState {
        let request = self.requests.get_mut(&call).expect("unknown request");
        request.ends += 1;
        assert_eq!(request.ends, 1, "several final answers: {request:?}");
        request
    }

    /// Advances until all requests have ended and checks that no reservation is left.
    fn finish(&mut self) {
        self.harness.advance(ms(20_000));
        self.check_effects();
        for (call, request) in &self.requests {
            assert_eq!(request.ends, 1, "{call:?} {request:?}");
        }
        assert!(self.reservations.is_empty(), "{:?}", self.reservations);
        for exchange in std::mem::take(&mut self.closed_unwritten) {
            let permission = self.harness.permission(exchange);
            assert_eq!(permission, SendPermission::Withdrawn, "{exchange:?}");
        }
    }
}

/// Returns whether this send makes an endpoint run the request.
fn runs_request(command: &SendCommand) -> bool {
    matches!(command.work, Work::Plain | Work::Decode { .. })
}

// Guards, among others, against "not run" for a request that was written, and against 502 or 504 for one that was not.
#[test]
fn invariants_hold_over_random_interleavings() {
    for seed in SEEDS {
        let mut run = RandomRun::new(seed);
        for _ in 0..STEPS {
            run.step();
        }
        run.finish();
    }
}
