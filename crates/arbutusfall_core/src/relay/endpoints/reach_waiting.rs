//! Requests that wait until endpoints of their service are reached again.
//!
//! While connections to all endpoints fail, a request that none of them has got can't be served, but it may be soon: the failures
//! have a cause in common, which often passes in a moment. It is refused once its caller should try elsewhere.

use std::time::Duration;

use crate::CallId;
use crate::relay::Relay;
use crate::relay::RelayTimer;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;

/// Longest time after which a waiting request looks for an endpoint again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest such time, as a fraction: requests that have waited for the same endpoints come one after the other.
const MIN_RETRY_FRACTION: f64 = 0.3;

/// Longest wait, as a fraction of the call's whole time: after it, the caller still has time for another VM.
const MAX_WAIT_FRACTION: f64 = 0.5;

impl Call {
    /// Returns the instant until which the call may wait for endpoints to be reached again.
    pub(in crate::relay) fn reach_wait_until(&self) -> Duration {
        let whole = self.due_at.saturating_sub(self.arrived_at);
        self.arrived_at + whole.mul_f64(MAX_WAIT_FRACTION)
    }
}

impl Relay {
    /// Makes a call wait if none of the endpoints that it could be sent to has answered it, or if all of these have failed and none
    /// of its service has accepted a connection since one failed. Returns false if it need not or may not wait.
    pub(in crate::relay) fn wait_for_reach(&mut self, id: CallId, stage: CallStage) -> bool {
        if !self.must_wait_for_reach(id, stage) {
            return false;
        }
        let fraction = MIN_RETRY_FRACTION + (1.0 - MIN_RETRY_FRACTION) * self.rng.f64();
        let due = self.now + RETRY_INTERVAL.mul_f64(fraction);
        self.timers.set(due, RelayTimer::SendWhenReached(id));
        if let Some(call) = self.calls.get_mut(&id) {
            call.has_waited_for_reach = true;
        }
        true
    }

    fn must_wait_for_reach(&self, id: CallId, stage: CallStage) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        // The VM from which a request comes may know of others that reach the endpoints.
        if call.may_have_run || call.standby.is_some() || call.request.hop.is_some() {
            return false;
        }
        let is_in_doubt = self.reachability.is_in_doubt(&call.service);
        let none_has_answered = call.unanswered_exchanges == call.failed_endpoints.len();
        let mut serving = self.endpoints.serving_call(call, stage.role()).peekable();
        self.now < call.reach_wait_until()
            && serving.peek().is_some()
            && serving.all(|endpoint| {
                let has_failed = call.failed_endpoints.contains(&endpoint.listed.instance);
                let is_avoided = is_in_doubt && !endpoint.health.is_usable(self.now);
                is_avoided || (has_failed && (is_in_doubt || none_has_answered))
            })
    }

    /// Sends a call that has waited; once endpoints are reached again, it may be sent to any of them.
    pub(in crate::relay) fn send_when_reached(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.current.is_some() {
            return;
        }
        if !self.reachability.is_in_doubt(&call.service) {
            // What failed before had the cause that has passed.
            call.failed_endpoints.clear();
            call.unanswered_exchanges = 0;
        }
        self.send_next(id);
    }
}
