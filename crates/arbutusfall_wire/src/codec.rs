//! Binary codec of peer frames.

use std::fmt;

use crate::Frame;

/// Longest frame that is accepted from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Error of encoding or decoding a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    TooLong {
        /// Its length in bytes.
        length_bytes: usize,
    },
    /// The bytes are not a valid frame, or the frame could not be encoded.
    Malformed(postcard::Error),
    /// Bytes were left over after the frame.
    TrailingBytes {
        /// Number of bytes left over.
        count: usize,
    },
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { length_bytes } => {
                write!(
                    f,
                    "frame of {length_bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
                )
            }
            Self::Malformed(error) => write!(f, "malformed frame: {error}"),
            Self::TrailingBytes { count } => write!(f, "the frame is followed by {count} bytes"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a frame for one QUIC stream.
///
/// # Errors
///
/// [`CodecError::TooLong`] if the frame exceeds [`MAX_FRAME_BYTES`], which peers reject.
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_stdvec(frame).map_err(CodecError::Malformed)?;
    check_length(bytes.len())?;
    Ok(bytes)
}

/// Decodes the bytes of one QUIC stream.
///
/// # Errors
///
/// Any [`CodecError`]; the bytes are untrusted input.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, CodecError> {
    check_length(bytes.len())?;
    let (frame, rest) = postcard::take_from_bytes(bytes).map_err(CodecError::Malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::TrailingBytes { count: rest.len() });
    }
    Ok(frame)
}

fn check_length(length_bytes: usize) -> Result<(), CodecError> {
    if length_bytes > MAX_FRAME_BYTES {
        return Err(CodecError::TooLong { length_bytes });
    }
    Ok(())
}
