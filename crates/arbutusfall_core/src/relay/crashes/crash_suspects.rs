//! Causes of crashes: parts of prompts, and single requests, that crash every endpoint that begins to answer them.
//!
//! A cause is suspect while endpoints have ended under it and no request with it has been answered since. Enough crashes of
//! a suspect lead to a block: requests with the cause are refused. A cause that crashes endpoints is never cleared, and
//! one answered request clears any other, so popular causes are not blocked however often endpoints end under them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::relay::CauseBlock;
use crate::relay::CrashCause;
use crate::relay::CrashEvidence;
use crate::relay::CrashId;
use crate::relay::crashes::answered_causes::AnsweredCauses;

/// Crashes that block a part. One fewer than the users' bound begins with: the VM that saw a crash may be gone before
/// it recorded it.
const PART_BLOCKING_CRASHES: usize = 4;

/// Crashes that block a request. With fewer, one attempt and its retry at endpoints that end for other reasons would do.
const REQUEST_BLOCKING_CRASHES: usize = 3;

/// Crashes from which on a broken-off prompt with the part is not sent again.
const PART_SUSPECTED_CRASHES: usize = 2;

/// Crashes, besides its own, from which on a broken-off request is not sent again.
const REQUEST_SUSPECTED_CRASHES: usize = 1;

/// Crashes that no rarer cause explains and that block a cause with enough others: one may have another reason.
const UNEXPLAINED_CRASHES: usize = 2;

/// Time from the last of the blocking crashes to the block, in which any VM may clear the cause.
const SETTLE_TIME: Duration = Duration::from_millis(1_400);

/// Time from the first read of the shared records after an outage until other VMs' answers to what they read then are read.
const HEAR_OTHERS_TIME: Duration = Duration::from_millis(1_200);

/// Shortest time between two delays of blocks by pauses, so that a VM that is paused again and again blocks causes in between.
const PAUSE_DELAY_INTERVAL: Duration = Duration::from_millis(2_600);

/// Time for which evidence is kept.
pub(crate) const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum number of suspects and of blocks that are kept.
const MAX_CAUSES: usize = 4_000;

/// Crashes that are kept for one suspect.
const MAX_CRASHES: usize = 8;

/// Returns the number of crashes that block a cause.
fn blocking_crashes(cause: &CrashCause) -> usize {
    match cause {
        CrashCause::Part(_) => PART_BLOCKING_CRASHES,
        CrashCause::Request(_) => REQUEST_BLOCKING_CRASHES,
    }
}

/// Returns the number of crashes from which on a cause explains those of a more common one. A part may be one crash short of its own
/// block: the crash that makes the common part's number full may have another reason.
fn explaining_crashes(cause: &CrashCause) -> usize {
    match cause {
        CrashCause::Part(_) => PART_BLOCKING_CRASHES - 1,
        CrashCause::Request(_) => REQUEST_BLOCKING_CRASHES,
    }
}

/// Returns the number of known crashes from which on a broken-off request with the cause is not sent again.
fn suspected_crashes(cause: &CrashCause) -> usize {
    match cause {
        CrashCause::Part(_) => PART_SUSPECTED_CRASHES,
        CrashCause::Request(_) => REQUEST_SUSPECTED_CRASHES,
    }
}

/// Evidence with the instant at which this VM learnt of it.
#[derive(Debug, Clone)]
struct KnownEvidence {
    evidence: CrashEvidence,
    known_at: Duration,
    /// Whether this VM saw the crash itself.
    is_own: bool,
}

/// A cause under which endpoints have ended.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: BTreeMap<CrashId, KnownEvidence>,
    /// Instant of the block, once there are enough crashes.
    block_at: Option<Duration>,
}

impl Suspect {
    /// Returns the causes that all broken runs with this one had.
    fn common_causes(&self) -> BTreeSet<CrashCause> {
        let mut sets = self.crashes.values().map(|known| &known.evidence.with);
        let first = sets.next().into_iter().flatten().cloned();
        let mut common: BTreeSet<CrashCause> = first.collect();
        for set in sets {
            common.retain(|cause| set.contains(cause));
        }
        common
    }

    /// Returns whether all requests with this suspect's cause had the other one too, but not the reverse.
    fn is_rarer_than(&self, cause: &CrashCause, other_cause: &CrashCause, other: &Suspect) -> bool {
        self.common_causes().contains(other_cause) && !other.common_causes().contains(cause)
    }

    fn own_crashes(&self) -> usize {
        self.crashes.values().filter(|known| known.is_own).count()
    }

