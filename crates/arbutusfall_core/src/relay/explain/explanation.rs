//! What an explanation says. Its fields are named like those of log lines.

use arbutusfall_wire::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Role;
use crate::relay::Exclusion;

/// Where a request would be routed now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// What the decision depends on.
    #[serde(flatten)]
    pub request: ExplainedRequest,
    /// What becomes of the request.
    pub decision: ExplainedDecision,
}

/// What the decision on a request depends on, before it is made.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ExplainedRequest {
    /// Version of the configuration that applies; none before the first.
    pub config_version: Option<u64>,
    /// Route of the request; none before the first configuration.
    pub route: Option<Name>,
    /// Service picked from the route's services, at random by weight if there are several; none if the request is refused before.
    pub service: Option<Name>,
    /// Account that the request is served for; none on routes without accounts.
    pub account: Option<Name>,
    /// Priority of the request, 0 first; none if the request is refused before it has one.
    pub priority: Option<u8>,
    /// Requests that wait at this VM for the same thing: memory of engines, or the limit of the service or its endpoints.
    pub waiting: usize,
    /// Reservations that this VM expects to be granted, per second; none for plain requests.
    pub grants_per_s: Option<f64>,
    /// Endpoints of the service.
    pub candidates: Vec<CandidateEndpoint>,
    /// Quota of the account; none if the request uses none.
    pub quota: Option<ExplainedQuota>,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ExplainedDecision {
    /// It is sent, or has been sent and is not answered yet.
    Sent {
        /// Endpoint, or the VM that the request is forwarded to.
        instance: Name,
        /// Work requested of it.
        work: Name,
        /// Time since it was sent; none if it would be sent now.
        sent_ms: Option<u64>,
        /// Whether the request is held back until the endpoint list, which is overdue, has been read again.
        is_list_overdue: bool,
    },
    /// It waits.
    Waiting {
        /// What it waits for.
        reason: WaitReason,
        /// Requests that are sent before it; none if it waits in no queue.
        ahead: Option<usize>,
        /// Longest time for which it waits.
        at_most_ms: u64,
    },
    /// It is refused.
    Refused {
        /// HTTP status; none if its stream has begun and is broken off.
        status: Option<u16>,
        /// Kind of problem, the last part of the type URI in the answer; none if its stream has begun.
        problem: Option<Name>,
        /// Reason, as in the log line `given_up`.
        reason: Name,
        /// Retry delay sent to the caller, if any.
        retry_after_ms: Option<u64>,
    },
    /// It came from another VM and is handed back to it.
    Declined,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Tokens of its account's quota.
    Quota,
    /// Memory and a slot of a decode engine.
    DecodeMemory,
    /// A prefill engine that can prefill it in time.
    Prefill,
    /// Proof that an engine's process is the listed one.
    ProcessCheck,
    /// The limits that endpoints named.
    EndpointLimit,
    /// The limit of a plain service whose endpoints reject requests.
    ServiceLimit,
    /// The end of a rest that an endpoint asked for.
    Rest,
    /// Endpoints that can be connected to again.
    Reach,
    /// The software version that began the stream.
    StreamOrigin,
}

impl WaitReason {
    /// Returns the name in explanations.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quota => "quota",
            Self::DecodeMemory => "decode_memory",
            Self::Prefill => "prefill",
            Self::ProcessCheck => "process_check",
            Self::EndpointLimit => "endpoint_limit",
            Self::ServiceLimit => "service_limit",
            Self::Rest => "rest",
            Self::Reach => "reach",
            Self::StreamOrigin => "stream_origin",
        }
    }
}

/// An endpoint of the request's service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateEndpoint {
    /// Instance.
    pub instance: Name,
    /// Role in the list.
    pub role: Role,
    /// Version of its software; empty if it is not listed.
    pub version: Name,
    /// Whether the request would be sent to it now.
    pub is_selected: bool,
    /// Why it is excluded; none if it is available. If none is available, one that is `avoided`, `returning`, `changing_role` or
    /// `full` may be selected.
    pub reason: Option<Exclusion>,
    /// Time after which the reason ends, if it is known.
    pub for_ms: Option<u64>,
    /// This VM's exchanges in flight.
    pub in_flight: u32,
    /// Engine memory allocated to this VM's requests, in tokens.
    pub allocated_tokens: u64,
    /// Running mean of the time to an answer or a stream's first event; none before the first.
    pub latency_ms: Option<u64>,
}

/// Quota of an account as far as this VM knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedQuota {
    /// What is counted: `tokens` or `requests`.
    pub unit: Name,
    /// Units a second, over all VMs together.
    pub rate_per_s: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Units that the request uses.
    pub cost: f64,
    /// Units that this VM has leased and not used.
    pub leased: f64,
    /// Units that are left for all VMs; none unless this VM owns the account.
    pub left: Option<f64>,
    /// VM that granted units last, if that was not long ago.
    pub owner: Option<Name>,
    /// Time for which the owner has no more units; zero if it may have some.
    pub refused_ms: u64,
    /// Requests of the account that wait for units here.
    pub waiting: usize,
}
