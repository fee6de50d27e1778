//! The relay's use of quotas: which requests need tokens, and what follows when there are none.

use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::QuotaAnswer;
use arbutusfall_wire::QuotaQuestion;

use crate::CallId;
use crate::relay::AccountQuota;
use crate::relay::LeaseStatus;
use crate::relay::OwnedAccount;
use crate::relay::QuotaAdmission;
use crate::relay::QuotaCounts;
use crate::relay::QuotaLeases;
use crate::relay::QuotaOutcome;
use crate::relay::QuotaOwner;
use crate::relay::QuotaPlace;
use crate::relay::QuotaSettings;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelaySettings;
use crate::relay::RelayTimer;
use crate::relay::calls::call::Call;
use crate::relay::quota::token_bucket::TokenBucket;

/// Reason of the refusal of a request beyond its account's quota.
pub(in crate::relay) const QUOTA: &str = "quota";

/// Most log lines a second on changes of ownership.
const NOTICES_PER_S: f64 = 3.0;

/// Quotas at this VM.
#[derive(Debug, Clone)]
pub(in crate::relay) struct QuotaState {
    settings: QuotaSettings,
    owner: QuotaOwner,
    leases: QuotaLeases,
    /// Whether the list of VMs has changed since the owner and the leases last got it.
    is_list_stale: bool,
    /// Instant of the earliest timer that is set.
    timer_due: Option<Duration>,
    notices: TokenBucket,
    /// Requests that used tokens again before they were sent.
    renewed: u64,
    /// Fraction of each quota that this VM grants: below 1 only without an address for other VMs, when quotas can't be shared.
    lone_share: f64,
}

/// Use of a quota by a call.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) enum QuotaUse {
    /// It uses none, or returned it.
    #[default]
    None,
    /// It waits for tokens.
    Waiting,
    /// It used tokens.
    Used {
        tokens: f64,
        /// When it used them.
        used_at: Duration,
        /// Until when they can be returned.
        until: Duration,
    },
    /// It was refused.
    Refused { retry_after: Duration },
}

/// An account that this VM owns, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnedAccountStatus {
    /// Tokens that were granted of late, and that are left.
    pub owned: OwnedAccount,
    /// Quota in the configuration; none if it has none any more.
    pub quota: Option<AccountQuota>,
}

/// Counts of quotas for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaStatus {
    /// Decisions since the start.
    pub counts: QuotaCounts,
    /// Requests that used tokens again because they had waited for too long before they were sent.
    pub renewed: u64,
    /// Number of accounts that this VM owns.
    pub owned_accounts: usize,
}

impl QuotaState {
    pub(in crate::relay) fn new(settings: &RelaySettings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed.rotate_left(17));
        let vm_count = settings.retry_limit.vm_count.max(1);
        let own = settings.own_address.as_ref();
        let vm = own.map_or_else(|| Name::from("this"), |(vm, _)| vm.clone());
        let process = rng.u64(..);
        Self {
            settings: settings.quota,
            owner: QuotaOwner::new(vm.clone(), process, settings.quota),
            leases: QuotaLeases::new(vm, settings.quota, vm_count as usize, rng.u64(..)),
            is_list_stale: true,
            timer_due: None,
            notices: TokenBucket::new(NOTICES_PER_S, Duration::ZERO),
            renewed: 0,
            lone_share: if own.is_some() {
                1.0
            } else {
                1.0 / f64::from(vm_count)
            },
        }
    }

    /// Records that the list of VMs has changed.
    pub(in crate::relay) fn on_list_changed(&mut self) {
        self.is_list_stale = true;
    }
}

impl Relay {
    /// Answers another VM's question about quotas; `now` is monotonic. [`crate::relay::RelayEvent::Tick`] must follow: this VM may
    /// need votes of others before it can grant tokens.
    pub fn answer_quota(&mut self, question: &QuotaQuestion, now: Duration) -> QuotaAnswer {
        let routes = self.routes.clone();
        let quota_of = |account: &Name| routes.as_ref()?.quota_of(account);
        let answer = self.quota.owner.answer(question, quota_of, now);
        self.set_quota_timer(now);
        answer
    }

    /// Returns the accounts that this VM owns.
    pub fn owned_accounts(&self, now: Duration) -> Vec<OwnedAccountStatus> {
        let owned = self.quota.owner.owned_accounts(now).into_iter();
        let routes = self.routes.as_ref();
        let owned = owned.map(|owned| OwnedAccountStatus {
            quota: routes.and_then(|routes| routes.quota_of(&owned.account)),
            owned,
        });
        owned.collect()
    }

