//! Answers to invalid, slow and excess requests.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use arbutusfall_standins::Fleet;
use arbutusfall_standins::expected_text;
use hyper::Method;
use serde_json::json;

use crate::fleet_lock;
use crate::support::RawAnswer;
use crate::support::caller;
use crate::support::counter;
use crate::support::exchange;
use crate::support::program;
use crate::support::read_answers;
use crate::support::small_site;

/// Connection limit in the configuration of [`limited_fleet`].
const MAX_CONNECTIONS: usize = 8;

/// Starts a fleet with one VM and low limits for callers.
fn limited_fleet() -> Fleet {
    let site = small_site();
    let mut fleet = Fleet::start_stand_ins(program(), &site).expect("the platform starts");
    let mut base = site.base("weighted");
    base["limits"] = json!({
        "max_header_bytes": 8_192,
        "max_body_bytes": 4_096,
        "receive_timeout_ms": 500,
        "max_connections": MAX_CONNECTIONS,
    });
    fleet
        .publish(&["base"], &base)
        .expect("the base is published");
    let addresses = fleet.endpoints.iter();
    let addresses = addresses.map(|(name, process)| (name.clone(), process.address));
    let overlay = site.overlay(&addresses.collect());
    let arguments = ["overlay", site.name];
    fleet
        .publish(&arguments, &overlay)
        .expect("the overlay is published");
    fleet.start_vms(1).expect("the VM starts");
    fleet
}

fn request(fleet: &Fleet, line: &str, headers: &str, body: &str) -> Vec<u8> {
    let bearer_key = fleet.site.key;
    let length = body.len();
    let head = format!("{line} HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {bearer_key}\r\n");
    format!("{head}content-length: {length}\r\nconnection: close\r\n{headers}\r\n{body}").into()
}

fn exchange_one(address: SocketAddr, bytes: &[u8]) -> RawAnswer {
    let mut answers = exchange(address, bytes);
    assert_eq!(answers.len(), 1, "expected one answer: {answers:?}");
    answers.remove(0)
}

#[test]
fn invalid_requests_get_typed_problems() {
    let _lock = fleet_lock::acquire();
    let fleet = limited_fleet();
    let address = fleet.vms[0].caller_address;
    let post = "POST /v1/completions";
    let completion_request = |body: &str| request(&fleet, post, "", body);
    let completion_request_with = |member: &str| {
        let body = format!("{{\"model\":\"draft-models\",\"prompt\":\"a\",{member}}}");
        completion_request(&body)
    };
    let long_header = format!("x-long: {}\r\n", "a".repeat(100_000));
    let many_headers = "x-many: a\r\n".repeat(300);
    let idempotency_key = uuid::Uuid::now_v7();
    let two_idempotency_keys = format!("idempotency-key: {idempotency_key}\r\n").repeat(2);
    let booking = "POST /v1/bookings";
    let cases = [
        (
            "not HTTP",
            b"\x16\x03\x01 hello\r\n\r\n".to_vec(),
            400,
            "malformed",
        ),
        (
            "bad version",
            b"GET / HTTP/9\r\n\r\n".to_vec(),
            400,
            "malformed",
        ),
        (
            "long header",
            request(&fleet, post, &long_header, ""),
            431,
            "headers-too-large",
        ),
        (
            "many headers",
            request(&fleet, post, &many_headers, ""),
            431,
            "headers-too-large",
        ),
        (
            "no bearer key",
            b"GET /v1/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_vec(),
            401,
            "unauthorized",
        ),
        (
            "two bearer keys",
            request(&fleet, post, "authorization: Bearer b\r\n", ""),
            401,
            "unauthorized",
        ),
        (
            "long body",
            completion_request(&"a".repeat(5_000)),
            413,
            "body-too-large",
        ),
        ("not JSON", completion_request("{"), 400, "malformed"),
        ("empty body", completion_request(""), 400, "malformed"),
        (
            "prompt of numbers",
            completion_request("{\"model\":\"draft-models\",\"prompt\":[1]}"),
            400,
            "malformed",
        ),
        (
            "repeated name",
            completion_request("{\"model\":\"a\",\"model\":\"b\",\"prompt\":\"c\"}"),
            400,
            "malformed",
        ),
        (
            "no such model",
            completion_request("{\"model\":\"a\",\"prompt\":\"b\"}"),
            404,
            "no-model",
        ),
        (
            "no tokens",
            completion_request_with("\"max_tokens\":0"),
            400,
            "malformed",
        ),
        (
            "too many tokens",
            completion_request_with("\"max_tokens\":4294967296"),
            400,
            "malformed",
        ),
        (
            "no route",
            request(&fleet, "GET /v2/nothing", "", ""),
            404,
            "no-route",
        ),
        (
            "unknown method",
            request(&fleet, "BREW /v1/status", "", ""),
            404,
            "no-route",
        ),
        (
            "no idempotency key",
            request(&fleet, booking, "", "{}"),
            400,
            "key-invalid",
        ),
        (
            "two idempotency keys",
            request(&fleet, booking, &two_idempotency_keys, "{}"),
            400,
            "key-invalid",
        ),
        (
            "bad attempt",
            request(&fleet, booking, "arbutusfall-attempt: x\r\n", "{}"),
            400,
            "malformed",
        ),
    ];
    for (case, bytes, status, problem) in cases {
        let answer = exchange_one(address, &bytes);
        assert_eq!(answer.status, status, "{case}: {answer:?}");
        assert_eq!(answer.problem_type(), problem, "{case}: {answer:?}");
        let is_problem_json = answer
            .head
            .contains("content-type: application/problem+json");
        assert!(is_problem_json, "{case}: {answer:?}");
    }
    let head = exchange_one(address, &request(&fleet, "HEAD /v1/status/1", "", ""));
    assert!(head.body.is_empty(), "{head:?}");
    let challenge = exchange_one(
        address,
        b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    );
    assert!(
        challenge.head.contains("www-authenticate: Bearer"),
        "{challenge:?}"
    );
    assert_idle_and_serving(&fleet);
}

