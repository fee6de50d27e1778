//! A listener that serves each connection in a task of its own.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::Executor;
use crate::http::AnswerBody;

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: usize = 8 * 1024;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Longest header section, in bytes.
    pub max_header_bytes: usize,
    /// Time allowed for the headers of a request to arrive.
    pub header_timeout: Duration,
    /// Connections that may be open at once.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(5),
            max_connections: 4_000,
        }
    }
}

/// A listener with its connections; dropping it closes them.
#[derive(Debug)]
pub struct Listening {
    /// Closes when connections are to end.
    stop: Sender<Infallible>,
    /// Closes when the last connection has ended.
    ended: Receiver<Infallible>,
}

impl Listening {
    /// Accepts no more connections, closes idle ones and lets each answer in progress be written to its end;
    /// returns when all connections are closed, or after `within`.
    pub async fn close(self, within: Duration) {
        drop(self.stop);
        let ended = async {
            // Nothing is ever sent: the channel closes.
            let _ = self.ended.recv().await;
        };
        let expire = async {
            async_io::Timer::after(within).await;
        };
        ended.or(expire).await;
    }
}

/// Accepts connections; `limits` is asked at each connection, so that it can change.
///
/// # Errors
///
/// The address cannot be listened on.
pub async fn listen<H, F>(
    executor: Arc<Executor>,
    address: SocketAddr,
    limits: impl Fn() -> ServerLimits + Send + 'static,
    handler: H,
) -> std::io::Result<Listening>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let open = Arc::new(AtomicUsize::new(0));
    let accepting = executor.clone();
    let (stop, stopped) = async_channel::bounded(1);
    let (alive, ended) = async_channel::bounded(1);
    let accept = async move {
        loop {
            let Some(accepted) = accept_unless_stopped(&listener, &stopped).await else {
                return;
            };
            let Ok(stream) = accepted else {
                // Out of descriptors or the like: wait for some to be closed.
                async_io::Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            let limits = limits();
            if open.load(Ordering::Relaxed) >= limits.max_connections {
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let open = open.clone();
            let handler = handler.clone();
            let stopped = stopped.clone();
            let alive: Sender<Infallible> = alive.clone();
            let connection = async move {
                serve_connection(stream, limits, handler, &stopped).await;
                open.fetch_sub(1, Ordering::Relaxed);
                drop(alive);
            };
            accepting.spawn(connection).detach();
        }
    };
    executor.spawn(accept).detach();
    Ok(Listening { stop, ended })
}

/// The next connection; none once the listener is to stop.
async fn accept_unless_stopped(
    listener: &TcpListener,
    stopped: &Receiver<Infallible>,
) -> Option<std::io::Result<TcpStream>> {
    let accept = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    let stop = async {
        // Nothing is ever sent: the channel closes.
        let _ = stopped.recv().await;
        None
    };
    stop.or(accept).await
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    handler: H,
    stopped: &Receiver<Infallible>,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<AnswerBody>>,
{
    // Tokens must not wait for acknowledgements; failing to say so only costs time.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let answer = handler(request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let serve = async {
        // A failure means that the other side is gone, which the handler's answer notices.
        let _ = connection.as_mut().await;
        false
    };
    let stop = async {
        // Nothing is ever sent: the channel closes.
        let _ = stopped.recv().await;
        true
    };
    if serve.or(stop).await {
        connection.as_mut().graceful_shutdown();
        // As above.
        let _ = connection.await;
    }
}

/// A request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBodyError {
    /// The body is longer than allowed.
    TooLong,
    /// The body did not arrive in time.
    Timeout,
    /// The connection failed.
    Broken,
}

impl fmt::Display for ReadBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the body is too long",
            Self::Timeout => "the body did not arrive in time",
            Self::Broken => "the connection failed",
        })
    }
}

impl std::error::Error for ReadBodyError {}

/// Reads a request's body.
///
/// # Errors
///
/// [`ReadBodyError`] if it is too long, too slow or cut.
pub async fn read_request_body(
    body: Incoming,
    max_bytes: usize,
    within: Duration,
) -> Result<Bytes, ReadBodyError> {
    let read = async {
        match Limited::new(body, max_bytes).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(ReadBodyError::TooLong),
            Err(_) => Err(ReadBodyError::Broken),
        }
    };
    let expire = async {
        async_io::Timer::after(within).await;
        Err(ReadBodyError::Timeout)
    };
    read.or(expire).await
}

/// An answer with a JSON document.
pub fn json_answer(status: u16, document: &impl Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(document).unwrap_or_default();
    let answer = Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(AnswerBody::whole(body));
    answer.unwrap_or_else(|_| Response::new(AnswerBody::whole(Bytes::new())))
}