    /// Returns what this VM has leased of an account.
    pub(in crate::relay) fn lease_status(&self, account: &Name) -> LeaseStatus {
        self.quota.leases.status(account, self.now)
    }

    /// Returns the tokens that are left of an account; none unless this VM owns it.
    pub(in crate::relay) fn owned_tokens_left(&self, account: &Name) -> Option<f64> {
        let mut owned = self.quota.owner.owned_accounts(self.now).into_iter();
        let owned = owned.find(|owned| owned.account == *account)?;
        Some(owned.left)
    }

    /// Returns the place of a call that waits for tokens; none if it does not.
    pub(in crate::relay) fn quota_place(&self, id: CallId) -> Option<QuotaPlace> {
        self.quota.leases.place(id)
    }

    /// Returns the counts of quotas.
    pub fn quota_status(&self, now: Duration) -> QuotaStatus {
        QuotaStatus {
            counts: self.quota.leases.counts(),
            renewed: self.quota.renewed,
            owned_accounts: self.quota.owner.owned_accounts(now).len(),
        }
    }

    /// Hands the list of VMs on to the owner and the leases if it has changed.
    pub(in crate::relay) fn update_quota_list(&mut self) {
        let is_known = self.has_read_shared || self.own_address.is_none();
        if !self.quota.is_list_stale || !is_known {
            return;
        }
        self.quota.is_list_stale = false;
        let own = self.own_address.as_ref();
        let own = own.map_or_else(|| Name::from("this"), |(vm, _)| vm.clone());
        // This VM's record is only appended once the list has been read.
        let has_run_before = self.peers.get(&own).is_some();
        let mut vms = vec![own.clone()];
        if self.own_address.is_some() {
            let others = self.peers.iter().map(|(vm, _)| vm);
            vms.extend(others.filter(|vm| **vm != own).cloned());
        }
        vms.sort_unstable();
        self.quota.owner.set_vms(&vms, has_run_before, self.now);
        self.quota.leases.set_vms(&vms);
    }

    /// Begins a call once its account's quota allows it.
    pub(in crate::relay) fn begin_within_quota(&mut self, id: CallId) {
        let Some((account, quota, cost, due_at)) = self.needed_quota(id) else {
            self.begin_call(id);
            return;
        };
        let now = self.now;
        let leases = &mut self.quota.leases;
        let admission = leases.admit(id, &account, &quota, cost, due_at, now);
        if admission == QuotaAdmission::Waits {
            self.set_quota_use(id, QuotaUse::Waiting);
        } else {
            self.on_admission(id, admission);
        }
        self.advance_quota();
    }

    /// Makes a call that is about to be sent use new tokens if it used its own longer ago than
    /// [`QuotaSettings::max_send_delay`]: together with newer requests, it could exceed the bound of the window in which it is
    /// sent. Returns whether it did: the quota then decides whether the call goes on, and the caller of this must not send it.
    ///
    /// The old tokens are not returned: their lease has lapsed.
    pub(in crate::relay) fn renew_outdated_tokens(&mut self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        let settings = &self.quota.settings;
        if !call.is_some_and(|call| call.has_outdated_tokens(settings, self.now)) {
            return false;
        }
        self.quota.renewed += 1;
        self.begin_within_quota(id);
        true
    }

    /// Returns account, quota, cost and deadline of a call that needs tokens. A request that another VM has
    /// forwarded used its tokens there.
    fn needed_quota(&self, id: CallId) -> Option<(Name, AccountQuota, f64, Duration)> {
        let call = self.calls.get(&id)?;
        let account = call.account.as_ref()?;
        let mut quota = account.quota.filter(|_| call.request.hop.is_none())?;
        quota.per_s *= self.quota.lone_share;
        quota.burst *= self.quota.lone_share;
        let cost = quota.cost(call.request.token_counts);
        Some((account.name.clone(), quota, cost, call.due_at))
    }

