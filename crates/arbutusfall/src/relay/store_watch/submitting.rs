//! Reports what was read to the relay.

use std::sync::Arc;

use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_platform::config::parse_next_config;
use arbutusfall_platform::shared::parse_record;
use arbutusfall_platform::store;
use arbutusfall_platform::store::KeyedRecord;

use crate::relay::handle::RelayHandle;
use crate::relay::store_watch::StoreWatch;

impl<H: RelayHandle> StoreWatch<H> {
    /// Reports a successful read and what it contains; returns for each record whether it says what was not known.
    pub(super) fn submit_records(
        &mut self,
        records: Vec<KeyedRecord>,
        is_full_list: bool,
    ) -> Vec<bool> {
        self.submit_read(None);
        let all_new = vec![true; records.len()];
        match self.topic {
            StoreTopic::Config => self.submit_config(records),
            StoreTopic::Endpoints => return self.submit_endpoints(records, is_full_list),
            StoreTopic::Shared => self.submit_shared(&records, is_full_list),
        }
        all_new
    }

    fn submit_shared(&self, records: &[KeyedRecord], is_full: bool) {
        if records.is_empty() && !is_full {
            return;
        }
        let records: Vec<SharedRecord> = records.iter().filter_map(parse_record).collect();
        self.relay
            .submit(RelayEvent::SharedRecords { records, is_full });
    }

    fn submit_config(&mut self, records: Vec<KeyedRecord>) {
        let documents = records
            .iter()
            .filter(|record| *record.key == *store::CONFIG_KEY);
        let Some(document) = documents
            .filter_map(|record| record.value.as_deref())
            .next_back()
        else {
            return;
        };
        match parse_next_config(document, &self.accounts) {
            Ok(config) => {
                self.accounts = config.accounts.clone().unwrap_or_default();
                self.relay.submit(RelayEvent::NewConfig(Arc::new(config)));
            }
            Err(error) => {
                log::error!("a configuration version cannot be parsed and is ignored: {error}");
                self.relay.submit(RelayEvent::UnreadableConfig);
            }
        }
    }

    fn submit_endpoints(&mut self, records: Vec<KeyedRecord>, is_full_list: bool) -> Vec<bool> {
        let mut changes = Vec::new();
        if is_full_list {
            self.listed.clear();
            let instances = records.iter().map(|record| record.key.clone());
            changes.push(EndpointListChange::FullList(instances.collect()));
        }
        let mut is_new = Vec::new();
        for record in records {
            let (entry, says_news) = self.listed.take(&record);
            is_new.push(says_news);
            let instance = record.key;
            changes.push(entry.map_or(
                EndpointListChange::Removed { instance },
                EndpointListChange::Listed,
            ));
        }
        if !changes.is_empty() || is_full_list {
            self.relay.submit(RelayEvent::EndpointChanges(changes));
        }
        is_new
    }
}
