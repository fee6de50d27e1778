//! Checks whether an endpoint that may have crashed accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::relay::ConnectAnswer;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_wire::Name;

use crate::http;
use crate::http::ClientError;
use crate::relay::handle::RelayHandle;

/// Timeout of the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Opens a connection to an endpoint, closes it and reports to the relay what became of it.
pub(super) async fn check_endpoint(relay: impl RelayHandle, instance: Name, address: SocketAddr) {
    let asked_at = relay.io().now();
    let answer = match http::open(address, CONNECT_TIMEOUT).await {
        Ok(_) => ConnectAnswer::Accepted,
        Err(ClientError::Refused) => ConnectAnswer::Refused,
        Err(_) => ConnectAnswer::Unanswered,
    };
    relay.submit(RelayEvent::EndpointChecked {
        instance,
        asked_at,
        answer,
    });
}
