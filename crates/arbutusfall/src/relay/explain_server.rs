//! Answers operators' questions about requests.

use std::sync::Arc;

use arbutusfall_wire::Name;
use hyper::Response;

use crate::explain::ExplainDocument;
use crate::explain::ExplainFailure;
use crate::explain::ExplainQuestion;
use crate::http;
use crate::http::AnswerBody;
use crate::relay::driver::Driver;
use crate::relay::fact_board::FactBoard;

/// Answers the question in a URL's query: 400 if it is malformed, 404 if it names something unknown.
pub(super) fn answer(
    driver: &Arc<Driver>,
    facts: &FactBoard,
    query: &str,
    vm: &Name,
) -> Response<AnswerBody> {
    let question = ExplainQuestion::from_url_query(query);
    let relay_query = question.and_then(|question| question.to_relay_query());
    let relay_query = match relay_query {
        Ok(relay_query) => relay_query,
        Err(error) => return failure(400, error.to_string()),
    };
    let explanation = match driver.explain(relay_query) {
        Ok(explanation) => explanation,
        Err(error) => return failure(404, error.to_string()),
    };
    let ages = facts.ages_ms().into_iter();
    let document = ExplainDocument {
        vm: vm.clone(),
        ready: driver.is_ready(),
        fact_ages_ms: ages.map(|(topic, age)| (topic.to_owned(), age)).collect(),
        explanation,
    };
    http::json_answer(200, &document)
}

fn failure(status: u16, error: String) -> Response<AnswerBody> {
    http::json_answer(status, &ExplainFailure { error })
}
