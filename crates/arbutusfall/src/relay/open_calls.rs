//! Callers' open calls, with the channels for their answers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_platform::endpoints::ForwardedRequest;
use arbutusfall_wire::FastMap;
use async_channel::Receiver;
use async_channel::Sender;
use hyper::HeaderMap;
use hyper::StatusCode;

use crate::http::AnswerBody;
use crate::http::BodyWriter;
use crate::lock::lock;

/// Status and headers of an endpoint's answer, as forwarded to the caller.
#[derive(Debug, Clone)]
pub(super) struct AnswerHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

/// Answer to a caller.
pub(super) enum Reply {
    /// An endpoint's answer, complete or as a stream.
    Endpoint(AnswerHead, AnswerBody),
    /// An answer by the relay itself.
    Problem(Problem),
    /// The request of another VM is not taken; nothing of it has run.
    Declined,
    /// The endpoint's answer is not there. Not expected: exchanges store it before they report it.
    Missing,
}

struct OpenCall {
    request: Arc<ForwardedRequest>,
    /// Sender of the call's only reply. For a stream, that reply contains the body to which `writer` appends.
    reply: Sender<Reply>,
    /// Writer of the stream's body, once the stream has started.
    writer: Option<BodyWriter>,
}

/// Open calls of one process.
#[derive(Default)]
pub(super) struct OpenCalls {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    calls: FastMap<CallId, OpenCall>,
    last_call_id: u64,
}

impl OpenCalls {
    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Assigns the id of a new call.
    pub(super) fn next_id(&self) -> CallId {
        let mut state = self.lock();
        state.last_call_id += 1;
        CallId(state.last_call_id)
    }

    /// Opens a call and returns the receiver of its reply.
    pub(super) fn open(&self, call: CallId, request: ForwardedRequest) -> Receiver<Reply> {
        let (reply, receiver) = async_channel::bounded(1);
        let open_call = OpenCall {
            request: Arc::new(request),
            reply,
            writer: None,
        };
        self.lock().calls.insert(call, open_call);
        receiver
    }

    /// Returns the request of a call, or `None` if the call has ended.
    pub(super) fn request(&self, call: CallId) -> Option<Arc<ForwardedRequest>> {
        let state = self.lock();
        state
            .calls
            .get(&call)
            .map(|open_call| open_call.request.clone())
    }

    /// Ends a call with a complete answer, which is dropped if the caller disconnected.
    pub(super) fn end_with_reply(&self, call: CallId, reply: Reply) {
        if let Some(open_call) = self.lock().calls.remove(&call) {
            // Fails only if the caller disconnected.
            let _ = open_call.reply.try_send(reply);
        }
    }

    /// Starts a call's stream, unless an earlier exchange has already started it.
    pub(super) fn begin_stream(&self, call: CallId, head: AnswerHead) {
        let mut state = self.lock();
        let Some(open_call) = state.calls.get_mut(&call) else {
            return;
        };
        if open_call.writer.is_some() {
            return;
        }
        let (writer, body) = AnswerBody::channel();
        open_call.writer = Some(writer);
        // Fails only if the caller disconnected.
        let _ = open_call.reply.try_send(Reply::Endpoint(head, body));
    }

    /// Returns the writer of a call's stream; none if the call has ended or its stream has not started.
    pub(super) fn writer(&self, call: CallId) -> Option<BodyWriter> {
        let state = self.lock();
        state.calls.get(&call)?.writer.clone()
    }

    /// Ends a call's stream as complete.
    pub(super) fn finish_stream(&self, call: CallId) {
        self.lock().calls.remove(&call);
    }

    /// Aborts a call's stream so that it does not look complete.
    pub(super) fn abort_stream(&self, call: CallId) {
        if let Some(writer) = self
            .lock()
            .calls
            .remove(&call)
            .and_then(|open_call| open_call.writer)
        {
            writer.abort();
        }
    }

    /// Removes a call whose caller disconnected; returns false if the call had already ended.
    pub(super) fn remove(&self, call: CallId) -> bool {
        self.lock().calls.remove(&call).is_some()
    }
}
