//! One share of an endpoint's limit: which VM holds it, as this VM knows it.
//!
//! The newest record of a share in the store names its holder. A VM writes its name to a share that it believes to be free,
//! and uses the share only after [`SETTLE_TIME`], if no other VM has written after it. A holder renews its record; one
//! that stops is replaced. So the shares that are used at any time add up to the limit.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::ShareHolder;

/// Time from a VM's own newest record until it uses the share: others that believed the share to be free have written by
/// then.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Time between two records of a holder.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Age of a holder's last confirmed record up to which no other VM has taken over the share.
const CONFIRMED_LIFETIME: Duration = Duration::from_millis(3_500);

/// Time after the last record that was read from which a share is free; longer than [`CONFIRMED_LIFETIME`] and a read.
const TAKEOVER_TIME: Duration = Duration::from_millis(5_000);

/// Part of an unconfirmed share that is used: together with a VM that may have taken it over, one and a half shares.
const UNCONFIRMED_PART: f64 = 0.5;

/// A record of this VM.
#[derive(Debug, Clone, Copy)]
struct Written {
    renewal: u64,
    at: Duration,
}

/// A share of a limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct LimitShare {
    /// VM that the newest record names.
    holder: Option<Name>,
    /// When this VM read that record.
    read_at: Duration,
    /// Newest record of this VM, read back or on its way.
    written: Option<Written>,
    /// When the newest of this VM's records that was read back was written.
    confirmed_at: Option<Duration>,
    /// Instant from which this VM may use the share.
    usable_from: Option<Duration>,
}

impl LimitShare {
    /// Handles a record of the share.
    pub(crate) fn on_record(&mut self, holder: Option<ShareHolder>, own_vm: &Name, now: Duration) {
        self.read_at = now;
        let Some(holder) = holder else {
            self.holder = None;
            self.lose();
            return;
        };
        let is_own = holder.vm == *own_vm;
        self.holder = Some(holder.vm);
        if !is_own {
            self.lose();
            return;
        }
        let newest = self
            .written
            .filter(|written| written.renewal == holder.renewal);
        if let Some(written) = newest {
            self.confirmed_at = Some(written.at);
            self.usable_from.get_or_insert(now + SETTLE_TIME);
        }
    }

    fn lose(&mut self) {
        self.confirmed_at = None;
        self.usable_from = None;
    }

    /// Returns the next record with which this VM takes or renews the share.
    pub(crate) fn write(&mut self, own_vm: &Name, now: Duration) -> ShareHolder {
        let renewal = self.written.map_or(1, |written| written.renewal + 1);
        self.written = Some(Written { renewal, at: now });
        ShareHolder {
            vm: own_vm.clone(),
            renewal,
        }
    }

    /// Returns whether a VM may take the share.
    pub(crate) fn is_free(&self, now: Duration) -> bool {
        let is_held = self.holder.is_some() && now < self.read_at + TAKEOVER_TIME;
        !is_held && !self.is_on_its_way(now)
    }

    fn is_on_its_way(&self, now: Duration) -> bool {
        let written = self.written.filter(|_| !self.is_held());
        written.is_some_and(|written| now < written.at + TAKEOVER_TIME)
    }

    /// Returns whether this VM holds the share or may get it.
    pub(crate) fn is_own(&self, now: Duration) -> bool {
        self.is_held() || (self.holder.is_none() && self.is_on_its_way(now))
    }

    /// Returns whether this VM holds the share, also before it may use it.
    pub(crate) fn is_held(&self) -> bool {
        self.usable_from.is_some()
    }

    /// Returns whether this VM has to renew its record.
    pub(crate) fn must_renew(&self, now: Duration) -> bool {
        let last = self.written.map_or(Duration::ZERO, |written| written.at);
        self.is_held() && now >= last + RENEWAL_INTERVAL
    }

    /// Gives the share up, so that another VM can take it.
    pub(crate) fn release(&mut self) {
        self.holder = None;
        self.written = None;
        self.lose();
    }

    /// Returns the part of the share that this VM may use.
    pub(crate) fn usable_part(&self, now: Duration) -> f64 {
        if self.usable_from.is_none_or(|from| now < from) {
            return 0.0;
        }
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| now <= at + CONFIRMED_LIFETIME);
        if is_confirmed { 1.0 } else { UNCONFIRMED_PART }
    }

    /// Returns the instant from which this VM may use the share, if it holds it.
    pub(crate) fn usable_from(&self) -> Option<Duration> {
        self.usable_from
    }
}
