//! Decode: a continuous batch of a few slots, one token for each running request a step.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbutusfall::http;
use arbutusfall::http::AnswerBody;
use arbutusfall::http::BodyWriter;
use arbutusfall::http::json_answer;
use async_io::Timer;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::engine::Engine;
use crate::engine::POLL;
use crate::engine::text::continued;
use crate::engine::text::generated_length;
use crate::engine::text::prompt_seed;
use crate::engine::text::token_text;
use crate::stand_in::Received;

/// Share of a full batch's step that a batch of one needs.
const SMALLEST_STEP: f64 = 0.6;

/// Time after which a transfer is given up.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a finished stream can still be read again.
const FINISHED_LIFETIME: Duration = Duration::from_secs(1);

/// A request that holds a slot or waits for one.
pub(crate) struct Running {
    id: String,
    seed: u32,
    first_index: usize,
    length: usize,
    /// Tokens so far.
    pub(crate) generated: usize,
    /// Place in the queue for slots: priority, then order of arrival.
    turn: (i64, u64),
    /// Whether a slot is held, from the transfer on.
    has_slot: bool,
    decoding: bool,
    /// Prompt tokens that were computed for this request and would be lost with it.
    computed_tokens: u64,
    finished_at: Option<Instant>,
    readers: Vec<Reader>,
}

/// A connection that reads a stream.
struct Reader {
    writer: BodyWriter,
    next: usize,
    opened_at: Instant,
}

#[derive(Deserialize)]
struct Body {
    prompt: String,
    max_tokens: usize,
    #[serde(default)]
    priority: i64,
    kv_transfer_params: Value,
}

impl Engine {
    /// Handles a completion in either role.
    pub(crate) async fn complete(self: &Arc<Self>, request: &Received) -> Response<AnswerBody> {
        let id = request
            .parts
            .headers
            .get("x-request-id")
            .and_then(|value| value.to_str().ok());
        let body = serde_json::from_slice::<Body>(&request.body).ok();
        let (Some(id), Some(body)) = (id.map(str::to_owned), body) else {
            return json_answer(400, &json!({}));
        };
        // The work goes on when the connection is lost: only a cancellation ends it.
        let (sender, answer) = async_channel::bounded(1);
        let engine = self.clone();
        let delay = {
            let mut state = self.lock();
            state.orders += 1;
            Duration::from_millis(state.faults.slow_orders_ms)
        };
        let work = async move {
            Timer::after(delay).await;
            let answer = if body.kv_transfer_params["do_remote_decode"] == true {
                engine.prefill(&id, &body.prompt, body.priority).await
            } else {
                engine.decode(&id, &body).await
            };
            // The connection may be gone.
            let _ = sender.send(answer).await;
        };
        self.executor.spawn(work).detach();
        let answer = answer.recv().await;
        answer.unwrap_or_else(|_| json_answer(500, &json!({})))
    }

    async fn decode(self: &Arc<Self>, id: &str, body: &Body) -> Response<AnswerBody> {
        if !self.admit(id, body) {
            return json_answer(409, &json!({}));
        }
        while !self.take_slot(id) {
            if !self.lock().running.contains_key(id) {
                return json_answer(499, &json!({}));
            }
            Timer::after(POLL).await;
        }
        if !self.fetch(&body.kv_transfer_params).await {
            self.lock().running.remove(id);
            return json_answer(424, &json!({}));
        }
        self.thaw().await;
        let computed_tokens = body.kv_transfer_params["remote_computed_tokens"].as_u64();
        let computed_tokens = computed_tokens.unwrap_or_default();
        let mut state = self.lock();
        match state.running.get_mut(id) {
            Some(running) => {
                running.decoding = true;
                running.computed_tokens = computed_tokens;
            }
            None => state.wasted_tokens += computed_tokens,
        }
        drop(state);
        let answer = self.stream(id, 0);
        let engine = self.clone();
        let id = id.to_owned();
        self.executor
            .spawn(async move { engine.generate(&id).await })
            .detach();
        answer
    }

    fn admit(&self, id: &str, body: &Body) -> bool {
        let (seed, first_index) =
            continued(&body.prompt).unwrap_or_else(|| (prompt_seed(&body.prompt), 0));
        let length = generated_length(seed, first_index + body.max_tokens);
        let mut running = Running {
            id: id.to_owned(),
            seed,
            first_index,
            length: length.saturating_sub(first_index),
            generated: 0,
            turn: (body.priority, 0),
            has_slot: false,
            decoding: false,
            computed_tokens: 0,
            finished_at: None,
            readers: Vec::new(),
        };
        let mut state = self.lock();
        if state.running.contains_key(id) {
            return false;
        }
        if state.faults.swap_streams > 0 {
            state.faults.swap_streams -= 1;
            running.id = format!("{:016x}-1-1-d", seed);
            running.seed = !seed;
        }
        state.arrivals += 1;
        running.turn = (body.priority, state.arrivals);
        state.running.insert(id.to_owned(), running);
        true
    }

