//! An exchange with an endpoint, over a separate connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;
use arbutusfall_platform::endpoints;
use arbutusfall_platform::endpoints::AnswerKind;
use arbutusfall_platform::endpoints::ForwardedRequest;
use arbutusfall_platform::endpoints::StatedLimit;
use arbutusfall_platform::endpoints::StatedRest;
use arbutusfall_platform::forwarding;
use arbutusfall_wire::Name;
use async_net::TcpStream;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::Executor;
use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::relay::answer_parts::exchange_failure;
use crate::relay::event_stream;
use crate::relay::handed_body::hand_over;
use crate::relay::handle::RelayHandle;
use crate::relay::peer_client;
use crate::relay::run_check;
use crate::relay::run_check::SendError;
use crate::relay::send_permission::may_send;
use crate::relay::whole_answer;

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of an engine's answer to a reservation or a prefill, in bytes.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Timeout for an engine to confirm that it freed memory.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs an exchange and reports its progress and end to the relay.
pub(super) async fn run(relay: impl RelayHandle, command: SendCommand) {
    let exchange = command.exchange;
    let call = command.call;
    let event = match perform_exchange(&relay, &command).await {
        Ok(event) => event,
        Err(failure) => ExchangeEvent::Failed { failure },
    };
    if matches!(event, ExchangeEvent::Complete { .. }) {
        relay.io().exchanges.wait_while_held(exchange).await;
    }
    log::debug!("call {} exchange {} ended: {event:?}", call.0, exchange.0);
    relay.submit_exchange_event(exchange, event);
    relay.io().exchanges.remove(exchange);
}

async fn perform_exchange(
    relay: &impl RelayHandle,
    command: &SendCommand,
) -> Result<ExchangeEvent, ExchangeFailure> {
    let request = relay.io().calls.request(command.call);
    // If the call has already ended, nothing is sent, which `Unreachable` reports.
    let request = request.ok_or(ExchangeFailure::Unreachable)?;
    let outgoing = OutgoingRequest {
        address: command.address,
        request: request.to_endpoint(command).map(Full::new),
        connect_timeout: CONNECT_TIMEOUT.min(command.time_left),
        answer_timeout: command.time_left,
    };
    let body_bytes = outgoing.request.body().size_hint().exact();
    let handed = hand_over(relay, command, body_bytes.unwrap_or(0)).await?;
    let answer = match (&command.work, command.required_start_unix_ms) {
        (Work::Forward(_), _) => {
            let key = relay.shared_key();
            let opened = peer_client::open(outgoing.address, outgoing.connect_timeout, key).await;
            send_if_permitted(relay, command, opened, outgoing).await?
        }
        (_, Some(required_unix_ms)) => {
            let sent = run_check::send(relay, command, required_unix_ms, outgoing).await;
            sent.map_err(|error| match error {
                SendError::OtherProcess => ExchangeFailure::OtherProcess,
                SendError::ProcessUnknown => ExchangeFailure::ProcessUnknown,
                SendError::Withdrawn => ExchangeFailure::Withdrawn,
                SendError::Failed(error) => exchange_failure(error),
            })?
        }
        (_, None) => {
            let opened = http::open(outgoing.address, outgoing.connect_timeout).await;
            send_if_permitted(relay, command, opened, outgoing).await?
        }
    };
    // The endpoint has read the request, or does not need the rest of it.
    drop(handed);
    relay.io().exchanges.wait_while_held(command.exchange).await;
    let kind = endpoints::classify_answer(&request, command, answer.status(), answer.headers());
    if kind == AnswerKind::NotFinal {
        let (instance, status) = (&command.instance, answer.status());
        log::info!("the answer of {instance} has the status {status}, which is not final");
        return Err(ExchangeFailure::Malformed);
    }
    let is_from_endpoint = is_from_endpoint(&request, command, kind, answer.headers());
    if is_from_endpoint && kind != AnswerKind::Malformed {
        report_limit(relay, command, kind, answer.headers());
    }
    report_leaving(relay, command, is_from_endpoint, answer.headers());
    if let Work::Forward(_) = command.work
        && let Some(version) = forwarding::stated_version(answer.headers())
    {
        let event = ExchangeEvent::VersionStated { version };
        relay.submit_exchange_event(command.exchange, event);
    }
    if is_from_endpoint {
        report_rest(relay, command, answer.status(), answer.headers());
    }
    match kind {
        AnswerKind::NotRun(reason) => Ok(ExchangeEvent::NotRun { reason }),
        AnswerKind::Malformed | AnswerKind::NotFinal => Err(ExchangeFailure::Malformed),
        AnswerKind::Reserved => {
            let reservation = read_id(
                relay,
                answer,
                command.time_left,
                endpoints::parse_reservation,
            )
            .await?;
            Ok(ExchangeEvent::Reserved { reservation })
        }
        AnswerKind::Prefilled => {
            let handle =
                read_id(relay, answer, command.time_left, endpoints::parse_kv_handle).await?;
            Ok(ExchangeEvent::PrefillDone { handle })
        }
        AnswerKind::Whole => whole_answer::read(relay, command, answer).await,
        AnswerKind::Stream => event_stream::forward(relay, command, &request, answer).await,
    }
}

