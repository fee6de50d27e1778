//! Messages between arbutusfall's own processes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::IdempotencyKey;
use crate::Incarnation;
use crate::Name;
use crate::Offset;
use crate::Outcome;
use crate::RequestId;
use crate::Sender;

/// Messages from one process to another, in the order in which they were sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Who sent them.
    pub sender: Sender,
    /// At least one message, except in tests.
    pub messages: Vec<PeerMessage>,
}

/// One message to a peer.
///
/// Delivery is at most once and unordered: whoever waits for a reply sets a timer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Entry VM to shard owner: place a request.
    Place(PlaceRequest),
    /// Shard owner to entry VM: where the request runs, or when to come back.
    Placed(PlaceReply),
    /// Entry VM to shard owner: grants still in use, and those that ended.
    GrantReport(GrantReport),
    /// Entry VM to partition owner: claim a key.
    Claim(ClaimRequest),
    /// Partition owner to entry VM: what the log says of the key.
    Claimed(ClaimReply),
    /// Claim winner to partition owner: record what became of a key.
    RecordOutcome(RecordOutcome),
    /// Entry VM to the winner of a claim: what became of the key?
    AskOutcome(AskOutcome),
    /// Winner of a claim to the VM that asked.
    TellOutcome(TellOutcome),
    /// Ask for configuration newer than the sender's.
    PullConfig(PullConfig),
    /// Configuration in force at the sender.
    PushConfig(PushConfig),
    /// Is this process alive? Carries membership news.
    Probe(Probe),
    /// It is. Carries membership news.
    ProbeAck(Probe),
    /// Ask a third process to probe a silent one.
    ProbeFor(ProbeFor),
}

/// A part of one model's endpoints, small enough for one owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Model that the endpoints serve.
    pub model: Name,
    /// Index among the model's shards, from 0.
    pub index: u16,
}

/// What the owner must know of a request to place it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The caller's request.
    pub request: RequestId,
    /// Counts the placements that were asked for this request, from 1; replies to older ones are ignored.
    pub placement: u32,
    /// Shard that should hold it.
    pub shard: ShardId,
    /// Account that is charged, for fair shares.
    pub account: Name,
    /// Length of the prompt, with what was already generated when the stream is resumed.
    pub prompt_tokens: u32,
    /// Most tokens that may still be generated.
    pub max_output_tokens: u32,
    /// Chained hashes of the prompt's whole pieces, first piece first.
    pub piece_hashes: Vec<u64>,
    /// Time left until the first token is due; a resumed stream is placed even if it is late.
    pub first_token_budget: Duration,
    /// True when tokens were already delivered, so refusing would break a promise.
    pub resumed: bool,
    /// A prefill result that is still alive: only a decode slot is needed. Names the prefill endpoint.
    pub prefilled_on: Option<Name>,
    /// Endpoints that failed this request.
    pub avoid: Vec<Name>,
    /// Span context of the caller's request, as in a W3C `traceparent` header.
    pub traceparent: Option<Name>,
}

/// The owner's answer to a [`PlaceRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceReply {
    /// The caller's request.
    pub request: RequestId,
    /// Which of its placements is answered.
    pub placement: u32,
    /// Grant or refusal.
    pub decision: PlaceDecision,
}

/// What the owner decided.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlaceDecision {
    /// The request may run.
    Granted(Grant),
    /// The request would be late; it must not run.
    Refused {
        /// After this time a new try is expected to be placed.
        retry_after: Duration,
    },
}

/// Permission to use two endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Endpoint that computes the prompt's KV cache.
    pub prefill: Name,
    /// Endpoint that generates the tokens.
    pub decode: Name,
    /// Wait this long before the prefill is sent, so that its result meets a free slot.
    pub start_after: Duration,
    /// Time from the start of the prefill to the first token, as estimated.
    pub first_token_after: Duration,
    /// Tokens of the prompt that the prefill endpoint is believed to hold.
    pub cached_tokens: u32,
    /// The grant lapses unless it is reported within this time.
    pub lifetime: Duration,
}

/// Keeps grants alive and releases those that ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantReport {
    /// Shard that the grants belong to.
    pub shard: ShardId,
    /// Grants in use. An owner that does not know them adopts them.
    pub active: Vec<ActiveGrant>,
    /// Grants that ended since the last report.
    pub ended: Vec<EndedGrant>,
}

