//! Stand-in for a model engine: prefills, stores results for a limited time, transfers KV caches over a link of
//! limited rate, and decodes in a continuous batch.

mod cache;
mod decode;
mod options;
mod prefill;
mod text;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arbutusfall::Executor;
use arbutusfall::http::AnswerBody;
use arbutusfall::http::json_answer;
use async_io::Timer;
use hyper::Method;
use hyper::Response;
use serde_json::Value;
use serde_json::json;

use crate::query::numeric_parameter;
use crate::query::segments;
use crate::stand_in::ReceivedRequest;
use crate::stand_in::StandIn;

use cache::PrefixCache;
use decode::DecodeRequest;
use options::EngineFaults;
use prefill::PrefillQueue;
use prefill::StoredResult;

pub(crate) use options::EngineOptions;
pub(crate) use text::generated_length;
pub(crate) use text::prompt_seed;
pub(crate) use text::token_text;

/// Interval at which waiting tasks check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Delay between measuring the load and reporting it.
const LOAD_REPORT_DELAY: Duration = Duration::from_millis(300);

/// An engine in either role, prefill or decode.
pub(crate) struct Engine {
    options: EngineOptions,
    executor: Arc<Executor>,
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    faults: EngineFaults,
    /// End of an injected freeze: the engine makes no progress until then.
    frozen_until: Option<Instant>,
    /// Streams opened up to this instant stay open but get no further events, nor their end. Later ones work.
    silenced_at: Option<Instant>,
    cache: PrefixCache,
    prefill_queue: PrefillQueue,
    /// Prefill results that have not been fetched yet, by request id.
    prefill_results: BTreeMap<String, StoredResult>,
    /// Decode requests by id: waiting for a slot, holding one, or finished up to `FINISHED_STREAM_LIFETIME` ago.
    decode_requests: BTreeMap<String, DecodeRequest>,
    /// Number of decode requests accepted so far; orders requests of equal priority.
    decode_arrivals: u64,
    /// End of the last transfer scheduled on the link.
    link_free_at: Option<Instant>,
    prefilled_tokens: u64,
    wasted_tokens: u64,
    /// Completion requests received, including those still delayed by a fault.
    completion_requests: u64,
    /// Cancellations that removed a request or a result.
    cancelled: u64,
    reported_load: Value,
}

