//! Causes with which requests were answered of late.

use std::time::Duration;

use arbutusfall_wire::FastMap;

use crate::relay::CrashCause;

/// Time for which an answered request speaks for its causes.
const ANSWERED_LIFETIME: Duration = Duration::from_secs(3);

/// Causes in one generation. The newest ones are always kept, however many requests are answered.
const MAX_GENERATION: usize = 4_000;

/// When requests with each cause were last answered at this VM, in two generations.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnsweredCauses {
    newer: FastMap<CrashCause, Duration>,
    older: FastMap<CrashCause, Duration>,
    /// When the newer generation was begun.
    begun_at: Duration,
}

impl AnsweredCauses {
    /// Records that a request with this cause was answered.
    pub(crate) fn on_answered(&mut self, cause: &CrashCause, now: Duration) {
        let is_over = now >= self.begun_at + ANSWERED_LIFETIME;
        if is_over || self.newer.len() >= MAX_GENERATION {
            self.older = std::mem::take(&mut self.newer);
            self.begun_at = now;
        }
        self.newer.insert(cause.clone(), now);
    }

    /// Returns whether a request with this cause was answered of late.
    pub(crate) fn contains(&self, cause: &CrashCause, now: Duration) -> bool {
        let at = self.newer.get(cause).or_else(|| self.older.get(cause));
        at.is_some_and(|at| now <= *at + ANSWERED_LIFETIME)
    }
}
