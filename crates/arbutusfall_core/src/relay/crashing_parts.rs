//! Parts of prompts that crash every engine that begins to answer them.
//!
//! A part is suspect while engines have ended under it and no prompt with it has been answered since. Enough crashes of
//! a suspect lead to a block: prompts with the part are refused. A part that crashes engines is never cleared, and
//! one answered prompt clears any other, so popular parts are not blocked however often engines end under them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_wire::FastMap;

use crate::relay::CrashEvidence;
use crate::relay::CrashId;
use crate::relay::PartBlock;
use crate::relay::PartId;

/// Crashes that block a part. One fewer than the users' bound begins with: the VM that saw a crash may be gone before
/// it recorded it.
const BLOCKING_CRASHES: usize = 4;

/// Crashes from which on a broken-off prompt with the part is not sent again.
const SUSPECTED_CRASHES: usize = 2;

/// Time from the last of these crashes to the block, in which any VM may clear the part.
const SETTLE_TIME: Duration = Duration::from_millis(1_400);

/// Time for which an answered prompt speaks for its parts.
const ANSWERED_LIFETIME: Duration = Duration::from_secs(3);

/// Time for which evidence is kept.
pub(crate) const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum number of suspects, blocks and answered parts that are kept.
const MAX_PARTS: usize = 4_000;

/// Crashes that are kept for one suspect.
const MAX_CRASHES: usize = 8;

/// Evidence with the instant at which this VM learnt of it.
#[derive(Debug, Clone)]
struct KnownEvidence {
    evidence: CrashEvidence,
    known_at: Duration,
}

/// A part under which engines have ended.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: BTreeMap<CrashId, KnownEvidence>,
    /// Instant of the block, once there are enough crashes.
    block_at: Option<Duration>,
}

impl Suspect {
    /// Returns the parts that all broken streams with this one had.
    fn common_parts(&self) -> BTreeSet<PartId> {
        let mut sets = self.crashes.values().map(|known| &known.evidence.with);
        let first = sets.next().into_iter().flatten().cloned();
        let mut common: BTreeSet<PartId> = first.collect();
        for set in sets {
            common.retain(|part| set.contains(part));
        }
        common
    }

    fn last_known_at(&self) -> Duration {
        let known_at = self.crashes.values().map(|known| known.known_at);
        known_at.max().unwrap_or_default()
    }
}

/// What new evidence changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EvidenceEffect {
    /// The part's prompts have been answered of late, or the evidence is known.
    None,
    /// The part is blocked already.
    Blocked,
    /// The part is suspect of one more crash.
    Suspect,
    /// The part crashes engines without some of the parts that the block requires besides.
    Narrowed(PartBlock),
}

/// A block that this VM has decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NewBlock {
    pub(crate) part: PartId,
    pub(crate) block: PartBlock,
    /// Crashes that led to it, whose evidence is no longer needed.
    pub(crate) crashes: Vec<CrashId>,
}

/// What was known of a part until it was cleared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Cleared {
    /// Crashes under which it was in progress.
    pub(crate) crashes: Vec<CrashId>,
    /// Whether its prompts were refused.
    pub(crate) was_blocked: bool,
    /// Blocks on other parts that required this one besides, as they are now.
    pub(crate) narrowed: Vec<(PartId, PartBlock)>,
}

/// Suspects and blocks, as this VM knows them.
#[derive(Debug, Default)]
pub(crate) struct CrashingParts {
    suspects: BTreeMap<PartId, Suspect>,
    blocks: BTreeMap<PartId, PartBlock>,
    /// When a prompt with the part was last answered at this VM.
    answered: FastMap<PartId, Duration>,
    /// When entries of `answered` that are too old were last removed.
    answered_reviewed_at: Duration,
}

