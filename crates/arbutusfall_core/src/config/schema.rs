//! Typed configuration of a site: the base with the site's overlay merged in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Policy;

/// Configuration of one site, set by its operators.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// All sites of the deployment. An overlay cannot change this list.
    #[serde(default)]
    pub sites: BTreeSet<Name>,
    /// Data centres in which the site's endpoints run.
    #[serde(default)]
    pub data_centres: BTreeSet<Name>,
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<Name, Account>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<Name, Model>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<Name, Service>,
    /// Endpoints by name.
    ///
    /// Invariant: each serves a model or a service of this configuration, in one of its data centres.
    #[serde(default)]
    pub endpoints: BTreeMap<Name, Endpoint>,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Claims of non-idempotent requests.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Intervals and timeouts between processes.
    #[serde(default)]
    pub timing: Timing,
}

impl SiteConfig {
    /// Returns the address of an endpoint, if it is configured.
    pub(crate) fn address_of(&self, endpoint: &Name) -> Option<SocketAddr> {
        self.endpoints.get(endpoint).map(|found| found.address)
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// SHA-256 of the account's bearer key, in hexadecimal.
    pub key_sha256: Name,
    /// Concurrent requests allowed at one VM.
    pub max_concurrent_requests: u32,
    /// Requests per second allowed at one VM.
    pub max_requests_per_s: u32,
    /// Share of a contended pool, relative to other accounts.
    #[serde(default = "default_share")]
    pub share: u32,
}

fn default_share() -> u32 {
    1
}

/// A language model with a prefill and a decode pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Target for the time to the first token.
    pub first_token_target_ms: u64,
    /// Target for the time between tokens, met if 95 % of a request's gaps are within it. Admission and placement do
    /// not use it.
    pub between_tokens_target_ms: u64,
    /// Bytes of prompt text per token, for estimates.
    pub bytes_per_token: u32,
    /// Tokens per piece (block) of an engine's prefix cache.
    pub piece_tokens: u32,
    /// Prompt tokens that a prefill engine computes per second.
    pub prefill_tokens_per_s: u32,
    /// Time from one token to the next in a full decode batch.
    pub decode_step_ms: u64,
    /// Size of the KV cache per token.
    pub kv_bytes_per_token: u64,
    /// Time for which a prefill engine keeps a result that is not fetched.
    pub prefill_result_lifetime_ms: u64,
    /// Maximum number of output tokens that a request may ask for.
    pub max_output_tokens: u32,
    /// Longest prompt, in tokens.
    pub max_prompt_tokens: u32,
    /// Maximum number of endpoints of one role in a pool shard.
    #[serde(default = "default_max_endpoints_per_shard")]
    pub max_endpoints_per_shard: u32,
    /// Rules of admission and placement.
    #[serde(default)]
    pub policy: Policy,
}

fn default_max_endpoints_per_shard() -> u32 {
    48
}

impl Model {
    /// Returns the target for the time to the first token.
    pub fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.first_token_target_ms)
    }

    /// Returns the time from one token to the next in a full decode batch.
    pub fn decode_step(&self) -> Duration {
        Duration::from_millis(self.decode_step_ms)
    }

    /// Returns the time for which a prefill engine keeps a result that is not fetched.
    pub fn prefill_result_lifetime(&self) -> Duration {
        Duration::from_millis(self.prefill_result_lifetime_ms)
    }

    /// Returns the time that a prefill engine needs for a number of uncached tokens.
    pub fn prefill_time(&self, uncached_tokens: u32) -> Duration {
        Duration::from_secs_f64(
            f64::from(uncached_tokens) / f64::from(self.prefill_tokens_per_s.max(1)),
        )
    }

    /// Returns the time that a link needs to transfer the KV cache of a number of tokens.
    pub fn transfer_time(&self, tokens: u32, link_bytes_per_s: u64) -> Duration {
        let bytes = u64::from(tokens) * self.kv_bytes_per_token;
        Duration::from_secs_f64(bytes as f64 / link_bytes_per_s.max(1) as f64)
    }
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Routes; the longest matching path prefix wins.
    pub routes: Vec<Route>,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method in uppercase.
    pub method: Name,
    /// Path prefix that matches whole segments.
    pub path_prefix: Name,
    /// Whether a call may be repeated.
    pub semantics: Semantics,
    /// Timeout of one attempt.
    pub timeout_ms: u64,
}

