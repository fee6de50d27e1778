//! HTTP client that opens a connection for each request.
//!
//! Connections are not reused, so that a silent connection affects only one request.

use std::fmt;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_net::TcpStream;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;

use crate::Executor;
use crate::http::BodyMemory;
use crate::http::answer_pieces::PieceBuffer;
use crate::http::head_limit::HeadLimit;
use crate::http::head_limit::HeadLimitedStream;
use crate::http::held_answer::DeliveredAnswer;
use crate::http::held_answer::HeldAnswer;
use crate::http::read_size_stream::ReadSizeStream;
use crate::http::sliced_body::SlicedBody;
use crate::http::whole_body;
use crate::http::whole_body::CollectError;
use crate::http::write_gate::GatedStream;
use crate::http::write_gate::WriteGate;
use crate::http::write_wakeup::WakingStream;

/// Maximum size of an answer of the store, the log or the VM list, in bytes.
const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum size of a connection's read buffer, in bytes; it bounds the head of an answer and the pieces of its body.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Size of a connection's send buffer in the kernel, in bytes. Linux lets it grow to 4 MB by default, so that a request whose server
/// reads nothing of it would count as written.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Error of a request, or of reading its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// The connection could not be opened, so no byte was sent.
    Connect,
    /// The server refused the connection, so no byte was sent.
    Refused,
    /// The connection was opened and failed before any byte of the request was written to it.
    Unsent,
    /// The connection failed after bytes may have been sent, or the answer's head is too long.
    Broken,
    /// The answer's body is too long.
    TooLong,
    /// The answer did not arrive in time; bytes may have been sent.
    Timeout,
    /// The server answered with a status other than 2xx.
    Status(u16),
    /// The answer, or the request itself, is malformed.
    Malformed,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("the connection could not be opened"),
            Self::Refused => f.write_str("the connection was refused"),
            Self::Unsent => f.write_str("the connection failed before anything was sent"),
            Self::Broken => f.write_str("the connection failed or the answer's head is too long"),
            Self::TooLong => f.write_str("the answer is too long"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Status(status) => write!(f, "the server answered with status {status}"),
            Self::Malformed => f.write_str("malformed request or answer"),
        }
    }
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Returns whether any byte of the request may have reached the server.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::Connect | Self::Refused | Self::Unsent)
    }
}

/// A request with its destination and timeouts.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Address of the server.
    pub address: SocketAddr,
    /// Method, path, headers and body.
    pub request: Request<Full<Bytes>>,
    /// Timeout for opening the connection.
    pub connect_timeout: Duration,
    /// Timeout from when the connection is open until the answer's headers are complete.
    pub answer_timeout: Duration,
}

async fn fail_after<T>(after: Duration) -> Result<T, ClientError> {
    async_io::Timer::after(after).await;
    Err(ClientError::Timeout)
}

/// Sends a request; the connection closes when the answer's body is dropped.
///
/// # Errors
///
/// [`ClientError::Connect`], [`ClientError::Refused`] and [`ClientError::Unsent`] guarantee that no byte of the request was or will be
/// sent.
pub async fn send(
    executor: &Executor,
    outgoing: OutgoingRequest,
) -> Result<Response<Incoming>, ClientError> {
    let stream = open(outgoing.address, outgoing.connect_timeout).await?;
    send_on(executor, stream, outgoing).await
}

/// Opens a connection.
///
/// # Errors
///
/// [`ClientError::Refused`], otherwise [`ClientError::Connect`], also if the time is over.
pub async fn open(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ClientError> {
    connect(address, async_io::Timer::after(timeout)).await
}

/// Sends a request on an open connection, which closes when the answer's body is dropped.
///
/// # Errors
///
/// As for [`send`].
pub async fn send_on(
    executor: &Executor,
    stream: TcpStream,
    outgoing: OutgoingRequest,
) -> Result<Response<Incoming>, ClientError> {
    let exchange = exchange(executor, stream, None, outgoing.request);
    exchange.or(fail_after(outgoing.answer_timeout)).await
}

/// Like [`send_on`], for an answer to forward: `memory` limits the pieces in which it is read.
///
/// # Errors
///
/// As for [`send`].
pub async fn send_within_memory(
    executor: &Executor,
    stream: TcpStream,
    memory: &Arc<BodyMemory>,
    outgoing: OutgoingRequest,
) -> Result<Response<Incoming>, ClientError> {
    let exchange = exchange(executor, stream, Some(memory.clone()), outgoing.request);
    exchange.or(fail_after(outgoing.answer_timeout)).await
}

async fn connect(
    address: SocketAddr,
    limit: impl Future<Output = Instant>,
) -> Result<TcpStream, ClientError> {
    let connect = async {
        let stream = TcpStream::connect(address).await;
        stream.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => ClientError::Refused,
            _ => ClientError::Connect,
        })
    };
    let expire = async {
        limit.await;
        Err(ClientError::Connect)
    };
    let stream = connect.or(expire).await?;
    // Disables Nagle's algorithm, so that small writes are sent without delay; a failure only adds latency.
    let _ = stream.set_nodelay(true);
    // A failure leaves the default.
    let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    Ok(stream)
}

