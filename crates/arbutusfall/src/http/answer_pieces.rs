//! Whole answers in pieces of one size, which the allocator can reuse for other answers without fragmentation.

use std::collections::VecDeque;

use hyper::body::Bytes;

/// Size of a piece, in bytes; only the last one of an answer may be smaller.
const PIECE_BYTES: usize = 32 * 1024;

/// An answer that is being read.
#[derive(Debug, Default)]
pub(super) struct PieceBuffer {
    complete: VecDeque<Bytes>,
    last: Vec<u8>,
}

impl PieceBuffer {
    /// Appends bytes.
    pub(super) fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = PIECE_BYTES - self.last.len();
            let (now, later) = bytes.split_at(bytes.len().min(room));
            self.reserve(now.len());
            self.last.extend_from_slice(now);
            if self.last.len() == PIECE_BYTES {
                let piece = std::mem::take(&mut self.last);
                self.complete.push_back(piece.into());
            }
            bytes = later;
        }
    }

    /// Makes room in the last piece: exactly, if it is the first one, since most answers are small.
    fn reserve(&mut self, bytes: usize) {
        let is_first = self.last.is_empty() && self.complete.is_empty();
        let needed_bytes = if is_first {
            bytes
        } else {
            PIECE_BYTES - self.last.len()
        };
        self.last.reserve_exact(needed_bytes);
    }

    /// Returns the pieces.
    pub(super) fn into_pieces(mut self) -> VecDeque<Bytes> {
        if !self.last.is_empty() {
            self.complete.push_back(self.last.into());
        }
        self.complete
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against answers whose bytes are lost or mixed between two pieces.
    #[test]
    fn pieces_are_the_answer() {
        for length in [0, 1, 5_000, PIECE_BYTES, PIECE_BYTES + 1, 3 * PIECE_BYTES] {
            let bytes: Vec<u8> = (0..length).map(|at| (at % 251) as u8).collect();
            for step in [1_000, 8_191, 100_000] {
                let mut buffer = PieceBuffer::default();
                for part in bytes.chunks(step) {
                    buffer.push(part);
                }
                let pieces = buffer.into_pieces();
                let joined: Vec<u8> = pieces.iter().flatten().copied().collect();
                assert!(joined == bytes, "{length} bytes in steps of {step}");
                let is_full = |piece: &Bytes| piece.len() == PIECE_BYTES;
                assert!(pieces.iter().rev().skip(1).all(is_full));
            }
        }
    }
}
