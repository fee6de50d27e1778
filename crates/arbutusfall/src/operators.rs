//! HTTP interface for operators: liveness, readiness and status.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arbutusfall_core::Status;
use async_channel::Sender;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::driver::Input;
use crate::http::AnswerBody;
use crate::http::json_answer;
use crate::telemetry::Telemetry;

/// JSON document served at `/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusDocument {
    /// The reducer's state.
    #[serde(flatten)]
    pub status: Status,
    /// Totals of the counters since the process started, by name.
    pub counters: std::collections::BTreeMap<String, i64>,
}

/// Request handler of the operators' interface.
#[derive(Debug)]
pub(crate) struct OperatorHandler {
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) input_sender: Sender<Input>,
    pub(crate) telemetry: Arc<Telemetry>,
}

impl OperatorHandler {
    /// Handles one request.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        match request.uri().path() {
            "/live" => json_answer(200, &json!({ "live": true })),
            "/ready" => {
                let ready = self.ready.load(Ordering::Relaxed);
                json_answer(if ready { 200 } else { 503 }, &json!({ "ready": ready }))
            }
            "/status" => self.status().await,
            _ => json_answer(404, &json!({ "paths": ["/live", "/ready", "/status"] })),
        }
    }

    async fn status(&self) -> Response<AnswerBody> {
        let (sender, receiver) = async_channel::bounded(1);
        // The channel is closed only while the process exits.
        let _ = self.input_sender.try_send(Input::Status(sender));
        let Ok(status) = receiver.recv().await else {
            return json_answer(503, &json!({ "exiting": true }));
        };
        let totals = self.telemetry.totals().into_iter();
        let counters = totals
            .map(|(name, count)| (name.to_owned(), count))
            .collect();
        json_answer(200, &StatusDocument { status, counters })
    }
}
