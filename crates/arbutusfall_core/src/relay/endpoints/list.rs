//! Endpoints that the platform lists.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::EndpointListChange;
use crate::relay::ListedEndpoint;
use crate::relay::RelayNotice;
use crate::relay::calls::call::Call;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::endpoints::leaving_instances::LeavingInstances;
use crate::relay::endpoints::slow_start_counts::SlowStartCounts;
use crate::relay::notice::millis;

/// Grace period after the list could be read again in which removals from it are delayed: endpoints whose entries
/// expired during the outage are listed again within it.
pub const LIST_RECOVERY_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which an instance that was removed, or listed as leaving, is remembered: the platform's copies are some seconds old, and
/// endpoints that leave serve on for many seconds.
pub(crate) const KNOWN_LIFETIME: Duration = Duration::from_secs(60);

/// Time from this VM's first entry of the list in which endpoints count as having served before: the list is read in parts.
const FIRST_LIST_TIME: Duration = Duration::from_secs(2);

/// Endpoints by instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Endpoints {
    by_instance: BTreeMap<Name, Endpoint>,
    /// Whether new, restarted and failed endpoints begin with slow start.
    has_slow_start: bool,
    /// When this VM read the first entry; none before.
    first_listed_at: Option<Duration>,
    pub(crate) slow_start_counts: SlowStartCounts,
    /// Instant until which removals are delayed after the list could be read again.
    removals_delayed_until: Duration,
    leaving: LeavingInstances,
    /// Endpoints that were removed of late. One that leaves serves on, and its answers still say what they say of its process.
    removed: BTreeMap<Name, RemovedEndpoint>,
}

/// An endpoint that was removed from the list.
#[derive(Debug, Clone)]
struct RemovedEndpoint {
    /// What was known of it; `listed` is its last entry.
    endpoint: Endpoint,
    removed_at: Duration,
}

impl Endpoints {
    pub(crate) fn new(has_slow_start: bool) -> Self {
        Self {
            has_slow_start,
            ..Self::default()
        }
    }

    /// Returns whether new, restarted and failed endpoints begin with slow start.
    pub(crate) fn has_slow_start(&self) -> bool {
        self.has_slow_start
    }

    pub(crate) fn get_mut(&mut self, instance: &Name) -> Option<&mut Endpoint> {
        self.by_instance.get_mut(instance)
    }

    pub(crate) fn get(&self, instance: &Name) -> Option<&Endpoint> {
        self.by_instance.get(instance)
    }

    /// Returns an endpoint that is listed, or was of late.
    pub(crate) fn known(&self, instance: &Name) -> Option<&Endpoint> {
        let removed = || Some(&self.removed.get(instance)?.endpoint);
        self.by_instance.get(instance).or_else(removed)
    }

    /// Returns an endpoint that is listed, or was of late.
    pub(crate) fn known_mut(&mut self, instance: &Name) -> Option<&mut Endpoint> {
        let removed = self.removed.get_mut(instance);
        let removed = removed.map(|removed| &mut removed.endpoint);
        self.by_instance.get_mut(instance).or(removed)
    }

    /// Returns an endpoint if its listed process is the one that started then.
    pub(crate) fn get_run_mut(
        &mut self,
        instance: &Name,
        started_unix_ms: Option<u64>,
    ) -> Option<&mut Endpoint> {
        let endpoint = self.by_instance.get_mut(instance)?;
        (endpoint.listed.started_unix_ms == started_unix_ms).then_some(endpoint)
    }

