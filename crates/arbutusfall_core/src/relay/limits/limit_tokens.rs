//! What counts against the limits of endpoints.
//!
//! Every request to an endpoint counts: plain requests, reservations, prefills and decodes, and requests to free memory
//! and role orders, which do not wait. A reservation takes the token of its decode along.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::Relay;
use crate::relay::calls::call::CallStage;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::limits::limit_handling::run_of;
use crate::relay::sending::endpoint_query::LimitedEndpoints;

/// Requests that a role order sends to its engine: the report and the order.
pub(in crate::relay) const ORDER_REQUESTS: f64 = 2.0;

/// Tokens of a reservation and of the decode that uses it.
pub(in crate::relay) const RESERVATION_TOKENS: f64 = 2.0;

/// Returns the tokens that a request of this stage needs.
pub(in crate::relay) fn tokens_for(stage: CallStage, has_reservation: bool) -> f64 {
    match stage {
        CallStage::Plain | CallStage::Prefill => 1.0,
        CallStage::Forward => 0.0,
        CallStage::Reserve => RESERVATION_TOKENS,
        CallStage::Decode { .. } if has_reservation => 0.0,
        CallStage::Decode { .. } => 1.0,
    }
}

/// Returns the tokens that a request of this role needs before it is sent.
pub(in crate::relay) fn tokens_to_start(role: Role) -> f64 {
    match role {
        Role::Plain | Role::Prefill => 1.0,
        Role::Decode => RESERVATION_TOKENS,
    }
}

impl Relay {
    /// Returns the instant from which this VM may send a request that needs these tokens; none if it holds no share of the
    /// endpoint's limit.
    pub(in crate::relay) fn limit_allows_at(
        &self,
        endpoint: &Endpoint,
        tokens: f64,
    ) -> Option<Duration> {
        match self.limit_of(endpoint) {
            Some(limit) => limit.next_send_at(tokens, self.now),
            None => Some(self.now),
        }
    }

    /// Returns whether the endpoint's limit, if any, allows a request that needs these tokens now.
    pub(in crate::relay) fn limit_allows(&self, endpoint: &Endpoint, tokens: f64) -> bool {
        let allowed_at = self.limit_allows_at(endpoint, tokens);
        allowed_at.is_some_and(|allowed_at| allowed_at <= self.now)
    }

    /// Returns the limited endpoints of a service and role, and records a request that can be sent to them.
    pub(in crate::relay) fn limited_endpoints(
        &mut self,
        service: &Name,
        role: Role,
        tokens: f64,
    ) -> LimitedEndpoints {
        let found = self.find_limited(service, role, tokens);
        for instance in found.available.iter().chain(&found.used_up) {
            let run = self.endpoints.get(instance).map(run_of);
            if let Some(limit) = run.and_then(|run| self.limits.get_mut(&run)) {
                limit.on_demand(tokens, self.now);
            }
        }
        found
    }

    /// Returns the limited endpoints of a service and role, for a request that needs these tokens.
    pub(in crate::relay) fn find_limited(
        &self,
        service: &Name,
        role: Role,
        tokens: f64,
    ) -> LimitedEndpoints {
        let mut found = LimitedEndpoints::default();
        if self.limits.is_empty() || tokens == 0.0 {
            return found;
        }
        for endpoint in self.endpoints.serving(service, role) {
            if self.limit_of(endpoint).is_none() {
                continue;
            }
            let instance = endpoint.listed.instance.clone();
            if self.limit_allows(endpoint, tokens) {
                found.available.push(instance);
            } else {
                found.used_up.push(instance);
            }
        }
        found
    }

    /// Takes the tokens of a request to an endpoint.
    pub(in crate::relay) fn take_limit_tokens(&mut self, instance: &Name, tokens: f64) {
        if self.limits.is_empty() || tokens == 0.0 {
            return;
        }
        let Some(endpoint) = self.endpoints.known(instance) else {
            return;
        };
        let run = run_of(endpoint);
        if let Some(limit) = self.limits.get_mut(&run) {
            limit.take(tokens, self.now);
            self.limited_queue.retry_schedule.on_granted(self.now);
        }
    }

    /// Returns the token of the decode that a refused reservation took along.
    pub(in crate::relay) fn give_back_decode_token(&mut self, instance: &Name) {
        let endpoint = self.endpoints.get(instance);
        let Some(run) = endpoint.filter(|_| !self.limits.is_empty()).map(run_of) else {
            return;
        };
        if let Some(limit) = self.limits.get_mut(&run) {
            limit.give_back(1.0);
        }
    }
}
