//! Limit of the plain requests that this VM sends to one service, from how the endpoints answer.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::quota::TokenBucket;

/// Time within which two endpoints must reject a request for the service to count as full: one endpoint alone may have failed.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(1);

/// Time after the last rejection or late answer at which a limit is lifted.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Longest time after the last rejection for which a limit lasts: a service that is always slow must not stay limited.
const MAX_LIMITED_TIME: Duration = Duration::from_secs(10);

/// Decay time of the count of recent answers.
const RATE_DECAY_TIME: Duration = Duration::from_secs(2);

/// Lowest rate of a limit, in requests a second.
const MIN_RATE_PER_S: f64 = 0.5;

/// Most requests that may be sent at once.
const BURST: f64 = 2.0;

/// Factor of the rate at a rejection.
const REJECTION_FACTOR: f64 = 0.7;

/// Shortest time between a reduction of the rate and the next one by a rejection.
const REJECTION_INTERVAL: Duration = Duration::from_millis(500);

/// Factor of the rate at a late answer.
const LATE_FACTOR: f64 = 0.85;

/// Shortest time between a reduction of the rate and the next one by a late answer.
const LATE_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the target above which an answer is late.
const LATE_FRACTION: f64 = 250.0 / 300.0;

/// Least growth of the rate in each second, in requests a second.
const GROWTH_PER_S: f64 = 0.4;

/// Growth of the rate in each second as a fraction of it, if that is more than [`GROWTH_PER_S`].
const GROWTH_FRACTION: f64 = 0.12;

/// Most requests in flight, as a multiple of the limit's rate times the target.
const IN_FLIGHT_FACTOR: f64 = 2.0;

/// Lower limit of that number.
const MIN_IN_FLIGHT: f64 = 2.0;

/// Weight of the newest answer in the mean time of answers.
const MEAN_WEIGHT: f64 = 0.2;

/// Limiter of one service: without a limit until endpoints reject requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceLimiter {
    /// Number of answers, each weighted by exp(-age / [`RATE_DECAY_TIME`]), at `answered_at`.
    recent_answers: f64,
    answered_at: Duration,
    mean_answer_time: Duration,
    /// Newest rejection while there is no limit: its endpoint and its instant.
    last_rejection: Option<(Name, Duration)>,
    limit: Option<Limit>,
}

/// Limit in force.
#[derive(Debug, Clone)]
struct Limit {
    /// Invariant: at least [`MIN_RATE_PER_S`].
    per_s: f64,
    tokens: TokenBucket,
    grown_at: Duration,
    began_at: Duration,
    rejected_at: Duration,
    /// Last rejection, or late answer that lowered the rate.
    troubled_at: Duration,
    lowered_at: Duration,
}

