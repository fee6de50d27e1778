//! Client of the platform's store, which watches the store's era.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::relay::RelayEvent;
use arbutusfall_platform::store;
use hyper::Method;
use hyper::body::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http;
use crate::http::ClientError;
use crate::http::WholeRequest;
use crate::relay::handle::RelayHandle;
use crate::relay::store_era::EraObservation;
use crate::relay::store_era::StoreEra;
use crate::relay::store_signal::StoreSignal;

/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

/// Error of a request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StoreError {
    /// The request failed.
    Failed(ClientError),
    /// The answer is from before the store's last return from an older copy.
    OldEra,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(error) => error.fmt(f),
            Self::OldEra => f.write_str("the answer is from before the store's last return"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<ClientError> for StoreError {
    fn from(error: ClientError) -> Self {
        Self::Failed(error)
    }
}

/// A successful answer of the store.
#[derive(Debug, Clone)]
pub(super) struct StoreAnswer {
    pub(super) body: Bytes,
    /// Era of the store; `None` if it states none.
    pub(super) era: Option<u64>,
}

/// A successful answer of the store, parsed.
#[derive(Debug, Clone)]
pub(super) struct StoreDocument<T> {
    pub(super) content: T,
    /// Era of the store; `None` if it states none.
    pub(super) era: Option<u64>,
}

/// Client of the store.
#[derive(Debug)]
pub(super) struct StoreClient {
    address: SocketAddr,
    pub(super) era: StoreEra,
    /// Calls that got no answer in time: other connections may be silent too.
    pub(super) silence: StoreSignal,
    /// Calls that succeeded: others that failed may succeed now.
    pub(super) success: StoreSignal,
}

impl StoreClient {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            era: StoreEra::default(),
            silence: StoreSignal::default(),
            success: StoreSignal::default(),
        }
    }

    /// Sends a GET request; `timeout` applies to the whole exchange.
    pub(super) async fn get(
        &self,
        relay: &impl RelayHandle,
        path: &str,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let body = Bytes::new();
        self.send(relay, Method::GET, path, body, timeout).await
    }

    /// Sends a POST request; `timeout` applies to the whole exchange.
    pub(super) async fn post(
        &self,
        relay: &impl RelayHandle,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        self.send(relay, Method::POST, path, body, timeout).await
    }

    /// Sends a POST request with a JSON document and parses the answer as JSON.
    pub(super) async fn post_json<T: DeserializeOwned>(
        &self,
        relay: &impl RelayHandle,
        path: &str,
        document: &impl Serialize,
        timeout: Duration,
    ) -> Result<StoreDocument<T>, StoreError> {
        let body = serde_json::to_vec(document).map_err(|_| ClientError::Malformed)?;
        let answer = self.post(relay, path, body.into(), timeout).await?;
        let content = serde_json::from_slice(&answer.body).map_err(|_| ClientError::Malformed)?;
        let era = answer.era;
        Ok(StoreDocument { content, era })
    }

    /// Appends encoded records to a topic.
    pub(super) async fn append(
        &self,
        relay: &impl RelayHandle,
        path: &str,
        records: Vec<u8>,
    ) -> Result<StoreAnswer, StoreError> {
        self.post(relay, path, records.into(), APPEND_TIMEOUT).await
    }

    async fn send(
        &self,
        relay: &impl RelayHandle,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let request = WholeRequest {
            address: self.address,
            method,
            path,
            body,
        };
        let answer = http::request_whole(&relay.io().executor, request, timeout).await;
        if matches!(answer, Err(ClientError::Timeout)) {
            self.silence.report();
        }
        let answer = answer?;
        let era = store::era(&answer.headers);
        // Error answers have an era too.
        match era.map(|era| (era, self.era.observe(era))) {
            Some((_, EraObservation::Older)) => return Err(StoreError::OldEra),
            Some((era, EraObservation::First)) => relay.submit(RelayEvent::StoreSeen { era }),
            Some((era, EraObservation::Newer { previous })) => {
                relay.submit(RelayEvent::StoreReturned { previous, era });
            }
            Some((_, EraObservation::Current)) | None => {}
        }
        let body = answer.into_successful_body()?;
        self.success.report();
        Ok(StoreAnswer { body, era })
    }
}

/// Appends `count` encoded records to a topic; returns whether the store confirmed it.
pub(super) async fn append(
    relay: &impl RelayHandle,
    store: &StoreClient,
    path: &str,
    records: Vec<u8>,
    count: usize,
) -> bool {
    let answer = store.append(relay, path, records).await;
    if let Err(error) = &answer {
        log::debug!("an append of {count} records to {path} was not confirmed: {error}");
    }
    answer.is_ok()
}
