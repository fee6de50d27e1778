//! Callers' open requests: what was asked, and where the answer goes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_platform::endpoints::ForwardedRequest;
use arbutusfall_wire::FastMap;
use async_channel::Receiver;
use async_channel::Sender;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Bytes;

use crate::http::AnswerBody;
use crate::http::BodyWriter;

/// Head of an endpoint's answer, as it is passed on.
#[derive(Debug, Clone)]
pub(super) struct AnswerHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

/// What a caller is answered.
pub(super) enum Reply {
    /// An endpoint's answer, whole or as a stream.
    Endpoint(AnswerHead, AnswerBody),
    /// The router's own answer.
    Problem(Problem),
}

struct OpenCall {
    request: Arc<ForwardedRequest>,
    /// Takes the first reply.
    reply: Sender<Reply>,
    /// Takes a stream's pieces once it began.
    writer: Option<BodyWriter>,
}

/// Open requests of one process.
#[derive(Default)]
pub(super) struct OpenCalls {
    open: Mutex<State>,
}

#[derive(Default)]
struct State {
    calls: FastMap<CallId, OpenCall>,
    last: u64,
}

impl OpenCalls {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for a caller's request.
    pub(super) fn next_id(&self) -> CallId {
        let mut state = self.lock();
        state.last += 1;
        CallId(state.last)
    }

    /// Opens a call; the first reply comes from the receiver.
    pub(super) fn open(&self, call: CallId, request: ForwardedRequest) -> Receiver<Reply> {
        let (reply, receiver) = async_channel::bounded(1);
        let open = OpenCall {
            request: Arc::new(request),
            reply,
            writer: None,
        };
        self.lock().calls.insert(call, open);
        receiver
    }

    /// The request of an open call.
    pub(super) fn request(&self, call: CallId) -> Option<Arc<ForwardedRequest>> {
        let state = self.lock();
        state.calls.get(&call).map(|open| open.request.clone())
    }

    /// Ends a call with its whole answer; the caller may be gone.
    pub(super) fn end(&self, call: CallId, reply: Reply) {
        if let Some(open) = self.lock().calls.remove(&call) {
            // The receiver is dropped only when the caller is gone.
            let _ = open.reply.try_send(reply);
        }
    }

    /// Begins a call's stream, unless it began with an earlier exchange.
    pub(super) fn begin_stream(&self, call: CallId, head: AnswerHead) {
        let mut state = self.lock();
        let Some(open) = state.calls.get_mut(&call) else {
            return;
        };
        if open.writer.is_some() {
            return;
        }
        let (writer, body) = AnswerBody::pieces();
        open.writer = Some(writer);
        // The receiver is dropped only when the caller is gone.
        let _ = open.reply.try_send(Reply::Endpoint(head, body));
    }

    /// Passes a piece of a stream on.
    pub(super) fn write(&self, call: CallId, piece: Bytes) {
        let state = self.lock();
        if let Some(writer) = state.calls.get(&call).and_then(|open| open.writer.as_ref()) {
            // The body is dropped only when the caller is gone, which is an event of its own.
            let _ = writer.write(piece);
        }
    }

    /// Ends a call's stream as complete.
    pub(super) fn finish(&self, call: CallId) {
        self.lock().calls.remove(&call);
    }

    /// Breaks a call's stream off, so that it does not look complete.
    pub(super) fn abort(&self, call: CallId) {
        if let Some(writer) = self.lock().calls.remove(&call).and_then(|open| open.writer) {
            writer.break_off();
        }
    }

    /// Drops a call whose caller left; false if it was over.
    pub(super) fn close(&self, call: CallId) -> bool {
        self.lock().calls.remove(&call).is_some()
    }
}
