//! Client for the records of streams in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::StreamLookup;
use arbutusfall_core::relay::StreamRecord;
use arbutusfall_platform::store;
use arbutusfall_platform::streams;
use arbutusfall_wire::Name;
use hyper::Method;

use crate::http;
use crate::http::ClientError;
use crate::relay::driver::Driver;

/// Timeout of a lookup, for which a caller waits.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

/// Reads and writes records of streams.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamRecords {
    pub(super) store_address: SocketAddr,
}

impl StreamRecords {
    /// Looks up the origin of a stream and reports it to the relay.
    pub(super) async fn find(self, driver: Arc<Driver>, call: CallId, attempt: Name) {
        let lookup = self.try_find(&driver, &attempt).await;
        let lookup = lookup.unwrap_or_else(|error| {
            log::info!("the origin of the stream of attempt {attempt} was not looked up: {error}");
            StreamLookup::Failed
        });
        driver.submit(RelayEvent::StreamLookup { call, lookup });
    }

    async fn try_find(&self, driver: &Driver, attempt: &str) -> Result<StreamLookup, ClientError> {
        let path = streams::find_path(attempt);
        let body = http::request_bytes(
            &driver.executor,
            self.store_address,
            Method::GET,
            &path,
            LOOKUP_TIMEOUT,
        );
        let body = match body.await {
            Err(ClientError::Status(status)) if streams::means_no_records(status) => {
                return Ok(StreamLookup::NotFound);
            }
            body => body?,
        };
        let page = store::parse_newest(&body).map_err(|_| ClientError::Malformed)?;
        let origin = streams::parse_origin(&page, attempt).map_err(|_| ClientError::Malformed)?;
        Ok(origin.map_or(StreamLookup::NotFound, StreamLookup::Found))
    }

    /// Appends records and reports to the relay whether the store confirmed it.
    pub(super) async fn append(self, driver: Arc<Driver>, records: Vec<StreamRecord>) {
        let body = streams::encode_records(&records);
        let answer = http::post_bytes(
            &driver.executor,
            self.store_address,
            streams::APPEND_PATH,
            body.into(),
            APPEND_TIMEOUT,
        );
        let answer = answer.await;
        if let Err(error) = &answer {
            let count = records.len();
            log::info!("an append of {count} records of streams was not confirmed: {error}");
        }
        let succeeded = answer.is_ok();
        driver.submit(RelayEvent::StreamsRecorded { succeeded });
    }
}
