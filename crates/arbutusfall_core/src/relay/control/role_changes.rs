//! Role changes that engines have accepted, as VMs tell each other.
//!
//! An engine that changes its role refuses what it has not begun until it is done, seconds later, and its entry in the list
//! names the new role only then. The VM that ordered the change shares it, so that the others send nothing there meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::Relay;
use crate::relay::SharedRecord;

/// An engine that this VM has ordered to change its role.
#[derive(Debug, Clone)]
pub(super) struct OrderedChange {
    pub(super) instance: Name,
    pub(super) service: Name,
    pub(super) role: Role,
    /// Instant from which the engine counts as serving again in its former role.
    pub(super) failed_at: Duration,
}

/// Orders of this VM without an outcome, and the accepted ones of each service's newest series. A series is the orders of one
/// review.
#[derive(Debug, Clone, Default)]
pub(super) struct RoleOrders {
    awaited: Vec<OrderedChange>,
    accepted: BTreeMap<Name, Vec<(Name, Role)>>,
}

impl RoleOrders {
    /// Begins a series of orders to engines of a service: its accepted orders replace those of the series before in the shared
    /// record.
    pub(super) fn begin_series(&mut self, service: &Name) {
        self.accepted.remove(service);
    }

    pub(super) fn on_ordered(&mut self, change: OrderedChange) {
        self.awaited.push(change);
    }

    /// Removes an order that has an outcome.
    pub(super) fn take(&mut self, instance: &Name) -> Option<OrderedChange> {
        let mut awaited = self.awaited.iter();
        let at = awaited.position(|change| change.instance == *instance)?;
        Some(self.awaited.swap_remove(at))
    }

    /// Records that an engine accepted an order; returns all that did in this series.
    fn add_accepted(&mut self, service: &Name, instance: &Name, role: Role) -> Vec<(Name, Role)> {
        let accepted = self.accepted.entry(service.clone()).or_default();
        accepted.push((instance.clone(), role));
        accepted.clone()
    }
}

impl Relay {
    /// Records that an engine has accepted an order, and tells the other VMs.
    pub(in crate::relay) fn on_role_change_accepted(&mut self, instance: &Name) {
        let Some(change) = self.roles.orders.take(instance) else {
            return;
        };
        let OrderedChange { service, role, .. } = change;
        self.avoid_until_changed(instance, role);
        let changes = self.roles.orders.add_accepted(&service, instance, role);
        let record = SharedRecord::RoleChanges { service, changes };
        self.shared_outbox.push(record, self.now);
        self.set_shared_timer();
    }

    /// Takes over role changes that another VM has ordered. Records that were read late are ignored, because their changes may have
    /// ended.
    pub(in crate::relay) fn on_shared_role_changes(
        &mut self,
        service: &Name,
        changes: &[(Name, Role)],
        is_late: bool,
    ) {
        if is_late {
            return;
        }
        for (instance, role) in changes {
            let endpoint = self.endpoints.get(instance);
            if endpoint.is_some_and(|endpoint| endpoint.listed.service == *service) {
                self.avoid_until_changed(instance, *role);
            }
        }
    }

    /// Avoids an engine until its role change should be done. A repeated record does not prolong this.
    fn avoid_until_changed(&mut self, instance: &Name, role: Role) {
        let routes = self.routes.as_ref();
        let Some(endpoint) = self.endpoints.get_mut(instance) else {
            return;
        };
        let engine = routes.and_then(|routes| routes.engine(&endpoint.listed.service));
        let Some(engine) = engine else {
            return;
        };
        if !endpoint.is_changing_role(self.now) {
            endpoint.on_role_change(role, self.now + engine.role_change_time);
        }
    }
}
