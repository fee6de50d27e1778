//! Records of streams in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::StreamLookup;
use arbutusfall_core::relay::StreamRecord;
use arbutusfall_platform::store;
use arbutusfall_platform::streams;
use arbutusfall_wire::Name;

use crate::http::ClientError;
use crate::relay::handle::RelayHandle;
use crate::relay::store_client;
use crate::relay::store_client::StoreClient;
use crate::relay::store_client::StoreError;

/// Timeout of a lookup, for which a caller waits.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Looks up the origin of a stream and reports it to the relay.
pub(super) async fn find(
    relay: impl RelayHandle,
    store: Arc<StoreClient>,
    call: CallId,
    attempt: Name,
) {
    let lookup = try_find(&relay, &store, &attempt).await;
    let lookup = lookup.unwrap_or_else(|error| {
        log::debug!("the origin of the stream of attempt {attempt} was not looked up: {error}");
        StreamLookup::Failed
    });
    relay.submit(RelayEvent::StreamLookup { call, lookup });
}

async fn try_find(
    relay: &impl RelayHandle,
    store: &StoreClient,
    attempt: &str,
) -> Result<StreamLookup, StoreError> {
    let path = streams::find_path(attempt);
    let answer = match store.get(relay, &path, LOOKUP_TIMEOUT).await {
        Err(StoreError::Failed(ClientError::Status(status))) if store::means_no_topic(status) => {
            return Ok(StreamLookup::NotFound);
        }
        answer => answer?,
    };
    let page = store::parse_newest(&answer.body).map_err(|_| ClientError::Malformed)?;
    let origin = streams::parse_origin(&page, attempt).map_err(|_| ClientError::Malformed)?;
    Ok(origin.map_or(StreamLookup::NotFound, StreamLookup::Found))
}

/// Appends records and reports to the relay whether the store confirmed it.
pub(super) async fn append(
    relay: impl RelayHandle,
    store: Arc<StoreClient>,
    records: Vec<StreamRecord>,
) {
    let body = streams::encode_records(&records);
    let succeeded =
        store_client::append(&relay, &store, streams::APPEND_PATH, body, records.len()).await;
    relay.submit(RelayEvent::StreamsRecorded { succeeded });
}