/// Sends a request on a connection that was opened for it, if it may still be sent.
async fn send_if_permitted(
    relay: &impl RelayHandle,
    command: &SendCommand,
    opened: Result<TcpStream, ClientError>,
    outgoing: OutgoingRequest,
) -> Result<Response<Incoming>, ExchangeFailure> {
    let stream = opened.map_err(exchange_failure)?;
    if !may_send(relay, command.exchange).await {
        return Err(ExchangeFailure::Withdrawn);
    }
    let io = relay.io();
    let sent = http::send_within_memory(&io.executor, stream, &io.body_memory, outgoing).await;
    sent.map_err(exchange_failure)
}

/// Returns whether an answer comes from the endpoint itself, so that it counts what its head says of the endpoint.
fn is_from_endpoint(
    request: &ForwardedRequest,
    command: &SendCommand,
    kind: AnswerKind,
    headers: &HeaderMap,
) -> bool {
    let is_forwarded = matches!(command.work, Work::Forward(_));
    let is_misdirected = kind == AnswerKind::NotRun(NotRunReason::Misdirected);
    // The VM's own requests have no id.
    let is_reservation = matches!(command.work, Work::Reserve { .. });
    let is_of_other = !is_reservation && endpoints::is_of_other_request(request, headers);
    !is_forwarded && !is_misdirected && !is_of_other
}

/// Reports to the relay the limit that an answer names, or that it names none although the endpoint had one.
fn report_limit(
    relay: &impl RelayHandle,
    command: &SendCommand,
    kind: AnswerKind,
    headers: &HeaderMap,
) {
    // A refusal may come from a part of the endpoint that does not know of the limit.
    let lifts = command.is_limited && !matches!(kind, AnswerKind::NotRun(_));
    let event = match endpoints::stated_limit(headers) {
        StatedLimit::PerSecond(per_s) => ExchangeEvent::LimitNamed { per_s },
        StatedLimit::Absent if lifts => ExchangeEvent::LimitAbsent,
        StatedLimit::Absent => return,
        StatedLimit::Malformed => {
            log::info!("endpoint {} names a malformed limit", command.instance);
            return;
        }
    };
    relay.submit_exchange_event(command.exchange, event);
}

/// Reports to the relay an endpoint that says in its answer that it is leaving.
fn report_leaving(
    relay: &impl RelayHandle,
    command: &SendCommand,
    is_from_endpoint: bool,
    headers: &HeaderMap,
) {
    if is_from_endpoint && endpoints::says_leaving(headers) {
        relay.submit_exchange_event(command.exchange, ExchangeEvent::Leaving);
    }
    if let Work::Forward(_) = command.work
        && let Some(instance) = forwarding::leaving_instance(headers)
    {
        relay.submit(RelayEvent::EndpointLeaves { instance });
    }
}

/// Reports to the relay the rest that an answer asks for.
fn report_rest(
    relay: &impl RelayHandle,
    command: &SendCommand,
    status: StatusCode,
    headers: &HeaderMap,
) {
    match endpoints::stated_rest(status, headers) {
        StatedRest::Absent => {}
        StatedRest::For(rest) => {
            relay.submit_exchange_event(command.exchange, ExchangeEvent::RestAsked { rest });
        }
        StatedRest::Malformed => {
            log::info!("endpoint {} asks for a malformed rest", command.instance);
        }
    }
}

/// Reads the id that an engine assigned to a reservation or a KV cache.
async fn read_id(
    relay: &impl RelayHandle,
    answer: Response<Incoming>,
    timeout: Duration,
    parse: impl Fn(&[u8]) -> Option<Name>,
) -> Result<Name, ExchangeFailure> {
    let (body, memory) = (answer.into_body(), &relay.io().body_memory);
    let body = http::read_endpoint_control_body(body, timeout, MAX_CONTROL_BYTES, memory).await;
    let body = body.map_err(exchange_failure)?;
    parse(&body).ok_or(ExchangeFailure::Malformed)
}

/// Sends a request to free engine memory; if it fails, the engine frees the memory when the reservation or
/// KV cache expires.
pub(super) async fn send_free_request(
    executor: Arc<Executor>,
    address: SocketAddr,
    request: Request<Bytes>,
) {
    let outgoing = OutgoingRequest {
        address,
        request: request.map(Full::new),
        connect_timeout: CONNECT_TIMEOUT,
        answer_timeout: FREE_TIMEOUT,
    };
    if let Err(error) = http::send(&executor, outgoing).await {
        log::info!("the request to free memory at engine {address} failed: {error}");
    }
}
