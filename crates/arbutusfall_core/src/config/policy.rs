//! Policies that admit and place a model's requests.

use serde::Deserialize;
use serde::Serialize;

/// Rules of admission and placement; each kind after [`PolicyKind::Owner`] extends the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The VM that received the request picks the endpoint with the lowest load in the load reports, which lag; nothing
    /// is refused.
    LeastLoaded,
    /// Each VM has an equal share of every pool's slots for the requests that it receives.
    Quota,
    /// The owner of each pool shard reserves slots for the end of the prefill and refuses requests that would be late.
    Owner,
    /// [`Self::Owner`], and prompts are placed where their prefix is cached.
    Affinity,
    /// [`Self::Affinity`], with a budget for transfer links and redirection of failed transfers.
    Links,
    /// [`Self::Links`], with the model's weights for goodput and wasted prefill.
    Weighted,
}

impl PolicyKind {
    /// Returns whether the shard owner admits and places requests.
    pub fn has_owner(self) -> bool {
        !matches!(self, Self::LeastLoaded | Self::Quota)
    }

    /// Returns whether prompts are placed where their prefix is believed to be cached.
    pub fn has_affinity(self) -> bool {
        matches!(self, Self::Affinity | Self::Links | Self::Weighted)
    }

    /// Returns whether transfer links have a budget and failed transfers are redirected.
    pub fn has_links(self) -> bool {
        matches!(self, Self::Links | Self::Weighted)
    }

    /// Returns whether latency estimates include a safety margin that depends on the policy's weights.
    pub fn has_weights(self) -> bool {
        matches!(self, Self::Weighted)
    }
}

/// Admission and placement rules of a model, with their weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Rules in use.
    #[serde(default = "default_kind")]
    pub kind: PolicyKind,
    /// Importance of requests that meet both latency targets, relative to `wasted_prefill_weight`; only the ratio
    /// matters.
    ///
    /// Invariant: finite and not negative; not both weights are 0.
    #[serde(default = "default_weight")]
    pub goodput_weight: f64,
    /// Importance of avoiding prefills whose result is discarded, relative to `goodput_weight`: a larger share
    /// increases the safety margin of latency estimates.
    ///
    /// Invariant: finite and not negative; not both weights are 0.
    #[serde(default = "default_weight")]
    pub wasted_prefill_weight: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            kind: default_kind(),
            goodput_weight: default_weight(),
            wasted_prefill_weight: default_weight(),
        }
    }
}

fn default_kind() -> PolicyKind {
    PolicyKind::Weighted
}

fn default_weight() -> f64 {
    1.0
}
