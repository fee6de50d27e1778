//! Inputs of the relay.

mod exchange_failure;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Name;
use serde::Serialize;

use crate::CallId;
use crate::config::Role;
use crate::relay::ConnectAnswer;
use crate::relay::CrashCause;
use crate::relay::Credential;
use crate::relay::FollowOutcome;
use crate::relay::LeaseAnswer;
use crate::relay::QuotaOutcome;
use crate::relay::RequestKeys;
use crate::relay::RouteTable;
use crate::relay::RunAnswer;
use crate::relay::SentAccount;
use crate::relay::SharedParts;
use crate::relay::SharedRecord;
use crate::relay::TokenCounts;

pub use exchange_failure::ExchangeFailure;

/// Number of an exchange with an endpoint, assigned by the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// An input of the relay.
#[derive(Debug, Clone)]
pub enum RelayEvent {
    /// The process has started; always the first event.
    Started,
    /// The `wake_at` of the last output is due.
    Tick,
    /// A version of the configuration was read.
    NewConfig(Arc<RouteTable>),
    /// A version of the configuration was read that cannot be parsed.
    UnreadableConfig,
    /// Changes to the endpoint list were read, oldest first.
    EndpointChanges(Vec<EndpointListChange>),
    /// A read of the platform's store succeeded or failed; comes before what was read.
    StoreRead {
        /// Topic that was read.
        topic: StoreTopic,
        /// Why the read failed; `None` if it succeeded.
        failure: Option<StoreReadFailure>,
    },
    /// The store has stated its era for the first time; comes before what was read.
    StoreSeen {
        /// Its era.
        era: u64,
    },
    /// The store has returned from an older copy of its contents: what was written to it since that copy is lost unless
    /// it is written again.
    StoreReturned {
        /// Its era before.
        previous: u64,
        /// Its era now.
        era: u64,
    },
    /// All changes of the endpoint list up to an instant have been submitted.
    ListKnown {
        /// When the store was asked for the list, by this VM or by the one that passed it on.
        as_of: Duration,
    },
    /// A caller sent a request.
    RequestReceived(Box<RelayRequest>),
    /// The caller's connection closed before its answer was complete.
    CallerGone {
        /// Call of that connection.
        call: CallId,
    },
    /// Something happened to an exchange.
    Exchange {
        /// The exchange.
        exchange: ExchangeId,
        /// What happened.
        event: ExchangeEvent,
    },
    /// Another VM that was asked for facts of the store has answered, or not.
    FactsFollowed {
        /// The VM.
        vm: Name,
        /// What became of the question.
        outcome: FollowOutcome,
    },
    /// Another VM that was asked about quotas has answered, or not.
    QuotaAnswered {
        /// The VM.
        vm: Name,
        /// What became of the question.
        outcome: QuotaOutcome,
    },
    /// All newest records of a topic are needed, from another VM if possible.
    NewestNeeded,
    /// A renewal of the lease was answered or failed.
    Lease(LeaseAnswer),
    /// A lookup of a stream's origin in the store was answered or failed.
    StreamLookup {
        /// The caller's open request.
        call: CallId,
        /// Outcome of the lookup.
        lookup: StreamLookup,
    },
    /// An append of stream origins to the store was confirmed, or failed: it may still have taken effect.
    StreamsRecorded {
        /// Whether it was confirmed.
        succeeded: bool,
    },
    /// Records that VMs share were read, oldest first.
    SharedRecords {
        /// The records.
        records: Vec<SharedRecord>,
        /// Whether these are all records.
        is_full: bool,
    },
    /// An engine's answer to a control request names a limit on its requests.
    ControlLimit {
        /// The engine.
        instance: Name,
        /// Requests a second that it takes from all VMs together.
        per_s: f64,
    },
    /// An engine turned a control request away and asks for rest.
    ControlRest {
        /// The engine.
        instance: Name,
        /// Time for which it wants no requests from this VM.
        rest: Duration,
    },
    /// An endpoint says that it is leaving, in an answer to a control request or to another VM.
    EndpointLeaves {
        /// The endpoint.
        instance: Name,
    },
    /// A check whether an endpoint has ended is over.
    EndpointChecked {
        /// The endpoint.
        instance: Name,
        /// When the connection was begun.
        asked_at: Duration,
        /// What became of it.
        answer: ConnectAnswer,
    },
    /// An engine that was asked when its process started has answered, or has not.
    RunChecked {
        /// The engine.
        instance: Name,
        /// When it was asked.
        asked_at: Duration,
        /// What it said.
        answer: RunAnswer,
    },
    /// An operator ends the block on a cause of crashes.
    Unblock {
        /// The cause.
        cause: CrashCause,
    },
    /// An append of shared records to the store was confirmed, or failed: it may still have taken effect.
    SharedAppended {
        /// Whether it was confirmed.
        succeeded: bool,
    },
    /// A role order to an engine was answered or failed.
    RoleOutcome {
        /// The engine.
        instance: Name,
        /// Outcome of the order.
        outcome: RoleOutcome,
    },
    /// The process received the signal to stop; the VM drains.
    Terminate,
    /// The process is about to exit: calls that are still in progress must end now.
    DrainTimeout,
}

