//! Messages between arbutusfall's processes.

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

/// Batch of messages from one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Process that sent the messages.
    pub sender: Sender,
    /// Messages in the order in which they were sent.
    pub messages: Vec<PeerMessage>,
}

/// One message to a peer.
///
/// Delivery is at most once and unordered, so a process that waits for a reply sets a timer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Entry VM to shard owner: place a request.
    Place(PlaceRequest),
    /// Shard owner to entry VM: endpoints to run the request on, or the time after which to retry.
    PlaceReply(PlaceReply),
    /// Entry VM to shard owner: grants to renew, or grants that ended.
    GrantReport(GrantReport),
    /// Entry VM to partition owner: claim a key.
    Claim(ClaimRequest),
    /// Partition owner to entry VM: result of a claim.
    ClaimReply(ClaimReply),
    /// Claim holder to partition owner: record the outcome of a key.
    RecordOutcome(RecordOutcome),
    /// Entry VM to claim holder: request the outcome of a key.
    OutcomeRequest(OutcomeRequest),
    /// Claim holder to the requesting VM: the outcome of a key.
    OutcomeReply(OutcomeReply),
    /// Request for configuration newer than the sender's.
    PullConfig(PullConfig),
    /// Configuration in force at the sender.
    PushConfig(PushConfig),
    /// Liveness probe; carries membership updates.
    Probe(Probe),
    /// Acknowledgement of a probe; carries membership updates.
    ProbeAck(Probe),
    /// Request to probe another VM that did not answer the sender's probe.
    IndirectProbe(IndirectProbe),
}

/// Id of a shard: a subset of one model's endpoints, small enough for one owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Model that the endpoints serve.
    pub model: Name,
    /// Index among the model's shards, from 0.
    pub index: u16,
}

/// Request to the shard owner to place a caller's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The caller's request.
    pub request: RequestId,
    /// Number of this placement of the request, from 1; replies to older placements are ignored.
    pub placement: u32,
    /// Shard to place the request in.
    pub shard: ShardId,
    /// Account that the placement is charged to, for fair sharing between accounts.
    pub account: Name,
    /// Length of the prompt in tokens, including the tokens already generated if the answer is continued.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that may still be generated.
    pub max_output_tokens: u32,
    /// Chained hashes of the prompt's complete pieces, in order.
    pub piece_hashes: Vec<u64>,
    /// Time left until the first token is due; a continued answer is placed even if it is late.
    pub first_token_budget: Duration,
    /// Whether tokens were already delivered; a refusal would then break an answer that has started.
    pub resumed: bool,
    /// Prefill endpoint that still holds the request's prefill result, so that only a decode slot is needed.
    pub prefilled_on: Option<Name>,
    /// Endpoints to avoid because they failed this request.
    pub avoid: Vec<Name>,
    /// Span context of the caller's request, as in a W3C `traceparent` header.
    pub traceparent: Option<Name>,
}

/// The shard owner's reply to a [`PlaceRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceReply {
    /// The caller's request.
    pub request: RequestId,
    /// Number of the placement that this replies to.
    pub placement: u32,
    /// Grant or refusal.
    pub decision: PlaceDecision,
}

/// Decision on a placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlaceDecision {
    /// The request may run.
    Granted(Grant),
    /// The request would miss its latency target and must not run.
    Refused {
        /// Time after which a retry is expected to be placed.
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
    /// Delay before the prefill is sent, so that a decode slot is free when its result is ready.
    pub start_after: Duration,
    /// Estimated time from sending the prefill to the first token, including queueing; with a reused prefill result,
    /// from sending the decode.
    pub first_token_after: Duration,
    /// Prompt tokens that the prefill endpoint is estimated to have cached.
    pub cached_tokens: u32,
    /// Time within which the grant must be reported; otherwise it expires.
    pub lifetime: Duration,
}

/// Report that renews grants in use or releases ended ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantReport {
    /// Shard that the grants belong to.
    pub shard: ShardId,
    /// Grants to renew; a grant that is missing here is not released. The owner adds grants that it does not know.
    pub active: Vec<ActiveGrant>,
    /// Grants that ended. The entry VM sends them as soon as they end, in a report without active grants.
    pub ended: Vec<EndedGrant>,
}

/// A grant that is in use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActiveGrant {
    /// The caller's request.
    pub request: RequestId,
    /// Endpoint that prefills, while the prefill is in progress.
    pub prefill: Option<Name>,
    /// Endpoint whose decode slot is in use.
    pub decode: Name,
    /// Length of the caller's prompt, in tokens.
    pub prompt_tokens: u32,
    /// Tokens generated so far for the whole answer.
    pub generated_tokens: u32,
    /// Maximum number of tokens of the whole answer.
    pub max_output_tokens: u32,
}

