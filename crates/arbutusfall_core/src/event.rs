//! Events: the inputs of the reducer.

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

/// Id of a caller's open HTTP request at this VM, assigned by the reducer's driver.
///
/// It is used only between the driver and the reducer; peers and engines identify the request by its [`RequestId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// An input of the reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The process starts; the first event of every session.
    Started,
    /// The last output's [`crate::Output::wake_at`] was reached.
    Tick,
    /// A caller requests a completion.
    Completion(CompletionRequest),
    /// A caller calls a plain service.
    ServiceCall(ServiceCall),
    /// The caller's connection closed.
    CallerGone {
        /// Call that was open on the connection.
        call: CallId,
    },
    /// A peer sent a message.
    Peer {
        /// Process that sent it.
        from: Sender,
        /// The message.
        message: PeerMessage,
    },
    /// An engine answered, failed or reported its state.
    Engine(EngineEvent),
    /// A plain service answered or failed.
    Service(ServiceEvent),
    /// The platform's log answered or failed.
    Log(LogEvent),
    /// The platform's list of VMs was read.
    VmList(Vec<ListedVm>),
    /// The platform's list of VMs could not be read.
    VmListFailed,
    /// The process received SIGTERM.
    Terminate,
}

/// A caller's request for generated text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Call to answer.
    pub call: CallId,
    /// Account that the caller's key belongs to.
    pub account: Name,
    /// Requested model.
    pub model: Name,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's complete pieces, in order.
    pub piece_hashes: Vec<u64>,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Span context under which the request is traced.
    pub traceparent: Option<Name>,
}

/// A caller's request to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Call to answer.
    pub call: CallId,
    /// Account that the caller's key belongs to.
    pub account: Name,
    /// HTTP method.
    pub method: Name,
    /// Path, without the query.
    pub path: Name,
    /// Value of the `idempotency-key` header, as sent.
    pub idempotency_key: Option<Name>,
    /// Number of the caller's attempt, from the `arbutusfall-attempt` header; 1 means that the key was never sent
    /// before.
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

/// Id of one use of an engine for one request; sent to the engine as the request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The caller's request.
    pub request: RequestId,
    /// Placement under which the engine is used.
    pub placement: u32,
    /// Stage that the engine runs.
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

/// Error for text that is not an [`AttemptId`].
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

/// An engine's answer, failure or state report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineEvent {
    /// The prompt's KV cache is ready for transfer.
    PrefillDone {
        /// The attempt.
        attempt: AttemptId,
        /// Transfer parameters for the decode engine, as JSON text.
        transfer: Name,
        /// Prompt tokens found in the engine's cache; `None` if the engine does not report them.
        cached_tokens: Option<u32>,
    },
    /// Tokens were generated.
    Tokens {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first token within this attempt, from 0.
        first_index: u32,
        /// Text of each token.
        texts: Vec<Name>,
    },
    /// The stream is complete.
    DecodeDone {
        /// The attempt.
        attempt: AttemptId,
        /// Total number of tokens that the attempt generated.
        generated_tokens: u32,
    },
    /// The attempt failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Cause of the failure.
        failure: EngineFailure,
    },
    /// The engine no longer holds the attempt.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The engine did not confirm a cancellation.
    CancelFailed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An engine listed the attempts that it holds.
    AttemptsListed {
        /// The engine.
        endpoint: Name,
        /// Attempts that it holds.
        attempts: Vec<AttemptId>,
    },
    /// The engine did not list its attempts.
    ListAttemptsFailed {
        /// The engine.
        endpoint: Name,
    },
    /// An engine's load, which may be slightly out of date.
    Load {
        /// The engine.
        endpoint: Name,
        /// Running requests.
        running: u32,
        /// Queued requests.
        queued: u32,
        /// Prompt tokens queued for prefill.
        queued_tokens: u32,
    },
    /// Pieces that entered or left an engine's prefix cache; may arrive late, and events may be lost.
    CacheChanged {
        /// The engine.
        endpoint: Name,
        /// Number of the first event that this read did not return. It is lower than in an earlier read if the engine
        /// restarted; lost events are not detected.
        next: u64,
        /// Hashes of pieces that were stored.
        stored: Vec<u64>,
        /// Hashes of pieces that were evicted.
        removed: Vec<u64>,
    },
}

/// Cause of an attempt's failure at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFailure {
    /// No connection could be opened, so the engine did nothing.
    Unreachable,
    /// The connection closed before the answer was complete.
    Closed,
    /// The engine refused the request.
    Rejected {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// The prefill's result no longer existed, or its transfer failed.
    TransferLost,
    /// The answer did not have the expected format.
    Malformed,
}

/// Result of a call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceEvent {
    /// The service answered.
    Answered {
        /// Call that the service was called for.
        call: CallId,
        /// Number of the router's attempt at this call, from 1.
        attempt: u32,
        /// The complete answer.
        answer: ServiceAnswer,
    },
    /// The service did not answer.
    Failed {
        /// Call that the service was called for.
        call: CallId,
        /// Number of the router's attempt at this call, from 1.
        attempt: u32,
        /// Whether any byte may have reached the service.
        sent: bool,
    },
}

/// A plain service's complete answer.
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

/// Era of the platform's log: the time between two restores of the log from older copies.
///
/// An offset is unique within one era only, because a restored log gives out the offsets of lost records again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEra {
    /// Number that rises with each restore; 0 before the first, or if the log doesn't state it.
    pub number: u64,
    /// Time since the restore, by the clock that also determines the ages of the records of the same answer.
    pub age: Duration,
}

impl LogEra {
    /// Returns whether the log was never restored, as far as it states.
    pub fn is_first(&self) -> bool {
        self.number == 0
    }

    /// Returns whether a record of the same answer was appended after the restore, or may have been at the same instant.
    pub fn is_after_restore(&self, record: &LogRecord) -> bool {
        !self.is_first() && record.age <= self.age
    }
}

/// Result of a read from or an append to the platform's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogEvent {
    /// Records were read.
    Read {
        /// Stream that was read.
        stream: LogStream,
        /// Era in which the log answered.
        #[serde(default, skip_serializing_if = "LogEra::is_first")]
        era: LogEra,
        /// Offset at which the read began.
        from: Offset,
        /// Oldest offset that the log still keeps.
        oldest: Offset,
        /// Offset that the next append will get.
        end: Offset,
        /// Records in order, without gaps.
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
        /// Number of the append, as in [`crate::Effect::Append`].
        append: u64,
    },
    /// An append failed.
    AppendFailed {
        /// Stream that was appended to.
        stream: LogStream,
        /// Number of the append, as in [`crate::Effect::Append`].
        append: u64,
        /// Whether the log may have received the append, so that it may still take effect.
        may_have_taken_effect: bool,
    },
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: Offset,
    /// Age of the record when it was read, by the log's clock.
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
    /// Whether the VM will be removed soon; it is then treated like a VM that drains.
    pub leaving: bool,
}