impl Route {
    /// Returns the timeout of one attempt.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Semantics {
    /// The call may be repeated.
    Idempotent,
    /// The call must be executed at most once.
    NonIdempotent,
}

/// An engine or a plain service's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// Kind of work.
    pub role: Role,
    /// Model or service that it serves.
    pub serves: Name,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Bandwidth of its link to the other pool; 0 for a plain service.
    #[serde(default)]
    pub link_bytes_per_s: u64,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Whether it refuses commands with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Kind of work of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes KV caches of prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Answers plain calls.
    Plain,
}

/// Limits on callers' requests at one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of the header section.
    pub max_header_bytes: u32,
    /// Maximum size of the body.
    pub max_body_bytes: u32,
    /// Time allowed for a request's headers to arrive, and again for its body.
    pub receive_timeout_ms: u64,
    /// Maximum number of open caller connections.
    pub max_connections: u32,
    /// Time allowed for a complete answer.
    pub answer_timeout_ms: u64,
    /// Retry budget of idempotent calls, as a percentage of the calls.
    pub retry_budget_percent: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            receive_timeout_ms: 5_000,
            max_connections: 2_000,
            answer_timeout_ms: 120_000,
            retry_budget_percent: 10,
        }
    }
}

/// Claims of non-idempotent requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Maximum age of an idempotency key; requests with an older key are never executed.
    ///
    /// Invariant: `window_s` plus `max_key_skew_ms` is less than `retention_s`.
    pub window_s: u64,
    /// Time for which the operators of the log guarantee to keep its records.
    pub retention_s: u64,
    /// How far in the future a key's time may be.
    pub max_key_skew_ms: u64,
    /// Maximum number of appends per second to all claim partitions together, so that other writers also get
    /// log capacity.
    ///
    /// While two VMs both act as owner of a partition, its share of the limit may be used twice.
    pub max_appends_per_s: u32,
    /// Number of streams over which keys are partitioned.
    ///
    /// Invariant: never changes, because a key's claims would then be looked up in another stream.
    pub partitions: u16,
    /// Time for which a call waits for its claim.
    pub claim_timeout_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            window_s: 24 * 3600,
            retention_s: 48 * 3600,
            max_key_skew_ms: 5_000,
            max_appends_per_s: 300,
            partitions: 16,
            claim_timeout_ms: 2_000,
        }
    }
}

/// Intervals and timeouts between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between reads of the platform's list of VMs.
    pub vm_list_interval_ms: u64,
    /// Interval between liveness probes.
    pub probe_interval_ms: u64,
    /// Time within which a probe must be acknowledged.
    pub probe_timeout_ms: u64,
    /// Time for which a silent VM is suspected before it counts as dead.
    pub suspect_timeout_ms: u64,
    /// Time that an owner has to answer a placement.
    pub place_timeout_ms: u64,
    /// Interval at which grants are reported to their owner.
    pub grant_report_interval_ms: u64,
    /// Time after which an unreported grant expires.
    pub grant_lifetime_ms: u64,
    /// Time without data on an engine's stream after which a new connection is opened.
    pub engine_silence_ms: u64,
    /// Interval at which engines are asked for their active attempts.
    pub sweep_interval_ms: u64,
    /// Initial backoff after a failed request to the platform; doubles up to 16 times this value.
    pub platform_retry_ms: u64,
    /// Longest time for which the log may delay its answer to a read that finds no new records.
    pub log_wait_ms: u64,
    /// Interval between configuration snapshots on the log.
    pub snapshot_interval_s: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            vm_list_interval_ms: 1_000,
            probe_interval_ms: 500,
            probe_timeout_ms: 150,
            suspect_timeout_ms: 1_000,
            place_timeout_ms: 100,
            grant_report_interval_ms: 1_000,
            grant_lifetime_ms: 4_000,
            engine_silence_ms: 500,
            sweep_interval_ms: 1_000,
            platform_retry_ms: 100,
            log_wait_ms: 5_000,
            snapshot_interval_s: 3_600,
        }
    }
}
