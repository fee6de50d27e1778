//! Spans of requests, joined over processes by W3C trace contexts.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_channel::Sender;

/// Spans that may wait to be sent; more are dropped.
const MAX_WAITING_SPANS: usize = 16_000;

/// Where finished spans go; none are kept before [`collect`] was called.
static SINK: OnceLock<Sender<SpanRecord>> = OnceLock::new();

/// Position of a span in its trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SpanContext {
    trace_id: u128,
    span_id: u64,
}

impl SpanContext {
    /// The context of a trace of its own.
    pub(crate) fn random() -> Self {
        Self {
            trace_id: fastrand::u128(1..),
            span_id: 0,
        }
    }

    /// Reads a `traceparent` header.
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

    /// Value of a `traceparent` header.
    pub(crate) fn encode_w3c_traceparent(&self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace_id, self.span_id)
    }

    /// The context below a span; none if the span is not recorded.
    pub(crate) fn from_span(span: &Span) -> Option<Self> {
        span.open.as_ref().map(|open| open.context)
    }
}

/// Part of a request's way, recorded when it is dropped.
#[derive(Debug)]
pub(crate) struct Span {
    open: Option<OpenSpan>,
}

#[derive(Debug)]
struct OpenSpan {
    name: &'static str,
    context: SpanContext,
    parent_id: u64,
    began_unix: Duration,
    began: Instant,
    properties: Vec<(&'static str, String)>,
}

/// A finished span.
#[derive(Debug, Clone)]
pub(crate) struct SpanRecord {
    pub(crate) trace_id: u128,
    pub(crate) span_id: u64,
    pub(crate) parent_id: u64,
    pub(crate) name: &'static str,
    pub(crate) began_unix: Duration,
    pub(crate) took: Duration,
    pub(crate) properties: Vec<(&'static str, String)>,
}

impl Span {
    /// A span that begins now below another.
    pub(crate) fn root(name: &'static str, parent: SpanContext) -> Self {
        let context = SpanContext {
            trace_id: parent.trace_id,
            span_id: fastrand::u64(1..),
        };
        // A clock before the epoch gives spans without a place in time, which harms nothing else.
        let began_unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            open: Some(OpenSpan {
                name,
                context,
                parent_id: parent.span_id,
                began_unix: began_unix.unwrap_or_default(),
                began: Instant::now(),
                properties: Vec::new(),
            }),
        }
    }

    /// A span that is not recorded.
    pub(crate) fn noop() -> Self {
        Self { open: None }
    }

    /// Adds a property.
    pub(crate) fn with_property(mut self, name: &'static str, value: String) -> Self {
        if let Some(open) = &mut self.open {
            open.properties.push((name, value));
        }
        self
    }

    /// Drops the span without a record.
    pub(crate) fn cancel(mut self) {
        self.open = None;
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let (Some(open), Some(sink)) = (self.open.take(), SINK.get()) else {
            return;
        };
        // Spans are lost when the collector is slow; that must not harm requests.
        let _ = sink.try_send(SpanRecord {
            trace_id: open.context.trace_id,
            span_id: open.context.span_id,
            parent_id: open.parent_id,
            name: open.name,
            began_unix: open.began_unix,
            took: open.began.elapsed(),
            properties: open.properties,
        });
    }
}

/// Begins to keep finished spans; none if they are kept already.
pub(crate) fn collect() -> Option<Receiver<SpanRecord>> {
    let (sender, receiver) = async_channel::bounded(MAX_WAITING_SPANS);
    SINK.set(sender).ok()?;
    Some(receiver)
}