/// A topic of the platform's store that the relay follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreTopic {
    /// The operator's configuration.
    Config,
    /// The list of endpoints.
    Endpoints,
    /// The records that VMs share.
    Shared,
}

impl StoreTopic {
    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
            Self::Shared => "shared",
        }
    }
}

/// Why a read of the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReadFailure {
    /// No connection could be opened.
    Unreachable,
    /// The connection failed.
    Closed,
    /// No complete answer arrived in time.
    Silent,
    /// The store answered with an error status.
    ErrorStatus,
    /// The answer is from before the store's last return from an older copy.
    OldEra,
    /// The answer is malformed.
    Malformed,
}

/// A change to the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointListChange {
    /// An endpoint is listed for the first time or with changed values.
    Listed(ListedEndpoint),
    /// An endpoint is no longer listed.
    Removed {
        /// Instance that is no longer listed.
        instance: Name,
    },
    /// The whole list was read: endpoints that are not among these instances are no longer listed.
    FullList(Vec<Name>),
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Identity of one run of the endpoint's process; usually new after a restart.
    pub instance: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: Name,
    /// Version of its software; empty if it is not listed.
    pub version: Name,
    /// Kind of work that it does.
    pub role: Role,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Unix time at which its process started, in milliseconds, if listed.
    pub started_unix_ms: Option<u64>,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayRequest {
    /// The caller's open request.
    pub call: CallId,
    /// Id that the caller gave to this attempt of its request.
    pub request_id: Name,
    /// Host name of the request, in lower case and without the port.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// Time for which the caller waits, if stated.
    pub caller_timeout: Option<Duration>,
    /// Time from the arrival of the request's head until its body was complete.
    pub receive_time: Duration,
    /// Token counts, if the request is for a model.
    pub token_counts: Option<TokenCounts>,
    /// Parts of the prompt that other requests may have too.
    pub shared_parts: SharedParts,
    /// Keys that the request has in common with its repeats only.
    pub request_keys: RequestKeys,
    /// API key that came with the request, if any.
    pub credential: Credential,
    /// Stream that the request goes on with, if any.
    pub resumption: Option<Resumption>,
    /// What another VM says that has forwarded the request; none if it comes from a caller.
    pub hop: Option<Hop>,
}

/// What a VM says of a request that it forwards to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// The VM that received the request from its caller.
    pub from_vm: Name,
    /// Service that it picked from the route's services.
    pub service: Name,
    /// Version of its configuration.
    pub config_version: u64,
    /// Number of sends that may have run the request already.
    pub attempts: u32,
    /// Number of endpoints that may have ended while they ran it.
    pub endpoint_ends: u32,
    /// Version of the endpoint that brought the stream's first event, if it is known.
    pub stream_version: Option<Name>,
    /// Account that it found; [`SentAccount::Unchanged`] if it has not checked the credential.
    pub account: SentAccount,
}

