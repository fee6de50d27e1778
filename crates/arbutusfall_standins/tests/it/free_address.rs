//! Addresses for stand-ins and VMs.

use std::collections::BTreeSet;
use std::fs::File;
use std::fs::TryLockError;
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

/// Lowest port of the addresses, and number of ports that a process takes for itself at a time.
const FIRST_PORT: u16 = 10_000;
const BLOCK_PORTS: u16 = 500;

/// Environment variable that makes [`leave_a_process_behind`] start a process.
const LEAVE_VARIABLE: &str = "ARBUTUSFALL_TEST_LEAVE_PROCESS";

/// Time for which the process that is left behind runs, in seconds.
const LEFT_TIME_S: &str = "20";

/// Not a test: [`addresses_are_kept_while_a_process_that_was_left_behind_runs`] runs this test binary again with only this
/// function.
#[test]
fn leave_a_process_behind() {
    if std::env::var_os(LEAVE_VARIABLE).is_none() {
        return;
    }
    let address = free_address().expect("loopback has free ports");
    let mut left = Command::new("sleep");
    left.arg(LEFT_TIME_S)
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    let left = left.stderr(Stdio::null()).spawn();
    println!("port {}", address.port());
    println!("left {}", left.expect("the process starts").id());
}

// Guards against a run that lists its endpoints and VMs at addresses which VMs of an aborted run still use.
#[test]
fn addresses_are_kept_while_a_process_that_was_left_behind_runs() {
    let mut command = Command::new(std::env::current_exe().expect("this program has a path"));
    command.args(["--exact", "free_address::leave_a_process_behind"]);
    let output = command.arg("--nocapture").env(LEAVE_VARIABLE, "1").output();
    let output = output.expect("the process runs").stdout;
    let output = String::from_utf8_lossy(&output);
    let value = |name: &str| {
        let mut lines = output.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.map(str::to_owned)
    };
    let port: Option<u16> = value("port").and_then(|port| port.parse().ok());
    let port = port.expect("a port is printed");
    let left = value("left").expect("a process was left behind");
    let block = (port - FIRST_PORT) / BLOCK_PORTS;
    let lock = std::env::temp_dir().join(format!("arbutusfall-ports-{block}.lock"));
    let lock = File::open(lock).expect("the block has a lock");
    let locked = lock.try_lock();
    let ended = Command::new("kill").arg(left).status();
    assert!(ended.is_ok_and(|status| status.success()), "it has ended");
    assert!(
        matches!(locked, Err(TryLockError::WouldBlock)),
        "{locked:?}"
    );
}

// Guards against a listener whose port an outgoing connection of any process has taken while it was down for a moment.
#[test]
fn no_outgoing_connection_is_given_the_port_of_an_address() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the system has a range");
    let first = range.split_whitespace().next();
    let first: Option<u16> = first.and_then(|first| first.parse().ok());
    let first = first.expect("the range begins with a number");
    let addresses = draw_addresses();
    assert!(addresses.iter().all(|address| address.port() < first));
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
