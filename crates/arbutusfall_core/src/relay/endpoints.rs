//! Endpoints that the platform lists, with this VM's measurements of each.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::placement::Health;
use crate::relay::EndpointListChange;
use crate::relay::ListedEndpoint;
use crate::relay::RelayNotice;
use crate::relay::call::Call;
use crate::relay::notice::millis;

/// Grace period after the list could be read again in which removals from it are delayed: endpoints whose entries
/// expired during the outage are listed again within it.
pub const LIST_RECOVERY_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which an instance that was listed as leaving is remembered; the platform's copies are some seconds old.
const LEAVING_LIFETIME: Duration = Duration::from_secs(60);

/// Weight of the newest sample in a running mean.
const NEWEST_WEIGHT: f64 = 0.2;

/// Fraction by which an engine's best prefill rate decays with each prefill.
const BEST_RATE_DECAY: f64 = 0.02;

/// Initial limit of a VM's prefills in flight at an engine, before their queueing time is known.
const INITIAL_PREFILL_LIMIT: f64 = 2.0;

/// Maximum number of a VM's prefills in flight at an engine.
const MAX_PREFILL_LIMIT: f64 = 8.0;

/// Queueing time of a prefill above which the limit is lowered.
const LONG_PREFILL_WAIT: Duration = Duration::from_millis(300);

/// Factor of the limit after a prefill that queued for long.
const PREFILL_LIMIT_DECREASE_FACTOR: f64 = 0.5;

/// Increase of the limit after a prefill that did not queue for long.
const PREFILL_LIMIT_INCREASE: f64 = 0.2;

/// Time constant of the exponential decay of an observed queueing time.
const PREFILL_WAIT_DECAY_TIME: Duration = Duration::from_millis(2_000);

/// Time for which an engine is avoided after it refused a request for which it had reserved memory: it is most likely
/// changing its role, which takes seconds. Doubles with each further refusal.
const DECODE_REFUSAL_BACKOFF: Duration = Duration::from_millis(2_000);

/// Upper limit of [`DECODE_REFUSAL_BACKOFF`] when doubled.
const MAX_DECODE_REFUSAL_BACKOFF: Duration = Duration::from_millis(8_000);

/// A prefill engine counts as failed after the decodes of this many of its results in a row were refused.
const MAX_SUSPECTED_LOSSES: u32 = 2;

/// Relative extra cost of an endpoint that always fails.
const FAILURE_COST_FACTOR: f64 = 12.0;

/// Prefill rate assumed for an engine before its first prefill, in prompt tokens per millisecond.
const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 40.0;

/// A listed endpoint with this VM's load on it and observations of it.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) listed: ListedEndpoint,
    pub(crate) health: Health,
    /// This VM's exchanges in flight.
    pub(crate) in_flight: u32,
    /// Engine memory allocated to this VM's requests, in tokens.
    pub(crate) allocated_tokens: u64,
    /// Expected completion of this VM's prefills at the engine.
    pub(crate) prefills_done_at: Duration,
    /// Running mean of the time to an answer or to a stream's first event; none before the first.
    latency: Option<Duration>,
    /// Running mean of the fraction of failures.
    failure_fraction: f64,
    /// Estimated prefill rate without queueing, in prompt tokens per millisecond.
    prefill_tokens_per_ms: f64,
    /// Queueing time of the last prefill.
    prefill_wait: Duration,
    /// Instant at which `prefill_wait` was observed.
    prefill_wait_observed_at: Duration,
    /// Limit of this VM's prefills in flight, because other VMs use the engine too.
    ///
    /// Invariant: between 1 and [`MAX_PREFILL_LIMIT`].
    prefill_limit: f64,
    /// Instant until which the endpoint is assumed to refuse requests: it is full or is changing its role.
    unavailable_until: Duration,
    /// Whether this VM has released memory at the engine since the engine last refused.
    has_released_memory: bool,
    /// Instant until which the engine is avoided because it refused a decode with a reservation.
    decode_backoff_until: Duration,
    /// Consecutive refusals of decodes with a reservation.
    decode_refusals: u32,
    /// Number of the engine's consecutive prefill results whose decode was refused.
    suspected_losses: u32,
    /// Instant from which the endpoint may be removed; none while it is listed.
    remove_at: Option<Duration>,
}

