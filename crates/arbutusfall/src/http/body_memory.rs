//! Memory for bodies on their way through this process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use arbutusfall_core::relay::BufferBudget;
use arbutusfall_core::relay::BufferLimits;
use arbutusfall_core::relay::BufferStatus;
use arbutusfall_core::relay::SMALL_BODY_BYTES;

use crate::lock::lock;

/// Largest answer that is read completely, unless the memory is limited, in bytes.
const DEFAULT_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Bytes of all answers that are being read, unless the memory is limited.
const DEFAULT_READ_ANSWER_BYTES: usize = 128 * 1024 * 1024;

/// Memory for the bodies of one process.
#[derive(Debug)]
pub struct BodyMemory {
    budget: Mutex<BufferBudget>,
    /// Largest answer that is read completely, in bytes.
    pub(super) max_answer_bytes: usize,
}

impl Default for BodyMemory {
    fn default() -> Self {
        let limits = BufferLimits {
            read_answer_bytes: DEFAULT_READ_ANSWER_BYTES,
            request_bytes: usize::MAX,
            control_bytes: usize::MAX,
            ..BufferLimits::of_unstated_memory(0)
        };
        Self::new(limits, DEFAULT_ANSWER_BYTES)
    }
}

impl BodyMemory {
    /// Creates a memory of which nothing is used.
    pub fn new(limits: BufferLimits, max_answer_bytes: usize) -> Self {
        Self {
            budget: Mutex::new(BufferBudget::new(limits)),
            max_answer_bytes,
        }
    }

    /// Returns the decisions on the memory.
    pub(crate) fn budget(&self) -> MutexGuard<'_, BufferBudget> {
        lock(&self.budget)
    }

    /// Returns what is held, and the decisions since the start.
    pub fn status(&self) -> BufferStatus {
        self.budget().status()
    }
}

/// An answer or a stream of which no more is read until memory is free; it is read on once this is dropped.
#[derive(Debug)]
pub(crate) struct PausedRead(Arc<BodyMemory>);

impl PausedRead {
    /// Counts an answer that begins to wait.
    pub(crate) fn of_answer(memory: &Arc<BodyMemory>) -> Self {
        memory.budget().on_answer_paused();
        Self(memory.clone())
    }

    /// Counts a stream that begins to wait.
    pub(crate) fn of_stream(memory: &Arc<BodyMemory>) -> Self {
        memory.budget().on_stream_paused();
        Self(memory.clone())
    }
}

impl Drop for PausedRead {
    fn drop(&mut self) {
        self.0.budget().on_read_resumed();
    }
}

/// Memory of the body of a request; free again once this is dropped.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

/// Splits the size of a body into its first bytes and those beyond.
fn split_size(bytes: usize) -> (usize, usize) {
    let small = bytes.min(SMALL_BODY_BYTES);
    (small, bytes - small)
}

impl HeldRequest {
    /// Begins with a body of which nothing is held.
    pub(crate) fn begin(memory: &Arc<BodyMemory>) -> Self {
        Self {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    /// Holds further bytes; returns false if there is no memory for them.
    pub(crate) fn try_add(&mut self, bytes: usize) -> bool {
        let (small_before, large_before) = split_size(self.bytes);
        let (small, large) = split_size(self.bytes.saturating_add(bytes));
        let mut budget = self.memory.budget();
        let is_held = budget.try_hold_request(small - small_before, large - large_before);
        if is_held {
            self.bytes += bytes;
        }
        is_held
    }
}

/// Memory of an endpoint's answer to the VM's own question, while it is read; free again once this is dropped.
#[derive(Debug)]
pub(super) struct HeldControl {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl HeldControl {
    /// Begins with an answer of which nothing is held.
    pub(super) fn begin(memory: &Arc<BodyMemory>) -> Self {
        Self {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    /// Holds further bytes; returns false if there is no memory for them.
    pub(super) fn try_add(&mut self, bytes: usize) -> bool {
        let (_, large_before) = split_size(self.bytes);
        let (_, large) = split_size(self.bytes.saturating_add(bytes));
        let mut budget = self.memory.budget();
        let is_held = budget.try_hold_control(large - large_before);
        if is_held {
            self.bytes += bytes;
        }
        is_held
    }
}

impl Drop for HeldControl {
    fn drop(&mut self) {
        let (_, large) = split_size(self.bytes);
        self.memory.budget().release_control(large);
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let (small, large) = split_size(self.bytes);
        self.memory.budget().release_request(small, large);
    }
}
