//! Decode: a continuous batch with a fixed number of slots; each request in it generates one token per step.

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
use crate::engine::POLL_INTERVAL;
use crate::engine::text::generated_length;
use crate::engine::text::parse_continuation;
use crate::engine::text::prompt_seed;
use crate::engine::text::token_text;
use crate::stand_in::ReceivedRequest;

/// Step time of a nearly empty batch as a fraction of that of a full batch.
const MIN_STEP_FRACTION: f64 = 0.6;

/// Timeout for fetching a KV cache from a prefill engine.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a finished stream can still be read.
const FINISHED_STREAM_LIFETIME: Duration = Duration::from_secs(1);

/// A decode request from its arrival until [`FINISHED_STREAM_LIFETIME`] after its last token.
pub(crate) struct DecodeRequest {
    /// Id in the events of its stream: its own, or a made-up one if the fault `swap_streams` applies.
    event_id: String,
    seed: u32,
    /// Index of the first generated token; above 0 when the prompt continues an earlier stream.
    first_index: usize,
    /// Tokens to generate.
    output_length: usize,
    /// Tokens generated so far.
    pub(crate) generated: usize,
    /// Order in the queue for slots: priority (lowest first), then order of arrival.
    queue_key: (i64, u64),
    /// Whether it holds a slot, which it takes before the KV cache is transferred.
    has_slot: bool,
    /// Whether the KV cache has arrived.
    decoding: bool,
    /// Prompt tokens computed for this request; they are wasted if it ends before its last token.
    computed_tokens: u64,
    finished_at: Option<Instant>,
    readers: Vec<Reader>,
}

/// A connection that reads the stream of a request.
struct Reader {
    writer: BodyWriter,
    /// Index of the next token to write, counted from the first token that this request generates.
    next: usize,
    opened_at: Instant,
}

#[derive(Deserialize)]
struct CompletionBody {
    prompt: String,
    max_tokens: usize,
    #[serde(default)]
    priority: i64,
    kv_transfer_params: Value,
}

impl Engine {
    /// Handles a completion request: a prefill or a decode, depending on its transfer parameters.
    pub(crate) async fn complete(
        self: &Arc<Self>,
        request: &ReceivedRequest,
    ) -> Response<AnswerBody> {
        let id = request
            .parts
            .headers
            .get("x-request-id")
            .and_then(|value| value.to_str().ok());
        let body = serde_json::from_slice::<CompletionBody>(&request.body).ok();
        let (Some(id), Some(body)) = (id.map(str::to_owned), body) else {
            return json_answer(400, &json!({}));
        };
        // The request continues if the connection is lost; only a cancellation ends it.
        let (sender, answer) = async_channel::bounded(1);
        let engine = self.clone();
        let delay = {
            let mut state = self.lock();
            state.completion_requests += 1;
            Duration::from_millis(state.faults.slow_orders_ms)
        };
        let task = async move {
            Timer::after(delay).await;
            let answer = if body.kv_transfer_params["do_remote_decode"] == true {
                engine.prefill(&id, &body.prompt, body.priority).await
            } else {
                engine.decode(&id, &body).await
            };
            // Fails if the connection was closed.
            let _ = sender.send(answer).await;
        };
        self.executor.spawn(task).detach();
        let answer = answer.recv().await;
        answer.unwrap_or_else(|_| json_answer(500, &json!({})))
    }

