//! Estimated content of a prefill endpoint's prefix cache.

use std::time::Duration;

use arbutusfall_wire::FastMap;

/// Time after its last use at which a piece no longer counts as cached.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Maximum number of tracked pieces; the older half is dropped when there are more.
const MAX_PIECES: usize = 20_000;

/// Pieces that an endpoint is expected to have cached, with the instant of their last use.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefixIndex {
    used_at: FastMap<u64, Duration>,
}

impl PrefixIndex {
    /// Returns the number of leading pieces that are expected to be cached.
    pub(crate) fn cached_pieces(&self, hashes: &[u64], now: Duration) -> usize {
        let cached = |hash: &&u64| {
            let used_at = self.used_at.get(hash);
            used_at.is_some_and(|used_at| now <= *used_at + MAX_AGE)
        };
        hashes.iter().take_while(cached).count()
    }

    /// Records pieces of a prompt placed on the endpoint, or pieces that the endpoint reported as stored.
    pub(crate) fn record_cached(&mut self, hashes: &[u64], now: Duration) {
        for hash in hashes {
            self.used_at.insert(*hash, now);
        }
        if self.used_at.len() > MAX_PIECES {
            let mut instants: Vec<Duration> = self.used_at.values().copied().collect();
            let middle = instants.len() / 2;
            let (_, median, _) = instants.select_nth_unstable(middle);
            let median = *median;
            self.used_at.retain(|_, used_at| *used_at > median);
        }
    }

    /// Removes pieces that the endpoint reported as evicted, or whose transfer failed.
    pub(crate) fn discard(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.used_at.remove(hash);
        }
    }

    /// Removes all pieces, after the endpoint failed or restarted.
    pub(crate) fn clear(&mut self) {
        self.used_at.clear();
    }
}
