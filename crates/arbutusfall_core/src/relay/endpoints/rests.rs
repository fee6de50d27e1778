//! Rests: an endpoint that turns a request away may ask for a time without requests from this VM.
//!
//! A resting endpoint takes no new work, like one that leaves, and nothing else is sent to it either. Its load returns softly.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::ExchangeId;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::notice::millis;

/// Longest rest: an endpoint is not given up for longer because of one answer.
const MAX_REST: Duration = Duration::from_secs(600);

/// Longest random addition to a rest, so that VMs do not all return at the same instant.
const MAX_REST_ADDITION: Duration = Duration::from_millis(250);

/// Longest wait for the end of a rest, as a fraction of the route's target: the endpoint may turn the request away again.
const MAX_REST_WAIT_FRACTION: f64 = 0.25;

/// Reason of the refusal of a request all of whose endpoints rest.
pub(in crate::relay) const RESTING: &str = "resting";

/// Returns the instant until which a call may wait for the end of a rest.
pub(in crate::relay) fn rest_wait_until(call: &Call) -> Duration {
    let wait = call.route.latency_target.mul_f64(MAX_REST_WAIT_FRACTION);
    (call.arrived_at + wait).min(call.due_at)
}

impl Relay {
    /// Handles the rest that an endpoint's answer to the call's exchange asks for.
    pub(in crate::relay) fn on_rest_asked(
        &mut self,
        id: CallId,
        exchange: ExchangeId,
        rest: Duration,
    ) {
        if let Some((instance, _)) = self.sent_to(id, exchange) {
            self.begin_rest(&instance, rest);
        }
    }

    /// Begins an endpoint's rest, or makes it longer.
    pub(in crate::relay) fn begin_rest(&mut self, instance: &Name, rest: Duration) {
        let rest = rest.min(MAX_REST);
        let now = self.now;
        let addition = MAX_REST_ADDITION.mul_f64(self.rng.f64());
        let until = self.now + rest + addition;
        let Some(endpoint) = self.endpoints.known_mut(instance) else {
            return;
        };
        if !endpoint.rest_until(until, now) {
            return;
        }
        let service = endpoint.listed.service.clone();
        let instance = instance.clone();
        self.timers
            .set(until, RelayTimer::RestEnded(instance.clone()));
        self.note(RelayNotice::EndpointResting {
            instance,
            service: service.clone(),
            rest_ms: millis(rest),
        });
        self.refuse_waiting_for_rest(&service);
    }

    /// Handles the end of an endpoint's rest, unless it has been made longer.
    pub(in crate::relay) fn on_rest_ended(&mut self, instance: &Name) {
        let now = self.now;
        let endpoint = self.endpoints.known_mut(instance);
        if endpoint.is_some_and(|endpoint| endpoint.end_rest(now)) {
            self.on_limits_changed();
        }
    }

    /// Returns the number of endpoints that rest.
    pub fn resting_endpoints(&self) -> usize {
        let endpoints = self.endpoints.iter();
        endpoints.filter(|endpoint| endpoint.is_resting()).count()
    }

    /// Returns whether an endpoint rests.
    pub(in crate::relay) fn is_resting(&self, instance: &Name) -> bool {
        let endpoint = self.endpoints.known(instance);
        endpoint.is_some_and(|endpoint| endpoint.is_resting())
    }

    /// Returns when the first rest ends of the endpoints that could take a call in this role; none if none of them rests.
    fn first_rest_end(&self, call: &Call, role: Role) -> Option<Duration> {
        let resting = self.endpoints.resting_for_call(call, role);
        let ends = resting.filter_map(|endpoint| endpoint.rest_end());
        ends.min()
    }

    /// Handles a call for which all endpoints rest: it waits if it can be in time after the first rest. Returns false if
    /// none rests.
    pub(in crate::relay) fn wait_for_rest_or_fail(&mut self, id: CallId, stage: CallStage) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let Some(end) = self.first_rest_end(call, stage.role()) else {
            return false;
        };
        if end > rest_wait_until(call) {
            self.fail_call(id, RESTING);
        } else if stage == CallStage::Reserve {
            self.enqueue(id);
        } else {
            // All that wait for one rest come one after the other.
            let left = rest_wait_until(call).saturating_sub(end);
            let addition = MAX_REST_ADDITION.min(left).mul_f64(self.rng.f64());
            self.timers
                .set(end + addition, RelayTimer::SendAfterRest(id));
        }
        true
    }

    /// Sends a call that has waited for the end of a rest.
    pub(in crate::relay) fn send_after_rest(&mut self, id: CallId) {
        let call = self.calls.get(&id);
        if call.is_some_and(|call| call.current.is_none()) {
            self.send_next(id);
        }
    }

    /// Returns whether all endpoints that could take a call rest.
    pub(in crate::relay) fn must_wait_for_rest(&self, call: &Call) -> bool {
        let role = call.serving_role();
        let mut serving = self.endpoints.serving_call(call, role);
        serving.next().is_none() && self.first_rest_end(call, role).is_some()
    }

    /// Returns the time after which a caller may come back whose request's endpoints all rest.
    pub(in crate::relay) fn retry_after_rest(&mut self, call: &Call) -> Duration {
        let end = self
            .first_rest_end(call, call.serving_role())
            .unwrap_or(self.now);
        let addition = MAX_REST_ADDITION.mul_f64(self.rng.f64());
        end.saturating_sub(self.now) + addition
    }

    /// Refuses the model requests that wait for engines of a service that all rest for too long.
    fn refuse_waiting_for_rest(&mut self, service: &Name) {
        let waiting: Vec<CallId> = self.wait_queue.ids().to_vec();
        for id in waiting {
            let is_hopeless = self.calls.get(&id).is_some_and(|call| {
                let mut serving = self.endpoints.serving_call(call, Role::Decode);
                let rest_end = self.first_rest_end(call, Role::Decode);
                call.service == *service
                    && serving.next().is_none()
                    && rest_end.is_some_and(|end| end > rest_wait_until(call))
            });
            if is_hopeless {
                self.fail_call(id, RESTING);
            }
        }
    }
}
