//! An exchange with an endpoint, over a separate connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::relay::BodyFraming;
use arbutusfall_core::relay::EndProof;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
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
use http_body_util::BodyExt;
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
use crate::http::EventSplitter;
use crate::http::OutgoingRequest;
use crate::http::PartialEvent;
use crate::http::PausedRead;
use crate::relay::handed_body::hand_over;
use crate::relay::handle::RelayHandle;
use crate::relay::open_calls::AnswerHead;
use crate::relay::peer_client;
use crate::relay::run_check;
use crate::relay::run_check::SendError;
use crate::relay::send_permission::may_send;

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of an engine's answer to a reservation or a prefill, in bytes.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Interval at which a stream that waits for its caller is reported as held back.
const HELD_BACK_INTERVAL: Duration = Duration::from_millis(200);

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
        AnswerKind::Whole => read_whole(relay, command, answer).await,
        AnswerKind::Stream => forward_stream(relay, command, &request, answer).await,
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

fn exchange_failure(error: ClientError) -> ExchangeFailure {
    match error {
        ClientError::Connect | ClientError::Refused => ExchangeFailure::Unreachable,
        ClientError::Unsent => ExchangeFailure::ClosedUnsent,
        ClientError::Malformed => ExchangeFailure::Malformed,
        ClientError::TooLong => ExchangeFailure::TooLong,
        ClientError::Broken | ClientError::Timeout | ClientError::Status(_) => {
            ExchangeFailure::Closed
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

fn split_head(command: &SendCommand, answer: Response<Incoming>) -> (AnswerHead, Incoming) {
    let (parts, body) = answer.into_parts();
    let is_leaving = endpoints::says_leaving(&parts.headers);
    let mut headers = endpoints::forwarded_answer_headers(parts.headers);
    if !matches!(command.work, Work::Forward(_)) {
        forwarding::mark_version(&mut headers, &command.version);
        if is_leaving {
            forwarding::mark_leaving(&mut headers, &command.instance);
        }
    }
    let head = AnswerHead {
        status: parts.status,
        headers,
    };
    (head, body)
}

async fn read_whole(
    relay: &impl RelayHandle,
    command: &SendCommand,
    answer: Response<Incoming>,
) -> Result<ExchangeEvent, ExchangeFailure> {
    let framing = http::body_framing(&answer);
    let (head, body) = split_head(command, answer);
    let status = head.status.as_u16();
    let body = http::read_body(body, command.time_left, &relay.io().body_memory)
        .await
        .map_err(exchange_failure)?;
    wait_for_proof_of_end(relay, command, framing).await?;
    relay.io().exchanges.store_head(command.exchange, head);
    relay.io().exchanges.store_body(command.exchange, body);
    Ok(ExchangeEvent::Complete { status })
}

/// Waits until it is known that an answer that has ended with its connection is complete: a process that ends closes its connections too,
/// and the next one may accept connections at once. If it isn't complete, the relay closes the exchange, which ends this task.
async fn wait_for_proof_of_end(
    relay: &impl RelayHandle,
    command: &SendCommand,
    framing: BodyFraming,
) -> Result<(), ExchangeFailure> {
    if framing != BodyFraming::ConnectionEnd {
        return Ok(());
    }
    let proof = relay.io().exchanges.expect_proof(command.exchange);
    relay.submit_exchange_event(command.exchange, ExchangeEvent::EndedWithConnection);
    match proof.recv().await {
        Ok(EndProof::Process) => Ok(()),
        Ok(EndProof::Connection) => {
            relay.submit_exchange_event(command.exchange, ExchangeEvent::EndUnmarked);
            Ok(())
        }
        Err(_) => Err(ExchangeFailure::Closed),
    }
}

/// Forwards a stream one or more whole events at a time, so that it can be resumed on another engine between any two
/// events.
async fn forward_stream(
    relay: &impl RelayHandle,
    command: &SendCommand,
    request: &ForwardedRequest,
    answer: Response<Incoming>,
) -> Result<ExchangeEvent, ExchangeFailure> {
    let framing = http::body_framing(&answer);
    let (head, body) = split_head(command, answer);
    let status = head.status.as_u16();
    relay.io().exchanges.store_head(command.exchange, head);
    relay.submit_exchange_event(command.exchange, ExchangeEvent::StreamBegan);
    let mut stream = EventStream {
        body,
        splitter: EventSplitter::default(),
        held: PartialEvent::begin(&relay.io().body_memory),
        after_event_id: command.after_event_id.or_else(|| request.position()),
        has_events: false,
        first_event_id: None,
        last_event_id: None,
    };
    let forwarded = stream.forward(relay, command).await;
    relay.io().record_notice(&RelayNotice::StreamEnded {
        request_id: request.request_id_text(),
        instance: command.instance.clone(),
        framing,
        reached_end: forwarded.is_ok(),
        first_event_id: stream.first_event_id,
        last_event_id: stream.last_event_id,
        partial_event_bytes: stream.splitter.partial_event_bytes(),
    });
    forwarded?;
    if stream.is_truncated(framing) {
        return Err(ExchangeFailure::Truncated);
    }
    wait_for_proof_of_end(relay, command, framing).await?;
    let rest = stream.splitter.finish();
    if !rest.is_empty() {
        write_to_caller(relay, command, &mut stream.held, rest).await;
    }
    Ok(ExchangeEvent::Complete { status })
}

/// Waits until the caller has read so much of what is queued for it that more may be read from the endpoint.
async fn wait_for_memory(relay: &impl RelayHandle, command: &SendCommand, held: &PartialEvent) {
    let Some(writer) = relay.io().calls.writer(command.call) else {
        return;
    };
    let began_at = Instant::now();
    let mut paused = None;
    while !writer
        .wait_for_memory(held, began_at, HELD_BACK_INTERVAL)
        .await
    {
        paused.get_or_insert_with(|| PausedRead::of_stream(&relay.io().body_memory));
        relay.submit_exchange_event(command.exchange, ExchangeEvent::HeldBack);
    }
}

/// Writes a piece of a stream once its exchange is not held and its caller has received enough of what is queued.
async fn write_to_caller(
    relay: &impl RelayHandle,
    command: &SendCommand,
    held: &mut PartialEvent,
    piece: Bytes,
) {
    let Some(writer) = relay.io().calls.writer(command.call) else {
        held.discard(piece.len());
        return;
    };
    loop {
        relay.io().exchanges.wait_while_held(command.exchange).await;
        let has_room = writer.wait_for_room(HELD_BACK_INTERVAL).await;
        if relay.io().exchanges.is_held(command.exchange) {
            continue;
        }
        if has_room {
            break;
        }
        relay.submit_exchange_event(command.exchange, ExchangeEvent::HeldBack);
    }
    // Fails only if the caller disconnected, which is reported separately.
    let _ = writer.write_piece(held, piece);
}

/// An endpoint's stream of events while it is forwarded.
struct EventStream {
    body: Incoming,
    splitter: EventSplitter,
    /// Memory of what was read and is not passed on to the caller yet.
    held: PartialEvent,
    /// Id of the last event that the caller has; ids of a stream increase.
    after_event_id: Option<u64>,
    has_events: bool,
    first_event_id: Option<u64>,
    last_event_id: Option<u64>,
}

impl EventStream {
    /// Forwards whole events until the body ends.
    async fn forward(
        &mut self,
        relay: &impl RelayHandle,
        command: &SendCommand,
    ) -> Result<(), ExchangeFailure> {
        loop {
            wait_for_memory(relay, command, &self.held).await;
            let Some(frame) = self.body.frame().await else {
                return Ok(());
            };
            let frame = frame.map_err(|_| ExchangeFailure::Closed)?;
            let Ok(bytes) = frame.into_data() else {
                // Trailers are not forwarded: they carry nothing that callers need.
                continue;
            };
            if !self.held.try_add(bytes.len()) {
                return Err(ExchangeFailure::TooLong);
            }
            let events = self.splitter.push(&bytes);
            let events = events.map_err(|_| ExchangeFailure::TooLong)?;
            let Some(events) = events else {
                continue;
            };
            if self.begins_anew(events.first_id) {
                return Err(ExchangeFailure::BeganAnew);
            }
            self.has_events = true;
            self.first_event_id = self.first_event_id.or(events.first_id);
            write_to_caller(relay, command, &mut self.held, events.bytes).await;
            let last_event_id = events.last_id;
            self.last_event_id = last_event_id.or(self.last_event_id);
            relay
                .submit_exchange_event(command.exchange, ExchangeEvent::Progress { last_event_id });
        }
    }

    /// Returns whether the caller has the event with this id already.
    fn begins_anew(&self, id: Option<u64>) -> bool {
        let after = self.after_event_id;
        id.is_some_and(|id| after.is_some_and(|after| id <= after))
    }

    /// Returns whether a stream whose end was reached was broken off. The end of a connection says nothing about the end
    /// of the stream, and even a stream with its length or its final chunk is broken off if it ends inside an event.
    fn is_truncated(&self, framing: BodyFraming) -> bool {
        let is_empty = !self.has_events && framing == BodyFraming::ConnectionEnd;
        is_empty || self.splitter.is_inside_event()
    }
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
