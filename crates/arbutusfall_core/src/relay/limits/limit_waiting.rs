//! Requests that wait until the limits of their endpoints allow them, and those that are refused because that would be too
//! late.

use std::time::Duration;

use crate::CallId;
use crate::config::Role;
use crate::relay::Relay;
use crate::relay::calls::call::Call;
use crate::relay::limits::limit_tokens::tokens_to_start;

/// Reason of the refusal of a request beyond the limits of its endpoints.
pub(in crate::relay) const LIMITED: &str = "limited";

/// What this VM's shares of the limits of a service allow.
#[derive(Debug, Clone, Copy)]
struct LimitedService {
    next_at: Duration,
    /// Requests a second.
    rate: f64,
}

/// Returns the latest instant at which a plain request may be sent to be answered in time.
pub(in crate::relay) fn latest_send(call: &Call) -> Duration {
    (call.arrived_at + call.route.latency_target).min(call.due_at)
}

impl Relay {
    /// Returns whether only limits keep the request from being sent: an endpoint that has not failed it has one.
    pub(in crate::relay) fn waits_for_limit(&self, call: &Call, role: Role) -> bool {
        self.endpoints.serving_call(call, role).any(|endpoint| {
            !call.failed_endpoints.contains(&endpoint.listed.instance)
                && self.limit_of(endpoint).is_some()
        })
    }

    /// Returns when this VM's shares allow the next request to one of the call's endpoints, and how many a second; none if
    /// it holds no share.
    fn limited_service(&self, call: &Call, role: Role) -> Option<LimitedService> {
        let tokens = tokens_to_start(role);
        let mut found: Option<LimitedService> = None;
        for endpoint in self.endpoints.serving_call(call, role) {
            let Some(limit) = self.limit_of(endpoint) else {
                continue;
            };
            let Some(next_at) = limit.next_send_at(tokens, self.now) else {
                continue;
            };
            let service = found.get_or_insert(LimitedService { next_at, rate: 0.0 });
            service.next_at = service.next_at.min(next_at);
            service.rate += limit.rate(self.now) / tokens;
        }
        found
    }

    /// Returns when a request with `ahead` others before it could be sent; none if this VM holds no share.
    pub(in crate::relay) fn limited_send_at(
        &self,
        call: &Call,
        role: Role,
        ahead: usize,
    ) -> Option<Duration> {
        let service = self.limited_service(call, role)?;
        if ahead == 0 {
            return Some(service.next_at);
        }
        if service.rate == 0.0 {
            return None;
        }
        let behind = Duration::from_secs_f64(ahead as f64 / service.rate);
        Some(service.next_at + behind)
    }

    /// Returns the time after which a request beyond the limits of its service may come back: the limits of all its
    /// endpoints allow one more request by then.
    pub(in crate::relay) fn limited_retry_delay(&self, call: &Call) -> Duration {
        let role = call.serving_role();
        let limits = self.endpoints.serving_call(call, role);
        let limits = limits.filter_map(|endpoint| self.limit_of(endpoint));
        let per_s: f64 = limits.map(|limit| limit.per_s).sum();
        Duration::from_secs_f64(tokens_to_start(role) / per_s.max(0.1))
    }

    /// Queues a plain request until a limit allows it, or refuses it if that will be after its target.
    pub(in crate::relay) fn wait_for_limit(&mut self, id: CallId) {
        if !self.limited_queue.calls.contains(&id) {
            self.limited_queue.calls.push(id);
        }
        self.refuse_hopeless();
        self.set_limit_timer();
    }

    /// Returns the waiting requests in the order in which they are due, the most urgent priority first.
    pub(in crate::relay) fn limited_order(&self) -> Vec<CallId> {
        let waiting = self.limited_queue.calls.iter();
        let waiting = waiting.filter_map(|id| Some((self.calls.get(id)?, *id)));
        let mut order: Vec<(u8, Duration, CallId)> = waiting
            .map(|(call, id)| (call.priority(), latest_send(call), id))
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Refuses the waiting requests that can't be sent by their targets.
    fn refuse_hopeless(&mut self) {
        let mut ahead = 0;
        for id in self.limited_order() {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let send_at = self.limited_send_at(call, Role::Plain, ahead);
            if send_at.is_some_and(|send_at| send_at <= latest_send(call)) {
                ahead += 1;
                continue;
            }
            self.limited_queue.remove(id);
            self.fail_call(id, LIMITED);
        }
    }

    /// Sends the waiting requests that the limits allow now.
    pub(in crate::relay) fn send_limited(&mut self) {
        self.limited_queue
            .calls
            .retain(|id| self.calls.contains_key(id));
        for id in self.limited_order() {
            let call = self.calls.get(&id);
            let allowed = call.is_some_and(|call| {
                let mut endpoints = self.endpoints.serving_call(call, Role::Plain);
                endpoints.any(|endpoint| self.limit_allows(endpoint, 1.0))
            });
            if allowed {
                self.limited_queue.remove(id);
                self.send_next(id);
            }
        }
        self.refuse_hopeless();
    }

    /// Handles limits that ended: requests that wait for them may be sent.
    pub(in crate::relay) fn on_limits_changed(&mut self) {
        self.send_limited();
        self.retry_reservations();
    }
}
