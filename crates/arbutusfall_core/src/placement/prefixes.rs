//! What a prefill endpoint is believed to hold in its prefix cache.

use std::time::Duration;

use arbutusfall_wire::FastMap;

/// Time after which a piece that was not used is no longer believed in.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Pieces of which beliefs are kept; the older half goes when there are more.
const MAX_PIECES: usize = 20_000;

/// Pieces that an endpoint is believed to hold, with the instant of their last use.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefixBeliefs {
    used_at: FastMap<u64, Duration>,
}

impl PrefixBeliefs {
    /// Leading pieces that are believed to be cached.
    pub(crate) fn known_pieces(&self, hashes: &[u64], now: Duration) -> usize {
        let known = |hash: &&u64| {
            let used_at = self.used_at.get(hash);
            used_at.is_some_and(|used_at| now <= *used_at + MAX_AGE)
        };
        hashes.iter().take_while(known).count()
    }

    /// A prompt was sent to the endpoint, or the endpoint told that it stored pieces.
    pub(crate) fn remember(&mut self, hashes: &[u64], now: Duration) {
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

    /// The endpoint told that it evicted pieces, or it failed.
    pub(crate) fn forget(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.used_at.remove(hash);
        }
    }

    /// The endpoint lost its memory.
    pub(crate) fn clear(&mut self) {
        self.used_at.clear();
    }
}