/// A grant that ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedGrant {
    /// The caller's request.
    pub request: RequestId,
    /// Number of the placement that ended.
    pub placement: u32,
    /// How it ended.
    pub end: GrantEnd,
    /// Time from sending the prefill to its result, if there was one.
    pub prefill_took: Option<Duration>,
    /// Time from sending the decode to its first token, if there was one.
    pub transfer_took: Option<Duration>,
    /// Prompt tokens that the engine found in its cache; `None` if it did not report them.
    pub cached_tokens: Option<u32>,
    /// Tokens generated under this grant.
    pub generated_tokens: u32,
}

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantEnd {
    /// The whole answer was generated.
    Finished,
    /// The caller disconnected, the answer timeout passed or the placement was abandoned.
    Cancelled,
    /// The prefill endpoint failed.
    PrefillFailed,
    /// The decode endpoint could not fetch the KV cache, or was silent before the first token.
    TransferFailed,
    /// The decode endpoint failed.
    DecodeFailed,
}

/// Request to the partition owner to claim a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key sent by the caller.
    pub key: IdempotencyKey,
    /// The request that may call the service if the claim wins.
    pub request: RequestId,
    /// Hash of the caller's request, which distinguishes a retry from reuse of the key for a different request.
    pub fingerprint: u64,
}

/// Reply to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Key that the request tried to claim.
    pub key: IdempotencyKey,
    /// The request that tried to claim the key.
    pub request: RequestId,
    /// Result of the claim.
    pub verdict: ClaimVerdict,
}

/// Result of a claim; the first claim in log order holds the key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claiming request holds the key.
    Won,
    /// Another request holds the key, or the key is too old to be claimed.
    ///
    /// For a key that is too old, `holder` is the claiming request itself and the outcome is unknown.
    Lost {
        /// VM through which the holder's request entered.
        vm: Name,
        /// The request that holds the claim.
        holder: RequestId,
        /// Hash of the holder's request, as in [`ClaimRequest::fingerprint`].
        fingerprint: u64,
        /// Outcome of the key, if it is recorded.
        outcome: Option<Outcome>,
    },
    /// The claim was not sent to the log, because the log does not answer or too many claims are waiting.
    LogUnavailable {
        /// Time after which the claim may be retried.
        retry_after: Duration,
    },
}

/// Request to the partition owner to append the outcome of a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordOutcome {
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// The request that holds the claim.
    pub request: RequestId,
    /// Outcome of the key.
    pub outcome: Outcome,
}

/// Request to a claim's holder for the outcome of its key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// The request that holds the claim.
    pub holder: RequestId,
    /// The request that waits for the outcome.
    pub requester: RequestId,
}

/// Reply to [`OutcomeRequest`], sent once the outcome is known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutcomeReply {
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// The request that waits for the outcome.
    pub requester: RequestId,
    /// Outcome of the key.
    pub outcome: Outcome,
}

/// Request to a peer for configuration, sent when the log does not answer or no longer keeps the next record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PullConfig {
    /// First offset that the sender has not read; a sender that has read nothing may also send `None`.
    pub next: Option<Offset>,
}

/// Configuration that a peer has read, as a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PushConfig {
    /// A [`crate::ConfigRecord::Snapshot`] as JSON text.
    pub snapshot_json: String,
}

/// A liveness probe or its acknowledgement, with membership updates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Number that matches an acknowledgement to its probe.
    pub sequence: u64,
    /// Recent membership updates known to the sender.
    pub member_updates: Vec<MemberUpdate>,
    /// First offset of the configuration stream that the sender has not applied.
    pub next_config_offset: Offset,
}

/// Request to a peer to probe another VM on the sender's behalf.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IndirectProbe {
    /// The VM that did not answer.
    pub target: Name,
    /// Number of the sender's probe, repeated in the acknowledgement.
    pub sequence: u64,
}

/// Membership update: state of a VM's process as known to the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// VM that the update is about.
    pub vm: Name,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Version that orders updates about a VM: incremented by the VM itself to refute a suspicion, and by any VM that
    /// sees a new incarnation.
    pub update_version: u32,
    /// State reported by the update.
    pub state: MemberState,
}

/// State of a VM's process. Among updates with the same incarnation and version, a later variant overrides an earlier
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Answered neither a direct probe nor an indirect one.
    Suspect,
    /// Takes no new work and will exit.
    Leaving,
    /// Has exited or failed.
    Dead,
}
