//! Votes that this VM holds for an account: whether it owns the account, and whether it wants to.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::relay::AccountQuota;
use crate::relay::quota::account_bucket::AccountBucket;
use crate::relay::quota::electors::VOTE_LIFETIME;
use crate::relay::quota::electors::Vote;
use crate::relay::quota::electors::majority;

/// Remaining validity of a vote at which it is renewed.
pub(super) const RENEWED_LEFT: Duration = Duration::from_millis(300);

/// Time for which a VM asks for no votes, for each reachable VM that precedes it: if several VMs asked at once, the votes could be
/// split so that none gets a majority. Longer than [`VOTE_LIFETIME`], so that the first of them gets the votes of an owner that
/// was lost.
const PREDECESSOR_TIME: Duration = Duration::from_millis(700);

/// Time after which an elector that refused or failed is asked again.
pub(super) const REFUSED_BACKOFF: Duration = Duration::from_millis(100);

/// What is known of an elector's vote for this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeldVote {
    /// It was asked and has not answered.
    Asked,
    Given {
        until: Duration,
        idle: Duration,
    },
    /// It refused or failed.
    Refused {
        until: Duration,
    },
}

/// An account that this VM owns or may come to own: its tokens, and the votes by which this VM may grant them.
#[derive(Debug, Clone)]
pub(super) struct CandidateAccount {
    pub(super) bucket: AccountBucket,
    pub(super) quota: AccountQuota,
    /// Electors by the list of VMs of `list_version`.
    pub(super) electors: Vec<Name>,
    pub(super) list_version: u64,
    pub(super) votes: BTreeMap<Name, HeldVote>,
    /// Until when the votes let this VM grant tokens.
    pub(super) owned_until: Duration,
    /// Since when tokens have been asked for without a gap, or since this VM last left the votes to its predecessors.
    pub(super) asked_since: Duration,
    /// Instant from which this VM asks for votes.
    pub(super) candidate_from: Duration,
    /// Whether this VM has been noted as the owner.
    pub(super) is_owned: bool,
    /// Newest request for tokens.
    pub(super) asked_at: Duration,
}

impl CandidateAccount {
    /// Returns until when each vote is valid, with its idle time ([`Vote::idle`]); lapsed ones are left out.
    pub(super) fn valid_votes(&self, now: Duration) -> Vec<(Duration, Duration)> {
        let votes = self.electors.iter().filter_map(|vm| self.votes.get(vm));
        let given = votes.filter_map(|vote| match vote {
            HeldVote::Given { until, idle } if now < *until => Some((*until, *idle)),
            _ => None,
        });
        given.collect()
    }

    /// Sets until when this VM owns the account, from the votes that it holds. After a gap in its ownership, the tokens are limited
    /// to what the rate has added since another VM may last have granted some.
    pub(super) fn review_votes(&mut self, now: Duration) {
        let mut votes = self.valid_votes(now);
        let needed = majority(self.electors.len());
        let was_owned = now < self.owned_until;
        if votes.len() < needed {
            self.owned_until = now.min(self.owned_until);
            return;
        }
        votes.sort_unstable_by(|left, right| right.cmp(left));
        self.owned_until = votes[needed - 1].0;
        if !was_owned {
            let idle = votes.iter().map(|(_, idle)| *idle).min();
            let most = idle.unwrap_or_default().as_secs_f64() * self.quota.per_s;
            self.bucket.cut(most, &self.quota, now);
        }
    }

    /// Returns whether so many electors refuse that there can be no majority.
    pub(super) fn is_refused(&self, now: Duration) -> bool {
        let refuses = |vm: &&Name| matches!(self.votes.get(*vm), Some(HeldVote::Refused { until }) if now < *until);
        let refused = self.electors.iter().filter(refuses).count();
        self.electors.len() - refused < majority(self.electors.len())
    }

    /// Asks for no further votes for some time if too many electors refuse them: the votes that this VM holds lapse, and a VM that
    /// precedes it can get them.
    pub(super) fn stand_back_if_refused(&mut self, now: Duration) {
        if now < self.candidate_from || !self.is_refused(now) {
            return;
        }
        if self.valid_votes(now).is_empty() {
            // Another VM has the electors' votes. If it is lost, this VM gets them when they lapse.
            return;
        }
        self.asked_since = now;
    }

    /// Returns the electors that precede a VM.
    pub(super) fn predecessors(&self, vm: &Name) -> &[Name] {
        let rank = self.electors.iter().position(|elector| elector == vm);
        &self.electors[..rank.unwrap_or(self.electors.len())]
    }

    /// Sets from when this VM asks for votes: at once if none of its predecessors answers it.
    pub(super) fn review_candidacy(
        &mut self,
        own: &Name,
        failed: &FastMap<Name, Duration>,
        now: Duration,
    ) {
        let has_failed = |vm: &Name| failed.get(vm).is_some_and(|until| now < *until);
        let reachable = self.predecessors(own).iter();
        let reachable = reachable.filter(|vm| !has_failed(vm)).count();
        self.candidate_from = self.asked_since + PREDECESSOR_TIME * reachable as u32;
    }

    /// Returns whether this VM asks for votes: an owner always renews them.
    pub(super) fn is_candidate(&self, now: Duration) -> bool {
        now >= self.candidate_from || now < self.owned_until
    }

    /// Returns whether an elector must be asked for its vote now.
    pub(super) fn must_ask(&self, elector: &Name, now: Duration) -> bool {
        if !self.is_candidate(now) {
            return false;
        }
        match self.votes.get(elector) {
            None => true,
            Some(HeldVote::Asked) => false,
            Some(HeldVote::Given { until, .. }) => now + RENEWED_LEFT >= *until,
            Some(HeldVote::Refused { until }) => now >= *until,
        }
    }
}

/// Returns a vote that was asked for at `sent_at`.
pub(super) fn held_vote(vote: Vote, sent_at: Duration, now: Duration) -> HeldVote {
    if vote.is_given {
        HeldVote::Given {
            until: sent_at + VOTE_LIFETIME,
            idle: vote.idle,
        }
    } else {
        HeldVote::Refused {
            until: now + REFUSED_BACKOFF,
        }
    }
}