    /// Returns whether no other process of an endpoint is listed than the one that started then; none may be listed any more.
    pub(crate) fn may_be_listed_run(&self, instance: &Name, started_unix_ms: Option<u64>) -> bool {
        let endpoint = self.by_instance.get(instance);
        endpoint.is_none_or(|endpoint| endpoint.listed.started_unix_ms == started_unix_ms)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_instance.values()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Returns the endpoints of a service that take new work, in any role.
    pub(crate) fn of_service<'a>(
        &'a self,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.by_instance.values().filter(move |endpoint| {
            endpoint.listed.service == *service && !endpoint.listed.is_leaving
        })
    }

    /// Lifts the avoidance of all endpoints of a service.
    pub(crate) fn forget_failures(&mut self, service: &Name) {
        let endpoints = self.by_instance.values_mut();
        for endpoint in endpoints.filter(|endpoint| endpoint.listed.service == *service) {
            endpoint.health.on_success();
            endpoint.slow_start = None;
        }
    }

    /// Returns the endpoints of a service and role that do not leave; some may rest.
    pub(crate) fn in_role<'a>(
        &'a self,
        service: &'a Name,
        role: Role,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.of_service(service)
            .filter(move |endpoint| endpoint.listed.role == role)
    }

    /// Returns the endpoints that could take new work of a call in this role if they did not rest.
    pub(crate) fn resting_for_call<'a>(
        &'a self,
        call: &'a Call,
        role: Role,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let version = call.version_for(role);
        self.in_role(&call.service, role).filter(move |endpoint| {
            endpoint.is_resting()
                && version.is_none_or(|version| endpoint.listed.version == *version)
        })
    }

    /// Returns the endpoints of a service and role that take new work.
    pub(crate) fn serving<'a>(
        &'a self,
        service: &'a Name,
        role: Role,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let endpoints = self.in_role(service, role);
        endpoints.filter(|endpoint| !endpoint.is_resting())
    }

    /// Returns the endpoints that take new work of a call in this role. Prefill engines of any version serve a stream of
    /// any other: only the version that decodes writes events.
    pub(crate) fn serving_call<'a>(
        &'a self,
        call: &'a Call,
        role: Role,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let version = call.version_for(role);
        self.serving(&call.service, role).filter(move |endpoint| {
            version.is_none_or(|version| endpoint.listed.version == *version)
        })
    }

    /// Returns the endpoints whose process may not be the listed one.
    pub(crate) fn in_doubt_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.by_instance
            .values_mut()
            .filter(|endpoint| !endpoint.run.is_listed())
    }

    /// Returns service and version of every endpoint.
    pub(crate) fn versions(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.by_instance
            .values()
            .map(|endpoint| (&endpoint.listed.service, &endpoint.listed.version))
    }

    /// Delays removals, so that endpoints whose entries expired while the list could not be read can be listed again.
    pub(crate) fn on_list_recovered(&mut self, now: Duration) {
        self.removals_delayed_until = now + LIST_RECOVERY_GRACE;
    }

    /// Instant until which removals are delayed after the list could be read again.
    pub(crate) fn removals_delayed_until(&self) -> Duration {
        self.removals_delayed_until
    }

    /// Applies changes of the list; returns notices to log.
    pub(crate) fn apply(
        &mut self,
        changes: Vec<EndpointListChange>,
        now: Duration,
    ) -> Vec<RelayNotice> {
        let mut notices = Vec::new();
        for change in changes {
            match change {
                EndpointListChange::Listed(listed) => {
                    let listed = self.leaving.with_known(listed, now);
                    notices.extend(self.add_or_update(listed, now));
                }
                EndpointListChange::Removed { instance } => self.mark_unlisted(&instance, now),
                EndpointListChange::FullList(instances) => {
                    let all: Vec<Name> = self.by_instance.keys().cloned().collect();
                    for instance in all {
                        if !instances.contains(&instance) {
                            self.mark_unlisted(&instance, now);
                        }
                    }
                }
            }
        }
        notices.extend(self.remove_unlisted(now));
        notices
    }

    /// Records that an endpoint says itself that it is leaving; returns a notice to log if that is new. It holds until the
    /// endpoint starts again under its id.
    pub(crate) fn on_leaving(&mut self, instance: &Name, now: Duration) -> Option<RelayNotice> {
        let is_listed = self.by_instance.contains_key(instance);
        let listed = &mut self.known_mut(instance)?.listed;
        let was_leaving = std::mem::replace(&mut listed.is_leaving, true);
        if was_leaving && is_listed {
            return None;
        }
        let (service, started_unix_ms) = (listed.service.clone(), listed.started_unix_ms);
        self.leaving.on_own_word(instance, started_unix_ms, now);
        (!was_leaving).then(|| RelayNotice::EndpointLeaving {
            instance: instance.clone(),
            service,
        })
    }

    fn add_or_update(&mut self, listed: ListedEndpoint, now: Duration) -> Option<RelayNotice> {
        let notice = RelayNotice::EndpointListed {
            instance: listed.instance.clone(),
            service: listed.service.clone(),
            version: listed.version.clone(),
            started_unix_ms: listed.started_unix_ms,
            is_leaving: listed.is_leaving,
        };
        let first_listed_at = *self.first_listed_at.get_or_insert(now);
        let Some(existing) = self.by_instance.get_mut(&listed.instance) else {
            let instance = listed.instance.clone();
            let mut endpoint = match self.removed.remove(&instance) {
                Some(mut removed) => {
                    removed.endpoint.restart(listed, now);
                    removed.endpoint
                }
                None => Endpoint::new(listed, now),
            };
            if self.has_slow_start && now >= first_listed_at + FIRST_LIST_TIME {
                endpoint.begin_slow_start(now);
                self.slow_start_counts.begun += 1;
            }
            self.by_instance.insert(instance, endpoint);
            return Some(notice);
        };
        existing.remove_at = None;
        let has_restarted = existing.listed.started_unix_ms != listed.started_unix_ms;
        let must_reset = has_restarted || existing.listed.address != listed.address;
        let is_changed = must_reset
            || existing.listed.is_leaving != listed.is_leaving
            || existing.listed.version != listed.version
            || existing.listed.role != listed.role;
        if existing.listed.role != listed.role {
            existing.role_changed_at = Some(now);
        }
        if must_reset {
            existing.restart(listed, now);
            if self.has_slow_start {
                existing.begin_slow_start(now);
                self.slow_start_counts.begun += 1;
            }
        } else {
            existing.update(listed);
        }
        is_changed.then_some(notice)
    }

    fn mark_unlisted(&mut self, instance: &Name, now: Duration) {
        if let Some(endpoint) = self.by_instance.get_mut(instance) {
            endpoint
                .remove_at
                .get_or_insert(self.removals_delayed_until.max(now));
        }
    }

    /// Removes unlisted endpoints whose removal is due; returns notices to log.
    pub(crate) fn remove_unlisted(&mut self, now: Duration) -> Vec<RelayNotice> {
        let mut notices = Vec::new();
        let removed = &mut self.removed;
        removed.retain(|_, known| now < known.removed_at + KNOWN_LIFETIME);
        let is_due = |endpoint: &mut Endpoint| {
            let remove_at = endpoint.remove_at;
            remove_at.is_some_and(|remove_at| now >= remove_at)
        };
        let gone = self
            .by_instance
            .extract_if(.., |_, endpoint| is_due(endpoint));
        for (instance, endpoint) in gone {
            let known = RemovedEndpoint {
                endpoint,
                removed_at: now,
            };
            removed.insert(instance.clone(), known);
            notices.push(RelayNotice::EndpointGone { instance });
        }
        notices
    }

    /// Records a failure of the endpoint; returns a notice to log if the endpoint is avoided from now on.
    pub(crate) fn on_failed(&mut self, instance: &Name, now: Duration) -> Option<RelayNotice> {
        let endpoint = self.by_instance.get_mut(instance)?;
        endpoint.raise_failure_fraction(now);
        endpoint.health.on_failure(now);
        if let Some(starting) = &mut endpoint.slow_start {
            starting.on_failed(now);
        } else if self.has_slow_start {
            endpoint.begin_slow_start(now);
            self.slow_start_counts.begun += 1;
        }
        let avoided = endpoint.health.avoided_for(now)?;
        Some(RelayNotice::EndpointAvoided {
            instance: instance.clone(),
            service: endpoint.listed.service.clone(),
            avoided_ms: millis(avoided),
        })
    }
}
