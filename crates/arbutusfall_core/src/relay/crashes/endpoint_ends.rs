//! Runs that broke off with their endpoints: which causes of requests were in progress when an endpoint ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::stable_hash;

use crate::relay::CrashCause;
use crate::relay::CrashCauses;
use crate::relay::CrashEvidence;
use crate::relay::CrashId;

/// Time for which broken runs are collected: all runs of an endpoint break off together.
const COLLECT_TIME: Duration = Duration::from_millis(100);

/// Endpoints that end together, with no new run between, from which on they have a cause in common other than a request.
const COMMON_CAUSE_ENDPOINTS: usize = 3;

/// Shortest time between two crashes of one endpoint under the same id.
const MIN_TIME_BETWEEN_CRASHES: Duration = Duration::from_millis(1_500);

/// Time after a crash within which an answer of the endpoint shows that it has not ended.
const ALIVE_WINDOW: Duration = Duration::from_millis(1_000);

/// Parts of one prompt that are taken into account.
const MAX_PARTS: usize = 64;

/// Causes that are recorded as common to all runs with a cause.
const MAX_WITH: usize = 8;

/// Incarnations whose number of crashes is remembered.
const MAX_INCARNATIONS: usize = 10_000;

/// One run of an endpoint's process, as a hash of its instance and its start.
pub(crate) type Incarnation = u64;

/// Returns the incarnation of a listed endpoint.
pub(crate) fn incarnation(instance: &Name, started_unix_ms: Option<u64>) -> Incarnation {
    stable_hash(&(&**instance, started_unix_ms))
}

/// A run that broke off.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRun {
    pub(crate) instance: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent_at: Duration,
    pub(crate) broken_at: Duration,
    pub(crate) causes: CrashCauses,
}

/// Evidence on one cause from one crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CauseCrash {
    pub(crate) cause: CrashCause,
    pub(crate) crash: CrashId,
    pub(crate) evidence: CrashEvidence,
}

/// Crashes of one incarnation: more than one if the endpoint comes back under its id.
#[derive(Debug, Clone, Copy)]
struct CrashCount {
    /// Number of the last crash.
    number: u32,
    /// When this VM saw it or learnt of it at once; none if it was some time ago.
    known_at: Option<Duration>,
}

impl CrashCount {
    /// Returns whether a crash seen now is another one.
    fn is_over(&self, now: Duration) -> bool {
        self.known_at
            .is_none_or(|known_at| now > known_at + MIN_TIME_BETWEEN_CRASHES)
    }

    /// Returns whether an answer now to a request of `sent_at` shows that the endpoint has not ended.
    fn is_disproved(&self, sent_at: Duration, now: Duration) -> bool {
        self.known_at
            .is_some_and(|known_at| sent_at > known_at && now <= known_at + ALIVE_WINDOW)
    }
}

/// Collects broken runs and turns them into evidence.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointEnds {
    broken: Vec<BrokenRun>,
    /// Endpoints of answers that ended with their connections, with the instant at which to check whether they have ended.
    unmarked: BTreeMap<Name, Duration>,
    crashes: FastMap<Incarnation, CrashCount>,
}

impl EndpointEnds {
    pub(crate) fn on_broken(&mut self, run: BrokenRun) {
        self.broken.push(run);
    }

    /// Records an answer that ended with its connection.
    pub(crate) fn on_unmarked_end(&mut self, instance: &Name, now: Duration) {
        let due = now + COLLECT_TIME;
        self.unmarked.entry(instance.clone()).or_insert(due);
    }

