//! Liveness of one VM's process, and the rules that order updates about it.

use std::collections::VecDeque;

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::MemberUpdate;

/// Former incarnations remembered per VM, so that their delayed messages are recognized.
const MAX_FORMER_INCARNATIONS: usize = 4;

/// Liveness of one VM's process according to probes.
#[derive(Debug, Clone)]
pub(super) struct Liveness {
    /// `None` until the first message from the process or update about it.
    pub(super) incarnation: Option<Incarnation>,
    /// Version that orders updates: incremented by the process itself to refute a suspicion, and by any VM that sees a
    /// new incarnation.
    ///
    /// Invariant: never decreases.
    pub(super) update_version: u32,
    pub(super) state: MemberState,
    /// Whether probes of this leaving process failed since its last message; other processes become `Suspect` instead.
    pub(super) suspected_while_leaving: bool,
    former: VecDeque<Incarnation>,
}

impl Liveness {
    /// Describes a process that is known to run.
    pub(super) fn running(incarnation: Incarnation) -> Self {
        Self::assumed_alive(Some(incarnation))
    }

    /// Describes a process that is assumed to run until probes show otherwise.
    pub(super) fn assumed_alive(incarnation: Option<Incarnation>) -> Self {
        Self {
            incarnation,
            update_version: 0,
            state: MemberState::Alive,
            suspected_while_leaving: false,
            former: VecDeque::new(),
        }
    }

    /// Records a message from the process itself; returns whether its incarnation is new.
    pub(super) fn record_message(&mut self, incarnation: Incarnation) -> bool {
        if self.former.contains(&incarnation) {
            return false;
        }
        self.suspected_while_leaving = false;
        if self.incarnation == Some(incarnation) {
            return false;
        }
        if self.incarnation.is_some() {
            self.update_version += 1;
        }
        self.replace(incarnation);
        self.state = MemberState::Alive;
        true
    }

    /// Applies an update from another VM; returns whether it was newer than the known state.
    pub(super) fn apply_update(&mut self, update: &MemberUpdate) -> bool {
        let newer = match self.incarnation {
            None => true,
            Some(known) if known == update.incarnation => {
                (update.update_version, update.state) > (self.update_version, self.state)
            }
            Some(_) => {
                update.update_version > self.update_version
                    && !self.former.contains(&update.incarnation)
            }
        };
        if newer {
            if self.incarnation != Some(update.incarnation) {
                self.replace(update.incarnation);
            }
            self.update_version = update.update_version.max(self.update_version);
            self.state = update.state;
        }
        newer
    }

    /// Checks an update about this process itself; returns whether it is wrong and a refutation must be sent.
    pub(super) fn refute_if_wrong(&mut self, update: &MemberUpdate) -> bool {
        let same_incarnation = self.incarnation == Some(update.incarnation);
        let wrong = !same_incarnation || update.state > self.state;
        if wrong && update.update_version >= self.update_version {
            self.update_version = update.update_version + 1;
            return true;
        }
        self.update_version = self.update_version.max(update.update_version);
        false
    }

    fn replace(&mut self, incarnation: Incarnation) {
        if let Some(former) = self.incarnation.replace(incarnation) {
            self.former.push_back(former);
        }
        if self.former.len() > MAX_FORMER_INCARNATIONS {
            self.former.pop_front();
        }
    }
}
