//! Randomly damaged requests and settings files: the process keeps running, no stream stays open, and errors have one
//! line.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use arbutusfall::Settings;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::expected_text;

use crate::fleet_lock;
use crate::support::caller;
use crate::support::program;
use crate::support::small_site;

/// Seed of the random damage in both tests.
const SEED: u64 = 22;

/// Number of damaged requests.
const CASES: usize = 400;

/// Sends bytes and returns those received; the VM may close the connection at any time, so I/O errors are ignored.
fn send(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the VM listens");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("a timeout is set");
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// Replaces one to five random bytes.
fn damage(bytes: &mut [u8], rng: &mut fastrand::Rng) {
    for _ in 0..rng.usize(1..6) {
        let index = rng.usize(..bytes.len());
        bytes[index] = rng.u8(..);
    }
}

#[test]
fn damaged_requests_do_not_affect_later_requests() {
    let _lock = fleet_lock::acquire();
    let mut fleet = Fleet::start(program(), &small_site(), 1).expect("the fleet starts");
    let address = fleet.vms[0].caller_address;
    let key = fleet.site.key;
    let mut rng = fastrand::Rng::with_seed(SEED);
    for case in 0..CASES {
        let body = r#"{"model":"draft-models","prompt":"abc","max_tokens":2,"stream":true}"#;
        let length = body.len();
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\
             content-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        let mut bytes = request.into_bytes();
        let body_start = bytes.len() - length;
        match case % 3 {
            0 => damage(&mut bytes, &mut rng),
            1 => damage(&mut bytes[body_start..], &mut rng),
            _ => bytes.truncate(rng.usize(..bytes.len())),
        }
        let answer = send(address, &bytes);
        let is_http = answer.is_empty() || answer.starts_with(b"HTTP/1.1 ");
        assert!(is_http, "case {case}: {}", String::from_utf8_lossy(&answer));
    }
    let status = fleet.vms[0].process.exit_status();
    assert_eq!(status, None, "the VM exited");
    let operator_address = fleet.vms[0].settings.operator_address;
    let idle = || fleet.get(operator_address, "/status").unwrap_or_default()["streams"] == 0;
    fleet
        .wait_for("no stream is open", idle)
        .expect("all streams end");
    let caller = caller(&fleet);
    let completion = caller.complete(address, fleet.site.model, "abc", 2, None);
    let completion = fleet.block_on(completion).expect("an answer arrives");
    assert_eq!(completion.text, expected_text("abc", 2));
}

#[test]
fn damaged_settings_load_or_are_refused_with_one_line() {
    let dir = std::env::temp_dir().join(format!("arbutusfall-{}", uuid::Uuid::now_v7()));
    std::fs::create_dir_all(&dir).expect("the directory is created");
    let file = dir.join("settings.json");
    let settings = serde_json::json!({
        "vm": "one", "data_centre": "milano-a", "site": "rinnovo",
        "caller_address": "127.0.0.1:1", "operator_address": "127.0.0.1:2",
        "peer_address": "127.0.0.1:3", "log_service_address": "127.0.0.1:4",
        "vm_list_address": "127.0.0.1:5", "worker_threads": 2, "log_level": "warn",
        "tls": { "authority_file": "a", "certificate_file": "b", "key_file": "c" },
    });
    let valid = settings.to_string().into_bytes();
    std::fs::write(&file, &valid).expect("the file is written");
    Settings::load(&file).expect("the settings are valid");
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut refused = 0;
    for _ in 0..2_000 {
        let mut bytes = valid.clone();
        damage(&mut bytes, &mut rng);
        std::fs::write(&file, &bytes).expect("the file is written");
        if let Err(error) = Settings::load(&file) {
            refused += 1;
            assert_eq!(format!("{error:#}").lines().count(), 1, "{error:?}");
        }
    }
    assert!(refused > 1_000, "{refused} were refused");
    std::fs::remove_dir_all(&dir).expect("the directory is removed");
}
