//! The endpoints that the platform lists, with what this VM learnt of each.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::placement::Health;
use crate::relay::DirectoryChange;
use crate::relay::ListedEndpoint;
use crate::relay::RelayNotice;
use crate::relay::notice::millis;

/// Time after the store's return for which a removal from the list is not believed: endpoints whose entries lapsed
/// meanwhile are listed again in that time.
const SETTLING: Duration = Duration::from_millis(2_500);

/// Weight of the newest sample in a running mean.
const NEWEST_WEIGHT: f64 = 0.2;

/// Share by which the best rate of an engine fades with each prefill.
const BEST_RATE_FADES: f64 = 0.02;

/// Prefills that a VM may have in progress at an engine before it saw how long they wait.
const INITIAL_PREFILLS: f64 = 2.0;

/// Most prefills that a VM may have in progress at an engine.
const MAX_PREFILLS: f64 = 8.0;

/// Wait of a prefill from which on fewer are sent.
const LONG_WAIT: Duration = Duration::from_millis(300);

/// Factor by which fewer prefills are allowed after a long wait.
const FEWER_PREFILLS: f64 = 0.5;

/// Prefills by which more are allowed after each that did not wait long.
const MORE_PREFILLS: f64 = 0.2;

/// Time over which a queue that was seen is forgotten.
const WAIT_FADES_OVER: Duration = Duration::from_millis(2_000);

/// Time for which an engine is left alone that refused a request for which it had reserved memory: it most likely changes
/// its role, which takes seconds. Doubles with each further refusal.
const FIRST_REFUSING: Duration = Duration::from_millis(2_000);

/// Longest time for which such an engine is left alone.
const MAX_REFUSING: Duration = Duration::from_millis(8_000);

/// Results in a row that decode engines could not fetch from a prefill engine before it counts as failed.
const LOST_RESULTS: u32 = 2;

/// How much more a request costs at an endpoint that always fails.
const FAILURE_COST: f64 = 12.0;

/// Prompt tokens that an engine is taken to prefill in a millisecond until it showed its rate.
const INITIAL_PREFILL_RATE: f64 = 40.0;

/// An endpoint as this VM sees it.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) listed: ListedEndpoint,
    pub(crate) health: Health,
    /// Exchanges of this VM that are in progress.
    pub(crate) in_flight: u32,
    /// Tokens of this VM's prompts and expected answers that the engine holds.
    pub(crate) booked_tokens: u64,
    /// Instant at which this VM's prefills at the engine are expected to be done.
    pub(crate) prefilled_at: Duration,
    /// Running mean of the time to an answer; none before the first.
    latency: Option<Duration>,
    /// Running mean of failures, 1 being all.
    failure_rate: f64,
    /// Prompt tokens that the engine prefills in a millisecond when nothing waits there.
    prefill_rate: f64,
    /// Time that the last prefill waited beyond its own work.
    prefill_wait: Duration,
    /// Instant at which that was seen.
    prefill_waited_at: Duration,
    /// Prefills that this VM may have in progress at the engine, as others use it too.
    ///
    /// Invariant: between 1 and [`MAX_PREFILLS`].
    max_own_prefills: f64,
    /// Instant until which the engine is taken to have no room.
    full_until: Duration,
    /// Whether a stream of this VM left the engine since it last refused.
    has_freed: bool,
    /// Instant until which the engine is taken to refuse requests although it reserves memory for them.
    refusing_until: Duration,
    /// Requests in a row that it refused although it had reserved memory.
    refusals: u32,
    /// Prefill results in a row that could not be fetched from it.
    lost_results: u32,
    /// Instant from which the endpoint counts as gone, if the list dropped it.
    gone_at: Option<Duration>,
}

impl Endpoint {
    fn new(listed: ListedEndpoint) -> Self {
        Self {
            listed,
            health: Health::default(),
            in_flight: 0,
            booked_tokens: 0,
            prefilled_at: Duration::ZERO,
            latency: None,
            failure_rate: 0.0,
            prefill_rate: INITIAL_PREFILL_RATE,
            prefill_wait: Duration::ZERO,
            prefill_waited_at: Duration::ZERO,
            max_own_prefills: INITIAL_PREFILLS,
            full_until: Duration::ZERO,
            has_freed: false,
            refusing_until: Duration::ZERO,
            refusals: 0,
            lost_results: 0,
            gone_at: None,
        }
    }

