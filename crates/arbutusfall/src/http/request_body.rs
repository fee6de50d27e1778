//! Reading of requests' bodies.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::http::body_memory::BodyMemory;
use crate::http::body_memory::HeldRequest;
use crate::http::whole_body;
use crate::http::whole_body::CollectError;

/// Time after which a request may be sent again that found no memory for its body: those that hold it last about as long.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error of reading a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBodyError {
    /// The body is longer than allowed.
    TooLong,
    /// The body did not arrive in time.
    Timeout,
    /// The connection failed.
    Broken,
    /// The memory for bodies of requests is used up.
    NoMemory,
}

impl fmt::Display for ReadBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the body is too long",
            Self::Timeout => "the body did not arrive in time",
            Self::Broken => "the connection failed",
            Self::NoMemory => "the memory for bodies of requests is used up",
        })
    }
}

impl std::error::Error for ReadBodyError {}

impl ReadBodyError {
    /// Returns the problem with which to answer the caller.
    pub(crate) fn problem(self) -> Problem {
        Problem::new(match self {
            Self::TooLong => ProblemKind::BodyTooLarge,
            Self::Timeout => ProblemKind::ReceiveTimeout,
            Self::Broken => ProblemKind::Malformed,
            Self::NoMemory => {
                return Problem::retry(ProblemKind::NotRun, NO_MEMORY_RETRY_AFTER);
            }
        })
    }
}

/// The complete body of a request, which counts towards the memory for bodies until it is dropped.
#[derive(Debug)]
pub(crate) struct CountedBody {
    pub(crate) bytes: Bytes,
    pub(crate) held: HeldRequest,
}

/// Reads the complete body of a request if there is memory for it.
///
/// # Errors
///
/// [`ReadBodyError`] if the body is too long, too slow or incomplete, or finds no memory; then the rest of it is read and dropped,
/// because a caller may not read the answer before it has sent its request.
pub(crate) async fn read_counted_body(
    mut body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    memory: &Arc<BodyMemory>,
) -> Result<CountedBody, ReadBodyError> {
    let read = async {
        let counted = count_body(&mut body, max_bytes, memory).await;
        if matches!(counted, Err(ReadBodyError::NoMemory)) {
            log::info!("a request is refused, because bodies of others use up the memory for them");
            while let Some(Ok(_)) = body.frame().await {}
        }
        counted
    };
    let expire = async {
        async_io::Timer::after(timeout).await;
        Err(ReadBodyError::Timeout)
    };
    read.or(expire).await
}

async fn count_body(
    body: &mut Incoming,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<CountedBody, ReadBodyError> {
    let mut held = HeldRequest::begin(memory);
    let stated_bytes = body.size_hint().exact().unwrap_or(0);
    let stated_bytes = usize::try_from(stated_bytes).unwrap_or(usize::MAX);
    if stated_bytes > max_bytes {
        return Err(ReadBodyError::TooLong);
    }
    if !held.try_add(stated_bytes) {
        return Err(ReadBodyError::NoMemory);
    }
    let mut counted_bytes = stated_bytes;
    let mut bytes = Vec::with_capacity(stated_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadBodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        let needed_bytes = bytes.len() + data.len();
        if needed_bytes > max_bytes {
            return Err(ReadBodyError::TooLong);
        }
        if needed_bytes > counted_bytes && !held.try_add(needed_bytes - counted_bytes) {
            return Err(ReadBodyError::NoMemory);
        }
        counted_bytes = counted_bytes.max(needed_bytes);
        bytes.extend_from_slice(&data);
    }
    let bytes = bytes.into();
    Ok(CountedBody { bytes, held })
}

/// Reads the complete body of a request.
///
/// # Errors
///
/// [`ReadBodyError`] if the body is too long, too slow or incomplete.
pub async fn read_request_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ReadBodyError> {
    let read = async {
        let read = whole_body::collect(body, max_bytes).await;
        read.map_err(|error| match error {
            CollectError::TooLong => ReadBodyError::TooLong,
            CollectError::Broken => ReadBodyError::Broken,
        })
    };
    let expire = async {
        async_io::Timer::after(timeout).await;
        Err(ReadBodyError::Timeout)
    };
    read.or(expire).await
}
