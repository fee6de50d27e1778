//! What a VM has of one account: leased tokens and the requests that wait for some.

use std::collections::VecDeque;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::placement::RetrySchedule;
use crate::relay::AccountQuota;
use crate::relay::quota::emergency::Emergency;

/// Time constant of the exponential decay of the demand.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(2);

/// Time after the newest answer of a VM that does not own the account for which an owner is expected: VMs are asked several times in it.
const OWNER_EXPECTED_TIME: Duration = Duration::from_millis(500);

/// Tolerance for sums of fractions, in units of the quota.
const TOLERANCE: f64 = 1e-6;

/// Leased tokens.
#[derive(Debug, Clone, Copy)]
struct Lease {
    tokens: f64,
    until: Duration,
}

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingCall {
    pub(super) call: CallId,
    pub(super) cost: f64,
    pub(super) arrived_at: Duration,
    /// When it is refused at the latest if an owner was known on its arrival or none is expected.
    pub(super) until: Duration,
    /// When it is refused at the latest otherwise.
    pub(super) owner_until: Duration,
}

/// Requests of late, each weighted by exp(-age / [`DEMAND_DECAY_TIME`]).
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    requests: f64,
    tokens: f64,
    at: Duration,
}

impl Demand {
    fn on_request(&mut self, cost: f64, now: Duration) {
        let age = now.saturating_sub(self.at);
        let left = (-age.as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64()).exp();
        self.requests = self.requests * left + 1.0;
        self.tokens = self.tokens * left + cost;
        self.at = now;
    }

    /// Returns the tokens of the whole requests that are expected in a span.
    fn expected(&self, span: Duration) -> f64 {
        let expected = self.requests * span.as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64();
        expected.floor() * self.tokens / self.requests.max(f64::MIN_POSITIVE)
    }
}

/// Leased tokens and waiting requests of one account.
#[derive(Debug, Clone)]
pub(super) struct AccountLeases {
    pub(super) quota: AccountQuota,
    /// VMs that rank first for the account, by the list of VMs of `list_version`.
    pub(super) ranked: Vec<Name>,
    pub(super) list_version: u64,
    leases: VecDeque<Lease>,
    pub(super) waiting: VecDeque<WaitingCall>,
    demand: Demand,
    /// Until when the owner has no more tokens.
    pub(super) refused_until: Duration,
    /// Whether the newest answer came from an owner.
    pub(super) is_owner_known: bool,
    /// Since when an owner is known, or was last.
    owner_since: Duration,
    /// When another VM last answered that it does not own the account; none since an owner answered.
    unowned_at: Option<Duration>,
    /// Earliest instant of the next question.
    pub(super) ask_at: Duration,
    /// Whether a question is in progress.
    pub(super) is_asked: bool,
    /// VMs that do not grant tokens of the account, and until when they are not asked.
    pub(super) declined: Vec<(Name, Duration)>,
    /// VM that granted tokens last, and until when it is asked first.
    pub(super) owner: Option<(Name, Duration)>,
    pub(super) emergency: Emergency,
    pub(super) retry_schedule: RetrySchedule,
    /// Newest request.
    pub(super) used_at: Duration,
}

impl AccountLeases {
    pub(super) fn new(quota: AccountQuota) -> Self {
        Self {
            quota,
            ranked: Vec::new(),
            list_version: 0,
            leases: VecDeque::new(),
            waiting: VecDeque::new(),
            demand: Demand::default(),
            refused_until: Duration::ZERO,
            is_owner_known: false,
            owner_since: Duration::ZERO,
            unowned_at: None,
            ask_at: Duration::ZERO,
            is_asked: false,
            declined: Vec::new(),
            owner: None,
            emergency: Emergency::default(),
            retry_schedule: RetrySchedule::default(),
            used_at: Duration::ZERO,
        }
    }

    pub(super) fn on_request(&mut self, cost: f64, now: Duration) {
        self.demand.on_request(cost, now);
        self.used_at = now;
    }

    /// Records that the owner has answered.
    pub(super) fn on_owner(&mut self, now: Duration) {
        if !std::mem::replace(&mut self.is_owner_known, true) {
            self.owner_since = now;
        }
        self.unowned_at = None;
    }

    /// Records that a VM does not own the account, or has not answered.
    pub(super) fn on_no_owner(&mut self, has_answered: bool, now: Duration) {
        self.is_owner_known = false;
        if has_answered {
            self.unowned_at = Some(now);
        }
    }

    /// Returns when a waiting request is refused at the latest now that the owner is known.
    pub(super) fn wait_until(&self, waiting: &WaitingCall) -> Duration {
        if waiting.arrived_at < self.owner_since {
            waiting.owner_until
        } else {
            waiting.until
        }
    }

    /// Returns whether an owner is expected soon: VMs answer, and none of them owns the account.
    pub(super) fn expects_owner(&self, now: Duration) -> bool {
        self.unowned_at
            .is_some_and(|at| now < at + OWNER_EXPECTED_TIME)
    }

    /// Returns the tokens of the waiting requests.
    pub(super) fn needed(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.cost).sum()
    }

    /// Returns the leased tokens that have not lapsed.
    pub(super) fn leased(&self, now: Duration) -> f64 {
        let valid = self.leases.iter().filter(|lease| now < lease.until);
        valid.map(|lease| lease.tokens).sum()
    }

    /// Returns the tokens of the requests that are expected in a span.
    pub(super) fn expected(&self, span: Duration) -> f64 {
        self.demand.expected(span)
    }

    /// Adds leased tokens.
    pub(super) fn add(&mut self, tokens: f64, until: Duration) {
        if tokens > 0.0 {
            self.leases.push_back(Lease { tokens, until });
        }
    }

    /// Uses leased tokens; returns until when they can be returned, or none if there are not enough.
    pub(super) fn take(&mut self, cost: f64, now: Duration) -> Option<Duration> {
        self.leases.retain(|lease| now < lease.until);
        let available: f64 = self.leases.iter().map(|lease| lease.tokens).sum();
        if available + TOLERANCE < cost {
            return None;
        }
        let mut left = cost;
        // Tokens of several leases can be returned until the first of these lapses.
        let until = self.leases.iter().map(|lease| lease.until).min();
        while let Some(lease) = self.leases.front_mut() {
            if left <= 0.0 {
                break;
            }
            let used = lease.tokens.min(left);
            lease.tokens -= used;
            left -= used;
            if lease.tokens <= TOLERANCE {
                self.leases.pop_front();
            }
        }
        self.retry_schedule.on_granted(now);
        Some(until.unwrap_or(now))
    }
}
