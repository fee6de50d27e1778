//! Reads all newest records of a topic, from the store or from another VM.

use std::time::Duration;

use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_platform::store;
use arbutusfall_platform::store::KeyedRecord;

use crate::http::ClientError;
use crate::relay::fact_snapshot::PassedNewest;
use crate::relay::handle::RelayHandle;
use crate::relay::shared_records;
use crate::relay::store_pages::NewestPages;
use crate::relay::store_pages::kept_record;
use crate::relay::store_pages::record_bytes;
use crate::relay::store_watch::Read;
use crate::relay::store_watch::StoreWatch;
use crate::relay::store_watch::WatchError;
use crate::relay::store_watch::is_missing;

/// Interval at which each endpoint is expected to write its entry, until tails show how much is written: the platform's interval.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_200);

/// Longest search for a VM that passes newest records on; a search ends by itself before.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(12);

impl<H: RelayHandle> StoreWatch<H> {
    /// Reads the newest record of each key; a read that failed goes on with the page that failed.
    pub(super) async fn read_newest(&mut self) -> Result<Read, WatchError> {
        if let Some(newest) = self.sought_newest().await {
            return Ok(self.take_newest(newest));
        }
        let started_at = self.facts.now();
        let mut pages = self
            .pages
            .take()
            .unwrap_or_else(|| NewestPages::new(started_at));
        loop {
            match self.read_newest_page(&mut pages).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(error) => {
                    if let WatchError::Failed(_) = error {
                        self.pages = Some(pages);
                    }
                    return Err(error);
                }
            }
        }
        let position = pages.first_end.ok_or(ClientError::Malformed)?;
        self.tail_cost
            .on_newest(record_bytes(&pages.records), ENTRY_INTERVAL);
        let kept = pages.records.iter().filter_map(kept_record).collect();
        self.submit_records(pages.records, true);
        self.facts
            .on_read_newest(self.topic, position, kept, pages.started_at);
        self.submit_known(pages.started_at);
        Ok(Read {
            position,
            asked_at: Some(started_at),
            has_more: false,
        })
    }

    /// Returns newest records that another VM has passed on; none if they are to be read from the store.
    ///
    /// The records that VMs share are always read: they name the other VMs. A read that failed goes on without another search.
    async fn sought_newest(&self) -> Option<PassedNewest> {
        let is_sought = self.topic != StoreTopic::Shared && self.pages.is_none();
        if !is_sought || !self.facts.begin_need(self.topic) {
            return None;
        }
        self.relay.submit(RelayEvent::NewestNeeded);
        self.facts.sought(self.topic, MAX_SEARCH_TIME).await
    }

    /// Takes newest records that another VM has passed on.
    fn take_newest(&mut self, newest: PassedNewest) -> Read {
        let records = newest.records.iter().map(|(key, value)| KeyedRecord {
            key: key.clone(),
            value: Some(value.to_vec()),
        });
        let records: Vec<KeyedRecord> = records.collect();
        self.tail_cost
            .on_newest(record_bytes(&records), ENTRY_INTERVAL);
        self.submit_records(records, true);
        let position = newest.position;
        self.facts
            .on_read_newest(self.topic, position, newest.records, newest.as_of);
        self.submit_known(newest.as_of);
        Read {
            position,
            asked_at: None,
            has_more: false,
        }
    }

    /// Reads the next page; returns whether there is a further one.
    async fn read_newest_page(&self, pages: &mut NewestPages) -> Result<bool, WatchError> {
        let path = store::newest_path(self.topic, pages.after.as_deref());
        let mut answer = self.get(&path, Duration::ZERO).await;
        if self.topic == StoreTopic::Shared && is_missing(&answer) {
            shared_records::create_topic(&self.relay, &self.store).await?;
            answer = self.get(&path, Duration::ZERO).await;
        }
        let answer = answer.map_err(WatchError::Failed)?;
        let page = store::parse_newest(&answer.body).map_err(|_| ClientError::Malformed)?;
        // Records may be written between two pages. Continuing from the first page's end reads all of them, some for the
        // second time.
        let end = *pages.first_end.get_or_insert(FactPosition {
            offset: page.end,
            era: answer.era,
        });
        if end.era != answer.era {
            // The store has returned between two pages.
            return Err(WatchError::PositionLost);
        }
        Ok(pages.add(self.topic, page)?)
    }
}
