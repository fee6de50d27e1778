//! Addresses for the processes of a fleet.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::PoisonError;

use error_stack::Report;
use rustix::io::FdFlags;
use rustix::io::fcntl_setfd;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::FleetError;

/// Ports for listeners. They are below the system's ephemeral ports, because an outgoing connection could otherwise
/// take a port before its process listens.
const LISTENER_PORTS: Range<u16> = 10_000..32_000;

/// Ports that a process takes for itself at a time.
const BLOCK_PORTS: u16 = 500;

/// Maximum number of ports tried for one listener.
const MAX_PORT_ATTEMPTS: usize = 100;

/// Blocks of ports of this process, which no other process allocates from: a process of the fleet may start again at its
/// address long after it was allocated.
#[derive(Debug)]
struct PortBlocks {
    /// Locked for as long as this process or one that it started runs: if this process is ended by a signal, those go on, and use
    /// its addresses.
    locks: Vec<File>,
    /// Ports of these blocks, in the order of allocation.
    ports: Vec<u16>,
    allocated: usize,
}

impl PortBlocks {
    /// Returns the next port; those of the first block follow again if no other block is free.
    fn next_port(&mut self) -> Option<u16> {
        if self.allocated >= self.ports.len()
            && let Some((lock, ports)) = lock_free_block()
        {
            self.locks.push(lock);
            self.ports.extend(ports);
        }
        let port = self.ports.get(self.allocated % self.ports.len().max(1));
        self.allocated += 1;
        port.copied()
    }
}

/// Locks a block of ports that no process has locked; the search begins at a random one.
fn lock_free_block() -> Option<(File, Range<u16>)> {
    let count = (LISTENER_PORTS.end - LISTENER_PORTS.start) / BLOCK_PORTS;
    let first = fastrand::u16(0..count);
    (0..count).find_map(|number| {
        let block = (first + number) % count;
        let name = format!("arbutusfall-ports-{block}.lock");
        let lock = File::create(std::env::temp_dir().join(name)).ok()?;
        lock.try_lock().ok()?;
        // Inherited by the processes that are started.
        fcntl_setfd(&lock, FdFlags::empty()).ok()?;
        let start = LISTENER_PORTS.start + block * BLOCK_PORTS;
        Some((lock, start..start + BLOCK_PORTS))
    })
}

/// Returns a loopback address on which no process listens at the moment; no other process that allocates here gets it, and no
/// two calls in this process return the same one until all ports are used up.
///
/// # Errors
///
/// [`FleetError::Start`] if no port is free.
pub fn free_address() -> Result<SocketAddr, Report<FleetError>> {
    // Ports are allocated in sequence: a random port could be drawn again by another test before its process listens.
    static BLOCKS: Mutex<PortBlocks> = Mutex::new(PortBlocks {
        locks: Vec::new(),
        ports: Vec::new(),
        allocated: 0,
    });
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let ports = std::iter::from_fn(|| blocks.next_port()).take(MAX_PORT_ATTEMPTS);
    let mut addresses = ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
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
