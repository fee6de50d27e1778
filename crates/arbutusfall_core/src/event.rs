//! Everything that can happen to a node.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Payload;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::Sender;
use serde::Deserialize;
use serde::Serialize;

/// A caller's open request at this VM, numbered by whoever drives the reducer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// An input of the reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The process starts; the first event of every session.
    Started,
    /// The instant asked for by the last output has come.
    Tick,
    /// A caller asks for a completion.
    Completion(CompletionRequest),
    /// A caller calls a plain service.
    ServiceCall(ServiceCall),
    /// The caller's connection is gone.
    CallerGone {
        /// Call whose answer nobody waits for.
        call: CallId,
    },
    /// A peer sent a message.
    Peer {
        /// Process that sent it.
        from: Sender,
        /// The message.
        message: PeerMessage,
    },
    /// An engine did something.
    Engine(EngineEvent),
    /// A plain service answered or failed.
    Service(ServiceEvent),
    /// The platform's log answered or failed.
    Log(LogEvent),
    /// The platform's list of VMs.
    VmList(Vec<ListedVm>),
    /// The list could not be read.
    VmListFailed,
    /// The process was told to stop (SIGTERM).
    Terminate,
}

/// A caller's request for generated text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The caller's open request.
    pub call: CallId,
    /// Account, as found from the caller's key.
    pub account: Name,
    /// Model that is asked for.
    pub model: Name,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's whole pieces, first piece first.
    pub piece_hashes: Vec<u64>,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// Span context under which the request is traced.
    pub traceparent: Option<Name>,
}

/// A caller's request to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// The caller's open request.
    pub call: CallId,
    /// Account, as found from the caller's key.
    pub account: Name,
    /// HTTP method.
    pub method: Name,
    /// Path, without the query.
    pub path: Name,
    /// Value of the `idempotency-key` header, as sent.
    pub idempotency_key: Option<Name>,
    /// Value of the `arbutusfall-attempt` header; 1 says that the key was never sent before.
    pub attempt: Option<u32>,
    /// Hash of account, method, target and body.
    #[serde(default)]
    pub fingerprint: u64,
    /// Span context under which the request is traced.
    pub traceparent: Option<Name>,
}

/// Stage of a model request at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Computes the KV cache of the prompt.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// One use of an engine for one request; engines see it as the request's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The caller's request.
    pub request: RequestId,
    /// Placement under which the engine is used.
    pub placement: u32,
    /// What the engine is used for.
    pub stage: Stage,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stage = match self.stage {
            Stage::Prefill => 'p',
            Stage::Decode => 'd',
        };
        write!(f, "{}-{:x}-{stage}", self.request, self.placement)
    }
}

/// The text was not an [`AttemptId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseAttemptIdError;

impl fmt::Display for ParseAttemptIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a request id, a placement and a stage, joined by hyphens")
    }
}

impl std::error::Error for ParseAttemptIdError {}

impl FromStr for AttemptId {
    type Err = ParseAttemptIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (rest, stage) = text.rsplit_once('-').ok_or(ParseAttemptIdError)?;
        let (request, placement) = rest.rsplit_once('-').ok_or(ParseAttemptIdError)?;
        let stage = match stage {
            "p" => Stage::Prefill,
            "d" => Stage::Decode,
            _ => return Err(ParseAttemptIdError),
        };
        Ok(Self {
            request: request.parse().map_err(|_| ParseAttemptIdError)?,
            placement: u32::from_str_radix(placement, 16).map_err(|_| ParseAttemptIdError)?,
            stage,
        })
    }
}

