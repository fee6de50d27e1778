//! Two sample sites, those of Vitosha Print Systems and Rinnovo Volo, with the configuration documents and engine
//! options derived from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::engine::EngineOptions;

/// Bytes of prompt text per token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// Tokens per piece of an engine's prefix cache.
pub(crate) const PIECE_TOKENS: usize = 2_000;

/// Maximum number of requests in an engine's batch.
pub(crate) const SLOTS: usize = 20;

/// Time between tokens in a full batch.
pub(crate) const DECODE_STEP_MS: f64 = 25.0;

/// Time for which an engine stores a prefill result that is not fetched.
const RESULT_LIFETIME_MS: u64 = 700;

/// Description of a sample site: number of engines, model, paths, policy weights and traffic.
#[derive(Debug, Clone)]
pub struct SiteSpec {
    /// Name of the site.
    pub name: &'static str,
    /// Data centres of the site.
    pub data_centres: &'static [&'static str],
    /// Name of the site's model.
    pub model: &'static str,
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// Number of decode engines.
    pub decode_engines: usize,
    /// Name of the site's plain service.
    pub service: &'static str,
    /// Number of processes of the plain service.
    pub service_processes: usize,
    /// Path prefix of calls that must not be executed twice.
    pub non_idempotent_path: &'static str,
    /// Path prefix of calls that may be executed more than once.
    pub idempotent_path: &'static str,
    /// Weight of a request that meets both latency targets.
    pub goodput_weight: f64,
    /// Weight of a prefill whose result is discarded.
    pub wasted_prefill_weight: f64,
    /// API key of the site's client account, sent as a bearer token.
    pub key: &'static str,
    /// Prompt tokens that an engine prefills per second.
    pub prefill_tokens_per_s: u32,
    /// Size of the KV cache per token.
    pub kv_bytes_per_token: u64,
    /// Transfer rate of each engine's link.
    pub link_bytes_per_s: u64,
    /// Distribution of the callers' requests.
    pub traffic: Traffic,
}

/// Parameters from which the requests of a workload are generated. Lengths are log-uniform between their minimum and
/// maximum.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Number of shared prefixes of prompts, such as shop templates or logbooks.
    pub shared_prefixes: usize,
    /// Minimum and maximum length of a shared prefix, in tokens.
    pub shared_prefix_tokens: (usize, usize),
    /// Exponent of the power law by which a shared prefix's popularity falls with its rank.
    pub popularity_exponent: f64,
    /// Percentage of prompts that begin with a shared prefix.
    pub with_shared_prefix_percent: u32,
    /// Minimum and maximum length of the part of a prompt that is not shared, in tokens.
    pub unique_tokens: (usize, usize),
    /// Minimum and maximum of the output limit that a request sets, in tokens.
    pub max_tokens: (usize, usize),
}

impl SiteSpec {
    /// Returns the site of Vitosha Print Systems.
    pub fn vitosha() -> Self {
        Self {
            name: "vitosha",
            data_centres: &["plovdiv-a", "plovdiv-b", "stara-zagora", "haskovo"],
            model: "caption-llm",
            prefill_engines: 4,
            decode_engines: 5,
            service: "kiosk-api",
            service_processes: 4,
            non_idempotent_path: "/v1/print-confirmations",
            idempotent_path: "/v1/orders",
            goodput_weight: 3.0,
            wasted_prefill_weight: 1.0,
            key: "vitosha-kiosk-key",
            prefill_tokens_per_s: 20_000,
            kv_bytes_per_token: 100_000,
            link_bytes_per_s: 10_000_000_000,
            traffic: Traffic {
                shared_prefixes: 48,
                shared_prefix_tokens: (2_000, 24_000),
                popularity_exponent: 0.8,
                with_shared_prefix_percent: 80,
                unique_tokens: (30, 3_000),
                max_tokens: (50, 300),
            },
        }
    }