    /// Instant from which the engine may be asked for room. Requests with a delay ask so much later after a refusal, and
    /// leave to others what this VM's streams free.
    pub(crate) fn ask_at(&self, delay: Option<Duration>) -> Duration {
        let room_at = match delay {
            Some(delay) => self.full_until + delay,
            None if self.has_freed => Duration::ZERO,
            None => self.full_until,
        };
        room_at.max(self.refusing_until)
    }

    /// The engine refused a request for which it had reserved memory; returns what is worth a log line.
    pub(crate) fn on_reservation_refused(&mut self, now: Duration) -> RelayNotice {
        let refusing = FIRST_REFUSING * (1 << self.refusals.min(8));
        let avoided = refusing.min(MAX_REFUSING);
        self.refusing_until = now + avoided;
        self.refusals += 1;
        RelayNotice::EngineRefusing {
            instance: self.listed.instance.clone(),
            refusals: self.refusals,
            avoided_ms: millis(avoided),
        }
    }

    /// The engine began a stream.
    pub(crate) fn on_stream_began(&mut self) {
        self.refusing_until = Duration::ZERO;
        self.refusals = 0;
    }

    /// A decode engine fetched a prefill's result from the engine.
    pub(crate) fn on_result_fetched(&mut self) {
        self.health.on_success();
        self.lost_results = 0;
    }

    /// A decode engine refused a request with a prefill's result of the engine: the result may be lost.
    pub(crate) fn on_result_refused(&mut self, now: Duration) {
        self.lost_results += 1;
        if self.lost_results >= LOST_RESULTS {
            self.health.on_failure(now);
        }
    }

    /// The engine refused for want of room.
    pub(crate) fn set_full_until(&mut self, instant: Duration) {
        self.full_until = instant;
        self.has_freed = false;
    }

    /// A stream of this VM left the engine.
    pub(crate) fn on_freed(&mut self) {
        self.has_freed = true;
    }

    /// Relative cost of one more request: what it would wait, and how likely it fails.
    pub(crate) fn cost(&self, unknown_latency: Duration) -> f64 {
        let latency = self.latency.unwrap_or(unknown_latency).as_secs_f64();
        let load = f64::from(self.in_flight + 1);
        load * latency * (1.0 + FAILURE_COST * self.failure_rate)
    }

    pub(crate) fn on_answered(&mut self, after: Duration) {
        self.health.on_success();
        self.failure_rate *= 1.0 - NEWEST_WEIGHT;
        let mean = self.latency.unwrap_or(after);
        self.latency = Some(mean.mul_f64(1.0 - NEWEST_WEIGHT) + after.mul_f64(NEWEST_WEIGHT));
    }

    pub(crate) fn on_failed(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * NEWEST_WEIGHT;
    }

    /// A prefill of this VM is done.
    pub(crate) fn on_prefilled(&mut self, tokens: u32, after: Duration, now: Duration) {
        if self.lost_results == 0 {
            self.health.on_success();
        }
        let rate = f64::from(tokens) / (after.as_secs_f64() * 1_000.0).max(1.0);
        // The best rate is the engine's own; others tell of a queue.
        let faded = self.prefill_rate * (1.0 - BEST_RATE_FADES);
        self.prefill_rate = rate.max(faded);
        self.prefill_wait = after.saturating_sub(self.prefill_time(tokens));
        self.prefill_waited_at = now;
        self.max_own_prefills = if self.prefill_wait > LONG_WAIT {
            (self.max_own_prefills * FEWER_PREFILLS).max(1.0)
        } else {
            (self.max_own_prefills + MORE_PREFILLS).min(MAX_PREFILLS)
        };
    }

    /// Whether this VM may have one more prefill in progress at the engine.
    pub(crate) fn may_prefill(&self) -> bool {
        f64::from(self.in_flight) < self.max_own_prefills.floor()
    }

