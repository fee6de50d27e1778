//! Accounts that this VM owns, and its votes for the owners of others.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::QuotaAnswer;
use arbutusfall_wire::QuotaAsk;
use arbutusfall_wire::QuotaGrant;
use arbutusfall_wire::QuotaQuestion;
use arbutusfall_wire::QuotaVote;

use crate::relay::AccountQuota;
use crate::relay::QuotaSettings;
use crate::relay::notice::millis;
use crate::relay::quota::account_bucket::AccountBucket;
use crate::relay::quota::electors::Candidate;
use crate::relay::quota::electors::ELECTORS;
use crate::relay::quota::electors::GivenVotes;
use crate::relay::quota::electors::VOTE_LIFETIME;
use crate::relay::quota::electors::Vote;
use crate::relay::quota::electors::first_vms;
use crate::relay::quota::electors::majority;

/// Time after the last request for tokens in which votes are renewed.
const RENEWAL_TIME: Duration = Duration::from_millis(400);

/// Time left of a vote when it is renewed.
const RENEWED_LEFT: Duration = Duration::from_millis(300);

/// Time after which an elector that refused or failed is asked again.
const REFUSED_BACKOFF: Duration = Duration::from_millis(100);

/// Time after a refusal, for each VM that precedes this one, in which it wants no votes: candidates that each have some votes must not
/// keep all of them from a majority.
const CANDIDACY_BACKOFF: Duration = Duration::from_millis(600);

/// Time after the last request for tokens after which an account is forgotten once its bucket is full.
const FORGET_TIME: Duration = Duration::from_secs(16);

/// Time between two searches for accounts to forget.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Retry delay of requests for tokens of an account for which there are no votes yet.
const PENDING_RETRY: Duration = Duration::from_millis(15);

/// An account that a VM owns.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnedAccount {
    /// Name of the account.
    pub account: Name,
    /// Tokens granted in the last window and the lifetime of a lease.
    pub used: f64,
    /// Tokens that are left.
    pub left: f64,
}

/// What is known of an elector's vote for this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeldVote {
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

#[derive(Debug, Clone)]
struct Account {
    bucket: AccountBucket,
    quota: AccountQuota,
    /// Electors, those of the list of this version.
    electors: Vec<Name>,
    list_version: u64,
    votes: BTreeMap<Name, HeldVote>,
    /// Until when the votes let this VM grant tokens.
    owned_until: Duration,
    /// When this VM wants votes again after a refusal.
    candidate_from: Duration,
    /// Whether this VM has been noted as the owner.
    is_owned: bool,
    asked_at: Duration,
}

impl Account {
    fn valid_votes(&self, now: Duration) -> Vec<(Duration, Duration)> {
        let votes = self.electors.iter().filter_map(|vm| self.votes.get(vm));
        let given = votes.filter_map(|vote| match vote {
            HeldVote::Given { until, idle } if now < *until => Some((*until, *idle)),
            _ => None,
        });
        given.collect()
    }

