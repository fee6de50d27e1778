//! Records that VMs share in the platform's store.

use std::sync::Arc;

use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_platform::shared;

use crate::relay::driver::Driver;
use crate::relay::store_client::StoreError;
use crate::relay::store_client::append;

/// Appends records and reports to the relay whether the store confirmed it.
pub(super) async fn append_shared(driver: Arc<Driver>, records: Vec<SharedRecord>) {
    let body = shared::encode_records(&records);
    let succeeded = append(&driver, shared::APPEND_PATH, body, records.len()).await;
    driver.submit(RelayEvent::SharedAppended { succeeded });
}

/// Creates the topic by an append without records that count.
pub(super) async fn create_topic(driver: &Arc<Driver>) -> Result<(), StoreError> {
    let append = driver.store.append(
        driver,
        shared::APPEND_PATH,
        shared::encode_creating_record(),
    );
    append.await.map(drop)
}
