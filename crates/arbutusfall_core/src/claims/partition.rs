//! One partition of the claims: the fold of its stream, and the requests and records waiting for the log.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use arbutusfall_wire::ClaimRecord;
use arbutusfall_wire::ClaimVerdict;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::RequestId;

use crate::LogRecord;

/// State of one partition at its owner.
#[derive(Debug, Clone, Default)]
pub(super) struct Partition {
    /// First offset not yet read.
    pub(super) next_offset: Offset,
    claims: FastMap<IdempotencyKey, Claimed>,
    /// Time since the Unix epoch; keys created before it are evicted and can't win. Only grows.
    evicted_before: Duration,
    /// Requests waiting for the log, by key.
    pub(super) waiting: BTreeMap<(IdempotencyKey, RequestId), WaitingRequest>,
    /// Records queued for the next appends.
    pub(super) unsent: VecDeque<ClaimRecord>,
    /// Append without an answer yet.
    pub(super) in_flight: Option<PendingAppend>,
    /// Whether a read is in progress.
    pub(super) reading: bool,
    /// Whether another read must follow, because the log may have grown since the current one began.
    pub(super) read_again: bool,
    /// Whether the log failed and no read has succeeded since.
    pub(super) log_down: bool,
    pub(super) backoff_doublings: u32,
    /// Whether a [`RetryPartition`](crate::timers::Timer::RetryPartition) timer is pending.
    pub(super) retry_timer_set: bool,
    /// Earliest monotonic instant of the next append.
    pub(super) next_append_at: Duration,
    /// Whether an [`AppendClaims`](crate::timers::Timer::AppendClaims) timer is pending.
    pub(super) append_timer_set: bool,
}

/// The first claim of a key.
#[derive(Debug, Clone)]
pub(super) struct Claimed {
    pub(super) vm: Name,
    pub(super) holder: RequestId,
    pub(super) fingerprint: u64,
    pub(super) outcome: Option<Outcome>,
}

/// A request waiting for the log.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub(super) entry: Name,
    pub(super) fingerprint: u64,
    pub(super) goal: WaitingGoal,
}

/// Record that a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitingGoal {
    /// A claim of its key. Its own claim may be on the log once an append that may have succeeded offered it.
    Claim { offered: bool },
    /// The outcome of a key that another request holds, as of one more read of the log.
    Outcome,
}

/// An append without an answer.
#[derive(Debug, Clone)]
pub(super) struct PendingAppend {
    pub(super) append: u64,
    pub(super) records: Vec<ClaimRecord>,
}

impl Claimed {
    pub(super) fn verdict(&self, request: RequestId) -> ClaimVerdict {
        if self.holder == request {
            return ClaimVerdict::Won;
        }
        ClaimVerdict::Lost {
            vm: self.vm.clone(),
            holder: self.holder,
            fingerprint: self.fingerprint,
            outcome: self.outcome.clone(),
        }
    }
}

impl Partition {
    pub(super) fn claimed(&self, key: IdempotencyKey) -> Option<&Claimed> {
        self.claims.get(&key)
    }

    /// Applies records in log order.
    pub(super) fn fold_page(&mut self, oldest: Offset, records: &[LogRecord]) {
        for record in records {
            if record.offset < self.next_offset {
                continue;
            }
            self.next_offset = record.offset.next();
            if let Ok(record) = serde_json::from_str::<ClaimRecord>(&record.text) {
                self.fold(record);
            }
        }
        // Records removed by retention belong to keys that are too old to win.
        self.next_offset = self.next_offset.max(oldest);
        self.clear_applied_append();
    }

    /// Applies one record: the first claim of a key wins.
    fn fold(&mut self, record: ClaimRecord) {
        if self.is_evicted(record.key()) {
            return;
        }
        match record {
            ClaimRecord::Claim {
                key,
                vm,
                request,
                fingerprint,
            } => {
                self.claims.entry(key).or_insert(Claimed {
                    vm,
                    holder: request,
                    fingerprint,
                    outcome: None,
                });
            }
            ClaimRecord::Outcome {
                key,
                request,
                outcome,
            } => {
                let claimed = self.claims.get_mut(&key);
                if let Some(claimed) = claimed.filter(|claimed| claimed.holder == request) {
                    claimed.outcome.get_or_insert(outcome);
                }
            }
        }
    }

    /// Clears the append in flight once all of its records were read back, even without its answer.
    fn clear_applied_append(&mut self) {
        let pending = self.in_flight.take();
        self.in_flight = pending.filter(|pending| {
            !pending
                .records
                .iter()
                .all(|record| self.is_redundant(record))
        });
    }

    /// Returns whether appending a record would change nothing.
    pub(super) fn is_redundant(&self, record: &ClaimRecord) -> bool {
        let claimed = self.claims.get(&record.key());
        let known = match record {
            ClaimRecord::Claim { .. } => claimed.is_some(),
            ClaimRecord::Outcome { .. } => claimed.is_some_and(|claimed| claimed.outcome.is_some()),
        };
        known || self.is_evicted(record.key())
    }

    pub(super) fn is_evicted(&self, key: IdempotencyKey) -> bool {
        key.created_at() < self.evicted_before
    }

    /// Raises the creation time before which keys are evicted.
    pub(super) fn evict_before(&mut self, limit: Duration) {
        self.evicted_before = self.evicted_before.max(limit);
    }

    /// Removes the claims and queued records of evicted keys.
    pub(super) fn sweep(&mut self) {
        let limit = self.evicted_before;
        self.claims.retain(|key, _| key.created_at() >= limit);
        self.unsent
            .retain(|record| record.key().created_at() >= limit);
    }

    /// Marks a waiting claim as possibly on the log.
    pub(super) fn mark_offered(&mut self, record: &ClaimRecord) {
        let ClaimRecord::Claim { key, request, .. } = record else {
            return;
        };
        if let Some(waiting) = self.waiting.get_mut(&(*key, *request))
            && waiting.goal != WaitingGoal::Outcome
        {
            waiting.goal = WaitingGoal::Claim { offered: true };
        }
    }

    /// Returns whether a waiting claim was never offered to the log.
    pub(super) fn is_unoffered(&self, key: IdempotencyKey, request: RequestId) -> bool {
        let waiting = self.waiting.get(&(key, request));
        waiting.is_some_and(|waiting| waiting.goal == WaitingGoal::Claim { offered: false })
    }
}
