//! Reads the configuration and the endpoint list from the platform's store and follows their changes.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_platform::config::parse_config;
use arbutusfall_platform::directory::parse_entry;
use arbutusfall_platform::shared::parse_record;
use arbutusfall_platform::store;
use arbutusfall_platform::store::KeyedRecord;
use arbutusfall_wire::Offset;
use futures_lite::FutureExt;

use crate::http::ClientError;
use crate::relay::handle::RelayHandle;
use crate::relay::read_timing::READS_AFTER_FAILURE;
use crate::relay::read_timing::ReadTiming;
use crate::relay::shared_records;
use crate::relay::store_client::StoreAnswer;
use crate::relay::store_client::StoreClient;
use crate::relay::store_client::StoreError;

/// Minimum time between the starts of a failed read and the next one; doubles up to [`MAX_RETRY_INTERVAL`].
const FIRST_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum of the minimum time between the starts of a failed read and the next one.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Task that follows one topic.
pub(super) struct StoreWatch<H> {
    pub(super) relay: H,
    pub(super) store: Arc<StoreClient>,
    pub(super) topic: StoreTopic,
    pub(super) timing: ReadTiming,
}

/// Position in a topic.
#[derive(Debug, Clone, Copy)]
struct Position {
    offset: Offset,
    /// Era of the store in which it was read: in another one the offset has other records.
    era: Option<u64>,
}

/// Where and how the next read begins.
struct NextRead {
    /// Position to continue from; none if the newest records must be read.
    from: Option<Position>,
    /// Long-polling wait.
    wait: Duration,
    /// Minimum time from its start to the next read if it fails.
    retry_interval: Duration,
    /// Number of successful reads, from this one on, that are followed by the shorter pause.
    short_pauses: u32,
}

/// Why a read failed.
enum WatchError {
    /// Records that were not yet read have been deleted, or the store has returned from an older copy, so the newest
    /// records must be read again.
    PositionLost,
    /// The request failed, or its answer is malformed.
    Failed(StoreError),
}

impl From<StoreError> for WatchError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Failed(ClientError::Status(status))
                if store::means_records_deleted(status) =>
            {
                Self::PositionLost
            }
            error => Self::Failed(error),
        }
    }
}

impl From<ClientError> for WatchError {
    fn from(error: ClientError) -> Self {
        Self::Failed(error.into())
    }
}

impl<H: RelayHandle> StoreWatch<H> {
    pub(super) async fn run(self) {
        let mut next = NextRead {
            from: None,
            wait: Duration::ZERO,
            retry_interval: FIRST_RETRY_INTERVAL,
            short_pauses: 0,
        };
        loop {
            // Measured from the start of the read: after a silent read, which took long, the next one begins at once.
            let retry_timer = async_io::Timer::after(next.retry_interval);
            match self.read(&next).await {
                Ok(from) => {
                    self.pause(next.short_pauses > 0).await;
                    next = NextRead {
                        from: Some(from),
                        wait: self.timing.wait,
                        retry_interval: FIRST_RETRY_INTERVAL,
                        short_pauses: next.short_pauses.saturating_sub(1),
                    };
                }
                Err(WatchError::PositionLost) => next.from = None,
                Err(WatchError::Failed(error)) => {
                    log::debug!("reading from the store failed: {error}");
                    self.submit_read(Some(read_failure(&error)));
                    retry_timer.await;
                    next = NextRead {
                        from: next.from,
                        wait: Duration::ZERO,
                        retry_interval: (next.retry_interval * 2).min(MAX_RETRY_INTERVAL),
                        short_pauses: READS_AFTER_FAILURE,
                    };
                }
            }
        }
    }

    async fn pause(&self, is_short: bool) {
        let pause = if is_short {
            self.timing.pause_after_failure
        } else {
            self.timing.pause
        };
        if !pause.is_zero() {
            async_io::Timer::after(pause).await;
        }
    }

    async fn read(&self, next: &NextRead) -> Result<Position, WatchError> {
        let Some(from) = next.from else {
            return self.read_newest().await;
        };
        let returned = async {
            self.store.era.changed_from(from.era).await;
            Err(WatchError::PositionLost)
        };
        let silenced = async {
            if self.topic != StoreTopic::Shared {
                return std::future::pending().await;
            }
            // This read waits for long, so another topic's read shows first that connections are silent.
            self.store.silence.reported().await;
            Err(ClientError::Timeout.into())
        };
        // Another topic's answer may show first that the store has returned.
        self.read_tail(from, next.wait)
            .or(returned)
            .or(silenced)
            .await
    }

