//! Streams that broke off with their engines: which parts of prompts were in progress when an engine ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::stable_hash;

use crate::relay::CrashEvidence;
use crate::relay::CrashId;
use crate::relay::PartId;
use crate::relay::SharedParts;

/// Time for which broken streams are collected: all streams of an engine break off together.
const COLLECT_TIME: Duration = Duration::from_millis(100);

/// Engines that end together, with no new stream between, from which on they have a cause in common other than a prompt.
const COMMON_CAUSE_ENGINES: usize = 3;

/// Shortest time between two crashes of one engine under the same id.
const MIN_TIME_BETWEEN_CRASHES: Duration = Duration::from_millis(1_500);

/// Time after a crash within which an answer of the engine shows that it has not ended.
const ALIVE_WINDOW: Duration = Duration::from_millis(1_000);

/// Parts of one prompt that are taken into account.
const MAX_PARTS: usize = 64;

/// Parts that are recorded as common to all streams with a part.
const MAX_WITH: usize = 8;

/// Incarnations whose number of crashes is remembered.
const MAX_INCARNATIONS: usize = 10_000;

/// One run of an engine's process, as a hash of its instance and its start.
pub(crate) type Incarnation = u64;

/// Returns the incarnation of a listed engine.
pub(crate) fn incarnation(instance: &Name, started_unix_ms: Option<u64>) -> Incarnation {
    stable_hash(&(&**instance, started_unix_ms))
}

/// A stream that broke off.
#[derive(Debug, Clone)]
pub(crate) struct BrokenStream {
    pub(crate) instance: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent_at: Duration,
    pub(crate) broken_at: Duration,
    pub(crate) parts: SharedParts,
}

/// Evidence on one part from one crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PartCrash {
    pub(crate) part: PartId,
    pub(crate) crash: CrashId,
    pub(crate) evidence: CrashEvidence,
}

/// Crashes of one incarnation: more than one if the engine comes back under its id.
#[derive(Debug, Clone, Copy)]
struct CrashCount {
    /// Number of the last crash.
    number: u32,
    known_at: Duration,
}

/// Collects broken streams and turns them into evidence.
#[derive(Debug, Default)]
pub(crate) struct EngineEnds {
    broken: Vec<BrokenStream>,
    crashes: FastMap<Incarnation, CrashCount>,
}

impl EngineEnds {
    pub(crate) fn on_broken(&mut self, stream: BrokenStream) {
        self.broken.push(stream);
    }

    /// Returns the instant at which [`Self::take`] has something to do.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        Some(self.broken.first()?.broken_at + COLLECT_TIME)
    }

    /// Returns the evidence from the streams that were collected.
    pub(crate) fn take(&mut self, now: Duration) -> Vec<PartCrash> {
        if self.next_due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        let mut engines: BTreeMap<Name, Vec<BrokenStream>> = BTreeMap::new();
        for stream in std::mem::take(&mut self.broken) {
            engines
                .entry(stream.instance.clone())
                .or_default()
                .push(stream);
        }
        keep_one_of_common_cause(&mut engines);
        let mut found = Vec::new();
        for (instance, streams) in engines {
            let Some(first) = streams.first() else {
                continue;
            };
            let crash = self.crash_id(first.incarnation, now);
            found.extend(evidence(&instance, &crash, &streams));
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
            known_at: now,
        });
        if now > count.known_at + MIN_TIME_BETWEEN_CRASHES {
            count.number += 1;
        }
        count.known_at = now;
        CrashId(format!("{incarnation:016x}.{}", count.number).into())
    }

    /// Learns of a crash that another VM has seen.
    pub(crate) fn on_known_crash(&mut self, crash: &CrashId, now: Duration) {
        let Some((incarnation, number)) = parse_crash_id(crash) else {
            return;
        };
        let known = self.crashes.get(&incarnation).map(|count| count.number);
        if self.crashes.len() < MAX_INCARNATIONS && known.is_none_or(|known| known < number) {
            let known_at = now;
            self.crashes
                .insert(incarnation, CrashCount { number, known_at });
        }
    }

    /// Returns the crash that an engine's answer to a request of `sent_at` disproves.
    pub(crate) fn disproved(
        &self,
        incarnation: Incarnation,
        sent_at: Duration,
        now: Duration,
    ) -> Option<CrashId> {
        let count = self.crashes.get(&incarnation)?;
        let is_disproved = sent_at > count.known_at && now <= count.known_at + ALIVE_WINDOW;
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

/// Keeps one of the engines that ended together if a prompt can't be the cause: several engines whose streams had all
/// been sent before the first of them ended.
fn keep_one_of_common_cause(engines: &mut BTreeMap<Name, Vec<BrokenStream>>) {
    let streams = || engines.values().flatten();
    let Some(first_end) = streams().map(|stream| stream.broken_at).min() else {
        return;
    };
    let has_only_earlier =
        |streams: &[BrokenStream]| streams.iter().all(|stream| stream.sent_at < first_end);
    let together = engines
        .iter()
        .filter(|(_, streams)| has_only_earlier(streams));
    let together: Vec<Name> = together.map(|(instance, _)| instance.clone()).collect();
    if together.len() < COMMON_CAUSE_ENGINES {
        return;
    }
    for instance in &together[1..] {
        engines.remove(instance);
    }
}

fn evidence(instance: &Name, crash: &CrashId, streams: &[BrokenStream]) -> Vec<PartCrash> {
    let mut with_by_part: BTreeMap<PartId, BTreeSet<PartId>> = BTreeMap::new();
    for stream in streams {
        let parts = sampled_parts(&stream.parts);
        for part in &parts {
            let others = || parts.iter().filter(|other| *other != part).cloned();
            let with = with_by_part
                .entry(part.clone())
                .or_insert_with(|| others().collect());
            with.retain(|other| parts.contains(other));
        }
    }
    let found = with_by_part.into_iter().map(|(part, with)| PartCrash {
        part,
        crash: crash.clone(),
        evidence: CrashEvidence {
            instance: instance.clone(),
            with: with.into_iter().take(MAX_WITH).collect(),
        },
    });
    found.collect()
}

/// Returns the parts of a prompt, or of a very long one a sample that is the same for all prompts with the same parts.
fn sampled_parts(parts: &SharedParts) -> BTreeSet<PartId> {
    let all: BTreeSet<PartId> = parts.iter().cloned().collect();
    if all.len() <= MAX_PARTS {
        return all;
    }
    let mut by_hash: Vec<PartId> = all.into_iter().collect();
    by_hash.sort_by_key(stable_hash);
    by_hash.into_iter().take(MAX_PARTS).collect()
}
