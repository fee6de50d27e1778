//! Checks whether an endpoint that may have crashed accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::relay::RelayEvent;
use arbutusfall_wire::Name;
use async_net::TcpStream;
use futures_lite::FutureExt;

use crate::relay::handle::RelayHandle;

/// Timeout of the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Opens a connection to an endpoint, closes it and reports to the relay whether it was accepted.
pub(super) async fn check_endpoint(relay: impl RelayHandle, instance: Name, address: SocketAddr) {
    let asked_at = relay.io().now();
    let is_reachable = accepts_connections(address).await;
    relay.submit(RelayEvent::EndpointChecked {
        instance,
        asked_at,
        is_reachable,
    });
}

/// Opens a connection to an endpoint and closes it; returns whether it was accepted.
pub(super) async fn accepts_connections(address: SocketAddr) -> bool {
    let connect = async { TcpStream::connect(address).await.is_ok() };
    let expire = async {
        async_io::Timer::after(CONNECT_TIMEOUT).await;
        false
    };
    connect.or(expire).await
}
