//! Everything that a node can ask for.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::CallId;
use crate::Counter;
use crate::LogStream;
use crate::Notice;
use crate::Problem;
use crate::ServiceAnswer;

/// What one event led to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// Effects, to be carried out in this order.
    pub effects: Vec<Effect>,
    /// Monotonic instant at which [`crate::Event::Tick`] is due.
    pub wake_at: Option<Duration>,
}

/// An output of the reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Answer a call with a problem; the call is over.
    Refuse {
        /// The caller's open request.
        call: CallId,
        /// What to answer.
        problem: Problem,
    },
    /// Answer a call with a service's answer; the call is over.
    Answer {
        /// The caller's open request.
        call: CallId,
        /// What to answer.
        answer: ServiceAnswer,
    },
    /// Pass tokens to the caller.
    Deliver {
        /// The caller's open request.
        call: CallId,
        /// Text of each token, in order.
        texts: Vec<Name>,
    },
    /// End the caller's stream; the call is over.
    Finish {
        /// The caller's open request.
        call: CallId,
        /// Tokens delivered in all.
        generated_tokens: u32,
    },
    /// End the caller's stream with a problem after tokens were delivered; the call is over.
    Abort {
        /// The caller's open request.
        call: CallId,
        /// What to say in the stream's last event.
        problem: Problem,
    },
    /// Send a message to a peer.
    Send {
        /// VM to send to.
        to: Name,
        /// The message.
        message: PeerMessage,
    },
    /// Tell the transport where peers are, so that connections to others can be dropped.
    SetPeers(Vec<PeerAddress>),
    /// Send a prompt to a prefill engine.
    Prefill(PrefillOrder),
    /// Have a decode engine fetch a KV cache and generate.
    Decode(DecodeOrder),
    /// Open a new connection to an engine for an attempt that went silent.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// The caller's open request.
        call: CallId,
        /// Where the engine listens.
        address: SocketAddr,
        /// First token that is wanted, counted from 0 within the attempt.
        from_index: u32,
    },
    /// Have an engine give up an attempt, and drop the connection.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Where the engine listens.
        address: SocketAddr,
    },
    /// Ask an engine which attempts it holds.
    ListActive {
        /// The engine.
        endpoint: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask an engine for its load.
    ReadLoad {
        /// The engine.
        endpoint: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask an engine for changes of its prefix cache.
    ReadCache {
        /// The engine.
        endpoint: Name,
        /// Where it listens.
        address: SocketAddr,
        /// First event that is wanted.
        from: u64,
    },
    /// Call a plain service.
    CallService(ServiceOrder),
    /// Append records to the log in one append.
    Append {
        /// Stream to append to.
        stream: LogStream,
        /// Number of the append, unique for this process.
        append: u64,
        /// JSON text of each record.
        records: Vec<Name>,
    },
    /// Read the log.
    ReadLog {
        /// Stream to read.
        stream: LogStream,
        /// First offset that is wanted.
        from: Offset,
        /// How long the log may wait for a record to come.
        wait: Duration,
    },
    /// Read the platform's list of VMs.
    FetchVmList,
    /// Add to a counter.
    Count(Counter),
    /// Log a change of state.
    Note(Notice),
    /// Trace a step that this event took for a caller's request.
    Trace {
        /// The step.
        hop: Hop,
        /// Span context of the caller's request.
        traceparent: Name,
    },
    /// A configuration came into force.
    ConfigInForce {
        /// Revision of the base.
        base: Offset,
        /// Revision of this site's overlay.
        overlay: Option<Offset>,
    },
    /// Answer the readiness path from now on.
    SetReady(bool),
    /// Everything is handed over: exit with status 0.
    Exit,
}

/// A step of a caller's request that the reducer itself takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Hop {
    /// The shard's owner decided on a placement.
    Place,
}

impl Hop {
    /// Name of the step's span.
    pub fn name(self) -> &'static str {
        match self {
            Self::Place => "place",
        }
    }
}

/// Where a peer listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the VM.
    pub vm: Name,
    /// Where it listens to peers.
    pub address: SocketAddr,
}

/// An order to a prefill engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillOrder {
    /// The engine's use.
    pub attempt: AttemptId,
    /// The caller's open request, whose prompt is sent.
    pub call: CallId,
    /// The engine.
    pub endpoint: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tokens already delivered, whose text is sent after the prompt.
    pub delivered_tokens: u32,
    /// Priority for the engine's queue; lower runs first.
    pub priority: i32,
}

/// An order to a decode engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeOrder {
    /// The engine's use.
    pub attempt: AttemptId,
    /// The caller's open request, whose prompt is sent.
    pub call: CallId,
    /// The engine.
    pub endpoint: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tokens already delivered, whose text is sent after the prompt.
    pub delivered_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// Transfer parameters from the prefill engine, as JSON text.
    pub transfer: Name,
    /// Priority for the engine's queue; lower runs first.
    pub priority: i32,
}

/// An order to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceOrder {
    /// The caller's open request, whose method, path, headers and body are sent.
    pub call: CallId,
    /// Which try of the call, from 1.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Time allowed for the whole exchange.
    pub timeout: Duration,
    /// Key to pass on, for a non-idempotent call.
    pub key: Option<IdempotencyKey>,
}
