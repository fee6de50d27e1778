//! Limits of the memory for bodies, derived from the memory of a VM.

use std::time::Duration;

/// Part of the memory that bodies of requests may take beyond the first bytes of each: one of this many.
const REQUEST_DIVISOR: usize = 6;

/// Part of the memory that the first bytes of the bodies of requests may take.
const SMALL_REQUEST_DIVISOR: usize = 12;

/// Part of the memory that whole answers may take while they are read from endpoints.
const READ_ANSWER_DIVISOR: usize = 12;

/// Part of the memory that whole answers may take until they are delivered. Twice the part above: those that are delivered never
/// keep one that is being read from its end.
const ANSWER_DIVISOR: usize = 6;

/// Part of the memory that streams may take on their way to callers.
const STREAM_DIVISOR: usize = 12;

/// Part of the memory that answers of endpoints to the VM's own questions may take.
const CONTROL_DIVISOR: usize = 24;

/// Part of the memory for bodies of requests that one endpoint may have without reading it.
const ENDPOINT_DIVISOR: usize = 4;

/// Time after which an answer is ended of which its caller reads nothing.
const UNREAD_LIMIT: Duration = Duration::from_secs(4);

/// That time while little memory is left for answers.
const SHORT_UNREAD_LIMIT: Duration = Duration::from_secs(1);

/// Limits of the memory for bodies. The parts are separate, so that no direction takes the memory of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes of bodies of requests, beyond the first 16 KiB of each.
    pub request_bytes: usize,
    /// Bytes of the first 16 KiB of bodies of requests.
    pub small_request_bytes: usize,
    /// Bytes of whole answers that are being read from endpoints, beyond the first 16 KiB of each.
    pub read_answer_bytes: usize,
    /// Bytes of whole answers that are being read or delivered, beyond the first 16 KiB of each.
    pub answer_bytes: usize,
    /// Bytes of streams on their way to callers.
    pub stream_bytes: usize,
    /// Bytes of answers to the VM's own questions that are being read from endpoints, beyond the first 16 KiB of each.
    pub control_bytes: usize,
    /// Bytes of bodies over 16 KiB that one endpoint has not read.
    pub endpoint_bytes: usize,
    /// Time after which an answer is ended of which its caller reads nothing; none: never.
    pub unread_limit: Option<Duration>,
    /// That time while more than half of the memory for whole answers or for streams is used.
    pub short_unread_limit: Option<Duration>,
}

impl BufferLimits {
    /// Returns the limits for a VM with so much memory: half of it for the bodies of callers, in all.
    pub fn of_memory(memory_bytes: usize) -> Self {
        let request_bytes = memory_bytes / REQUEST_DIVISOR;
        Self {
            request_bytes,
            small_request_bytes: memory_bytes / SMALL_REQUEST_DIVISOR,
            read_answer_bytes: memory_bytes / READ_ANSWER_DIVISOR,
            answer_bytes: memory_bytes / ANSWER_DIVISOR,
            stream_bytes: memory_bytes / STREAM_DIVISOR,
            control_bytes: memory_bytes / CONTROL_DIVISOR,
            endpoint_bytes: request_bytes / ENDPOINT_DIVISOR,
            unread_limit: Some(UNREAD_LIMIT),
            short_unread_limit: Some(SHORT_UNREAD_LIMIT),
        }
    }

    /// Returns the limits for a VM whose memory is not stated: only those of bodies while they are read, for `memory_bytes`.
    pub fn of_unstated_memory(memory_bytes: usize) -> Self {
        Self {
            small_request_bytes: usize::MAX,
            answer_bytes: usize::MAX,
            stream_bytes: usize::MAX,
            endpoint_bytes: usize::MAX,
            unread_limit: None,
            short_unread_limit: None,
            ..Self::of_memory(memory_bytes)
        }
    }

    /// Returns the bytes of all parts for the bodies of callers.
    pub fn total_bytes(&self) -> usize {
        let requests = self.request_bytes.saturating_add(self.small_request_bytes);
        let answers = self.answer_bytes.saturating_add(self.stream_bytes);
        requests.saturating_add(answers)
    }
}
