//! Typed form of a site's configuration: the base with the site's overlay merged in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Policy;

/// Everything that operators decide for one site.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// All sites of the deployment. An overlay cannot change it.
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

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// SHA-256 of the account's bearer key, in hexadecimal.
    pub key_sha256: Name,
    /// Requests that may be in progress at once at one VM.
    pub max_concurrent_requests: u32,
    /// Requests a second that may enter by one VM.
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
    /// Longest time to the first token.
    pub first_token_target_ms: u64,
    /// Longest time between tokens, for 95 in 100 tokens of a request.
    pub between_tokens_target_ms: u64,
    /// Bytes of prompt text for one token, for estimates.
    pub bytes_per_token: u32,
    /// Tokens of one piece of an engine's prefix cache.
    pub piece_tokens: u32,
    /// Prompt tokens that a prefill engine computes in a second.
    pub prefill_tokens_per_s: u32,
    /// Time from one token to the next in a full decode batch.
    pub decode_step_ms: u64,
    /// Size of the KV cache of one token.
    pub kv_bytes_per_token: u64,
    /// Time for which a prefill engine keeps a result that nobody fetched.
    pub prefill_result_lifetime_ms: u64,
    /// Most tokens that a request may ask for.
    pub max_output_tokens: u32,
    /// Longest prompt.
    pub max_prompt_tokens: u32,
    /// Most endpoints of one role in a pool shard.
    #[serde(default = "default_shard_endpoints")]
    pub max_endpoints_per_shard: u32,
    /// Rules of admission and placement.
    #[serde(default)]
    pub policy: Policy,
}

fn default_shard_endpoints() -> u32 {
    48
}

impl Model {
    /// Longest time to the first token.
    pub fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.first_token_target_ms)
    }

    /// Time from one token to the next in a full decode batch.
    pub fn decode_step(&self) -> Duration {
        Duration::from_millis(self.decode_step_ms)
    }

    /// Time for which a prefill engine keeps a result that nobody fetched.
    pub fn prefill_result_lifetime(&self) -> Duration {
        Duration::from_millis(self.prefill_result_lifetime_ms)
    }

    /// Time that a prefill engine needs for so many uncached tokens.
    pub fn prefill_time(&self, uncached_tokens: u32) -> Duration {
        Duration::from_secs_f64(
            f64::from(uncached_tokens) / f64::from(self.prefill_tokens_per_s.max(1)),
        )
    }

    /// Time that the KV cache of so many tokens needs on a link.
    pub fn transfer_time(&self, tokens: u32, link_bytes_per_s: u64) -> Duration {
        let bytes = u64::from(tokens) * self.kv_bytes_per_token;
        Duration::from_secs_f64(bytes as f64 / link_bytes_per_s.max(1) as f64)
    }
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its routes; the longest matching prefix is used.
    pub routes: Vec<Route>,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method, in capitals.
    pub method: Name,
    /// Prefix of the path, whole segments.
    pub path_prefix: Name,
    /// Whether a call may be repeated.
    pub semantics: Semantics,
    /// Time allowed for one try.
    pub timeout_ms: u64,
}

impl Route {
    /// Time allowed for one try.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Semantics {
    /// Repeating it does no harm.
    Idempotent,
    /// It must be executed at most once.
    NonIdempotent,
}

/// An engine or a plain service's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// What it does.
    pub role: Role,
    /// Model or service that it serves.
    pub serves: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Rate of its link to the other pool; 0 for a plain service.
    #[serde(default)]
    pub link_bytes_per_s: u64,
    /// Takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// What an endpoint does.
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
    /// Longest header section.
    pub max_header_bytes: u32,
    /// Longest body.
    pub max_body_bytes: u32,
    /// Time allowed for a request's headers and body to arrive.
    pub receive_timeout_ms: u64,
    /// Open connections of callers.
    pub max_connections: u32,
    /// Time allowed for a whole answer.
    pub answer_timeout_ms: u64,
    /// Retries that idempotent calls may add, as a share of the calls.
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
    /// Keys older than this are never dispatched.
    ///
    /// Invariant: with `max_key_skew_ms`, less than `retention_s`.
    pub window_s: u64,
    /// Time for which the log keeps records, as its operators promise.
    pub retention_s: u64,
    /// How far in the future a key may lie.
    pub max_key_skew_ms: u64,
    /// Appends that all partitions together make in a second, so that the log keeps room for others.
    ///
    /// Two owners of one partition may for a moment make twice as many.
    pub max_appends_per_s: u32,
    /// Streams over which keys are spread.
    ///
    /// Invariant: never changes, because a key's claims would then be looked for in another stream.
    pub partitions: u16,
    /// Time that a call waits for its claim.
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
    /// Interval at which the platform's list of VMs is read.
    pub vm_list_interval_ms: u64,
    /// Interval of liveness probes.
    pub probe_interval_ms: u64,
    /// Time in which a probe must be acknowledged.
    pub probe_timeout_ms: u64,
    /// Time for which a silent VM is suspected before it counts as dead.
    pub suspect_timeout_ms: u64,
    /// Time that an owner has to answer a placement.
    pub place_timeout_ms: u64,
    /// Interval at which grants are reported to their owner.
    pub grant_report_interval_ms: u64,
    /// Time after which a grant lapses that was not reported.
    pub grant_lifetime_ms: u64,
    /// Silence of an engine's stream after which a new connection is tried.
    pub engine_silence_ms: u64,
    /// Interval at which engines are asked which attempts they hold.
    pub sweep_interval_ms: u64,
    /// First delay before a failed request to the platform is retried; doubles up to 16 times as long.
    pub platform_retry_ms: u64,
    /// Longest time that the log may hold back a read that finds nothing new.
    pub log_wait_ms: u64,
    /// Interval at which the configuration is snapshotted to the log.
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
