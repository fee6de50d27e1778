//! The relay's use of [`Reachability`](crate::relay::endpoints::reachability::Reachability).

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::notice::millis;

/// Time between two checks of a service's endpoints.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Silence after the send of a request from which its endpoint may not have been reached.
const CONNECT_DOUBT: Duration = Duration::from_millis(250);

/// Endpoints that are checked at once when a connection to one of their service fails.
const CHECKED_IN_DOUBT: usize = 2;

impl Relay {
    /// Returns the number of services whose endpoints this VM does not reach.
    pub fn unreachable_services(&self) -> usize {
        self.reachability.unreachable_count()
    }

    /// Records that a connection to an endpoint, begun at `begun_at`, could not be opened.
    pub(in crate::relay) fn on_connect_failed(&mut self, instance: &Name, begun_at: Duration) {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let service = endpoint.listed.service.clone();
        let serving = self.endpoints.of_service(&service).count();
        let is_unreachable = self
            .reachability
            .on_failed(&service, instance, serving, begun_at, self.now);
        if is_unreachable {
            self.note(RelayNotice::ServiceUnreachable {
                service: service.clone(),
            });
            self.forward_waiting_calls(&service);
        }
        self.check_reach(&service);
    }

    /// Handles a sign that this VM may not reach an endpoint: its connections are checked.
    pub(in crate::relay) fn on_reach_in_doubt(&mut self, instance: &Name) {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let service = endpoint.listed.service.clone();
        if self.may_check_reach(&service) {
            self.push_check(instance.clone());
            self.set_reach_timer(&service);
        }
    }

    /// Handles the end of an exchange in which the endpoint has shown no sign of life for long: it may not have been reached.
    pub(in crate::relay) fn on_silence_in_doubt(&mut self, id: CallId) {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        let Some(current) = current else {
            return;
        };
        let is_silent = current.last_activity_at == current.sent_at
            && self.now >= current.sent_at + CONNECT_DOUBT;
        if is_silent {
            let instance = current.instance.clone();
            self.on_reach_in_doubt(&instance);
        }
    }

    /// Checks endpoints of a service while connections to it fail: at first those that no connection has failed to, then any, until one
    /// is accepted.
    pub(in crate::relay) fn check_reach(&mut self, service: &Name) {
        if !self.reachability.is_in_doubt(service) || !self.may_check_reach(service) {
            return;
        }
        let endpoints = self.endpoints.of_service(service);
        let endpoints = endpoints.map(|endpoint| endpoint.listed.instance.clone());
        let (mut failed, mut others): (Vec<Name>, Vec<Name>) =
            endpoints.partition(|instance| self.reachability.has_failed(service, instance));
        self.rng.shuffle(&mut others);
        self.rng.shuffle(&mut failed);
        let is_unreachable = self.reachability.is_unreachable(service);
        let count = if is_unreachable { 1 } else { CHECKED_IN_DOUBT };
        let checked = others.into_iter().chain(failed).take(count);
        for instance in checked {
            self.push_check(instance);
        }
        self.set_reach_timer(service);
    }

    fn set_reach_timer(&mut self, service: &Name) {
        let due = self.now + CHECK_INTERVAL;
        self.timers
            .set(due, RelayTimer::CheckReach(service.clone()));
    }

    /// Returns whether endpoints of the service may be checked now; if so, the next check is due after the interval.
    fn may_check_reach(&mut self, service: &Name) -> bool {
        let due = self.now + CHECK_INTERVAL;
        self.reachability.start_check(service, self.now, due)
    }

    fn push_check(&mut self, instance: Name) {
        if let Some(endpoint) = self.endpoints.get(&instance) {
            let address = endpoint.listed.address;
            self.effects
                .push(RelayEffect::CheckEndpoint { instance, address });
        }
    }

    /// Records that the endpoint of the call's exchange has accepted its connection.
    pub(in crate::relay) fn on_exchange_connected(&mut self, id: CallId) {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        if let Some(current) = current {
            let (instance, sent_at) = (current.instance.clone(), current.sent_at);
            self.on_connected(&instance, sent_at);
        }
    }

    /// Records that an endpoint accepted a connection begun at `begun_at`.
    pub(in crate::relay) fn on_connected(&mut self, instance: &Name, begun_at: Duration) {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let service = endpoint.listed.service.clone();
        if let Some(since) = self.reachability.on_reached(&service, begun_at) {
            // Their failures had a cause in common, which is over.
            self.endpoints.forget_failures(&service);
            let after_ms = millis(self.now.saturating_sub(since));
            self.note(RelayNotice::ServiceReachable { service, after_ms });
        }
    }
}
