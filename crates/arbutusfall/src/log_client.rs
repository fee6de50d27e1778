//! HTTP client of the platform's log service.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::LogEra;
use arbutusfall_core::LogRecord;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::Executor;
use crate::http;
use crate::http::ClientError;

/// Timeout of one exchange with the log service, not counting the wait requested by a read.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of records in one read.
const MAX_RECORDS: usize = 1_000;

/// Failed exchange with the log service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogError {
    /// Whether the records of a failed append may be in the log, now or later; false for a read.
    pub may_have_taken_effect: bool,
    /// Failure of the HTTP exchange.
    pub cause: ClientError,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log service: {}", self.cause)
    }
}

impl std::error::Error for LogError {}

/// Result of one read from a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Number of the log's era, see [`LogEra`]; 0 if the log doesn't state it.
    #[serde(default)]
    pub era: u64,
    /// Time since the era began, in milliseconds, at the same instant as the records' ages.
    #[serde(default)]
    pub era_age_ms: u64,
    /// Oldest offset that the log retains.
    pub oldest: Offset,
    /// Offset of the next record to be appended.
    pub end: Offset,
    /// Records in order of their offsets.
    pub records: Vec<PageRecord>,
}

impl ReadPage {
    /// Returns the era in which the log answered.
    pub fn era(&self) -> LogEra {
        LogEra {
            number: self.era,
            age: Duration::from_millis(self.era_age_ms),
        }
    }
}

/// One record of a [`ReadPage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Offset in the stream.
    pub offset: Offset,
    /// Time since the append, in milliseconds.
    pub age_ms: u64,
    /// Content of the record.
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
    /// Address on which the log service listens.
    pub address: SocketAddr,
}

impl LogClient {
    /// Appends records with one request and returns the offset of the first. The log refuses them if its era is not the
    /// given one; a log that states no era ignores it.
    ///
    /// # Errors
    ///
    /// Returns [`LogError`]; its `may_have_taken_effect` is false only if the append is known to have had no effect.
    pub async fn append(
        &self,
        executor: &Executor,
        stream: &str,
        era: u64,
        records: &[Name],
    ) -> Result<Offset, LogError> {
        let path = format!("/streams/{stream}/records?era={era}");
        let body = AppendBody { records };
        let answer: Result<AppendAnswer, ClientError> =
            http::post_json(executor, self.address, &path, &body, EXCHANGE_TIMEOUT).await;
        match answer {
            Ok(answer) => Ok(answer.first),
            Err(cause) => {
                // Without a connection the log service received nothing; with 409 (another era) and 503 it refuses
                // before it appends.
                let may_have_taken_effect =
                    cause.may_have_been_sent() && !matches!(cause, ClientError::Status(409 | 503));
                Err(LogError {
                    may_have_taken_effect,
                    cause,
                })
            }
        }
    }

    /// Reads records from offset `from`; if there are none, the log service waits up to `wait` for an append.
    ///
    /// # Errors
    ///
    /// Returns [`LogError`] if the exchange fails.
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
        let timeout = wait + EXCHANGE_TIMEOUT;
        let page = http::get_json(executor, self.address, &path, timeout).await;
        page.map_err(|cause| LogError {
            may_have_taken_effect: false,
            cause,
        })
    }
}
