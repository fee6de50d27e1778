//! Addresses for stand-ins and VMs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
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

/// Environment variable that makes [`print_addresses`] draw addresses.
const PRINT_VARIABLE: &str = "ARBUTUSFALL_TEST_PRINT_ADDRESSES";

/// Addresses that each of two processes draws.
const ADDRESSES_OF_A_PROCESS: usize = 600;

fn draw_addresses() -> BTreeSet<SocketAddr> {
    let addresses = std::iter::repeat_with(|| free_address().expect("loopback has free ports"));
    addresses.take(ADDRESSES_OF_A_PROCESS).collect()
}

/// Not a test: [`no_two_processes_draw_the_same_address`] runs this test binary again with only this function.
#[test]
fn print_addresses() {
    if std::env::var_os(PRINT_VARIABLE).is_none() {
        return;
    }
    for address in draw_addresses() {
        println!("address {address}");
    }
}

// Guards against a VM that starts again at its address, which another test process has given to a stand-in meanwhile.
#[test]
fn no_two_processes_draw_the_same_address() {
    let own = draw_addresses();
    for _ in 0..8 {
        let mut command = Command::new(std::env::current_exe().expect("this program has a path"));
        command.args(["--exact", "free_address::print_addresses", "--nocapture"]);
        let output = command.env(PRINT_VARIABLE, "1").output();
        let output = output.expect("the process runs").stdout;
        let output = String::from_utf8_lossy(&output);
        let others = output
            .lines()
            .filter_map(|line| line.strip_prefix("address "));
        let others: BTreeSet<SocketAddr> = others.filter_map(|text| text.parse().ok()).collect();
        assert_eq!(others.len(), ADDRESSES_OF_A_PROCESS, "{output}");
        let common: Vec<_> = own.intersection(&others).collect();
        assert!(common.is_empty(), "{common:?}");
    }
}
