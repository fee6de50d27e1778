//! Reads the configuration and the endpoint list from the platform's store and follows their changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_platform::config::parse_config;
use arbutusfall_platform::directory::parse_entry;
use arbutusfall_platform::store;
use arbutusfall_platform::store::KeyedRecord;
use arbutusfall_wire::Offset;
use hyper::Method;
use hyper::body::Bytes;

use crate::http;
use crate::http::ClientError;
use crate::relay::driver::Driver;
use crate::relay::settings::STORE_REQUEST_TIMEOUT;

/// Delay before the first retry of a failed read; doubles up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay before a retry of a failed read.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Task that follows one topic.
pub(super) struct StoreWatch {
    pub(super) driver: Arc<Driver>,
    pub(super) address: SocketAddr,
    pub(super) topic: StoreTopic,
    /// Long-polling wait of a tail read.
    pub(super) wait: Duration,
    /// Delay between two successful reads.
    pub(super) pause: Duration,
}

/// Why a read failed.
enum WatchError {
    /// Records that were not yet read have been deleted, so the newest records must be read again.
    Deleted,
    /// The request failed, or its answer is malformed.
    Failed(ClientError),
}

impl StoreWatch {
    pub(super) async fn run(self) {
        let mut from: Option<Offset> = None;
        let mut delay = FIRST_RETRY_DELAY;
        loop {
            let read = match from {
                Some(from) => self.read_tail(from).await,
                None => self.read_newest().await.map_err(WatchError::Failed),
            };
            match read {
                Ok(next) => {
                    self.submit_read(None);
                    delay = FIRST_RETRY_DELAY;
                    from = Some(next);
                    if !self.pause.is_zero() {
                        async_io::Timer::after(self.pause).await;
                    }
                }
                Err(WatchError::Deleted) => from = None,
                Err(WatchError::Failed(error)) => {
                    log::debug!("reading from the store failed: {error}");
                    self.submit_read(Some(read_failure(&error)));
                    async_io::Timer::after(delay).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    fn submit_read(&self, failure: Option<StoreReadFailure>) {
        let topic = self.topic;
        self.driver.submit(RelayEvent::StoreRead { topic, failure });
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<Bytes, ClientError> {
        let timeout = wait + STORE_REQUEST_TIMEOUT;
        let executor = &self.driver.executor;
        http::request_bytes(executor, self.address, Method::GET, path, timeout).await
    }

    /// Reads the newest record of each key; returns the offset at which to continue with the tail.
    async fn read_newest(&self) -> Result<Offset, ClientError> {
        let mut records = Vec::new();
        let mut after = None;
        let mut first_end = None;
        loop {
            let path = store::newest_path(self.topic, after.as_deref());
            let body = self.get(&path, Duration::ZERO).await?;
            let page = store::parse_newest(&body).map_err(|_| ClientError::Malformed)?;
            // Records may be written between two pages. Continuing from the first page's end reads all of them, some
            // for the second time.
            let end = *first_end.get_or_insert(page.end);
            records.extend(page.records);
            after = page.next_after;
            if after.is_none() {
                self.submit_records(records, true);
                return Ok(end);
            }
        }
    }

    async fn read_tail(&self, from: Offset) -> Result<Offset, WatchError> {
        let path = store::tail_path(self.topic, from, self.wait);
        let body = self
            .get(&path, self.wait)
            .await
            .map_err(|error| match error {
                ClientError::Status(status) if store::means_records_deleted(status) => {
                    WatchError::Deleted
                }
                error => WatchError::Failed(error),
            })?;
        let page = store::parse_tail(&body, from)
            .map_err(|_| WatchError::Failed(ClientError::Malformed))?;
        self.submit_records(page.records, false);
        Ok(page.next)
    }

    fn submit_records(&self, records: Vec<KeyedRecord>, is_full_list: bool) {
        match self.topic {
            StoreTopic::Config => self.submit_config(records),
            StoreTopic::Endpoints => self.submit_endpoints(records, is_full_list),
        }
    }

    fn submit_config(&self, records: Vec<KeyedRecord>) {
        let documents = records
            .iter()
            .filter(|record| *record.key == *store::CONFIG_KEY);
        let Some(document) = documents
            .filter_map(|record| record.value.as_deref())
            .next_back()
        else {
            return;
        };
        match parse_config(document) {
            Ok(config) => self.driver.submit(RelayEvent::NewConfig(Arc::new(config))),
            Err(error) => {
                log::error!("a configuration version cannot be parsed and is ignored: {error}");
                self.driver.submit(RelayEvent::UnreadableConfig);
            }
        }
    }

    fn submit_endpoints(&self, records: Vec<KeyedRecord>, is_full_list: bool) {
        let mut changes = Vec::new();
        if is_full_list {
            let instances = records.iter().map(|record| record.key.clone());
            changes.push(EndpointListChange::FullList(instances.collect()));
        }
        changes.extend(records.into_iter().map(|record| {
            let instance = record.key;
            let Some(value) = record.value else {
                return EndpointListChange::Removed { instance };
            };
            match parse_entry(instance.clone(), &value) {
                Ok(listed) => EndpointListChange::Listed(listed),
                Err(error) => {
                    log::info!(
                        "treating endpoint {instance} as removed, because its list entry is invalid: {error}"
                    );
                    EndpointListChange::Removed { instance }
                }
            }
        }));
        if !changes.is_empty() || is_full_list {
            self.driver.submit(RelayEvent::EndpointChanges(changes));
        }
    }
}

fn read_failure(error: &ClientError) -> StoreReadFailure {
    match error {
        ClientError::Connect => StoreReadFailure::Unreachable,
        ClientError::Broken => StoreReadFailure::Closed,
        ClientError::Timeout => StoreReadFailure::Silent,
        ClientError::Status(_) => StoreReadFailure::ErrorStatus,
        ClientError::Malformed => StoreReadFailure::Malformed,
    }
}
