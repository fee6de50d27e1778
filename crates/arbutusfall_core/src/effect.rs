//! Effects: the I/O that the reducer requests from its driver.

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

/// Result of handling one event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// Effects, to be carried out in order.
    pub effects: Vec<Effect>,
    /// Monotonic instant at which [`crate::Event::Tick`] is due.
    pub wake_at: Option<Duration>,
}

/// An action that the driver carries out for the reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Answer a call with a problem, whether or not it was run; the call is over.
    AnswerProblem {
        /// Call to answer.
        call: CallId,
        /// Problem to answer with.
        problem: Problem,
    },
    /// Answer a call with a service's answer; the call is over.
    Answer {
        /// Call to answer.
        call: CallId,
        /// Answer to pass on to the caller.
        answer: ServiceAnswer,
    },
    /// Pass tokens to the caller.
    Deliver {
        /// Call that receives the tokens.
        call: CallId,
        /// Text of each token, in order.
        texts: Vec<Name>,
    },
    /// End the caller's stream; the call is over.
    Finish {
        /// Call whose stream ends.
        call: CallId,
        /// Total number of tokens delivered.
        generated_tokens: u32,
    },
    /// End the caller's stream with a problem after tokens were delivered; the call is over.
    Abort {
        /// Call whose stream ends.
        call: CallId,
        /// Problem sent in the stream's last event.
        problem: Problem,
    },
    /// Send a message to a peer.
    Send {
        /// VM to send to.
        to: Name,
        /// The message.
        message: PeerMessage,
    },
    /// Replace the transport's list of peers, so that it can drop connections to VMs that are not on the list.
    SetPeers(Vec<PeerAddress>),
    /// Send a prompt to a prefill engine.
    Prefill(PrefillCommand),
    /// Have a decode engine fetch a KV cache and generate.
    Decode(DecodeCommand),
    /// Open a new connection to an engine to continue an attempt whose connection went silent.
    Reconnect {
        /// The attempt.
        attempt: AttemptId,
        /// Call that the attempt serves.
        call: CallId,
        /// Where the engine listens.
        address: SocketAddr,
        /// Index of the first token to send, from 0 within the attempt.
        from_index: u32,
    },
    /// Cancel an attempt at its engine, and drop the connection.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Where the engine listens.
        address: SocketAddr,
    },
    /// List the attempts that an engine holds.
    ListAttempts {
        /// The engine.
        endpoint: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Read an engine's load.
    ReadLoad {
        /// The engine.
        endpoint: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Read the changes to an engine's prefix cache.
    ReadCache {
        /// The engine.
        endpoint: Name,
        /// Where it listens.
        address: SocketAddr,
        /// Number of the first event to read.
        from: u64,
    },
    /// Call a plain service.
    CallService(ServiceCommand),
    /// Append records to the log in one append.
    Append {
        /// Stream to append to.
        stream: LogStream,
        /// Number of the append, unique for this process.
        append: u64,
        /// Number of the newest era seen; the log refuses the append in another one.
        #[serde(default, skip_serializing_if = "is_first_era")]
        era: u64,
        /// JSON text of each record.
        records: Vec<Name>,
    },
    /// Read the log.
    ReadLog {
        /// Stream to read.
        stream: LogStream,
        /// First offset to read.
        from: Offset,
        /// Longest time that the log may hold the read open while there is no record.
        wait: Duration,
    },
    /// Read the platform's list of VMs.
    FetchVmList,
    /// Add to a counter.
    Count(Counter),
    /// Log a state change.
    Note(Notice),
    /// Record a trace span for a step of a caller's request.
    Trace {
        /// The step.
        step: TracedStep,
        /// Span context of the caller's request.
        traceparent: Name,
    },
    /// Use the configuration that came into force for new callers, see [`crate::Node::site_config`].
    ConfigInForce {
        /// Revision of the base.
        base: Offset,
        /// Revision of this site's overlay.
        overlay: Option<Offset>,
    },
    /// Set whether the readiness path reports the VM as ready.
    SetReady(bool),
    /// Exit with status 0: all work in progress is done.
    Exit,
}

/// A traced step of a caller's request that the reducer itself performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TracedStep {
    /// The shard's owner decides on a placement.
    Place,
}

impl TracedStep {
    /// Returns the name of the step's span.
    pub fn name(self) -> &'static str {
        match self {
            Self::Place => "place",
        }
    }
}

/// Address of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the VM.
    pub vm: Name,
    /// Where it listens to peers.
    pub address: SocketAddr,
}

/// A command to a prefill engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillCommand {
    /// The attempt.
    pub attempt: AttemptId,
    /// Call whose prompt is sent.
    pub call: CallId,
    /// The engine.
    pub endpoint: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Number of tokens already delivered; their text is sent after the prompt.
    pub delivered_tokens: u32,
    /// Priority for the engine's queue; lower runs first.
    pub priority: i32,
}

/// A command to a decode engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeCommand {
    /// The attempt.
    pub attempt: AttemptId,
    /// Call whose prompt is sent.
    pub call: CallId,
    /// The engine.
    pub endpoint: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Number of tokens already delivered; their text is sent after the prompt.
    pub delivered_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Transfer parameters from the prefill engine, as JSON text.
    pub transfer: Name,
    /// Priority for the engine's queue; lower runs first.
    pub priority: i32,
}

/// A command to call a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCommand {
    /// Call whose method, path, headers and body are sent.
    pub call: CallId,
    /// Number of the router's attempt at this call, from 1.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Time allowed for the whole exchange.
    pub timeout: Duration,
    /// Idempotency key to pass on; set for a non-idempotent call.
    pub key: Option<IdempotencyKey>,
}

/// Returns whether the log was never restored, as far as this VM has seen.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
fn is_first_era(era: &u64) -> bool {
    *era == 0
}
