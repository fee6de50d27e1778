//! Adapter of the platform's log service.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::LogRecord;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::Executor;
use crate::http;
use crate::http::ClientError;

/// Time allowed for one exchange with the log, beyond what it was asked to wait.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Most records of one read.
const MAX_RECORDS: usize = 1_000;

/// The log did not do what it was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogError {
    /// Whether an append may still have taken effect.
    pub offered: bool,
    /// What failed.
    pub cause: ClientError,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log service: {}", self.cause)
    }
}

impl std::error::Error for LogError {}

/// Part of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Oldest offset that the log keeps.
    pub oldest: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
    /// Records in order.
    pub records: Vec<PageRecord>,
}

/// One record of a [`ReadPage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Its place in the stream.
    pub offset: Offset,
    /// Time since it was appended.
    pub age_ms: u64,
    /// Its content.
    pub text: Name,
}

impl From<PageRecord> for LogRecord {
    fn from(record: PageRecord) -> Self {
        Self {
            offset: record.offset,
            age: Duration::from_millis(record.age_ms),
            text: record.text,
        }
    }
}

#[derive(Serialize)]
struct AppendBody<'a> {
    records: &'a [Name],
}

#[derive(Deserialize)]
struct AppendAnswer {
    first: Offset,
}

/// Client of the log service.
#[derive(Debug, Clone, Copy)]
pub struct LogClient {
    /// Where it listens.
    pub address: SocketAddr,
}

impl LogClient {
    /// Appends records together and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// [`LogError::offered`] tells whether the append may have taken effect.
    pub async fn append(
        &self,
        executor: &Executor,
        stream: &str,
        records: &[Name],
    ) -> Result<Offset, LogError> {
        let path = format!("/streams/{stream}/records");
        let body = AppendBody { records };
        let answer: Result<AppendAnswer, ClientError> =
            http::post_json(executor, self.address, &path, &body, EXCHANGE_TIMEOUT).await;
        match answer {
            Ok(answer) => Ok(answer.first),
            Err(cause) => {
                let offered = !matches!(cause, ClientError::Connect | ClientError::Status(503));
                Err(LogError { offered, cause })
            }
        }
    }

    /// Reads from an offset on; with nothing to read, the log waits for a while.
    ///
    /// # Errors
    ///
    /// Any failure of the exchange.
    pub async fn read(
        &self,
        executor: &Executor,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<ReadPage, LogError> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/streams/{stream}/records?from={from}&max={MAX_RECORDS}&wait_ms={wait_ms}");
        let within = wait + EXCHANGE_TIMEOUT;
        let page = http::get_json(executor, self.address, &path, within).await;
        page.map_err(|cause| LogError {
            offered: false,
            cause,
        })
    }
}
