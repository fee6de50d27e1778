//! Pending timers, ordered by due instant.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Name;
use arbutusfall_wire::RequestId;

use crate::AttemptId;
use crate::CallId;

/// An action due at a later instant. A timer whose action is no longer needed has no effect, so timers are not
/// cancelled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Timer {
    FetchVmList,
    ProbePeers,
    ProbeOverdue {
        sequence: u64,
    },
    SuspicionTimeout {
        vm: Name,
        incarnation: Option<Incarnation>,
        update_version: u32,
        /// Instant at which the timer is due; a later handling shows that this process was stalled.
        due: Duration,
    },
    ReadConfig,
    SnapshotConfig,
    ReportGrants,
    SweepEndpoints,
    PollEngines,
    SweepClaims,
    PlaceOverdue {
        request: RequestId,
        placement: u32,
    },
    StartGranted {
        request: RequestId,
        placement: u32,
    },
    StageOverdue {
        attempt: AttemptId,
    },
    AnswerOverdue {
        request: RequestId,
    },
    RetryCancel {
        attempt: AttemptId,
    },
    AppendClaims {
        partition: u16,
    },
    WakePartition {
        partition: u16,
    },
    ClaimOverdue {
        key: IdempotencyKey,
        request: RequestId,
    },
    OutcomeOverdue {
        key: IdempotencyKey,
        request: RequestId,
    },
    IdempotentCallOverdue {
        call: CallId,
        attempt: u32,
    },
    RetryIdempotentCall {
        call: CallId,
        attempt: u32,
    },
}

/// Timers by due instant; equal instants keep the order in which they were set.
#[derive(Debug, Clone)]
pub(crate) struct Timers<T = Timer> {
    pending: BTreeMap<(Duration, u64), T>,
    sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<T> Timers<T> {
    pub(crate) fn set(&mut self, due: Duration, timer: T) {
        self.sequence += 1;
        self.pending.insert((due, self.sequence), timer);
    }

    /// Removes and returns the first timer that is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<T> {
        let entry = self.pending.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        Some(entry.remove())
    }

    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.pending.first_key_value().map(|((due, _), _)| *due)
    }
}