    /// Time that a prefill would wait: for this VM's own, or for what others have queued as far as it was seen lately.
    pub(crate) fn expected_prefill_wait(&self, now: Duration) -> Duration {
        let own = self.prefilled_at.saturating_sub(now);
        let age = now.saturating_sub(self.prefill_waited_at).as_secs_f64();
        let seen = self
            .prefill_wait
            .mul_f64((-age / WAIT_FADES_OVER.as_secs_f64()).exp());
        own.max(seen)
    }

    /// Time that the engine takes to prefill so many tokens.
    pub(crate) fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate.max(0.1) / 1_000.0)
    }
}

/// Endpoints by instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Endpoints {
    by_instance: BTreeMap<Name, Endpoint>,
    /// Instant until which removals are not believed.
    settled_at: Duration,
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

    /// Endpoints of a service in one role that may be given new work.
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

    /// The store answers again: lapsed entries have time to come back.
    pub(crate) fn on_store_returned(&mut self, now: Duration) {
        self.settled_at = now + SETTLING;
    }

    /// Instant until which removals are not believed.
    pub(crate) fn settled_at(&self) -> Duration {
        self.settled_at
    }

    /// Takes changes of the list in; returns what is worth a log line.
    pub(crate) fn apply(
        &mut self,
        changes: Vec<DirectoryChange>,
        now: Duration,
    ) -> Vec<RelayNotice> {
        let mut notices = Vec::new();
        for change in changes {
            match change {
                DirectoryChange::Listed(listed) => notices.extend(self.list(listed)),
                DirectoryChange::Removed { instance } => self.unlist(&instance, now),
                DirectoryChange::Only(instances) => {
                    let all: Vec<Name> = self.by_instance.keys().cloned().collect();
                    for instance in all {
                        if !instances.contains(&instance) {
                            self.unlist(&instance, now);
                        }
                    }
                }
            }
        }
        notices.extend(self.drop_gone(now));
        notices
    }

    fn list(&mut self, listed: ListedEndpoint) -> Option<RelayNotice> {
        let notice = RelayNotice::EndpointListed {
            instance: listed.instance.clone(),
            service: listed.service.clone(),
            is_leaving: listed.is_leaving,
        };
        let Some(known) = self.by_instance.get_mut(&listed.instance) else {
            let instance = listed.instance.clone();
            self.by_instance.insert(instance, Endpoint::new(listed));
            return Some(notice);
        };
        known.gone_at = None;
        let has_restarted = known.listed.started_unix_ms != listed.started_unix_ms;
        let is_new = has_restarted || known.listed.address != listed.address;
        let is_changed = is_new
            || known.listed.is_leaving != listed.is_leaving
            || known.listed.role != listed.role;
        if is_new {
            *known = Endpoint::new(listed);
        } else {
            known.listed = listed;
        }
        is_changed.then_some(notice)
    }

    fn unlist(&mut self, instance: &Name, now: Duration) {
        if let Some(endpoint) = self.by_instance.get_mut(instance) {
            endpoint.gone_at.get_or_insert(self.settled_at.max(now));
        }
    }

    /// Forgets endpoints that the list dropped.
    pub(crate) fn drop_gone(&mut self, now: Duration) -> Vec<RelayNotice> {
        let mut notices = Vec::new();
        self.by_instance.retain(|instance, endpoint| {
            let is_gone = endpoint.gone_at.is_some_and(|gone_at| now >= gone_at);
            if is_gone {
                notices.push(RelayNotice::EndpointGone {
                    instance: instance.clone(),
                });
            }
            !is_gone
        });
        notices
    }

    /// An exchange failed by the endpoint's fault; returns what is worth a log line.
    pub(crate) fn on_failed(&mut self, instance: &Name, now: Duration) -> Option<RelayNotice> {
        let endpoint = self.by_instance.get_mut(instance)?;
        endpoint.on_failed();
        endpoint.health.on_failure(now);
        let avoided = endpoint.health.avoided_for(now)?;
        Some(RelayNotice::EndpointAvoided {
            instance: instance.clone(),
            avoided_ms: millis(avoided),
        })
    }
}
