//! One partition of the claims: the fold of its stream, and what waits for the log.

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

/// A partition's state.
#[derive(Debug, Clone, Default)]
pub(super) struct Partition {
    /// First offset that was not read yet.
    pub(super) next: Offset,
    claims: FastMap<IdempotencyKey, Claimed>,
    /// Keys created before this time since the Unix epoch are forgotten and never win. Only grows.
    forgotten_before: Duration,
    /// Who waits for the log's word on a key.
    pub(super) waiting: BTreeMap<(IdempotencyKey, RequestId), Waiting>,
    /// Records to be appended next.
    pub(super) unsent: VecDeque<ClaimRecord>,
    /// The append in progress.
    pub(super) in_flight: Option<Flight>,
    /// Whether a read is in progress.
    pub(super) reading: bool,
    /// Whether something happened since that read began, so that another must follow.
    pub(super) read_again: bool,
    /// Whether the log failed to answer lately.
    pub(super) down: bool,
    pub(super) retries: u32,
    /// Whether a timer is pending that reads again.
    pub(super) retry_set: bool,
    /// Instant from which the next append may be made.
    pub(super) append_after: Duration,
    /// Whether a timer is pending that appends.
    pub(super) append_set: bool,
}

/// The first claim of a key.
#[derive(Debug, Clone)]
pub(super) struct Claimed {
    pub(super) vm: Name,
    pub(super) holder: RequestId,
    pub(super) fingerprint: u64,
    pub(super) outcome: Option<Outcome>,
}

/// A request that waits for the log's word.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) entry: Name,
    pub(super) fingerprint: u64,
    /// What is waited for.
    pub(super) goal: WaitingGoal,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitingGoal {
    /// A claim, which may be on the log if it was offered by an append that did not surely fail.
    Claim { offered: bool },
    /// Another look at the log, for the outcome of a key that another request holds.
    Outcome,
}

/// An append whose answer has not come.
#[derive(Debug, Clone)]
pub(super) struct Flight {
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

    /// Takes records in log order.
    pub(super) fn fold_page(&mut self, oldest: Offset, records: &[LogRecord]) {
        for record in records {
            if record.offset < self.next {
                continue;
            }
            self.next = record.offset.next();
            if let Ok(record) = serde_json::from_str::<ClaimRecord>(&record.text) {
                self.fold(record);
            }
        }
        // Records that retention removed belong to keys that are too old to win.
        self.next = self.next.max(oldest);
        self.settle_flight();
    }

    /// Takes one record: the first claim of a key wins.
    fn fold(&mut self, record: ClaimRecord) {
        if self.is_forgotten(record.key()) {
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

    /// Ends an append without its answer once everything that it carried was read back.
    fn settle_flight(&mut self) {
        let flight = self.in_flight.take();
        self.in_flight =
            flight.filter(|flight| !flight.records.iter().all(|record| self.is_settled(record)));
    }

    /// Whether appending a record again would change nothing.
    pub(super) fn is_settled(&self, record: &ClaimRecord) -> bool {
        let claimed = self.claims.get(&record.key());
        let known = match record {
            ClaimRecord::Claim { .. } => claimed.is_some(),
            ClaimRecord::Outcome { .. } => claimed.is_some_and(|claimed| claimed.outcome.is_some()),
        };
        known || self.is_forgotten(record.key())
    }

    pub(super) fn is_forgotten(&self, key: IdempotencyKey) -> bool {
        key.created_at() < self.forgotten_before
    }

    /// Moves the limit of forgotten keys on.
    pub(super) fn forget_before(&mut self, limit: Duration) {
        self.forgotten_before = self.forgotten_before.max(limit);
    }

    /// Frees what belongs to forgotten keys.
    pub(super) fn sweep(&mut self) {
        let limit = self.forgotten_before;
        self.claims.retain(|key, _| key.created_at() >= limit);
        self.unsent
            .retain(|record| record.key().created_at() >= limit);
    }

    /// Notes that a claim may be on the log.
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

    /// Whether a claim was surely never offered to the log.
    pub(super) fn is_unoffered(&self, key: IdempotencyKey, request: RequestId) -> bool {
        let waiting = self.waiting.get(&(key, request));
        waiting.is_some_and(|waiting| waiting.goal == WaitingGoal::Claim { offered: false })
    }
}
