//! Whole bodies that this process itself reads, within a limit of their size.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::http::body_memory::BodyMemory;
use crate::http::body_memory::HeldControl;

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CollectError {
    /// It is longer than allowed, or there is no memory for it.
    TooLong,
    /// Its connection failed.
    Broken,
}

/// Reads a complete body of at most `max_bytes` into one buffer: a piece of it, however small, holds the whole buffer in which it was read.
///
/// # Errors
///
/// [`CollectError`].
pub(crate) async fn collect(body: Incoming, max_bytes: usize) -> Result<Bytes, CollectError> {
    collect_held(body, max_bytes, None).await
}

/// Like [`collect`]; the body counts towards `memory` while it is read.
///
/// # Errors
///
/// [`CollectError`].
pub(crate) async fn collect_within(
    body: Incoming,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, CollectError> {
    collect_held(body, max_bytes, Some(HeldControl::begin(memory))).await
}

async fn collect_held(
    mut body: Incoming,
    max_bytes: usize,
    mut held: Option<HeldControl>,
) -> Result<Bytes, CollectError> {
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Broken)?;
        let Ok(data) = frame.into_data() else {
            // Trailers say nothing that is read.
            continue;
        };
        if data.len() > max_bytes - collected.len() {
            return Err(CollectError::TooLong);
        }
        if let Some(held) = &mut held
            && !held.try_add(data.len())
        {
            return Err(CollectError::TooLong);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.into())
}