    fn last_known_at(&self) -> Duration {
        let known_at = self.crashes.values().map(|known| known.known_at);
        known_at.max().unwrap_or_default()
    }
}

/// What new evidence changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EvidenceEffect {
    /// The cause's requests have been answered of late, or the evidence is known.
    None,
    /// The cause is blocked already.
    Blocked,
    /// The cause is suspect of one more crash.
    Suspect,
    /// The cause crashes endpoints without some of the causes that the block requires besides.
    Narrowed(CauseBlock),
}

/// A block that this VM has decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NewBlock {
    pub(crate) cause: CrashCause,
    pub(crate) block: CauseBlock,
    /// Crashes that led to it, whose evidence is no longer needed.
    pub(crate) crashes: Vec<CrashId>,
}

/// What was known of a cause until it was cleared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Cleared {
    /// Crashes under which it was in progress.
    pub(crate) crashes: Vec<CrashId>,
    /// Whether its requests were refused.
    pub(crate) was_blocked: bool,
    /// Blocks on other causes that required this one besides, as they are now.
    pub(crate) narrowed: Vec<(CrashCause, CauseBlock)>,
}

/// Suspects and blocks, as this VM knows them.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashSuspects {
    suspects: BTreeMap<CrashCause, Suspect>,
    blocks: BTreeMap<CrashCause, CauseBlock>,
    /// What was known of blocked causes when they were blocked.
    blocked_suspects: BTreeMap<CrashCause, Suspect>,
    answered: AnsweredCauses,
    /// No cause is blocked before this instant: other VMs may be about to clear it.
    blocks_from: Duration,
    /// End of the last pause of this process that has delayed blocks.
    paused_until: Option<Duration>,
    /// Whether the shared records can't be read now.
    is_unreadable: bool,
    /// Evidence that has given way to newer evidence.
    displaced: Vec<(CrashCause, CrashId)>,
}

