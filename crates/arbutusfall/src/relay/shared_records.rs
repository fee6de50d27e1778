//! Records that VMs share in the platform's store.

use std::sync::Arc;

use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_platform::shared;

use crate::relay::handle::RelayHandle;
use crate::relay::store_client;
use crate::relay::store_client::StoreClient;
use crate::relay::store_client::StoreError;

/// Appends records and reports to the relay whether the store confirmed it.
pub(super) async fn append(
    relay: impl RelayHandle,
    store: Arc<StoreClient>,
    records: Vec<SharedRecord>,
) {
    let body = shared::encode_records(&records);
    let succeeded =
        store_client::append(&relay, &store, shared::APPEND_PATH, body, records.len()).await;
    relay.submit(RelayEvent::SharedAppended { succeeded });
}

/// Creates the topic by an append without records that count.
pub(super) async fn create_topic(
    relay: &impl RelayHandle,
    store: &StoreClient,
) -> Result<(), StoreError> {
    let append = store.append(relay, shared::APPEND_PATH, shared::encode_creating_record());
    append.await.map(drop)
}
