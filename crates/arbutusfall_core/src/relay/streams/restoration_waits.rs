//! Waits of streams that are taken up while the store may not show again what it lost when it returned from an older copy.

use std::time::Duration;

use crate::CallId;
use crate::relay::Relay;
use crate::relay::RelayRoute;
use crate::relay::RelayTimer;
use crate::relay::calls::lifecycle::DEFAULT_RETRY_AFTER;
use crate::relay::calls::lifecycle::MAX_RETRY_AFTER_FRACTION;

/// Reason of the refusal of a stream whose version is not known before the store shows again what it lost.
pub(in crate::relay) const STORE_RESTORING: &str = "store_restoring";

/// Gap in a stream that every caller bears.
const MIN_CALLER_GAP: Duration = Duration::from_secs(2);

/// Gap that a caller bears at least, in target latencies.
const CALLER_GAP_LATENCIES: u32 = 4;

/// Gap that a caller bears at least, in target times between events.
const CALLER_GAP_INTERVALS: u32 = 8;

impl Relay {
    /// Has a call wait until the store shows again what it lost, or refuses it if its caller would leave before its first event.
    pub(in crate::relay) fn wait_for_restoration(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let latest = call.arrived_at.saturating_add(longest_wait(&call.route));
        let latest = latest.min(call.due_at);
        if self.now.max(self.restoration.complete_from()) >= latest {
            self.fail_call(id, STORE_RESTORING);
            return;
        }
        if self.waiting_for_restoration.insert(id) {
            self.timers.set(latest, RelayTimer::RestorationMissed(id));
        }
    }

    /// Refuses a call that still waits for what the store lost.
    pub(in crate::relay) fn on_restoration_missed(&mut self, id: CallId) {
        if self.waiting_for_restoration.remove(&id) {
            self.fail_call(id, STORE_RESTORING);
        }
    }

    /// Returns the time until the store can show again what it lost, for a caller with some time left.
    pub(in crate::relay) fn retry_after_restoration(&self, left: Duration) -> Duration {
        let until = self.restoration.complete_from().saturating_sub(self.now);
        let after = until.min(left.mul_f64(MAX_RETRY_AFTER_FRACTION));
        after.max(DEFAULT_RETRY_AFTER)
    }
}

/// Returns how long a stream that goes on may wait before it is sent: its caller leaves after a gap, in which the first event must come too.
fn longest_wait(route: &RelayRoute) -> Duration {
    let latency = route.latency_target;
    let interval = route.event_interval_target;
    let gap = MIN_CALLER_GAP
        .max(latency.saturating_mul(CALLER_GAP_LATENCIES))
        .max(interval.saturating_mul(CALLER_GAP_INTERVALS));
    gap.saturating_sub(latency)
}