impl CrashSuspects {
    /// Returns a blocked cause of a request with these causes.
    pub(crate) fn blocked_cause<'a>(&self, causes: &'a [CrashCause]) -> Option<&'a CrashCause> {
        if self.blocks.is_empty() {
            return None;
        }
        causes.iter().find(|cause| {
            let block = self.blocks.get(*cause);
            block.is_some_and(|block| block.with.iter().all(|with| causes.contains(with)))
        })
    }

    /// Returns whether a request that broke off must not be sent again, because it may crash the next endpoint too.
    pub(crate) fn is_suspect(&self, causes: &[CrashCause]) -> bool {
        causes.iter().any(|cause| {
            let suspect = self.suspects.get(cause);
            suspect.is_some_and(|suspect| suspect.crashes.len() >= suspected_crashes(cause))
        })
    }

    /// Returns whether requests with each of these causes have been answered of late.
    pub(crate) fn are_answered(&self, causes: &[CrashCause], now: Duration) -> bool {
        causes.iter().all(|cause| self.is_answered(cause, now))
    }

    /// Returns whether a request with the cause has been answered of late.
    pub(crate) fn is_answered(&self, cause: &CrashCause, now: Duration) -> bool {
        self.answered.contains(cause, now)
    }

    /// Adds evidence of this VM, with `is_own`, or of another one.
    pub(crate) fn on_evidence(
        &mut self,
        cause: &CrashCause,
        crash: &CrashId,
        evidence: CrashEvidence,
        is_own: bool,
        now: Duration,
    ) -> EvidenceEffect {
        if self.is_answered(cause, now) {
            return EvidenceEffect::None;
        }
        if let Some(block) = self.blocks.get_mut(cause) {
            let before = block.with.len();
            block.with.retain(|with| evidence.with.contains(with));
            return if block.with.len() < before {
                EvidenceEffect::Narrowed(block.clone())
            } else {
                EvidenceEffect::Blocked
            };
        }
        self.make_room_for(cause);
        let suspect = self.suspects.entry(cause.clone()).or_default();
        let is_known = suspect.crashes.contains_key(crash);
        if is_known || suspect.crashes.len() >= MAX_CRASHES {
            return EvidenceEffect::None;
        }
        let known_at = now;
        let known = KnownEvidence {
            evidence,
            known_at,
            is_own,
        };
        suspect.crashes.insert(crash.clone(), known);
        if suspect.crashes.len() >= blocking_crashes(cause) {
            suspect.block_at.get_or_insert(now + SETTLE_TIME);
        }
        EvidenceEffect::Suspect
    }

    /// Removes the oldest of the suspects with the fewest crashes if there are too many.
    fn make_room_for(&mut self, cause: &CrashCause) {
        if self.suspects.len() < MAX_CAUSES || self.suspects.contains_key(cause) {
            return;
        }
        let rank = |suspect: &Suspect| (suspect.crashes.len(), suspect.last_known_at());
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| rank(suspect));
        let Some(least) = least.map(|(cause, _)| cause.clone()) else {
            return;
        };
        let removed = self.suspects.remove(&least).unwrap_or_default();
        let crashes = removed.crashes.into_keys();
        self.displaced
            .extend(crashes.map(|crash| (least.clone(), crash)));
    }

    /// Takes the evidence that has given way to newer evidence: no VM needs it any more.
    pub(crate) fn take_displaced(&mut self) -> Vec<(CrashCause, CrashId)> {
        std::mem::take(&mut self.displaced)
    }

    /// Records that a request with this cause was answered, which clears the cause.
    pub(crate) fn on_answered(&mut self, cause: &CrashCause, now: Duration) -> Cleared {
        self.answered.on_answered(cause, now);
        self.clear(cause)
    }

    /// Removes a suspect and its block, and the cause from the blocks that require it besides their own.
    pub(crate) fn clear(&mut self, cause: &CrashCause) -> Cleared {
        let suspect = self.suspects.remove(cause).unwrap_or_default();
        let was_blocked = self.blocks.remove(cause).is_some();
        self.blocked_suspects.remove(cause);
        let mut narrowed = Vec::new();
        for (other, block) in &mut self.blocks {
            let before = block.with.len();
            block.with.retain(|with| with != cause);
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

    /// Removes evidence that was disproved or deleted by another VM; returns whether it was known.
    pub(crate) fn remove_evidence(&mut self, cause: &CrashCause, crash: &CrashId) -> bool {
        let Some(suspect) = self.suspects.get_mut(cause) else {
            return false;
        };
        let was_known = suspect.crashes.remove(crash).is_some();
        if suspect.crashes.len() < blocking_crashes(cause) {
            suspect.block_at = None;
        }
        if suspect.crashes.is_empty() {
            self.suspects.remove(cause);
        }
        was_known
    }

    /// Returns the causes under which this crash is known.
    pub(crate) fn causes_of(&self, crash: &CrashId) -> Vec<CrashCause> {
        let causes = self.suspects.iter();
        let causes = causes.filter(|(_, suspect)| suspect.crashes.contains_key(crash));
        causes.map(|(cause, _)| cause.clone()).collect()
    }

    /// Takes over a block, of this VM or another one. Where VMs differ in the causes that a request must have besides, all
    /// that any of them has ruled out are. Returns the block as it is now; `None` if there are too many.
    pub(crate) fn on_block(&mut self, cause: &CrashCause, block: CauseBlock) -> Option<CauseBlock> {
        if self.blocks.len() >= MAX_CAUSES && !self.blocks.contains_key(cause) {
            return None;
        }
        if let Some(suspect) = self.suspects.remove(cause) {
            self.blocked_suspects.insert(cause.clone(), suspect);
        }
        let known = self
            .blocks
            .entry(cause.clone())
            .or_insert_with(|| block.clone());
        known.with.retain(|with| block.with.contains(with));
        Some(known.clone())
    }

    /// Returns the block on a cause, if any.
    pub(crate) fn block(&self, cause: &CrashCause) -> Option<&CauseBlock> {
        self.blocks.get(cause)
    }

    /// Removes a block on behalf of another VM; returns whether there was one.
    pub(crate) fn on_unblocked(&mut self, cause: &CrashCause) -> bool {
        self.blocked_suspects.remove(cause);
        self.blocks.remove(cause).is_some()
    }

    /// Records that reads of the shared records fail: what other VMs have written before may be deleted by now.
    pub(crate) fn on_shared_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    /// Delays blocks until what other VMs know can have been read again.
    pub(crate) fn on_shared_readable(&mut self, now: Duration) {
        self.is_unreadable = false;
        self.blocks_from = now + HEAR_OTHERS_TIME;
    }

    /// Delays blocks after a pause of this process until what other VMs wrote meanwhile can have been read.
    pub(crate) fn on_paused(&mut self, now: Duration) {
        let last = self.paused_until;
        if last.is_none_or(|last| now >= last + PAUSE_DELAY_INTERVAL) {
            self.paused_until = Some(now);
            self.blocks_from = self.blocks_from.max(now + HEAR_OTHERS_TIME);
        }
    }

    /// Returns the instant of the block on a suspect. While the shared records can't be read, only this VM's own crashes count.
    /// Crashes that a rarer cause explains do not count.
    fn block_at(&self, cause: &CrashCause, suspect: &Suspect) -> Option<Duration> {
        let block_at = suspect.block_at?;
        if self.is_unreadable && suspect.own_crashes() < blocking_crashes(cause) {
            return None;
        }
        let rarer = self.rarer_causes(cause, suspect);
        if rarer.is_empty() {
            return Some(block_at);
        }
        let is_explained = |crash: &CrashId| {
            let mut rarer = rarer.iter();
            rarer.any(|rarer| rarer.crashes.contains_key(crash))
        };
        let crashes = suspect.crashes.iter();
        let unexplained = crashes.filter(|(crash, _)| !is_explained(crash));
        let mut unexplained: Vec<Duration> = unexplained.map(|(_, known)| known.known_at).collect();
        unexplained.sort_unstable();
        let enough_at = unexplained.get(UNEXPLAINED_CRASHES - 1)?;
        Some(block_at.max(*enough_at + SETTLE_TIME))
    }

    /// Returns what is known of rarer causes with enough crashes to explain others: all their requests had this cause too.
    fn rarer_causes(&self, cause: &CrashCause, suspect: &Suspect) -> Vec<&Suspect> {
        let suspects = self.suspects.iter().chain(&self.blocked_suspects);
        let enough =
            suspects.filter(|(other, known)| known.crashes.len() >= explaining_crashes(other));
        let rarer = enough.filter(|(other, known)| known.is_rarer_than(other, cause, suspect));
        rarer.map(|(_, known)| known).collect()
    }

    /// Returns the instant at which [`Self::block_due`] has something to do.
    pub(crate) fn next_block(&self) -> Option<Duration> {
        let due = self.suspects.iter();
        let due = due.filter_map(|(cause, suspect)| self.block_at(cause, suspect));
        let due = due.min()?;
        Some(due.max(self.blocks_from))
    }

    /// Blocks the suspects whose time has come. With too many blocks they stay suspects, to be blocked later.
    pub(crate) fn block_due(&mut self, now: Duration) -> Vec<NewBlock> {
        if now < self.blocks_from {
            return Vec::new();
        }
        let is_due = |(cause, suspect): &(&CrashCause, &Suspect)| {
            self.block_at(cause, suspect)
                .is_some_and(|block_at| block_at <= now)
        };
        let due = self.suspects.iter().filter(is_due);
        let mut blocked: Vec<NewBlock> = due
            .map(|(cause, suspect)| NewBlock {
                cause: cause.clone(),
                block: self.block_of(suspect),
                crashes: suspect.crashes.keys().cloned().collect(),
            })
            .collect();
        blocked.retain(|new| {
            let is_blocked = self.on_block(&new.cause, new.block.clone()).is_some();
            if let Some(suspect) = self.suspects.get_mut(&new.cause) {
                suspect.block_at = Some(now + SETTLE_TIME);
            }
            is_blocked
        });
        blocked
    }

    /// Returns the block on a suspect. Parts that were always there too and are as suspect as it is stay together with
    /// it, so that a request with one of them alone is not refused.
    fn block_of(&self, suspect: &Suspect) -> CauseBlock {
        let is_as_suspect = |cause: &CrashCause| {
            let other = self.suspects.get(cause);
            other.is_some_and(|other| other.crashes.len() >= blocking_crashes(cause))
                || self.blocks.contains_key(cause)
        };
        let mut with = suspect.common_causes();
        with.retain(is_as_suspect);
        let crashes = suspect.crashes.values();
        CauseBlock {
            with: with.into_iter().collect(),
            instances: crashes
                .map(|known| known.evidence.instance.clone())
                .collect(),
        }
    }

    /// Returns the blocks.
    pub(crate) fn blocks(&self) -> &BTreeMap<CrashCause, CauseBlock> {
        &self.blocks
    }

    /// Returns all evidence.
    pub(crate) fn evidence(&self) -> impl Iterator<Item = (&CrashCause, &CrashId, &CrashEvidence)> {
        self.suspects.iter().flat_map(|(cause, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(move |(crash, known)| (cause, crash, &known.evidence))
        })
    }

    /// Removes evidence that is too old to count; returns what was removed.
    pub(crate) fn remove_expired(&mut self, now: Duration) -> Vec<(CrashCause, CrashId)> {
        let mut expired = Vec::new();
        for (cause, suspect) in &self.suspects {
            for (crash, known) in &suspect.crashes {
                if now >= known.known_at + EVIDENCE_LIFETIME {
                    expired.push((cause.clone(), crash.clone()));
                }
            }
        }
        for (cause, crash) in &expired {
            self.remove_evidence(cause, crash);
        }
        expired
    }
}
