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

use crate::LogEra;
use crate::LogRecord;

/// State of one partition at its owner.
#[derive(Debug, Clone, Default)]
pub(super) struct Partition {
    /// First offset not yet read.
    pub(super) next_offset: Offset,
    claims: FastMap<IdempotencyKey, FirstClaim>,
    /// Time since the Unix epoch; keys created before it are too old to be claimed. Only grows.
    oldest_claimable: Duration,
    /// Time since the Unix epoch; the claims of keys created before it may have been lost in a restore of the log. Only
    /// grows.
    lost_before: Duration,
    /// Requests waiting for the log, by key.
    pub(super) waiting: BTreeMap<(IdempotencyKey, RequestId), WaitingRequest>,
    /// Records queued for the next appends.
    pub(super) queued: VecDeque<ClaimRecord>,
    /// Append without an answer.
    pub(super) in_flight: Option<InFlightAppend>,
    /// Whether a read is in progress.
    pub(super) reading: bool,
    /// Whether another read must follow, because the log may have grown since the current one began.
    pub(super) read_again: bool,
    /// Whether the log failed and no read has succeeded since.
    pub(super) log_down: bool,
    /// Failures in a row since the last successful read, up to a maximum; each doubles the retry delay.
    pub(super) backoff_doublings: u32,
    /// Whether a [`WakePartition`](crate::timers::Timer::WakePartition) timer is pending.
    pub(super) wake_up_timer_set: bool,
    /// Earliest monotonic instant of the next append.
    pub(super) next_append_at: Duration,
    /// Whether an [`AppendClaims`](crate::timers::Timer::AppendClaims) timer is pending.
    pub(super) append_timer_set: bool,
}

/// Records of one read, with the state of the log that the answer gives.
#[derive(Debug)]
pub(super) struct LogPage<'a> {
    pub(super) era: LogEra,
    /// Offset at which the read began.
    pub(super) from: Offset,
    /// Oldest offset that the log keeps.
    pub(super) oldest: Offset,
    /// Offset that the next append will get.
    pub(super) end: Offset,
    pub(super) records: &'a [LogRecord],
}

/// The first claim of a key.
#[derive(Debug, Clone)]
pub(super) struct FirstClaim {
    pub(super) vm: Name,
    pub(super) holder: RequestId,
    pub(super) fingerprint: u64,
    pub(super) outcome: Option<Outcome>,
}

/// A request waiting for the log.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    /// VM that received the call and gets the verdict.
    pub(super) entry_vm: Name,
    pub(super) fingerprint: u64,
    pub(super) goal: WaitingGoal,
}

/// Record that a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitingGoal {
    /// Any claim of the key.
    Claim {
        /// Whether an append with the request's own claim succeeded, or failed after the log may have received it. Not
        /// yet set while the append is in flight.
        may_be_logged: bool,
    },
    /// The outcome of a claimed key. Answered after the next read that reaches the end of the log, with or without an
    /// outcome.
    Outcome,
}

/// An append without an answer.
#[derive(Debug, Clone)]
pub(super) struct InFlightAppend {
    /// Number of the append.
    pub(super) append: u64,
    pub(super) records: Vec<ClaimRecord>,
}

impl FirstClaim {
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
    pub(super) fn first_claim(&self, key: IdempotencyKey) -> Option<&FirstClaim> {
        self.claims.get(&key)
    }

    /// Applies records in log order, and returns whether the log holds more that was not read.
    pub(super) fn fold_page(&mut self, page: &LogPage<'_>) -> bool {
        if page.from > self.next_offset {
            // The read began at an offset of an earlier era.
            return true;
        }
        let before = self.next_offset;
        for record in page.records {
            if record.offset < self.next_offset {
                continue;
            }
            self.next_offset = record.offset.next();
            if let Ok(claim_record) = serde_json::from_str::<ClaimRecord>(&record.text) {
                self.fold(claim_record, page.era.is_after_restore(record));
            }
        }
        // Records removed by retention belong to keys that are too old to win.
        self.next_offset = self.next_offset.max(page.oldest);
        self.clear_redundant_append();
        before < self.next_offset && self.next_offset < page.end
    }

