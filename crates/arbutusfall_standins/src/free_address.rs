//! Addresses for the processes of a fleet.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use error_stack::Report;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::FleetError;

/// Ports for listeners. They are below the system's ephemeral ports, because an outgoing connection could otherwise
/// take a port before its process listens.
const LISTENER_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Maximum number of ports tried for one listener.
const MAX_PORT_ATTEMPTS: usize = 100;

/// Returns a loopback address on which no process listens at the moment; no two calls in this process return the same
/// one until the port range is used up.
///
/// # Errors
///
/// [`FleetError::Start`] if no port is free.
pub fn free_address() -> Result<SocketAddr, Report<FleetError>> {
    // Ports are allocated in sequence: a random port could be drawn again by another test before its process listens.
    static ALLOCATED: AtomicU16 = AtomicU16::new(0);
    static FIRST_PORT: LazyLock<u16> = LazyLock::new(|| fastrand::u16(LISTENER_PORTS));
    let count = LISTENER_PORTS.end - LISTENER_PORTS.start;
    let next = || {
        let offset = *FIRST_PORT - LISTENER_PORTS.start;
        let allocated = ALLOCATED.fetch_add(1, Ordering::Relaxed);
        let port = LISTENER_PORTS.start + offset.wrapping_add(allocated) % count;
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    };
    let mut addresses = std::iter::repeat_with(next).take(MAX_PORT_ATTEMPTS);
    let free = addresses.find(|address| can_bind(*address).is_ok());
    free.ok_or_else(|| Report::new(FleetError::Start("a listener on a free port".to_owned())))
}

/// Binds a socket without listening on it: a process that another thread is starting holds a copy of it for a moment, and
/// a listening copy would keep others from listening.
fn can_bind(address: SocketAddr) -> std::io::Result<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}
