//! Memory of a whole answer, from its first byte until its caller has taken it.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::BufferRoom;
use arbutusfall_core::relay::SMALL_BODY_BYTES;
use hyper::body::Bytes;

use crate::http::body_memory::BodyMemory;

/// Interval at which an answer that waits for room checks for it.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);

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
        let mut is_paused = false;
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
            if !is_paused {
                self.memory.budget().on_answer_paused();
                is_paused = true;
            }
            async_io::Timer::after(ROOM_CHECK_INTERVAL).await;
        }
    }

    /// Returns the complete answer, whose memory is held until the last part of `bytes` is dropped.
    pub(super) fn into_delivered(mut self, bytes: Bytes) -> Bytes {
        let held_bytes = std::mem::take(&mut self.held_bytes);
        if held_bytes == 0 {
            return bytes;
        }
        self.memory.budget().deliver_answer(held_bytes);
        Bytes::from_owner(DeliveredAnswer {
            memory: self.memory.clone(),
            held_bytes,
            bytes,
        })
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.memory.budget().release_read_answer(self.held_bytes);
    }
}

/// A complete answer on its way to a caller.
struct DeliveredAnswer {
    memory: Arc<BodyMemory>,
    held_bytes: usize,
    bytes: Bytes,
}

impl AsRef<[u8]> for DeliveredAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for DeliveredAnswer {
    fn drop(&mut self) {
        let mut budget = self.memory.budget();
        budget.release_delivered_answer(self.held_bytes);
    }
}
