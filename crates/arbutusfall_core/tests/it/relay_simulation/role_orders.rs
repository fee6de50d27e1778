//! Lease and role changes of simulated engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::LeaseAnswer;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RoleOutcome;

use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_simulation::RelaySimulation;

/// Time for which an engine that changes its role serves nothing.
pub(crate) const ROLE_CHANGE_TIME: Duration = Duration::from_secs(6);

/// Time from the end of a change until all VMs have read the engine's new entry.
const LISTING_TIME: Duration = Duration::from_millis(600);

/// An order that an engine accepted.
#[derive(Debug, Clone)]
pub(crate) struct AcceptedOrder {
    pub(crate) at: Duration,
    pub(crate) role: Role,
}

/// State of the lease, and role changes of engines.
#[derive(Debug, Default)]
pub(crate) struct RoleOrders {
    /// VM that holds the lease; none if none does.
    pub(crate) holder: Option<usize>,
    /// Fencing token of the lease.
    pub(crate) token: u64,
    /// Engines that serve nothing, with the end of their change.
    away: BTreeMap<Arc<str>, Duration>,
    /// Roles of engines that have changed theirs.
    roles: BTreeMap<Arc<str>, Role>,
    /// Entries that VMs have not read yet.
    unread: Vec<(Duration, Arc<str>, Role)>,
    /// Renewals that are unanswered.
    renewals: Vec<(Duration, usize)>,
    pub(crate) accepted: Vec<AcceptedOrder>,
}

impl RoleOrders {
    /// Returns whether an engine serves a role now.
    pub(super) fn serves(&self, engine: &str, role: Role, now: Duration) -> bool {
        let is_away = self.away.get(engine).is_some_and(|until| now < *until);
        let first_role = if engine.starts_with("prefill") {
            Role::Prefill
        } else {
            Role::Decode
        };
        let present = self.roles.get(engine).copied().unwrap_or(first_role);
        !is_away && present == role
    }

    /// Returns the engine seconds for which engines served nothing.
    pub(crate) fn lost_engine_s(&self) -> f64 {
        self.accepted.len() as f64 * ROLE_CHANGE_TIME.as_secs_f64()
    }

    /// Returns the largest number of engines that were away at the same time.
    pub(crate) fn most_away(&self) -> usize {
        let away_at = |instant: Duration| {
            let orders = self.accepted.iter();
            orders.filter(move |order| order.at <= instant && instant < order.at + ROLE_CHANGE_TIME)
        };
        let counts = self.accepted.iter().map(|order| away_at(order.at).count());
        counts.max().unwrap_or_default()
    }

    /// Returns the number of orders that are followed by an order for the other role.
    pub(crate) fn reversals(&self) -> usize {
        let pairs = self.accepted.windows(2);
        pairs.filter(|pair| pair[0].role != pair[1].role).count()
    }

    /// Returns the change of the number of prefill engines by all orders.
    pub(crate) fn prefill_change(&self) -> isize {
        let changes = self.accepted.iter().map(|order| match order.role {
            Role::Prefill => 1,
            _ => -1,
        });
        changes.sum()
    }

    pub(super) fn next_at(&self) -> Option<Duration> {
        let unread = self.unread.iter().map(|(at, _, _)| *at);
        let renewals = self.renewals.iter().map(|(at, _)| *at);
        unread.chain(renewals).min()
    }

    pub(super) fn on_renewal(&mut self, vm: usize, now: Duration) {
        self.renewals.push((now + ms(10), vm));
    }
}

impl RelaySimulation {
    /// Moves the lease to another VM.
    pub(crate) fn move_lease(&mut self, vm: usize) {
        self.role_orders.holder = Some(vm);
        self.role_orders.token += 1;
    }

    pub(super) fn accept_order(&mut self, vm: usize, instance: Arc<str>, role: Role, token: u64) {
        let (now, orders) = (self.now, &mut self.role_orders);
        let is_busy = orders.away.get(&instance).is_some_and(|until| now < *until);
        let outcome = if token < orders.token {
            RoleOutcome::StaleToken
        } else if is_busy {
            RoleOutcome::Refused
        } else {
            let end = now + ROLE_CHANGE_TIME;
            orders.away.insert(instance.clone(), end);
            orders.roles.insert(instance.clone(), role);
            orders.accepted.push(AcceptedOrder { at: now, role });
            let entry = (end + LISTING_TIME, instance.clone(), role);
            orders.unread.push(entry);
            RoleOutcome::Accepted
        };
        self.apply(vm, RelayEvent::RoleOutcome { instance, outcome });
    }

    /// Delivers the entries and the answers to renewals that are due; returns whether there were any.
    pub(super) fn deliver_control(&mut self) -> bool {
        let now = self.now;
        let orders = &mut self.role_orders;
        let (entries, unread) = std::mem::take(&mut orders.unread)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _, _)| *at <= now);
        orders.unread = unread;
        let (answered, renewals) = std::mem::take(&mut orders.renewals)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        orders.renewals = renewals;
        let (holder, token) = (orders.holder, orders.token);
        for (_, instance, role) in &entries {
            let entry = listed(instance, "model", *role);
            for vm in 0..self.vms.len() {
                let change = EndpointListChange::Listed(entry.clone());
                self.apply(vm, RelayEvent::EndpointChanges(vec![change]));
            }
        }
        for (_, vm) in &answered {
            let answer = if holder == Some(*vm) {
                LeaseAnswer::Held { token }
            } else {
                LeaseAnswer::NotHeld { token }
            };
            self.apply(*vm, RelayEvent::Lease(answer));
        }
        !entries.is_empty() || !answered.is_empty()
    }
}
