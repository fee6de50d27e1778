//! Memory of a stream, from its endpoint to the connection of its caller.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Bytes;

use crate::http::body_memory::BodyMemory;

/// Memory of what was read of a stream and is not passed on yet; free again once this is dropped.
#[derive(Debug)]
pub(crate) struct PartialEvent {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl PartialEvent {
    /// Begins with a stream of which nothing was read.
    pub(crate) fn begin(memory: &Arc<BodyMemory>) -> Self {
        memory.budget().on_answer_began();
        Self {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    /// Returns whether more of the stream may be read, of which `queued_bytes` wait for the caller, after it has waited for `waited`.
    pub(super) fn may_read(&self, queued_bytes: usize, waited: Duration) -> bool {
        let budget = self.memory.budget();
        budget.may_read_stream(queued_bytes, self.bytes, waited)
    }

    /// Holds bytes that were read; returns false if there is no memory for them.
    pub(crate) fn try_add(&mut self, bytes: usize) -> bool {
        let is_held = self.memory.budget().try_hold_stream(bytes);
        if is_held {
            self.bytes += bytes;
        }
        is_held
    }

    /// Releases bytes that are not passed on.
    pub(crate) fn discard(&mut self, bytes: usize) {
        self.memory.budget().release_stream(bytes);
        self.bytes -= bytes;
    }

    /// Returns a piece of what was read, whose memory is held until it is dropped.
    pub(super) fn take_piece(&mut self, piece: Bytes, queued_bytes: &Arc<AtomicUsize>) -> Bytes {
        self.bytes -= piece.len();
        queued_bytes.fetch_add(piece.len(), Ordering::Relaxed);
        Bytes::from_owner(HeldPiece {
            memory: self.memory.clone(),
            queued_bytes: queued_bytes.clone(),
            bytes: piece,
        })
    }
}

impl Drop for PartialEvent {
    fn drop(&mut self) {
        let mut budget = self.memory.budget();
        budget.release_stream(self.bytes);
        budget.on_answer_ended();
    }
}

/// A piece of a stream on its way to a caller.
struct HeldPiece {
    memory: Arc<BodyMemory>,
    /// Bytes of all pieces of the stream that are queued.
    queued_bytes: Arc<AtomicUsize>,
    bytes: Bytes,
}

impl AsRef<[u8]> for HeldPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldPiece {
    fn drop(&mut self) {
        let bytes = self.bytes.len();
        self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.memory.budget().release_stream(bytes);
    }
}