/// A connection that is kept open for several requests, one after the other. It neither limits the head of an answer
/// nor tells whether anything was sent: it is for questions to other VMs, which may be repeated.
#[derive(Debug)]
pub struct KeptConnection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl KeptConnection {
    /// Begins to use an open connection.
    ///
    /// # Errors
    ///
    /// [`ClientError::Connect`] if the HTTP library can't use the connection; nothing was sent.
    pub async fn begin(executor: &Executor, stream: TcpStream) -> Result<Self, ClientError> {
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(FuturesIo::new(WakingStream::new(stream)));
        let (sender, connection) = handshake.await.map_err(|_| ClientError::Connect)?;
        let task = executor.spawn(async move {
            // A failure is reported to the pending request.
            let _ = connection.await;
        });
        task.detach();
        Ok(Self { sender })
    }

    /// Sends a request; the answer's body must be read before the next one.
    ///
    /// # Errors
    ///
    /// [`ClientError::Broken`] if the connection fails or has been closed.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        let ready = self.sender.ready().await;
        ready.map_err(|_| ClientError::Broken)?;
        let answer = self.sender.send_request(request).await;
        answer.map_err(|_| ClientError::Broken)
    }
}

/// Sends a request on an open connection and reads the answer's headers.
async fn exchange(
    executor: &Executor,
    stream: TcpStream,
    memory: Option<Arc<BodyMemory>>,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, ClientError> {
    let limit = HeadLimit::new();
    let gate = WriteGate::default();
    let gated = GatedStream {
        inner: stream,
        gate: gate.clone(),
    };
    let sized = ReadSizeStream {
        inner: gated,
        memory,
    };
    let stream = HeadLimitedStream::new(sized, limit.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(FuturesIo::new(WakingStream::new(stream)));
    let (mut sender, connection) = handshake.await.map_err(|_| ClientError::Connect)?;
    let task = executor.spawn(async move {
        // A failure is reported to the pending request.
        let _ = connection.await;
    });
    task.detach();
    let answer = sender.send_request(request.map(SlicedBody::new)).await;
    limit.lift();
    answer.map_err(|_| {
        if gate.close_unwritten() {
            ClientError::Unsent
        } else {
            ClientError::Broken
        }
    })
}

/// Reads a complete body of an answer to forward. It waits while other answers, which are being delivered, use up `memory`. The body counts
/// towards it until it is dropped.
///
/// # Errors
///
/// [`ClientError::Broken`] if the connection fails, [`ClientError::TooLong`] if the body exceeds a limit of `memory`,
/// [`ClientError::Timeout`] if it is not complete in time.
pub async fn read_body(
    body: Incoming,
    timeout: Duration,
    memory: &Arc<BodyMemory>,
) -> Result<DeliveredAnswer, ClientError> {
    read_within(body, memory).or(fail_after(timeout)).await
}

async fn read_within(
    mut body: Incoming,
    memory: &Arc<BodyMemory>,
) -> Result<DeliveredAnswer, ClientError> {
    let mut held = HeldAnswer::begin(memory);
    let mut buffer = PieceBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ClientError::Broken)?;
        let Ok(data) = frame.into_data() else {
            // Trailers are not forwarded: they carry nothing that callers need.
            continue;
        };
        if !held.add(data.len()).await {
            return Err(ClientError::TooLong);
        }
        buffer.push(&data);
    }
    Ok(held.into_delivered(buffer.into_pieces()))
}

