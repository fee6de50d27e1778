//! Memory of a whole answer, from its first byte until its caller has taken it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use arbutusfall_core::relay::BufferRoom;
use arbutusfall_core::relay::SMALL_BODY_BYTES;
use hyper::body::Bytes;

use crate::http::body_memory::BodyMemory;
use crate::http::body_memory::PausedRead;
use crate::http::room_checks::next_room_check;
use crate::http::sliced_body::take_slice;

/// Memory of an answer that is being read; free again once this is dropped.
#[derive(Debug)]
pub(super) struct HeldAnswer {
    memory: Arc<BodyMemory>,
    bytes: usize,
    /// Part of `bytes` that the budget holds.
    held_bytes: usize,
}

impl HeldAnswer {
    /// Begins with an answer of which nothing is held.
    pub(super) fn begin(memory: &Arc<BodyMemory>) -> Self {
        memory.budget().on_answer_began();
        Self {
            memory: memory.clone(),
            bytes: 0,
            held_bytes: 0,
        }
    }

    /// Holds further bytes once there is room; returns false if there is no memory for them.
    pub(super) async fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        if self.bytes > self.memory.max_answer_bytes {
            return false;
        }
        let needed_bytes = self.bytes.saturating_sub(SMALL_BODY_BYTES);
        let added_bytes = needed_bytes - self.held_bytes;
        let mut paused = None;
        let began_at = Instant::now();
        loop {
            let room = self.memory.budget().hold_answer(added_bytes);
            match room {
                BufferRoom::Held => {
                    self.held_bytes = needed_bytes;
                    return true;
                }
                BufferRoom::Refused => return false,
                BufferRoom::Wait => {}
            }
            paused.get_or_insert_with(|| PausedRead::of_answer(&self.memory));
            async_io::Timer::after(next_room_check(began_at.elapsed())).await;
        }
    }

    /// Returns the complete answer, whose memory is held until it is dropped.
    pub(super) fn into_delivered(mut self, pieces: VecDeque<Bytes>) -> DeliveredAnswer {
        let held_bytes = std::mem::take(&mut self.held_bytes);
        let mut budget = self.memory.budget();
        budget.deliver_answer(held_bytes);
        // The delivered answer is open too, and this one ends when it is dropped.
        budget.on_answer_began();
        drop(budget);
        DeliveredAnswer {
            memory: self.memory.clone(),
            held_bytes,
            left_bytes: self.bytes,
            pieces,
        }
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        let mut budget = self.memory.budget();
        budget.release_read_answer(self.held_bytes);
        budget.on_answer_ended();
    }
}

/// A complete answer on its way to a caller.
#[derive(Debug)]
pub struct DeliveredAnswer {
    memory: Arc<BodyMemory>,
    held_bytes: usize,
    /// Bytes of `pieces`.
    left_bytes: usize,
    pieces: VecDeque<Bytes>,
}

impl DeliveredAnswer {
    /// Returns the number of bytes that were not taken yet.
    pub(super) fn left_bytes(&self) -> usize {
        self.left_bytes
    }

    /// Takes the next slice; `None` if nothing is left.
    pub(super) fn take_slice(&mut self) -> Option<Bytes> {
        let mut rest = self.pieces.pop_front();
        let slice = take_slice(&mut rest)?;
        if let Some(rest) = rest {
            self.pieces.push_front(rest);
        }
        self.left_bytes -= slice.len();
        Some(slice)
    }

    /// Returns the bytes in one piece; they no longer count towards the memory.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        let pieces: Vec<Bytes> = self.pieces.drain(..).collect();
        pieces.concat().into()
    }
}

impl Drop for DeliveredAnswer {
    fn drop(&mut self) {
        let mut budget = self.memory.budget();
        budget.release_delivered_answer(self.held_bytes);
        budget.on_answer_ended();
    }
}
