//! Peer messages over QUIC: one stream per frame, so that a lost packet does not delay other frames.

mod failure;
mod receive;
mod sender;

use std::net::SocketAddr;
use std::sync::Arc;

use arbutusfall_core::PeerAddress;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Sender as SenderId;
use async_channel::Sender;
use async_executor::Task;
use quinn::ClientConfig;
use quinn::Endpoint;

use crate::Executor;
use crate::driver::Input;
use crate::telemetry::Telemetry;
use crate::tls::PeerTls;

use failure::ConnectionFailure;
use receive::FrameReceiver;
use sender::PeerSender;

/// Largest number of messages queued for one peer; further messages are dropped, as the network may drop them.
const MAX_QUEUED_MESSAGES: usize = 10_000;

/// Counter of messages dropped because the queue to their peer was full.
const MESSAGES_DROPPED: &str = "peers.messages_dropped";

/// Connections to all peers.
#[derive(Debug)]
pub(crate) struct Peers {
    executor: Arc<Executor>,
    quic_endpoint: Endpoint,
    client_config: ClientConfig,
    local_id: SenderId,
    telemetry: Arc<Telemetry>,
    queues: FastMap<Name, PeerQueue>,
}

/// Queue and sender task for one peer.
#[derive(Debug)]
struct PeerQueue {
    address: SocketAddr,
    messages: Sender<PeerMessage>,
    _task: Task<()>,
}

impl Peers {
    /// Binds the QUIC endpoint and starts to accept connections from peers.
    pub(crate) fn listen(
        executor: Arc<Executor>,
        address: SocketAddr,
        tls: PeerTls,
        local_id: SenderId,
        input_sender: Sender<Input>,
        telemetry: Arc<Telemetry>,
    ) -> std::io::Result<Self> {
        let mut quic_endpoint = Endpoint::server(tls.server, address)?;
        quic_endpoint.set_default_client_config(tls.client.clone());
        let receiver = FrameReceiver {
            executor: executor.clone(),
            input_sender,
            telemetry: telemetry.clone(),
        };
        let accept = receiver.accept_connections(quic_endpoint.clone());
        executor.spawn(accept).detach();
        Ok(Self {
            executor,
            quic_endpoint,
            client_config: tls.client,
            local_id,
            telemetry,
            queues: FastMap::default(),
        })
    }

    /// Replaces the list of peers; drops the queues to VMs that are not on it or have a new address.
    pub(crate) fn set_addresses(&mut self, peers: Vec<PeerAddress>) {
        let mut queues = FastMap::default();
        for peer in peers {
            let kept = self
                .queues
                .remove(&peer.vm)
                .filter(|queue| queue.address == peer.address);
            let queue = kept.unwrap_or_else(|| self.open_queue(&peer));
            queues.insert(peer.vm, queue);
        }
        self.queues = queues;
    }

    fn open_queue(&self, peer: &PeerAddress) -> PeerQueue {
        let (messages, receiver) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        let sender = PeerSender {
            quic_endpoint: self.quic_endpoint.clone(),
            client_config: self.client_config.clone(),
            peer: peer.clone(),
            local_id: self.local_id.clone(),
            telemetry: self.telemetry.clone(),
            connection: None,
        };
        let task = self.executor.spawn(sender.run(receiver));
        PeerQueue {
            address: peer.address,
            messages,
            _task: task,
        }
    }

    /// Queues a message for a peer; delivery is not guaranteed.
    pub(crate) fn send(&self, to: &Name, message: PeerMessage) {
        let Some(queue) = self.queues.get(to) else {
            return;
        };
        if queue.messages.try_send(message).is_err() {
            // The queue is full or closed; the reducer detects the lost message by its timeouts.
            self.telemetry.count(MESSAGES_DROPPED, 1);
        }
    }

    /// Closes the listening endpoint's connections; a [`PeerSender`] that replaced its endpoint is not affected.
    pub(crate) fn close(&self) {
        self.quic_endpoint.close(0u32.into(), b"exit");
    }
}
