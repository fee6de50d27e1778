//! HTTP client of the platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::Event;
use arbutusfall_core::ListedVm;

use crate::Executor;
use crate::http;

/// Timeout for reading the list.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the VM list and returns the result as an event.
pub(crate) async fn fetch(executor: &Executor, address: SocketAddr) -> Event {
    let list: Result<Vec<ListedVm>, _> =
        http::get_json(executor, address, "/vms", FETCH_TIMEOUT).await;
    list.map_or(Event::VmListFailed, Event::VmList)
}
