//! Role changes that engines have accepted, as VMs tell each other.
//!
//! An engine that changes its role refuses what it has not begun until it is done, seconds later, and its entry in the list
//! names the new role only then. The VM that ordered the change shares it, so that the others send nothing there meanwhile.

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::Relay;
use crate::relay::SharedRecord;

impl Relay {
    /// Records that an engine has accepted an order, and tells the other VMs.
    pub(in crate::relay) fn on_role_change_accepted(&mut self, instance: &Name) {
        let Some((role, service)) = self.roles.take_ordered(instance) else {
            return;
        };
        self.avoid_until_changed(instance, role);
        let changes = self.roles.add_accepted(&service, instance, role);
        let record = SharedRecord::RoleChanges { service, changes };
        self.shared_outbox.push(record, self.now);
        self.set_shared_timer();
    }

    /// Takes over role changes that another VM has ordered; old news may be of changes that have long ended.
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
