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
use crate::relay::quota::held_votes::CandidateAccount;
use crate::relay::quota::held_votes::HeldVote;
use crate::relay::quota::held_votes::REFUSED_BACKOFF;
use crate::relay::quota::held_votes::RENEWED_LEFT;
use crate::relay::quota::held_votes::held_vote;

/// Time after the last request for tokens for which votes are renewed.
const RENEWAL_TIME: Duration = Duration::from_millis(400);

/// Time after which a predecessor is asked again whether it answers.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a request for tokens after which this VM waits for its predecessors again before it asks for votes.
const ASKED_GAP: Duration = Duration::from_secs(1);

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
    /// Tokens granted in the last [`QuotaSettings::grant_window`].
    pub used: f64,
    /// Tokens that are left.
    pub left: f64,
}

/// Grants tokens of the accounts that this VM owns, and votes for the owners of others.
#[derive(Debug, Clone)]
pub struct QuotaOwner {
    own: Candidate,
    settings: QuotaSettings,
    vms: Vec<Name>,
    list_version: u64,
    given: GivenVotes,
    accounts: FastMap<Name, CandidateAccount>,
    /// VMs that do not answer, and until when they count as such.
    failed: FastMap<Name, Duration>,
    /// When VMs were last asked only whether they answer.
    probed: FastMap<Name, Duration>,
    swept_at: Duration,
    /// Accounts whose ownership this VM took or gave up since the last call of [`Self::take_changes`].
    changes: Vec<(Name, bool)>,
}

impl QuotaOwner {
    /// Creates the state of a VM that owns no accounts and has given no votes; `process` differs from that of earlier processes of the VM.
    pub fn new(vm: Name, process: u64, settings: QuotaSettings) -> Self {
        Self {
            own: Candidate { vm, process },
            settings,
            vms: Vec::new(),
            list_version: 0,
            given: GivenVotes::default(),
            accounts: FastMap::default(),
            failed: FastMap::default(),
            probed: FastMap::default(),
            swept_at: Duration::ZERO,
            changes: Vec::new(),
        }
    }

    /// Takes over the list of all VMs, this one included; `has_run_before` if an earlier process of this VM is listed.
    pub fn set_vms(&mut self, vms: &[Name], has_run_before: bool, now: Duration) {
        if self.vms == vms {
            // A VM that starts again changes its record, but the electors stay.
            return;
        }
        self.vms = vms.to_vec();
        self.failed.retain(|vm, _| vms.contains(vm));
        self.probed.retain(|vm, _| vms.contains(vm));
        self.list_version += 1;
        self.given.on_list(has_run_before, now);
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
        if now > account.asked_at + ASKED_GAP {
            account.asked_since = now;
        }
        account.asked_at = now;
        self.review_candidacy(&ask.account, now);
        self.vote_for_self(&ask.account, now);
        let settings = self.settings;
        let Some(account) = self.accounts.get_mut(&ask.account) else {
            return grant;
        };
        account.review_votes(now);
        if now >= account.owned_until {
            account.stand_back_if_refused(now);
            grant.is_declined = !account.is_candidate(now) || account.is_refused(now);
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

    /// Returns what is known of an account, brought up to date with the configured quota and the list of VMs.
    fn account(
        &mut self,
        name: &Name,
        quota: AccountQuota,
        now: Duration,
    ) -> &mut CandidateAccount {
        let settings = &self.settings;
        let account = self.accounts.entry(name.clone());
        let account = account.or_insert_with(|| CandidateAccount {
            bucket: AccountBucket::new(quota.burst, settings, now),
            quota,
            electors: Vec::new(),
            list_version: 0,
            votes: BTreeMap::new(),
            owned_until: Duration::ZERO,
            asked_since: now,
            candidate_from: now,
            is_owned: false,
            asked_at: now,
        });
        if account.quota != quota {
            // The tokens up to now accrue at the former rate.
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

    fn review_candidacy(&mut self, name: &Name, now: Duration) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.review_candidacy(&self.own.vm, &self.failed, now);
        }
    }

    /// Takes over until when a VM counts as one that does not answer.
    pub(super) fn set_failed(&mut self, vm: &Name, until: Duration) {
        self.failed.insert(vm.clone(), until);
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
            self.review_candidacy(name, now);
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

    fn active(&self, now: Duration) -> impl Iterator<Item = (&Name, &CandidateAccount)> {
        let accounts = self.accounts.iter();
        accounts.filter(move |(_, account)| now < account.asked_at + RENEWAL_TIME)
    }

    /// Returns the predecessors of this VM that keep it from wanting votes and have not been asked of late: it must learn whether they
    /// answer.
    pub(super) fn wanted_probes(&mut self, now: Duration) -> Vec<Name> {
        let waiting = self.active(now);
        let waiting = waiting.filter(|(_, account)| !account.is_candidate(now));
        let predecessors = waiting.flat_map(|(_, account)| account.predecessors(&self.own.vm));
        let mut wanted: Vec<Name> = predecessors.cloned().collect();
        wanted.sort_unstable();
        wanted.dedup();
        let probed = &mut self.probed;
        wanted.retain(|vm| probed.get(vm).is_none_or(|at| now >= *at + PROBE_INTERVAL));
        for vm in &wanted {
            probed.insert(vm.clone(), now);
        }
        wanted
    }

    /// Returns when further votes must be asked for.
    pub(super) fn next_vote_at(&self, now: Duration) -> Option<Duration> {
        let candidacies = self.active(now).map(|(_, account)| account.candidate_from);
        let times = self.active(now).flat_map(|(_, account)| {
            let votes = account.electors.iter().map(|vm| account.votes.get(vm));
            votes.filter_map(|vote| match vote {
                None => Some(now),
                Some(HeldVote::Asked) => None,
                Some(HeldVote::Given { until, .. }) => Some(until.saturating_sub(RENEWED_LEFT)),
                Some(HeldVote::Refused { until }) => Some(*until),
            })
        });
        times.chain(candidacies).filter(|at| *at > now).min()
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
            // The earlier vote stays valid until it lapses.
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
