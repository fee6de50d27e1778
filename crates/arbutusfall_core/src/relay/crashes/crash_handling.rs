//! The relay's use of [`CrashSuspects`](crate::relay::crashes::crash_suspects::CrashSuspects): evidence from requests that
//! broke off and from other VMs, and what disproves it.

use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::ConnectAnswer;
use crate::relay::CrashCause;
use crate::relay::CrashCauses;
use crate::relay::CrashEvidence;
use crate::relay::CrashId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::SharedKey;
use crate::relay::SharedRecord;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::crashes::crash_suspects::Cleared;
use crate::relay::crashes::crash_suspects::EvidenceEffect;
use crate::relay::crashes::endpoint_ends::BrokenRun;
use crate::relay::crashes::endpoint_ends::incarnation;
use crate::relay::endpoints::unmarked_ends::UnmarkedEnd;

/// Time for which a stream has brought events after which its request has not crashed the endpoint.
const SURVIVAL_TIME: Duration = Duration::from_secs(2);

/// Endpoints that may end under one attempt of a request before it is sent again only if all its causes are proved sound.
const MAX_ENDPOINT_ENDS: u32 = 2;

/// Time for the check whether an endpoint has ended, before other VMs learn of its crash.
const CHECK_TIME: Duration = Duration::from_millis(50);

/// Longest random delay of a record that several VMs may be about to write, for each VM. The first one is enough.
const DELAY_PER_VM: Duration = Duration::from_millis(2);

/// Time after which evidence on a blocked cause is deleted: all VMs have read it by then.
const BLOCKED_EVIDENCE_LIFETIME: Duration = Duration::from_secs(2);

/// Reason of the end of a request that is not sent again, because it may crash the next endpoint too.
pub(in crate::relay) const SUSPECT: &str = "suspect_part";

/// Which VM saw a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EvidenceSource {
    Own,
    OtherVm,
}

impl EvidenceSource {
    /// Returns its name in the log.
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::OtherVm => "other_vm",
        }
    }
}

impl Relay {
    /// Records that a run of the call broke off, if its request may be the cause.
    pub(in crate::relay) fn record_broken_run(
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
        let is_timeout = self.now >= call.due_at;
        let is_listed_run = endpoint.listed.started_unix_ms == broken.started_unix_ms;
        // An endpoint that is about to leave closes its connections at its planned end.
        let is_leaving = endpoint.listed.is_leaving && is_listed_run;
        if !broken.stage.runs_request() || is_timeout || is_leaving {
            return;
        }
        call.endpoint_ends += 1;
        let has_survived = began_at.is_some_and(|began_at| self.now >= began_at + SURVIVAL_TIME);
        if has_survived {
            return;
        }
        self.endpoint_ends.on_broken(BrokenRun {
            instance: broken.instance.clone(),
            incarnation: incarnation(&broken.instance, broken.started_unix_ms),
            sent_at: broken.sent_at,
            broken_at: self.now,
            causes: call.causes.clone(),
        });
        self.set_shared_timer();
    }

    /// Returns whether a request whose endpoints ended must not be sent again.
    pub(in crate::relay) fn may_crash_next_endpoint(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let causes = &call.causes;
        if call.endpoint_ends == 0 {
            return false;
        }
        let has_ended_several = call.endpoint_ends >= MAX_ENDPOINT_ENDS;
        self.crash_suspects.is_suspect(causes)
            || (has_ended_several && !self.crash_suspects.are_answered(causes, self.now))
    }

    /// Handles an answer of an endpoint to an exchange: the endpoint has not ended since the exchange was sent.
    pub(in crate::relay) fn on_endpoint_alive(&mut self, id: CallId) {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        let Some(current) = current else {
            return;
        };
        let (instance, sent_at) = (current.instance.clone(), current.sent_at);
        let Some(endpoint) = self.endpoints.get_mut(&instance) else {
            return;
        };
        endpoint.on_alive(self.now);
        let is_decode_engine = endpoint.listed.role == Role::Decode;
        for causes in endpoint.unmarked_ends.take_proved_causes(sent_at, self.now) {
            self.on_causes_answered(&causes);
        }
        self.disprove_crash(&instance, sent_at);
        if is_decode_engine {
            // Before it begins a stream whose version must be known.
            self.check_run(&instance);
        }
    }

    /// Handles the end of a check whether an endpoint has ended.
    pub(in crate::relay) fn on_endpoint_checked(
        &mut self,
        instance: &Name,
        asked_at: Duration,
        answer: ConnectAnswer,
    ) {
        if answer == ConnectAnswer::Accepted {
            self.on_connected(instance, asked_at);
            self.disprove_crash(instance, asked_at);
        } else {
            self.on_connect_failed(instance, asked_at);
            self.on_engine_broken_off(instance);
        }
        match answer {
            ConnectAnswer::Accepted => {}
            ConnectAnswer::Refused => self.record_unmarked_crash(instance, asked_at),
            ConnectAnswer::Unanswered => self.check_unmarked_end_later(instance),
        }
        self.on_process_sign(instance, answer.into(), asked_at);
    }

