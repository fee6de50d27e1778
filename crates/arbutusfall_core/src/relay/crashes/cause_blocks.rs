//! Blocks on the causes of crashes: when VMs learn of them, when they end, and the refusal of requests.

use std::time::Duration;

use crate::CallId;
use crate::relay::CauseBlock;
use crate::relay::CrashCause;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::SharedKey;
use crate::relay::SharedRecord;

/// Reason of the refusal of a prompt with a part that crashes engines.
pub(in crate::relay) const CRASHING_PART: &str = "crashing_part";

/// Reason of the refusal of a request that crashes endpoints.
pub(in crate::relay) const CRASHING_REQUEST: &str = "crashing_request";

impl Relay {
    /// Returns the reason for which the call's request must not be sent, if it has a cause that crashes endpoints.
    pub(in crate::relay) fn blocked_reason(&self, id: CallId) -> Option<&'static str> {
        let call = self.calls.get(&id)?;
        let blocked = self.crash_suspects.blocked_cause(&call.causes)?;
        Some(match blocked {
            CrashCause::Part(_) => CRASHING_PART,
            CrashCause::Request(_) => CRASHING_REQUEST,
        })
    }

    /// Returns the causes whose requests are refused, with the block on each.
    pub fn blocked_causes(&self) -> impl Iterator<Item = (&CrashCause, &CauseBlock)> {
        self.crash_suspects.blocks().iter()
    }

    /// Unblocks a cause on behalf of an operator.
    pub(in crate::relay) fn unblock(&mut self, cause: &CrashCause) {
        let cleared = self.crash_suspects.clear(cause);
        self.on_cause_cleared(cause, cleared, "operator");
    }

    /// Handles a block of another VM, or its end.
    pub(in crate::relay) fn on_shared_block(
        &mut self,
        cause: CrashCause,
        block: Option<CauseBlock>,
    ) {
        let Some(block) = block else {
            let key = SharedKey::Block(cause.clone());
            self.shared_outbox.withdraw(&key);
            if self.crash_suspects.on_unblocked(&cause) {
                self.note_unblocked(&cause, "other_vm");
            }
            return;
        };
        if self.crash_suspects.is_answered(&cause, self.now) {
            self.announce_unblock(&cause, "answered");
            return;
        }
        let previous = self.crash_suspects.block(&cause).cloned();
        let Some(merged) = self.crash_suspects.on_block(&cause, block.clone()) else {
            return;
        };
        if merged.with.len() < block.with.len() {
            let due = self.now + self.random_delay();
            self.push_block(cause.clone(), merged.clone(), due);
        }
        if previous.is_none_or(|previous| previous.with != merged.with) {
            self.note_block(cause, merged, "other_vm");
            self.refuse_waiting_requests();
        }
    }

    pub(in crate::relay) fn announce_block(
        &mut self,
        cause: CrashCause,
        block: CauseBlock,
        due: Duration,
    ) {
        self.note_block(cause.clone(), block.clone(), "own");
        self.push_block(cause, block, due);
    }

    fn push_block(&mut self, cause: CrashCause, block: CauseBlock, due: Duration) {
        let block = Some(block);
        self.shared_outbox
            .push(SharedRecord::Block { cause, block }, due);
        self.set_shared_timer();
    }

    pub(in crate::relay) fn announce_unblock(&mut self, cause: &CrashCause, reason: &'static str) {
        self.note_unblocked(cause, reason);
        let record = SharedRecord::Block {
            cause: cause.clone(),
            block: None,
        };
        self.shared_outbox.push(record, self.now);
        self.set_shared_timer();
    }

    fn note_block(&mut self, cause: CrashCause, block: CauseBlock, source: &'static str) {
        let (with, crashed) = (block.with, block.instances);
        self.note(match cause {
            CrashCause::Part(part) => RelayNotice::PartBlocked {
                part,
                with,
                crashed,
                source,
            },
            CrashCause::Request(request_key) => RelayNotice::RequestBlocked {
                request_key,
                with,
                crashed,
                source,
            },
        });
    }

    fn note_unblocked(&mut self, cause: &CrashCause, reason: &'static str) {
        self.note(match cause.clone() {
            CrashCause::Part(part) => RelayNotice::PartUnblocked { part, reason },
            CrashCause::Request(request_key) => RelayNotice::RequestUnblocked {
                request_key,
                reason,
            },
        });
    }

    /// Refuses the requests with a blocked cause that wait for an endpoint.
    pub(in crate::relay) fn refuse_waiting_requests(&mut self) {
        let waiting = self.calls.iter().filter(|(_, call)| call.current.is_none());
        let mut waiting: Vec<CallId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort();
        for id in waiting {
            if let Some(reason) = self.blocked_reason(id) {
                self.fail_call(id, reason);
            }
        }
    }
}
