//! A shard owner's view of a prefill endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::RequestId;

use crate::placement::health::Health;
use crate::placement::prefixes::PrefixIndex;

/// A prefill endpoint with its estimated queue, link and prefix cache.
#[derive(Debug, Clone)]
pub(crate) struct PrefillEndpoint {
    pub(crate) name: Name,
    pub(crate) leaving: bool,
    pub(crate) link_bytes_per_s: u64,
    pub(crate) health: Health,
    pub(crate) prefixes: PrefixIndex,
    /// Number of the next cache event to read.
    pub(crate) next_cache_event: u64,
    /// Instant at which all scheduled transfers over the link are expected to be done.
    pub(crate) link_free_at: Duration,
    /// Queued prompt tokens in the last load report plus those placed by this VM since.
    pub(crate) load_tokens: u64,
    /// Prompts in the order in which they were placed.
    queue: VecDeque<QueuedPrompt>,
    /// Instant at which the prompt before the first queued one was done or expected to be done.
    previous_done_at: Duration,
}

/// A prompt that is expected to be queued or in computation.
#[derive(Debug, Clone)]
struct QueuedPrompt {
    request: RequestId,
    prefill_time: Duration,
    /// The prompt is not sent before this instant.
    not_before: Duration,
}

impl PrefillEndpoint {
    pub(crate) fn new(name: Name) -> Self {
        Self {
            name,
            leaving: false,
            link_bytes_per_s: 0,
            health: Health::default(),
            prefixes: PrefixIndex::default(),
            next_cache_event: 0,
            link_free_at: Duration::ZERO,
            load_tokens: 0,
            queue: VecDeque::new(),
            previous_done_at: Duration::ZERO,
        }
    }

    /// Returns the instant at which the computation of a new prompt would start.
    pub(crate) fn next_start_at(&self, now: Duration) -> Duration {
        let done = self
            .queue
            .iter()
            .fold(self.previous_done_at, |done, prompt| {
                done.max(prompt.not_before) + prompt.prefill_time
            });
        done.max(now)
    }

    /// Appends a prompt to the queue.
    pub(crate) fn enqueue(
        &mut self,
        request: RequestId,
        prefill_time: Duration,
        not_before: Duration,
    ) {
        self.queue.push_back(QueuedPrompt {
            request,
            prefill_time,
            not_before,
        });
    }

    /// Removes a prompt that is done or cancelled, which moves those behind it forward.
    pub(crate) fn remove(&mut self, request: RequestId, now: Duration) {
        let Some(position) = self
            .queue
            .iter()
            .position(|prompt| prompt.request == request)
        else {
            return;
        };
        self.queue.remove(position);
        if position == 0 {
            self.previous_done_at = now;
        }
    }

    /// Drops the prompts whose expected end has passed.
    pub(crate) fn drop_done(&mut self, now: Duration) {
        while let Some(prompt) = self.queue.front() {
            let done = self.previous_done_at.max(prompt.not_before) + prompt.prefill_time;
            if done > now {
                return;
            }
            self.previous_done_at = done;
            self.queue.pop_front();
        }
    }

    /// Handles a report that a prompt is still being computed.
    ///
    /// If it was already dropped as done, the next prompt starts no earlier than `now`.
    pub(crate) fn on_still_computing(&mut self, request: RequestId, now: Duration) {
        if !self.queue.iter().any(|prompt| prompt.request == request) {
            self.previous_done_at = self.previous_done_at.max(now);
        }
    }
}
