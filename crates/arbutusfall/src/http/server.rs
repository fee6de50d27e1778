//! HTTP server that runs a separate task for each connection.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::relay::SlowRead;
use arbutusfall_core::relay::UnreadLimits;
use arbutusfall_wire::Name;
use async_channel::Receiver;
use async_channel::Sender;
use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;

use crate::Executor;
use crate::http::AnswerBody;
use crate::http::error_replacing_stream::ConnectionState;
use crate::http::error_replacing_stream::ErrorReplacingStream;
use crate::http::header_timer::HeaderTimer;
use crate::http::problem::raw_problem;
use crate::http::unread_limit::UnreadLimitStream;
use crate::http::write_wakeup::WakingStream;

/// Minimum read buffer size that hyper accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// Delay before the next attempt to accept a connection after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of refusals written concurrently.
const MAX_CONCURRENT_REFUSALS: usize = 256;

/// `retry-after` of the refusal when too many connections are open.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Timeout for writing the last bytes of a connection and reading until the peer closes it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes of an answer that the kernel takes beyond those that it may send at once, if unread answers are limited. It would take
/// some megabytes of an answer that is not read, which count towards the memory of the process.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;

/// Id of the request that an answer belongs to, as an extension of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnsweredRequest(pub(crate) Name);

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum size of the header section, in bytes; values below 8 KiB are treated as 8 KiB.
    pub max_header_bytes: usize,
    /// Timeout for the headers of a request to arrive, from the end of the request before it.
    pub header_timeout: Duration,
    /// Maximum number of open connections.
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

/// Handle of a running listener; dropping it stops the listener and shuts its connections down gracefully.
#[derive(Debug)]
pub struct ListenerHandle {
    /// Closes when connections must end.
    stop: Sender<Infallible>,
    /// Closes when the last connection has closed.
    ended: Receiver<Infallible>,
}

impl ListenerHandle {
    /// Stops accepting connections, closes idle ones and lets answers in progress finish. Returns when all connections
    /// are closed, or after `timeout`.
    pub async fn close(self, timeout: Duration) {
        drop(self.stop);
        let ended = async {
            // Nothing is ever sent; this returns when the channel closes.
            let _ = self.ended.recv().await;
        };
        let expire = async {
            async_io::Timer::after(timeout).await;
        };
        ended.or(expire).await;
    }
}

/// Handles the requests of a listener.
pub trait RequestHandler: Send + Sync + 'static {
    /// Returns the limits in force; called for each connection, and for the header timeout of each request, which also
    /// follows limits that change while the connection is open.
    fn limits(&self) -> ServerLimits;

    /// Returns whether to serve a new connection, after a handshake if there is one.
    fn admit(&self, stream: &mut TcpStream) -> impl Future<Output = bool> + Send {
        let _ = stream;
        std::future::ready(true)
    }

    /// Answers a request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Called when a problem was answered without calling [`Self::handle`]: too many open connections, an invalid or
    /// oversized request head, or a head that did not arrive in time.
    fn on_refused(&self, kind: ProblemKind) {
        let _ = kind;
    }

    /// Returns how slowly the peer of a connection may read an answer before the connection is reset; none: as slowly as it likes.
    fn unread_limits(&self) -> Option<UnreadLimits> {
        None
    }

    /// Called when a connection is reset because its peer read the answer to a request too slowly.
    fn on_slow_read(&self, request_id: Option<Name>, slow: SlowRead) {
        let _ = (request_id, slow);
    }
}

/// A [`RequestHandler`] made of two closures.
struct FunctionHandler<L, H> {
    limits: L,
    handler: H,
}

impl<L, H, F> RequestHandler for FunctionHandler<L, H>
where
    L: Fn() -> ServerLimits + Send + Sync + 'static,
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    fn limits(&self) -> ServerLimits {
        (self.limits)()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        (self.handler)(request).await
    }
}