impl Endpoint {
    fn new(listed: ListedEndpoint) -> Self {
        Self {
            listed,
            health: Health::default(),
            in_flight: 0,
            allocated_tokens: 0,
            prefills_done_at: Duration::ZERO,
            latency: None,
            failure_fraction: 0.0,
            prefill_tokens_per_ms: INITIAL_PREFILL_TOKENS_PER_MS,
            prefill_wait: Duration::ZERO,
            prefill_wait_observed_at: Duration::ZERO,
            prefill_limit: INITIAL_PREFILL_LIMIT,
            unavailable_until: Duration::ZERO,
            has_released_memory: false,
            decode_backoff_until: Duration::ZERO,
            decode_refusals: 0,
            suspected_losses: 0,
            remove_at: None,
        }
    }

    /// Returns the instant from which a request may be sent to the endpoint: `unavailable_until` plus the `delay`, or
    /// without a `delay` immediately if this VM has released memory there since the refusal. Never before
    /// `decode_backoff_until`.
    pub(crate) fn available_at(&self, delay: Option<Duration>) -> Duration {
        let retry_at = match delay {
            Some(delay) => self.unavailable_until + delay,
            None if self.has_released_memory => Duration::ZERO,
            None => self.unavailable_until,
        };
        retry_at.max(self.decode_backoff_until)
    }

    /// Records that the engine refused a decode for which it had reserved memory; returns a notice to log.
    pub(crate) fn on_decode_refused(&mut self, now: Duration) -> RelayNotice {
        let backoff = DECODE_REFUSAL_BACKOFF * (1 << self.decode_refusals.min(8));
        let avoided = backoff.min(MAX_DECODE_REFUSAL_BACKOFF);
        self.decode_backoff_until = now + avoided;
        self.decode_refusals += 1;
        RelayNotice::EngineRefusing {
            instance: self.listed.instance.clone(),
            refusals: self.decode_refusals,
            avoided_ms: millis(avoided),
        }
    }

    /// Resets the backoff after refused decodes, because the engine started a stream.
    pub(crate) fn on_stream_began(&mut self) {
        self.decode_backoff_until = Duration::ZERO;
        self.decode_refusals = 0;
    }

    /// Records that a decode engine fetched a prefill result from this engine.
    pub(crate) fn on_result_fetched(&mut self) {
        self.health.on_success();
        self.suspected_losses = 0;
    }

    /// Records that a decode engine refused a request whose prefill result is at this engine: the result may be lost.
    pub(crate) fn on_suspected_loss(&mut self, now: Duration) {
        self.suspected_losses += 1;
        if self.suspected_losses >= MAX_SUSPECTED_LOSSES {
            self.health.on_failure(now);
        }
    }

    /// Marks the endpoint as full or changing its role until an instant.
    pub(crate) fn set_unavailable_until(&mut self, instant: Duration) {
        self.unavailable_until = instant;
        self.has_released_memory = false;
    }

    /// Records that this VM released memory at the engine.
    pub(crate) fn on_memory_released(&mut self) {
        self.has_released_memory = true;
    }

    /// Returns the cost of one more request: expected latency times requests in flight, in seconds, increased by
    /// failures.
    pub(crate) fn load_cost(&self, unknown_latency: Duration) -> f64 {
        let latency = self.latency.unwrap_or(unknown_latency).as_secs_f64();
        let load = f64::from(self.in_flight + 1);
        load * latency * (1.0 + FAILURE_COST_FACTOR * self.failure_fraction)
    }

    pub(crate) fn on_answered(&mut self, after: Duration) {
        self.health.on_success();
        self.failure_fraction *= 1.0 - NEWEST_WEIGHT;
        let mean = self.latency.unwrap_or(after);
        self.latency = Some(mean.mul_f64(1.0 - NEWEST_WEIGHT) + after.mul_f64(NEWEST_WEIGHT));
    }

    pub(crate) fn raise_failure_fraction(&mut self) {
        self.failure_fraction += (1.0 - self.failure_fraction) * NEWEST_WEIGHT;
    }

