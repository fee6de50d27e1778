//! A listed endpoint with this VM's measurements of it.

use std::time::Duration;

use crate::config::Role;
use crate::placement::Health;
use crate::relay::ListedEndpoint;
use crate::relay::RelayNotice;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::MemoryAllocation;
use crate::relay::endpoints::event_intervals::EventIntervals;
use crate::relay::endpoints::reservation_times::ReservationTimes;
use crate::relay::endpoints::run_status::RunStatus;
use crate::relay::endpoints::slow_start::SlowStart;
use crate::relay::endpoints::unmarked_ends::UnmarkedEnds;
use crate::relay::notice::millis;

/// Weight of the newest sample in a running mean.
const NEWEST_WEIGHT: f64 = 0.2;

/// Fraction by which an engine's best prefill rate decays with each prefill.
const BEST_RATE_DECAY: f64 = 0.02;

/// Initial limit of a VM's prefills in flight at an engine, before their queueing time is known.
const INITIAL_PREFILL_LIMIT: f64 = 2.0;

/// Maximum number of a VM's prefills in flight at an engine.
const MAX_PREFILL_LIMIT: f64 = 8.0;

/// Shortest time of a prefill in the expected rate of prefills.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(1);

/// Time from the end of a refusal's effect in which an engine may still be full.
const FULL_TIME: Duration = Duration::from_secs(3);

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

/// Added to each latency in a cost: differences far below it are noise, and callers do not notice them.
const LATENCY_OFFSET: Duration = Duration::from_millis(5);

/// Time constant of the exponential decay of the trust in a mean latency after the endpoint's newest answer.
const LATENCY_DECAY_TIME: Duration = Duration::from_secs(1);

/// Time constant of the exponential decay of the fraction of failures while the endpoint gets no requests.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(5);

/// Relative extra cost of an endpoint that always fails.
const FAILURE_COST_FACTOR: f64 = 12.0;

/// Prefill rate assumed for an engine before its first prefill, in prompt tokens per millisecond.
const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 40.0;

/// Requests in progress from which the load of an endpoint has returned after a rest.
const RETURNED_REQUESTS: u32 = 32;

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
    /// When the newest of these answers came.
    answered_at: Duration,
    /// Running mean of the fraction of failures at `outcome_at`; decays with [`FAILURE_DECAY_TIME`].
    failure_fraction: f64,
    /// When the newest answer or failure came.
    outcome_at: Duration,
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
    /// Role that the engine is changing to, and the instant by which it has; none if no change is known.
    role_change: Option<(Role, Duration)>,
    /// Whether this VM has released memory at the engine since the engine last refused.
    has_released_memory: bool,
    /// Instant until which the engine is avoided because it refused a decode with a reservation.
    decode_backoff_until: Duration,
    /// Consecutive refusals of decodes with a reservation.
    decode_refusals: u32,
    /// Number of the engine's consecutive prefill results whose decode was refused.
    suspected_losses: u32,
    /// Answers that ended with their connections.
    pub(crate) unmarked_ends: UnmarkedEnds,
    /// End of the rest that the endpoint asked for; none if it does not rest.
    rest_until: Option<Duration>,
    /// When the endpoint last asked for a rest.
    rest_asked_at: Option<Duration>,
    /// Requests of this VM that it may have in progress while its load returns after a rest; none if any number.
    returning_limit: Option<u32>,
    /// Limit of its load while it starts or recovers from failures; none otherwise.
    pub(crate) slow_start: Option<SlowStart>,
    /// Time between the events of its streams.
    pub(crate) event_intervals: EventIntervals,
    /// Times of its answers to this VM's reservations.
    pub(crate) reservation_times: ReservationTimes,
    /// Whether its process is the listed one.
    pub(crate) run: RunStatus,
    /// Newest sign that its process runs.
    alive_at: Duration,
    /// When its entry was first read with its present role; none if it has had no other one.
    pub(crate) role_changed_at: Option<Duration>,
    /// Instant from which the endpoint may be removed; none while it is listed.
    pub(crate) remove_at: Option<Duration>,
}

/// Returns the start of the listed process, if the endpoint says so of itself too: plain endpoints are not asked.
fn stated_start(listed: &ListedEndpoint) -> Option<u64> {
    listed
        .started_unix_ms
        .filter(|_| listed.role != Role::Plain)
}

