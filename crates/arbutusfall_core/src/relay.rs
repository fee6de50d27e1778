//! Relayed requests: callers' requests passed on unchanged to endpoints that the platform lists.
//!
//! A [`Relay`] takes one [`RelayEvent`] at a time and returns [`RelayEffect`]s as data, like [`crate::Node`]. The text
//! of requests and answers stays with whoever drives it; the relay sees sizes, outcomes and times.

mod balance;
mod budget;
mod call;
mod calls;
mod effect;
mod endpoints;
mod event;
mod lease;
mod notice;
mod outcomes;
mod pacing;
mod prompt;
mod roles;
mod room;
mod routes;
mod sending;
mod waiting;

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::CallId;
use crate::timers::Timers;

use budget::RetryBudget;
use call::Call;
use endpoints::Endpoints;
use lease::Lease;
use roles::Roles;
use waiting::Waiting;

pub use effect::*;
pub use event::*;
pub use lease::LeaseAnswer;
pub use notice::RelayNotice;
pub use prompt::Prompt;
pub use routes::*;

/// Time from the order to stop until callers' connections are closed as soon as they are idle: the platform stops sending
/// new ones after two questions that are not answered with success.
const CLOSE_AFTER: Duration = Duration::from_millis(2_300);

/// What a relay must know before it reads the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Repeated sends that one request earns, as a share of a send.
    pub retry_ratio: f64,
    /// Lifetime of the lease under which orders are given to engines.
    pub lease_lifetime: Duration,
}

/// What to look at again. A timer that finds nothing to do is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RelayTimer {
    /// The caller's time is up.
    CallDue(CallId),
    /// An exchange may have been silent for too long.
    Silent(ExchangeId),
    /// Engines that were full may have room again.
    AskForRoom,
    /// Entries that the list dropped may be forgotten.
    DropGone,
    /// The lease is to be renewed.
    RenewLease,
    /// The roles of engines are to be looked at.
    ReviewRoles,
    /// The platform had time to stop sending new connections.
    CloseConnections,
}

/// One VM's relayed requests and what it knows of the endpoints.
#[derive(Debug)]
pub struct Relay {
    /// Newest configuration; none before the first was read.
    routes: Option<Arc<RouteTable>>,
    endpoints: Endpoints,
    is_store_reachable: bool,
    is_draining: bool,
    is_ready: bool,
    calls: FastMap<CallId, Call>,
    /// Calls by the exchange that works for them now.
    by_exchange: FastMap<ExchangeId, CallId>,
    exchanges: u64,
    /// Model requests that wait for room.
    waiting: Waiting,
    /// Longest time that callers of each route waited for an answer; less is left to those that come again.
    longest_patience: FastMap<Name, Duration>,
    budget: RetryBudget,
    lease: Lease,
    roles: Roles,
    timers: Timers<RelayTimer>,
    rng: fastrand::Rng,
    /// Time of the event that is handled.
    now: Duration,
    effects: Vec<RelayEffect>,
}

impl Relay {
    /// A relay that knows neither configuration nor endpoints.
    pub fn new(settings: &RelaySettings, seed: u64) -> Self {
        Self {
            routes: None,
            endpoints: Endpoints::default(),
            is_store_reachable: true,
            is_draining: false,
            is_ready: false,
            calls: FastMap::default(),
            by_exchange: FastMap::default(),
            exchanges: 0,
            waiting: Waiting::default(),
            longest_patience: FastMap::default(),
            budget: RetryBudget::new(settings.retry_ratio),
            lease: Lease::new(settings.lease_lifetime),
            roles: Roles::default(),
            timers: Timers::default(),
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            effects: Vec::new(),
        }
    }

    /// Handles one event at a monotonic time.
    pub fn apply(&mut self, event: RelayEvent, now: Duration) -> RelayOutput {
        self.now = now;
        self.on_event(event);
        self.update_ready();
        RelayOutput {
            effects: std::mem::take(&mut self.effects),
            wake_at: self.timers.next_due(),
        }
    }

