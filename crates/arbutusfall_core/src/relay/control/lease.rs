//! Lease that lets one VM at a time order role changes of engines.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;

/// Interval of attempts to acquire or renew the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Fraction of the lease's lifetime, counted from the last renewal, in which the holder may act.
const VALID_FRACTION: f64 = 0.5;

/// Result of an attempt to acquire or renew the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// This VM holds the lease.
    Held {
        /// Fencing token of orders; increases whenever the holder may have changed.
        token: u64,
    },
    /// Another VM holds it.
    NotHeld {
        /// Newest token of the lease.
        token: u64,
    },
    /// The store did not answer.
    Failed,
}

/// This VM's view of the lease.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    lifetime: Duration,
    /// Newest token that the store has returned.
    token: u64,
    /// Lowest token with which this VM may give orders: the store may give out tokens again after its return from an older
    /// copy.
    min_order_token: u64,
    /// Instant at which the last renewal was sent.
    renewal_sent_at: Duration,
    /// Start of this VM's uninterrupted hold of the lease; none if it is not the holder.
    held_since: Option<Duration>,
    /// Instant until which the holder may act.
    valid_until: Duration,
    /// Token that an engine refused as stale.
    refused_token: Option<u64>,
}

impl Lease {
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            token: 0,
            min_order_token: 0,
            renewal_sent_at: Duration::ZERO,
            held_since: None,
            valid_until: Duration::ZERO,
            refused_token: None,
        }
    }

    /// Returns the fencing token if this VM may give orders now: it must have held the lease for a whole lifetime, so
    /// that no order of an earlier holder is in progress, and have renewed it recently.
    pub(crate) fn order_token(&self, now: Duration) -> Option<u64> {
        let held_since = self.held_since?;
        let is_settled = now >= held_since + self.lifetime;
        let is_valid = now < self.valid_until && self.refused_token != Some(self.token);
        (is_settled && is_valid).then_some(self.token)
    }

    /// Returns whether this VM has held the lease without interruption for at least `time`.
    pub(crate) fn is_held_for(&self, time: Duration, now: Duration) -> bool {
        self.held_since.is_some_and(|since| now >= since + time)
    }

    /// Takes a token that the store returned; returns whether orders may be given with it.
    fn accept_token(&mut self, token: u64) -> bool {
        self.token = token;
        token >= self.min_order_token
    }

    /// Handles the store's return from an older copy: tokens up to the newest one known may have been used.
    fn on_store_returned(&mut self) {
        self.min_order_token = self.min_order_token.max(self.token + 1);
    }

    /// Stops orders under the current token, because an engine refused it as stale.
    pub(crate) fn on_token_refused(&mut self) {
        self.refused_token = Some(self.token);
    }
}

impl Relay {
    pub(in crate::relay) fn renew_lease(&mut self) {
        if self.is_draining {
            return;
        }
        self.timers
            .set(self.now + RENEW_INTERVAL, RelayTimer::RenewLease);
        if self.reaches_no_engine() {
            self.leave_lease_to_others();
            return;
        }
        self.lease.renewal_sent_at = self.now;
        self.effects.push(RelayEffect::RenewLease {
            token: self.lease.token,
            lifetime: self.lease.lifetime,
        });
    }

    /// Returns whether this VM reaches no engine of any service.
    fn reaches_no_engine(&self) -> bool {
        let services = self.routes.iter().flat_map(|routes| &routes.services);
        let mut engines = services.filter(|(_, service)| service.engine.is_some());
        let is_unreachable = |name: &Name| self.reachability.is_unreachable(name);
        let Some((first, _)) = engines.next() else {
            return false;
        };
        is_unreachable(first) && engines.all(|(name, _)| is_unreachable(name))
    }

    /// Gives the lease up, if this VM holds it, so that a VM that reaches engines can give orders.
    fn leave_lease_to_others(&mut self) {
        if self.lease.held_since.take().is_some() {
            self.effects.push(RelayEffect::ReleaseLease);
            self.note_lease_change(true);
        }
    }

    pub(in crate::relay) fn on_lease(&mut self, answer: LeaseAnswer) {
        let was_held = self.lease.held_since.is_some();
        match answer {
            LeaseAnswer::Held { token } if self.lease.accept_token(token) => {
                // `valid_until` counts from the sending of the renewal, not from this answer: the store may count from
                // the renewal's arrival, and this VM must stop before the lease expires there.
                let renewal_sent_at = self.lease.renewal_sent_at;
                let lapsed = self.now >= self.lease.valid_until;
                if !was_held || lapsed {
                    self.lease.held_since = Some(self.now);
                }
                self.lease.valid_until =
                    renewal_sent_at + self.lease.lifetime.mul_f64(VALID_FRACTION);
            }
            LeaseAnswer::Held { .. } => {
                self.lease.held_since = None;
                // The next holder gets a higher token.
                self.effects.push(RelayEffect::ReleaseLease);
            }
            LeaseAnswer::NotHeld { token } => {
                self.lease.token = token;
                self.lease.held_since = None;
            }
            LeaseAnswer::Failed => {}
        }
        self.note_lease_change(was_held);
    }

    /// Gives the lease up after the store's return from an older copy, which may not know it.
    pub(in crate::relay) fn lose_lease(&mut self) {
        let was_held = self.lease.held_since.take().is_some();
        self.lease.on_store_returned();
        self.note_lease_change(was_held);
    }

    fn note_lease_change(&mut self, was_held: bool) {
        let is_held = self.lease.held_since.is_some();
        if was_held != is_held {
            let token = self.lease.token;
            self.note(RelayNotice::Lease {
                held: is_held,
                token,
            });
        }
    }
}
