//! Prefix cache in pieces, with bounded memory and an unreliable stream of events.

use std::collections::VecDeque;

use serde_json::Value;
use serde_json::json;

/// Events that are kept for readers.
const MAX_EVENTS: usize = 512;

/// One event in so many is lost.
const LOST_EVERY: u64 = 17;

/// Pieces in the order of their last use.
#[derive(Default)]
pub(crate) struct PrefixCache {
    pieces: VecDeque<u64>,
    events: VecDeque<(u64, bool, u64)>,
    next_event: u64,
}

impl PrefixCache {
    /// Number of leading pieces that are cached; all pieces are cached afterwards.
    pub(crate) fn touch(&mut self, hashes: &[u64], capacity: usize) -> usize {
        let known = hashes
            .iter()
            .take_while(|hash| self.pieces.contains(hash))
            .count();
        for hash in hashes {
            match self.pieces.iter().position(|piece| piece == hash) {
                Some(position) => {
                    self.pieces.remove(position);
                }
                None => self.record(true, *hash),
            }
            self.pieces.push_back(*hash);
        }
        while self.pieces.len() > capacity {
            if let Some(evicted) = self.pieces.pop_front() {
                self.record(false, evicted);
            }
        }
        known
    }

    fn record(&mut self, stored: bool, hash: u64) {
        self.next_event += 1;
        if self.next_event.is_multiple_of(LOST_EVERY) {
            return;
        }
        self.events.push_back((self.next_event, stored, hash));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events from a number on.
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
        json!({ "next": self.next_event + 1, "stored": stored, "removed": removed })
    }
}
