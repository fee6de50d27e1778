//! Split of engines between prefill and decode, decided by the holder of the lease.
//!
//! Requests reach VMs at random, so the ratio of prefill to decode in one VM's usage of the engines represents all VMs, within the
//! bounds that its number of streams allows (`role_usage.rs`). A change must be worth its cost at the bound that speaks against it
//! (`role_split.rs`), and the pool that loses engines must have no shortage (`role_pressure.rs`).

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::EngineParameters;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::RoleOutcome;
use crate::relay::control::role_changes::OrderedChange;
use crate::relay::control::role_changes::RoleOrders;
use crate::relay::control::role_pressure::RolePressure;
use crate::relay::control::role_split::RoleChange;
use crate::relay::control::role_split::RoleSplit;
use crate::relay::control::role_usage::EngineUsage;
use crate::relay::control::role_usage::StreamUsage;
use crate::relay::limits::limit_tokens::ORDER_REQUESTS;

/// Interval of reviews of the split.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Prefill capacity to provide, as a multiple of the used one, because queued prefills delay the first tokens.
const PREFILL_HEADROOM: f64 = 1.5;

/// Standard deviations between the estimated need and the bound that a change is judged by.
const BOUND_DEVIATIONS: f64 = 2.0;

/// Like [`BOUND_DEVIATIONS`], if waits or refusals show independently that the pool that would gain engines is short of them.
const CONFIRMED_BOUND_DEVIATIONS: f64 = 1.3;

/// Time after a changed engine serves again in which its effect is observed before the next order.
const EFFECT_TIME: Duration = Duration::from_secs(1);

/// An ordered change that is not listed counts as failed after this multiple of the time of a change.
const MAX_CHANGE_TIME_FACTOR: u32 = 2;

/// What decides on the roles of one service's engines.
#[derive(Debug, Clone, Default)]
struct ServiceRoles {
    usage: EngineUsage,
    pressure: RolePressure,
    /// Engines that have not been listed in their new role yet.
    ordered: Vec<OrderedChange>,
    /// Instant at which an ordered change was last found to have ended, in whatever way.
    change_ended_at: Option<Duration>,
}

/// Observations and orders per service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roles {
    by_service: BTreeMap<Name, ServiceRoles>,
    /// Orders whose accepted changes are published to other VMs.
    pub(super) orders: RoleOrders,
}

impl Roles {
    fn service(&mut self, service: &Name) -> &mut ServiceRoles {
        self.by_service.entry(service.clone()).or_default()
    }

    /// Records a stream of this VM that completed or failed.
    pub(crate) fn on_stream_ended(&mut self, service: &Name, stream: StreamUsage, now: Duration) {
        self.service(service).usage.add_ended(stream, now);
    }

    /// Records a model request that arrived at this VM.
    pub(crate) fn on_arrival(&mut self, service: &Name) {
        self.service(service).pressure.on_arrival();
    }

    /// Records that an engine had no memory for a request of this VM.
    pub(crate) fn on_reservation_refused(&mut self, service: &Name, now: Duration) {
        self.service(service).pressure.on_reservation_refused(now);
    }

    /// Records how long a prefill of this VM queued at its engine.
    pub(crate) fn on_prefilled(&mut self, service: &Name, wait: Duration) {
        self.service(service).pressure.on_prefilled(wait);
    }

    fn on_review(&mut self) {
        for service in self.by_service.values_mut() {
            service.usage.decay(REVIEW_INTERVAL);
            service.pressure.on_interval(REVIEW_INTERVAL);
        }
    }
}

