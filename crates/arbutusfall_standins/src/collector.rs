//! Stand-in for a Zipkin collector.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arbutusfall::http::AnswerBody;
use arbutusfall::http::json_answer;
use hyper::Method;
use hyper::Response;
use serde_json::Value;
use serde_json::json;

use crate::stand_in::ReceivedRequest;
use crate::stand_in::StandIn;

/// Collector that serves the spans received so far, in order of arrival.
#[derive(Default)]
pub(crate) struct Collector {
    spans: Mutex<Vec<Value>>,
}

impl StandIn for Collector {
    async fn handle(self: Arc<Self>, request: ReceivedRequest) -> Response<AnswerBody> {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        if request.parts.method == Method::POST {
            let batch: Vec<Value> = serde_json::from_slice(&request.body).unwrap_or_default();
            spans.extend(batch);
            return json_answer(202, &json!({}));
        }
        json_answer(200, &*spans)
    }
}
