//! Sizes of the two users' sites, and the configuration and engine options that follow from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::engine::EngineOptions;

/// Bytes of prompt text for one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// Tokens of one piece of an engine's prefix cache.
pub(crate) const PIECE_TOKENS: usize = 2_000;

/// Requests in an engine's batch.
pub(crate) const SLOTS: usize = 20;

/// Time from one token to the next in a full batch.
pub(crate) const DECODE_STEP_MS: f64 = 25.0;

/// Time for which a prefill result is kept.
const RESULT_LIFETIME_MS: u64 = 700;

/// A site's size.
#[derive(Debug, Clone)]
pub struct SiteSize {
    /// Name of the site.
    pub name: &'static str,
    /// Its data centres.
    pub data_centres: &'static [&'static str],
    /// Name of its model.
    pub model: &'static str,
    /// Prefill engines.
    pub prefill_engines: usize,
    /// Decode engines.
    pub decode_engines: usize,
    /// Name of its plain service.
    pub service: &'static str,
    /// Processes of the plain service.
    pub service_processes: usize,
    /// Path whose calls must not be repeated.
    pub non_idempotent_path: &'static str,
    /// Path whose calls may be repeated.
    pub idempotent_path: &'static str,
    /// Weight of a request that meets both latency targets.
    pub goodput_weight: f64,
    /// Weight of a prefill that is thrown away.
    pub wasted_prefill_weight: f64,
    /// Bearer key of the site's account.
    pub key: &'static str,
    /// Prompt tokens that an engine prefills in a second.
    pub prefill_tokens_per_s: u32,
    /// Size of the KV cache of one token.
    pub kv_bytes_per_token: u64,
    /// Rate of each engine's link.
    pub link_bytes_per_s: u64,
    /// What callers ask for.
    pub traffic: Traffic,
}

/// Lengths of prompts and answers; each is spread evenly over its logarithm.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Number of shop templates or logbooks that prompts begin with.
    pub documents: usize,
    /// Shortest and longest of them, in tokens.
    pub document_tokens: (usize, usize),
    /// Exponent of their popularity by rank.
    pub popularity: f64,
    /// Prompts in a hundred that begin with one of them.
    pub with_document_percent: u32,
    /// Shortest and longest part of a prompt that is its own, in tokens.
    pub own_tokens: (usize, usize),
    /// Least and most output that is asked for, in tokens.
    pub output_tokens: (usize, usize),
}

impl SiteSize {
    /// Vitosha Print Systems.
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
                documents: 48,
                document_tokens: (2_000, 24_000),
                popularity: 0.8,
                with_document_percent: 80,
                own_tokens: (30, 3_000),
                output_tokens: (50, 300),
            },
        }
    }

    /// Rinnovo Volo.
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
                documents: 60,
                document_tokens: (6_000, 36_000),
                popularity: 0.5,
                with_document_percent: 90,
                own_tokens: (200, 4_000),
                output_tokens: (60, 400),
            },
            ..Self::vitosha()
        }
    }

    /// Options of this site's engines.
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

    /// The base, shared by all sites.
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

    /// The site's overlay: where its endpoints are, and its weights.
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
