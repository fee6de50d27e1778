//! The limit that one endpoint named, and this VM's part of it.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::ShareHolder;
use crate::relay::limits::limit_share::LimitShare;

/// Maximum number of shares of a limit, and so of the VMs that send to the endpoint.
const MAX_SHARES: usize = 32;

/// Requests that a VM may send at once after a pause. All shares together allow two for each request a second of the limit, or two.
const MIN_BURST: f64 = 2.0;

/// Time in which the tokens of a full bucket gather, if these are more.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Rate of requests to an endpoint whose limit is lower: one of them shows when the limit is lifted.
const MIN_RATE_PER_S: f64 = 0.25;

/// Time constant of the exponential decay of the demand.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(2);

/// Shares beyond this multiple of the demand are given up.
const MAX_EXCESS_FACTOR: f64 = 1.5;

/// Demand below which a VM gives all its shares up, in requests a second.
const MIN_DEMAND_PER_S: f64 = 0.1;

/// Part of the free shares that a VM takes at once, so that VMs that begin together find some each.
const TAKEN_FREE_PART: usize = 4;

/// A record to write for a share of a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ShareWrite {
    pub(crate) number: usize,
    /// The new holder; none to release the share.
    pub(crate) holder: Option<ShareHolder>,
}

/// Limit of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointLimit {
    /// Requests a second from all VMs together.
    pub(crate) per_s: f64,
    /// When this VM learnt of the limit: answers to later requests show whether it still holds.
    pub(crate) known_at: Duration,
    /// When the request was sent whose answer named the value.
    pub(crate) named_sent_at: Duration,
    shares: Vec<LimitShare>,
    /// Requests that this VM may send now; negative after control requests, which don't wait.
    tokens: f64,
    refilled_at: Duration,
    /// Tokens of the requests that could have been sent here, each weighted by exp(-age / [`DEMAND_DECAY_TIME`]) at
    /// `demanded_at`.
    demand: f64,
    demanded_at: Duration,
}

impl EndpointLimit {
    pub(crate) fn new(per_s: f64, now: Duration) -> Self {
        Self {
            per_s,
            known_at: now,
            named_sent_at: Duration::ZERO,
            shares: vec![LimitShare::default(); share_count(per_s)],
            tokens: 0.0,
            refilled_at: now,
            demand: 0.0,
            demanded_at: now,
        }
    }

    /// Takes another value of the limit.
    pub(crate) fn set_rate(&mut self, per_s: f64, now: Duration) {
        self.refill(now);
        self.per_s = per_s;
        self.shares
            .resize(share_count(per_s), LimitShare::default());
    }

    /// Returns the rate of one share, in requests a second.
    fn share_rate(&self) -> f64 {
        self.per_s.max(MIN_RATE_PER_S) / self.shares.len() as f64
    }

    /// Returns the rate at which this VM may send, in requests a second.
    pub(crate) fn rate(&self, now: Duration) -> f64 {
        let parts = self.shares.iter().map(|share| share.usable_part(now));
        parts.sum::<f64>() * self.share_rate()
    }

    fn burst(&self, rate: f64) -> f64 {
        (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST)
    }

    pub(crate) fn refill(&mut self, now: Duration) {
        let rate = self.rate(now);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(self.burst(rate));
        self.refilled_at = now;
        if rate == 0.0 {
            // Tokens of a share that was lost must not be used beside those of its new holder.
            self.tokens = self.tokens.min(0.0);
        }
    }

    /// Uses tokens.
    pub(crate) fn take(&mut self, tokens: f64, now: Duration) {
        self.refill(now);
        self.tokens -= tokens;
    }

    /// Returns tokens of a request that was not sent.
    pub(crate) fn give_back(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Records a request that can be sent to the endpoint if its limit allows it.
    pub(crate) fn on_demand(&mut self, tokens: f64, now: Duration) {
        self.demand = self.decayed_demand(now) + tokens;
        self.demanded_at = now;
    }

    fn decayed_demand(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.demanded_at).as_secs_f64();
        self.demand * (-age / DEMAND_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the rate of such requests, in requests a second.
    fn demand_rate(&self, now: Duration) -> f64 {
        self.decayed_demand(now) / DEMAND_DECAY_TIME.as_secs_f64()
    }

    /// Returns the instant at which these tokens will be there; none if this VM holds no share.
    pub(crate) fn next_send_at(&self, tokens: f64, now: Duration) -> Option<Duration> {
        let rate = self.rate(now);
        if rate == 0.0 {
            let held = self.shares.iter().filter_map(LimitShare::usable_from);
            return held
                .min()
                .map(|from| from + Duration::from_secs_f64(tokens / self.share_rate()));
        }
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let missing = (tokens - self.tokens - elapsed * rate).max(0.0);
        Some(now + Duration::from_secs_f64(missing / rate))
    }

    /// Handles a record of a share.
    pub(crate) fn on_share(
        &mut self,
        number: usize,
        holder: Option<ShareHolder>,
        own_vm: &Name,
        now: Duration,
    ) {
        self.refill(now);
        if let Some(share) = self.shares.get_mut(number) {
            share.on_record(holder, own_vm, now);
        }
    }

    /// Returns the records to write now: renewals of this VM's shares, releases of those that it does not need, and those
    /// with which it takes more.
    pub(crate) fn review(
        &mut self,
        own_vm: &Name,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Vec<ShareWrite> {
        self.refill(now);
        let mut needed = self.needed_shares(now);
        let mut writes = Vec::new();
        for (number, share) in self.shares.iter_mut().enumerate() {
            if !share.must_renew(now) {
                needed = needed.saturating_sub(usize::from(share.is_own(now)));
                continue;
            }
            let holder = if needed == 0 {
                share.release();
                None
            } else {
                needed -= 1;
                Some(share.write(own_vm, now))
            };
            writes.push(ShareWrite { number, holder });
        }
        writes.extend(self.take_free_shares(own_vm, now, rng));
        writes
    }

    /// Returns the number of shares to keep: few more than the demand needs.
    fn needed_shares(&self, now: Duration) -> usize {
        let demand = self.demand_rate(now);
        if demand < MIN_DEMAND_PER_S {
            return 0;
        }
        (demand * MAX_EXCESS_FACTOR / self.share_rate()).ceil() as usize
    }

    /// Takes free shares as long as those of this VM do not meet the demand.
    fn take_free_shares(
        &mut self,
        own_vm: &Name,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Vec<ShareWrite> {
        let own = self.shares.iter().filter(|share| share.is_own(now)).count();
        let wanted = (self.demand_rate(now) / self.share_rate()).ceil() as usize;
        let shares = self.shares.iter().enumerate();
        let free = shares.filter(|(_, share)| share.is_free(now));
        let mut free: Vec<usize> = free.map(|(number, _)| number).collect();
        rng.shuffle(&mut free);
        let most = free.len().div_ceil(TAKEN_FREE_PART);
        free.truncate(wanted.saturating_sub(own).min(most));
        let taken = free.into_iter().map(|number| {
            let holder = Some(self.shares[number].write(own_vm, now));
            ShareWrite { number, holder }
        });
        taken.collect()
    }

    /// Returns the number of shares.
    pub(crate) fn share_count(&self) -> usize {
        self.shares.len()
    }

    /// Returns the number of shares that this VM holds.
    pub(crate) fn held_count(&self) -> usize {
        self.shares.iter().filter(|share| share.is_held()).count()
    }
}

/// Returns the number of shares of a limit: each allows about one request a second or more.
fn share_count(per_s: f64) -> usize {
    (per_s.floor() as usize).clamp(1, MAX_SHARES)
}
