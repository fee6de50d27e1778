//! Problem details (RFC 9457) as answers.

use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use hyper::header::WWW_AUTHENTICATE;
use serde_json::Value;
use serde_json::json;

use crate::http::AnswerBody;

/// Namespace of problem types.
const PROBLEM_TYPE_BASE: &str = "urn:arbutusfall:problem:";

/// Content type of problem details.
const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Returns the answer for a problem, with its `retry-after` and `www-authenticate` headers.
pub fn problem_answer(problem: &Problem) -> Response<AnswerBody> {
    let body = problem_document(problem).to_string();
    let mut builder = Response::builder()
        .status(problem.kind.status())
        .header(CONTENT_TYPE, PROBLEM_CONTENT_TYPE);
    if let Some(seconds) = retry_after_s(problem) {
        builder = builder.header(RETRY_AFTER, seconds);
    }
    if problem.kind == ProblemKind::Unauthorized {
        builder = builder.header(WWW_AUTHENTICATE, "Bearer");
    }
    builder
        .body(AnswerBody::whole(body))
        .unwrap_or_else(|_| Response::new(AnswerBody::whole(Bytes::new())))
}

/// Returns the JSON document of a problem.
pub(crate) fn problem_document(problem: &Problem) -> Value {
    let mut document = json!({
        "type": format!("{PROBLEM_TYPE_BASE}{}", problem.kind.slug()),
        "title": problem.kind.title(),
        "status": problem.kind.status(),
    });
    if let Some(after) = problem.retry_after {
        document["retry_after_ms"] = json!(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
    }
    document
}

/// Returns the bytes of an answer with `connection: close`, for failures without a parsed request.
pub(crate) fn raw_problem(problem: &Problem) -> Vec<u8> {
    let status = problem.kind.status();
    let reason = hyper::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or_default();
    let body = problem_document(problem).to_string();
    let retry_after = match retry_after_s(problem) {
        Some(seconds) => format!("retry-after: {seconds}\r\n"),
        None => String::new(),
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\ncontent-type: {PROBLEM_CONTENT_TYPE}\r\n{retry_after}\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Returns the `retry-after` value in seconds, rounded up so that no caller retries too early.
fn retry_after_s(problem: &Problem) -> Option<u64> {
    let after = problem.retry_after?;
    Some(after.as_secs_f64().ceil().max(1.0) as u64)
}
