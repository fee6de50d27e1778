//! Table of callers' open calls: the request of each, and the channel for its answer.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_core::ServiceAnswer;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use async_channel::Receiver;
use async_channel::Sender;
use hyper::HeaderMap;
use hyper::Method;
use hyper::body::Bytes;

use crate::lock::lock;
use crate::trace::Span;

/// A caller's request, in the form from which requests to endpoints are built.
#[derive(Debug, Clone)]
pub(crate) enum CallRequest {
    /// A completion.
    Completion {
        model: Name,
        prompt: Name,
        /// Value of the `traceparent` header for the endpoint.
        traceparent: Option<Name>,
    },
    /// A call to a plain service.
    Service {
        method: Method,
        /// Path and query.
        target: Name,
        /// Headers to forward.
        headers: HeaderMap,
        body: Bytes,
        /// Value of the `traceparent` header for the endpoint.
        traceparent: Option<Name>,
    },
}

/// Part of an answer.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// The complete answer of a service.
    Answer(ServiceAnswer),
    /// Texts of the next tokens of a stream.
    Tokens(Vec<Name>),
    /// The stream is complete.
    Finished {
        /// Number of tokens delivered in total.
        generated_tokens: u32,
    },
    /// The call failed.
    Problem(Problem),
}

#[derive(Debug)]
struct OpenCall {
    request: CallRequest,
    /// Text delivered so far; appended to the prompt if another attempt continues the stream.
    delivered_text: String,
    replies: Sender<AnswerPart>,
    /// Span of the call's claim; present until the first attempt takes it from here.
    claim_span: Option<Span>,
}

/// All open calls of a process.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    calls: Mutex<FastMap<CallId, OpenCall>>,
    sequence: AtomicU64,
}

impl CallTable {
    fn lock(&self) -> MutexGuard<'_, FastMap<CallId, OpenCall>> {
        lock(&self.calls)
    }

    /// Adds a call, and returns its id and the receiver of its answer.
    pub(crate) fn open(&self, request: CallRequest) -> (CallId, Receiver<AnswerPart>) {
        let call = CallId(self.sequence.fetch_add(1, Ordering::Relaxed) + 1);
        let (replies, receiver) = async_channel::unbounded();
        self.lock().insert(
            call,
            OpenCall {
                request,
                delivered_text: String::new(),
                replies,
                claim_span: None,
            },
        );
        (call, receiver)
    }

    /// Stores the span of a call's claim; the first attempt removes it with [`Self::take_claim_span`].
    pub(crate) fn set_claim_span(&self, call: CallId, span: Span) {
        if let Some(open) = self.lock().get_mut(&call) {
            open.claim_span = Some(span);
        }
    }

    /// Removes and returns the span of a call's claim, if it has one.
    pub(crate) fn take_claim_span(&self, call: CallId) -> Option<Span> {
        self.lock().get_mut(&call)?.claim_span.take()
    }

    /// Removes a call; returns false if it was not open.
    pub(crate) fn close(&self, call: CallId) -> bool {
        self.lock().remove(&call).is_some()
    }

    /// Returns a call's request and the text delivered so far.
    pub(crate) fn request_and_delivered_text(&self, call: CallId) -> Option<(CallRequest, String)> {
        let calls = self.lock();
        let open = calls.get(&call)?;
        Some((open.request.clone(), open.delivered_text.clone()))
    }

    /// Sends tokens to the caller and appends them to the delivered text.
    pub(crate) fn deliver(&self, call: CallId, texts: Vec<Name>) {
        if let Some(open) = self.lock().get_mut(&call) {
            for text in &texts {
                open.delivered_text.push_str(text);
            }
            // A closed channel is ignored: the caller disconnected, and its `CallGuard` reports that when dropped.
            let _ = open.replies.try_send(AnswerPart::Tokens(texts));
        }
    }

    /// Sends the last or only part of an answer to the caller; the call stays open until [`Self::close`].
    pub(crate) fn send_last(&self, call: CallId, reply: AnswerPart) {
        if let Some(open) = self.lock().get(&call) {
            // A closed channel is ignored: the caller disconnected, and its `CallGuard` reports that when dropped.
            let _ = open.replies.try_send(reply);
        }
    }
}
