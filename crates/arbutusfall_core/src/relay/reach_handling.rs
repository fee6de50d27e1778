//! The relay's use of [`Reachability`](crate::relay::reachability::Reachability).

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::notice::millis;

impl Relay {
    /// Returns the number of services whose endpoints this VM does not reach.
    pub fn unreachable_services(&self) -> usize {
        self.reachability.unreachable_count()
    }

    /// Records that a connection to an endpoint, begun at `begun_at`, could not be opened.
    pub(super) fn on_connect_failed(&mut self, instance: &Name, begun_at: Duration) {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let service = endpoint.listed.service.clone();
        let serving = self.endpoints.of_service(&service).count();
        let is_unreachable = self
            .reachability
            .on_failed(&service, instance, serving, begun_at, self.now);
        if is_unreachable {
            self.note(RelayNotice::ServiceUnreachable { service });
        }
    }

    /// Records that the endpoint of the call's exchange has accepted its connection.
    pub(super) fn on_exchange_connected(&mut self, id: CallId) {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        if let Some(current) = current {
            let (instance, sent_at) = (current.instance.clone(), current.sent_at);
            self.on_connected(&instance, sent_at);
        }
    }

    /// Records that an endpoint accepted a connection begun at `begun_at`.
    pub(super) fn on_connected(&mut self, instance: &Name, begun_at: Duration) {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let service = endpoint.listed.service.clone();
        if let Some(since) = self.reachability.on_reached(&service, begun_at) {
            let after_ms = millis(self.now.saturating_sub(since));
            self.note(RelayNotice::ServiceReachable { service, after_ms });
        }
    }
}