    /// Limits on callers' requests by the newest configuration.
    pub fn limits(&self) -> CallerLimits {
        let routes = self.routes.as_ref();
        routes.map_or_else(CallerLimits::default, |routes| routes.limits.clone())
    }

    fn on_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::Started => self.on_started(),
            RelayEvent::Tick => self.on_tick(),
            RelayEvent::Routes(routes) => self.on_routes(routes),
            RelayEvent::Directory(changes) => self.on_directory(changes),
            RelayEvent::StoreReachable(reachable) => self.on_store(reachable),
            RelayEvent::Asked(request) => self.on_asked(request),
            RelayEvent::CallerGone { call } => self.on_caller_gone(call),
            RelayEvent::Exchange { exchange, event } => self.on_exchange(exchange, event),
            RelayEvent::Lease(answer) => self.on_lease(answer),
            RelayEvent::RoleOutcome { instance, outcome } => {
                self.on_role_outcome(instance, outcome);
            }
            RelayEvent::Terminate => self.on_terminate(),
        }
    }

    fn on_started(&mut self) {
        self.on_lease_timer();
        self.on_roles_timer();
    }

    fn on_tick(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                RelayTimer::CallDue(call) => self.on_call_due(call),
                RelayTimer::Silent(exchange) => self.on_maybe_silent(exchange),
                RelayTimer::AskForRoom => self.on_room_timer(),
                RelayTimer::RenewLease => self.on_lease_timer(),
                RelayTimer::ReviewRoles => self.on_roles_timer(),
                RelayTimer::CloseConnections => self.effects.push(RelayEffect::CloseConnections),
                RelayTimer::DropGone => self.drop_gone(),
            }
        }
    }

    /// Puts a version in force; an older one than before is ignored.
    fn on_routes(&mut self, routes: Arc<RouteTable>) {
        let current = self.routes.as_ref().map(|routes| routes.version);
        if current.is_some_and(|current| current >= routes.version) {
            return;
        }
        self.note(RelayNotice::ConfigInForce {
            version: routes.version,
            routes: routes.routes.len(),
        });
        self.routes = Some(routes);
    }

    fn on_directory(&mut self, changes: Vec<DirectoryChange>) {
        let removes = changes
            .iter()
            .any(|change| !matches!(change, DirectoryChange::Listed(_)));
        for notice in self.endpoints.apply(changes, self.now) {
            self.note(notice);
        }
        if removes {
            let due = self.endpoints.settled_at();
            self.timers.set(due.max(self.now), RelayTimer::DropGone);
        }
    }

    fn drop_gone(&mut self) {
        for notice in self.endpoints.drop_gone(self.now) {
            self.note(notice);
        }
    }

    fn on_store(&mut self, reachable: bool) {
        if reachable == self.is_store_reachable {
            return;
        }
        self.is_store_reachable = reachable;
        if reachable {
            self.endpoints.on_store_returned(self.now);
        }
        self.note(RelayNotice::Store { reachable });
    }

    fn on_terminate(&mut self) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        let due = self.now + CLOSE_AFTER;
        self.timers.set(due, RelayTimer::CloseConnections);
        self.effects.push(RelayEffect::ReleaseLease);
        let in_progress = self.calls.len();
        self.note(RelayNotice::Draining { in_progress });
    }

    fn update_ready(&mut self) {
        // Without a single endpoint, other VMs serve callers better.
        let knows_all = self.routes.is_some() && !self.endpoints.is_empty();
        let ready = knows_all && !self.is_draining;
        if ready == self.is_ready {
            return;
        }
        self.is_ready = ready;
        self.effects.push(RelayEffect::SetReady(ready));
        self.note(RelayNotice::Ready { ready });
    }

    fn note(&mut self, notice: RelayNotice) {
        self.effects.push(RelayEffect::Note(notice));
    }
}
