//! HTTP interface of the relay for callers.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::relay::Hop;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::SlowRead;
use arbutusfall_core::relay::UnreadLimits;
use arbutusfall_platform::callers;
use arbutusfall_platform::endpoints::ForwardedRequest;
use arbutusfall_platform::forwarding;
use arbutusfall_platform::request_key::request_keys;
use arbutusfall_wire::Name;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crate::http::AnswerBody;
use crate::http::AnsweredRequest;
use crate::http::HeldRequest;
use crate::http::ReadBodyError;
use crate::http::RequestHandler;
use crate::http::ServerLimits;
use crate::http::problem_answer;
use crate::http::read_counted_body;
use crate::relay::driver::Driver;
use crate::relay::handle::RelayHandle;
use crate::relay::open_calls::Reply;

/// Maximum number of open caller connections; the remaining file descriptors are for endpoints, the store and
/// operators.
const MAX_CALLER_CONNECTIONS: usize = 2_000;

/// Answers callers' requests through the relay.
pub(super) struct RelayCallerServer {
    pub(super) driver: Arc<Driver>,
}

/// Reports to the relay that the caller disconnected if dropped before the answer is complete.
struct CallGuard {
    driver: Arc<Driver>,
    call: CallId,
    /// Memory of the request's body, which may be sent again until the answer is complete.
    _held: HeldRequest,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.driver.io().calls.remove(self.call) {
            let call = self.call;
            self.driver.submit(RelayEvent::CallerGone { call });
        }
    }
}

impl RequestHandler for RelayCallerServer {
    fn limits(&self) -> ServerLimits {
        let limits = self.driver.limits();
        ServerLimits {
            max_header_bytes: limits.max_header_bytes,
            // One timer covers both the idle time after a request and the arrival of the next request's headers.
            header_timeout: limits.idle_timeout + limits.receive_timeout,
            max_connections: MAX_CALLER_CONNECTIONS,
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let mut answer = answer(&self.driver, request, Arrival::default()).await;
        forwarding::remove_marks(answer.headers_mut());
        if !self.driver.is_ready() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }

    fn unread_limits(&self) -> Option<UnreadLimits> {
        self.driver.io().body_memory.budget().unread_limits()
    }

    fn on_slow_read(&self, request_id: Option<Name>, slow: SlowRead) {
        record_slow_read(&self.driver, request_id, slow);
    }
}

/// Records that a connection was reset because its peer read an answer too slowly.
pub(super) fn record_slow_read(driver: &Arc<Driver>, request_id: Option<Name>, slow: SlowRead) {
    // Without an id, it was an answer by the relay itself.
    let request_id = request_id.unwrap_or_else(|| "".into());
    let notice = match slow {
        SlowRead::Nothing { duration } => RelayNotice::AnswerUnread {
            request_id,
            unread_ms: duration.as_millis() as u64,
        },
        SlowRead::Little { duration, bytes } => RelayNotice::AnswerReadSlowly {
            request_id,
            measured_ms: duration.as_millis() as u64,
            read_bytes: bytes as u64,
        },
    };
    driver.io().record_notice(&notice);
}

/// How a request came to this VM.
#[derive(Debug, Default)]
pub(super) struct Arrival {
    /// What another VM says that has forwarded it; none if it comes from a caller.
    pub(super) hop: Option<Hop>,
    /// Time since it arrived there.
    pub(super) elapsed: Duration,
}

/// Answers a request through the relay.
pub(super) async fn answer(
    driver: &Arc<Driver>,
    request: Request<Incoming>,
    arrival: Arrival,
) -> Response<AnswerBody> {
    match try_answer(driver, request, arrival).await {
        Ok(answer) => answer,
        Err(problem) => problem_response(&problem),
    }
}

async fn try_answer(
    driver: &Arc<Driver>,
    request: Request<Incoming>,
    arrival: Arrival,
) -> Result<Response<AnswerBody>, Problem> {
    let limits = driver.limits();
    let io = driver.io();
    let arrived_at = io.now();
    let (parts, body) = request.into_parts();
    let timeout = limits.receive_timeout.max(Duration::from_secs(1));
    let body = read_counted_body(body, limits.max_body_bytes, timeout, &io.body_memory);
    let body = body.await.map_err(ReadBodyError::problem)?;
    let call = io.calls.next_id();
    let receive_time = arrival.elapsed + io.now().saturating_sub(arrived_at);
    let keys = request_keys(driver.hash_key(), &parts, &body.bytes);
    let relay_request = callers::relay_request(call, &parts, keys, receive_time, arrival.hop);
    let request_id = relay_request.request_id.clone();
    let forwarded = ForwardedRequest::new(parts.method, &parts.uri, parts.headers, body.bytes);
    let replies = io.calls.open(call, forwarded);
    let guard = CallGuard {
        driver: driver.clone(),
        call,
        _held: body.held,
    };
    driver.submit(RelayEvent::RequestReceived(Box::new(relay_request)));
    match replies.recv().await {
        Ok(Reply::Endpoint(head, body)) => {
            let mut answer = Response::new(body.with_guard(guard));
            *answer.status_mut() = head.status;
            *answer.headers_mut() = head.headers;
            answer.extensions_mut().insert(AnsweredRequest(request_id));
            Ok(answer)
        }
        Ok(Reply::Problem(problem)) => Err(problem),
        Ok(Reply::Declined) => {
            let mut answer = problem_answer(&Problem::new(ProblemKind::Unavailable));
            forwarding::mark_declined(answer.headers_mut());
            Ok(answer)
        }
        // A call that ended without a reply is not expected either.
        Ok(Reply::Missing) | Err(_) => {
            io.record_notice(&RelayNotice::AnswerMissing { request_id });
            Err(Problem::new(ProblemKind::UpstreamFailed))
        }
    }
}

/// Like [`problem_answer`], but with `retry-after` in fractional seconds, which the platform's callers accept.
pub(super) fn problem_response(problem: &Problem) -> Response<AnswerBody> {
    let mut answer = problem_answer(problem);
    let retry_after = callers::retry_after(problem);
    if let Some(value) = retry_after.and_then(|text| HeaderValue::from_str(&text).ok()) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}
