//! Builds the answers to callers.

use std::sync::Arc;

use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::ServiceAnswer;
use arbutusfall_wire::Name;
use async_channel::Receiver;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use serde_json::json;

use crate::call_table::AnswerPart;
use crate::callers::CallGuard;
use crate::callers::CallerServer;
use crate::http::AnswerBody;
use crate::http::json_answer;
use crate::http::problem_answer;
use crate::http::problem_document;
use crate::trace::Span;

fn empty_answer() -> Response<AnswerBody> {
    Response::new(AnswerBody::whole(Bytes::new()))
}

/// Returns the answer of a plain service.
pub(crate) fn service_answer(answer: &ServiceAnswer) -> Response<AnswerBody> {
    let body = Bytes::copy_from_slice(answer.body.as_bytes());
    let mut builder = Response::builder().status(answer.status);
    if !answer.content_type.is_empty() {
        builder = builder.header(CONTENT_TYPE, &*answer.content_type);
    }
    builder
        .body(AnswerBody::whole(body))
        .unwrap_or_else(|_| empty_answer())
}

/// Collects a completion and returns it as one JSON document.
///
/// # Errors
///
/// The problem with which the call ended, or [`ProblemKind::UpstreamFailed`] if it ended without a result.
pub(crate) async fn collect_completion(
    guard: CallGuard,
    first: AnswerPart,
    replies: Receiver<AnswerPart>,
    model: &Name,
) -> Result<Response<AnswerBody>, Problem> {
    let mut text = String::new();
    let mut reply = first;
    loop {
        match reply {
            AnswerPart::Tokens(texts) => text.extend(texts.iter().map(|token| &**token)),
            AnswerPart::Finished { generated_tokens } => {
                guard.callers.calls.close(guard.call);
                return Ok(json_answer(
                    200,
                    &json!({
                        "object": "text_completion",
                        "model": model,
                        "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
                        "usage": { "completion_tokens": generated_tokens },
                    }),
                ));
            }
            AnswerPart::Problem(problem) => {
                guard.callers.calls.close(guard.call);
                return Err(problem);
            }
            // Not expected: only calls of plain services have this reply.
            AnswerPart::Answer(_) => return Err(Problem::new(ProblemKind::UpstreamFailed)),
        }
        let next = replies.recv().await;
        reply = next.map_err(|_| Problem::new(ProblemKind::UpstreamFailed))?;
    }
}

/// Returns a completion as a stream of server-sent events.
pub(crate) fn stream_completion(
    callers: &Arc<CallerServer>,
    guard: CallGuard,
    first: AnswerPart,
    replies: Receiver<AnswerPart>,
    model: &Name,
    span: Span,
) -> Response<AnswerBody> {
    if let AnswerPart::Problem(problem) = &first {
        callers.calls.close(guard.call);
        return problem_answer(problem);
    }
    let body = completion_events(guard, first, replies, model.clone(), span);
    let answer = Response::builder()
        .header(CONTENT_TYPE, "text/event-stream")
        .body(body);
    answer.unwrap_or_else(|_| empty_answer())
}

/// State of a completion's event stream; dropping it before the end reports that the caller disconnected.
struct CompletionEvents {
    guard: CallGuard,
    pending: Option<AnswerPart>,
    replies: Receiver<AnswerPart>,
    model: Name,
    ended: bool,
    _span: Span,
}

fn completion_events(
    guard: CallGuard,
    first: AnswerPart,
    replies: Receiver<AnswerPart>,
    model: Name,
    span: Span,
) -> AnswerBody {
    let state = CompletionEvents {
        guard,
        pending: Some(first),
        replies,
        model,
        ended: false,
        _span: span,
    };
    let stream = futures_lite::stream::unfold(state, |mut state| async {
        let chunk = state.next_chunk().await?;
        Some((Ok(chunk), state))
    });
    AnswerBody::stream(stream)
}

impl CompletionEvents {
    async fn next_chunk(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let reply = match self.pending.take() {
            Some(reply) => reply,
            None => self.replies.recv().await.ok()?,
        };
        match reply {
            AnswerPart::Tokens(texts) => Some(self.token_events(&texts)),
            AnswerPart::Finished { generated_tokens } => {
                self.end();
                Some(self.finish_events(generated_tokens))
            }
            AnswerPart::Problem(problem) => {
                self.end();
                let document = json!({ "error": problem_document(&problem) });
                Some(format!("data: {document}\n\n").into())
            }
            // Not expected: only calls of plain services have this reply.
            AnswerPart::Answer(_) => None,
        }
    }

    fn end(&mut self) {
        self.ended = true;
        self.guard.callers.calls.close(self.guard.call);
    }

    fn token_events(&self, texts: &[Name]) -> Bytes {
        let mut events = String::new();
        for text in texts {
            let event = json!({
                "object": "text_completion",
                "model": self.model,
                "choices": [{ "index": 0, "text": text, "finish_reason": null }],
            });
            events.push_str(&format!("data: {event}\n\n"));
        }
        events.into()
    }

    fn finish_events(&self, generated_tokens: u32) -> Bytes {
        let event = json!({
            "object": "text_completion",
            "model": self.model,
            "choices": [{ "index": 0, "text": "", "finish_reason": "stop" }],
            "usage": { "completion_tokens": generated_tokens },
        });
        format!("data: {event}\n\ndata: [DONE]\n\n").into()
    }
}
