//! Whether this VM reaches the endpoints of its services, as its own connections show.
//!
//! A VM can be cut off from endpoints that are sound and that other VMs reach. It can't tell this from endpoints that have
//! all ended: in both cases all connections fail.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_wire::Name;

/// Number of endpoints to which connections must fail, with none accepted since, before a service counts as unreachable. A
/// service of fewer endpoints counts as unreachable when all fail.
const MIN_FAILED_ENDPOINTS: usize = 3;

/// Connections to the endpoints of one service.
#[derive(Debug, Clone, Default)]
struct ServiceConnections {
    /// Beginning of the newest connection that was accepted.
    reached_at: Duration,
    /// Endpoints to which connections have failed since.
    failed: BTreeSet<Name>,
    /// Beginning of the first of these connections.
    first_failed_at: Duration,
    /// Instant since which the service has been unreachable.
    ///
    /// Invariant: none while `failed` is empty.
    unreachable_since: Option<Duration>,
    /// Instant from which endpoints may be checked again.
    check_due: Duration,
}

/// Connections to the endpoints of all services.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reachability {
    services: BTreeMap<Name, ServiceConnections>,
}

impl Reachability {
    /// Records that a connection begun at `begun_at` failed, to an endpoint of a service of `serving` endpoints. Returns
    /// whether the service is unreachable from now on.
    pub(crate) fn on_failed(
        &mut self,
        service: &Name,
        instance: &Name,
        serving: usize,
        begun_at: Duration,
        now: Duration,
    ) -> bool {
        let connections = self.services.entry(service.clone()).or_default();
        if begun_at < connections.reached_at {
            return false;
        }
        let first_failed_at = if connections.failed.is_empty() {
            begun_at
        } else {
            connections.first_failed_at.min(begun_at)
        };
        connections.first_failed_at = first_failed_at;
        connections.failed.insert(instance.clone());
        let is_unreachable = connections.failed.len() >= serving.min(MIN_FAILED_ENDPOINTS);
        if connections.unreachable_since.is_some() || !is_unreachable {
            return false;
        }
        connections.unreachable_since = Some(now);
        true
    }

    /// Records that an endpoint of a service accepted a connection begun at `begun_at`. Returns since when the service had been
    /// unreachable, if it is reachable again.
    pub(crate) fn on_reached(&mut self, service: &Name, begun_at: Duration) -> Option<Duration> {
        let connections = self.services.entry(service.clone()).or_default();
        connections.reached_at = connections.reached_at.max(begun_at);
        if connections.failed.is_empty() || begun_at < connections.first_failed_at {
            // Connections that were open before live on while new ones fail.
            return None;
        }
        connections.failed.clear();
        connections.unreachable_since.take()
    }

    /// Returns whether endpoints of the service may be checked now; if so, they may be again from `next_due`.
    pub(crate) fn start_check(
        &mut self,
        service: &Name,
        now: Duration,
        next_due: Duration,
    ) -> bool {
        let connections = self.services.entry(service.clone()).or_default();
        let may_check = now >= connections.check_due;
        if may_check {
            connections.check_due = next_due;
        }
        may_check
    }

    pub(crate) fn is_unreachable(&self, service: &Name) -> bool {
        let connections = self.services.get(service);
        connections.is_some_and(|connections| connections.unreachable_since.is_some())
    }

    /// Returns whether connections to endpoints of the service have failed since one was accepted.
    pub(crate) fn is_in_doubt(&self, service: &Name) -> bool {
        let connections = self.services.get(service);
        connections.is_some_and(|connections| !connections.failed.is_empty())
    }

    /// Returns whether a connection to this endpoint has failed since one to its service was accepted.
    pub(crate) fn has_failed(&self, service: &Name, instance: &Name) -> bool {
        let connections = self.services.get(service);
        connections.is_some_and(|connections| connections.failed.contains(instance))
    }

    /// Returns the number of unreachable services.
    pub(crate) fn unreachable_count(&self) -> usize {
        let connections = self.services.values();
        connections
            .filter(|connections| connections.unreachable_since.is_some())
            .count()
    }
}
