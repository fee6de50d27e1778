//! Split of engines between prefill and decode, decided by the holder of the lease from its own requests.
//!
//! Requests reach VMs at random, so the fraction of prefill work in one VM's usage of the engines represents all VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::RoleOutcome;
use crate::relay::limits::limit_tokens::ORDER_REQUESTS;

/// Interval of reviews of the split.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Time constant of the decay of recorded usage.
const USAGE_DECAY_TIME: Duration = Duration::from_secs(8);

/// Number of this VM's streams, ended or in progress, before its usage decides on roles.
const MIN_STREAMS: u32 = 4;

/// Prefill capacity to provide, as a multiple of the used one, because queued prefills delay the first tokens.
const PREFILL_HEADROOM: f64 = 1.5;

/// Number of engines by which prefill must fall short of its target before an engine is added.
const MIN_SHORTAGE_ENGINES: f64 = 0.6;

/// Number of engines by which prefill must exceed its target before one is removed, so that the remaining engines still
/// reach the target.
const MIN_SURPLUS_ENGINES: f64 = 1.0;

/// Deviation from the target, as a fraction of it, below which no role changes: the target is estimated from one VM's
/// streams, and an engine that changes its role serves no requests for seconds.
const TOLERANCE: f64 = 0.3;

/// Time from the first stream until this VM's usage decides on roles.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Largest fraction of a service's engines that change their role at the same time; one engine always may.
const MAX_CHANGED_FRACTION: f64 = 0.25;

/// Pause between the completion of a role change and the next order.
const PAUSE_AFTER_ROLE_CHANGE: Duration = Duration::from_secs(2);

/// Usage of the engines by one stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamUsage {
    /// Compute time of its prefill.
    pub(crate) prefill: Duration,
    /// Memory allocated to it.
    pub(crate) memory_tokens: u64,
    /// Time for which it streamed and held that memory.
    pub(crate) decode: Duration,
}

/// Usage of the engines by this VM's streams of a service. The sums of times and tokens decay; `streams` and
/// `observed_since` do not.
///
/// Prefill and decode are counted for the same streams, so that their ratio is correct even shortly after the start.
#[derive(Debug, Clone, Copy, Default)]
struct EngineUsage {
    prefill_s: f64,
    /// Memory of decode engines times the time for which it was held, in token seconds.
    decode_token_s: f64,
    /// Memory that ended streams held, in tokens.
    ended_tokens: f64,
    /// End of the first stream, or the start of a stream in progress if that is earlier.
    observed_since: Option<Duration>,
    streams: u32,
}

impl EngineUsage {
    fn add(&mut self, stream: StreamUsage) {
        self.prefill_s += stream.prefill.as_secs_f64();
        self.decode_token_s += stream.memory_tokens as f64 * stream.decode.as_secs_f64();
        self.streams = self.streams.saturating_add(1);
    }

    /// Returns the mean time for which ended streams held their memory, weighted by memory.
    fn mean_decode(&self) -> Duration {
        Duration::from_secs_f64(self.decode_token_s / self.ended_tokens.max(1.0))
    }
}

/// Recorded usage per service, and the pause after the last orders.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roles {
    by_service: BTreeMap<Name, EngineUsage>,
    /// Instant until which no further orders are given.
    pause_until: Duration,
    /// Orders without an outcome: engine, new role and service.
    ordered: Vec<(Name, Role, Name)>,
    /// Engines that accepted one of the newest orders, by service.
    accepted: BTreeMap<Name, Vec<(Name, Role)>>,
}

impl Roles {
    /// Records a stream of this VM that completed or failed.
    pub(crate) fn on_stream_ended(&mut self, service: &Name, stream: StreamUsage, now: Duration) {
        let usage = self.by_service.entry(service.clone()).or_default();
        usage.observed_since.get_or_insert(now);
        usage.ended_tokens += stream.memory_tokens as f64;
        usage.add(stream);
    }

    /// Begins a series of orders to engines of a service.
    fn begin_orders(&mut self, service: &Name) {
        self.accepted.remove(service);
    }

    /// Removes an order that has an outcome; returns its role and service.
    pub(crate) fn take_ordered(&mut self, instance: &Name) -> Option<(Role, Name)> {
        let at = self.ordered.iter().position(|(of, ..)| of == instance)?;
        let (_, role, service) = self.ordered.swap_remove(at);
        Some((role, service))
    }

    /// Records that an engine accepted an order; returns all that did in this series.
    pub(crate) fn add_accepted(
        &mut self,
        service: &Name,
        instance: &Name,
        role: Role,
    ) -> Vec<(Name, Role)> {
        let accepted = self.accepted.entry(service.clone()).or_default();
        accepted.push((instance.clone(), role));
        accepted.clone()
    }
}

