//! Calls of callers, and the answers that they got.

/// A call that a run may make.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) vm: usize,
    pub(crate) key: usize,
    /// Number of the attempt according to the caller; `None` if the call doesn't say.
    pub(crate) caller_attempt: Option<u32>,
    /// Index of the call that must end before this one starts.
    pub(crate) after: Option<usize>,
    pub(crate) started_at_step: Option<usize>,
    pub(crate) ended_at_step: Option<usize>,
    pub(crate) disconnected: bool,
    pub(crate) reported_outcome: Option<ReportedOutcome>,
}

/// Outcome that a caller got, or `Other` for any other problem.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum ReportedOutcome {
    Answered,
    NotRun,
    Unknown,
    Other,
}

/// Returns a call that doesn't say which attempt it is.
pub(crate) fn unmarked_call(vm: usize, key: usize) -> Call {
    Call {
        vm,
        key,
        caller_attempt: None,
        after: None,
        started_at_step: None,
        ended_at_step: None,
        disconnected: false,
        reported_outcome: None,
    }
}

/// Returns a call marked as the first attempt with its key.
pub(crate) fn marked_call(vm: usize, key: usize) -> Call {
    Call {
        caller_attempt: Some(1),
        ..unmarked_call(vm, key)
    }
}