/// A grant that is in use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActiveGrant {
    /// The caller's request.
    pub request: RequestId,
    /// Endpoint that prefills, while the prefill is in progress.
    pub prefill: Option<Name>,
    /// Endpoint that holds the slot.
    pub decode: Name,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// Most tokens that may be generated in all.
    pub max_output_tokens: u32,
}

/// A grant that ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedGrant {
    /// The caller's request.
    pub request: RequestId,
    /// Which of its placements ended.
    pub placement: u32,
    /// How it ended.
    pub end: GrantEnd,
    /// Time from sending the prefill to its result, if there was one.
    pub prefill_took: Option<Duration>,
    /// Time from sending the decode to its first token, if there was one.
    pub transfer_took: Option<Duration>,
    /// Tokens of the prompt that the engine found in its cache, if it said so.
    pub cached_tokens: Option<u32>,
    /// Tokens generated under this grant.
    pub generated_tokens: u32,
}

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantEnd {
    /// The whole answer was generated.
    Finished,
    /// The caller went away or the deadline passed.
    Cancelled,
    /// The prefill endpoint failed.
    PrefillFailed,
    /// The KV cache did not reach the decode endpoint in time.
    TransferFailed,
    /// The decode endpoint failed.
    DecodeFailed,
}

/// Asks the partition owner to claim a key for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key that the caller chose.
    pub key: IdempotencyKey,
    /// The request that would execute.
    pub request: RequestId,
    /// Hash of what the caller asks for, by which another use of the same key is told from a repeat.
    pub fingerprint: u64,
}

/// What the log says of a key, read back after the claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// The request that asked.
    pub request: RequestId,
    /// What the log says.
    pub verdict: ClaimVerdict,
}

/// Who holds a key, by the order of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The request that asked holds the first claim.
    Won,
    /// Another request holds the first claim.
    Lost {
        /// VM by which the holder entered.
        vm: Name,
        /// The request that holds the claim.
        holder: RequestId,
        /// Hash of what the holder's caller asked for.
        fingerprint: u64,
        /// What became of it, if that is recorded.
        outcome: Option<Outcome>,
    },
    /// Nothing was offered to the log: it does not answer.
    LogUnavailable {
        /// When a new claim may be tried.
        retry_after: Duration,
    },
}

/// Asks the partition owner to append the outcome of a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordOutcome {
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// The request that holds the claim.
    pub request: RequestId,
    /// What became of it.
    pub outcome: Outcome,
}

/// Asks the holder of a claim what became of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AskOutcome {
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// The request that holds the claim.
    pub holder: RequestId,
    /// The request that waits for the answer.
    pub asker: RequestId,
}

/// Answers [`AskOutcome`] once the outcome is known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TellOutcome {
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// The request that waits for the answer.
    pub asker: RequestId,
    /// What became of the key.
    pub outcome: Outcome,
}

/// Asks a peer for configuration when the log does not answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PullConfig {
    /// First offset that the sender has not read; none when it has read nothing.
    pub next: Option<Offset>,
}

/// A peer's folded configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PushConfig {
    /// A [`crate::ConfigRecord::Snapshot`] as JSON text.
    pub snapshot_json: String,
}

/// A liveness probe and its acknowledgement, with membership news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Pairs an acknowledgement with its probe.
    pub sequence: u64,
    /// What the sender has lately learnt of other VMs.
    pub news: Vec<MemberNews>,
    /// Revision of the sender's configuration stream: the next offset it will read.
    pub config_next: Offset,
}

/// Asks a peer to probe another VM on the sender's behalf.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProbeFor {
    /// The VM that did not answer.
    pub target: Name,
    /// Sequence of the probe, to be used in the acknowledgement.
    pub sequence: u64,
}

/// What one process knows of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNews {
    /// VM that the news is about.
    pub vm: Name,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Raised by the VM itself to refute a false suspicion.
    pub refutation: u32,
    /// State that is claimed.
    pub state: MemberState,
}

/// State of a VM's process, as news ranks it: a later one overrides an earlier one of the same refutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer, directly or through others.
    Suspect,
    /// Takes no new work and will exit.
    Leaving,
    /// Gone.
    Dead,
}
