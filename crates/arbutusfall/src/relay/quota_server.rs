//! Answers questions of other VMs about quotas of client accounts.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::MAX_QUOTA_BYTES;
use arbutusfall_wire::QuotaQuestion;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::http;
use crate::http::AnswerBody;
use crate::relay::driver::Driver;

/// Timeout for the body of a question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers a question: 400 if it can't be read, which the asking VM takes for declined.
pub(super) async fn answer(
    driver: &Arc<Driver>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let body = http::read_request_body(request.into_body(), MAX_QUOTA_BYTES, QUESTION_TIMEOUT);
    let Ok(body) = body.await else {
        log::info!("a question of another VM about quotas could not be read");
        return refusal();
    };
    let question = match serde_json::from_slice::<QuotaQuestion>(&body) {
        Ok(question) => question,
        Err(error) => {
            log::warn!("a question of another VM about quotas is refused: {error}");
            return refusal();
        }
    };
    let answer = driver.answer_quota(&question);
    // Never fails: the answer has only texts and numbers.
    let bytes = serde_json::to_vec(&answer).unwrap_or_default();
    Response::new(AnswerBody::whole(bytes))
}

fn refusal() -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(""));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}
