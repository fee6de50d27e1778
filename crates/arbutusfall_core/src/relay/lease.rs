//! The lease under which one VM at a time orders roles of engines.

use std::time::Duration;

use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;

/// Interval at which the lease is renewed, or asked for.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Part of the lease's lifetime after the last renewal in which its holder still acts.
const USED_SHARE: f64 = 0.5;

/// What the store answered when the lease was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// This VM holds the lease.
    Held {
        /// Grows whenever the holder may have changed; orders carry it as their fencing token.
        token: u64,
    },
    /// Another VM holds it.
    NotHeld {
        /// The group's newest generation.
        token: u64,
    },
    /// The store did not answer.
    Failed,
}

/// What this VM knows of the lease.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    lifetime: Duration,
    /// Newest generation that the store told.
    token: u64,
    /// Instant at which the renewal that is in progress was sent.
    asked_at: Duration,
    /// Instant from which this VM has held the lease without a gap.
    held_since: Option<Duration>,
    /// Instant until which the holder may act.
    valid_until: Duration,
    /// Token with which an order was refused for being old.
    refused_token: Option<u64>,
}

impl Lease {
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            token: 0,
            asked_at: Duration::ZERO,
            held_since: None,
            valid_until: Duration::ZERO,
            refused_token: None,
        }
    }

    /// The fencing token, if this VM may give orders now: it has held the lease for a lifetime, so that orders of an
    /// earlier holder are over, and renewed it lately.
    pub(crate) fn token(&self, now: Duration) -> Option<u64> {
        let held_since = self.held_since?;
        let is_settled = now >= held_since + self.lifetime;
        let is_valid = now < self.valid_until && self.refused_token != Some(self.token);
        (is_settled && is_valid).then_some(self.token)
    }

    /// An engine refused an order for its old token: no more orders under this token.
    pub(crate) fn on_refused(&mut self) {
        self.refused_token = Some(self.token);
    }
}

impl Relay {
    pub(super) fn on_lease_timer(&mut self) {
        if self.is_draining {
            return;
        }
        self.timers
            .set(self.now + RENEW_INTERVAL, RelayTimer::RenewLease);
        self.lease.asked_at = self.now;
        self.effects.push(RelayEffect::RenewLease {
            token: self.lease.token,
            lifetime: self.lease.lifetime,
        });
    }

    pub(super) fn on_lease(&mut self, answer: LeaseAnswer) {
        let had = self.lease.held_since.is_some();
        match answer {
            LeaseAnswer::Held { token } => {
                // Counted from the question, because the store may have counted from its arrival.
                let asked_at = self.lease.asked_at;
                let lapsed = self.now >= self.lease.valid_until;
                if !had || lapsed {
                    self.lease.held_since = Some(self.now);
                }
                self.lease.token = token;
                self.lease.valid_until = asked_at + self.lease.lifetime.mul_f64(USED_SHARE);
            }
            LeaseAnswer::NotHeld { token } => {
                self.lease.token = token;
                self.lease.held_since = None;
            }
            LeaseAnswer::Failed => {}
        }
        let has = self.lease.held_since.is_some();
        if had != has {
            let token = self.lease.token;
            self.note(RelayNotice::Lease { held: has, token });
        }
    }
}