/// Asserts that the VM has no stream or idempotent call in progress and still serves a completion.
fn assert_idle_and_serving(fleet: &Fleet) {
    let vm = &fleet.vms[0];
    let idle = || {
        let status = fleet.get(vm.settings.operator_address, "/status");
        let status = status.unwrap_or_default();
        status["streams"] == 0 && status["calls"] == 0
    };
    fleet
        .wait_for("no stream or idempotent call is in progress", idle)
        .expect("the VM becomes idle");
    let prompt = "a pilot's logbook";
    let caller = caller(fleet);
    let completion = caller.complete(vm.caller_address, fleet.site.model, prompt, 3, None);
    let completion = fleet.block_on(completion).expect("an answer arrives");
    assert_eq!(completion.text, expected_text(prompt, 3));
}

#[test]
fn slow_and_silent_callers_time_out() {
    let _lock = fleet_lock::acquire();
    let fleet = limited_fleet();
    let address = fleet.vms[0].caller_address;
    let answer = exchange_one(address, b"GET /v1/status/1 HTTP/1.1\r\nhost: a\r\n");
    assert_eq!(
        (answer.status, answer.problem_type().as_str()),
        (408, "receive-timeout")
    );
    let mut bytes = request(&fleet, "POST /v1/completions", "", "{\"model\":1}");
    bytes.truncate(bytes.len() - 3);
    let answer = exchange_one(address, &bytes);
    assert_eq!(
        (answer.status, answer.problem_type().as_str()),
        (408, "receive-timeout")
    );
    let mut silent = TcpStream::connect(address).expect("the VM listens");
    assert!(
        read_answers(&mut silent).is_empty(),
        "got an answer before the connection was closed"
    );
    assert_idle_and_serving(&fleet);
}

#[test]
fn connections_over_the_limit_are_refused_with_retry_after() {
    let _lock = fleet_lock::acquire();
    let fleet = limited_fleet();
    let address = fleet.vms[0].caller_address;
    let open: Vec<TcpStream> = (0..MAX_CONNECTIONS)
        .map(|_| TcpStream::connect(address).expect("the VM listens"))
        .collect();
    let refused = exchange_one(address, &request(&fleet, "GET /v1/status/1", "", ""));
    assert_eq!(
        (refused.status, refused.problem_type().as_str()),
        (503, "unavailable")
    );
    assert!(refused.head.contains("retry-after: 1"), "{refused:?}");
    assert!(counter(&fleet, 0, "callers.problems.unavailable") > 0);
    drop(open);
    let served = || {
        let answers = exchange(address, &request(&fleet, "GET /v1/status/1", "", ""));
        answers.first().is_some_and(|answer| answer.status == 200)
    };
    fleet
        .wait_for("a new connection is served", served)
        .expect("closed connections free their slots");
}

#[test]
fn pipelined_chunked_and_unrouted_requests_are_answered_in_order() {
    let _lock = fleet_lock::acquire();
    let fleet = limited_fleet();
    let address = fleet.vms[0].caller_address;
    let bearer_key = fleet.site.key;
    let get = |path: &str| {
        format!("GET {path} HTTP/1.1\r\nhost: a\r\nauthorization: bearer {bearer_key}\r\n")
    };
    let mut stream = TcpStream::connect(address).expect("the VM listens");
    let first = get("/v1/status/first") + "\r\n";
    let second = get("/v1/status/second") + "connection: close\r\n\r\n";
    // Both requests are sent before the first answer is read.
    stream
        .write_all((first + &second).as_bytes())
        .expect("a request is sent");
    let answers = read_answers(&mut stream);
    let bodies: Vec<&str> = answers.iter().map(|answer| &*answer.body).collect();
    assert_eq!(
        bodies,
        [
            "{\"padding\":\"\",\"status_of\":\"/v1/status/first\"}",
            "{\"padding\":\"\",\"status_of\":\"/v1/status/second\"}"
        ]
    );
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {bearer_key}\r\n\
         transfer-encoding: chunked\r\nconnection: close\r\n\r\n"
    );
    let body = json!({ "model": fleet.site.model, "prompt": "a", "max_tokens": 2 }).to_string();
    let mut stream = TcpStream::connect(address).expect("the VM listens");
    stream
        .write_all(chunked.as_bytes())
        .expect("a request is sent");
    for byte in body.as_bytes() {
        let chunk = [b"1\r\n".as_slice(), &[*byte], b"\r\n"].concat();
        stream.write_all(&chunk).expect("a chunk is sent");
    }
    stream
        .write_all(b"0\r\n\r\n")
        .expect("the last chunk is sent");
    let answers = read_answers(&mut stream);
    assert_eq!(answers[0].status, 200, "{answers:?}");
    assert!(
        answers[0].body.contains(&expected_text("a", 2)),
        "{answers:?}"
    );
    let caller = caller(&fleet);
    let unknown = fleet.block_on(caller.call(address, Method::DELETE, "/v1/status/1", &[]));
    assert_eq!(unknown.expect("an answer arrives").status, 404);
}
