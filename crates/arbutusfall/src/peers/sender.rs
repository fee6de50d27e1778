//! Sends messages to one peer.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::PeerAddress;
use arbutusfall_wire::Frame;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Sender as SenderId;
use arbutusfall_wire::encode_frame;
use async_channel::Receiver;
use futures_lite::FutureExt;
use quinn::ClientConfig;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::Endpoint;

use crate::telemetry::Telemetry;

use super::ConnectionFailure;

/// Largest number of messages in one frame.
const MAX_FRAME_MESSAGES: usize = 256;

/// Timeout for sending a frame, including opening a connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Counter of peer bytes sent.
const BYTES_SENT: &str = "peers.bytes_sent";

/// Counter of frames that could not be sent; all their messages are lost.
const FRAMES_LOST: &str = "peers.frames_lost";

/// Counter of connections that were opened.
const CONNECTIONS_OPENED: &str = "peers.connections_opened";

/// Sender of frames to one peer.
pub(super) struct PeerSender {
    /// Local QUIC endpoint; replaced after a timeout, because a middlebox may have lost its state for this pair of
    /// ports.
    pub(super) quic_endpoint: Endpoint,
    pub(super) client_config: ClientConfig,
    pub(super) peer: PeerAddress,
    pub(super) local_id: SenderId,
    pub(super) telemetry: Arc<Telemetry>,
    pub(super) connection: Option<Connection>,
}

impl PeerSender {
    /// Sends messages until the queue is closed.
    pub(super) async fn run(mut self, queue: Receiver<PeerMessage>) {
        while let Ok(first) = queue.recv().await {
            let mut messages = vec![first];
            while messages.len() < MAX_FRAME_MESSAGES
                && let Ok(message) = queue.try_recv()
            {
                messages.push(message);
            }
            let frame = Frame {
                sender: self.local_id.clone(),
                messages,
            };
            let Ok(bytes) = encode_frame(&frame) else {
                self.telemetry.count(FRAMES_LOST, 1);
                continue;
            };
            if let Err(failure) = self.send(&bytes).or(fail_after_timeout()).await {
                self.on_failure(failure);
            }
        }
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<(), ConnectionFailure> {
        let connection = self.connect().await?;
        let mut stream = connection
            .open_uni()
            .await
            .map_err(|error| ConnectionFailure::from(&error))?;
        let closed = |_| close_failure(&connection);
        stream.write_all(bytes).await.map_err(closed)?;
        stream.finish().map_err(|_| ConnectionFailure::Closed)?;
        self.telemetry.count(BYTES_SENT, bytes.len() as i64);
        Ok(())
    }

    async fn connect(&mut self) -> Result<Connection, ConnectionFailure> {
        if let Some(connection) = self.connection.take() {
            match connection.close_reason() {
                None => {
                    self.connection = Some(connection.clone());
                    return Ok(connection);
                }
                // The current frame is sent on a new connection.
                Some(reason) => self.on_closed(&reason),
            }
        }
        let connecting = self.quic_endpoint.connect_with(
            self.client_config.clone(),
            self.peer.address,
            &self.peer.vm,
        );
        let connecting = connecting.map_err(|_| ConnectionFailure::Closed)?;
        let connection = connecting
            .await
            .map_err(|error| ConnectionFailure::from(&error))?;
        self.telemetry.count(CONNECTIONS_OPENED, 1);
        self.connection = Some(connection.clone());
        Ok(connection)
    }

    fn on_closed(&mut self, reason: &ConnectionError) {
        let failure = ConnectionFailure::from(reason);
        self.telemetry.count(failure.counter(), 1);
        if failure == ConnectionFailure::Timeout {
            self.replace_quic_endpoint();
        }
    }

    /// Drops a failed connection, and counts the failure and the lost frame.
    fn on_failure(&mut self, failure: ConnectionFailure) {
        self.connection = None;
        self.telemetry.count(FRAMES_LOST, 1);
        self.telemetry.count(failure.counter(), 1);
        if failure == ConnectionFailure::Timeout {
            self.replace_quic_endpoint();
        }
    }

    fn replace_quic_endpoint(&mut self) {
        let unspecified: IpAddr = match self.peer.address {
            SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
            SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
        };
        // If no socket can be opened, as without a free file descriptor, the old endpoint stays in use.
        if let Ok(quic_endpoint) = Endpoint::client(SocketAddr::new(unspecified, 0)) {
            self.quic_endpoint = quic_endpoint;
        }
    }
}

fn close_failure(connection: &Connection) -> ConnectionFailure {
    connection
        .close_reason()
        .as_ref()
        .map_or(ConnectionFailure::Closed, ConnectionFailure::from)
}

async fn fail_after_timeout() -> Result<(), ConnectionFailure> {
    async_io::Timer::after(SEND_TIMEOUT).await;
    Err(ConnectionFailure::Timeout)
}