/// Like [`serve`], with two closures instead of a [`RequestHandler`]; `limits` is called for each connection, so that
/// changed limits apply to new connections.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_with_closures<H, F>(
    executor: Arc<Executor>,
    address: SocketAddr,
    limits: impl Fn() -> ServerLimits + Send + Sync + 'static,
    handler: H,
) -> std::io::Result<ListenerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    serve(
        executor,
        address,
        Arc::new(FunctionHandler { limits, handler }),
    )
    .await
}

/// Accepts connections and answers their requests with `handler` until the handle is closed or dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve<H: RequestHandler>(
    executor: Arc<Executor>,
    address: SocketAddr,
    handler: Arc<H>,
) -> std::io::Result<ListenerHandle> {
    let listener = TcpListener::bind(address).await?;
    let (stop, stopped) = async_channel::bounded(1);
    let (alive, ended) = async_channel::bounded(1);
    let acceptor = Acceptor {
        executor: executor.clone(),
        handler,
        stopped,
        alive,
    };
    let accept = acceptor.accept_connections(listener);
    executor.spawn(accept).detach();
    Ok(ListenerHandle { stop, ended })
}

/// State of the accept loop.
struct Acceptor<H> {
    executor: Arc<Executor>,
    handler: Arc<H>,
    /// Closes when connections must end.
    stopped: Receiver<Infallible>,
    /// Cloned into each open connection's task.
    alive: Sender<Infallible>,
}