    /// Takes a slot if there is one and the request is the next in turn.
    fn take_slot(&self, id: &str) -> bool {
        let mut state = self.lock();
        let held = state.running.values().filter(|running| running.has_slot);
        let busy = held.filter(|running| running.holds_memory()).count();
        let waiting = state.running.values().filter(|running| !running.has_slot);
        let next = waiting.map(|running| running.turn).min();
        let Some(running) = state.running.get_mut(id) else {
            return false;
        };
        running.has_slot = busy < self.options.slots && next == Some(running.turn);
        running.has_slot
    }

    /// Fetches a KV cache from its prefill engine.
    async fn fetch(&self, params: &Value) -> bool {
        let host = params["remote_host"].as_str().unwrap_or_default();
        let address: Result<SocketAddr, _> = format!("{host}:{}", params["remote_port"]).parse();
        let (Ok(address), Some(id)) = (address, params["remote_request_id"].as_str()) else {
            return false;
        };
        let path = format!("/kv/{id}");
        let fetched: Result<Value, _> =
            http::get_json(&self.executor, address, &path, TRANSFER_TIMEOUT).await;
        fetched.is_ok()
    }

    /// Generates one token a step until the request is complete or cancelled.
    async fn generate(self: Arc<Self>, id: &str) {
        let mut due = Instant::now();
        loop {
            due += self.step();
            Timer::at(due).await;
            self.thaw().await;
            let mut state = self.lock();
            let silent_since = state.silent_since;
            let Some(running) = state.running.get_mut(id) else {
                return;
            };
            running.generated += usize::from(running.generated < running.length);
            if running.generated >= running.length {
                running.finished_at = Some(Instant::now());
            }
            running.write(silent_since);
            if running.finished_at.is_some() {
                break;
            }
        }
        Timer::after(FINISHED_LIFETIME).await;
        self.lock().running.remove(id);
    }

    /// Time to the next token, by how full the batch is.
    fn step(&self) -> Duration {
        let state = self.lock();
        let busy = state
            .running
            .values()
            .filter(|running| running.decoding && running.holds_memory())
            .count();
        let full = (busy as f64 / self.options.slots as f64).min(1.0);
        let step_ms = self.options.decode_step_ms * (SMALLEST_STEP + (1.0 - SMALLEST_STEP) * full);
        Duration::from_secs_f64(step_ms / 1_000.0)
    }

    /// Streams a request's tokens from an index on.
    pub(crate) fn stream(&self, id: &str, from: usize) -> Response<AnswerBody> {
        let (writer, body) = AnswerBody::pieces();
        let mut state = self.lock();
        let silent_since = state.silent_since;
        let Some(running) = state.running.get_mut(id) else {
            return json_answer(404, &json!({}));
        };
        running.readers.push(Reader {
            writer,
            next: from,
            opened_at: Instant::now(),
        });
        running.write(silent_since);
        let answer = Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .body(body);
        answer.unwrap_or_else(|_| json_answer(500, &json!({})))
    }
}

impl Running {
    /// Tokens of a prefill that are lost if the request ends now.
    pub(crate) fn unused_tokens(&self) -> u64 {
        if self.holds_memory() {
            self.computed_tokens
        } else {
            0
        }
    }

    /// Whether a slot is held or waited for; a finished stream is only kept for late readers.
    pub(crate) fn holds_memory(&self) -> bool {
        self.finished_at.is_none()
    }

    /// Writes what each reader has not got yet.
    fn write(&mut self, silent_since: Option<Instant>) {
        let Self {
            id,
            seed,
            first_index,
            generated,
            finished_at,
            readers,
            ..
        } = self;
        for reader in readers.iter_mut() {
            if silent_since.is_some_and(|since| reader.opened_at <= since) {
                continue;
            }
            while reader.next < *generated {
                let text = token_text(*seed, *first_index + reader.next);
                let event = json!({
                    "id": format!("cmpl-{id}"),
                    "choices": [{ "index": 0, "text": text }],
                });
                reader.writer.write(format!("data: {event}\n\n"));
                reader.next += 1;
            }
            if finished_at.is_some() {
                reader.writer.write("data: [DONE]\n\n");
            }
        }
        if finished_at.is_some() {
            readers.retain(|reader| silent_since.is_some_and(|since| reader.opened_at <= since));
        }
    }
}
