//! Versions of the configuration that were read, and which of them is in force.

use std::sync::Arc;
use std::time::Duration;

use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::RelayRoute;
use crate::relay::RouteTable;
use crate::relay::StoreTopic;
use crate::relay::notice::millis;

/// The configuration in force, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigStatus {
    /// Its version.
    pub version: u64,
    /// Number of its routes.
    pub routes: usize,
    /// Time since the configuration was last read; a newer version may have been written since then.
    pub unread_for: Duration,
}

impl Relay {
    /// Returns the configuration in force at `now`, if any; `now` is monotonic.
    pub fn config_status(&self, now: Duration) -> Option<ConfigStatus> {
        let routes = self.routes.as_ref()?;
        let unread_for = self.store.unread_for(StoreTopic::Config, now);
        Some(ConfigStatus {
            version: routes.version,
            routes: routes.routes.len(),
            unread_for: unread_for.unwrap_or_default(),
        })
    }

    /// Puts a configuration in force unless one of the same or a newer version already is.
    pub(in crate::relay) fn on_new_config(&mut self, routes: Arc<RouteTable>) {
        let replaced_version = self.config_version();
        if replaced_version.is_some_and(|current| current >= routes.version) {
            self.note_if_older(routes.version);
            return;
        }
        let unread_for = self.store.read_gap(StoreTopic::Config);
        self.note(RelayNotice::ConfigInForce {
            version: routes.version,
            routes: routes.routes.len(),
            replaced_version,
            unread_ms: unread_for.map(millis),
        });
        if replaced_version.is_none() {
            let names = routes.routes.iter().map(|route| route.name.clone());
            self.first_routes = names.collect();
        }
        self.routes = Some(routes.clone());
        self.review_waiting_accounts(&routes);
        // Versions of services that were not configured before are not recorded yet.
        self.review_recorded_versions();
    }

    /// Logs a version older than the one in force. The same version is read again after history was deleted.
    fn note_if_older(&mut self, version: u64) {
        let in_force = self.config_version();
        if in_force == Some(version) {
            return;
        }
        self.note(RelayNotice::ConfigIgnored {
            version: Some(version),
            in_force,
            reason: "older",
        });
    }

    pub(in crate::relay) fn on_unreadable_config(&mut self) {
        let in_force = self.config_version();
        self.note(RelayNotice::ConfigIgnored {
            version: None,
            in_force,
            reason: "malformed",
        });
    }

    /// Returns the version in force, if any.
    pub(in crate::relay) fn config_version(&self) -> Option<u64> {
        self.routes.as_ref().map(|routes| routes.version)
    }

    /// Returns whether a route is missing in the first configuration that this process read.
    pub(in crate::relay) fn is_added_route(&self, route: &RelayRoute) -> bool {
        !self.first_routes.contains(&route.name)
    }
}
