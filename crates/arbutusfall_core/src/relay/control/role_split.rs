//! Whether one more change of roles is worth its cost, from the bounds of what streams need.

use std::time::Duration;

use crate::config::Role;

/// Time over which the gain of a change must exceed the work that its engines do not do while they change.
const GAIN_HORIZON: Duration = Duration::from_secs(60);

/// Fraction of a service's engines that may change their role at the same time; one engine always may. A service below
/// 8 engines therefore changes one at a time.
const MAX_CHANGED_FRACTION: f64 = 1.0 / 4.0;

/// Split of a service's engines between the two roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RoleSplit {
    pub(super) prefill: usize,
    pub(super) decode: usize,
}

/// A change of the split that is worth its cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RoleChange {
    /// New role.
    pub(super) to: Role,
    /// Number of engines to change at the same time.
    pub(super) engines: usize,
}

impl RoleChange {
    /// Returns the role of the engines before the change.
    pub(super) fn from(self) -> Role {
        match self.to {
            Role::Prefill => Role::Decode,
            _ => Role::Prefill,
        }
    }
}

impl RoleSplit {
    fn engines(self) -> usize {
        self.prefill + self.decode
    }

    /// Returns the change towards a prefill need that is at most, or at least, `prefill_fraction` of all need; none if it is
    /// not worth the time for which engines serve nothing.
    ///
    /// The fraction must be the bound that speaks against the change: the upper one for a change to decode.
    pub(super) fn change_to(
        self,
        to: Role,
        prefill_fraction: f64,
        role_change_time: Duration,
    ) -> Option<RoleChange> {
        let engines = self.engines() as f64;
        let target = prefill_fraction * engines;
        let (deviation, losing) = match to {
            Role::Decode => (self.prefill as f64 - target, self.prefill),
            Role::Prefill => (target - self.prefill as f64, self.decode),
            Role::Plain => return None,
        };
        if deviation <= 0.0 || losing < 2 {
            return None;
        }
        let max_changes = (engines * MAX_CHANGED_FRACTION).floor().max(1.0);
        let step = deviation.floor().clamp(1.0, max_changes);
        let change = RoleChange {
            to,
            engines: (step as usize).min(losing - 1),
        };
        self.is_worthwhile(change, prefill_fraction, role_change_time)
            .then_some(change)
    }

    fn after(self, change: RoleChange) -> Self {
        match change.to {
            Role::Prefill => Self {
                prefill: self.prefill + change.engines,
                decode: self.decode - change.engines,
            },
            _ => Self {
                prefill: self.prefill - change.engines,
                decode: self.decode + change.engines,
            },
        }
    }

    /// Returns whether the capacity gained until the horizon exceeds the engines' work lost during the change.
    fn is_worthwhile(
        self,
        change: RoleChange,
        prefill_fraction: f64,
        role_change_time: Duration,
    ) -> bool {
        let gain = self.after(change).capacity(prefill_fraction) - self.capacity(prefill_fraction);
        let gain_time = GAIN_HORIZON.saturating_sub(role_change_time);
        let gained_engine_s = gain * gain_time.as_secs_f64();
        let lost_engine_s = change.engines as f64 * role_change_time.as_secs_f64();
        gained_engine_s > lost_engine_s
    }

    /// Returns the load that the scarcer pool allows, as the number of engines that a perfect split would need for it.
    fn capacity(self, prefill_fraction: f64) -> f64 {
        let fraction = prefill_fraction.clamp(1e-6, 1.0 - 1e-6);
        let prefill = self.prefill as f64 / fraction;
        let decode = self.decode as f64 / (1.0 - fraction);
        prefill.min(decode)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CHANGE_TIME: Duration = Duration::from_secs(6);

    fn split(prefill: usize, decode: usize) -> RoleSplit {
        RoleSplit { prefill, decode }
    }

    // Guards against changes that cost more than they gain: the best split is within a fraction of an engine.
    #[test]
    fn deviation_below_its_cost_changes_nothing() {
        assert_eq!(
            split(3, 7).change_to(Role::Decode, 0.295, CHANGE_TIME),
            None
        );
        assert_eq!(
            split(3, 7).change_to(Role::Prefill, 0.305, CHANGE_TIME),
            None
        );
    }

    // Guards against several engines of a small service that are away at the same time.
    #[test]
    fn small_service_changes_one_engine_at_a_time() {
        let change = split(5, 2).change_to(Role::Decode, 0.1, CHANGE_TIME);
        assert_eq!(change.map(|change| change.engines), Some(1));
    }

    // Guards against a quarter of a service's engines that are away at the same time.
    #[test]
    fn large_service_changes_a_quarter_at_a_time() {
        let change = split(17, 31).change_to(Role::Decode, 0.15, CHANGE_TIME);
        assert_eq!(change.map(|change| change.engines), Some(9));
        let near = split(17, 31).change_to(Role::Decode, 0.32, CHANGE_TIME);
        assert_eq!(near.map(|change| change.engines), Some(1));
    }

    // Guards against a change that never pays off within the horizon.
    #[test]
    fn slow_change_is_not_worthwhile() {
        let slow = Duration::from_secs(40);
        assert_eq!(split(5, 5).change_to(Role::Decode, 0.45, slow), None);
    }

    // Guards against a pool without engines.
    #[test]
    fn last_engine_of_a_pool_stays() {
        assert_eq!(split(1, 9).change_to(Role::Decode, 0.01, CHANGE_TIME), None);
        assert_eq!(
            split(9, 1).change_to(Role::Prefill, 0.99, CHANGE_TIME),
            None
        );
    }
}