/// A stream that a caller takes up again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumption {
    /// Id that the caller gave to the attempt that brought the stream's first event, if stated.
    pub first_attempt: Option<Name>,
    /// Id of the last event that the caller has.
    pub last_event_id: Name,
}

/// Service and software version of the endpoint that brought a stream's first event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The endpoint's service.
    pub service: Name,
    /// The endpoint's version; empty if it can't be known.
    pub version: Name,
}

impl StreamOrigin {
    /// Returns whether the version is known.
    pub(crate) fn is_known(&self) -> bool {
        !self.version.is_empty()
    }
}

/// Outcome of a lookup of a stream's origin in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamLookup {
    /// The origin is recorded.
    Found(StreamOrigin),
    /// The store has no record of it.
    NotFound,
    /// The store did not answer, or its answer is malformed.
    Failed,
}

/// Progress or end of an exchange.
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeEvent {
    /// The head of the endpoint's answer names a limit on its requests; comes before the event of the answer.
    LimitNamed {
        /// Requests a second that it takes from all VMs together.
        per_s: f64,
    },
    /// The head of the endpoint's answer names no limit, although it had one when the request was sent; comes before the event
    /// of the answer.
    LimitAbsent,
    /// The endpoint turned the request away and asks for rest; comes before the event of the answer.
    RestAsked {
        /// Time for which it wants no requests from this VM.
        rest: Duration,
    },
    /// The endpoint says in the head of its answer that it is leaving; comes before the event of the answer.
    Leaving,
    /// The engine reserved memory.
    Reserved {
        /// The engine's id of the reservation.
        reservation: Name,
    },
    /// The prompt's KV cache is ready for transfer.
    PrefillDone {
        /// The engine's id of the KV cache.
        handle: Name,
    },
    /// Another VM states the version of the endpoint that began the stream; comes before the event of the answer.
    VersionStated {
        /// The version.
        version: Name,
    },
    /// A stream of server-sent events started.
    StreamBegan,
    /// Complete events arrived and were forwarded to the caller.
    Progress {
        /// Id of the last of these events, if it has one.
        last_event_id: Option<u64>,
    },
    /// The stream is held back because its caller does not read: the endpoint is not silent.
    HeldBack,
    /// The answer ended with its connection, after all its events; follows them. The endpoint may have ended instead, so the exchange waits
    /// for [`RelayEffect::ConfirmEnd`](crate::relay::RelayEffect::ConfirmEnd).
    EndedWithConnection,
    /// The answer ended with its connection, and only that the endpoint still accepts others speaks for it.
    EndUnmarked,
    /// The complete answer arrived.
    Complete {
        /// HTTP status.
        status: u16,
    },
    /// The endpoint has not run the request and will not.
    NotRun {
        /// Reason given by the endpoint.
        reason: NotRunReason,
    },
    /// The exchange failed.
    Failed {
        /// Kind of failure.
        failure: ExchangeFailure,
    },
}

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyFraming {
    /// By its length, stated in the head.
    Length,
    /// By a final chunk.
    Chunks,
    /// Not at all: the body ends with its connection.
    ConnectionEnd,
}

impl BodyFraming {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::ConnectionEnd => "connection_end",
        }
    }
}

/// Why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The endpoint is full, is changing its role, or could not fetch the KV cache.
    Refused,
    /// Another instance has the address, or the endpoint has another role.
    Misdirected,
}

/// Outcome of a role order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleOutcome {
    /// The engine carries out the order or already has the role.
    Accepted,
    /// The engine refused the order because it has seen a newer fencing token.
    StaleToken,
    /// The engine refused the order for another reason.
    Refused,
    /// No answer: the order may be carried out now, later or never.
    Unknown,
}

impl RoleOutcome {
    /// Returns the name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::StaleToken => "old_token",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}
