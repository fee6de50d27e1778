//! Open calls of callers: what was asked, and where the answer goes.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
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

use crate::trace::Span;

/// What a caller asked for, as engines and services need it.
#[derive(Debug, Clone)]
pub(crate) enum Asked {
    /// A completion.
    Completion {
        /// Model.
        model: Name,
        /// Prompt text.
        prompt: Name,
        /// Span context.
        traceparent: Option<Name>,
    },
    /// A call to a plain service.
    Service {
        /// Method.
        method: Method,
        /// Path and query.
        target: Name,
        /// Headers that are passed on.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
        /// Span context.
        traceparent: Option<Name>,
    },
}

/// Part of an answer.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A service's whole answer.
    Answer(ServiceAnswer),
    /// Tokens.
    Tokens(Vec<Name>),
    /// The stream is complete.
    Finished {
        /// Tokens delivered in all.
        generated_tokens: u32,
    },
    /// The call is over with a problem.
    Problem(Problem),
}

#[derive(Debug)]
struct OpenCall {
    asked: Asked,
    /// Text that was delivered, for a stream that must be resumed.
    delivered: String,
    replies: Sender<Reply>,
    /// Span of the claim, from the request to the dispatch, while it is open.
    claim: Option<Span>,
}

/// All open calls of a process.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    calls: Mutex<FastMap<CallId, OpenCall>>,
    sequence: AtomicU64,
}

impl CallTable {
    fn lock(&self) -> MutexGuard<'_, FastMap<CallId, OpenCall>> {
        // A panic while the lock was held left at worst one call without an answer.
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a call.
    pub(crate) fn open(&self, asked: Asked) -> (CallId, Receiver<Reply>) {
        let call = CallId(self.sequence.fetch_add(1, Ordering::Relaxed) + 1);
        let (replies, receiver) = async_channel::unbounded();
        self.lock().insert(
            call,
            OpenCall {
                asked,
                delivered: String::new(),
                replies,
                claim: None,
            },
        );
        (call, receiver)
    }

    /// Keeps the span of a call's claim until the claim is decided.
    pub(crate) fn begin_claim(&self, call: CallId, span: Span) {
        if let Some(open) = self.lock().get_mut(&call) {
            open.claim = Some(span);
        }
    }

    /// Takes the span of a call's claim.
    pub(crate) fn end_claim(&self, call: CallId) -> Option<Span> {
        self.lock().get_mut(&call)?.claim.take()
    }

    /// Removes a call; false if it was gone.
    pub(crate) fn close(&self, call: CallId) -> bool {
        self.lock().remove(&call).is_some()
    }

    /// What was asked, with the text that was delivered so far.
    pub(crate) fn asked(&self, call: CallId) -> Option<(Asked, String)> {
        let calls = self.lock();
        let open = calls.get(&call)?;
        Some((open.asked.clone(), open.delivered.clone()))
    }

    /// Passes tokens on.
    pub(crate) fn deliver(&self, call: CallId, texts: Vec<Name>) {
        if let Some(open) = self.lock().get_mut(&call) {
            for text in &texts {
                open.delivered.push_str(text);
            }
            // A closed channel means that the caller is gone, which its connection reports.
            let _ = open.replies.try_send(Reply::Tokens(texts));
        }
    }

    /// Passes the end of an answer on.
    pub(crate) fn end(&self, call: CallId, reply: Reply) {
        if let Some(open) = self.lock().get(&call) {
            // A closed channel means that the caller is gone, which its connection reports.
            let _ = open.replies.try_send(reply);
        }
    }
}
