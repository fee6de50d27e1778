//! Settings of quotas.

use std::time::Duration;

/// Settings of the quotas of client accounts, the same at all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSettings {
    /// Span in which the use of an account is bounded.
    pub window: Duration,
    /// Tolerated excess in a window, as a share of what the quota allows in it.
    ///
    /// Invariant: from 0 to 1.
    pub excess_ratio: f64,
    /// Tolerated excess in a window in addition to that share, in units of the quota.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            excess_ratio: 0.1,
            slack: 0.0,
        }
    }
}

/// Part of the tolerated excess of the rate that leases take; the rest is for VMs that reach no owner.
const LEASE_PART_OF_EXCESS: f64 = 0.5;

impl QuotaSettings {
    /// Returns the longest time from the question for tokens until they lapse. Tokens that were granted up to this time before a
    /// window may be used in it, so the rate over this time is taken from the tolerated excess.
    pub fn lease_lifetime(&self) -> Duration {
        self.window
            .mul_f64(self.excess_ratio * LEASE_PART_OF_EXCESS)
    }

    /// Returns the span in which all tokens that can be used within one window are granted.
    pub fn grant_window(&self) -> Duration {
        self.window + self.lease_lifetime()
    }

    /// Returns the longest time from the use of tokens until their request is sent. Tokens that were used up to this time before a
    /// window may be sent in it, so the rate over this time must fit into the tolerated excess that leases leave. It is at least
    /// the lifetime of a lease.
    pub(crate) fn max_send_delay(&self, per_s: f64, burst: f64) -> Duration {
        let delay_s = self.emergency_excess(per_s, burst) / per_s;
        Duration::try_from_secs_f64(delay_s).unwrap_or(Duration::MAX)
    }

    /// Returns the units of the tolerated excess in a window that leases leave: what all VMs that reach no owner may use together.
    pub(crate) fn emergency_excess(&self, per_s: f64, burst: f64) -> f64 {
        let of_rate = per_s * self.window.as_secs_f64() * (1.0 - LEASE_PART_OF_EXCESS);
        (of_rate + burst) * self.excess_ratio + self.slack
    }
}
