//! Splits a byte stream of server-sent events after whole events.

use hyper::body::Bytes;

/// Maximum size of an incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Size from which an incomplete event gets a buffer for the longest one, in bytes: one that is doubled again and again fragments the
/// heap.
const LONG_EVENT_BYTES: usize = 32 * 1024;

/// One or more whole events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeEvents {
    /// Bytes of the events, including the blank line that ends each.
    pub bytes: Bytes,
    /// Value of the first numeric `id` line in these events.
    pub first_id: Option<u64>,
    /// Value of the last numeric `id` line in these events.
    pub last_id: Option<u64>,
}

/// An event is longer than the splitter buffers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits a byte stream of server-sent events into chunks of whole events; buffers an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Adds bytes; returns the events that they complete, if any.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if an incomplete event is longer than 256 KiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<WholeEvents>, EventTooLong> {
        let searched = self.pending.len();
        self.reserve(bytes.len());
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending, searched) else {
            return if self.pending.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        let rest = self.pending.split_off(end);
        let mut whole = std::mem::replace(&mut self.pending, rest);
        whole.shrink_to_fit();
        let first_id = whole.split(|byte| *byte == b'\n').find_map(id_of_line);
        let last_id = whole.rsplit(|byte| *byte == b'\n').find_map(id_of_line);
        Ok(Some(WholeEvents {
            bytes: whole.into(),
            first_id,
            last_id,
        }))
    }

    /// Makes room for further bytes of an incomplete event.
    fn reserve(&mut self, bytes: usize) {
        let needed_bytes = self.pending.len() + bytes;
        if !self.pending.is_empty() && needed_bytes > LONG_EVENT_BYTES {
            let longest_bytes = needed_bytes.max(MAX_EVENT_BYTES);
            self.pending
                .reserve_exact(longest_bytes - self.pending.len());
        }
    }

    /// Returns the number of bytes after the last whole event.
    pub fn partial_event_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an event has begun and its end has not arrived; blank lines between events begin none.
    pub fn is_inside_event(&self) -> bool {
        self.pending
            .iter()
            .any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Returns the bytes after the last whole event.
    pub fn finish(self) -> Bytes {
        self.pending.into()
    }
}

/// Returns the position after the last blank line, which does not end in the first `searched` bytes.
fn end_of_last_event(bytes: &[u8], searched: usize) -> Option<usize> {
    let ends_at = |end: usize| {
        let before = &bytes[..end];
        before.ends_with(b"\n\n") || before.ends_with(b"\r\n\r\n")
    };
    (searched + 1..=bytes.len()).rev().find(|end| ends_at(*end))
}

/// Returns the value of an `id` line, if it is a number.
fn id_of_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
