//! The tokens of one account at its owner.

use std::time::Duration;

use arbutusfall_wire::QuotaAsk;

use crate::relay::AccountQuota;
use crate::relay::QuotaSettings;
use crate::relay::quota::token_bucket::TokenBucket;

/// Number of parts in which the use of a window is counted.
const SLOTS: usize = 64;

/// Part of the burst that is kept for requests that wait: tokens for requests that are only expected may lapse.
const KEPT_PART: f64 = 0.5;

/// Longest time ahead for which a refused VM gets a turn of its own: tokens reserved for a VM that does not ask again are lost
/// to the others.
const MAX_TURN: Duration = Duration::from_secs(1);

/// Tolerance for sums of fractions, in units of the quota.
const TOLERANCE: f64 = 1e-6;

/// Tokens granted in each part of the last window.
#[derive(Debug, Clone)]
struct UseWindow {
    slot_length: Duration,
    slots: [f64; SLOTS],
    /// Number of the newest slot.
    newest: u64,
}

impl UseWindow {
    fn new(window: Duration, now: Duration) -> Self {
        // The oldest slot is part of the sum as a whole, so all slots together are longer than the window.
        let slot_length = window / (SLOTS as u32 - 1);
        let mut created = Self {
            slot_length: slot_length.max(Duration::from_millis(1)),
            slots: [0.0; SLOTS],
            newest: 0,
        };
        created.newest = created.slot_at(now);
        created
    }

    fn slot_at(&self, now: Duration) -> u64 {
        u64::try_from(now.as_nanos() / self.slot_length.as_nanos()).unwrap_or(u64::MAX)
    }

    fn advance(&mut self, now: Duration) {
        let newest = self.slot_at(now).max(self.newest);
        let cleared = (newest - self.newest).min(SLOTS as u64);
        for number in newest + 1 - cleared..=newest {
            self.slots[(number % SLOTS as u64) as usize] = 0.0;
        }
        self.newest = newest;
    }

    fn add(&mut self, tokens: f64, now: Duration) {
        self.advance(now);
        self.slots[(self.newest % SLOTS as u64) as usize] += tokens;
    }

    fn sum(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.slots.iter().sum()
    }
}

/// Answer to a VM that asked for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Granted {
    pub(super) tokens: f64,
    /// Time until the VM should ask again; zero if it may at once.
    pub(super) retry_after: Duration,
}

/// Tokens of an account.
#[derive(Debug, Clone)]
pub(super) struct AccountBucket {
    bucket: TokenBucket,
    granted: UseWindow,
    /// When there are tokens for one more VM that was refused: each gets a time of its own, so that they do not all ask again
    /// for the same tokens.
    next_turn: Duration,
}

impl AccountBucket {
    pub(super) fn new(level: f64, settings: &QuotaSettings, now: Duration) -> Self {
        Self {
            bucket: TokenBucket::new(level, now),
            granted: UseWindow::new(settings.grant_window(), now),
            next_turn: now,
        }
    }

    /// Returns the tokens that are left.
    pub(super) fn level(&mut self, quota: &AccountQuota, now: Duration) -> f64 {
        self.bucket.refill(quota.per_s, quota.burst, now)
    }

    /// Limits the tokens that are left to `most`.
    pub(super) fn cut(&mut self, most: f64, quota: &AccountQuota, now: Duration) {
        let level = self.level(quota, now);
        self.bucket = TokenBucket::new(level.min(most), now);
    }

    /// Returns the tokens granted in the last [`QuotaSettings::grant_window`].
    pub(super) fn used(&mut self, now: Duration) -> f64 {
        self.granted.sum(now)
    }

    /// Grants what the waiting requests need and, of what is wanted beyond, as much as leaves [`KEPT_PART`] of the burst.
    ///
    /// If there is less than needed, grants a multiple of the first request's cost: a part of a request's cost would lapse
    /// unused. A request that costs more than the burst is granted alone.
    pub(super) fn grant(
        &mut self,
        ask: &QuotaAsk,
        quota: &AccountQuota,
        settings: &QuotaSettings,
        now: Duration,
    ) -> Granted {
        let level = self.level(quota, now) + TOLERANCE;
        let first = ask.first.max(0.0);
        let needed = ask.needed.max(first);
        if first > quota.burst {
            return self.grant_large(first, quota, settings, now);
        }
        let tokens = if needed <= level {
            let with_expected = ask.wanted.min(level - quota.burst * KEPT_PART);
            needed.max(with_expected)
        } else if first > 0.0 {
            ((level / first).floor() * first).clamp(0.0, needed)
        } else {
            0.0
        };
        self.take(tokens, now);
        let retry_after = if needed <= tokens {
            Duration::ZERO
        } else {
            self.turn(first, quota, now)
        };
        Granted {
            tokens,
            retry_after,
        }
    }

    /// Returns the time until the asking VM's turn, and reserves the turn if it is within [`MAX_TURN`].
    fn turn(&mut self, cost: f64, quota: &AccountQuota, now: Duration) -> Duration {
        let earliest = now + self.bucket.time_until(cost, quota.per_s);
        let at = self.next_turn.max(earliest);
        let after = at - now;
        if after > MAX_TURN {
            return MAX_TURN.max(earliest - now);
        }
        self.next_turn = at + Duration::from_secs_f64(cost / quota.per_s);
        after
    }

    /// Grants a request that costs more than the burst, once the bucket is full and the window has room for it. The level is
    /// negative then, and nothing more is granted until the rate has made up for it.
    fn grant_large(
        &mut self,
        cost: f64,
        quota: &AccountQuota,
        settings: &QuotaSettings,
        now: Duration,
    ) -> Granted {
        let window = settings.grant_window();
        let allowed = quota.per_s * window.as_secs_f64() + quota.burst;
        let is_full = self.level(quota, now) + TOLERANCE >= quota.burst;
        let has_room = self.used(now) + cost <= allowed + TOLERANCE;
        if is_full && has_room {
            self.take(cost, now);
            let retry_after = self.bucket.time_until(quota.burst, quota.per_s);
            return Granted {
                tokens: cost,
                retry_after,
            };
        }
        let retry_after = if has_room {
            self.bucket.time_until(quota.burst, quota.per_s)
        } else {
            window
        };
        Granted {
            tokens: 0.0,
            retry_after,
        }
    }

    fn take(&mut self, tokens: f64, now: Duration) {
        self.bucket.take(tokens);
        self.granted.add(tokens, now);
    }
}
