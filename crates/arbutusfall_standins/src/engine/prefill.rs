//! Prefill: computes one prompt at a time, stores results for a limited time, and transfers them one at a time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbutusfall::http::AnswerBody;
use arbutusfall::http::json_answer;
use arbutusfall_wire::piece_hashes;
use async_io::Timer;
use hyper::Response;
use serde_json::Value;
use serde_json::json;

use crate::engine::Engine;
use crate::engine::POLL_INTERVAL;

/// Queue of prompts; the first one is being computed.
#[derive(Default)]
pub(crate) struct PrefillQueue(VecDeque<QueuedPrompt>);

struct QueuedPrompt {
    id: String,
    priority: i64,
    /// Tokens of the whole prompt.
    tokens: u32,
}

/// A prefill result that has not been fetched yet.
pub(crate) struct StoredResult {
    /// Computed tokens, without those from the cache.
    pub(crate) computed_tokens: u32,
    /// Tokens of the whole prompt; the KV cache of all of them is transferred.
    prompt_tokens: u32,
    pub(crate) expires_at: Instant,
    /// Whether a decode engine is fetching it.
    pub(crate) in_transfer: bool,
}

impl PrefillQueue {
    pub(crate) fn ids(&self) -> impl Iterator<Item = &String> {
        self.0.iter().map(|prompt| &prompt.id)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.0.iter().map(|prompt| u64::from(prompt.tokens)).sum()
    }

    /// Inserts a prompt by priority, lowest number first and then in order of arrival; the one being computed stays
    /// first.
    fn add(&mut self, prompt: QueuedPrompt) {
        let later = self
            .0
            .iter()
            .skip(1)
            .position(|queued| queued.priority > prompt.priority);
        let position = later.map_or(self.0.len(), |later| later + 1);
        self.0.insert(position, prompt);
    }

    fn is_first(&self, id: &str) -> bool {
        self.0.front().is_some_and(|prompt| prompt.id == id)
    }

    fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|prompt| prompt.id == id)
    }

    pub(crate) fn remove(&mut self, id: &str) -> bool {
        let before = self.0.len();
        self.0.retain(|prompt| prompt.id != id);
        self.0.len() < before
    }
}

impl Engine {
    /// Computes a prompt's KV cache and stores it for the result lifetime.
    pub(crate) async fn prefill(
        self: &Arc<Self>,
        id: &str,
        prompt: &str,
        priority: i64,
    ) -> Response<AnswerBody> {
        let options = &self.options;
        let tokens =
            u32::try_from(prompt.len().div_ceil(options.bytes_per_token)).unwrap_or(u32::MAX);
        self.lock().prefill_queue.add(QueuedPrompt {
            id: id.to_owned(),
            priority,
            tokens,
        });
        while !self.lock().prefill_queue.is_first(id) {
            if !self.lock().prefill_queue.contains(id) {
                return json_answer(499, &json!({}));
            }
            Timer::after(POLL_INTERVAL).await;
        }
        let hashes = piece_hashes(
            prompt.as_bytes(),
            options.piece_tokens * options.bytes_per_token,
        );
        let cached_pieces = self.lock().cache.touch(&hashes, options.cache_pieces);
        let cached = u32::try_from(cached_pieces * options.piece_tokens).unwrap_or(0);
        let computed = tokens.saturating_sub(cached).max(1);
        let duration = f64::from(computed) / options.prefill_tokens_per_s;
        Timer::after(Duration::from_secs_f64(duration)).await;
        self.wait_while_frozen().await;
        let mut state = self.lock();
        state.prefilled_tokens += u64::from(computed);
        if !state.prefill_queue.remove(id) {
            state.wasted_tokens += u64::from(computed);
            return json_answer(499, &json!({}));
        }
        let lifetime = Duration::from_millis(options.result_lifetime_ms);
        let expires_at = Instant::now() + lifetime;
        let result = StoredResult {
            computed_tokens: computed,
            prompt_tokens: tokens,
            expires_at,
            in_transfer: false,
        };
        state.prefill_results.insert(id.to_owned(), result);
        json_answer(
            200,
            &json!({
                "choices": [{ "index": 0, "text": "" }],
                "usage": {
                    "prompt_tokens": tokens,
                    "prompt_tokens_details": { "cached_tokens": cached },
                },
                "kv_transfer_params": {
                    "do_remote_prefill": true,
                    "remote_engine_id": self.address.to_string(),
                    "remote_request_id": id,
                    "remote_host": self.address.ip().to_string(),
                    "remote_port": self.address.port(),
                    "remote_tokens": tokens,
                    "remote_computed_tokens": computed,
                },
            }),
        )
    }

    /// Transfers a result over the link and removes it.
    pub(crate) async fn transfer(self: &Arc<Self>, id: &str) -> Response<AnswerBody> {
        let Some(arrives_at) = self.begin_transfer(id) else {
            return json_answer(404, &json!({}));
        };
        Timer::at(arrives_at).await;
        self.wait_while_frozen().await;
        let fetched = self.lock().prefill_results.remove(id).is_some();
        json_answer(if fetched { 200 } else { 404 }, &Value::Null)
    }

    /// Reserves the link for a transfer and returns the instant at which it completes; `None` if the result is gone or
    /// is being fetched already.
    fn begin_transfer(&self, id: &str) -> Option<Instant> {
        let mut state = self.lock();
        state.drop_expired();
        let stalls = state.faults.stall_transfers > 0;
        let now = Instant::now();
        let result = state
            .prefill_results
            .get_mut(id)
            .filter(|result| !result.in_transfer)?;
        if stalls {
            // A stalled transfer fetches nothing, so it neither reserves the result nor extends its lifetime.
            state.faults.stall_transfers -= 1;
            return Some(now + Duration::from_secs(3_600));
        }
        result.in_transfer = true;
        let bytes = f64::from(result.prompt_tokens) * self.options.kv_bytes_per_token;
        let duration = Duration::from_secs_f64(bytes / self.options.link_bytes_per_s);
        let begins_at = state.link_free_at.unwrap_or(now).max(now);
        let arrives_at = begins_at + duration;
        state.link_free_at = Some(arrives_at);
        if let Some(result) = state.prefill_results.get_mut(id) {
            result.expires_at = result.expires_at.max(arrives_at + Duration::from_secs(1));
        }
        Some(arrives_at)
    }
}
