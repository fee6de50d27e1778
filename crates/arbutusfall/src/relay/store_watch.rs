//! Reads the configuration and the endpoint list from the platform's store and follows their changes.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::AccountTable;
use arbutusfall_core::relay::FIRST_ERA;
use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::FactRecord;
use arbutusfall_core::relay::FactSpan;
use arbutusfall_core::relay::LIST_RECOVERY_GRACE;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_core::relay::TailCost;
use arbutusfall_platform::store;
use arbutusfall_platform::store::KeyedRecord;
use arbutusfall_platform::store::TailPage;
use arbutusfall_wire::Offset;
use futures_lite::FutureExt;

use crate::http::ClientError;
use crate::relay::fact_board::FactBoard;
use crate::relay::fact_board::PassedSpan;
use crate::relay::handle::RelayHandle;
use crate::relay::listed_entries::ListedEntries;
use crate::relay::read_timing::READS_AFTER_FAILURE;
use crate::relay::read_timing::ReadTiming;
use crate::relay::store_client::StoreAnswer;
use crate::relay::store_client::StoreClient;
use crate::relay::store_client::StoreError;
use crate::relay::store_pages::NewestPages;
use crate::relay::store_pages::record_bytes;
use crate::relay::store_pages::without_foreign_value;

mod reading_newest;
mod submitting;

/// Minimum time between the starts of a failed read and the next one; doubles up to [`ReadTiming::max_retry_interval`].
const FIRST_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Task that follows one topic.
pub(super) struct StoreWatch<H> {
    pub(super) relay: H,
    pub(super) store: Arc<StoreClient>,
    pub(super) topic: StoreTopic,
    pub(super) timing: ReadTiming,
    /// What VMs pass on to each other.
    pub(super) facts: Arc<FactBoard>,
    /// Entries of the endpoint list as they were read last.
    pub(super) listed: ListedEntries,
    /// Accounts of the configuration that was read last, which the next one shares as far as they do not differ.
    pub(super) accounts: AccountTable,
    /// Estimate of what is written to the endpoint list, and whether the link can carry it.
    pub(super) tail_cost: TailCost,
    /// Pages of a read of newest records that failed with a later page.
    pub(super) pages: Option<NewestPages>,
    /// Era of the store in which the topic was read last.
    pub(super) era: Option<u64>,
    /// Instant at which the list shows again what a return of the store lost; none if the last return is longer ago.
    pub(super) restored_at: Option<Duration>,
}

/// What comes after a position.
enum News {
    /// Passed on by another VM.
    Passed(PassedSpan),
    /// Read from the store.
    Page(TailPage),
    /// Nothing is passed on now.
    Lapsed,
}

/// What a read brought.
struct Read {
    /// Where the next one continues.
    position: FactPosition,
    /// When the store was asked; none if another VM passed it on.
    asked_at: Option<Duration>,
    /// Whether there is more to read at once.
    has_more: bool,
}

