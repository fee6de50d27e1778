//! Decides which bodies are held in memory, which must wait, and which are refused.

use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::relay::BufferLimits;
use crate::relay::UnreadLimits;

/// Bytes of each body that count separately or not at all, so that large bodies do not keep small ones out.
pub const SMALL_BODY_BYTES: usize = 16 * 1024;

/// Queue of one stream from which no more of it is read, as a fraction of the free memory for streams: one of this many. Queues get shorter the more streams are
/// not read.
const QUEUE_DIVISOR: usize = 8;

/// Divisor of the free memory for answers that gives the bytes of an answer that are read at once.
const READ_DIVISOR: usize = 100;

/// Largest number of bytes of an answer that are read at once.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Smallest limit of a read of an answer, in bytes: one less than the 8 KiB with which the HTTP library's buffers begin, because it doubles a
/// buffer that a read has filled.
const MIN_READ_BYTES: usize = 8 * 1024 - 1;

/// Pieces of an answer that are read ahead of what is counted: one that waits to be counted, one in the HTTP library, and its read buffer.
const PIECES_READ_AHEAD: usize = 3;

/// Memory of the two connections of an answer and of the tasks that serve it, in bytes.
const OPEN_ANSWER_BYTES: usize = 128 * 1024;

/// Divisor of the held bytes that gives the memory that the allocator uses besides.
const ALLOCATOR_DIVISOR: usize = 3;

/// Longest time for which a stream waits for memory inside an event. Answers that are not read end in half of it while memory is short.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(3);

/// Whether bytes may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferRoom {
    /// They are held.
    Held,
    /// Memory becomes free when callers read, or are disconnected; ask again later.
    Wait,
    /// There is no memory for them.
    Refused,
}

/// Decisions since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BufferCounts {
    /// Requests that were refused because other requests use up the memory for their bodies.
    pub request_refused: u64,
    /// Whole answers whose reading was paused.
    pub answer_paused: u64,
    /// Streams whose reading was paused because other streams use up their memory.
    pub stream_paused: u64,
    /// Requests that were not sent to an endpoint because it has not read earlier ones.
    pub endpoint_full: u64,
}

/// What is held, with the decisions since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BufferStatus {
    /// Decisions.
    pub counts: BufferCounts,
    /// Bytes of bodies of requests.
    pub request_bytes: usize,
    /// Bytes of whole answers, beyond the first 16 KiB of each.
    pub answer_bytes: usize,
    /// Bytes of streams on their way to callers.
    pub stream_bytes: usize,
}

/// Memory for bodies of one VM.
#[derive(Debug)]
pub struct BufferBudget {
    limits: BufferLimits,
    request_bytes: usize,
    small_request_bytes: usize,
    read_answer_bytes: usize,
    delivered_answer_bytes: usize,
    stream_bytes: usize,
    control_bytes: usize,
    /// Bytes of bodies that endpoints have not read; without endpoints that have read all.
    unread_bytes: FastMap<Name, usize>,
    /// Answers and streams of which no more is read until memory is free.
    paused_reads: usize,
    /// Answers and streams that are being read or delivered, whether or not bytes of them are held yet.
    open_answers: usize,
    counts: BufferCounts,
}

