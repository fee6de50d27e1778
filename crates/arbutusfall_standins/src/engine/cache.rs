//! Prefix cache of a bounded number of pieces, evicted least recently used first, with an unreliable event stream.

use std::collections::VecDeque;

use serde_json::Value;
use serde_json::json;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 512;

/// Every event whose number is a multiple of this is lost.
const LOST_EVENT_INTERVAL: u64 = 17;

/// Hashes of the cached pieces in order of last use, and the events that stored or removed them.
#[derive(Default)]
pub(crate) struct PrefixCache {
    pieces: VecDeque<u64>,
    /// Event number, whether the piece was stored (otherwise removed), and its hash.
    events: VecDeque<(u64, bool, u64)>,
    /// Number of the last event, including lost ones.
    last_event: u64,
}

impl PrefixCache {
    /// Returns how many leading pieces were cached, and then caches all of them.
    pub(crate) fn touch(&mut self, hashes: &[u64], capacity: usize) -> usize {
        let cached_count = hashes
            .iter()
            .take_while(|hash| self.pieces.contains(hash))
            .count();
        for hash in hashes {
            match self.pieces.iter().position(|piece| piece == hash) {
                Some(position) => {
                    self.pieces.remove(position);
                }
                None => self.record_event(true, *hash),
            }
            self.pieces.push_back(*hash);
        }
        while self.pieces.len() > capacity {
            if let Some(evicted) = self.pieces.pop_front() {
                self.record_event(false, evicted);
            }
        }
        cached_count
    }

    fn record_event(&mut self, stored: bool, hash: u64) {
        self.last_event += 1;
        if self.last_event.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        self.events.push_back((self.last_event, stored, hash));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the pieces stored and removed by the events numbered `from` or higher, and the number of the next event.
    pub(crate) fn events(&self, from: u64) -> Value {
        let newer = self.events.iter().filter(|(number, ..)| *number >= from);
        let (mut stored, mut removed) = (Vec::new(), Vec::new());
        for (_, is_stored, hash) in newer {
            if *is_stored {
                stored.push(*hash)
            } else {
                removed.push(*hash)
            }
        }
        json!({ "next": self.last_event + 1, "stored": stored, "removed": removed })
    }
}