    /// Has an endpoint checked once more that may have ended with its answer: a connection to it has hung, which says nothing.
    fn check_unmarked_end_later(&mut self, instance: &Name) {
        let endpoint = self.endpoints.get(instance);
        if endpoint.is_some_and(|endpoint| endpoint.unmarked_ends.has_recent(self.now)) {
            self.endpoint_ends.on_unmarked_end(instance, self.now);
            self.set_shared_timer();
        }
    }

    /// Records the answers that ended with an endpoint, which has ended, as runs that broke off.
    fn record_unmarked_crash(&mut self, instance: &Name, found_at: Duration) {
        let Some(endpoint) = self.endpoints.get_mut(instance) else {
            return;
        };
        if endpoint.listed.is_leaving {
            return;
        }
        let incarnation = incarnation(instance, endpoint.listed.started_unix_ms);
        let ends = endpoint.unmarked_ends.take_before(found_at, self.now);
        for end in ends.into_iter().filter(|end| !end.has_survived) {
            self.endpoint_ends.on_broken(BrokenRun {
                instance: instance.clone(),
                incarnation,
                sent_at: end.sent_at,
                broken_at: end.ended_at,
                causes: end.causes,
            });
        }
        self.set_shared_timer();
    }

    /// Deletes the evidence of an endpoint's crash: the endpoint has answered something that was sent to it after that.
    fn disprove_crash(&mut self, instance: &Name, sent_at: Duration) {
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let run = incarnation(instance, endpoint.listed.started_unix_ms);
        let Some(crash) = self.endpoint_ends.disproved(run, sent_at, self.now) else {
            return;
        };
        for cause in self.crash_suspects.causes_of(&crash) {
            self.remove_evidence(&cause, &crash, "disproved");
            self.delete_evidence(cause, crash.clone(), self.now);
        }
    }

    /// Handles a stream that has lasted long enough to clear its request's causes.
    pub(in crate::relay) fn on_stream_lasting(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let lasts = call
            .stream_began_at
            .is_some_and(|began_at| self.now >= began_at + SURVIVAL_TIME);
        if !lasts || std::mem::replace(&mut call.has_survived, true) {
            return;
        }
        let causes = call.causes.clone();
        self.on_causes_answered(&causes);
    }

