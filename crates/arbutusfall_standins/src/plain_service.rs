//! Stand-in for a plain service with idempotent lookups and non-idempotent executions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arbutusfall::http::AnswerBody;
use arbutusfall::http::json_answer;
use async_io::Timer;
use futures_lite::future;
use hyper::Method;
use hyper::Response;
use serde::Deserialize;
use serde_json::json;

use crate::stand_in::ReceivedRequest;
use crate::stand_in::StandIn;

/// Plain service that counts executions by idempotency key.
#[derive(Default)]
pub(crate) struct PlainService {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    executions: BTreeMap<String, u32>,
    lookups: u64,
    faults: ServiceFaults,
}

/// Body of a request that injects faults; an absent field switches its fault off.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ServiceFaults {
    /// Exits after the next execution, without an answer.
    die_after_execution: bool,
    /// Exits immediately.
    die: bool,
    /// Handles executions and lookups but never answers them.
    silent: bool,
    /// Delay before the answer to an execution or lookup.
    slow_ms: u64,
    /// Status of answers to lookups, instead of 200.
    lookup_status: Option<u16>,
    /// Length of the padding in answers to lookups.
    lookup_bytes: usize,
}

impl PlainService {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn execute(&self, request: &ReceivedRequest) -> Response<AnswerBody> {
        let key = request.parts.headers.get("idempotency-key");
        let key = key
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let (count, faults) = {
            let mut state = self.lock();
            let count = state.executions.entry(key.clone()).or_default();
            *count += 1;
            (*count, state.faults.clone())
        };
        if faults.die_after_execution {
            std::process::exit(0);
        }
        if faults.silent {
            return future::pending().await;
        }
        Timer::after(Duration::from_millis(faults.slow_ms)).await;
        json_answer(200, &json!({ "executed": key, "count": count }))
    }

    async fn look_up(&self, path: &str) -> Response<AnswerBody> {
        let faults = {
            let mut state = self.lock();
            state.lookups += 1;
            state.faults.clone()
        };
        if faults.silent {
            return future::pending().await;
        }
        Timer::after(Duration::from_millis(faults.slow_ms)).await;
        json_answer(
            faults.lookup_status.unwrap_or(200),
            &json!({ "status_of": path, "padding": "x".repeat(faults.lookup_bytes) }),
        )
    }
}

impl StandIn for PlainService {
    async fn handle(self: Arc<Self>, request: ReceivedRequest) -> Response<AnswerBody> {
        match (&request.parts.method, request.parts.uri.path()) {
            (&Method::POST, "/faults") => {
                let Ok(faults) = serde_json::from_slice::<ServiceFaults>(&request.body) else {
                    return json_answer(400, &json!({}));
                };
                if faults.die {
                    std::process::exit(0);
                }
                self.lock().faults = faults;
                json_answer(200, &json!({}))
            }
            (&Method::GET, "/executions") => json_answer(200, &self.lock().executions),
            (&Method::GET, "/stats") => {
                json_answer(200, &json!({ "lookups": self.lock().lookups }))
            }
            (&Method::POST, _) => self.execute(&request).await,
            (_, path) => self.look_up(path).await,
        }
    }
}
