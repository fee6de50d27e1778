//! The timeout of a request applies to the whole exchange.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use arbutusfall::Executor;
use arbutusfall::http;
use arbutusfall::http::ClientError;
use arbutusfall::http::WholeRequest;
use hyper::Method;
use hyper::body::Bytes;

/// Timeout of the request.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Pause of the server before the head of its answer and again before the body; each is shorter than the timeout.
const PAUSE: Duration = Duration::from_millis(400);

/// Starts a server that answers one request slowly.
fn start_slow_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("a listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        for part in ["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", "{}"] {
            std::thread::sleep(PAUSE);
            // The client may have closed the connection.
            let _ = stream.write_all(part.as_bytes());
        }
    });
    address
}

// Guards against a timeout that starts again for each part of an answer, so that a read lasts several times as long as
// its caller assumes.
#[test]
fn timeout_covers_connecting_head_and_body_together() {
    let address = start_slow_server();
    let executor = Executor::new();
    let started = Instant::now();
    let request = WholeRequest {
        address,
        method: Method::GET,
        path: "/",
        body: Bytes::new(),
    };
    let request = http::request_whole(&executor, request, TIMEOUT);
    let answer = async_io::block_on(executor.run(request));
    assert_eq!(answer.err(), Some(ClientError::Timeout));
    assert!(
        started.elapsed() < TIMEOUT + PAUSE,
        "{:?}",
        started.elapsed()
    );
}
