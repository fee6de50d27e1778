//! Options and faults of an engine.

use serde::Deserialize;
use serde::Serialize;

/// How an engine behaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EngineOptions {
    /// Requests in the continuous batch.
    pub(crate) slots: usize,
    /// Prompt tokens that are computed in a second.
    pub(crate) prefill_tokens_per_s: f64,
    /// Time from one token to the next in a full batch.
    pub(crate) decode_step_ms: f64,
    /// Bytes of prompt text for one token.
    pub(crate) bytes_per_token: usize,
    /// Tokens of one piece of the prefix cache.
    pub(crate) piece_tokens: usize,
    /// Pieces that the prefix cache holds.
    pub(crate) cache_pieces: usize,
    /// Size of the KV cache of one token.
    pub(crate) kv_bytes_per_token: f64,
    /// Rate of the link.
    pub(crate) link_bytes_per_s: f64,
    /// Time for which a prefill result is kept.
    pub(crate) result_lifetime_ms: u64,
}

/// Faults by request; a field that is absent is switched off.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct EngineFaults {
    /// Exits at once.
    pub(crate) die: bool,
    /// Does nothing for so long.
    pub(crate) freeze_ms: u64,
    /// Connections that are open now say nothing more; new ones work.
    pub(crate) silence: bool,
    /// Transfers that stall for ever.
    pub(crate) stall_transfers: u32,
    /// Cancellations that are refused.
    pub(crate) ignore_cancels: u32,
    /// Delay of cancellations.
    pub(crate) slow_cancel_ms: u64,
    /// Time for which orders are on their way.
    pub(crate) slow_orders_ms: u64,
    /// Streams that carry another request's id and text.
    pub(crate) swap_streams: u32,
}
