//! One key at the VM by which its calls entered.

use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::RequestId;

use crate::CallId;

/// One key at this VM.
#[derive(Debug, Clone)]
pub(super) struct Execution {
    /// The request that claims the key; it is dispatched at most once, also when the claim is tried again.
    pub(super) request: RequestId,
    /// Hash of what was asked for; equal for all callers.
    pub(super) fingerprint: u64,
    pub(super) service: Name,
    pub(super) timeout: Duration,
    /// Calls that wait for the outcome.
    pub(super) callers: Vec<CallId>,
    /// Other VMs' requests that wait for the outcome.
    pub(super) askers: Vec<(Name, RequestId)>,
    /// Whether only one call brought the key here, and its caller says that it never sent it before.
    pub(super) sole_first_attempt: bool,
    /// Claims that were sent to partition owners.
    pub(super) claims_sent: u32,
    /// Index of the partition owner that is asked next, in the order of their ranks.
    pub(super) owner: usize,
    pub(super) phase: ExecutionPhase,
}

/// How far a key has come at this VM.
#[derive(Debug, Clone)]
pub(super) enum ExecutionPhase {
    /// The claim was sent to a partition owner.
    Claiming { give_up_at: Duration },
    /// The claim may still win, but nobody waits for it; it is not dispatched unless the key is repeated.
    Abandoned,
    /// Another request holds the claim and was asked for the outcome.
    Asking {
        vm: Name,
        holder: RequestId,
        give_up_at: Duration,
        /// Whether the holder cannot tell, so that only the log can.
        holder_lost: bool,
    },
    /// The claim won and the call was sent, or its connection is being opened.
    Dispatched {
        call: CallId,
        tries: u32,
        failed: Vec<Name>,
        endpoint: Name,
    },
    /// The outcome is known.
    Finished { outcome: Outcome },
}

impl Execution {
    pub(super) fn is_finished(&self) -> bool {
        matches!(self.phase, ExecutionPhase::Finished { .. })
    }

    /// Whether the key's state is of no more use once the key is too old.
    pub(super) fn is_settled(&self) -> bool {
        let settled = matches!(
            self.phase,
            ExecutionPhase::Finished { .. } | ExecutionPhase::Abandoned
        );
        settled && self.callers.is_empty()
    }
}
