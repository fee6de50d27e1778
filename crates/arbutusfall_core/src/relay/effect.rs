//! Outputs of the relay.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::QuotaQuestion;

use crate::CallId;
use crate::Problem;
use crate::config::Role;
use crate::relay::ExchangeId;
use crate::relay::Hop;
use crate::relay::NewestSearch;
use crate::relay::RelayNotice;
use crate::relay::SentAccount;
use crate::relay::SharedRecord;
use crate::relay::StreamOrigin;

/// An output of the relay.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayEffect {
    /// Send a request to an endpoint.
    Send(SendCommand),
    /// Abandon an exchange and close its connection.
    Close {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Hold an exchange: until it is released or closed, nothing of its answer is forwarded or reported.
    Hold {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Release an exchange that is held.
    Release {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Let an exchange go on whose answer has ended with its connection: the answer is complete.
    ConfirmEnd {
        /// The exchange.
        exchange: ExchangeId,
        /// What shows that.
        proof: EndProof,
    },
    /// Tell an engine to drop a KV cache that no engine will fetch.
    FreeKvCache(KvCacheLocation),
    /// Tell an engine to drop a reservation that will not be used.
    FreeReservation {
        /// Where the engine listens.
        address: SocketAddr,
        /// The engine's id of the reservation.
        reservation: Name,
    },
    /// Answer a call with the complete answer of an exchange; ends the call.
    Answer {
        /// The caller's open request.
        call: CallId,
        /// Exchange that received the answer.
        exchange: ExchangeId,
    },
    /// Forward an exchange's stream to the caller as it arrives.
    Forward {
        /// The caller's open request.
        call: CallId,
        /// Exchange that receives the stream.
        exchange: ExchangeId,
    },
    /// Complete the caller's stream; ends the call.
    Finish {
        /// The caller's open request.
        call: CallId,
    },
    /// Abort the caller's stream so that it does not look complete; ends the call.
    Abort {
        /// The caller's open request.
        call: CallId,
    },
    /// Answer a call with a problem, whatever its cause; ends the call.
    AnswerProblem {
        /// The caller's open request.
        call: CallId,
        /// Problem to answer with.
        problem: Problem,
    },
    /// Tell another VM that this one does not take a request that it forwarded; ends the call.
    Decline {
        /// The other VM's open request.
        call: CallId,
    },
    /// Open a connection to an endpoint that may have crashed, and report what becomes of it.
    CheckEndpoint {
        /// The endpoint.
        instance: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask an engine when its process started.
    CheckRun {
        /// The engine.
        instance: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask another VM for facts of the store.
    FollowFacts {
        /// The VM.
        vm: Name,
        /// Where it listens for other VMs.
        address: SocketAddr,
        /// Whether it may wait for news before it answers.
        waits: bool,
    },
    /// Ask another VM about quotas of client accounts.
    AskQuota {
        /// The VM.
        vm: Name,
        /// Where it listens for other VMs.
        address: SocketAddr,
        /// What to ask.
        question: QuotaQuestion,
    },
    /// Ask stronger VMs for all newest records of the topics that this VM lacks.
    SeekNewest(NewestSearch),
    /// Acquire or renew the lease at the store.
    RenewLease {
        /// Newest token that the store has returned.
        token: u64,
        /// Time after which the lease expires unless it is renewed.
        lifetime: Duration,
    },
    /// Release the lease.
    ReleaseLease,
    /// Look up the origin of a stream in the store.
    FindStream {
        /// Call that goes on with the stream.
        call: CallId,
        /// Id of the attempt that brought the stream's first event.
        attempt: Name,
    },
    /// Append records of streams to the store.
    RecordStreams(Vec<StreamRecord>),
    /// Append records that VMs share to the store.
    AppendShared(Vec<SharedRecord>),
    /// Order an engine to change its role.
    OrderRole {
        /// The engine.
        instance: Name,
        /// Where it listens.
        address: SocketAddr,
        /// New role.
        role: Role,
        /// Fencing token of the order.
        token: u64,
    },
    /// Set whether readiness probes succeed. While they fail, the VM still serves requests but closes each connection
    /// after one answer.
    SetReady(bool),
    /// Write a log line.
    Note(RelayNotice),
    /// Accept no more connections, close idle ones, and exit the process once the remaining ones are done.
    CloseConnections,
}

/// Record of a stream in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// Id of the attempt that brought the stream's first event.
    pub attempt: Name,
    /// Origin of the stream; `None` deletes the record.
    pub origin: Option<StreamOrigin>,
}

/// The request of an exchange.
#[derive(Debug, Clone, PartialEq)]
pub struct SendCommand {
    /// Number of the exchange.
    pub exchange: ExchangeId,
    /// The caller's open request.
    pub call: CallId,
    /// Instance that the request is for; another instance at the same address must not run it.
    pub instance: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Work requested of the endpoint.
    pub work: Work,
    /// Whether the answer to the request's run is a stream of events.
    pub expects_stream: bool,
    /// Time until the call's deadline, which is never later than the caller's own; the endpoint may abandon the request
    /// after it.
    pub time_left: Duration,
    /// Id of the event after which a stream is resumed.
    pub after_event_id: Option<u64>,
    /// Version of the endpoint's software; empty for another VM.
    pub version: Name,
    /// Start of the process that alone may get the request, in Unix milliseconds; none if any may. The engine is asked
    /// over a second connection while the request's own is open: that one ends with its process.
    pub required_start_unix_ms: Option<u64>,
    /// Whether the endpoint has a limit: an answer that names none lifts it.
    pub is_limited: bool,
    /// What is sent of the caller's account.
    pub account: SentAccount,
}

/// What shows that an answer that ended with its connection is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// The process that wrote it still runs.
    Process,
    /// The endpoint still accepts connections; nothing tells its processes from one another.
    Connection,
}

/// Work that an endpoint or another VM does for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Answer the request.
    Plain,
    /// Reserve memory and a batch slot.
    Reserve {
        /// Memory to reserve, in tokens.
        tokens: u64,
        /// Time after which an unused reservation expires.
        lifetime: Duration,
    },
    /// Compute the prompt's KV cache.
    Prefill,
    /// Stream the answer; without a source, the decode engine prefills the prompt itself.
    Decode {
        /// KV cache to fetch.
        source: Option<KvCacheLocation>,
        /// Reservation to use.
        reservation: Option<Name>,
    },
    /// Answer the request in place of this VM.
    Forward(ForwardCommand),
}

/// How a request is forwarded to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardCommand {
    /// What this VM says of the request.
    pub hop: Hop,
    /// Time since the request arrived at this VM.
    pub elapsed: Duration,
    /// Time for which the caller waits from then on, if stated.
    pub caller_timeout: Option<Duration>,
}

/// Location of a KV cache at the prefill engine that keeps it for transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheLocation {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The engine's id of the KV cache.
    pub handle: Name,
}

/// Result of one event.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayOutput {
    /// Effects, to be executed in this order.
    pub effects: Vec<RelayEffect>,
    /// Monotonic instant at which [`crate::relay::RelayEvent::Tick`] is due.
    pub wake_at: Option<Duration>,
}
