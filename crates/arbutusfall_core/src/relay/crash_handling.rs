//! The relay's use of [`CrashingParts`](crate::relay::crashing_parts::CrashingParts): evidence from broken streams and
//! other VMs, blocks, and the refusal of prompts.

use std::time::Duration;

use crate::CallId;
use crate::relay::CrashEvidence;
use crate::relay::CrashId;
use crate::relay::PartBlock;
use crate::relay::PartId;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::SharedRecord;
use crate::relay::call::CallStage;
use crate::relay::call::CurrentExchange;
use crate::relay::crashing_parts::Cleared;
use crate::relay::crashing_parts::EvidenceEffect;
use crate::relay::engine_ends::BrokenStream;
use crate::relay::engine_ends::incarnation;

/// Time for which a stream has brought events after which its prompt has not crashed the engine.
const SURVIVAL_TIME: Duration = Duration::from_secs(2);

/// Engines under which one request may end before only prompts with proved parts are sent again.
const MAX_ENGINE_ENDS: u32 = 2;

/// Longest random delay of a record that several VMs may be about to write, for each VM. The first one is enough.
const DELAY_PER_VM: Duration = Duration::from_millis(2);

/// Time after which evidence on a blocked part is deleted: all VMs have read it by then.
const BLOCKED_EVIDENCE_LIFETIME: Duration = Duration::from_secs(2);

/// Reason of a refusal of a prompt that would crash its engine.
pub(super) const CRASHING_PART: &str = "crashing_part";

impl Relay {
    /// Records that a stream of the call broke off, if its prompt may be the cause.
    pub(super) fn record_broken_stream(
        &mut self,
        id: CallId,
        broken: &CurrentExchange,
        began_at: Option<Duration>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get(&broken.instance) else {
            return;
        };
        if !matches!(broken.stage, CallStage::Decode { .. }) {
            return;
        }
        call.engine_ends += 1;
        let has_survived = began_at.is_some_and(|began_at| self.now >= began_at + SURVIVAL_TIME);
        if has_survived || call.request.shared_parts.is_empty() {
            return;
        }
        self.engine_ends.on_broken(BrokenStream {
            instance: broken.instance.clone(),
            incarnation: incarnation(&broken.instance, endpoint.listed.started_unix_ms),
            sent_at: broken.sent_at,
            broken_at: self.now,
            parts: call.request.shared_parts.clone(),
        });
        self.set_shared_timer();
    }

    /// Returns whether a request whose engines ended must not be sent again.
    pub(super) fn may_crash_next_engine(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let parts = &call.request.shared_parts;
        if call.engine_ends == 0 || parts.is_empty() {
            return false;
        }
        let has_ended_several = call.engine_ends >= MAX_ENGINE_ENDS;
        self.crashing_parts.is_suspect(parts)
            || (has_ended_several && !self.crashing_parts.are_answered(parts, self.now))
    }

    /// Returns whether the call's prompt has a part that crashes engines.
    pub(super) fn has_crashing_part(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        let parts = call.map(|call| &call.request.shared_parts);
        parts.is_some_and(|parts| self.crashing_parts.blocked_part(parts).is_some())
    }

    /// Handles an answer of an engine to an exchange: the engine has not ended since the exchange was sent.
    pub(super) fn on_engine_alive(&mut self, id: CallId) {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        let Some(current) = current else {
            return;
        };
        let sent_at = current.sent_at;
        let Some(endpoint) = self.endpoints.get_mut(&current.instance) else {
            return;
        };
        let proved = endpoint.take_proved_parts(sent_at, self.now);
        let run = incarnation(&current.instance, endpoint.listed.started_unix_ms);
        for parts in proved {
            self.on_parts_answered(&parts);
        }
        let Some(crash) = self.engine_ends.disproved(run, sent_at, self.now) else {
            return;
        };
        for part in self.crashing_parts.parts_of(&crash) {
            self.crashing_parts.remove_evidence(&part, &crash);
            self.delete_evidence(part, crash.clone(), self.now);
        }
    }

    /// Handles a stream that has lasted long enough to clear its prompt's parts.
    pub(super) fn on_stream_lasting(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let lasts = call
            .stream_began_at
            .is_some_and(|began_at| self.now >= began_at + SURVIVAL_TIME);
        if !lasts || std::mem::replace(&mut call.has_survived, true) {
            return;
        }
        let parts = call.request.shared_parts.clone();
        self.on_parts_answered(&parts);
    }

