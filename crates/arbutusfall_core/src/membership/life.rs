//! What is known of one process: its life, and the rules by which news of it is ranked.

use std::collections::VecDeque;

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberNews;
use arbutusfall_wire::MemberState;

/// Former incarnations of a VM that are remembered, so that their late messages are told apart.
const MAX_FORMER: usize = 4;

/// One VM's process as probes know it.
#[derive(Debug, Clone)]
pub(super) struct Life {
    /// None until the process was heard of.
    pub(super) incarnation: Option<Incarnation>,
    /// Raised by the process itself against false suspicion, and by whoever sees a new incarnation.
    ///
    /// Invariant: never falls, so that news can be ranked.
    pub(super) refutation: u32,
    pub(super) state: MemberState,
    /// Whether a probe failed since its last message.
    pub(super) silent: bool,
    former: VecDeque<Incarnation>,
}

impl Life {
    /// A life that runs now.
    pub(super) fn of(incarnation: Incarnation) -> Self {
        Self::unheard(Some(incarnation))
    }

    /// A life that is taken to run until probes say otherwise.
    pub(super) fn unheard(incarnation: Option<Incarnation>) -> Self {
        Self {
            incarnation,
            refutation: 0,
            state: MemberState::Alive,
            silent: false,
            former: VecDeque::new(),
        }
    }

    /// Takes note of a message that the process itself sent; true if its life changed.
    pub(super) fn hear(&mut self, incarnation: Incarnation) -> bool {
        if self.former.contains(&incarnation) {
            return false;
        }
        self.silent = false;
        if self.incarnation == Some(incarnation) {
            return false;
        }
        if self.incarnation.is_some() {
            self.refutation += 1;
        }
        self.replace(incarnation);
        self.state = MemberState::Alive;
        true
    }

    /// Takes over news from others; true if it says more than was known.
    pub(super) fn learn(&mut self, news: &MemberNews) -> bool {
        let newer = match self.incarnation {
            None => true,
            Some(known) if known == news.incarnation => {
                (news.refutation, news.state) > (self.refutation, self.state)
            }
            Some(_) => {
                news.refutation > self.refutation && !self.former.contains(&news.incarnation)
            }
        };
        if newer {
            if self.incarnation != Some(news.incarnation) {
                self.replace(news.incarnation);
            }
            self.refutation = news.refutation.max(self.refutation);
            self.state = news.state;
        }
        newer
    }

    /// Answers news about this very process; true if the others must be corrected.
    pub(super) fn refute(&mut self, news: &MemberNews) -> bool {
        let own = self.incarnation == Some(news.incarnation);
        let wrong = !own || news.state > self.state;
        if wrong && news.refutation >= self.refutation {
            self.refutation = news.refutation + 1;
            return true;
        }
        self.refutation = self.refutation.max(news.refutation);
        false
    }

    fn replace(&mut self, incarnation: Incarnation) {
        if let Some(former) = self.incarnation.replace(incarnation) {
            self.former.push_back(former);
        }
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }
}
