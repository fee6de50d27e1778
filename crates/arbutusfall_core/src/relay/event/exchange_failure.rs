//! Failures of exchanges.

/// How an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The endpoint's process is not the one that must get the request, so nothing was sent.
    OtherProcess,
    /// The endpoint did not say in time which process it is, so nothing was sent; only one process may get the request.
    ProcessUnknown,
    /// The endpoint may not get the request any more since it was selected, so nothing was sent.
    Withdrawn,
    /// The endpoint has not read the bodies of enough earlier requests, so nothing was sent.
    EndpointFull,
    /// The endpoint accepted the connection and closed it before anything of the request was written.
    ClosedUnsent,
    /// The connection closed before the answer was complete.
    Closed,
    /// The stream ended inside an event, or before its first one without stating that it is complete.
    Truncated,
    /// The stream begins anew instead of going on after the position in the request.
    BeganAnew,
    /// The answer is longer than the VM may hold in memory.
    TooLong,
    /// The answer is malformed or belongs to another request.
    Malformed,
}

impl ExchangeFailure {
    /// Returns the name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::OtherProcess => "other_process",
            Self::ProcessUnknown => "process_unknown",
            Self::Withdrawn => "withdrawn",
            Self::EndpointFull => "endpoint_full",
            Self::ClosedUnsent => "closed_unsent",
            Self::Closed => "closed",
            Self::Truncated => "truncated",
            Self::BeganAnew => "began_anew",
            Self::TooLong => "too_long",
            Self::Malformed => "malformed",
        }
    }

    /// Returns whether the endpoint has certainly not got the request.
    pub(crate) fn is_before_send(self) -> bool {
        matches!(
            self,
            Self::Unreachable
                | Self::OtherProcess
                | Self::ProcessUnknown
                | Self::Withdrawn
                | Self::EndpointFull
                | Self::ClosedUnsent
        )
    }

    /// Returns whether the endpoint has had no work with the request, not even a connection for it.
    pub(crate) fn is_before_connection(self) -> bool {
        self.is_before_send() && self != Self::ClosedUnsent
    }

    /// Returns whether the failure says something of the endpoint's listed process.
    pub(crate) fn is_of_endpoint(self) -> bool {
        !matches!(
            self,
            Self::OtherProcess | Self::ProcessUnknown | Self::Withdrawn | Self::EndpointFull
        )
    }

    /// Returns whether the endpoint may have ended.
    pub(crate) fn may_be_crash(self) -> bool {
        matches!(self, Self::Closed | Self::Truncated)
    }
}
