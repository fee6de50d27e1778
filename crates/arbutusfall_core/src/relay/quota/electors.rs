//! Electors of an account: the VMs whose votes decide who owns it. A majority of them votes for at most one VM at a time.

use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::rendezvous::rank_owners;

/// Number of electors of an account: any two of them may be unreachable.
pub(super) const ELECTORS: usize = 5;

/// Time for which a vote is valid, counted by the owner from its question and by the elector from its answer. An owner that is
/// lost is replaced after it.
pub(super) const VOTE_LIFETIME: Duration = Duration::from_millis(500);

/// Time after the list of VMs is known in which a VM that was not listed before gives no votes: VMs that start for the first time
/// together don't know each other yet.
const START_ABSTENTION: Duration = Duration::from_millis(1_000);

/// Time after the list of VMs is known in which a VM that has run before gives no votes: those that its earlier process gave lapse in
/// it. The list has not changed by its restart.
const RESTART_ABSTENTION: Duration = VOTE_LIFETIME;

/// Time after the list of VMs is first known in which a change of it begins the abstention anew.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Time for which lapsed votes are remembered.
const MEMORY: Duration = Duration::from_secs(3_600);

/// Number of remembered votes beyond which lapsed ones are looked for.
const MIN_SWEPT: usize = 4_096;

/// Returns the VMs that rank first for an account by rendezvous hashing, at most `count`, most preferred first.
pub(super) fn first_vms(account: &Name, vms: &[Name], count: usize) -> Vec<Name> {
    let mut ranked = rank_owners(account, vms);
    ranked.truncate(count);
    ranked
}

/// Returns the number of votes that an owner needs.
pub(super) fn majority(electors: usize) -> usize {
    electors / 2 + 1
}

/// A process of a VM that wants votes: a restarted VM does not know what it granted before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) vm: Name,
    pub(super) process: u64,
}

/// A vote as an owner receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Vote {
    pub(super) is_given: bool,
    /// Time for which no other candidate had this elector's vote, up to when this one was given.
    pub(super) idle: Duration,
}

/// A vote that this VM has given; it may have lapsed.
#[derive(Debug, Clone)]
struct GivenVote {
    to: Candidate,
    until: Duration,
    /// When the vote for the candidate before lapsed, or since when none is known.
    others_until: Duration,
}

/// Votes that this VM gives.
#[derive(Debug, Clone, Default)]
pub(super) struct GivenVotes {
    /// When the list of VMs was first known.
    listed_at: Option<Duration>,
    /// Since when this VM knows of all votes that it has given.
    remembers_since: Option<Duration>,
    /// Time from then on in which it gives none.
    abstention: Duration,
    votes: FastMap<Name, GivenVote>,
    /// Number of votes that were left after the last search for lapsed ones.
    swept_at: usize,
}

impl GivenVotes {
    /// Begins to give votes some time after the list of VMs is first known and has settled; `has_run_before` if an earlier process of
    /// this VM is listed.
    pub(super) fn on_list(&mut self, has_run_before: bool, now: Duration) {
        let is_first = self.listed_at.is_none();
        let listed_at = *self.listed_at.get_or_insert(now);
        if now >= listed_at + SETTLING_TIME {
            return;
        }
        self.remembers_since = Some(now);
        self.abstention = if is_first && has_run_before {
            RESTART_ABSTENTION
        } else {
            START_ABSTENTION
        };
    }

    /// Gives a vote unless another candidate has it.
    pub(super) fn ask(&mut self, account: &Name, candidate: &Candidate, now: Duration) -> Vote {
        let refused = Vote {
            is_given: false,
            idle: Duration::ZERO,
        };
        let Some(since) = self.remembers_since else {
            return refused;
        };
        if now < since + self.abstention {
            return refused;
        }
        let known = self.votes.get(account);
        if known.is_some_and(|vote| vote.to != *candidate && now <= vote.until) {
            return refused;
        }
        let others_until = match known {
            Some(vote) if vote.to == *candidate => vote.others_until,
            Some(vote) => vote.until,
            // A vote of the earlier process may have been valid until then.
            None => (since + VOTE_LIFETIME).max(now.saturating_sub(MEMORY)),
        };
        let vote = GivenVote {
            to: candidate.clone(),
            until: now + VOTE_LIFETIME,
            others_until,
        };
        self.votes.insert(account.clone(), vote);
        self.forget_old(now);
        Vote {
            is_given: true,
            idle: now.saturating_sub(others_until),
        }
    }

    fn forget_old(&mut self, now: Duration) {
        if self.votes.len() < MIN_SWEPT.max(self.swept_at * 2) {
            return;
        }
        self.votes.retain(|_, vote| now < vote.until + MEMORY);
        self.swept_at = self.votes.len();
    }
}