    /// Applies one record: the first claim of a key wins, unless an earlier one may have been lost.
    fn fold(&mut self, record: ClaimRecord, is_after_restore: bool) {
        if self.is_too_old(record.key()) {
            return;
        }
        let is_claim = matches!(record, ClaimRecord::Claim { .. });
        if is_claim && is_after_restore && self.may_be_lost(record.key()) {
            return;
        }
        match record {
            ClaimRecord::Claim {
                key,
                vm,
                request,
                fingerprint,
            } => {
                self.claims.entry(key).or_insert(FirstClaim {
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
                let first_claim = self.claims.get_mut(&key);
                if let Some(first_claim) =
                    first_claim.filter(|first_claim| first_claim.holder == request)
                {
                    first_claim.outcome.get_or_insert(outcome);
                }
            }
        }
    }

    /// Clears the append in flight, without waiting for its answer, if all its records are
    /// [redundant](Self::is_redundant).
    fn clear_redundant_append(&mut self) {
        let in_flight = self.in_flight.take();
        self.in_flight = in_flight.filter(|in_flight| {
            !in_flight
                .records
                .iter()
                .all(|record| self.is_redundant(record))
        });
    }

    /// Returns whether appending a record would change nothing: its key has a claim or, for an outcome record, an
    /// outcome on the log, from any request, or is too old, or the record is a claim that can't win.
    pub(super) fn is_redundant(&self, record: &ClaimRecord) -> bool {
        let first_claim = self.claims.get(&record.key());
        let known = match record {
            ClaimRecord::Claim { key, .. } => first_claim.is_some() || self.may_be_lost(*key),
            ClaimRecord::Outcome { .. } => {
                first_claim.is_some_and(|first_claim| first_claim.outcome.is_some())
            }
        };
        known || self.is_too_old(record.key())
    }

    pub(super) fn is_too_old(&self, key: IdempotencyKey) -> bool {
        key.created_at() < self.oldest_claimable
    }

    /// Raises the creation time, since the Unix epoch, before which keys are too old.
    pub(super) fn raise_oldest_claimable(&mut self, oldest_claimable: Duration) {
        self.oldest_claimable = self.oldest_claimable.max(oldest_claimable);
    }

    /// Returns whether the log may have lost a claim of a key.
    pub(super) fn may_be_lost(&self, key: IdempotencyKey) -> bool {
        key.created_at() < self.lost_before
    }

    /// Raises the creation time, since the Unix epoch, before which claims may be lost.
    pub(super) fn raise_lost_before(&mut self, lost_before: Duration) {
        self.lost_before = self.lost_before.max(lost_before);
    }

    /// Prepares to read the stream from its start after the log was restored; the claims read before stay known.
    pub(super) fn on_log_restored(&mut self) {
        self.next_offset = Offset::default();
        // The answer of the append in flight may be of either era.
        let in_flight = self.in_flight.clone();
        let records = in_flight.iter().flat_map(|in_flight| &in_flight.records);
        records.for_each(|record| self.mark_may_be_logged(record));
    }

    /// Removes the claims and queued records of keys that are too old.
    pub(super) fn sweep(&mut self) {
        let oldest_claimable = self.oldest_claimable;
        self.claims
            .retain(|key, _| key.created_at() >= oldest_claimable);
        self.queued
            .retain(|record| record.key().created_at() >= oldest_claimable);
    }

    /// Marks a waiting claim as possibly on the log.
    pub(super) fn mark_may_be_logged(&mut self, record: &ClaimRecord) {
        let ClaimRecord::Claim { key, request, .. } = record else {
            return;
        };
        if let Some(waiting) = self.waiting.get_mut(&(*key, *request))
            && waiting.goal != WaitingGoal::Outcome
        {
            waiting.goal = WaitingGoal::Claim {
                may_be_logged: true,
            };
        }
    }

    /// Returns whether a queued claim can't be on the log: no append that may have taken effect contained it.
    ///
    /// Only meaningful for claims in `queued`: a claim in flight may already be on the log.
    pub(super) fn is_surely_unlogged(&self, key: IdempotencyKey, request: RequestId) -> bool {
        let waiting = self.waiting.get(&(key, request));
        waiting.is_some_and(|waiting| {
            waiting.goal
                == WaitingGoal::Claim {
                    may_be_logged: false,
                }
        })
    }
}