impl Endpoint {
    /// Creates an endpoint whose entry has been read at `now`.
    pub(crate) fn new(listed: ListedEndpoint, now: Duration) -> Self {
        Self {
            run: RunStatus::new(stated_start(&listed), now),
            listed,
            health: Health::default(),
            in_flight: 0,
            allocated_tokens: 0,
            prefills_done_at: Duration::ZERO,
            latency: None,
            answered_at: Duration::ZERO,
            failure_fraction: 0.0,
            outcome_at: Duration::ZERO,
            prefill_tokens_per_ms: INITIAL_PREFILL_TOKENS_PER_MS,
            prefill_wait: Duration::ZERO,
            prefill_wait_observed_at: Duration::ZERO,
            prefill_limit: INITIAL_PREFILL_LIMIT,
            unavailable_until: Duration::ZERO,
            role_change: None,
            has_released_memory: false,
            decode_backoff_until: Duration::ZERO,
            decode_refusals: 0,
            suspected_losses: 0,
            unmarked_ends: UnmarkedEnds::default(),
            rest_until: None,
            rest_asked_at: None,
            returning_limit: None,
            slow_start: None,
            event_intervals: EventIntervals::default(),
            reservation_times: ReservationTimes::default(),
            alive_at: Duration::ZERO,
            role_changed_at: None,
            remove_at: None,
        }
    }

    /// Returns whether the request of a call that this engine has granted memory may be sent to it now.
    pub(crate) fn may_use_grant(&self, allocation: &MemoryAllocation, call: &Call) -> bool {
        let is_same_run = self.listed.address == allocation.address
            && self.listed.started_unix_ms == allocation.started_unix_ms;
        is_same_run && !self.listed.is_leaving && !self.is_resting() && self.may_serve(call)
    }

    /// Returns whether the endpoint's software version is one that may answer a call; if that must be a given one, the endpoint's
    /// process must be known to be the listed one.
    pub(crate) fn may_serve(&self, call: &Call) -> bool {
        let required = call.version_for(self.listed.role);
        required.is_none_or(|required| self.listed.version == *required && self.run.is_listed())
    }

    /// Takes the entry of another process, or of the same one at another address.
    pub(crate) fn restart(&mut self, listed: ListedEndpoint, now: Duration) {
        let run = self.run.relisted(stated_start(&listed), now);
        // The process may have asked for rest before its entry was read.
        let rest_asked_at = self.rest_asked_at.filter(|at| run.is_known_at(*at));
        let rest_until = self.rest_until.filter(|_| rest_asked_at.is_some());
        *self = Self {
            run,
            role_changed_at: self.role_changed_at,
            rest_until,
            rest_asked_at,
            ..Self::new(listed, now)
        };
    }

    /// Records a sign that the endpoint's process runs.
    pub(crate) fn on_alive(&mut self, now: Duration) {
        self.alive_at = now;
    }

    /// Returns whether the endpoint has shown since an instant that its process runs.
    pub(crate) fn is_alive_since(&self, instant: Duration) -> bool {
        self.alive_at > instant
    }

    /// Makes the endpoint rest until an instant; returns false if it rests for longer already.
    pub(crate) fn rest_until(&mut self, until: Duration, now: Duration) -> bool {
        self.rest_asked_at = Some(now);
        let is_longer = self.rest_until.is_none_or(|known| known < until);
        if is_longer {
            self.rest_until = Some(until);
        }
        is_longer
    }

    /// Ends the endpoint's rest if it is due; returns whether it is.
    pub(crate) fn end_rest(&mut self, now: Duration) -> bool {
        let is_due = self.rest_until.is_some_and(|until| now >= until);
        if is_due {
            self.rest_until = None;
            self.returning_limit = Some(1);
        }
        is_due
    }

    pub(crate) fn is_resting(&self) -> bool {
        self.rest_until.is_some()
    }

    pub(crate) fn rest_end(&self) -> Option<Duration> {
        self.rest_until
    }

    /// Returns whether the endpoint may have one more request while its load returns after a rest.
    pub(crate) fn may_return(&self) -> bool {
        self.returning_limit
            .is_none_or(|limit| self.in_flight < limit)
    }

