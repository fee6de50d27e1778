//! A relay of UDP packets that can lose track of the pairs that it relays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Longest packet.
const MAX_PACKET_BYTES: usize = 65_535;

/// Relays packets to one address until the process ends.
#[derive(Debug, Clone)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes of all packets in both directions.
    bytes: usize,
    clients: BTreeMap<SocketAddr, Client>,
}

#[derive(Debug)]
struct Client {
    upstream: Arc<UdpSocket>,
    silent: bool,
    replies: usize,
}

impl Relay {
    /// Relays packets to `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let socket = Arc::new(socket);
        let relay = Self {
            address: socket.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let running = relay.clone();
        std::thread::spawn(move || running.relay(&socket, target));
        relay
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops all packets of the pairs that were seen so far; others are relayed.
    pub(crate) fn lose_track(&self) {
        for client in self.lock().clients.values_mut() {
            client.silent = true;
        }
    }

    /// Packets that came back to clients whose pair is still relayed.
    pub(crate) fn replies(&self) -> usize {
        let state = self.lock();
        let relayed = state.clients.values().filter(|client| !client.silent);
        relayed.map(|client| client.replies).sum()
    }

    /// Bytes of all packets in both directions, without headers of UDP and IP.
    pub(crate) fn bytes(&self) -> usize {
        self.lock().bytes
    }

    fn relay(&self, socket: &Arc<UdpSocket>, target: SocketAddr) {
        let mut packet = [0; MAX_PACKET_BYTES];
        while let Ok((length, client)) = socket.recv_from(&mut packet) {
            self.lock().bytes += length;
            let upstream = self.upstream(socket, client, target);
            if let Some(upstream) = upstream {
                // Packets may be lost.
                let _ = upstream.send(&packet[..length]);
            }
        }
    }

    fn upstream(
        &self,
        socket: &Arc<UdpSocket>,
        client: SocketAddr,
        target: SocketAddr,
    ) -> Option<Arc<UdpSocket>> {
        if let Some(known) = self.lock().clients.get(&client) {
            return (!known.silent).then(|| known.upstream.clone());
        }
        let upstream = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        upstream.connect(target).expect("a target");
        let upstream = Arc::new(upstream);
        let entry = Client {
            upstream: upstream.clone(),
            silent: false,
            replies: 0,
        };
        self.lock().clients.insert(client, entry);
        let relay = self.clone();
        let socket = socket.clone();
        let replies = upstream.clone();
        std::thread::spawn(move || relay.return_replies(&socket, client, &replies));
        Some(upstream)
    }

    fn return_replies(&self, socket: &UdpSocket, client: SocketAddr, upstream: &UdpSocket) {
        let mut packet = [0; MAX_PACKET_BYTES];
        while let Ok(length) = upstream.recv(&mut packet) {
            let mut state = self.lock();
            state.bytes += length;
            let Some(known) = state.clients.get_mut(&client) else {
                return;
            };
            if !known.silent {
                known.replies += 1;
                // Packets may be lost.
                let _ = socket.send_to(&packet[..length], client);
            }
        }
    }
}
