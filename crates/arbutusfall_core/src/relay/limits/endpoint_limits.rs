//! Limits that endpoints named, by the run of the endpoint's process.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::relay::EndpointRun;
use crate::relay::ShareHolder;
use crate::relay::limits::endpoint_limit::EndpointLimit;
use crate::relay::limits::endpoint_limit::ShareWrite;

/// Time after this VM lifted a limit in which records of it may still arrive.
const LIFTED_LIFETIME: Duration = Duration::from_millis(2_000);

/// Maximum number of limits that are kept.
const MAX_LIMITS: usize = 20_000;

/// What lifted a limit.
#[derive(Debug, Clone, Copy)]
struct Lift {
    /// When the request was sent whose answer named none.
    sent_at: Duration,
    at: Duration,
}

/// Limits that hold.
#[derive(Debug, Clone)]
pub(crate) struct EndpointLimits {
    /// Name of this VM in the records of shares; new in each run of the process.
    vm: Name,
    limits: BTreeMap<EndpointRun, EndpointLimit>,
    lifts: FastMap<EndpointRun, Lift>,
}

impl EndpointLimits {
    pub(crate) fn new(vm: Name) -> Self {
        Self {
            vm,
            limits: BTreeMap::new(),
            lifts: FastMap::default(),
        }
    }

    /// Returns whether no endpoint has a limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    pub(crate) fn get(&self, run: &EndpointRun) -> Option<&EndpointLimit> {
        self.limits.get(run)
    }

    pub(crate) fn get_mut(&mut self, run: &EndpointRun) -> Option<&mut EndpointLimit> {
        self.limits.get_mut(run)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&EndpointRun, &EndpointLimit)> + Clone {
        self.limits.iter()
    }

    /// Takes the limit that an answer to a request of `sent_at` names; returns whether it is new or changed.
    pub(crate) fn on_named(
        &mut self,
        run: &EndpointRun,
        per_s: f64,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let lift = self.lifts.get(run);
        if lift.is_some_and(|lift| sent_at < lift.sent_at) {
            // A later request was answered before this one, without a limit.
            return false;
        }
        let known = self.limits.get(run);
        if known.is_some_and(|limit| sent_at < limit.named_sent_at) {
            return false;
        }
        let is_changed = self.set(run, per_s, now);
        if let Some(limit) = self.limits.get_mut(run) {
            limit.named_sent_at = sent_at;
        }
        is_changed
    }

    /// Takes the limit that another VM has recorded; returns whether it is new or changed.
    pub(crate) fn on_recorded(&mut self, run: &EndpointRun, per_s: f64, now: Duration) -> bool {
        let lift = self.lifts.get(run);
        if lift.is_some_and(|lift| now < lift.at + LIFTED_LIFETIME) {
            return false;
        }
        self.set(run, per_s, now)
    }

    fn set(&mut self, run: &EndpointRun, per_s: f64, now: Duration) -> bool {
        if let Some(limit) = self.limits.get_mut(run) {
            let is_changed = limit.per_s != per_s;
            if is_changed {
                limit.set_rate(per_s, now);
            }
            return is_changed;
        }
        if self.limits.len() >= MAX_LIMITS {
            return false;
        }
        let limit = EndpointLimit::new(per_s, now);
        self.limits.insert(run.clone(), limit);
        true
    }

    /// Lifts a limit after an answer to a request of `sent_at` that names none; returns the limit if it held.
    pub(crate) fn on_absent(
        &mut self,
        run: &EndpointRun,
        sent_at: Duration,
        now: Duration,
    ) -> Option<EndpointLimit> {
        let limit = self.limits.get(run)?;
        if sent_at < limit.known_at {
            return None;
        }
        self.lifts.retain(|_, lift| now < lift.at + LIFTED_LIFETIME);
        self.lifts.insert(run.clone(), Lift { sent_at, at: now });
        self.limits.remove(run)
    }

    /// Removes a limit that another VM has lifted, or whose endpoint has ended.
    pub(crate) fn remove(&mut self, run: &EndpointRun) -> Option<EndpointLimit> {
        self.limits.remove(run)
    }

    /// Handles a record of a share.
    pub(crate) fn on_share(
        &mut self,
        run: &EndpointRun,
        number: usize,
        holder: Option<ShareHolder>,
        now: Duration,
    ) {
        if let Some(limit) = self.limits.get_mut(run) {
            limit.on_share(number, holder, &self.vm, now);
        }
    }

    /// Returns the records to write now.
    pub(crate) fn review(
        &mut self,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Vec<(EndpointRun, ShareWrite)> {
        let mut writes = Vec::new();
        for (run, limit) in &mut self.limits {
            let of_limit = limit.review(&self.vm, now, rng);
            writes.extend(of_limit.into_iter().map(|write| (run.clone(), write)));
        }
        writes
    }
}