    /// Records a completed prefill of this VM: updates the rate, the queueing time and the limit of prefills in flight.
    pub(crate) fn on_prefilled(&mut self, tokens: u32, after: Duration, now: Duration) {
        if self.suspected_losses == 0 {
            self.health.on_success();
        }
        let rate = f64::from(tokens) / (after.as_secs_f64() * 1_000.0).max(1.0);
        // The best rate is that of the engine itself; lower rates include queueing.
        let faded = self.prefill_tokens_per_ms * (1.0 - BEST_RATE_DECAY);
        self.prefill_tokens_per_ms = rate.max(faded);
        self.prefill_wait = after.saturating_sub(self.prefill_time(tokens));
        self.prefill_wait_observed_at = now;
        self.prefill_limit = if self.prefill_wait > LONG_PREFILL_WAIT {
            (self.prefill_limit * PREFILL_LIMIT_DECREASE_FACTOR).max(1.0)
        } else {
            (self.prefill_limit + PREFILL_LIMIT_INCREASE).min(MAX_PREFILL_LIMIT)
        };
    }

    /// Returns whether this VM may have one more prefill in flight at the engine.
    pub(crate) fn may_prefill(&self) -> bool {
        f64::from(self.in_flight) < self.prefill_limit.floor()
    }

    /// Returns the expected queueing time of a prefill: behind this VM's own prefills, or as recently observed if that
    /// is longer, because other VMs queue prefills too.
    pub(crate) fn expected_prefill_wait(&self, now: Duration) -> Duration {
        let own = self.prefills_done_at.saturating_sub(now);
        let age = now
            .saturating_sub(self.prefill_wait_observed_at)
            .as_secs_f64();
        let seen = self
            .prefill_wait
            .mul_f64((-age / PREFILL_WAIT_DECAY_TIME.as_secs_f64()).exp());
        own.max(seen)
    }

    /// Returns the time to prefill `tokens` without queueing.
    pub(crate) fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_ms.max(0.1) / 1_000.0)
    }
}

/// Endpoints by instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Endpoints {
    by_instance: BTreeMap<Name, Endpoint>,
    /// Instant until which removals are delayed after the list could be read again.
    removals_delayed_until: Duration,
    /// Instances that were listed as leaving, also after their removal. An endpoint that leaves never becomes ready again, but
    /// a store that returned from an older copy may say so.
    leaving: BTreeMap<Name, LeavingInstance>,
}

/// An instance that was listed as leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeavingInstance {
    started_unix_ms: Option<u64>,
    listed_at: Duration,
}

impl Endpoints {
    pub(crate) fn get_mut(&mut self, instance: &Name) -> Option<&mut Endpoint> {
        self.by_instance.get_mut(instance)
    }

    pub(crate) fn get(&self, instance: &Name) -> Option<&Endpoint> {
        self.by_instance.get(instance)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Returns the endpoints of a service and role that take new work.
    pub(crate) fn serving<'a>(
        &'a self,
        service: &'a Name,
        role: Role,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.by_instance.values().filter(move |endpoint| {
            let listed = &endpoint.listed;
            listed.service == *service && listed.role == role && !listed.is_leaving
        })
    }

