//! Answers questions of other VMs about quotas of client accounts.

use std::sync::Arc;

use arbutusfall_wire::MAX_QUOTA_BYTES;
use arbutusfall_wire::QuotaQuestion;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::http::AnswerBody;
use crate::relay::driver::Driver;
use crate::relay::peer_question::empty_answer;
use crate::relay::peer_question::read_question;

/// Answers a question: 400 if it can't be read, which the asking VM takes for declined.
pub(super) async fn answer(
    driver: &Arc<Driver>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let Some(body) = read_question(request, MAX_QUOTA_BYTES).await else {
        log::info!("a question of another VM about quotas could not be read");
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    let question = match serde_json::from_slice::<QuotaQuestion>(&body) {
        Ok(question) => question,
        Err(error) => {
            log::warn!("a question of another VM about quotas is refused: {error}");
            return empty_answer(StatusCode::BAD_REQUEST);
        }
    };
    let answer = driver.answer_quota(&question);
    // Never fails: the answer has only texts and numbers.
    let bytes = serde_json::to_vec(&answer).unwrap_or_default();
    Response::new(AnswerBody::whole(bytes))
}
