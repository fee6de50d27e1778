//! State of one idempotency key at the VM that received its calls.

use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::RequestId;

use crate::CallId;

/// State of one idempotency key at this VM.
#[derive(Debug, Clone)]
pub(super) struct Execution {
    /// Request that claims the key. It is dispatched at most once, even if the claim is sent again.
    pub(super) request: RequestId,
    /// Hash of the call's content; equal for all callers.
    pub(super) fingerprint: u64,
    pub(super) service: Name,
    pub(super) timeout: Duration,
    /// Calls waiting for the outcome.
    pub(super) callers: Vec<CallId>,
    /// Requests of other VMs waiting for the outcome.
    pub(super) requesters: Vec<(Name, RequestId)>,
    /// Whether a single call has used the key at this VM, and its caller marked it as the first attempt.
    pub(super) sole_first_attempt: bool,
    /// Number of claim messages sent to partition owners.
    pub(super) claims_sent: u32,
    /// Rank of the partition owner that gets the next claim message; wraps around.
    pub(super) owner_rank: usize,
    pub(super) phase: ExecutionPhase,
}

/// Progress of a key at this VM.
#[derive(Debug, Clone)]
pub(super) enum ExecutionPhase {
    /// The claim was sent to a partition owner.
    Claiming { deadline: Duration },
    /// The claim may still win, but no caller waits for it; it is not dispatched unless the key is repeated.
    Abandoned,
    /// Another request holds the claim, and its outcome was requested.
    AwaitingOutcome {
        vm: Name,
        holder: RequestId,
        deadline: Duration,
        /// Whether the holder doesn't know the outcome or is silent, so that only the log can have it.
        holder_lost: bool,
    },
    /// The claim won, and the call was sent or its connection is being opened.
    Dispatched {
        call: CallId,
        attempts_made: u32,
        failed_endpoints: Vec<Name>,
        endpoint: Name,
    },
    /// The outcome is known.
    Finished { outcome: Outcome },
}

impl Execution {
    pub(super) fn is_finished(&self) -> bool {
        matches!(self.phase, ExecutionPhase::Finished { .. })
    }

    /// Returns whether the state may be removed once the key is older than the claim window.
    pub(super) fn is_evictable(&self) -> bool {
        let evictable = matches!(
            self.phase,
            ExecutionPhase::Finished { .. } | ExecutionPhase::Abandoned
        );
        evictable && self.callers.is_empty()
    }
}