impl Engine {
    /// Creates an idle engine; decode engines fetch KV caches from `address`.
    pub(crate) fn new(
        executor: Arc<Executor>,
        address: SocketAddr,
        options: EngineOptions,
    ) -> Self {
        Self {
            options,
            executor,
            address,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no injected freeze is in effect.
    async fn wait_while_frozen(&self) {
        loop {
            let frozen_until = self.lock().frozen_until;
            match frozen_until.filter(|until| *until > Instant::now()) {
                Some(until) => Timer::at(until).await,
                None => return,
            };
        }
    }

    fn set_faults(&self, body: &[u8]) -> Response<AnswerBody> {
        let Ok(faults) = serde_json::from_slice::<EngineFaults>(body) else {
            return json_answer(400, &json!({}));
        };
        if faults.die {
            std::process::exit(0);
        }
        let mut state = self.lock();
        if faults.freeze_ms > 0 {
            state.frozen_until = Some(Instant::now() + Duration::from_millis(faults.freeze_ms));
        }
        if faults.silence {
            state.silenced_at = Some(Instant::now());
        }
        state.faults = faults;
        json_answer(200, &json!({}))
    }

    fn list_requests(&self) -> Response<AnswerBody> {
        let state = self.lock();
        let unfinished = state
            .decode_requests
            .iter()
            .filter(|(_, request)| request.is_unfinished());
        let unfinished = unfinished.map(|(id, _)| id);
        let held = state
            .prefill_queue
            .ids()
            .chain(state.prefill_results.keys())
            .chain(unfinished);
        let requests: Vec<&String> = held.collect();
        json_answer(200, &json!({ "requests": requests }))
    }

    async fn cancel(&self, id: &str) -> Response<AnswerBody> {
        let delay_ms = {
            let mut state = self.lock();
            if state.faults.ignore_cancels > 0 {
                state.faults.ignore_cancels -= 1;
                return json_answer(500, &json!({}));
            }
            state.faults.slow_cancel_ms
        };
        Timer::after(Duration::from_millis(delay_ms)).await;
        let mut state = self.lock();
        let queued = state.prefill_queue.remove(id);
        let result = state.prefill_results.remove(id);
        let decode = state.decode_requests.remove(id);
        if let Some(result) = &result {
            state.wasted_tokens += u64::from(result.computed_tokens);
        }
        if let Some(decode) = &decode {
            state.wasted_tokens += decode.unused_tokens();
        }
        let found = queued || result.is_some() || decode.is_some();
        state.cancelled += u64::from(found);
        json_answer(if found { 200 } else { 404 }, &json!({}))
    }

    /// Answers with the load measured at an earlier load request, at least [`LOAD_REPORT_DELAY`] ago.
    fn load(self: &Arc<Self>) -> Response<AnswerBody> {
        let engine = self.clone();
        let update = async move {
            let load = {
                let state = engine.lock();
                json!({
                    "running": state.decode_requests.len(),
                    "queued": state.prefill_queue.len(),
                    "queued_tokens": state.prefill_queue.tokens(),
                })
            };
            Timer::after(LOAD_REPORT_DELAY).await;
            engine.lock().reported_load = load;
        };
        self.executor.spawn(update).detach();
        json_answer(200, &self.lock().reported_load)
    }

    fn stats(&self) -> Response<AnswerBody> {
        let mut state = self.lock();
        state.drop_expired();
        let unfinished = state
            .decode_requests
            .values()
            .filter(|request| request.is_unfinished());
        let generated: usize = unfinished.clone().map(|request| request.generated).sum();
        let unused = state
            .decode_requests
            .values()
            .map(DecodeRequest::unused_tokens);
        let unused = unused.chain(
            state
                .prefill_results
                .values()
                .map(|result| result.computed_tokens.into()),
        );
        json_answer(
            200,
            &json!({
                "prefilled_tokens": state.prefilled_tokens,
                "wasted_tokens": state.wasted_tokens,
                "generating": generated,
                "orders": state.completion_requests,
                "cancelled": state.cancelled,
                "unused_tokens": unused.sum::<u64>(),
                "held": state.prefill_queue.len() + state.prefill_results.len() + unfinished.count(),
            }),
        )
    }
}

impl State {
    /// Removes results that were not fetched within their lifetime and counts their tokens as wasted.
    fn drop_expired(&mut self) {
        let now = Instant::now();
        let mut wasted = 0;
        self.prefill_results.retain(|_, result| {
            let kept = result.expires_at > now;
            wasted += if kept {
                0
            } else {
                u64::from(result.computed_tokens)
            };
            kept
        });
        self.wasted_tokens += wasted;
    }
}

impl StandIn for Engine {
    async fn handle(self: Arc<Self>, request: ReceivedRequest) -> Response<AnswerBody> {
        let uri = &request.parts.uri;
        if uri.path() == "/faults" {
            return self.set_faults(&request.body);
        }
        self.wait_while_frozen().await;
        match (&request.parts.method, segments(uri).as_slice()) {
            (&Method::GET, ["stats"]) => self.stats(),
            (&Method::POST, ["v1", "completions"]) => self.complete(&request).await,
            (&Method::GET, ["v1", "requests"]) => self.list_requests(),
            (&Method::GET, ["v1", "load"]) => self.load(),
            (&Method::DELETE, ["v1", "requests", id]) => self.cancel(id).await,
            (&Method::GET, ["v1", "requests", id, "stream"]) => {
                let from = numeric_parameter(uri, "from").unwrap_or(0);
                self.stream(id, usize::try_from(from).unwrap_or(usize::MAX))
            }
            (&Method::GET, ["v1", "cache-events"]) => {
                let from = numeric_parameter(uri, "from").unwrap_or(0);
                json_answer(200, &self.lock().cache.events(from))
            }
            (&Method::GET, ["kv", id]) => self.transfer(id).await,
            _ => json_answer(404, &json!({})),
        }
    }
}