impl Relay {
    /// Orders the role changes that are due if this VM holds the lease, and sets the timer of the next review.
    pub(in crate::relay) fn review_roles(&mut self) {
        self.timers
            .set(self.now + REVIEW_INTERVAL, RelayTimer::ReviewRoles);
        self.roles.on_review();
        self.end_ordered_changes();
        let Some(token) = self.lease.order_token(self.now) else {
            return;
        };
        let Some(routes) = self.routes.clone() else {
            return;
        };
        for (service, parameters) in &routes.services {
            let Some(engine) = &parameters.engine else {
                continue;
            };
            let Some(change) = self.plan_role_change(service, engine) else {
                continue;
            };
            self.roles.orders.begin_series(service);
            for instance in self.least_loaded(service, change.from(), change.engines) {
                self.order_role(service, instance, change.to, token);
            }
        }
    }

    /// Forgets the orders whose engines are listed in their new role, are gone or have not changed in time.
    fn end_ordered_changes(&mut self) {
        let now = self.now;
        let endpoints = &self.endpoints;
        for service in self.roles.by_service.values_mut() {
            let count = service.ordered.len();
            service.ordered.retain(|change| {
                let endpoint = endpoints.get(&change.instance);
                let is_open = endpoint.is_some_and(|known| known.listed.role != change.role);
                is_open && now < change.failed_at
            });
            if service.ordered.len() < count {
                service.change_ended_at = Some(now);
            }
        }
    }

    /// Returns the recent usage of a service by ended streams, plus the expected usage of the streams in progress.
    fn recent_usage(&self, service: &Name) -> EngineUsage {
        let known = self.roles.by_service.get(service);
        let mut usage = known.map(|known| known.usage).unwrap_or_default();
        let mean_decode = usage.mean_decode();
        let calls = self.calls.values().filter(|call| call.service == *service);
        for call in calls {
            if let (Some(began_at), Some(allocation)) = (call.stream_began_at, &call.allocation) {
                let tokens = allocation.tokens;
                usage.add_in_progress(call.prefill_work, tokens, began_at, mean_decode, self.now);
            }
        }
        usage
    }

    /// Returns the change of a service's split that should be ordered now, if any.
    fn plan_role_change(&self, service: &Name, engine: &EngineParameters) -> Option<RoleChange> {
        let change_time = engine.role_change_time;
        let usage = self.recent_usage(service);
        let may_order = self.lease.is_held_for(change_time, self.now)
            && usage.is_observed_for(change_time, self.now)
            && self.has_observed_changes(service);
        let pressure = &self.roles.by_service.get(service)?.pressure;
        if !may_order || pressure.is_rising() {
            return None;
        }
        let ratio = usage.need_ratio()?;
        let split = RoleSplit {
            prefill: self.endpoints.in_role(service, Role::Prefill).count(),
            decode: self.endpoints.in_role(service, Role::Decode).count(),
        };
        [Role::Decode, Role::Prefill].into_iter().find_map(|to| {
            if !self.is_change_allowed(service, to, change_time, &usage) {
                return None;
            }
            let (lower, upper) = ratio.bounds(self.bound_deviations(service, to));
            let bound = if to == Role::Decode { upper } else { lower };
            let need = bound * PREFILL_HEADROOM * engine.memory_tokens.max(1) as f64;
            split.change_to(to, need / (1.0 + need), change_time)
        })
    }

    /// Returns whether no ordered change is in progress, and the effect of the newest one has been observed, whoever ordered it.
    fn has_observed_changes(&self, service: &Name) -> bool {
        let known = self.roles.by_service.get(service);
        if known.is_some_and(|known| !known.ordered.is_empty()) {
            return false;
        }
        let own = known.and_then(|known| known.change_ended_at);
        let engines = self.endpoints.of_service(service);
        let listed = engines.filter_map(|engine| engine.role_changed_at);
        let newest = listed.chain(own).max();
        newest.is_none_or(|newest| self.now >= newest + EFFECT_TIME)
    }

