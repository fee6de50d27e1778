//! Addresses for stand-ins and VMs.

use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arbutusfall_standins::free_address;

/// Threads that start processes meanwhile.
const STARTERS: usize = 6;

/// Addresses that are drawn.
const ADDRESSES: usize = 10_000;

// Guards against a stand-in that cannot listen, because a process that another thread was starting still held the socket
// with which the address had been tested.
#[test]
fn address_can_be_listened_on_while_other_threads_start_processes() {
    let is_done = AtomicBool::new(false);
    let mut failures = Vec::new();
    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let mut command = Command::new("true");
                    let _ = command.stdin(Stdio::null()).status();
                }
            });
        }
        for _ in 0..ADDRESSES {
            let address = free_address().expect("loopback has free ports");
            if let Err(error) = TcpListener::bind(address) {
                failures.push((address, error));
            }
        }
        is_done.store(true, Ordering::Relaxed);
    });
    assert!(
        failures.is_empty(),
        "{} of {ADDRESSES} addresses were in use: {:?}",
        failures.len(),
        failures.first()
    );
}
