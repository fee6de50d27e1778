//! Everything that can happen to the relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::LeaseAnswer;
use crate::relay::Prompt;
use crate::relay::RouteTable;

/// One exchange with an endpoint, numbered by the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// An input of the relay.
#[derive(Debug, Clone)]
pub enum RelayEvent {
    /// The process starts; the first event.
    Started,
    /// The instant asked for by the last output has come.
    Tick,
    /// A version of the configuration was read.
    Routes(Arc<RouteTable>),
    /// Changes of the list of endpoints were read, oldest first.
    Directory(Vec<DirectoryChange>),
    /// The platform's store answered after a failure, or failed after an answer.
    StoreReachable(bool),
    /// A caller sent a request.
    Asked(RelayRequest),
    /// The caller's connection is gone.
    CallerGone {
        /// Call whose answer nobody waits for.
        call: CallId,
    },
    /// Something happened to an exchange.
    Exchange {
        /// The exchange.
        exchange: ExchangeId,
        /// What happened.
        event: ExchangeEvent,
    },
    /// The store answered about the lease, or did not.
    Lease(LeaseAnswer),
    /// An engine answered an order, or did not.
    RoleOutcome {
        /// The engine.
        instance: Name,
        /// What became of the order.
        outcome: RoleOutcome,
    },
    /// The process was told to stop.
    Terminate,
}

/// One change of the list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryChange {
    /// An endpoint is listed, with what it says of itself now.
    Listed(ListedEndpoint),
    /// An endpoint is no longer listed.
    Removed {
        /// Instance that is gone.
        instance: Name,
    },
    /// The list was read anew: endpoints not among these are no longer listed.
    Only(Vec<Name>),
}

/// An entry of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// One life of the endpoint's process; a restart mostly brings a new name.
    pub instance: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: Name,
    /// What it does.
    pub role: Role,
    /// Takes no new work.
    pub is_leaving: bool,
    /// Unix time at which its process started, in milliseconds, if it says so.
    pub started_unix_ms: Option<u64>,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayRequest {
    /// The caller's open request.
    pub call: CallId,
    /// Id that the caller gave to this try of its request.
    pub request_id: Name,
    /// Value of the `host` header.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// Time for which the caller waits, if it says so.
    pub patience: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
}

/// What happened to an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// The engine set memory aside.
    Reserved {
        /// Its name for the reservation.
        reservation: Name,
    },
    /// The prompt's KV cache is ready for transfer.
    PrefillDone {
        /// Name under which the engine keeps the KV cache.
        handle: Name,
    },
    /// A stream of events begins.
    StreamBegan,
    /// Whole events arrived and were passed on.
    Progress {
        /// Id of the last of them, if it has one.
        last_event_id: Option<u64>,
    },
    /// The whole answer arrived.
    Complete {
        /// HTTP status.
        status: u16,
    },
    /// The endpoint says that it did not run the request and will not.
    NotRun {
        /// Why.
        reason: NotRunReason,
    },
    /// The exchange failed.
    Failed {
        /// How.
        failure: ExchangeFailure,
    },
}

/// Why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// It is full, or the KV cache could not be fetched.
    Refused,
    /// Another instance has the address, or the endpoint's role does not fit.
    Misdirected,
}

/// What became of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleOutcome {
    /// The engine carries it out, or has the role already.
    Accepted,
    /// The engine has seen a newer token.
    OldToken,
    /// The engine refused it for another reason.
    Refused,
    /// No answer: it may be carried out, also later.
    Unknown,
}

impl RoleOutcome {
    /// Name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::OldToken => "old_token",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// How an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No connection could be opened: nothing was sent.
    Unreachable,
    /// The connection closed before the answer was complete.
    Closed,
    /// The answer is not one to this request, or not of the expected form.
    Malformed,
}
