//! What can happen to the relay, and what it can ask for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::Problem;
use crate::config::Role;
use crate::relay::LeaseAnswer;
use crate::relay::RelayNotice;
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
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// What it does.
    pub role: Role,
    /// Requests that it runs at once.
    pub slots: u32,
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

/// Size of a request for a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// The caller's estimate of the tokens to generate.
    pub expected_output_tokens: Option<u32>,
}

/// Share of the longest answer for which memory is reserved whatever the caller expects, because estimates are often far
/// too low.
const RESERVED_OF_LONGEST: f64 = 0.4;

/// Share of the expected answer for which memory is reserved besides.
const RESERVED_OF_EXPECTED: f64 = 0.6;

impl Prompt {
    /// Tokens that are reserved in an engine's memory: more than most answers take, and less than the longest, so that
    /// the memory is used and few answers outgrow their reservations.
    pub fn memory_tokens(self) -> u64 {
        let longest = f64::from(self.max_output_tokens);
        let expected = self.expected_output_tokens.map_or(longest, f64::from);
        let output = RESERVED_OF_LONGEST * longest + RESERVED_OF_EXPECTED * expected;
        u64::from(self.prompt_tokens) + output.min(longest) as u64
    }
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

/// An output of the relay.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayEffect {
    /// Send a request to an endpoint.
    Send(SendOrder),
    /// Drop an exchange; its connection closes.
    Close {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Have an engine drop a prefill's result that nobody will fetch.
    FreeResult(StoredPrefill),
    /// Have an engine drop a reservation that will not be used.
    FreeReservation {
        /// Where the engine listens.
        address: SocketAddr,
        /// Its name for the reservation.
        reservation: Name,
    },
    /// Answer a call with the whole answer of an exchange; the call is over.
    Answer {
        /// The caller's open request.
        call: CallId,
        /// Exchange whose answer it is.
        exchange: ExchangeId,
    },
    /// Pass an exchange's stream on to the caller as it arrives.
    Forward {
        /// The caller's open request.
        call: CallId,
        /// Exchange whose stream it is.
        exchange: ExchangeId,
    },
    /// End the caller's stream as complete; the call is over.
    Finish {
        /// The caller's open request.
        call: CallId,
    },
    /// Break the caller's stream off, so that it does not look complete; the call is over.
    Abort {
        /// The caller's open request.
        call: CallId,
    },
    /// Answer a call with a problem; the call is over.
    Refuse {
        /// The caller's open request.
        call: CallId,
        /// What to answer.
        problem: Problem,
    },
    /// Ask the store for the lease, or renew it.
    RenewLease {
        /// Newest token that the store told.
        token: u64,
        /// Time after which the lease lapses unless it is renewed.
        lifetime: Duration,
    },
    /// Give the lease up.
    ReleaseLease,
    /// Order an engine to change its role.
    OrderRole {
        /// The engine.
        instance: Name,
        /// Where it listens.
        address: SocketAddr,
        /// Role that it is to take.
        role: Role,
        /// Fencing token of the order.
        token: u64,
    },
    /// Whether the VM takes new connections.
    SetReady(bool),
    /// Write a log line.
    Note(RelayNotice),
    /// Accept no more connections, close idle ones, and end the process when the others are done.
    CloseConnections,
}

/// A request to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct SendOrder {
    /// Number of the exchange.
    pub exchange: ExchangeId,
    /// The caller's open request.
    pub call: CallId,
    /// Instance that must answer.
    pub instance: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the endpoint is to do.
    pub work: Work,
    /// Time after which the endpoint may stop.
    pub patience: Duration,
    /// Event after which a stream is to go on.
    pub after_event_id: Option<u64>,
}

/// What an endpoint is asked to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Answer it as a whole.
    Plain,
    /// Set memory and a place in the batch aside for it.
    Reserve {
        /// Tokens of memory.
        tokens: u64,
        /// Time after which the reservation lapses if it is not used.
        lifetime: Duration,
    },
    /// Compute its KV cache.
    Prefill,
    /// Stream the answer; without a source, the engine prefills the prompt itself.
    Decode {
        /// Where the KV cache is fetched from.
        source: Option<StoredPrefill>,
        /// Reservation that the request uses.
        reservation: Option<Name>,
    },
}

/// A KV cache that waits at a prefill engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPrefill {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// Name under which it keeps the KV cache.
    pub handle: Name,
}

/// What one event led to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayOutput {
    /// Effects, to be carried out in this order.
    pub effects: Vec<RelayEffect>,
    /// Monotonic instant at which [`RelayEvent::Tick`] is due.
    pub wake_at: Option<Duration>,
}
