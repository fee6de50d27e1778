//! Limits of the memory for bodies that are read completely before they are forwarded: of requests, and of answers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes of each body that do not count towards the total, so that long ones, or those without end, do not keep short ones out.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Limits of the bytes of bodies in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Largest body.
    pub per_body_bytes: usize,
    /// Bytes of all bodies that are held, beyond the first 16 KiB of each.
    pub total_bytes: usize,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self {
            per_body_bytes: 64 * 1024 * 1024,
            total_bytes: 128 * 1024 * 1024,
        }
    }
}

/// Bytes of all bodies of one kind that are held.
#[derive(Debug, Default)]
pub struct BodyMemory {
    limits: BodyLimits,
    used_bytes: AtomicUsize,
}

impl BodyMemory {
    /// Creates an empty count with these limits.
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            limits,
            used_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the count of a body that is about to be read.
    pub(crate) fn begin(self: &Arc<Self>) -> HeldBytes {
        HeldBytes {
            memory: self.clone(),
            bytes: 0,
            counted_bytes: 0,
        }
    }
}

/// Bytes of one body; they no longer count once this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    memory: Arc<BodyMemory>,
    bytes: usize,
    /// Part of `bytes` that counts towards the total.
    counted_bytes: usize,
}

impl HeldBytes {
    /// Adds bytes; returns false if they exceed a limit.
    pub(crate) fn try_add(&mut self, bytes: usize) -> bool {
        let limits = self.memory.limits;
        self.bytes += bytes;
        if self.bytes > limits.per_body_bytes {
            return false;
        }
        let counted_bytes = self.bytes.saturating_sub(UNCOUNTED_BYTES);
        let added = counted_bytes - self.counted_bytes;
        let used = self.memory.used_bytes.fetch_add(added, Ordering::Relaxed);
        self.counted_bytes = counted_bytes;
        used + added <= limits.total_bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory
            .used_bytes
            .fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}