    /// Handles the complete answer of an engine: it clears the prompt's parts, at once if its end was marked.
    pub(super) fn on_prompt_answered(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        if !matches!(current.stage, CallStage::Decode { .. }) {
            return;
        }
        let parts = call.request.shared_parts.clone();
        if call.is_end_unmarked {
            if let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
                endpoint.on_unmarked_end(parts, self.now);
            }
            return;
        }
        self.on_parts_answered(&parts);
    }

    fn on_parts_answered(&mut self, parts: &[PartId]) {
        for part in parts {
            let cleared = self.crashing_parts.on_answered(part, self.now);
            self.on_part_cleared(part, cleared, "answered");
        }
    }

    /// Unblocks a part on behalf of an operator.
    pub(super) fn unblock_part(&mut self, part: &PartId) {
        let cleared = self.crashing_parts.clear(part);
        self.on_part_cleared(part, cleared, "operator");
    }

    fn on_part_cleared(&mut self, part: &PartId, cleared: Cleared, reason: &'static str) {
        for crash in cleared.crashes {
            let due = self.now + self.random_delay();
            self.delete_evidence(part.clone(), crash, due);
        }
        for (other, block) in cleared.narrowed {
            self.announce_block(other, block, self.now);
        }
        if cleared.was_blocked {
            self.announce_unblock(part, reason);
        }
    }

    /// Returns the parts whose prompts are refused, with the block on each.
    pub fn blocked_parts(&self) -> impl Iterator<Item = (&PartId, &PartBlock)> {
        self.crashing_parts.blocks().iter()
    }

    fn announce_unblock(&mut self, part: &PartId, reason: &'static str) {
        self.note(RelayNotice::PartUnblocked {
            part: part.clone(),
            reason,
        });
        let record = SharedRecord::Block {
            part: part.clone(),
            block: None,
        };
        self.shared_outbox.push(record, self.now);
        self.set_shared_timer();
    }

    fn delete_evidence(&mut self, part: PartId, crash: CrashId, due: Duration) {
        let evidence = None;
        let record = SharedRecord::Crash {
            part,
            crash,
            evidence,
        };
        self.shared_outbox.push(record, due);
        self.set_shared_timer();
    }

    /// Returns a random time within which one VM of many writes first.
    pub(super) fn random_delay(&mut self) -> Duration {
        (DELAY_PER_VM * self.vm_count).mul_f64(self.rng.f64())
    }

    /// Handles evidence of another VM.
    pub(super) fn on_shared_crash(
        &mut self,
        part: PartId,
        crash: CrashId,
        evidence: Option<CrashEvidence>,
    ) {
        let Some(evidence) = evidence else {
            self.crashing_parts.remove_evidence(&part, &crash);
            return;
        };
        self.engine_ends.on_known_crash(&crash, self.now);
        if self.crashing_parts.is_answered(&part, self.now) {
            // This VM knows better: the part's prompts are answered.
            let due = self.now + self.random_delay();
            self.delete_evidence(part, crash, due);
            return;
        }
        self.add_evidence(part, &crash, evidence);
    }

    fn add_evidence(&mut self, part: PartId, crash: &CrashId, evidence: CrashEvidence) {
        let effect = self
            .crashing_parts
            .on_evidence(&part, crash, evidence, self.now);
        match effect {
            EvidenceEffect::None | EvidenceEffect::Suspect => return,
            EvidenceEffect::Blocked => {}
            EvidenceEffect::Narrowed(block) => self.announce_block(part.clone(), block, self.now),
        }
        // Evidence on a blocked part would block it again after an operator has unblocked it.
        let due = self.now + BLOCKED_EVIDENCE_LIFETIME + self.random_delay();
        self.delete_evidence(part, crash.clone(), due);
    }

    /// Handles a block of another VM, or its end.
    pub(super) fn on_shared_block(&mut self, part: PartId, block: Option<PartBlock>) {
        let Some(block) = block else {
            if self.crashing_parts.on_unblocked(&part) {
                let reason = "other_vm";
                self.note(RelayNotice::PartUnblocked { part, reason });
            }
            return;
        };
        if self.crashing_parts.is_answered(&part, self.now) {
            self.announce_unblock(&part, "answered");
            return;
        }
        let previous = self.crashing_parts.block(&part).cloned();
        let Some(merged) = self.crashing_parts.on_block(&part, block.clone()) else {
            return;
        };
        if merged.with.len() < block.with.len() {
            let due = self.now + self.random_delay();
            self.push_block(part.clone(), merged.clone(), due);
        }
        if previous.is_none_or(|previous| previous.with != merged.with) {
            self.note_block(part, merged, "other_vm");
            self.refuse_waiting_prompts();
        }
    }

    /// Turns broken streams into evidence and blocks the suspects whose time has come.
    pub(super) fn review_crashes(&mut self) {
        for found in self.engine_ends.take(self.now) {
            if self.crashing_parts.is_answered(&found.part, self.now) {
                continue;
            }
            let record = SharedRecord::Crash {
                part: found.part.clone(),
                crash: found.crash.clone(),
                evidence: Some(found.evidence.clone()),
            };
            self.shared_outbox.push(record, self.now);
            self.add_evidence(found.part, &found.crash, found.evidence);
        }
        for (part, crash) in self.crashing_parts.remove_expired(self.now) {
            let due = self.now + self.random_delay();
            self.delete_evidence(part, crash, due);
        }
        let blocked = self.crashing_parts.block_due(self.now);
        let has_blocked = !blocked.is_empty();
        for new in blocked {
            let due = self.now + self.random_delay();
            for crash in new.crashes {
                self.delete_evidence(new.part.clone(), crash, due);
            }
            self.announce_block(new.part, new.block, due);
        }
        if has_blocked {
            self.refuse_waiting_prompts();
        }
    }

    fn announce_block(&mut self, part: PartId, block: PartBlock, due: Duration) {
        self.note_block(part.clone(), block.clone(), "own");
        self.push_block(part, block, due);
    }

    fn push_block(&mut self, part: PartId, block: PartBlock, due: Duration) {
        let block = Some(block);
        self.shared_outbox
            .push(SharedRecord::Block { part, block }, due);
        self.set_shared_timer();
    }

    fn note_block(&mut self, part: PartId, block: PartBlock, source: &'static str) {
        self.note(RelayNotice::PartBlocked {
            part,
            with: block.with,
            crashed: block.instances,
            source,
        });
    }

    /// Refuses the requests with a blocked part that wait for an engine.
    fn refuse_waiting_prompts(&mut self) {
        let waiting = self.calls.iter().filter(|(_, call)| call.current.is_none());
        let mut waiting: Vec<CallId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort();
        for id in waiting {
            if self.has_crashing_part(id) {
                self.fail_call(id, CRASHING_PART);
            }
        }
    }
}
