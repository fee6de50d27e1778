//! What the leases of a VM decide.

use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::QuotaQuestion;

use crate::CallId;

/// Whether a request may proceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaAdmission {
    /// It may.
    Granted {
        /// Until when its tokens can be returned.
        until: Duration,
    },
    /// It waits for tokens; [`crate::relay::QuotaLeases::advance`] decides.
    Waits,
    /// It may not.
    Refused {
        /// Time until it may be sent again.
        retry_after: Duration,
    },
}

/// Decisions on waiting requests, and the questions that must be sent.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QuotaOutput {
    /// Requests that waited, and whether they may proceed; never [`QuotaAdmission::Waits`].
    pub decisions: Vec<(CallId, QuotaAdmission)>,
    /// Questions to other VMs; [`crate::relay::QuotaLeases::on_outcome`] ends each.
    pub questions: Vec<(Name, QuotaQuestion)>,
    /// When to call [`crate::relay::QuotaLeases::advance`] again at the latest.
    pub wake_at: Option<Duration>,
}

/// Counts of decisions since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaCounts {
    /// Requests that were refused.
    pub refused: u64,
    /// Questions sent to other VMs.
    pub asked: u64,
    /// Questions that were not answered.
    pub failed: u64,
    /// Requests that proceeded without leased tokens, because no owner was reached.
    pub emergency: u64,
    /// Tokens that owners granted to this VM.
    pub granted_tokens: f64,
}