/// Where and how the next read begins.
struct NextRead {
    /// Position to continue from; none if the newest records must be read.
    from: Option<FactPosition>,
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
    /// Reads the topic until the process ends.
    pub(super) async fn run(mut self) {
        self.facts.set_max_age(self.topic, self.timing.max_age());
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
                Ok(read) => {
                    if let Some(asked_at) = read.asked_at.filter(|_| !read.has_more) {
                        let is_short = next.short_pauses > 0;
                        self.pause(is_short, asked_at, read.position).await;
                    }
                    next = NextRead {
                        from: Some(read.position),
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
                    self.wait_for_success(next.retry_interval).await;
                    next = NextRead {
                        from: next.from,
                        wait: Duration::ZERO,
                        retry_interval: (next.retry_interval * 2)
                            .min(self.timing.max_retry_interval),
                        short_pauses: READS_AFTER_FAILURE,
                    };
                }
            }
        }
    }

    /// Waits after a failed read while the store answers nothing at all: one topic's reads show when it does again, so the others
    /// wait for longer.
    async fn wait_for_success(&self, retry_interval: Duration) {
        let further = self.timing.max_wait_for_success;
        if retry_interval < self.timing.max_retry_interval || further.is_zero() {
            return;
        }
        let expire = async {
            async_io::Timer::after(further).await;
        };
        expire.or(self.store.success.reported()).await;
    }

    /// Waits until the topic is to be read again; what another VM passes on ends it.
    ///
    /// Reads that don't wait for records begin at equal intervals, however long the store takes: followers expect it.
    async fn pause(&mut self, is_short: bool, asked_at: Duration, position: FactPosition) {
        let interval = if is_short {
            self.timing.pause_after_failure
        } else {
            self.timing.pause
        };
        let pause = if self.timing.wait.is_zero() {
            (asked_at + interval).saturating_sub(self.facts.now())
        } else {
            interval
        };
        let pause = pause.min(self.time_until_restored(position.era));
        if pause.is_zero() {
            return;
        }
        let pass = async {
            async_io::Timer::after(pause).await;
        };
        pass.or(self.facts.has_passed(self.topic, position)).await;
    }

    /// Returns the longest pause after a read in an era: streams may wait for the first list that shows what a return of the store lost.
    fn time_until_restored(&mut self, era: Option<u64>) -> Duration {
        let now = self.facts.now();
        if self.topic == StoreTopic::Endpoints && self.era != era {
            self.era = era;
            let has_returned = era.is_some_and(|era| era > FIRST_ERA);
            self.restored_at = has_returned.then_some(now + LIST_RECOVERY_GRACE);
        }
        self.restored_at.take_if(|restored_at| *restored_at <= now);
        self.restored_at
            .map_or(Duration::MAX, |restored_at| restored_at - now)
    }

    async fn read(&mut self, next: &NextRead) -> Result<Read, WatchError> {
        let Some(from) = next.from else {
            return self.read_newest().await;
        };
        let lapsed = async {
            self.facts.lapsed(self.topic).await;
            Ok(News::Lapsed)
        };
        let news = self.passed(from).or(lapsed).or(self.returned(from)).await?;
        if let News::Passed(span) = news {
            return Ok(self.take_passed(span));
        }
        if self.is_tail_too_long() {
            self.relay.io().metrics.count("long_tail", "");
            return Err(WatchError::PositionLost);
        }
        let started_at = self.facts.now();
        let news = self
            .read_tail(from, next.wait)
            .or(self.passed(from))
            .or(self.returned(from))
            .or(self.silenced());
        match news.await? {
            News::Page(page) => Ok(self.take_tail(from, page, started_at)),
            News::Passed(span) => Ok(self.take_passed(span)),
            News::Lapsed => Err(WatchError::PositionLost),
        }
    }

    /// Waits until another VM has passed on what comes after a position.
    async fn passed(&self, from: FactPosition) -> Result<News, WatchError> {
        Ok(News::Passed(self.facts.passed(self.topic, from).await))
    }

    /// Waits until the store has returned from an older copy, which another topic's answer may show first.
    async fn returned<T>(&self, from: FactPosition) -> Result<T, WatchError> {
        self.store.era.changed_from(from.era).await;
        Err(WatchError::PositionLost)
    }

    /// Waits until connections to the store are silent; the read of the shared records waits for long, so another topic's read
    /// shows that first.
    async fn silenced<T>(&self) -> Result<T, WatchError> {
        if self.topic != StoreTopic::Shared {
            return std::future::pending().await;
        }
        self.store.silence.reported().await;
        Err(ClientError::Timeout.into())
    }

    /// Takes what another VM has passed on.
    fn take_passed(&mut self, passed: PassedSpan) -> Read {
        let PassedSpan { span, as_of } = passed;
        let position = FactPosition {
            offset: span.next,
            era: span.from.era,
        };
        let records = span.records.into_iter().map(|record| KeyedRecord {
            key: record.key,
            value: record.value.map(|value| value.to_vec()),
        });
        self.submit_records(records.collect(), false);
        self.submit_known(as_of);
        Read {
            position,
            asked_at: None,
            has_more: false,
        }
    }

    /// Takes a page of the topic's tail that was asked for at `started_at`.
    fn take_tail(&mut self, from: FactPosition, page: TailPage, started_at: Duration) -> Read {
        let has_more = page.has_more;
        if !has_more {
            let written_in = started_at.saturating_sub(self.facts.as_of(self.topic));
            self.tail_cost
                .on_tail(record_bytes(&page.records), written_in);
        }
        let records = page.records.iter().enumerate();
        let records = records.map(|(number, record)| FactRecord {
            offset: Offset(from.offset.0 + number as u64),
            key: record.key.clone(),
            value: record.value.as_deref().map(Into::into),
        });
        let records: Vec<FactRecord> = records.collect();
        let is_new = self.submit_records(page.records, false);
        let new = records
            .into_iter()
            .zip(is_new)
            .filter(|(_, is_new)| *is_new);
        let span = FactSpan {
            from,
            next: page.next,
            records: new.map(|(record, _)| record).collect(),
        };
        // Until the topic's end is read, what is known is as old as before.
        let as_of = if has_more { Duration::ZERO } else { started_at };
        self.facts.on_read_tail(self.topic, span, as_of);
        self.submit_known(as_of);
        Read {
            position: FactPosition {
                offset: page.next,
                era: from.era,
            },
            asked_at: Some(started_at),
            has_more,
        }
    }

    fn submit_read(&self, failure: Option<StoreReadFailure>) {
        let topic = self.topic;
        self.relay.submit(RelayEvent::StoreRead { topic, failure });
    }

    /// Reports when the store was asked for the list as it has been submitted.
    fn submit_known(&self, as_of: Duration) {
        if self.topic == StoreTopic::Endpoints {
            self.relay.submit(RelayEvent::ListKnown { as_of });
        }
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<StoreAnswer, StoreError> {
        let timeout = wait + self.timing.answer_timeout;
        self.store.get(&self.relay, path, timeout).await
    }

    async fn read_tail(&self, from: FactPosition, wait: Duration) -> Result<News, WatchError> {
        let path = store::tail_path(self.topic, from.offset, wait);
        let answer = self.get(&path, wait).await?;
        if answer.era != from.era {
            return Err(WatchError::PositionLost);
        }
        let page = store::parse_tail(&answer.body, from.offset);
        let mut page = page.map_err(|_| ClientError::Malformed)?;
        let records = std::mem::take(&mut page.records).into_iter();
        let records = records.map(|record| self.without_foreign_value(record));
        Ok(News::Page(TailPage {
            records: records.collect(),
            ..page
        }))
    }

    /// Drops the value of a record that another writer wrote. An entry that repeats a known one is not looked at again.
    fn without_foreign_value(&self, record: KeyedRecord) -> KeyedRecord {
        if self.topic == StoreTopic::Endpoints && self.listed.repeated(&record).is_some() {
            return record;
        }
        without_foreign_value(self.topic, record)
    }

    /// Returns whether the tail of the endpoint list is too long to arrive in time: then the newest records are read instead.
    fn is_tail_too_long(&self) -> bool {
        let written_in = self
            .facts
            .now()
            .saturating_sub(self.facts.as_of(self.topic));
        let answer_timeout = self.timing.answer_timeout;
        self.topic == StoreTopic::Endpoints
            && self.tail_cost.is_too_long(written_in, answer_timeout)
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
        ClientError::Connect | ClientError::Refused => StoreReadFailure::Unreachable,
        ClientError::Unsent | ClientError::Broken | ClientError::TooLong => {
            StoreReadFailure::Closed
        }
        ClientError::Timeout => StoreReadFailure::Silent,
        ClientError::Status(_) => StoreReadFailure::ErrorStatus,
        ClientError::Malformed => StoreReadFailure::Malformed,
    }
}