    fn set_quota_use(&mut self, id: CallId, quota_use: QuotaUse) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.quota_use = quota_use;
        }
    }

    fn on_admission(&mut self, id: CallId, admission: QuotaAdmission) {
        match admission {
            QuotaAdmission::Waits => {}
            QuotaAdmission::Granted { until } => {
                let tokens = self.needed_quota(id).map_or(0.0, |(_, _, cost, _)| cost);
                let used = QuotaUse::Used {
                    tokens,
                    used_at: self.now,
                    until,
                };
                self.set_quota_use(id, used);
                self.begin_call(id);
            }
            QuotaAdmission::Refused { retry_after } => {
                self.set_quota_use(id, QuotaUse::Refused { retry_after });
                self.fail_call(id, QUOTA);
            }
        }
    }

    /// Handles what became of a question to another VM.
    pub(in crate::relay) fn on_quota_answered(&mut self, vm: &Name, outcome: &QuotaOutcome) {
        let quota = &mut self.quota;
        quota
            .leases
            .on_outcome(vm, outcome, &mut quota.owner, self.now);
        self.advance_quota();
    }

    /// Handles the timer of waiting requests and of votes.
    pub(in crate::relay) fn on_quota_timer(&mut self) {
        if self.quota.timer_due.is_some_and(|due| due > self.now) {
            // This timer was superseded by an earlier one.
            return;
        }
        self.quota.timer_due = None;
        self.advance_quota();
    }

    /// Decides on waiting requests and asks other VMs.
    fn advance_quota(&mut self) {
        let quota = &mut self.quota;
        let output = quota.leases.advance(&mut quota.owner, self.now);
        for (vm, question) in output.questions {
            self.ask_quota(vm, question);
        }
        if let Some(due) = output.wake_at {
            self.set_quota_timer(due);
        }
        for (id, admission) in output.decisions {
            self.on_admission(id, admission);
        }
        self.note_ownership();
    }

    fn ask_quota(&mut self, vm: Name, question: QuotaQuestion) {
        let Some(peer) = self.peers.get(&vm) else {
            // The VM has left the peers since the leases got the list of VMs.
            let quota = &mut self.quota;
            let outcome = QuotaOutcome::Failed;
            quota
                .leases
                .on_outcome(&vm, &outcome, &mut quota.owner, self.now);
            self.set_quota_timer(self.now);
            return;
        };
        let address = peer.address;
        self.effects.push(RelayEffect::AskQuota {
            vm,
            address,
            question,
        });
    }

    fn set_quota_timer(&mut self, due: Duration) {
        if self.quota.timer_due.is_some_and(|set| set <= due) {
            return;
        }
        self.quota.timer_due = Some(due);
        self.timers.set(due, RelayTimer::Quota);
    }

    fn note_ownership(&mut self) {
        for (account, owned) in self.quota.owner.take_changes() {
            let notices = &mut self.quota.notices;
            if notices.refill(NOTICES_PER_S, NOTICES_PER_S, self.now) < 1.0 {
                continue;
            }
            notices.take(1.0);
            self.note(RelayNotice::QuotaOwner { account, owned });
        }
    }

    /// Ends the use of a quota by a call that ends, once its exchanges are closed: tokens are returned if no endpoint can have run
    /// its request.
    pub(in crate::relay) fn end_quota_use(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let may_have_run = call.may_have_run;
        match std::mem::take(&mut call.quota_use) {
            QuotaUse::Waiting => self.quota.leases.remove(id),
            QuotaUse::Used { tokens, until, .. } if !may_have_run => {
                if let Some(account) = &call.account {
                    let leases = &mut self.quota.leases;
                    leases.give_back(&account.name, tokens, until, self.now);
                }
            }
            unreturned => call.quota_use = unreturned,
        }
    }
}

impl Call {
    /// Returns whether nothing of a call has been sent, and its tokens were used so long ago that they may not count in the
    /// window in which it would be sent.
    fn has_outdated_tokens(&self, settings: &QuotaSettings, now: Duration) -> bool {
        let quota = self.account.as_ref().and_then(|account| account.quota);
        let (QuotaUse::Used { used_at, .. }, Some(quota)) = (&self.quota_use, quota) else {
            return false;
        };
        let max_delay = settings.max_send_delay(quota.per_s, quota.burst);
        let is_unsent =
            !self.may_run_elsewhere() && self.allocation.is_none() && self.prefills == 0;
        is_unsent && now.saturating_sub(*used_at) > max_delay
    }

    /// Returns the retry delay of a call that was refused by its quota.
    pub(in crate::relay) fn quota_retry_after(&self) -> Option<Duration> {
        match self.quota_use {
            QuotaUse::Refused { retry_after } => Some(retry_after),
            _ => None,
        }
    }
}