    /// Records that the endpoint took a request: twice as many may return to it.
    pub(crate) fn on_taken(&mut self) {
        let doubled = self.returning_limit.map(|limit| limit * 2);
        self.returning_limit = doubled.filter(|limit| *limit < RETURNED_REQUESTS);
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
        let role_changed_at = self.role_change.map_or(Duration::ZERO, |(_, until)| until);
        retry_at.max(self.decode_backoff_until).max(role_changed_at)
    }

    /// Records that the engine has accepted the order to change its role, which it does until an instant.
    pub(crate) fn on_role_change(&mut self, role: Role, until: Duration) {
        self.role_change = (self.listed.role != role).then_some((role, until));
    }

    /// Returns whether the engine changes its role, so that it refuses what it has not begun.
    pub(crate) fn is_changing_role(&self, now: Duration) -> bool {
        self.role_change.is_some_and(|(_, until)| now < until)
    }

    /// Takes over a new entry of the same process.
    pub(crate) fn update(&mut self, listed: ListedEndpoint) {
        self.role_change.take_if(|(role, _)| *role == listed.role);
        self.listed = listed;
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

    /// Begins slow start.
    pub(crate) fn begin_slow_start(&mut self, now: Duration) {
        self.slow_start = Some(SlowStart::new(now));
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
    ///
    /// The older the newest answer, the closer the expected latency is to that of the `fastest` endpoint, so that one that
    /// was slow is tried again.
    pub(crate) fn load_cost(&self, fastest: Duration, now: Duration) -> f64 {
        let latency = LATENCY_OFFSET.as_secs_f64() + self.expected_latency_s(fastest, now);
        let load = f64::from(self.in_flight + 1);
        load * latency * (1.0 + FAILURE_COST_FACTOR * self.decayed_failure_fraction(now))
    }

    /// Returns the expected latency in seconds.
    fn expected_latency_s(&self, fastest: Duration, now: Duration) -> f64 {
        let fastest = fastest.as_secs_f64();
        let mean = self.latency.map_or(fastest, |mean| mean.as_secs_f64());
        fastest + (mean - fastest) * self.latency_trust(now)
    }

    /// Returns the trust in the mean latency: 1 just after an answer, and less the older it is.
    fn latency_trust(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.answered_at);
        (-age.as_secs_f64() / LATENCY_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the running mean of the latency; none before the first answer.
    pub(crate) fn mean_latency(&self) -> Option<Duration> {
        self.latency
    }

    pub(crate) fn on_answered(&mut self, after: Duration, now: Duration) {
        self.health.on_success();
        self.failure_fraction = self.decayed_failure_fraction(now) * (1.0 - NEWEST_WEIGHT);
        self.outcome_at = now;
        let mean = self.latency.unwrap_or(after);
        let mean_weight = (1.0 - NEWEST_WEIGHT) * self.latency_trust(now);
        self.answered_at = now;
        self.latency = Some(mean.mul_f64(mean_weight) + after.mul_f64(1.0 - mean_weight));
    }

    pub(crate) fn raise_failure_fraction(&mut self, now: Duration) {
        let fraction = self.decayed_failure_fraction(now);
        self.failure_fraction = fraction + (1.0 - fraction) * NEWEST_WEIGHT;
        self.outcome_at = now;
    }

    fn decayed_failure_fraction(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.outcome_at);
        let decay = (-age.as_secs_f64() / FAILURE_DECAY_TIME.as_secs_f64()).exp();
        self.failure_fraction * decay
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

    /// Returns the queueing time of the last prefill.
    pub(crate) fn last_prefill_wait(&self) -> Duration {
        self.prefill_wait
    }

    /// Returns whether this VM may have one more prefill in flight at the engine.
    pub(crate) fn may_prefill(&self) -> bool {
        f64::from(self.in_flight) < self.prefill_limit.floor()
    }

    /// Returns the rate of this VM's prefills of `tokens` that the engine can be expected to complete, per second.
    pub(crate) fn prefills_per_s(&self, tokens: u32, now: Duration) -> f64 {
        let time = self.expected_prefill_wait(now) + self.prefill_time(tokens);
        self.prefill_limit.floor() / time.max(MIN_PREFILL_TIME).as_secs_f64()
    }

    /// Returns whether the engine has not been full of late.
    pub(crate) fn has_room(&self, now: Duration) -> bool {
        self.unavailable_until.is_zero() || now >= self.unavailable_until + FULL_TIME
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
