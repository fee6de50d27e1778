//! Streams of events of endpoints while they are forwarded.

use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::relay::BodyFraming;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_platform::endpoints::ForwardedRequest;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::http;
use crate::http::EventSplitter;
use crate::http::PartialEvent;
use crate::http::PausedRead;
use crate::relay::answer_parts::split_head;
use crate::relay::answer_parts::wait_for_proof_of_end;
use crate::relay::handle::RelayHandle;

/// Interval at which a stream that waits for its caller is reported as held back.
const HELD_BACK_INTERVAL: Duration = Duration::from_millis(200);

/// Forwards a stream one or more whole events at a time, so that it can be resumed on another engine between any two
/// events.
pub(super) async fn forward(
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
