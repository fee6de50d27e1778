//! Random interleavings of requests, failures and changes, each from a seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use arbutusfall_core::CallId;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::DirectoryChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendOrder;
use arbutusfall_core::relay::Work;

use crate::relay_world::World;
use crate::relay_world::endpoints;
use crate::relay_world::listed;
use crate::relay_world::ms;

const SEEDS: std::ops::Range<u64> = 0..300;

/// Steps of one run.
const STEPS: usize = 400;

const PATHS: [&str; 4] = ["/pay/1", "/look/1", "/album/1", "/draft/1"];

/// What a test knows of a request.
#[derive(Debug, Default)]
struct Asked {
    path: &'static str,
    /// Sends after which an endpoint may have run the request.
    runs: usize,
    ends: usize,
}

/// A relay among random events.
struct Run {
    world: World,
    rng: fastrand::Rng,
    asked: BTreeMap<CallId, Asked>,
    /// Exchanges in progress.
    open: BTreeMap<ExchangeId, SendOrder>,
    reservations: BTreeSet<String>,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            world: World::start(seed),
            rng: fastrand::Rng::with_seed(seed),
            asked: BTreeMap::new(),
            open: BTreeMap::new(),
            reservations: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        match self.rng.u32(..20) {
            0..5 => self.ask(),
            5..14 => self.answer(),
            14..17 => {
                let time = ms(self.rng.u64(1..400));
                self.world.pass(time);
            }
            17 => self.change_directory(),
            18 => {
                let reachable = self.rng.bool();
                self.world.apply(RelayEvent::StoreReachable(reachable));
            }
            _ => self.leave(),
        }
        self.look();
    }

    fn ask(&mut self) {
        let path = PATHS[self.rng.usize(..PATHS.len())];
        let call = self.world.ask(path);
        let asked = Asked {
            path,
            ..Asked::default()
        };
        self.asked.insert(call, asked);
    }

    /// Something happens to one of the exchanges, whatever fits its work.
    fn answer(&mut self) {
        let count = self.open.len();
        if count == 0 {
            return;
        }
        let nth = self.rng.usize(..count);
        let Some((&exchange, order)) = self.open.iter().nth(nth) else {
            return;
        };
        let failure = match self.rng.u32(..3) {
            0 => ExchangeFailure::Unreachable,
            1 => ExchangeFailure::Closed,
            _ => ExchangeFailure::Malformed,
        };
        let reason = if self.rng.bool() {
            NotRunReason::Refused
        } else {
            NotRunReason::Misdirected
        };
        let event = match (self.rng.u32(..10), &order.work) {
            (0..2, _) => ExchangeEvent::Failed { failure },
            (2..4, _) => ExchangeEvent::NotRun { reason },
            (_, Work::Reserve { .. }) => ExchangeEvent::Reserved {
                reservation: format!("r{}", exchange.0).into(),
            },
            (_, Work::Prefill) => ExchangeEvent::PrefillDone { handle: "h".into() },
            (4, _) => ExchangeEvent::Complete { status: 500 },
            (_, Work::Plain) => ExchangeEvent::Complete { status: 200 },
            (_, Work::Decode { .. }) => {
                self.world.tell(exchange, ExchangeEvent::StreamBegan);
                let last_event_id = Some(self.rng.u64(1..9));
                self.world
                    .tell(exchange, ExchangeEvent::Progress { last_event_id });
                ExchangeEvent::Complete { status: 200 }
            }
        };
        self.tell(exchange, event);
    }

    fn tell(&mut self, exchange: ExchangeId, event: ExchangeEvent) {
        let Some(order) = self.open.remove(&exchange) else {
            return;
        };
        let did_not_run = matches!(
            event,
            ExchangeEvent::NotRun { .. }
                | ExchangeEvent::Failed {
                    failure: ExchangeFailure::Unreachable
                }
        );
        if did_not_run && let Some(asked) = self.asked.get_mut(&order.call) {
            asked.runs -= usize::from(runs(&order));
        }
        if let ExchangeEvent::Reserved { reservation } = &event {
            self.reservations.insert(reservation.to_string());
        }
        self.world.tell(exchange, event);
    }

    fn change_directory(&mut self) {
        let instance = ["shop-1", "decode-1", "prefill-1"][self.rng.usize(..3)];
        let change = match self.rng.u32(..3) {
            0 => DirectoryChange::Removed {
                instance: instance.into(),
            },
            1 => DirectoryChange::Listed(ListedEndpoint {
                is_leaving: true,
                ..listed("shop-2", "shop", Role::Plain)
            }),
            _ => {
                self.world.apply(RelayEvent::Directory(endpoints()));
                return;
            }
        };
        self.world.apply(RelayEvent::Directory(vec![change]));
    }

    fn leave(&mut self) {
        let open: Vec<CallId> = self
            .asked
            .iter()
            .filter(|(_, asked)| asked.ends == 0)
            .map(|(call, _)| *call)
            .collect();
        if let Some(call) = self.rng.choice(open) {
            self.world.apply(RelayEvent::CallerGone { call });
            if let Some(asked) = self.asked.get_mut(&call) {
                asked.ends += 1;
            }
        }
    }

    /// Takes in what the relay asked for.
    fn look(&mut self) {
        for effect in std::mem::take(&mut self.world.effects) {
            match effect {
                RelayEffect::Send(order) => self.on_send(order),
                RelayEffect::Close { exchange } => {
                    self.open.remove(&exchange);
                }
                RelayEffect::FreeReservation { reservation, .. } => {
                    self.reservations.remove(&*reservation);
                }
                RelayEffect::Refuse { call, problem } => {
                    let asked = self.on_end(call);
                    if problem.kind == ProblemKind::NotRun {
                        assert_eq!(asked.runs, 0, "not run is true: {asked:?}");
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

    fn on_send(&mut self, order: SendOrder) {
        let asked = self.asked.get_mut(&order.call).expect("a known request");
        assert_eq!(asked.ends, 0, "nothing is sent for a request that is over");
        asked.runs += usize::from(runs(&order));
        let may_repeat = matches!(asked.path, "/look/1" | "/draft/1");
        assert!(may_repeat || asked.runs <= 1, "run once at most: {asked:?}");
        if let Work::Decode {
            reservation: Some(reservation),
            ..
        } = &order.work
        {
            self.reservations.remove(&**reservation);
        }
        self.open.insert(order.exchange, order);
    }

    fn on_end(&mut self, call: CallId) -> &Asked {
        let asked = self.asked.get_mut(&call).expect("a known request");
        asked.ends += 1;
        assert_eq!(asked.ends, 1, "one final answer: {asked:?}");
        asked
    }

    /// Lets all requests come to their ends.
    fn finish(&mut self) {
        self.world.pass(ms(20_000));
        self.look();
        for (call, asked) in &self.asked {
            assert_eq!(asked.ends, 1, "{call:?} {asked:?}");
        }
        assert!(self.reservations.is_empty(), "{:?}", self.reservations);
    }
}

/// Whether an endpoint runs the request by this send.
fn runs(order: &SendOrder) -> bool {
    matches!(order.work, Work::Plain | Work::Decode { .. })
}

#[test]
fn promises_hold_over_random_interleavings() {
    for seed in SEEDS {
        let mut run = Run::new(seed);
        for _ in 0..STEPS {
            run.step();
        }
        run.finish();
    }
}
