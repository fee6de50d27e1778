//! Sends requests to other VMs, each over a connection of its own: one that falls silent affects only one request.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::relay::RequestHashKey;
use async_net::TcpStream;
use futures_lite::FutureExt;
use hyper::Response;
use hyper::body::Incoming;

use crate::Executor;
use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::relay::peer_handshake;

/// Path of questions for facts at the address for other VMs.
pub(super) const FACTS_PATH: &str = "/facts";

/// Path of questions about quotas of client accounts.
pub(super) const QUOTA_PATH: &str = "/quota";

/// Timeout for the connection to a VM and its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends a request to another VM, once that has proved that it is one.
///
/// # Errors
///
/// [`ClientError::Connect`] guarantees that no byte of the request was sent.
pub(super) async fn send(
    executor: &Executor,
    outgoing: OutgoingRequest,
    key: RequestHashKey,
) -> Result<Response<Incoming>, ClientError> {
    let stream = open(outgoing.address, outgoing.connect_timeout, key).await?;
    http::send_on(executor, stream, outgoing).await
}

/// Opens a connection to another VM within `timeout` and [`CONNECT_TIMEOUT`], and checks that it is one.
///
/// # Errors
///
/// [`ClientError::Connect`], also if the time is over.
pub(super) async fn open(
    address: SocketAddr,
    timeout: Duration,
    key: RequestHashKey,
) -> Result<TcpStream, ClientError> {
    let connect = connect(address, key);
    let expire = async {
        async_io::Timer::after(CONNECT_TIMEOUT.min(timeout)).await;
        Err(ClientError::Connect)
    };
    connect.or(expire).await
}

/// Like [`open`], but without a timeout: the caller has one of its own.
pub(super) async fn connect(
    address: SocketAddr,
    key: RequestHashKey,
) -> Result<TcpStream, ClientError> {
    let stream = TcpStream::connect(address).await;
    let mut stream = stream.map_err(|_| ClientError::Connect)?;
    // A failure only adds latency.
    let _ = stream.set_nodelay(true);
    match peer_handshake::connect(&mut stream, address, key).await {
        Ok(true) => Ok(stream),
        Ok(false) => {
            log::warn!("the process at {address} has not proved that it is a VM");
            Err(ClientError::Connect)
        }
        Err(_) => Err(ClientError::Connect),
    }
}