    /// Returns the site of Rinnovo Volo.
    pub fn rinnovo() -> Self {
        Self {
            name: "rinnovo",
            data_centres: &["milano-a", "milano-b", "torino-a"],
            model: "draft-models",
            prefill_engines: 7,
            decode_engines: 5,
            service: "renewal-app",
            service_processes: 3,
            non_idempotent_path: "/v1/bookings",
            idempotent_path: "/v1/status",
            goodput_weight: 1.0,
            wasted_prefill_weight: 3.0,
            key: "rinnovo-clerk-key",
            traffic: Traffic {
                shared_prefixes: 60,
                shared_prefix_tokens: (6_000, 36_000),
                popularity_exponent: 0.5,
                with_shared_prefix_percent: 90,
                unique_tokens: (200, 4_000),
                max_tokens: (60, 400),
            },
            ..Self::vitosha()
        }
    }

    /// Returns the options of this site's engines.
    pub(crate) fn engine_options(&self) -> EngineOptions {
        EngineOptions {
            slots: SLOTS,
            prefill_tokens_per_s: f64::from(self.prefill_tokens_per_s),
            decode_step_ms: DECODE_STEP_MS,
            bytes_per_token: BYTES_PER_TOKEN,
            piece_tokens: PIECE_TOKENS,
            cache_pieces: 80,
            kv_bytes_per_token: self.kv_bytes_per_token as f64,
            link_bytes_per_s: self.link_bytes_per_s as f64,
            result_lifetime_ms: RESULT_LIFETIME_MS,
        }
    }

    /// Returns the base document, which all sites of a deployment share, for a deployment with only this site and with
    /// the given kind of policy.
    pub fn base(&self, policy: &str) -> Value {
        let digest = Sha256::digest(self.key.as_bytes());
        let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        json!({
            "sites": [self.name],
            "accounts": {
                "demo": {
                    "key_sha256": digest,
                    "max_concurrent_requests": 10_000,
                    "max_requests_per_s": 10_000,
                },
            },
            "models": {
                self.model: {
                    "first_token_target_ms": 910,
                    "between_tokens_target_ms": 39,
                    "bytes_per_token": BYTES_PER_TOKEN,
                    "piece_tokens": PIECE_TOKENS,
                    "prefill_tokens_per_s": self.prefill_tokens_per_s,
                    "decode_step_ms": DECODE_STEP_MS as u64,
                    "kv_bytes_per_token": self.kv_bytes_per_token,
                    "prefill_result_lifetime_ms": RESULT_LIFETIME_MS,
                    "max_output_tokens": 1_000,
                    "max_prompt_tokens": 50_000,
                    "policy": { "kind": policy },
                },
            },
            "services": {
                self.service: {
                    "routes": [
                        {
                            "method": "POST",
                            "path_prefix": self.non_idempotent_path,
                            "semantics": "non_idempotent",
                            "timeout_ms": 2_000,
                        },
                        {
                            "method": "GET",
                            "path_prefix": self.idempotent_path,
                            "semantics": "idempotent",
                            "timeout_ms": 1_000,
                        },
                    ],
                },
            },
            "claims": { "partitions": 4 },
        })
    }

    /// Returns the site's overlay: the addresses of its endpoints by name, and the weights of its policy.
    pub fn overlay(&self, endpoints: &BTreeMap<String, SocketAddr>) -> Value {
        let data_centres = self.data_centres.iter().cycle();
        let endpoints: serde_json::Map<String, Value> = endpoints
            .iter()
            .zip(data_centres)
            .map(|((name, address), data_centre)| {
                (name.clone(), self.endpoint(name, *address, data_centre))
            })
            .collect();
        let policy = json!({
            "goodput_weight": self.goodput_weight,
            "wasted_prefill_weight": self.wasted_prefill_weight,
        });
        json!({
            "data_centres": self.data_centres,
            "endpoints": endpoints,
            "models": { self.model: { "policy": policy } },
        })
    }

    fn endpoint(&self, name: &str, address: SocketAddr, data_centre: &str) -> Value {
        let role = name.split('-').next().unwrap_or_default();
        let serves = if role == "plain" {
            self.service
        } else {
            self.model
        };
        let slots = if role == "prefill" { 1 } else { SLOTS };
        json!({
            "address": address,
            "data_centre": data_centre,
            "role": role,
            "serves": serves,
            "slots": slots,
            "link_bytes_per_s": if role == "plain" { 0 } else { self.link_bytes_per_s },
        })
    }
}