/// Reads a complete body of an answer to the router itself.
///
/// # Errors
///
/// [`ClientError::Broken`] if the connection fails, [`ClientError::TooLong`] if the body is longer than `max_bytes`,
/// [`ClientError::Timeout`] if it is not complete in time.
pub async fn read_control_body(
    body: Incoming,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Bytes, ClientError> {
    let read = async { Ok(whole_body::collect(body, max_bytes).await?) };
    read.or(fail_after(timeout)).await
}

/// Like [`read_control_body`], for an endpoint's answer: it counts towards `memory` while it is read, beyond its first 16 KiB.
///
/// # Errors
///
/// As for [`read_control_body`]; [`ClientError::TooLong`] also if there is no memory for the body.
pub async fn read_endpoint_control_body(
    body: Incoming,
    timeout: Duration,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, ClientError> {
    let read = async { Ok(whole_body::collect_within(body, max_bytes, memory).await?) };
    read.or(fail_after(timeout)).await
}

impl From<CollectError> for ClientError {
    fn from(error: CollectError) -> Self {
        match error {
            CollectError::TooLong => Self::TooLong,
            CollectError::Broken => Self::Broken,
        }
    }
}

/// Sends a GET request and parses the answer as JSON.
///
/// `timeout` applies to the whole exchange: connecting, the answer's headers and its body.
///
/// # Errors
///
/// Any [`ClientError`]; a status other than 2xx is [`ClientError::Status`].
pub async fn get_json<T: DeserializeOwned>(
    executor: &Executor,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<T, ClientError> {
    request_json(executor, address, Method::GET, path, Bytes::new(), timeout).await
}

/// Sends a POST request with a JSON document and parses the answer as JSON.
///
/// `timeout` applies to the whole exchange: connecting, the answer's headers and its body.
///
/// # Errors
///
/// Any [`ClientError`]; a status other than 2xx is [`ClientError::Status`].
pub async fn post_json<T: DeserializeOwned>(
    executor: &Executor,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
    timeout: Duration,
) -> Result<T, ClientError> {
    let body = serde_json::to_vec(body).map_err(|_| ClientError::Malformed)?;
    request_json(executor, address, Method::POST, path, body.into(), timeout).await
}

/// A request whose answer is read completely.
#[derive(Debug, Clone)]
pub struct WholeRequest<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path with the query.
    pub path: &'a str,
    /// Body; empty for none.
    pub body: Bytes,
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Returns the body.
    ///
    /// # Errors
    ///
    /// [`ClientError::Status`] if the status is not 2xx.
    pub fn into_successful_body(self) -> Result<Bytes, ClientError> {
        if self.status.is_success() {
            Ok(self.body)
        } else {
            Err(ClientError::Status(self.status.as_u16()))
        }
    }
}

async fn request_json<T: DeserializeOwned>(
    executor: &Executor,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<T, ClientError> {
    let request = WholeRequest {
        address,
        method,
        path,
        body,
    };
    let answer = request_whole(executor, request, timeout).await?;
    let body = answer.into_successful_body()?;
    serde_json::from_slice(&body).map_err(|_| ClientError::Malformed)
}

/// Sends a request and reads its answer completely, whatever the status.
///
/// `timeout` applies to the whole exchange: connecting, the answer's headers and its body.
///
/// # Errors
///
/// Any [`ClientError`] but [`ClientError::Status`].
pub async fn request_whole(
    executor: &Executor,
    request: WholeRequest<'_>,
    timeout: Duration,
) -> Result<WholeAnswer, ClientError> {
    let address = request.address;
    let request = Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(request.body))
        .map_err(|_| ClientError::Malformed)?;
    // One limit for the whole exchange: a limit for each step would let a request last several times as long.
    let mut limit = async_io::Timer::after(timeout);
    let stream = connect(address, &mut limit).await?;
    let exchange = async {
        let answer = exchange(executor, stream, None, request).await?;
        let (parts, body) = answer.into_parts();
        Ok(WholeAnswer {
            status: parts.status,
            headers: parts.headers,
            body: whole_body::collect(body, MAX_WHOLE_BYTES).await?,
        })
    };
    let expire = async {
        limit.await;
        Err(ClientError::Timeout)
    };
    exchange.or(expire).await
}

#[cfg(test)]
mod tests {
    use std::net::TcpListener;

    use async_io::block_on;

    use super::*;

    const TIMEOUT: Duration = Duration::from_secs(5);

    // Guards against a request that is taken for sent because its connection was open for a moment.
    #[test]
    fn request_on_a_connection_that_the_server_has_closed_is_unsent() {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).expect("loopback has free ports");
        let address = listener.local_addr().expect("the listener is bound");
        let request = Request::post("/").body(Full::new(Bytes::from_static(b"order")));
        let outgoing = OutgoingRequest {
            address,
            request: request.expect("the request is valid"),
            connect_timeout: TIMEOUT,
            answer_timeout: TIMEOUT,
        };
        let executor = Executor::new();
        let sent = block_on(executor.run(async {
            let stream = open(address, TIMEOUT).await?;
            let (accepted, _) = listener.accept().map_err(|_| ClientError::Connect)?;
            drop(accepted);
            // Waits for the end of the connection to arrive.
            let mut byte = [0];
            let _ = stream.peek(&mut byte).await;
            send_on(&executor, stream, outgoing).await
        }));
        assert_eq!(sent.map(|_| ()), Err(ClientError::Unsent));
    }
}
