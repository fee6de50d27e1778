//! Sends one peer's messages.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::PeerAddress;
use arbutusfall_wire::Frame;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Sender as FrameSender;
use arbutusfall_wire::encode_frame;
use async_channel::Receiver;
use futures_lite::FutureExt;
use quinn::ClientConfig;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::Endpoint;

use crate::telemetry::Telemetry;

use super::ConnectionFailure;

/// Most messages of one frame.
const MAX_FRAME_MESSAGES: usize = 256;

/// Time allowed for opening a connection or sending a frame.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Counter of peer bytes sent.
const BYTES_SENT: &str = "peers.bytes_sent";

/// Counter of frames that could not be sent, with all their messages.
const FRAMES_LOST: &str = "peers.frames_lost";

/// Counter of connections that were opened.
const CONNECTIONS_OPENED: &str = "peers.connections_opened";

/// The sending side towards one peer.
pub(super) struct LinkSender {
    /// Local socket of the connections; replaced when the peer was not heard, because what stands between the two
    /// ends may have lost track of just this pair of ports.
    pub(super) endpoint: Endpoint,
    pub(super) client: ClientConfig,
    pub(super) peer: PeerAddress,
    pub(super) own: FrameSender,
    pub(super) telemetry: Arc<Telemetry>,
    pub(super) connection: Option<Connection>,
}

impl LinkSender {
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
                sender: self.own.clone(),
                messages,
            };
            let Ok(bytes) = encode_frame(&frame) else {
                self.telemetry.count(FRAMES_LOST, 1);
                continue;
            };
            if let Err(failure) = self.send(&bytes).or(expire()).await {
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
        let closed = |_| closed_by(&connection);
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
                // The frame that waits is sent on a new connection.
                Some(reason) => self.on_closed(&reason),
            }
        }
        let connecting =
            self.endpoint
                .connect_with(self.client.clone(), self.peer.address, &self.peer.vm);
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
            self.use_new_socket();
        }
    }

    /// Drops a connection that failed, and the frame that it should have carried.
    fn on_failure(&mut self, failure: ConnectionFailure) {
        self.connection = None;
        self.telemetry.count(FRAMES_LOST, 1);
        self.telemetry.count(failure.counter(), 1);
        if failure == ConnectionFailure::Timeout {
            self.use_new_socket();
        }
    }

    fn use_new_socket(&mut self) {
        let unspecified: IpAddr = match self.peer.address {
            SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
            SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
        };
        // Without a free descriptor the old socket stays in use.
        if let Ok(endpoint) = Endpoint::client(SocketAddr::new(unspecified, 0)) {
            self.endpoint = endpoint;
        }
    }
}

fn closed_by(connection: &Connection) -> ConnectionFailure {
    connection
        .close_reason()
        .as_ref()
        .map_or(ConnectionFailure::Closed, ConnectionFailure::from)
}

async fn expire() -> Result<(), ConnectionFailure> {
    async_io::Timer::after(SEND_TIMEOUT).await;
    Err(ConnectionFailure::Timeout)
}