impl Relay {
    pub(in crate::relay) fn review_roles(&mut self) {
        self.timers
            .set(self.now + REVIEW_INTERVAL, RelayTimer::ReviewRoles);
        self.decay_usage();
        let Some(token) = self.lease.order_token(self.now) else {
            return;
        };
        if self.now < self.roles.pause_until {
            return;
        }
        let Some(routes) = self.routes.clone() else {
            return;
        };
        let services = routes.services.keys();
        for service in services {
            let Some((role, instances)) = self.plan_role_change(service) else {
                continue;
            };
            self.roles.begin_orders(service);
            for instance in instances {
                self.order_role(service, instance, role, token);
            }
            return;
        }
    }

    fn decay_usage(&mut self) {
        let left = 1.0 - REVIEW_INTERVAL.as_secs_f64() / USAGE_DECAY_TIME.as_secs_f64();
        for usage in self.roles.by_service.values_mut() {
            usage.prefill_s *= left;
            usage.decode_token_s *= left;
            usage.ended_tokens *= left;
        }
    }

    /// Returns the recent usage of a service by ended streams, plus the expected usage of the streams in progress.
    fn recent_usage(&self, service: &Name) -> EngineUsage {
        let usage = self.roles.by_service.get(service);
        let mut usage = usage.copied().unwrap_or_default();
        let mean_decode = usage.mean_decode();
        let calls = self.calls.values().filter(|call| call.service == *service);
        for call in calls {
            if let (Some(began_at), Some(allocation)) = (call.stream_began_at, &call.allocation) {
                usage.observed_since = Some(
                    usage
                        .observed_since
                        .map_or(began_at, |since| since.min(began_at)),
                );
                usage.add(StreamUsage {
                    prefill: call.prefill_work,
                    memory_tokens: allocation.tokens,
                    decode: mean_decode.max(self.now.saturating_sub(began_at)),
                });
            }
        }
        usage
    }

    /// Returns the engines of a service that should change their role, and their new role; none if none should.
    fn plan_role_change(&self, service: &Name) -> Option<(Role, Vec<Name>)> {
        let usage = self.recent_usage(service);
        let engine = self.routes.as_ref()?.engine(service)?;
        let prefill_engines = self.endpoints.in_role(service, Role::Prefill).count();
        let decode_engines = self.endpoints.in_role(service, Role::Decode).count();
        let engines = prefill_engines + decode_engines;
        let is_settled = usage
            .observed_since
            .is_some_and(|since| self.now >= since + MIN_OBSERVATION_TIME);
        if engines < 2 || usage.streams < MIN_STREAMS || !is_settled {
            return None;
        }
        let required_prefill_s = usage.prefill_s * PREFILL_HEADROOM;
        let decode_s = usage.decode_token_s / engine.memory_tokens.max(1) as f64;
        let prefill_fraction =
            required_prefill_s / (required_prefill_s + decode_s).max(f64::MIN_POSITIVE);
        let target = (prefill_fraction * engines as f64).clamp(1.0, engines as f64 - 1.0);
        let prefill_surplus = prefill_engines as f64 - target;
        let tolerated = target * TOLERANCE;
        let (from, to) = if prefill_surplus >= MIN_SURPLUS_ENGINES.max(tolerated)
            && prefill_engines > 1
        {
            (Role::Prefill, Role::Decode)
        } else if -prefill_surplus >= MIN_SHORTAGE_ENGINES.max(tolerated) && decode_engines > 1 {
            (Role::Decode, Role::Prefill)
        } else {
            return None;
        };
        let max_changes = engines as f64 * MAX_CHANGED_FRACTION;
        let change_count = prefill_surplus.abs().min(max_changes).floor().max(1.0) as usize;
        Some((to, self.least_loaded(service, from, change_count)))
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

    fn order_role(&mut self, service: &Name, instance: Name, role: Role, token: u64) {
        let Some(endpoint) = self.endpoints.get(&instance) else {
            return;
        };
        let address = endpoint.listed.address;
        let routes = self.routes.as_ref();
        let engine = routes.and_then(|routes| routes.engine(service));
        let role_change_time = engine.map_or(Duration::ZERO, |engine| engine.role_change_time);
        self.roles.pause_until = self.now + role_change_time + PAUSE_AFTER_ROLE_CHANGE;
        if let Some(endpoint) = self.endpoints.get_mut(&instance) {
            endpoint.set_unavailable_until(self.now + role_change_time);
        }
        self.note(RelayNotice::RoleOrdered {
            instance: instance.clone(),
            role: role_name(role),
            token,
        });
        self.take_limit_tokens(&instance, ORDER_REQUESTS);
        let order = (instance.clone(), role, service.clone());
        self.roles.ordered.push(order);
        self.effects.push(RelayEffect::OrderRole {
            instance,
            address,
            role,
            token,
        });
    }

    pub(in crate::relay) fn on_role_outcome(&mut self, instance: Name, outcome: RoleOutcome) {
        match outcome {
            RoleOutcome::Accepted => self.on_role_change_accepted(&instance),
            RoleOutcome::StaleToken => self.lease.on_token_refused(),
            RoleOutcome::Refused | RoleOutcome::Unknown => {}
        }
        self.roles.take_ordered(&instance);
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