    fn submit_read(&self, failure: Option<StoreReadFailure>) {
        let topic = self.topic;
        self.relay.submit(RelayEvent::StoreRead { topic, failure });
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<StoreAnswer, StoreError> {
        let timeout = wait + self.timing.answer_timeout;
        self.store.get(&self.relay, path, timeout).await
    }

    /// Reads the newest record of each key; returns the position at which to continue with the tail.
    async fn read_newest(&self) -> Result<Position, WatchError> {
        let mut records = Vec::new();
        let mut after = None;
        let mut first_end = None;
        loop {
            let path = store::newest_path(self.topic, after.as_deref());
            let mut answer = self.get(&path, Duration::ZERO).await;
            if self.topic == StoreTopic::Shared && is_missing(&answer) {
                shared_records::create_topic(&self.relay, &self.store).await?;
                answer = self.get(&path, Duration::ZERO).await;
            }
            let answer = answer.map_err(WatchError::Failed)?;
            let page = store::parse_newest(&answer.body).map_err(|_| ClientError::Malformed)?;
            // Records may be written between two pages. Continuing from the first page's end reads all of them, some
            // for the second time.
            let end = *first_end.get_or_insert(Position {
                offset: page.end,
                era: answer.era,
            });
            if end.era != answer.era {
                // The store has returned between two pages.
                return Err(WatchError::PositionLost);
            }
            records.extend(page.records);
            after = page.next_after;
            if after.is_none() {
                self.submit_records(records, true);
                return Ok(end);
            }
        }
    }

    async fn read_tail(&self, from: Position, wait: Duration) -> Result<Position, WatchError> {
        let path = store::tail_path(self.topic, from.offset, wait);
        let answer = self.get(&path, wait).await?;
        if answer.era != from.era {
            return Err(WatchError::PositionLost);
        }
        let page =
            store::parse_tail(&answer.body, from.offset).map_err(|_| ClientError::Malformed)?;
        self.submit_records(page.records, false);
        Ok(Position {
            offset: page.next,
            era: from.era,
        })
    }

    /// Reports a successful read and what it contains.
    fn submit_records(&self, records: Vec<KeyedRecord>, is_full_list: bool) {
        self.submit_read(None);
        match self.topic {
            StoreTopic::Config => self.submit_config(records),
            StoreTopic::Endpoints => self.submit_endpoints(records, is_full_list),
            StoreTopic::Shared => self.submit_shared(&records, is_full_list),
        }
    }

    fn submit_shared(&self, records: &[KeyedRecord], is_full: bool) {
        if records.is_empty() && !is_full {
            return;
        }
        let records: Vec<SharedRecord> = records.iter().filter_map(parse_record).collect();
        self.relay
            .submit(RelayEvent::SharedRecords { records, is_full });
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
            Ok(config) => self.relay.submit(RelayEvent::NewConfig(Arc::new(config))),
            Err(error) => {
                log::error!("a configuration version cannot be parsed and is ignored: {error}");
                self.relay.submit(RelayEvent::UnreadableConfig);
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
            self.relay.submit(RelayEvent::EndpointChanges(changes));
        }
    }
}

/// Returns whether a read failed because the topic does not exist.
fn is_missing(answer: &Result<StoreAnswer, StoreError>) -> bool {
    match answer {
        Err(StoreError::Failed(ClientError::Status(status))) => store::means_no_topic(*status),
        Ok(_) | Err(_) => false,
    }
}

fn read_failure(error: &StoreError) -> StoreReadFailure {
    let error = match error {
        StoreError::Failed(error) => error,
        StoreError::OldEra => return StoreReadFailure::OldEra,
    };
    match error {
        ClientError::Connect => StoreReadFailure::Unreachable,
        ClientError::Broken | ClientError::TooLong => StoreReadFailure::Closed,
        ClientError::Timeout => StoreReadFailure::Silent,
        ClientError::Status(_) => StoreReadFailure::ErrorStatus,
        ClientError::Malformed => StoreReadFailure::Malformed,
    }
}