impl ServiceLimiter {
    /// Records the answer of an endpoint.
    pub(crate) fn on_answered(&mut self, took: Duration, target: Duration, now: Duration) {
        self.recent_answers = self.recent_answers_at(now) + 1.0;
        self.answered_at = now;
        self.mean_answer_time = if self.mean_answer_time.is_zero() {
            took
        } else {
            self.mean_answer_time.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT)
        };
        self.advance(now);
        if took > target.mul_f64(LATE_FRACTION)
            && let Some(limit) = &mut self.limit
            && now >= limit.lowered_at + LATE_INTERVAL
        {
            limit.lower(LATE_FACTOR, now);
            limit.troubled_at = now;
        }
    }

    /// Records that an endpoint reset a connection. This begins no limit, because the endpoint may have crashed.
    pub(crate) fn on_reset(&mut self, now: Duration) {
        self.advance(now);
        if let Some(limit) = &mut self.limit {
            limit.on_rejected(now);
        }
    }

    /// Records that an endpoint rejected a request; `is_enough` if no second endpoint has to confirm it. Returns whether this
    /// begins a limit.
    pub(crate) fn on_rejected(&mut self, instance: &Name, is_enough: bool, now: Duration) -> bool {
        self.advance(now);
        if let Some(limit) = &mut self.limit {
            limit.on_rejected(now);
            return false;
        }
        let last = self.last_rejection.replace((instance.clone(), now));
        let is_confirmed =
            last.is_some_and(|(other, at)| other != *instance && now <= at + EVIDENCE_WINDOW);
        if !is_enough && !is_confirmed {
            return false;
        }
        let answers_per_s = self.recent_answers_at(now) / RATE_DECAY_TIME.as_secs_f64();
        self.last_rejection = None;
        self.limit = Some(Limit {
            per_s: (answers_per_s * REJECTION_FACTOR).max(MIN_RATE_PER_S),
            tokens: TokenBucket::new(0.0, now),
            grown_at: now,
            began_at: now,
            rejected_at: now,
            troubled_at: now,
            lowered_at: now,
        });
        true
    }

    /// Adds tokens, lets the rate grow and lifts the limit when it is due; returns how long it lasted if it was lifted.
    pub(crate) fn advance(&mut self, now: Duration) -> Option<Duration> {
        let limit = self.limit.as_mut()?;
        limit.grow(now);
        if now < limit.lifts_at() {
            return None;
        }
        let lasted = now.saturating_sub(limit.began_at);
        self.limit = None;
        Some(lasted)
    }

    /// Returns the rate of the limit in requests a second; none without a limit.
    pub(crate) fn rate_per_s(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.per_s)
    }

    /// Returns when the limit is lifted if no further request is rejected or late.
    pub(crate) fn lifts_at(&self) -> Option<Duration> {
        self.limit.as_ref().map(Limit::lifts_at)
    }

    /// Returns whether a request may be sent now with `in_flight` others, as of the last advance.
    pub(crate) fn allows(&self, in_flight: u32, target: Duration) -> bool {
        self.limit.as_ref().is_none_or(|limit| {
            let most = limit.per_s * target.as_secs_f64() * IN_FLIGHT_FACTOR;
            let has_room = f64::from(in_flight) < most.max(MIN_IN_FLIGHT).ceil();
            has_room && limit.wait_for(1).is_zero()
        })
    }

    /// Takes the token of a request that is sent.
    pub(crate) fn take_token(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.tokens.take(1.0);
        }
    }

    /// Returns the time from the last advance until `count` requests may have been sent.
    pub(crate) fn wait_for(&self, count: usize) -> Duration {
        let limit = self.limit.as_ref();
        limit.map_or(Duration::ZERO, |limit| limit.wait_for(count))
    }

    /// Returns the mean time of recent answers.
    pub(crate) fn mean_answer_time(&self) -> Duration {
        self.mean_answer_time
    }

    fn recent_answers_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.answered_at);
        let elapsed_ratio = elapsed.as_secs_f64() / RATE_DECAY_TIME.as_secs_f64();
        self.recent_answers * (-elapsed_ratio).exp()
    }
}

impl Limit {
    fn grow(&mut self, now: Duration) {
        self.tokens.refill(self.per_s, BURST, now);
        let elapsed_s = now.saturating_sub(self.grown_at).as_secs_f64();
        self.per_s += elapsed_s * GROWTH_PER_S.max(self.per_s * GROWTH_FRACTION);
        self.grown_at = now;
    }

    fn lower(&mut self, factor: f64, now: Duration) {
        self.per_s = (self.per_s * factor).max(MIN_RATE_PER_S);
        self.lowered_at = now;
    }

    fn on_rejected(&mut self, now: Duration) {
        self.rejected_at = now;
        self.troubled_at = now;
        if now >= self.lowered_at + REJECTION_INTERVAL {
            self.lower(REJECTION_FACTOR, now);
        }
    }

    fn lifts_at(&self) -> Duration {
        (self.troubled_at + QUIET_TIME).min(self.rejected_at + MAX_LIMITED_TIME)
    }

    fn wait_for(&self, count: usize) -> Duration {
        self.tokens.time_until(count as f64, self.per_s)
    }
}