    async fn decode(self: &Arc<Self>, id: &str, body: &CompletionBody) -> Response<AnswerBody> {
        if !self.enqueue(id, body) {
            return json_answer(409, &json!({}));
        }
        while !self.try_take_slot(id) {
            if !self.lock().decode_requests.contains_key(id) {
                return json_answer(499, &json!({}));
            }
            Timer::after(POLL_INTERVAL).await;
        }
        if !self.fetch_kv_cache(&body.kv_transfer_params).await {
            self.lock().decode_requests.remove(id);
            return json_answer(424, &json!({}));
        }
        self.wait_while_frozen().await;
        let computed_tokens = body.kv_transfer_params["remote_computed_tokens"].as_u64();
        let computed_tokens = computed_tokens.unwrap_or_default();
        let mut state = self.lock();
        match state.decode_requests.get_mut(id) {
            Some(request) => {
                request.decoding = true;
                request.computed_tokens = computed_tokens;
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

    /// Queues a request for a slot; returns false if its id is already in use.
    fn enqueue(&self, id: &str, body: &CompletionBody) -> bool {
        let (seed, first_index) =
            parse_continuation(&body.prompt).unwrap_or_else(|| (prompt_seed(&body.prompt), 0));
        let total_length = generated_length(seed, first_index + body.max_tokens);
        let mut request = DecodeRequest {
            event_id: id.to_owned(),
            seed,
            first_index,
            output_length: total_length.saturating_sub(first_index),
            generated: 0,
            queue_key: (body.priority, 0),
            has_slot: false,
            decoding: false,
            computed_tokens: 0,
            finished_at: None,
            readers: Vec::new(),
        };
        let mut state = self.lock();
        if state.decode_requests.contains_key(id) {
            return false;
        }
        if state.faults.swap_streams > 0 {
            state.faults.swap_streams -= 1;
            // In the format of the router's attempt ids: incarnation, sequence, attempt and stage.
            request.event_id = format!("{:016x}-1-1-d", seed);
            request.seed = !seed;
        }
        state.decode_arrivals += 1;
        request.queue_key = (body.priority, state.decode_arrivals);
        state.decode_requests.insert(id.to_owned(), request);
        true
    }

    /// Takes a slot if one is free and the request is first in the queue; returns whether it did.
    fn try_take_slot(&self, id: &str) -> bool {
        let mut state = self.lock();
        let taken_slots = state
            .decode_requests
            .values()
            .filter(|request| request.has_slot);
        let busy_slots = taken_slots
            .filter(|request| request.is_unfinished())
            .count();
        let waiting = state
            .decode_requests
            .values()
            .filter(|request| !request.has_slot);
        let next = waiting.map(|request| request.queue_key).min();
        let Some(request) = state.decode_requests.get_mut(id) else {
            return false;
        };
        request.has_slot = busy_slots < self.options.slots && next == Some(request.queue_key);
        request.has_slot
    }

    /// Fetches a KV cache from its prefill engine; returns whether it succeeded.
    async fn fetch_kv_cache(&self, params: &Value) -> bool {
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

    /// Generates one token per step until the request is complete or cancelled.
    async fn generate(self: Arc<Self>, id: &str) {
        let mut next_token_at = Instant::now();
        loop {
            next_token_at += self.step_time();
            Timer::at(next_token_at).await;
            self.wait_while_frozen().await;
            let mut state = self.lock();
            let silenced_at = state.silenced_at;
            let Some(request) = state.decode_requests.get_mut(id) else {
                return;
            };
            request.generated += usize::from(request.generated < request.output_length);
            if request.generated >= request.output_length {
                request.finished_at = Some(Instant::now());
            }
            request.write_pending_events(silenced_at);
            if request.finished_at.is_some() {
                break;
            }
        }
        Timer::after(FINISHED_STREAM_LIFETIME).await;
        self.lock().decode_requests.remove(id);
    }

    /// Returns the time to the next token, which grows with the number of requests in the batch.
    fn step_time(&self) -> Duration {
        let state = self.lock();
        let decoding = state
            .decode_requests
            .values()
            .filter(|request| request.decoding && request.is_unfinished())
            .count();
        let occupancy = (decoding as f64 / self.options.slots as f64).min(1.0);
        let step_ms = self.options.decode_step_ms
            * (MIN_STEP_FRACTION + (1.0 - MIN_STEP_FRACTION) * occupancy);
        Duration::from_secs_f64(step_ms / 1_000.0)
    }

    /// Answers with a stream of the tokens that a request generates, beginning at index `from`.
    pub(crate) fn stream(&self, id: &str, from: usize) -> Response<AnswerBody> {
        let (writer, body) = AnswerBody::channel();
        let mut state = self.lock();
        let silenced_at = state.silenced_at;
        let Some(request) = state.decode_requests.get_mut(id) else {
            return json_answer(404, &json!({}));
        };
        request.readers.push(Reader {
            writer,
            next: from,
            opened_at: Instant::now(),
        });
        request.write_pending_events(silenced_at);
        let answer = Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .body(body);
        answer.unwrap_or_else(|_| json_answer(500, &json!({})))
    }
}

impl DecodeRequest {
    /// Returns the number of prefilled tokens that are wasted if the request ends now.
    pub(crate) fn unused_tokens(&self) -> u64 {
        if self.is_unfinished() {
            self.computed_tokens
        } else {
            0
        }
    }

    /// Returns whether the request holds a slot or waits for one; a finished request only keeps its stream for late
    /// readers.
    pub(crate) fn is_unfinished(&self) -> bool {
        self.finished_at.is_none()
    }

    /// Writes to each reader the events that it has not received yet.
    fn write_pending_events(&mut self, silenced_at: Option<Instant>) {
        let Self {
            event_id,
            seed,
            first_index,
            generated,
            finished_at,
            readers,
            ..
        } = self;
        for reader in readers.iter_mut() {
            if silenced_at.is_some_and(|since| reader.opened_at <= since) {
                continue;
            }
            while reader.next < *generated {
                let text = token_text(*seed, *first_index + reader.next);
                let event = json!({
                    "id": format!("cmpl-{event_id}"),
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
            readers.retain(|reader| silenced_at.is_some_and(|since| reader.opened_at <= since));
        }
    }
}
