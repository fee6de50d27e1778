//! A prefill endpoint as a shard's owner sees it.

use std::collections::VecDeque;
use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::RequestId;

use crate::placement::health::Health;
use crate::placement::prefixes::PrefixBeliefs;

/// A prefill endpoint, its queue and its link.
#[derive(Debug, Clone)]
pub(crate) struct PrefillEndpoint {
    pub(crate) name: Name,
    pub(crate) leaving: bool,
    pub(crate) link_bytes_per_s: u64,
    pub(crate) health: Health,
    pub(crate) prefixes: PrefixBeliefs,
    /// Number of the next cache event.
    pub(crate) next_cache_event: u64,
    /// Instant at which the link has moved what it was given.
    pub(crate) link_free_at: Duration,
    /// Prompt tokens that wait by the last load report, and those placed by this VM since.
    pub(crate) load_tokens: u64,
    /// Prompts in the order in which they were given.
    jobs: VecDeque<Job>,
    /// Instant at which the prompt before the first job was done.
    done_before: Duration,
}

/// A prompt that is believed to wait or to be computed.
#[derive(Debug, Clone)]
struct Job {
    request: RequestId,
    work: Duration,
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
            prefixes: PrefixBeliefs::default(),
            next_cache_event: 0,
            link_free_at: Duration::ZERO,
            load_tokens: 0,
            jobs: VecDeque::new(),
            done_before: Duration::ZERO,
        }
    }

    /// Instant from which a new prompt would be computed.
    pub(crate) fn free_at(&self, now: Duration) -> Duration {
        let done = self.jobs.iter().fold(self.done_before, |done, job| {
            done.max(job.not_before) + job.work
        });
        done.max(now)
    }

    /// Adds a prompt behind all others.
    pub(crate) fn add(&mut self, request: RequestId, work: Duration, not_before: Duration) {
        self.jobs.push_back(Job {
            request,
            work,
            not_before,
        });
    }

    /// Takes a prompt out that is done or given up, so that those behind it come earlier.
    pub(crate) fn remove(&mut self, request: RequestId, now: Duration) {
        let Some(position) = self.jobs.iter().position(|job| job.request == request) else {
            return;
        };
        self.jobs.remove(position);
        if position == 0 {
            self.done_before = now;
        }
    }

    /// Drops the prompts that must be done by now.
    pub(crate) fn drop_done(&mut self, now: Duration) {
        while let Some(job) = self.jobs.front() {
            let done = self.done_before.max(job.not_before) + job.work;
            if done > now {
                return;
            }
            self.done_before = done;
            self.jobs.pop_front();
        }
    }

    /// A prompt that was believed done is still being computed.
    pub(crate) fn is_late(&mut self, request: RequestId, now: Duration) {
        if !self.jobs.iter().any(|job| job.request == request) {
            self.done_before = self.done_before.max(now);
        }
    }
}
