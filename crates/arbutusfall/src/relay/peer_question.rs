//! Questions of other VMs: reading of their bodies, and answers without content.

use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::http;
use crate::http::AnswerBody;

/// Timeout for the body of a question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the body of a question; none if it is too long, breaks off or does not arrive in time.
pub(super) async fn read_question(request: Request<Incoming>, max_bytes: usize) -> Option<Bytes> {
    let body = http::read_request_body(request.into_body(), max_bytes, QUESTION_TIMEOUT);
    body.await.ok()
}

/// Returns an answer without a body.
pub(super) fn empty_answer(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(""));
    *answer.status_mut() = status;
    answer
}
