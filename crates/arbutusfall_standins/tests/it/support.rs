//! Helpers for tests that run real processes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use arbutusfall_standins::Caller;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::SiteSpec;
use hyper::Method;
use serde_json::Value;

/// Returns the path of the stand-ins' program.
pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"))
}

/// Returns a site with one engine of each role and one service process.
pub(crate) fn small_site() -> SiteSpec {
    SiteSpec {
        prefill_engines: 1,
        decode_engines: 1,
        service_processes: 1,
        ..SiteSpec::rinnovo()
    }
}

/// Returns a caller with the site's key.
pub(crate) fn caller(fleet: &Fleet) -> Caller {
    Caller {
        executor: fleet.executor.clone(),
        key: fleet.site.key.to_owned(),
    }
}

/// Returns a counter of a VM; 0 if the VM does not answer or has no such counter.
pub(crate) fn counter(fleet: &Fleet, vm: usize, name: &str) -> i64 {
    let address = fleet.vms[vm].settings.operator_address;
    let status = fleet.get(address, "/status").unwrap_or_default();
    status["counters"][name].as_i64().unwrap_or_default()
}

/// Sends a non-idempotent call with a new key to a VM and returns the answer's status.
pub(crate) fn send_booking(fleet: &Fleet, vm: usize) -> Option<u16> {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", &*key), ("arbutusfall-attempt", "1")];
    let path = fleet.site.non_idempotent_path;
    let caller = caller(fleet);
    let call = caller.call(fleet.vms[vm].caller_address, Method::POST, path, &headers);
    fleet.block_on(call).ok().map(|answer| answer.status)
}

/// An HTTP answer parsed from the raw bytes of a connection.
#[derive(Debug)]
pub(crate) struct RawAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl RawAnswer {
    /// Returns the problem type from the body without its URN prefix; empty if there is none.
    pub(crate) fn problem_type(&self) -> String {
        let document: Value = serde_json::from_str(&self.body).unwrap_or_default();
        let kind = document["type"].as_str().unwrap_or_default();
        let kind = kind.strip_prefix("urn:arbutusfall:problem:");
        kind.unwrap_or_default().to_owned()
    }
}

/// Sends bytes over a new connection and reads answers until the VM closes it.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<RawAnswer> {
    let mut stream = TcpStream::connect(address).expect("the VM listens");
    // The VM may refuse a request and close the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    read_answers(&mut stream)
}

/// Parses a chunked answer, assumed to be a successful event stream and the last answer on its connection. Keeps only
/// its `data:` lines, so that chunk boundaries do not show.
fn parse_event_stream(head: &str, after_head: &str) -> RawAnswer {
    let events = after_head.lines().filter(|line| line.starts_with("data: "));
    RawAnswer {
        status: 200,
        head: head.to_owned(),
        body: events.collect::<Vec<_>>().join("\n"),
    }
}

/// Reads and parses all answers until the connection is closed.
pub(crate) fn read_answers(stream: &mut TcpStream) -> Vec<RawAnswer> {
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("a timeout is set");
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    assert!(
        read.is_ok(),
        "the connection was not closed cleanly: {read:?}"
    );
    let mut unparsed = String::from_utf8_lossy(&bytes).into_owned();
    let mut answers = Vec::new();
    while let Some((head, after_head)) = unparsed.split_once("\r\n\r\n") {
        if head.contains("transfer-encoding: chunked") {
            answers.push(parse_event_stream(head, after_head));
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
            // An answer to HEAD has a content length but no body.
            body: after_head.get(..length).unwrap_or(after_head).to_owned(),
        });
        unparsed = after_head.get(length..).unwrap_or_default().to_owned();
    }
    answers
}
