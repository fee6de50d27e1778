//! Follows the platform's store: the configuration and the list of endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::DirectoryChange;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_platform::config::parse_config;
use arbutusfall_platform::directory::parse_entry;
use arbutusfall_platform::store;
use arbutusfall_platform::store::KeyedRecord;
use arbutusfall_platform::store::Topic;
use arbutusfall_wire::Offset;
use hyper::Method;
use hyper::body::Bytes;

use crate::http;
use crate::http::ClientError;
use crate::relay::driver::Driver;
use crate::relay::settings::STORE_CALL_TIMEOUT;

/// First delay before a failed call is repeated; doubles up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a failed call is repeated.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads one topic for ever.
pub(super) struct StoreWatch {
    pub(super) driver: Arc<Driver>,
    pub(super) address: SocketAddr,
    pub(super) topic: Topic,
    /// Time for which the store may hold a read back while there is nothing new.
    pub(super) wait: Duration,
    /// Time between two reads.
    pub(super) pause: Duration,
}

/// Why the newest records have to be read anew.
enum Lost {
    /// Records after the last that was read were deleted.
    Deleted,
    /// The store did not answer as expected.
    Failed(ClientError),
}

impl StoreWatch {
    pub(super) async fn run(self) {
        let mut from: Option<Offset> = None;
        let mut delay = FIRST_RETRY_DELAY;
        loop {
            let read = match from {
                Some(from) => self.read_tail(from).await,
                None => self.read_newest().await.map_err(Lost::Failed),
            };
            match read {
                Ok(next) => {
                    self.driver.submit(RelayEvent::StoreReachable(true));
                    delay = FIRST_RETRY_DELAY;
                    from = Some(next);
                    if !self.pause.is_zero() {
                        async_io::Timer::after(self.pause).await;
                    }
                }
                Err(Lost::Deleted) => from = None,
                Err(Lost::Failed(error)) => {
                    log::debug!("the store did not answer: {error}");
                    self.driver.submit(RelayEvent::StoreReachable(false));
                    async_io::Timer::after(delay).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<Bytes, ClientError> {
        let within = wait + STORE_CALL_TIMEOUT;
        let executor = &self.driver.executor;
        http::exchange(executor, self.address, Method::GET, path, within).await
    }

    /// Reads the newest record of each key; returns the offset from which the tail goes on.
    async fn read_newest(&self) -> Result<Offset, ClientError> {
        let mut records = Vec::new();
        let mut after = None;
        let mut first_end = None;
        loop {
            let path = store::newest_path(self.topic, after.as_deref());
            let body = self.get(&path, Duration::ZERO).await?;
            let page = store::parse_newest(&body).map_err(|_| ClientError::Malformed)?;
            // Pages are read at different times; the tail repeats what changed since the first.
            let end = *first_end.get_or_insert(page.end);
            records.extend(page.records);
            after = page.next_after;
            if after.is_none() {
                self.take(records, true);
                return Ok(end);
            }
        }
    }

    async fn read_tail(&self, from: Offset) -> Result<Offset, Lost> {
        let path = store::tail_path(self.topic, from, self.wait);
        let body = self
            .get(&path, self.wait)
            .await
            .map_err(|error| match error {
                ClientError::Status(status) if store::is_deleted(status) => Lost::Deleted,
                error => Lost::Failed(error),
            })?;
        let page =
            store::parse_tail(&body, from).map_err(|_| Lost::Failed(ClientError::Malformed))?;
        self.take(page.records, false);
        Ok(page.next)
    }

    fn take(&self, records: Vec<KeyedRecord>, is_whole: bool) {
        match self.topic {
            Topic::Config => self.take_config(records),
            Topic::Endpoints => self.take_endpoints(records, is_whole),
        }
    }

    fn take_config(&self, records: Vec<KeyedRecord>) {
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
            Ok(routes) => self.driver.submit(RelayEvent::Routes(Arc::new(routes))),
            Err(error) => log::error!("a version of the configuration cannot be read: {error}"),
        }
    }

    fn take_endpoints(&self, records: Vec<KeyedRecord>, is_whole: bool) {
        let mut changes = Vec::new();
        if is_whole {
            let instances = records.iter().map(|record| record.key.clone());
            changes.push(DirectoryChange::FullList(instances.collect()));
        }
        changes.extend(records.into_iter().map(|record| {
            let instance = record.key;
            let Some(value) = record.value else {
                return DirectoryChange::Removed { instance };
            };
            match parse_entry(instance.clone(), &value) {
                Ok(listed) => DirectoryChange::Listed(listed),
                Err(error) => {
                    log::info!("the entry of {instance} names no endpoint to use: {error}");
                    DirectoryChange::Removed { instance }
                }
            }
        }));
        if !changes.is_empty() || is_whole {
            self.driver.submit(RelayEvent::Directory(changes));
        }
    }
}