impl CrashingParts {
    /// Returns a blocked part of a prompt with these parts.
    pub(crate) fn blocked_part<'a>(&self, parts: &'a [PartId]) -> Option<&'a PartId> {
        if self.blocks.is_empty() {
            return None;
        }
        parts.iter().find(|part| {
            let block = self.blocks.get(*part);
            block.is_some_and(|block| block.with.iter().all(|with| parts.contains(with)))
        })
    }

    /// Returns whether a prompt that broke off must not be sent again, because it may crash the next engine too.
    pub(crate) fn is_suspect(&self, parts: &[PartId]) -> bool {
        let mut suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        suspects.any(|suspect| suspect.crashes.len() >= SUSPECTED_CRASHES)
    }

    /// Returns whether prompts with each of these parts have been answered of late.
    pub(crate) fn are_answered(&self, parts: &[PartId], now: Duration) -> bool {
        parts.iter().all(|part| self.is_answered(part, now))
    }

    /// Returns whether a prompt with the part has been answered of late.
    pub(crate) fn is_answered(&self, part: &PartId, now: Duration) -> bool {
        let at = self.answered.get(part);
        at.is_some_and(|at| now <= *at + ANSWERED_LIFETIME)
    }

    /// Adds evidence of this VM or of another one.
    pub(crate) fn on_evidence(
        &mut self,
        part: &PartId,
        crash: &CrashId,
        evidence: CrashEvidence,
        now: Duration,
    ) -> EvidenceEffect {
        if self.is_answered(part, now) {
            return EvidenceEffect::None;
        }
        if let Some(block) = self.blocks.get_mut(part) {
            let before = block.with.len();
            block.with.retain(|with| evidence.with.contains(with));
            return if block.with.len() < before {
                EvidenceEffect::Narrowed(block.clone())
            } else {
                EvidenceEffect::Blocked
            };
        }
        self.make_room_for(part);
        let suspect = self.suspects.entry(part.clone()).or_default();
        let is_known = suspect.crashes.contains_key(crash);
        if is_known || suspect.crashes.len() >= MAX_CRASHES {
            return EvidenceEffect::None;
        }
        let known_at = now;
        let known = KnownEvidence { evidence, known_at };
        suspect.crashes.insert(crash.clone(), known);
        if suspect.crashes.len() >= BLOCKING_CRASHES {
            suspect.block_at.get_or_insert(now + SETTLE_TIME);
        }
        EvidenceEffect::Suspect
    }

    /// Removes a suspect of a single crash if there are too many. Suspects of more crashes are never pushed out.
    fn make_room_for(&mut self, part: &PartId) {
        if self.suspects.len() < MAX_PARTS || self.suspects.contains_key(part) {
            return;
        }
        let single = self.suspects.iter();
        let single = single.filter(|(_, suspect)| suspect.crashes.len() < SUSPECTED_CRASHES);
        let oldest = single.min_by_key(|(_, suspect)| suspect.last_known_at());
        if let Some(oldest) = oldest.map(|(part, _)| part.clone()) {
            self.suspects.remove(&oldest);
        }
    }

    /// Records that a prompt with this part was answered, which clears the part.
    pub(crate) fn on_answered(&mut self, part: &PartId, now: Duration) -> Cleared {
        if now >= self.answered_reviewed_at + ANSWERED_LIFETIME {
            self.answered_reviewed_at = now;
            self.answered.retain(|_, at| now <= *at + ANSWERED_LIFETIME);
        }
        if self.answered.len() < MAX_PARTS || self.answered.contains_key(part) {
            self.answered.insert(part.clone(), now);
        }
        self.clear(part)
    }

    /// Removes a suspect and its block, and the part from the blocks that require it besides their own.
    pub(crate) fn clear(&mut self, part: &PartId) -> Cleared {
        let suspect = self.suspects.remove(part).unwrap_or_default();
        let was_blocked = self.blocks.remove(part).is_some();
        let mut narrowed = Vec::new();
        for (other, block) in &mut self.blocks {
            let before = block.with.len();
            block.with.retain(|with| with != part);
            if block.with.len() < before {
                narrowed.push((other.clone(), block.clone()));
            }
        }
        Cleared {
            crashes: suspect.crashes.into_keys().collect(),
            was_blocked,
            narrowed,
        }
    }

    /// Removes evidence that was disproved or deleted by another VM.
    pub(crate) fn remove_evidence(&mut self, part: &PartId, crash: &CrashId) {
        let Some(suspect) = self.suspects.get_mut(part) else {
            return;
        };
        suspect.crashes.remove(crash);
        if suspect.crashes.len() < BLOCKING_CRASHES {
            suspect.block_at = None;
        }
        if suspect.crashes.is_empty() {
            self.suspects.remove(part);
        }
    }

    /// Returns the parts under which this crash is known.
    pub(crate) fn parts_of(&self, crash: &CrashId) -> Vec<PartId> {
        let parts = self.suspects.iter();
        let parts = parts.filter(|(_, suspect)| suspect.crashes.contains_key(crash));
        parts.map(|(part, _)| part.clone()).collect()
    }

    /// Takes over a block, of this VM or another one. Where VMs differ in the parts that a prompt must have besides, all
    /// that any of them has ruled out are. Returns the block as it is now; `None` if there are too many.
    pub(crate) fn on_block(&mut self, part: &PartId, block: PartBlock) -> Option<PartBlock> {
        if self.blocks.len() >= MAX_PARTS && !self.blocks.contains_key(part) {
            return None;
        }
        self.suspects.remove(part);
        let known = self
            .blocks
            .entry(part.clone())
            .or_insert_with(|| block.clone());
        known.with.retain(|with| block.with.contains(with));
        Some(known.clone())
    }

    /// Returns the block on a part, if any.
    pub(crate) fn block(&self, part: &PartId) -> Option<&PartBlock> {
        self.blocks.get(part)
    }

    /// Removes a block on behalf of another VM; returns whether there was one.
    pub(crate) fn on_unblocked(&mut self, part: &PartId) -> bool {
        self.blocks.remove(part).is_some()
    }

    /// Returns the instant at which [`Self::block_due`] has something to do.
    pub(crate) fn next_block(&self) -> Option<Duration> {
        let due = self.suspects.values();
        due.filter_map(|suspect| suspect.block_at).min()
    }

    /// Blocks the suspects whose time has come.
    pub(crate) fn block_due(&mut self, now: Duration) -> Vec<NewBlock> {
        let due = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.block_at.is_some_and(|block_at| block_at <= now));
        let blocked: Vec<NewBlock> = due
            .map(|(part, suspect)| NewBlock {
                part: part.clone(),
                block: self.block_of(suspect),
                crashes: suspect.crashes.keys().cloned().collect(),
            })
            .collect();
        for new in &blocked {
            self.on_block(&new.part, new.block.clone());
        }
        blocked
    }

    /// Returns the block on a suspect. Parts that were always there too and are as suspect as it is stay together with
    /// it, so that a prompt with one of them alone is not refused.
    fn block_of(&self, suspect: &Suspect) -> PartBlock {
        let is_as_suspect = |part: &PartId| {
            let other = self.suspects.get(part);
            other.is_some_and(|other| other.crashes.len() >= BLOCKING_CRASHES)
        };
        let mut with = suspect.common_parts();
        with.retain(is_as_suspect);
        let crashes = suspect.crashes.values();
        PartBlock {
            with: with.into_iter().collect(),
            instances: crashes
                .map(|known| known.evidence.instance.clone())
                .collect(),
        }
    }

    /// Returns the blocks.
    pub(crate) fn blocks(&self) -> &BTreeMap<PartId, PartBlock> {
        &self.blocks
    }

    /// Returns all evidence.
    pub(crate) fn evidence(&self) -> impl Iterator<Item = (&PartId, &CrashId, &CrashEvidence)> {
        self.suspects.iter().flat_map(|(part, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(move |(crash, known)| (part, crash, &known.evidence))
        })
    }

    /// Removes evidence that is too old to count; returns what was removed.
    pub(crate) fn remove_expired(&mut self, now: Duration) -> Vec<(PartId, CrashId)> {
        let mut expired = Vec::new();
        for (part, suspect) in &self.suspects {
            for (crash, known) in &suspect.crashes {
                if now >= known.known_at + EVIDENCE_LIFETIME {
                    expired.push((part.clone(), crash.clone()));
                }
            }
        }
        for (part, crash) in &expired {
            self.remove_evidence(part, crash);
        }
        expired
    }
}