impl<H: RequestHandler> Acceptor<H> {
    async fn accept_connections(self, listener: TcpListener) {
        let open = Arc::new(AtomicUsize::new(0));
        let refusals = Arc::new(AtomicUsize::new(0));
        while let Some(accepted) = accept_unless_stopped(&listener, &self.stopped).await {
            let Ok(stream) = accepted else {
                // For example out of file descriptors: wait until some are closed.
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let limits = self.handler.limits();
            if let Some(slot) = ConnectionSlot::take(&open, limits.max_connections) {
                self.spawn_connection(stream, limits, slot);
                continue;
            }
            self.handler.on_refused(ProblemKind::Unavailable);
            // If too many refusals are being written already, the connection is closed without an answer, because
            // refusing must stay cheap.
            if let Some(slot) = ConnectionSlot::take(&refusals, MAX_CONCURRENT_REFUSALS) {
                let problem = Problem::retry(ProblemKind::Unavailable, OVERLOAD_RETRY_AFTER);
                let refusal = refuse(stream, problem, slot);
                self.executor.spawn(refusal).detach();
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream, limits: ServerLimits, slot: ConnectionSlot) {
        let handler = self.handler.clone();
        let stopped = self.stopped.clone();
        let alive = self.alive.clone();
        let connection = async move {
            serve_connection(stream, limits, handler, &stopped).await;
            drop(slot);
            drop(alive);
        };
        self.executor.spawn(connection).detach();
    }
}

/// Returns the next connection, or `None` once the listener must stop.
async fn accept_unless_stopped(
    listener: &TcpListener,
    stopped: &Receiver<Infallible>,
) -> Option<std::io::Result<TcpStream>> {
    let accept = async { Some(listener.accept().await.map(|(stream, _)| stream)) };
    let stop = async {
        // Nothing is ever sent; this returns when the channel closes.
        let _ = stopped.recv().await;
        None
    };
    stop.or(accept).await
}

/// One of a limited number of connections; released when dropped.
struct ConnectionSlot(Arc<AtomicUsize>);

impl ConnectionSlot {
    fn take(used: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        if used.fetch_add(1, Ordering::Relaxed) >= limit {
            used.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(Self(used.clone()))
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn refuse(mut stream: TcpStream, problem: Problem, _slot: ConnectionSlot) {
    write_last(&mut stream, &raw_problem(&problem)).await;
}

async fn serve_connection<H: RequestHandler>(
    mut stream: TcpStream,
    limits: ServerLimits,
    handler: Arc<H>,
    stopped: &Receiver<Infallible>,
) {
    // Disables Nagle's algorithm, so that small writes such as tokens are sent without delay; a failure only adds
    // latency.
    let _ = stream.set_nodelay(true);
    if handler.unread_limits().is_some() {
        limit_unsent_bytes(&stream);
    }
    if !handler.admit(&mut stream).await {
        return;
    }
    let state = Arc::new(ConnectionState::default());
    let request_state = state.clone();
    let request_handler = handler.clone();
    let socket = stream.clone();
    let service = service_fn(move |request| {
        request_state.on_request(request.version());
        let (state, socket) = (request_state.clone(), socket.clone());
        let answer = request_handler.clone().handle(request);
        Box::pin(async move {
            let answer = answer.await;
            if let Some(AnsweredRequest(request_id)) = answer.extensions().get() {
                state.record_answered(request_id.clone());
            }
            if state.answer_ends_with_connection() && answer.body().size_hint().exact().is_none() {
                set_reset_on_close(&socket, true);
            }
            Ok::<_, Infallible>(answer)
        })
    });
    let limit_handler = handler.clone();
    let unread_limits = move || limit_handler.unread_limits();
    let stream = UnreadLimitStream::new(stream, unread_limits, state.clone());
    let stream = ErrorReplacingStream::new(stream, state.clone());
    let io = FuturesIo::new(WakingStream::new(stream));
    let mut connection = http1::Builder::new()
        .timer(HeaderTimer::new(handler.clone()))
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(io, service);
    let serve = async { Some(future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await) };
    let stop = async {
        // Nothing is ever sent; this returns when the channel closes.
        let _ = stopped.recv().await;
        None
    };
    let ended = match serve.or(stop).await {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await
        }
    };
    let stream = connection.into_parts().io.into_inner();
    let mut stream = stream.into_inner().into_inner().into_inner();
    if let Some((slow, request_id)) = state.slow_read() {
        handler.on_slow_read(request_id, slow);
        // The rest that the kernel holds is dropped.
        set_reset_on_close(&stream, true);
        return;
    }
    let is_aborted = matches!(&ended, Err(error) if error.is_user());
    if state.answer_ends_with_connection() {
        set_reset_on_close(&stream, is_aborted);
    }
    if is_aborted && state.answer_ends_with_connection() {
        return;
    }
    let last = match &ended {
        // A request head did not arrive in time.
        Err(error) if error.is_timeout() && state.received_part_of_request() => {
            handler.on_refused(ProblemKind::ReceiveTimeout);
            raw_problem(&Problem::new(ProblemKind::ReceiveTimeout))
        }
        // An idle connection, with no part of a request received, is closed without an answer.
        _ => Vec::new(),
    };
    if let Some(kind) = state.replacement_kind() {
        handler.on_refused(kind);
    }
    write_last(&mut stream, &last).await;
}

fn limit_unsent_bytes(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!("the kernel may hold more of an unread answer than it should: {error}");
    }
}

/// Sets whether a connection is reset when it is closed, also by the end of the process: an answer whose end is the
/// connection's end looks complete otherwise.
fn set_reset_on_close(stream: &TcpStream, is_reset: bool) {
    let linger = is_reset.then_some(Duration::ZERO);
    if let Err(error) = SockRef::from(stream).set_linger(linger) {
        log::warn!("an answer that ends with its connection has the wrong end: {error}");
    }
}

/// Writes the last bytes of a connection and discards incoming bytes, because closing a connection with unread bytes
/// would lose the answer.
async fn write_last(stream: &mut TcpStream, bytes: &[u8]) {
    let write = async {
        stream.write_all(bytes).await?;
        stream.close().await?;
        let mut rest = [0; 4 * 1024];
        while stream.read(&mut rest).await? > 0 {}
        Ok(())
    };
    let expire = async {
        async_io::Timer::after(LINGER_TIMEOUT).await;
        Ok::<(), std::io::Error>(())
    };
    // A failure means that the peer has disconnected.
    let _ = write.or(expire).await;
}

/// Returns an answer with a JSON document.
pub fn json_answer(status: u16, document: &impl Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(document).unwrap_or_default();
    let answer = Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(AnswerBody::whole(body));
    answer.unwrap_or_else(|_| Response::new(AnswerBody::whole(Bytes::new())))
}