    /// Handles the complete answer of an endpoint: it clears the request's causes, at once if its end was marked. An answer with an
    /// error status clears the request itself only.
    pub(in crate::relay) fn on_request_answered(&mut self, id: CallId, is_failure: bool) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let causes: CrashCauses = if is_failure {
            [CrashCause::Request(call.request.request_keys.own.clone())].into()
        } else {
            call.causes.clone()
        };
        if call.is_end_unmarked {
            let end = UnmarkedEnd {
                sent_at: current.sent_at,
                ended_at: self.now,
                causes,
                has_survived: call.has_survived,
            };
            let instance = current.instance.clone();
            self.record_unmarked_end(&instance, end);
            return;
        }
        self.on_causes_answered(&causes);
    }

    fn record_unmarked_end(&mut self, instance: &Name, end: UnmarkedEnd) {
        if let Some(endpoint) = self.endpoints.get_mut(instance) {
            endpoint.unmarked_ends.add(end, self.now);
            self.endpoint_ends.on_unmarked_end(instance, self.now);
            self.set_shared_timer();
        }
    }

    fn on_causes_answered(&mut self, causes: &[CrashCause]) {
        for cause in causes {
            let cleared = self.crash_suspects.on_answered(cause, self.now);
            self.on_cause_cleared(cause, cleared, "answered");
        }
    }

    pub(in crate::relay) fn on_cause_cleared(
        &mut self,
        cause: &CrashCause,
        cleared: Cleared,
        reason: &'static str,
    ) {
        for crash in cleared.crashes {
            self.note_evidence_removed(cause, &crash, reason);
            let due = self.now + self.random_delay();
            self.delete_evidence(cause.clone(), crash, due);
        }
        for (other, block) in cleared.narrowed {
            self.announce_block(other, block, self.now);
        }
        if cleared.was_blocked {
            self.announce_unblock(cause, reason);
        }
    }

    fn delete_evidence(&mut self, cause: CrashCause, crash: CrashId, due: Duration) {
        let evidence = None;
        let record = SharedRecord::Crash {
            cause,
            crash,
            evidence,
        };
        self.shared_outbox.push(record, due);
        self.set_shared_timer();
    }

    /// Returns a random time within which one VM of many writes first.
    pub(in crate::relay) fn random_delay(&mut self) -> Duration {
        (DELAY_PER_VM * self.vm_count).mul_f64(self.rng.f64())
    }

    /// Handles evidence of another VM, or its deletion. Evidence on a cause whose requests were answered here is deleted at
    /// `delete_due`.
    pub(in crate::relay) fn on_shared_crash(
        &mut self,
        cause: CrashCause,
        crash: CrashId,
        evidence: Option<CrashEvidence>,
        delete_due: Duration,
    ) {
        let Some(evidence) = evidence else {
            self.remove_evidence(&cause, &crash, "other_vm");
            let key = SharedKey::Crash(cause, crash);
            self.shared_outbox.withdraw(&key);
            return;
        };
        self.endpoint_ends
            .on_known_crash(&crash, evidence.is_late, self.now);
        if self.crash_suspects.is_answered(&cause, self.now) {
            self.delete_evidence(cause, crash, delete_due);
            return;
        }
        self.add_evidence(cause, &crash, evidence, EvidenceSource::OtherVm);
    }

    fn add_evidence(
        &mut self,
        cause: CrashCause,
        crash: &CrashId,
        evidence: CrashEvidence,
        source: EvidenceSource,
    ) {
        let instance = evidence.instance.clone();
        let effect = self.crash_suspects.on_evidence(
            &cause,
            crash,
            evidence,
            source == EvidenceSource::Own,
            self.now,
        );
        for (cause, crash) in self.crash_suspects.take_displaced() {
            self.note_evidence_removed(&cause, &crash, "displaced");
            let due = self.now + self.random_delay();
            self.delete_evidence(cause, crash, due);
        }
        match effect {
            EvidenceEffect::None => return,
            EvidenceEffect::Suspect => {
                let crash = crash.0.clone();
                self.note(RelayNotice::CrashEvidence {
                    cause,
                    crash,
                    instance,
                    source: source.name(),
                });
                return;
            }
            EvidenceEffect::Blocked => {}
            EvidenceEffect::Narrowed(block) => self.announce_block(cause.clone(), block, self.now),
        }
        // Evidence on a blocked cause would block it again after an operator has unblocked it.
        let due = self.now + BLOCKED_EVIDENCE_LIFETIME + self.random_delay();
        self.delete_evidence(cause, crash.clone(), due);
    }

    fn remove_evidence(&mut self, cause: &CrashCause, crash: &CrashId, reason: &'static str) {
        if self.crash_suspects.remove_evidence(cause, crash) {
            self.note_evidence_removed(cause, crash, reason);
        }
    }

    fn note_evidence_removed(&mut self, cause: &CrashCause, crash: &CrashId, reason: &'static str) {
        self.note(RelayNotice::CrashEvidenceRemoved {
            cause: cause.clone(),
            crash: crash.0.clone(),
            reason,
        });
    }

    /// Turns broken runs into evidence and blocks the suspects whose time has come.
    pub(in crate::relay) fn review_crashes(&mut self) {
        let mut ended: BTreeSet<Name> = BTreeSet::new();
        for found in self.endpoint_ends.take(self.now) {
            if self.crash_suspects.is_answered(&found.cause, self.now) {
                continue;
            }
            let record = SharedRecord::Crash {
                cause: found.cause.clone(),
                crash: found.crash.clone(),
                evidence: Some(found.evidence.clone()),
            };
            self.shared_outbox.push(record, self.now + CHECK_TIME);
            ended.insert(found.evidence.instance.clone());
            self.add_evidence(
                found.cause,
                &found.crash,
                found.evidence,
                EvidenceSource::Own,
            );
        }
        for instance in ended {
            self.check_endpoint(instance);
        }
        for instance in self.endpoint_ends.take_unmarked(self.now) {
            self.check_unmarked_end(instance);
        }
        for (cause, crash) in self.crash_suspects.remove_expired(self.now) {
            self.note_evidence_removed(&cause, &crash, "expired");
            let due = self.now + self.random_delay();
            self.delete_evidence(cause, crash, due);
        }
        let blocked = self.crash_suspects.block_due(self.now);
        let has_blocked = !blocked.is_empty();
        for new in blocked {
            let due = self.now + self.random_delay();
            for crash in new.crashes {
                self.delete_evidence(new.cause.clone(), crash, due);
            }
            self.announce_block(new.cause, new.block, due);
        }
        if has_blocked {
            self.refuse_waiting_requests();
        }
    }

    /// Checks whether an endpoint has ended: connections may break off for other reasons.
    fn check_endpoint(&mut self, instance: Name) {
        if let Some(endpoint) = self.endpoints.get(&instance) {
            let address = endpoint.listed.address;
            self.effects
                .push(RelayEffect::CheckEndpoint { instance, address });
        }
    }

    /// Checks whether an endpoint has ended with its answer, unless it is known to run or about to leave.
    fn check_unmarked_end(&mut self, instance: Name) {
        let endpoint = self.endpoints.get(&instance);
        if endpoint.is_some_and(|e| !e.unmarked_ends.is_empty() && !e.listed.is_leaving) {
            self.check_endpoint(instance);
        }
    }
}
