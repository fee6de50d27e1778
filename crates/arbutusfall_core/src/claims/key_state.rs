//! State of one idempotency key at the VM that received its calls.

use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::RequestId;

use crate::CallId;

/// State of one idempotency key at this VM.
#[derive(Debug, Clone)]
pub(super) struct KeyState {
    /// Request that claims the key. It is dispatched at most once, even if its claim is resent.
    pub(super) request: RequestId,
    /// Hash of account, method, target and body. Equal for all waiting calls; a call with another one is refused.
    pub(super) fingerprint: u64,
    pub(super) service: Name,
    pub(super) timeout: Duration,
    /// Calls waiting for the outcome.
    pub(super) waiting_calls: Vec<CallId>,
    /// Requests of other VMs waiting for the outcome.
    pub(super) requesters: Vec<(Name, RequestId)>,
    /// Whether the only call with this key at this VM is marked as the caller's first attempt, which means that the
    /// key was never sent before.
    pub(super) sole_call_marked_first: bool,
    /// Number of claim messages sent to partition owners.
    pub(super) claims_sent: u32,
    /// Rank of the partition owner that gets the next claim message; wraps around.
    pub(super) owner_rank: usize,
    pub(super) phase: KeyPhase,
}

/// Progress of a key at this VM.
#[derive(Debug, Clone)]
pub(super) enum KeyPhase {
    /// The claim was sent to a partition owner.
    Claiming {
        /// Monotonic instant after which the claim isn't resent.
        deadline: Duration,
    },
    /// No verdict is awaited: no claim was sent yet, or its calls have ended. If a claim sent earlier wins in this
    /// phase, nothing is sent to the service and the outcome is [`Outcome::NotRun`]. A call that arrives before the
    /// verdict resends the claim.
    Idle,
    /// Another request holds the claim, and its outcome was requested.
    AwaitingOutcome {
        holder_vm: Name,
        holder: RequestId,
        /// Monotonic instant after which the outcome is requested only from the log or, if `log_only` is already set,
        /// the waiting calls are refused.
        deadline: Duration,
        /// Whether only the log is asked, because the holder's VM doesn't know the outcome or doesn't reply.
        log_only: bool,
    },
    /// The claim won, and the call was sent or its connection is being opened.
    Dispatched {
        call: CallId,
        /// Number of the attempt in progress, from 1.
        current_attempt: u32,
        failed_endpoints: Vec<Name>,
        endpoint: Name,
    },
    /// The outcome is final; it may be [`Outcome::Unknown`].
    Finished { outcome: Outcome },
}

impl KeyState {
    pub(super) fn is_finished(&self) -> bool {
        matches!(self.phase, KeyPhase::Finished { .. })
    }

    /// Returns whether the state may be removed once the key is older than the claim window.
    pub(super) fn is_removable(&self) -> bool {
        let removable = matches!(self.phase, KeyPhase::Finished { .. } | KeyPhase::Idle);
        removable && self.waiting_calls.is_empty()
    }
}
