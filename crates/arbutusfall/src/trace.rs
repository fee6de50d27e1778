//! Spans of requests, linked across processes by W3C trace contexts.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_channel::Sender;

/// Largest number of finished spans queued for sending; further spans are discarded.
const MAX_QUEUED_SPANS: usize = 16_000;

/// Queue of finished spans; before [`install_sink`] is called, spans are discarded.
static SINK: OnceLock<Sender<SpanRecord>> = OnceLock::new();

/// Trace id and span id of a span; the span id is 0 for a new trace that has no span yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SpanContext {
    trace_id: u128,
    span_id: u64,
}

impl SpanContext {
    /// Creates the context of a new trace.
    pub(crate) fn new_trace() -> Self {
        Self {
            trace_id: fastrand::u128(1..),
            span_id: 0,
        }
    }

    /// Parses the value of a `traceparent` header; returns `None` if it is invalid.
    pub(crate) fn decode_w3c_traceparent(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let version = parts.next()?;
        let trace_id = parts.next()?;
        let span_id = parts.next()?;
        let flags = parts.next()?;
        if version != "00" || trace_id.len() != 32 || span_id.len() != 16 || flags.len() != 2 {
            return None;
        }
        let context = Self {
            trace_id: u128::from_str_radix(trace_id, 16).ok()?,
            span_id: u64::from_str_radix(span_id, 16).ok()?,
        };
        (context.trace_id != 0 && context.span_id != 0).then_some(context)
    }

    /// Formats the value of a `traceparent` header.
    pub(crate) fn encode_w3c_traceparent(&self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }

    /// Returns the context of a span, or `None` if the span is not recorded.
    pub(crate) fn from_span(span: &Span) -> Option<Self> {
        span.open.as_ref().map(|open| open.context)
    }
}

/// Timed part of a request's processing; it ends and is recorded when the value is dropped.
#[derive(Debug)]
pub(crate) struct Span {
    open: Option<OpenSpan>,
}

#[derive(Debug)]
struct OpenSpan {
    name: &'static str,
    context: SpanContext,
    parent_id: u64,
    started_unix: Duration,
    started: Instant,
    properties: Vec<(&'static str, String)>,
}

/// A finished span.
#[derive(Debug, Clone)]
pub(crate) struct SpanRecord {
    pub(crate) trace_id: u128,
    pub(crate) span_id: u64,
    pub(crate) parent_id: u64,
    pub(crate) name: &'static str,
    pub(crate) started_unix: Duration,
    pub(crate) duration: Duration,
    pub(crate) properties: Vec<(&'static str, String)>,
}

impl Span {
    /// Starts a span as a child of `parent`.
    pub(crate) fn start_child(name: &'static str, parent: SpanContext) -> Self {
        let context = SpanContext {
            trace_id: parent.trace_id,
            span_id: fastrand::u64(1..),
        };
        // With a wall clock before the Unix epoch, the start time is 0, which affects nothing but the span.
        let started_unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            open: Some(OpenSpan {
                name,
                context,
                parent_id: parent.span_id,
                started_unix: started_unix.unwrap_or_default(),
                started: Instant::now(),
                properties: Vec::new(),
            }),
        }
    }

    /// Creates a span that is not recorded.
    pub(crate) fn noop() -> Self {
        Self { open: None }
    }

    /// Adds a property, sent as a Zipkin tag.
    pub(crate) fn with_property(mut self, name: &'static str, value: String) -> Self {
        if let Some(open) = &mut self.open {
            open.properties.push((name, value));
        }
        self
    }

    /// Drops the span without recording it.
    pub(crate) fn discard(mut self) {
        self.open = None;
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let (Some(open), Some(sink)) = (self.open.take(), SINK.get()) else {
            return;
        };
        // If the queue is full, the span is discarded, because a slow collector must not affect requests.
        let _ = sink.try_send(SpanRecord {
            trace_id: open.context.trace_id,
            span_id: open.context.span_id,
            parent_id: open.parent_id,
            name: open.name,
            started_unix: open.started_unix,
            duration: open.started.elapsed(),
            properties: open.properties,
        });
    }
}

/// Installs the queue of finished spans and returns its receiver, or `None` if one is installed already.
pub(crate) fn install_sink() -> Option<Receiver<SpanRecord>> {
    let (sender, receiver) = async_channel::bounded(MAX_QUEUED_SPANS);
    SINK.set(sender).ok()?;
    Some(receiver)
}
