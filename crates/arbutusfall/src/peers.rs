//! Peer messages over QUIC: one stream for each frame, so that a lost packet holds up no other frame.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::Event;
use arbutusfall_core::PeerAddress;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Frame;
use arbutusfall_wire::MAX_FRAME_BYTES;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Sender as FrameSender;
use arbutusfall_wire::decode_frame;
use arbutusfall_wire::encode_frame;
use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;
use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;

use crate::Executor;
use crate::driver::Input;
use crate::telemetry::Telemetry;
use crate::tls::PeerTls;

/// Messages that may wait for one peer; more are dropped, as the network may drop them.
const MAX_QUEUED: usize = 10_000;

/// Most messages of one frame.
const MAX_FRAME_MESSAGES: usize = 256;

/// Time allowed for opening a connection or sending a frame.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Counter of peer bytes sent.
const BYTES_SENT: &str = "peers.bytes_sent";

/// Counter of connections that were refused or failed.
const CONNECTIONS_FAILED: &str = "peers.connections_failed";

/// Counter of frames that could not be decoded or did not come from whom they said.
const FRAMES_REJECTED: &str = "peers.frames_rejected";

/// The peers of one process.
#[derive(Debug)]
pub(crate) struct Peers {
    executor: Arc<Executor>,
    endpoint: Endpoint,
    own: FrameSender,
    telemetry: Arc<Telemetry>,
    links: FastMap<Name, Link>,
}

/// The sending side towards one peer.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: Sender<PeerMessage>,
    _task: Task<()>,
}

impl Peers {
    /// Listens to peers.
    pub(crate) fn listen(
        executor: Arc<Executor>,
        address: SocketAddr,
        tls: PeerTls,
        own: FrameSender,
        inputs: Sender<Input>,
        telemetry: Arc<Telemetry>,
    ) -> std::io::Result<Self> {
        let mut endpoint = Endpoint::server(tls.server, address)?;
        endpoint.set_default_client_config(tls.client);
        let accept = accept_connections(
            executor.clone(),
            endpoint.clone(),
            inputs,
            telemetry.clone(),
        );
        executor.spawn(accept).detach();
        Ok(Self {
            executor,
            endpoint,
            own,
            telemetry,
            links: FastMap::default(),
        })
    }

    /// Takes over where peers are; links to others are dropped.
    pub(crate) fn set_addresses(&mut self, peers: Vec<PeerAddress>) {
        let mut links = FastMap::default();
        for peer in peers {
            let kept = self
                .links
                .remove(&peer.vm)
                .filter(|link| link.address == peer.address);
            let link = kept.unwrap_or_else(|| self.open_link(&peer));
            links.insert(peer.vm, link);
        }
        self.links = links;
    }

    fn open_link(&self, peer: &PeerAddress) -> Link {
        let (queue, messages) = async_channel::bounded(MAX_QUEUED);
        let sender = LinkSender {
            endpoint: self.endpoint.clone(),
            peer: peer.clone(),
            own: self.own.clone(),
            telemetry: self.telemetry.clone(),
            connection: None,
        };
        let task = self.executor.spawn(sender.run(messages));
        Link {
            address: peer.address,
            queue,
            _task: task,
        }
    }

    /// Sends a message; it may be lost.
    pub(crate) fn send(&self, to: &Name, message: PeerMessage) {
        if let Some(link) = self.links.get(to) {
            // A full queue means that the peer does not take messages; the reducer's timers notice.
            let _ = link.queue.try_send(message);
        }
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        self.endpoint.close(0u32.into(), b"exit");
    }
}

/// Sends one peer's messages.
struct LinkSender {
    endpoint: Endpoint,
    peer: PeerAddress,
    own: FrameSender,
    telemetry: Arc<Telemetry>,
    connection: Option<Connection>,
}

impl LinkSender {
    async fn run(mut self, queue: Receiver<PeerMessage>) {
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
                continue;
            };
            let sent = self.send(&bytes).or(expire()).await;
            if sent.is_none() {
                self.connection = None;
            }
        }
    }

    async fn send(&mut self, bytes: &[u8]) -> Option<()> {
        let connection = self.connect().await?;
        let mut stream = connection.open_uni().await.ok()?;
        stream.write_all(bytes).await.ok()?;
        stream.finish().ok()?;
        self.telemetry.count(BYTES_SENT, bytes.len() as i64);
        Some(())
    }

    async fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = &self.connection
            && connection.close_reason().is_none()
        {
            return Some(connection.clone());
        }
        let connecting = self
            .endpoint
            .connect(self.peer.address, &self.peer.vm)
            .ok()?;
        let Ok(connection) = connecting.await else {
            self.telemetry.count(CONNECTIONS_FAILED, 1);
            return None;
        };
        self.connection = Some(connection.clone());
        Some(connection)
    }
}

async fn expire() -> Option<()> {
    async_io::Timer::after(SEND_TIMEOUT).await;
    None
}

async fn accept_connections(
    executor: Arc<Executor>,
    endpoint: Endpoint,
    inputs: Sender<Input>,
    telemetry: Arc<Telemetry>,
) {
    while let Some(incoming) = endpoint.accept().await {
        let receive = receive_frames(
            executor.clone(),
            incoming,
            inputs.clone(),
            telemetry.clone(),
        );
        executor.spawn(receive).detach();
    }
}

async fn receive_frames(
    executor: Arc<Executor>,
    incoming: Incoming,
    inputs: Sender<Input>,
    telemetry: Arc<Telemetry>,
) {
    let Ok(connection) = incoming.await else {
        telemetry.count(CONNECTIONS_FAILED, 1);
        return;
    };
    let Some(certificate) = peer_certificate(&connection) else {
        telemetry.count(CONNECTIONS_FAILED, 1);
        return;
    };
    let certificate = Arc::new(certificate);
    while let Ok(mut stream) = connection.accept_uni().await {
        let inputs = inputs.clone();
        let telemetry = telemetry.clone();
        let certificate = certificate.clone();
        let receive = async move {
            let Ok(bytes) = stream.read_to_end(MAX_FRAME_BYTES).await else {
                return;
            };
            let frame = decode_frame(&bytes).ok();
            let frame = frame.filter(|frame| certificate_names(&certificate, &frame.sender.vm));
            let Some(frame) = frame else {
                telemetry.count(FRAMES_REJECTED, 1);
                return;
            };
            for message in frame.messages {
                let event = Event::Peer {
                    from: frame.sender.clone(),
                    message,
                };
                // The channel is closed only while the process exits.
                let _ = inputs.try_send(Input::Event(event));
            }
        };
        executor.spawn(receive).detach();
    }
}

fn peer_certificate(connection: &Connection) -> Option<rustls_pki_types::CertificateDer<'static>> {
    let identity = connection.peer_identity()?;
    let chain: Box<Vec<rustls_pki_types::CertificateDer<'static>>> = identity.downcast().ok()?;
    chain.into_iter().next()
}

/// Whether a certificate was issued to the VM of this name.
fn certificate_names(certificate: &rustls_pki_types::CertificateDer<'_>, vm: &str) -> bool {
    let Ok(name) = rustls_pki_types::ServerName::try_from(vm) else {
        return false;
    };
    let Ok(parsed) = rustls::server::ParsedCertificate::try_from(certificate) else {
        return false;
    };
    rustls::client::verify_server_name(&parsed, &name).is_ok()
}