    /// Returns whether engines may be taken from the other role: it has no shortage, and did not get an engine of late.
    fn is_change_allowed(
        &self,
        service: &Name,
        to: Role,
        change_time: Duration,
        usage: &EngineUsage,
    ) -> bool {
        let losing = RoleChange { to, engines: 0 }.from();
        let mut gained = self.endpoints.in_role(service, losing);
        let undoes = gained.any(|engine| {
            let changed_at = engine.role_changed_at;
            changed_at.is_some_and(|changed_at| self.now < changed_at + change_time)
        });
        // Until enough streams have ended, the need for decode is underestimated: those in progress will hold their memory for
        // longer than they have so far.
        let is_decode_known = to == Role::Decode || usage.knows_duration();
        !undoes && is_decode_known && !self.is_scarce(service, losing)
    }

    /// Returns whether requests of this VM have been refused by, or wait for, engines of a role.
    fn is_scarce(&self, service: &Name, role: Role) -> bool {
        let known = self.roles.by_service.get(service);
        let is_seen = known.is_some_and(|known| match role {
            Role::Prefill => known.pressure.is_prefill_scarce(),
            _ => known.pressure.is_decode_scarce(self.now),
        });
        let waiting = self.wait_queue.ids().iter();
        let mut waiting = waiting.filter_map(|id| self.calls.get(id));
        is_seen
            || waiting.any(|call| {
                let is_ready = match role {
                    Role::Prefill => self.can_prefill_in_time(call),
                    _ => self.may_reserve(call),
                };
                call.service == *service && !is_ready
            })
    }

    /// Returns the standard deviations between the estimate and the bound for a change to a role.
    fn bound_deviations(&self, service: &Name, gaining: Role) -> f64 {
        if self.is_scarce(service, gaining) {
            CONFIRMED_BOUND_DEVIATIONS
        } else {
            BOUND_DEVIATIONS
        }
    }

    /// Returns at most `count` usable engines of a role, those with the least work from this VM first.
    fn least_loaded(&self, service: &Name, role: Role, count: usize) -> Vec<Name> {
        let serving = self.endpoints.serving(service, role);
        let usable = serving.filter(|endpoint| endpoint.health.is_usable(self.now));
        let mut usable: Vec<_> = usable.collect();
        usable.sort_by_key(|endpoint| (endpoint.in_flight, endpoint.allocated_tokens));
        let least = usable.into_iter().take(count);
        least
            .map(|endpoint| endpoint.listed.instance.clone())
            .collect()
    }

    /// Orders an engine to change its role, and avoids it for the time of the change.
    fn order_role(&mut self, service: &Name, instance: Name, role: Role, token: u64) {
        let Some(endpoint) = self.endpoints.get(&instance) else {
            return;
        };
        let address = endpoint.listed.address;
        let routes = self.routes.as_ref();
        let engine = routes.and_then(|routes| routes.engine(service));
        let role_change_time = engine.map_or(Duration::ZERO, |engine| engine.role_change_time);
        let change = OrderedChange {
            instance: instance.clone(),
            service: service.clone(),
            role,
            failed_at: self.now + role_change_time * MAX_CHANGE_TIME_FACTOR,
        };
        self.roles.service(service).ordered.push(change.clone());
        if let Some(endpoint) = self.endpoints.get_mut(&instance) {
            endpoint.set_unavailable_until(self.now + role_change_time);
        }
        self.note(RelayNotice::RoleOrdered {
            instance: instance.clone(),
            role: role_name(role),
            token,
        });
        self.take_limit_tokens(&instance, ORDER_REQUESTS);
        self.roles.orders.on_ordered(change);
        self.effects.push(RelayEffect::OrderRole {
            instance,
            address,
            role,
            token,
        });
    }

    /// Handles the outcome of an order.
    pub(in crate::relay) fn on_role_outcome(&mut self, instance: Name, outcome: RoleOutcome) {
        match outcome {
            RoleOutcome::Accepted => self.on_role_change_accepted(&instance),
            RoleOutcome::StaleToken => self.lease.on_token_refused(),
            RoleOutcome::Refused | RoleOutcome::Unknown => {}
        }
        self.roles.orders.take(&instance);
        self.note(RelayNotice::RoleOutcome {
            instance,
            outcome: outcome.name(),
        });
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
        Role::Plain => "plain",
    }
}
