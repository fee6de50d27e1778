//! Stand-in for a model engine: prefills, keeps results for a moment, moves KV caches over a limited link, and
//! generates in a continuous batch.

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

use crate::query::query;
use crate::query::segments;
use crate::stand_in::Received;
use crate::stand_in::StandIn;

use cache::PrefixCache;
use decode::Running;
use options::EngineFaults;
use prefill::PrefillQueue;
use prefill::StoredResult;

pub(crate) use options::EngineOptions;
pub(crate) use text::generated_length;
pub(crate) use text::prompt_seed;
pub(crate) use text::token_text;

/// Interval at which waiting tasks look again.
const POLL: Duration = Duration::from_millis(2);

/// Delay of load reports.
const LOAD_LAG: Duration = Duration::from_millis(300);

/// An engine.
pub(crate) struct Engine {
    options: EngineOptions,
    executor: Arc<Executor>,
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    faults: EngineFaults,
    /// Nothing happens until this instant.
    frozen_until: Option<Instant>,
    /// Connections opened before this instant say nothing more.
    silent_since: Option<Instant>,
    cache: PrefixCache,
    queue: PrefillQueue,
    /// Results that wait to be fetched.
    results: BTreeMap<String, StoredResult>,
    /// Requests that wait for a slot or hold one.
    running: BTreeMap<String, Running>,
    /// Decode requests that have arrived so far.
    arrivals: u64,
    /// Instant until which the link is busy.
    link_free_at: Option<Instant>,
    prefilled_tokens: u64,
    wasted_tokens: u64,
    /// Orders that came, also those that are delayed by a fault.
    orders: u64,
    /// Cancellations that ended something.
    cancelled: u64,
    lagging_load: Value,
}

impl Engine {
    /// Starts an engine's own tasks.
    pub(crate) fn start(
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

    /// Waits while the engine is frozen.
    async fn thaw(&self) {
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
            state.silent_since = Some(Instant::now());
        }
        state.faults = faults;
        json_answer(200, &json!({}))
    }

    fn active(&self) -> Response<AnswerBody> {
        let state = self.lock();
        let running = state
            .running
            .iter()
            .filter(|(_, running)| running.holds_memory());
        let running = running.map(|(id, _)| id);
        let held = state.queue.ids().chain(state.results.keys()).chain(running);
        let requests: Vec<&String> = held.collect();
        json_answer(200, &json!({ "requests": requests }))
    }

    async fn cancel(&self, id: &str) -> Response<AnswerBody> {
        let slow = {
            let mut state = self.lock();
            if state.faults.ignore_cancels > 0 {
                state.faults.ignore_cancels -= 1;
                return json_answer(500, &json!({}));
            }
            state.faults.slow_cancel_ms
        };
        Timer::after(Duration::from_millis(slow)).await;
        let mut state = self.lock();
        let queued = state.queue.remove(id);
        let result = state.results.remove(id);
        let running = state.running.remove(id);
        if let Some(result) = &result {
            state.wasted_tokens += u64::from(result.tokens);
        }
        if let Some(running) = &running {
            state.wasted_tokens += running.unused_tokens();
        }
        let found = queued || result.is_some() || running.is_some();
        state.cancelled += u64::from(found);
        json_answer(if found { 200 } else { 404 }, &json!({}))
    }

    /// Reports the load as it was a moment ago.
    fn load(self: &Arc<Self>) -> Response<AnswerBody> {
        let engine = self.clone();
        let update = async move {
            let load = {
                let state = engine.lock();
                json!({
                    "running": state.running.len(),
                    "queued": state.queue.len(),
                    "queued_tokens": state.queue.tokens(),
                })
            };
            Timer::after(LOAD_LAG).await;
            engine.lock().lagging_load = load;
        };
        self.executor.spawn(update).detach();
        json_answer(200, &self.lock().lagging_load)
    }

    fn stats(&self) -> Response<AnswerBody> {
        let mut state = self.lock();
        state.drop_expired();
        let running = state
            .running
            .values()
            .filter(|running| running.holds_memory());
        let generated: usize = running.clone().map(|running| running.generated).sum();
        let unused = state.running.values().map(Running::unused_tokens);
        let unused = unused.chain(state.results.values().map(|result| result.tokens.into()));
        json_answer(
            200,
            &json!({
                "prefilled_tokens": state.prefilled_tokens,
                "wasted_tokens": state.wasted_tokens,
                "generating": generated,
                "orders": state.orders,
                "cancelled": state.cancelled,
                "unused_tokens": unused.sum::<u64>(),
                "held": state.queue.len() + state.results.len() + running.count(),
            }),
        )
    }
}

impl State {
    /// Removes results that nobody fetched in time.
    fn drop_expired(&mut self) {
        let now = Instant::now();
        let mut wasted = 0;
        self.results.retain(|_, result| {
            let kept = result.expires_at > now;
            wasted += if kept { 0 } else { u64::from(result.tokens) };
            kept
        });
        self.wasted_tokens += wasted;
    }
}

impl StandIn for Engine {
    async fn handle(self: Arc<Self>, request: Received) -> Response<AnswerBody> {
        let uri = &request.parts.uri;
        if uri.path() == "/faults" {
            return self.set_faults(&request.body);
        }
        self.thaw().await;
        match (&request.parts.method, segments(uri).as_slice()) {
            (&Method::GET, ["stats"]) => self.stats(),
            (&Method::POST, ["v1", "completions"]) => self.complete(&request).await,
            (&Method::GET, ["v1", "requests"]) => self.active(),
            (&Method::GET, ["v1", "load"]) => self.load(),
            (&Method::DELETE, ["v1", "requests", id]) => self.cancel(id).await,
            (&Method::GET, ["v1", "requests", id, "stream"]) => {
                let from = query(uri, "from").unwrap_or(0);
                self.stream(id, usize::try_from(from).unwrap_or(usize::MAX))
            }
            (&Method::GET, ["v1", "cache-events"]) => {
                let from = query(uri, "from").unwrap_or(0);
                json_answer(200, &self.lock().cache.events(from))
            }
            (&Method::GET, ["kv", id]) => self.transfer(id).await,
            _ => json_answer(404, &json!({})),
        }
    }
}