    /// Returns the instant at which [`Self::take`] or [`Self::take_unmarked`] has something to do.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        let unmarked = self.unmarked.values().copied().min();
        self.broken_due().into_iter().chain(unmarked).min()
    }

    fn broken_due(&self) -> Option<Duration> {
        Some(self.broken.first()?.broken_at + COLLECT_TIME)
    }

    /// Returns the endpoints to check since answers ended with their connections.
    pub(crate) fn take_unmarked(&mut self, now: Duration) -> Vec<Name> {
        let due = self.unmarked.extract_if(.., |_, due| *due <= now);
        due.map(|(instance, _)| instance).collect()
    }

    /// Returns the evidence from the runs that were collected.
    pub(crate) fn take(&mut self, now: Duration) -> Vec<CauseCrash> {
        if self.broken_due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        let mut endpoints: BTreeMap<Name, Vec<BrokenRun>> = BTreeMap::new();
        for run in std::mem::take(&mut self.broken) {
            endpoints.entry(run.instance.clone()).or_default().push(run);
        }
        keep_one_of_common_cause(&mut endpoints);
        let mut found = Vec::new();
        for (instance, runs) in endpoints {
            let Some(first) = runs.first() else {
                continue;
            };
            let crash = self.crash_id(first.incarnation, now);
            found.extend(evidence(&instance, &crash, &runs));
        }
        found
    }

    /// Returns the id of a crash that this VM has seen now.
    fn crash_id(&mut self, incarnation: Incarnation, now: Duration) -> CrashId {
        if self.crashes.len() >= MAX_INCARNATIONS {
            self.crashes.clear();
        }
        let count = self.crashes.entry(incarnation).or_insert(CrashCount {
            number: 0,
            known_at: Some(now),
        });
        if count.is_over(now) {
            count.number += 1;
        }
        count.known_at = Some(now);
        CrashId(format!("{incarnation:016x}.{}", count.number).into())
    }

    /// Learns of a crash that another VM has seen, now or, with `is_late`, some time ago: the endpoint may be back.
    pub(crate) fn on_known_crash(&mut self, crash: &CrashId, is_late: bool, now: Duration) {
        let Some((incarnation, number)) = parse_crash_id(crash) else {
            return;
        };
        let known = self.crashes.get(&incarnation).map(|count| count.number);
        if self.crashes.len() < MAX_INCARNATIONS && known.is_none_or(|known| known < number) {
            let known_at = (!is_late).then_some(now);
            self.crashes
                .insert(incarnation, CrashCount { number, known_at });
        }
    }

    /// Returns the crash that an endpoint's answer to a request of `sent_at` disproves.
    pub(crate) fn disproved(
        &self,
        incarnation: Incarnation,
        sent_at: Duration,
        now: Duration,
    ) -> Option<CrashId> {
        let count = self.crashes.get(&incarnation)?;
        let is_disproved = count.is_disproved(sent_at, now);
        is_disproved.then(|| CrashId(format!("{incarnation:016x}.{}", count.number).into()))
    }
}

fn parse_crash_id(crash: &CrashId) -> Option<(Incarnation, u32)> {
    let (incarnation, number) = crash.0.split_once('.')?;
    Some((
        Incarnation::from_str_radix(incarnation, 16).ok()?,
        number.parse().ok()?,
    ))
}

/// Keeps one of the endpoints that ended together if a request can't be the cause: several endpoints whose runs had all
/// been sent before the first of them ended, and not all of which ran the same request.
fn keep_one_of_common_cause(endpoints: &mut BTreeMap<Name, Vec<BrokenRun>>) {
    let runs = || endpoints.values().flatten();
    let Some(first_end) = runs().map(|run| run.broken_at).min() else {
        return;
    };
    let has_only_earlier = |runs: &[BrokenRun]| runs.iter().all(|run| run.sent_at < first_end);
    let together = endpoints.iter().filter(|(_, runs)| has_only_earlier(runs));
    let together: Vec<Name> = together.map(|(instance, _)| instance.clone()).collect();
    if together.len() < COMMON_CAUSE_ENDPOINTS || share_request(&together, endpoints) {
        return;
    }
    for instance in &together[1..] {
        endpoints.remove(instance);
    }
}

/// Returns whether one and the same request was in progress on all of these endpoints.
fn share_request(instances: &[Name], endpoints: &BTreeMap<Name, Vec<BrokenRun>>) -> bool {
    let requests_of = |instance: &Name| -> BTreeSet<&CrashCause> {
        let runs = endpoints.get(instance).into_iter().flatten();
        let causes = runs.flat_map(|run| run.causes.iter());
        causes.filter(|cause| cause.is_request()).collect()
    };
    let mut sets = instances.iter().map(requests_of);
    let mut shared = sets.next().unwrap_or_default();
    for requests in sets {
        shared.retain(|request| requests.contains(request));
    }
    !shared.is_empty()
}

fn evidence(instance: &Name, crash: &CrashId, runs: &[BrokenRun]) -> Vec<CauseCrash> {
    let mut with_by_cause: BTreeMap<CrashCause, BTreeSet<CrashCause>> = BTreeMap::new();
    for run in runs {
        let causes = sampled_causes(&run.causes);
        for cause in &causes {
            let others = || causes.iter().filter(|other| *other != cause).cloned();
            let with = with_by_cause
                .entry(cause.clone())
                .or_insert_with(|| others().collect());
            with.retain(|other| causes.contains(other));
        }
    }
    let found = with_by_cause.into_iter().map(|(cause, with)| CauseCrash {
        cause,
        crash: crash.clone(),
        evidence: CrashEvidence {
            instance: instance.clone(),
            with: with.into_iter().take(MAX_WITH).collect(),
            is_late: false,
        },
    });
    found.collect()
}

/// Returns the causes of a request; of the parts of a very long prompt a sample that is the same for all prompts with them.
fn sampled_causes(causes: &CrashCauses) -> BTreeSet<CrashCause> {
    let (itself, mut parts): (Vec<CrashCause>, Vec<CrashCause>) =
        causes.iter().cloned().partition(CrashCause::is_request);
    if parts.len() > MAX_PARTS {
        parts.sort_by_key(stable_hash);
        parts.dedup();
        parts.truncate(MAX_PARTS);
    }
    itself.into_iter().chain(parts).collect()
}