    /// Takes over the votes. If they were not held without a gap, another VM may have granted tokens meanwhile: those that are
    /// left are at most what the rate has given since it may last have done so.
    fn review_votes(&mut self, now: Duration) {
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
    fn is_refused(&self, now: Duration) -> bool {
        let refuses = |vm: &&Name| matches!(self.votes.get(*vm), Some(HeldVote::Refused { until }) if now < *until);
        let refused = self.electors.iter().filter(refuses).count();
        self.electors.len() - refused < majority(self.electors.len())
    }

    /// Lets VMs that precede this one have the votes if there can be no majority for it.
    fn stand_back_if_refused(&mut self, own: &Name, now: Duration) {
        if now < self.candidate_from || !self.is_refused(now) {
            return;
        }
        let rank = self.electors.iter().position(|elector| elector == own);
        let rank = rank.unwrap_or(ELECTORS);
        self.candidate_from = now + CANDIDACY_BACKOFF * rank as u32;
    }

    fn must_ask(&self, elector: &Name, now: Duration) -> bool {
        if now < self.candidate_from && now >= self.owned_until {
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

/// Grants tokens of the accounts that this VM owns, and votes for the owners of others.
#[derive(Debug, Clone)]
pub struct QuotaOwner {
    own: Candidate,
    settings: QuotaSettings,
    vms: Vec<Name>,
    list_version: u64,
    given: GivenVotes,
    accounts: FastMap<Name, Account>,
    swept_at: Duration,
    /// Accounts whose ownership this VM took or gave up since the last call of [`Self::take_changes`].
    changes: Vec<(Name, bool)>,
}

impl QuotaOwner {
    /// Creates the owner of a VM; `process` differs from that of earlier processes of the VM.
    pub fn new(vm: Name, process: u64, settings: QuotaSettings) -> Self {
        Self {
            own: Candidate { vm, process },
            settings,
            vms: Vec::new(),
            list_version: 0,
            given: GivenVotes::default(),
            accounts: FastMap::default(),
            swept_at: Duration::ZERO,
            changes: Vec::new(),
        }
    }

    /// Takes over the list of all VMs, this one included.
    pub fn set_vms(&mut self, vms: &[Name], now: Duration) {
        self.vms = vms.to_vec();
        self.list_version += 1;
        self.given.on_list(now);
    }

    /// Returns the number that distinguishes this process from earlier ones of the VM.
    pub fn process(&self) -> u64 {
        self.own.process
    }

    /// Answers a question of another VM; `quota_of` returns the quota of an account in the configuration.
    pub fn answer(
        &mut self,
        question: &QuotaQuestion,
        quota_of: impl Fn(&Name) -> Option<AccountQuota>,
        now: Duration,
    ) -> QuotaAnswer {
        let candidate = Candidate {
            vm: question.from.clone(),
            process: question.process,
        };
        let asks = question.asks.iter();
        let grants = asks.map(|ask| self.answer_ask(ask, quota_of(&ask.account), now));
        let grants = grants.collect();
        let votes = question.votes.iter().map(|account| {
            let vote = self.given.ask(account, &candidate, now);
            QuotaVote {
                account: account.clone(),
                is_given: vote.is_given,
                idle_ms: millis(vote.idle),
            }
        });
        let votes = votes.collect();
        QuotaAnswer { grants, votes }
    }

    /// Grants tokens if this VM owns the account.
    pub(super) fn answer_ask(
        &mut self,
        ask: &QuotaAsk,
        quota: Option<AccountQuota>,
        now: Duration,
    ) -> QuotaGrant {
        let mut grant = QuotaGrant {
            account: ask.account.clone(),
            granted: 0.0,
            lifetime_ms: millis(self.settings.lease_lifetime()),
            retry_after_ms: millis(PENDING_RETRY),
            is_declined: false,
            is_pending: false,
        };
        let Some(quota) = quota else {
            grant.is_declined = true;
            return grant;
        };
        let account = self.account(&ask.account, quota, now);
        account.asked_at = now;
        self.vote_for_self(&ask.account, now);
        let settings = self.settings;
        let Some(account) = self.accounts.get_mut(&ask.account) else {
            return grant;
        };
        account.review_votes(now);
        if now >= account.owned_until {
            account.stand_back_if_refused(&self.own.vm, now);
            grant.is_declined = now < account.candidate_from || account.is_refused(now);
            grant.is_pending = !grant.is_declined;
            return grant;
        }
        if !std::mem::replace(&mut account.is_owned, true) {
            self.changes.push((ask.account.clone(), true));
        }
        let granted = account.bucket.grant(ask, &quota, &settings, now);
        grant.granted = granted.tokens;
        // Rounded up: a VM that is refused must not ask again in the same millisecond.
        grant.retry_after_ms = granted.retry_after.as_nanos().div_ceil(1_000_000) as u64;
        grant
    }

    /// Returns what is known of an account, with the quota of the configuration.
    fn account(&mut self, name: &Name, quota: AccountQuota, now: Duration) -> &mut Account {
        let settings = &self.settings;
        let account = self.accounts.entry(name.clone());
        let account = account.or_insert_with(|| Account {
            bucket: AccountBucket::new(quota.burst, settings, now),
            quota,
            electors: Vec::new(),
            list_version: 0,
            votes: BTreeMap::new(),
            owned_until: Duration::ZERO,
            candidate_from: Duration::ZERO,
            is_owned: false,
            asked_at: now,
        });
        if account.quota != quota {
            // The tokens up to now come from the quota before.
            account.bucket.level(&account.quota, now);
            account.quota = quota;
        }
        if account.list_version != self.list_version {
            account.list_version = self.list_version;
            account.electors = first_vms(name, &self.vms, ELECTORS);
            let electors = &account.electors;
            account.votes.retain(|vm, _| electors.contains(vm));
        }
        account
    }

    /// Takes this VM's own vote if it is an elector.
    fn vote_for_self(&mut self, name: &Name, now: Duration) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        let own = &self.own;
        if !account.electors.contains(&own.vm) || !account.must_ask(&own.vm, now) {
            return;
        }
        let vote = self.given.ask(name, own, now);
        account
            .votes
            .insert(own.vm.clone(), held_vote(vote, now, now));
        account.review_votes(now);
    }

    /// Returns the votes to ask of other VMs now, for accounts that were asked for of late.
    pub(super) fn wanted_votes(&mut self, now: Duration) -> Vec<(Name, Name)> {
        self.sweep(now);
        let active: Vec<Name> = self.active(now).map(|(name, _)| name.clone()).collect();
        for name in &active {
            self.vote_for_self(name, now);
        }
        let mut wanted = Vec::new();
        for name in active {
            let Some(account) = self.accounts.get(&name) else {
                continue;
            };
            for elector in &account.electors {
                if *elector != self.own.vm && account.must_ask(elector, now) {
                    wanted.push((elector.clone(), name.clone()));
                }
            }
        }
        wanted
    }

    fn active(&self, now: Duration) -> impl Iterator<Item = (&Name, &Account)> {
        let accounts = self.accounts.iter();
        accounts.filter(move |(_, account)| now < account.asked_at + RENEWAL_TIME)
    }

    /// Returns when further votes must be asked for.
    pub(super) fn next_vote_at(&self, now: Duration) -> Option<Duration> {
        let candidates = self
            .active(now)
            .filter(|(_, account)| now >= account.candidate_from || now < account.owned_until);
        let times = candidates.flat_map(|(_, account)| {
            let votes = account.electors.iter().map(|vm| account.votes.get(vm));
            votes.filter_map(|vote| match vote {
                None => Some(now),
                Some(HeldVote::Asked) => None,
                Some(HeldVote::Given { until, .. }) => Some(until.saturating_sub(RENEWED_LEFT)),
                Some(HeldVote::Refused { until }) => Some(*until),
            })
        });
        times.filter(|at| *at > now).min()
    }

    /// Records that an elector has been asked.
    pub(super) fn on_vote_asked(&mut self, elector: &Name, name: &Name) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        let votes = &mut account.votes;
        if !matches!(votes.get(elector), Some(HeldVote::Given { .. })) {
            votes.insert(elector.clone(), HeldVote::Asked);
        }
    }

    /// Records the answer of an elector to a question of `sent_at`, or that it did not answer.
    pub(super) fn on_vote(
        &mut self,
        elector: &Name,
        name: &Name,
        answer: Option<&QuotaVote>,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        let held = match answer {
            Some(answer) => {
                let vote = Vote {
                    is_given: answer.is_given,
                    idle: Duration::from_millis(answer.idle_ms),
                };
                held_vote(vote, sent_at, now)
            }
            None => HeldVote::Refused {
                until: now + REFUSED_BACKOFF,
            },
        };
        let is_valid = matches!(account.votes.get(elector), Some(HeldVote::Given { until, .. }) if now < *until);
        if is_valid && answer.is_none() {
            // The vote before is valid until it lapses.
            return;
        }
        account.votes.insert(elector.clone(), held);
        account.review_votes(now);
    }

    /// Forgets accounts that are no longer asked for, once forgetting them loses nothing.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let changes = &mut self.changes;
        self.accounts.retain(|name, account| {
            if account.is_owned && now >= account.owned_until + VOTE_LIFETIME {
                account.is_owned = false;
                changes.push((name.clone(), false));
            }
            let is_old = now >= account.asked_at + FORGET_TIME;
            let quota = account.quota;
            let is_full = account.bucket.level(&quota, now) >= quota.burst;
            !(is_old && is_full && account.bucket.used(now) == 0.0)
        });
    }

    /// Returns the accounts whose ownership this VM took (true) or gave up since the last call.
    pub fn take_changes(&mut self) -> Vec<(Name, bool)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the accounts that this VM owns now.
    pub fn owned_accounts(&self, now: Duration) -> Vec<OwnedAccount> {
        let owned = self.accounts.iter();
        let owned = owned.filter(|(_, account)| now < account.owned_until);
        let owned = owned.map(|(name, account)| {
            let mut bucket = account.bucket.clone();
            OwnedAccount {
                account: name.clone(),
                used: bucket.used(now),
                left: bucket.level(&account.quota, now).max(0.0),
            }
        });
        let mut owned: Vec<OwnedAccount> = owned.collect();
        owned.sort_by(|left, right| left.account.cmp(&right.account));
        owned
    }
}

/// Returns a vote that was asked for at `sent_at`.
fn held_vote(vote: Vote, sent_at: Duration, now: Duration) -> HeldVote {
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
