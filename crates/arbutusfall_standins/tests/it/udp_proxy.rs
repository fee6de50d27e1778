//! A UDP proxy that can drop all packets of its existing flows, like a NAT that loses its mappings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Largest UDP packet.
const MAX_PACKET_BYTES: usize = 65_535;

/// Forwards packets to one address until the process ends.
#[derive(Debug, Clone)]
pub(crate) struct UdpProxy {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes of all packets in both directions, without UDP and IP headers.
    bytes: usize,
    /// Flows by client address.
    flows: BTreeMap<SocketAddr, Flow>,
}

#[derive(Debug)]
struct Flow {
    /// Socket connected to the target, one for each client.
    target_socket: Arc<UdpSocket>,
    /// Whether packets are dropped in both directions.
    blocked: bool,
    replies: usize,
}

impl UdpProxy {
    /// Starts a proxy to `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
        let socket = Arc::new(socket);
        let proxy = Self {
            address: socket.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let running = proxy.clone();
        std::thread::spawn(move || running.run(&socket, target));
        proxy
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops all packets of the flows seen so far; new flows are forwarded.
    pub(crate) fn block_existing_flows(&self) {
        for flow in self.lock().flows.values_mut() {
            flow.blocked = true;
        }
    }

    /// Returns the number of replies forwarded in flows that are not blocked.
    pub(crate) fn replies_in_open_flows(&self) -> usize {
        let state = self.lock();
        let open_flows = state.flows.values().filter(|flow| !flow.blocked);
        open_flows.map(|flow| flow.replies).sum()
    }

    /// Returns the bytes of all packets in both directions, without UDP and IP headers.
    pub(crate) fn bytes(&self) -> usize {
        self.lock().bytes
    }

    fn run(&self, socket: &Arc<UdpSocket>, target: SocketAddr) {
        let mut packet = [0; MAX_PACKET_BYTES];
        while let Ok((length, client)) = socket.recv_from(&mut packet) {
            self.lock().bytes += length;
            let target_socket = self.target_socket(socket, client, target);
            if let Some(target_socket) = target_socket {
                // UDP may lose packets, so send errors are ignored.
                let _ = target_socket.send(&packet[..length]);
            }
        }
    }

    /// Returns the socket of the client's flow, and opens one for a new client; `None` if the flow is blocked.
    fn target_socket(
        &self,
        socket: &Arc<UdpSocket>,
        client: SocketAddr,
        target: SocketAddr,
    ) -> Option<Arc<UdpSocket>> {
        if let Some(flow) = self.lock().flows.get(&client) {
            return (!flow.blocked).then(|| flow.target_socket.clone());
        }
        let target_socket = UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
        target_socket.connect(target).expect("the socket connects");
        let target_socket = Arc::new(target_socket);
        let entry = Flow {
            target_socket: target_socket.clone(),
            blocked: false,
            replies: 0,
        };
        self.lock().flows.insert(client, entry);
        let proxy = self.clone();
        let socket = socket.clone();
        let reply_socket = target_socket.clone();
        std::thread::spawn(move || proxy.forward_replies(&socket, client, &reply_socket));
        Some(target_socket)
    }

    fn forward_replies(&self, socket: &UdpSocket, client: SocketAddr, target_socket: &UdpSocket) {
        let mut packet = [0; MAX_PACKET_BYTES];
        while let Ok(length) = target_socket.recv(&mut packet) {
            let mut state = self.lock();
            state.bytes += length;
            let Some(flow) = state.flows.get_mut(&client) else {
                return;
            };
            if !flow.blocked {
                flow.replies += 1;
                // UDP may lose packets, so send errors are ignored.
                let _ = socket.send_to(&packet[..length], client);
            }
        }
    }
}