impl BufferBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            request_bytes: 0,
            small_request_bytes: 0,
            read_answer_bytes: 0,
            delivered_answer_bytes: 0,
            stream_bytes: 0,
            control_bytes: 0,
            unread_bytes: FastMap::default(),
            paused_reads: 0,
            open_answers: 0,
            counts: BufferCounts::default(),
        }
    }

    /// Holds bytes of a request's body: of its first 16 KiB, and beyond; returns false, and holds nothing, if they exceed the memory.
    pub fn try_hold_request(&mut self, small_bytes: usize, large_bytes: usize) -> bool {
        let small = self.small_request_bytes.saturating_add(small_bytes);
        let large = self.request_bytes.saturating_add(large_bytes);
        let limits = self.limits;
        // Bytes that are not asked for need no room: a large body that is refused must not refuse small ones.
        let exceeds_small = small_bytes > 0 && small > limits.small_request_bytes;
        let exceeds_large = large_bytes > 0 && large > limits.request_bytes;
        let read_ahead_bytes = self.paused_reads * PIECES_READ_AHEAD * MIN_READ_BYTES;
        let needed_bytes = small_bytes.saturating_add(large_bytes);
        let has_room = self.has_room(needed_bytes.saturating_add(read_ahead_bytes));
        if exceeds_small || exceeds_large || !has_room {
            self.counts.request_refused += 1;
            return false;
        }
        self.small_request_bytes = small;
        self.request_bytes = large;
        true
    }

    /// Releases bytes of a request's body.
    pub fn release_request(&mut self, small_bytes: usize, large_bytes: usize) {
        self.small_request_bytes -= small_bytes;
        self.request_bytes -= large_bytes;
    }

    /// Holds bytes of an answer that is being read, beyond its first 16 KiB.
    pub fn hold_answer(&mut self, bytes: usize) -> BufferRoom {
        if bytes == 0 {
            return BufferRoom::Held;
        }
        let read_bytes = self.read_answer_bytes.saturating_add(bytes);
        if read_bytes > self.limits.read_answer_bytes {
            return BufferRoom::Refused;
        }
        let answer_bytes = read_bytes.saturating_add(self.delivered_answer_bytes);
        if answer_bytes > self.limits.answer_bytes || !self.has_room(bytes) {
            return BufferRoom::Wait;
        }
        self.read_answer_bytes = read_bytes;
        BufferRoom::Held
    }

    /// Counts an answer that begins to wait for room.
    pub fn on_answer_paused(&mut self) {
        self.counts.answer_paused += 1;
        self.paused_reads += 1;
    }

    /// Takes an answer that was read completely for one that is being delivered.
    pub fn deliver_answer(&mut self, bytes: usize) {
        self.read_answer_bytes -= bytes;
        self.delivered_answer_bytes += bytes;
    }

    /// Releases bytes of an answer that is being read.
    pub fn release_read_answer(&mut self, bytes: usize) {
        self.read_answer_bytes -= bytes;
    }

    /// Releases bytes of an answer that was being delivered.
    pub fn release_delivered_answer(&mut self, bytes: usize) {
        self.delivered_answer_bytes -= bytes;
    }

    /// Returns whether more of a stream may be read of which `queued_bytes` wait for the caller, and that has waited for `waited`. One with
    /// nothing queued waits only while all memory is used, so that callers that read are served while others do not. Inside an event it waits
    /// only for a limited time, because no caller can free the memory of the event, and only if the event is large.
    pub fn may_read_stream(
        &self,
        queued_bytes: usize,
        partial_event_bytes: usize,
        waited: Duration,
    ) -> bool {
        if queued_bytes > 0 {
            let free_bytes = self.limits.stream_bytes.saturating_sub(self.stream_bytes);
            return queued_bytes <= free_bytes / QUEUE_DIVISOR;
        }
        if partial_event_bytes == 0 {
            return self.held_bytes() < self.limits.total_bytes();
        }
        let is_large = partial_event_bytes > SMALL_BODY_BYTES;
        !is_large || waited >= MAX_EVENT_WAIT || self.resident_bytes() < self.limits.total_bytes()
    }

    /// Counts an answer or a stream from when its reading or delivery begins.
    pub fn on_answer_began(&mut self) {
        self.open_answers += 1;
    }

    /// Counts an answer or a stream whose reading or delivery is over.
    pub fn on_answer_ended(&mut self) {
        self.open_answers -= 1;
    }

    /// Holds bytes that were read of a stream; returns false, and holds nothing, if all memory is used.
    pub fn try_hold_stream(&mut self, bytes: usize) -> bool {
        let has_room = self.has_room(bytes);
        if has_room {
            self.stream_bytes += bytes;
        }
        has_room
    }

    /// Holds bytes of an endpoint's answer to the VM's own question, beyond its first 16 KiB; returns false, and holds nothing, if others use
    /// up the memory.
    pub fn try_hold_control(&mut self, bytes: usize) -> bool {
        let control_bytes = self.control_bytes.saturating_add(bytes);
        let has_room = bytes == 0 || control_bytes <= self.limits.control_bytes;
        if has_room {
            self.control_bytes = control_bytes;
        }
        has_room
    }

    /// Releases bytes of an endpoint's answer to the VM's own question.
    pub fn release_control(&mut self, bytes: usize) {
        self.control_bytes -= bytes;
    }

    /// Counts a stream that begins to wait for room.
    pub fn on_stream_paused(&mut self) {
        self.counts.stream_paused += 1;
        self.paused_reads += 1;
    }

    /// Counts an answer or a stream that no longer waits for room.
    pub fn on_read_resumed(&mut self) {
        self.paused_reads -= 1;
    }

    /// Releases bytes of a stream.
    pub fn release_stream(&mut self, bytes: usize) {
        self.stream_bytes -= bytes;
    }

    /// Returns whether a body may be handed to an endpoint, and counts it as unread if so. A body that alone exceeds the limit may if the
    /// endpoint has read all others.
    pub fn try_hand_over(&mut self, endpoint: &Name, bytes: usize) -> bool {
        if bytes <= SMALL_BODY_BYTES {
            return true;
        }
        let unread_bytes = self.unread_bytes.get(endpoint).copied().unwrap_or(0);
        let after = unread_bytes.saturating_add(bytes);
        if unread_bytes > 0 && after > self.limits.endpoint_bytes {
            return false;
        }
        self.unread_bytes.insert(endpoint.clone(), after);
        true
    }

    /// Counts a request that was not sent because its endpoint has not read earlier ones.
    pub fn on_endpoint_full(&mut self) {
        self.counts.endpoint_full += 1;
    }

    /// Counts a body that was handed to an endpoint as read, or given up.
    pub fn on_handed_over(&mut self, endpoint: &Name, bytes: usize) {
        if bytes <= SMALL_BODY_BYTES {
            return;
        }
        let Some(unread_bytes) = self.unread_bytes.get_mut(endpoint) else {
            return;
        };
        *unread_bytes = unread_bytes.saturating_sub(bytes);
        if *unread_bytes == 0 {
            self.unread_bytes.remove(endpoint);
        }
    }

    /// Returns how many bytes may be read of an answer at once: fewer the less memory is free for answers, because the HTTP library reads up
    /// to `PIECES_READ_AHEAD` such pieces of each answer that nobody has counted yet.
    pub fn max_read_bytes(&self) -> usize {
        let answer_bytes = self.read_answer_bytes + self.delivered_answer_bytes;
        let free_for_answers = self.limits.answer_bytes.saturating_sub(answer_bytes);
        let free_for_streams = self.limits.stream_bytes.saturating_sub(self.stream_bytes);
        let free_bytes = free_for_answers.min(free_for_streams);
        (free_bytes / READ_DIVISOR).clamp(MIN_READ_BYTES, MAX_READ_BYTES)
    }

    /// Returns how slowly an answer may be read; none: as slowly as its caller likes.
    pub fn unread_limits(&self) -> Option<UnreadLimits> {
        let answer_bytes = self.read_answer_bytes + self.delivered_answer_bytes;
        let is_short = answer_bytes > self.limits.answer_bytes / 2
            || self.stream_bytes > self.limits.stream_bytes / 2;
        let unread = if is_short {
            self.limits.short_unread_limit
        } else {
            self.limits.unread_limit
        };
        unread.map(|unread| UnreadLimits {
            unread,
            ends_slow: is_short,
        })
    }

    /// Returns the bytes of all uses.
    fn held_bytes(&self) -> usize {
        let requests = self.request_bytes + self.small_request_bytes;
        let answers = self.read_answer_bytes + self.delivered_answer_bytes;
        requests + answers + self.stream_bytes
    }

    /// Returns an estimate of the memory that the process uses for all bodies: with what the allocator and the connections of open answers
    /// need besides.
    fn resident_bytes(&self) -> usize {
        let held_bytes = self.held_bytes();
        let allocator_bytes = held_bytes / ALLOCATOR_DIVISOR;
        held_bytes
            .saturating_add(allocator_bytes)
            .saturating_add(self.open_answers * OPEN_ANSWER_BYTES)
    }

    /// Returns whether further bytes are within the limit of all uses together.
    fn has_room(&self, bytes: usize) -> bool {
        self.held_bytes().saturating_add(bytes) <= self.limits.total_bytes()
    }

    /// Returns what is held, and the decisions.
    pub fn status(&self) -> BufferStatus {
        BufferStatus {
            counts: self.counts,
            request_bytes: self.request_bytes + self.small_request_bytes,
            answer_bytes: self.read_answer_bytes + self.delivered_answer_bytes,
            stream_bytes: self.stream_bytes,
        }
    }
}
