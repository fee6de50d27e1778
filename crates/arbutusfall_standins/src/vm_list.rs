//! Stand-in for the platform's VM list.

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

/// Serves the list last posted to `/vms`. Tests post it late to simulate a list that lags behind the VMs.
#[derive(Default)]
pub(crate) struct VmList {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    list: Value,
    down: bool,
}

impl StandIn for VmList {
    async fn handle(self: Arc<Self>, request: ReceivedRequest) -> Response<AnswerBody> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match (&request.parts.method, request.parts.uri.path()) {
            (&Method::POST, "/faults") => state.down = body["down"] == true,
            (&Method::POST, "/vms") => state.list = body,
            (&Method::GET, "/vms") if state.down => return json_answer(503, &json!({})),
            (&Method::GET, "/vms") => {
                let list = if state.list.is_null() {
                    json!([])
                } else {
                    state.list.clone()
                };
                return json_answer(200, &list);
            }
            _ => return json_answer(404, &json!({})),
        }
        json_answer(200, &json!({}))
    }
}