/// What an engine did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineEvent {
    /// The prompt's KV cache is ready for transfer.
    PrefillDone {
        /// The engine's use.
        attempt: AttemptId,
        /// Transfer parameters for the decode engine, as JSON text.
        transfer: Name,
        /// Prompt tokens that were found in the engine's cache, if it says so.
        cached_tokens: Option<u32>,
    },
    /// Tokens were generated.
    Tokens {
        /// The engine's use.
        attempt: AttemptId,
        /// Index of the first of them among the tokens of this attempt, from 0.
        first_index: u32,
        /// Text of each token.
        texts: Vec<Name>,
    },
    /// The stream is complete.
    DecodeDone {
        /// The engine's use.
        attempt: AttemptId,
        /// Tokens that the attempt generated in all.
        generated_tokens: u32,
    },
    /// The engine did not do what it was asked for.
    Failed {
        /// The engine's use.
        attempt: AttemptId,
        /// Why.
        failure: EngineFailure,
    },
    /// The engine no longer holds the attempt.
    Cancelled {
        /// The engine's use.
        attempt: AttemptId,
    },
    /// The engine did not confirm a cancellation.
    CancelFailed {
        /// The engine's use.
        attempt: AttemptId,
    },
    /// Attempts that an engine holds.
    Active {
        /// The engine.
        endpoint: Name,
        /// What it holds.
        attempts: Vec<AttemptId>,
    },
    /// The engine did not list its attempts.
    ActiveFailed {
        /// The engine.
        endpoint: Name,
    },
    /// The engine's load, as it was a moment ago.
    Load {
        /// The engine.
        endpoint: Name,
        /// Requests that are running.
        running: u32,
        /// Requests that wait.
        queued: u32,
        /// Prompt tokens that wait to be prefilled.
        queued_tokens: u32,
    },
    /// Pieces that entered or left an engine's prefix cache, late and with gaps.
    CacheChanged {
        /// The engine.
        endpoint: Name,
        /// Number of the engine's next event; a jump shows that events were lost.
        next: u64,
        /// Hashes of pieces that were stored.
        stored: Vec<u64>,
        /// Hashes of pieces that were evicted.
        removed: Vec<u64>,
    },
}

/// Why an engine did not do what it was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFailure {
    /// No connection could be opened: the engine did nothing.
    Unreachable,
    /// The connection closed before the answer was complete.
    Closed,
    /// The engine refused the request.
    Rejected {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// The prefill's result was no longer there, or its transfer failed.
    TransferLost,
    /// The answer was not of the expected form.
    Malformed,
}

/// What became of a call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceEvent {
    /// The service answered.
    Answered {
        /// The caller's open request.
        call: CallId,
        /// Which try of the call.
        attempt: u32,
        /// The whole answer.
        answer: ServiceAnswer,
    },
    /// The service did not answer.
    Failed {
        /// The caller's open request.
        call: CallId,
        /// Which try of the call.
        attempt: u32,
        /// Whether any byte may have reached the service.
        sent: bool,
    },
}

/// A plain service's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header, empty when absent.
    pub content_type: Name,
    /// Body.
    pub body: Payload,
}

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// Configuration documents of all sites.
    Config,
    /// Claims of one partition of this site's keys.
    Claims(u16),
}

/// What the platform's log did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogEvent {
    /// Records were read.
    Read {
        /// Stream that was read.
        stream: LogStream,
        /// Where the read began.
        from: Offset,
        /// Oldest offset that the log still keeps.
        oldest: Offset,
        /// Offset that the next append will get.
        end: Offset,
        /// Records in order, none skipped between the first and the last.
        records: Vec<LogRecord>,
    },
    /// A read failed.
    ReadFailed {
        /// Stream that was read.
        stream: LogStream,
    },
    /// An append took effect.
    Appended {
        /// Stream that was appended to.
        stream: LogStream,
        /// Number that the append was given.
        append: u64,
    },
    /// An append failed.
    AppendFailed {
        /// Stream that was appended to.
        stream: LogStream,
        /// Number that the append was given.
        append: u64,
        /// Whether the log may have got it, so that it may take effect.
        offered: bool,
    },
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: Offset,
    /// Age of the record when it was read, by the log's own clock.
    pub age: Duration,
    /// JSON text.
    pub text: Name,
}

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: Name,
    /// Address at which its process listens to peers.
    pub peer_address: std::net::SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Site that the VM serves.
    pub site: Name,
    /// Whether the VM is about to go.
    pub leaving: bool,
}
