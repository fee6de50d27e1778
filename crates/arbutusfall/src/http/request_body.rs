//! Reading of requests' bodies.

use std::fmt;
use std::time::Duration;

use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::body::Incoming;

/// Error of reading a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBodyError {
    /// The body is longer than allowed.
    TooLong,
    /// The body did not arrive in time.
    Timeout,
    /// The connection failed.
    Broken,
}

impl fmt::Display for ReadBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the body is too long",
            Self::Timeout => "the body did not arrive in time",
            Self::Broken => "the connection failed",
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
        })
    }
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
        match Limited::new(body, max_bytes).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(ReadBodyError::TooLong),
            Err(_) => Err(ReadBodyError::Broken),
        }
    };
    let expire = async {
        async_io::Timer::after(timeout).await;
        Err(ReadBodyError::Timeout)
    };
    read.or(expire).await
}
