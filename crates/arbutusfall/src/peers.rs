//! Peer messages over QUIC: one stream per frame, so that a lost packet does not delay other frames.

mod failure;
mod link;
mod receive;

use std::net::SocketAddr;
use std::sync::Arc;

use arbutusfall_core::PeerAddress;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Sender as FrameSender;
use async_channel::Sender;
use async_executor::Task;
use quinn::ClientConfig;
use quinn::Endpoint;

use crate::Executor;
use crate::driver::Input;
use crate::telemetry::Telemetry;
use crate::tls::PeerTls;

use failure::ConnectionFailure;
use link::LinkSender;
use receive::Receiver;

/// Largest number of messages queued for one peer; further messages are dropped, as the network may drop them.
const MAX_QUEUED_MESSAGES: usize = 10_000;

/// Counter of messages dropped because the queue to their peer was full.
const MESSAGES_DROPPED: &str = "peers.messages_dropped";

/// Connections to all peers.
#[derive(Debug)]
pub(crate) struct Peers {
    executor: Arc<Executor>,
    endpoint: Endpoint,
    client: ClientConfig,
    local_sender: FrameSender,
    telemetry: Arc<Telemetry>,
    links: FastMap<Name, Link>,
}

/// Queue and sender task for one peer.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: Sender<PeerMessage>,
    _task: Task<()>,
}

impl Peers {
    /// Binds the QUIC endpoint and starts to accept connections from peers.
    pub(crate) fn listen(
        executor: Arc<Executor>,
        address: SocketAddr,
        tls: PeerTls,
        local_sender: FrameSender,
        inputs: Sender<Input>,
        telemetry: Arc<Telemetry>,
    ) -> std::io::Result<Self> {
        let mut endpoint = Endpoint::server(tls.server, address)?;
        endpoint.set_default_client_config(tls.client.clone());
        let receiver = Receiver {
            executor: executor.clone(),
            inputs,
            telemetry: telemetry.clone(),
        };
        let accept = receiver.accept_connections(endpoint.clone());
        executor.spawn(accept).detach();
        Ok(Self {
            executor,
            endpoint,
            client: tls.client,
            local_sender,
            telemetry,
            links: FastMap::default(),
        })
    }

    /// Replaces the list of peers; drops links to VMs that are not on it or have a new address.
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
        let (queue, messages) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        let sender = LinkSender {
            endpoint: self.endpoint.clone(),
            client: self.client.clone(),
            peer: peer.clone(),
            local_sender: self.local_sender.clone(),
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

    /// Queues a message for a peer; delivery is not guaranteed.
    pub(crate) fn send(&self, to: &Name, message: PeerMessage) {
        let Some(link) = self.links.get(to) else {
            return;
        };
        if link.queue.try_send(message).is_err() {
            // The peer does not accept messages; the reducer detects this by its timeouts.
            self.telemetry.count(MESSAGES_DROPPED, 1);
        }
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        self.endpoint.close(0u32.into(), b"exit");
    }
}