    /// Returns the endpoints that take new work of a call in this role. Prefill engines of any version serve a stream of
    /// any other: only the version that decodes writes events.
    pub(crate) fn serving_call<'a>(
        &'a self,
        call: &'a Call,
        role: Role,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let version = call.version_for(role);
        self.serving(&call.service, role).filter(move |endpoint| {
            version.is_none_or(|version| endpoint.listed.version == *version)
        })
    }

    /// Returns service and version of every endpoint.
    pub(crate) fn versions(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.by_instance
            .values()
            .map(|endpoint| (&endpoint.listed.service, &endpoint.listed.version))
    }

    /// Delays removals, so that endpoints whose entries expired while the list could not be read can be listed again.
    pub(crate) fn on_list_recovered(&mut self, now: Duration) {
        self.removals_delayed_until = now + LIST_RECOVERY_GRACE;
    }

    /// Instant until which removals are delayed after the list could be read again.
    pub(crate) fn removals_delayed_until(&self) -> Duration {
        self.removals_delayed_until
    }

    /// Applies changes of the list; returns notices to log.
    pub(crate) fn apply(
        &mut self,
        changes: Vec<EndpointListChange>,
        now: Duration,
    ) -> Vec<RelayNotice> {
        let mut notices = Vec::new();
        for change in changes {
            match change {
                EndpointListChange::Listed(listed) => {
                    let listed = self.with_known_leaving(listed, now);
                    notices.extend(self.add_or_update(listed));
                }
                EndpointListChange::Removed { instance } => self.mark_unlisted(&instance, now),
                EndpointListChange::FullList(instances) => {
                    let all: Vec<Name> = self.by_instance.keys().cloned().collect();
                    for instance in all {
                        if !instances.contains(&instance) {
                            self.mark_unlisted(&instance, now);
                        }
                    }
                }
            }
        }
        notices.extend(self.remove_unlisted(now));
        notices
    }

    /// Returns the entry as leaving if this run of the endpoint's process was listed as leaving before.
    fn with_known_leaving(&mut self, mut listed: ListedEndpoint, now: Duration) -> ListedEndpoint {
        self.leaving
            .retain(|_, leaving| now < leaving.listed_at + LEAVING_LIFETIME);
        if listed.is_leaving {
            let leaving = LeavingInstance {
                started_unix_ms: listed.started_unix_ms,
                listed_at: now,
            };
            self.leaving.insert(listed.instance.clone(), leaving);
            return listed;
        }
        let known = self.leaving.get(&listed.instance);
        listed.is_leaving = known.is_some_and(|known| {
            known.started_unix_ms.is_some() && known.started_unix_ms == listed.started_unix_ms
        });
        listed
    }

    fn add_or_update(&mut self, listed: ListedEndpoint) -> Option<RelayNotice> {
        let notice = RelayNotice::EndpointListed {
            instance: listed.instance.clone(),
            service: listed.service.clone(),
            version: listed.version.clone(),
            is_leaving: listed.is_leaving,
        };
        let Some(existing) = self.by_instance.get_mut(&listed.instance) else {
            let instance = listed.instance.clone();
            self.by_instance.insert(instance, Endpoint::new(listed));
            return Some(notice);
        };
        existing.remove_at = None;
        let has_restarted = existing.listed.started_unix_ms != listed.started_unix_ms;
        let must_reset = has_restarted || existing.listed.address != listed.address;
        let is_changed = must_reset
            || existing.listed.is_leaving != listed.is_leaving
            || existing.listed.version != listed.version
            || existing.listed.role != listed.role;
        if must_reset {
            *existing = Endpoint::new(listed);
        } else {
            existing.listed = listed;
        }
        is_changed.then_some(notice)
    }

    fn mark_unlisted(&mut self, instance: &Name, now: Duration) {
        if let Some(endpoint) = self.by_instance.get_mut(instance) {
            endpoint
                .remove_at
                .get_or_insert(self.removals_delayed_until.max(now));
        }
    }

    /// Removes unlisted endpoints whose removal is due; returns notices to log.
    pub(crate) fn remove_unlisted(&mut self, now: Duration) -> Vec<RelayNotice> {
        let mut notices = Vec::new();
        self.by_instance.retain(|instance, endpoint| {
            let is_gone = endpoint.remove_at.is_some_and(|remove_at| now >= remove_at);
            if is_gone {
                notices.push(RelayNotice::EndpointGone {
                    instance: instance.clone(),
                });
            }
            !is_gone
        });
        notices
    }

    /// Records a failure of the endpoint; returns a notice to log if the endpoint is avoided from now on.
    pub(crate) fn on_failed(&mut self, instance: &Name, now: Duration) -> Option<RelayNotice> {
        let endpoint = self.by_instance.get_mut(instance)?;
        endpoint.raise_failure_fraction();
        endpoint.health.on_failure(now);
        let avoided = endpoint.health.avoided_for(now)?;
        Some(RelayNotice::EndpointAvoided {
            instance: instance.clone(),
            avoided_ms: millis(avoided),
        })
    }
}
