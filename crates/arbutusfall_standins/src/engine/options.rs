//! Options and injected faults of an engine.

use serde::Deserialize;
use serde::Serialize;

/// Capacity and speed of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EngineOptions {
    /// Maximum number of requests in the continuous batch.
    pub(crate) slots: usize,
    /// Prompt tokens computed per second.
    pub(crate) prefill_tokens_per_s: f64,
    /// Time between tokens in a full batch.
    pub(crate) decode_step_ms: f64,
    /// Bytes of prompt text per token.
    pub(crate) bytes_per_token: usize,
    /// Tokens per piece of the prefix cache.
    pub(crate) piece_tokens: usize,
    /// Maximum number of pieces in the prefix cache.
    pub(crate) cache_pieces: usize,
    /// Size of the KV cache per token.
    pub(crate) kv_bytes_per_token: f64,
    /// Transfer rate of the link.
    pub(crate) link_bytes_per_s: f64,
    /// Time for which a prefill result is stored if it is not fetched.
    pub(crate) result_lifetime_ms: u64,
}

/// Body of a request that injects faults. An absent field switches its fault off, except that a freeze lasts its full
/// time and silenced streams stay silent.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct EngineFaults {
    /// Exits immediately.
    pub(crate) die: bool,
    /// Time for which the engine makes no progress and answers nothing but `/faults`.
    pub(crate) freeze_ms: u64,
    /// Streams that are open now get no further events; new ones work.
    pub(crate) silence: bool,
    /// How many of the next transfers stall, for an hour each.
    pub(crate) stall_transfers: u32,
    /// How many of the next cancellations are answered with status 500 and have no effect.
    pub(crate) ignore_cancels: u32,
    /// Delay before a cancellation takes effect.
    pub(crate) slow_cancel_ms: u64,
    /// Delay before a completion request takes effect.
    pub(crate) slow_orders_ms: u64,
    /// How many of the next decode requests get streams with the id and text of a made-up request.
    pub(crate) swap_streams: u32,
}
