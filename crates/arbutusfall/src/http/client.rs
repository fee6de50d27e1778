//! One request over a connection of its own.
//!
//! Connections are not reused: one that went silent can then harm only the request that it carries.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;

use crate::Executor;

/// Largest body that is read whole, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A request that was not answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be opened: no byte was sent.
    Connect,
    /// The connection failed after bytes may have been sent.
    Broken,
    /// The answer did not come in time; bytes may have been sent.
    Timeout,
    /// The server refused the request.
    Status(u16),
    /// The answer is not of the expected form.
    Malformed,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("no connection"),
            Self::Broken => f.write_str("the connection failed"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Status(status) => write!(f, "refused with status {status}"),
            Self::Malformed => f.write_str("the answer is not of the expected form"),
        }
    }
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Whether any byte of the request may have reached the server.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::Connect)
    }
}

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Server.
    pub address: SocketAddr,
    /// Method, path, headers and body.
    pub request: Request<Full<Bytes>>,
    /// Time allowed for opening the connection.
    pub connect_timeout: Duration,
    /// Time allowed until the answer's headers are complete.
    pub answer_timeout: Duration,
}

async fn timeout<T>(after: Duration) -> Result<T, ClientError> {
    async_io::Timer::after(after).await;
    Err(ClientError::Timeout)
}

/// Sends a request; the connection closes when the answer's body is dropped.
///
/// # Errors
///
/// [`ClientError::Connect`] promises that no byte was sent.
pub async fn send(
    executor: &Executor,
    exchange: Exchange,
) -> Result<Response<Incoming>, ClientError> {
    let connect = async {
        TcpStream::connect(exchange.address)
            .await
            .map_err(|_| ClientError::Connect)
    };
    let expire = async {
        async_io::Timer::after(exchange.connect_timeout).await;
        Err(ClientError::Connect)
    };
    let stream = connect.or(expire).await?;
    // Small writes must not wait for acknowledgements; failing to say so only costs time.
    let _ = stream.set_nodelay(true);
    let answered = async {
        let handshake = hyper::client::conn::http1::handshake(FuturesIo::new(stream));
        let (mut sender, connection) = handshake.await.map_err(|_| ClientError::Connect)?;
        let task = executor.spawn(async move {
            // A failure shows at the request.
            let _ = connection.await;
        });
        task.detach();
        sender
            .send_request(exchange.request)
            .await
            .map_err(|_| ClientError::Broken)
    };
    answered.or(timeout(exchange.answer_timeout)).await
}

/// Reads a whole body.
///
/// # Errors
///
/// Any failure before its end.
pub async fn read_body(body: Incoming, within: Duration) -> Result<Bytes, ClientError> {
    let read = async {
        let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
        Ok(collected.map_err(|_| ClientError::Broken)?.to_bytes())
    };
    read.or(timeout(within)).await
}

/// Asks for a JSON document.
///
/// # Errors
///
/// Any [`ClientError`]; a status other than 2xx is [`ClientError::Status`].
pub async fn get_json<T: DeserializeOwned>(
    executor: &Executor,
    address: SocketAddr,
    path: &str,
    within: Duration,
) -> Result<T, ClientError> {
    exchange_json(executor, address, Method::GET, path, Bytes::new(), within).await
}

/// Sends a JSON document and reads another.
///
/// # Errors
///
/// Any [`ClientError`]; a status other than 2xx is [`ClientError::Status`].
pub async fn post_json<T: DeserializeOwned>(
    executor: &Executor,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
    within: Duration,
) -> Result<T, ClientError> {
    let body = serde_json::to_vec(body).map_err(|_| ClientError::Malformed)?;
    exchange_json(executor, address, Method::POST, path, body.into(), within).await
}

async fn exchange_json<T: DeserializeOwned>(
    executor: &Executor,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    within: Duration,
) -> Result<T, ClientError> {
    let body = exchange_body(executor, address, method, path, body, within).await?;
    serde_json::from_slice(&body).map_err(|_| ClientError::Malformed)
}

/// Sends a request without a body and reads the body of the answer.
///
/// # Errors
///
/// Any [`ClientError`]; a status other than 2xx is [`ClientError::Status`].
pub async fn exchange(
    executor: &Executor,
    address: SocketAddr,
    method: Method,
    path: &str,
    within: Duration,
) -> Result<Bytes, ClientError> {
    exchange_body(executor, address, method, path, Bytes::new(), within).await
}

async fn exchange_body(
    executor: &Executor,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    within: Duration,
) -> Result<Bytes, ClientError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|_| ClientError::Malformed)?;
    let exchange = Exchange {
        address,
        request,
        connect_timeout: within,
        answer_timeout: within,
    };
    let answer = send(executor, exchange).await?;
    let status = answer.status();
    let body = read_body(answer.into_body(), within).await?;
    if !status.is_success() {
        return Err(ClientError::Status(status.as_u16()));
    }
    Ok(body)
}
