//! What tests of the product share.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use arbutusfall_standins::Caller;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::SiteSize;
use hyper::Method;
use serde_json::Value;

/// Program of the stand-ins.
pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"))
}

/// A site with few processes.
pub(crate) fn small_site() -> SiteSize {
    SiteSize {
        prefill_engines: 1,
        decode_engines: 1,
        service_processes: 1,
        ..SiteSize::rinnovo()
    }
}

/// The site's caller.
pub(crate) fn caller(fleet: &Fleet) -> Caller {
    Caller {
        executor: fleet.executor.clone(),
        key: fleet.site.key.to_owned(),
    }
}

/// A counter of a VM.
pub(crate) fn counter(fleet: &Fleet, vm: usize, name: &str) -> i64 {
    let address = fleet.vms[vm].settings.operator_address;
    let status = fleet.get(address, "/status").unwrap_or_default();
    status["counters"][name].as_i64().unwrap_or_default()
}

/// Books with a fresh key at a VM and returns the answer's status.
pub(crate) fn book(fleet: &Fleet, vm: usize) -> Option<u16> {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", &*key), ("arbutusfall-attempt", "1")];
    let path = fleet.site.non_idempotent_path;
    let caller = caller(fleet);
    let call = caller.call(fleet.vms[vm].caller_address, Method::POST, path, &headers);
    fleet.block_on(call).ok().map(|answer| answer.status)
}

/// An answer as the bytes of a connection show it.
#[derive(Debug)]
pub(crate) struct RawAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl RawAnswer {
    /// Kind of the problem that the body tells.
    pub(crate) fn problem(&self) -> String {
        let document: Value = serde_json::from_str(&self.body).unwrap_or_default();
        let kind = document["type"].as_str().unwrap_or_default();
        let kind = kind.strip_prefix("urn:arbutusfall:problem:");
        kind.unwrap_or_default().to_owned()
    }
}

/// Writes bytes to a connection of its own and reads until the other side closes it.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<RawAnswer> {
    let mut stream = TcpStream::connect(address).expect("the VM listens");
    // The VM may refuse before it has read everything.
    let _ = stream.write_all(bytes);
    read_answers(&mut stream)
}

/// A stream of events, the last answer of its connection; how they were cut into pieces is left out.
fn streamed(head: &str, after: &str) -> RawAnswer {
    let events = after.lines().filter(|line| line.starts_with("data: "));
    RawAnswer {
        status: 200,
        head: head.to_owned(),
        body: events.collect::<Vec<_>>().join("\n"),
    }
}

/// Reads a connection to its end.
pub(crate) fn read_answers(stream: &mut TcpStream) -> Vec<RawAnswer> {
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("a timeout is set");
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    assert!(read.is_ok(), "the connection is closed in order: {read:?}");
    let mut rest = String::from_utf8_lossy(&bytes).into_owned();
    let mut answers = Vec::new();
    while let Some((head, after)) = rest.split_once("\r\n\r\n") {
        if head.contains("transfer-encoding: chunked") {
            answers.push(streamed(head, after));
            break;
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        let status = head.get(9..12).and_then(|status| status.parse().ok());
        answers.push(RawAnswer {
            status: status.unwrap_or_default(),
            head: head.to_owned(),
            // An answer to HEAD tells a length and has no body.
            body: after.get(..length).unwrap_or(after).to_owned(),
        });
        rest = after.get(length..).unwrap_or_default().to_owned();
    }
    answers
}
