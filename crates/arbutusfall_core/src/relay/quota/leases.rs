//! Tokens that this VM leases from owners, the requests that wait for them, and whom to ask.

mod status;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::QuotaAsk;
use arbutusfall_wire::QuotaGrant;
use arbutusfall_wire::QuotaQuestion;

use crate::CallId;
use crate::relay::AccountQuota;
use crate::relay::QuotaAdmission;
use crate::relay::QuotaCounts;
use crate::relay::QuotaOutcome;
use crate::relay::QuotaOutput;
use crate::relay::QuotaOwner;
use crate::relay::QuotaSettings;
use crate::relay::quota::electors::first_vms;
use crate::relay::quota::emergency::EmergencyShare;
use crate::relay::quota::links::Links;
use crate::relay::quota::waiting::AccountLeases;
use crate::relay::quota::waiting::WaitingCall;

pub use status::LeaseStatus;
pub use status::QuotaPlace;

/// Longest time for which a request waits for tokens.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Longest time for which a request waits for tokens while an owner is expected: a late answer is better for its caller than a
/// refusal, and an owner is found within this time unless VMs are lost.
const MAX_OWNER_WAIT: Duration = Duration::from_secs(1);

/// Number of VMs that are asked before a VM counts as cut off from all owners.
const CANDIDATES: usize = 6;

/// Time for which a VM that does not grant tokens of an account is not asked for them.
const DECLINED_BACKOFF: Duration = Duration::from_millis(250);

/// Time for which the VM that granted tokens last is asked first, although another one precedes it.
const OWNER_MEMORY: Duration = Duration::from_secs(10);

/// Shortest time between an answer without tokens and the next question.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(15);

/// Time after which an account without requests is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(16);

/// Time between two searches for accounts to forget.
const SWEEP_INTERVAL: Duration = Duration::from_secs(4);

/// Tokens that this VM has leased, by account, and the requests that wait for tokens.
#[derive(Debug, Clone)]
pub struct QuotaLeases {
    vm: Name,
    settings: QuotaSettings,
    /// Number of VMs to assume while fewer are known.
    min_vm_count: usize,
    vms: Vec<Name>,
    list_version: u64,
    accounts: FastMap<Name, AccountLeases>,
    /// Accounts with waiting requests.
    pending: BTreeSet<Name>,
    account_by_call: FastMap<CallId, Name>,
    links: Links,
    rng: fastrand::Rng,
    counts: QuotaCounts,
    swept_at: Duration,
}

impl QuotaLeases {
    /// Creates the leases of a VM, one of at least `min_vm_count`.
    pub fn new(vm: Name, settings: QuotaSettings, min_vm_count: usize, seed: u64) -> Self {
        Self {
            vm,
            settings,
            min_vm_count,
            vms: Vec::new(),
            list_version: 0,
            accounts: FastMap::default(),
            pending: BTreeSet::new(),
            account_by_call: FastMap::default(),
            links: Links::default(),
            rng: fastrand::Rng::with_seed(seed),
            counts: QuotaCounts::default(),
            swept_at: Duration::ZERO,
        }
    }

    /// Takes over the list of all VMs, this one included.
    pub fn set_vms(&mut self, vms: &[Name]) {
        if self.vms == vms {
            return;
        }
        self.vms = vms.to_vec();
        self.list_version += 1;
        self.links.retain(|vm| vms.contains(vm));
    }

    /// Returns the counts of decisions.
    pub fn counts(&self) -> QuotaCounts {
        self.counts
    }

    /// Uses tokens for a request, or makes it wait for some, at most until `due_at`. [`Self::advance`] must follow.
    pub fn admit(
        &mut self,
        call: CallId,
        account: &Name,
        quota: &AccountQuota,
        cost: f64,
        due_at: Duration,
        now: Duration,
    ) -> QuotaAdmission {
        let leases = self.accounts.entry(account.clone());
        let leases = leases.or_insert_with(|| AccountLeases::new(*quota));
        leases.quota = *quota;
        leases.on_request(cost, now);
        if leases.waiting.is_empty()
            && let Some(until) = leases.take(cost, now)
        {
            return QuotaAdmission::Granted { until };
        }
        let until = (now + MAX_WAIT).min(due_at);
        if until <= leases.refused_until {
            let least = leases.refused_until - now;
            let retry_after = leases.retry_schedule.next(least, now, &mut self.rng);
            self.counts.refused += 1;
            return QuotaAdmission::Refused { retry_after };
        }
        leases.waiting.push_back(WaitingCall {
            call,
            cost,
            arrived_at: now,
            until,
            owner_until: (now + MAX_OWNER_WAIT).min(due_at),
        });
        self.account_by_call.insert(call, account.clone());
        self.pending.insert(account.clone());
        QuotaAdmission::Waits
    }

    /// Removes a waiting request that has ended.
    pub fn remove(&mut self, call: CallId) {
        let Some(account) = self.account_by_call.remove(&call) else {
            return;
        };
        if let Some(leases) = self.accounts.get_mut(&account) {
            leases.waiting.retain(|waiting| waiting.call != call);
        }
    }

    /// Returns the tokens of a request that no endpoint ran, if they have not lapsed.
    pub fn give_back(&mut self, account: &Name, tokens: f64, until: Duration, now: Duration) {
        if let Some(leases) = self.accounts.get_mut(account)
            && now < until
        {
            leases.add(tokens, until);
        }
    }

    /// Handles what became of the question to a VM. [`Self::advance`] must follow.
    pub fn on_outcome(
        &mut self,
        vm: &Name,
        outcome: &QuotaOutcome,
        owner: &mut QuotaOwner,
        now: Duration,
    ) {
        let has_answered = *outcome != QuotaOutcome::Failed;
        self.counts.failed += u64::from(!has_answered);
        let Some(sent) = self.links.on_outcome(vm, has_answered, now) else {
            return;
        };
        owner.set_failed(vm, self.links.failed_until(vm));
        let answer = match outcome {
            QuotaOutcome::Answered(answer) => Some(answer),
            QuotaOutcome::Declined | QuotaOutcome::Failed => None,
        };
        for account in &sent.question.votes {
            let votes = answer.map(|answer| answer.votes.as_slice());
            let vote = votes.unwrap_or_default();
            let vote = vote.iter().find(|vote| vote.account == *account);
            owner.on_vote(vm, account, vote, sent.sent_at, now);
            if let Some(leases) = self.accounts.get_mut(account)
                && !leases.is_asked
                && !leases.is_owner_known
            {
                // With this vote, this VM may own the account itself.
                leases.ask_at = now;
            }
        }
        for ask in &sent.question.asks {
            let grants = answer.map(|answer| answer.grants.as_slice());
            let grant = grants.unwrap_or_default();
            let grant = grant.iter().find(|grant| grant.account == ask.account);
            self.on_grant(vm, &ask.account, grant, sent.sent_at, now);
        }
    }

    /// Handles the answer to a request for tokens; none if there was none.
    fn on_grant(
        &mut self,
        vm: &Name,
        account: &Name,
        grant: Option<&QuotaGrant>,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(leases) = self.accounts.get_mut(account) else {
            return;
        };
        leases.is_asked = false;
        leases.ask_at = now;
        if grant.is_some_and(|grant| grant.is_of_owner()) {
            leases.on_owner(now);
        } else {
            leases.on_no_owner(grant.is_some() && *vm != self.vm, now);
        }
        let Some(grant) = grant.filter(|grant| !grant.is_declined) else {
            leases.owner.take_if(|(owner, _)| owner == vm);
            leases.declined.retain(|(_, until)| now < *until);
            leases.declined.push((vm.clone(), now + DECLINED_BACKOFF));
            return;
        };
        if grant.is_pending {
            leases.ask_at = now + MIN_ASK_INTERVAL;
            return;
        }
        if leases.owner.as_ref().is_none_or(|(owner, _)| owner != vm) {
            leases.owner = Some((vm.clone(), now + OWNER_MEMORY));
        }
        let lifetime = Duration::from_millis(grant.lifetime_ms);
        let lifetime = lifetime.min(self.settings.lease_lifetime());
        let granted = grant.granted.clamp(0.0, f64::MAX);
        self.counts.granted_tokens += granted;
        leases.add(granted, sent_at + lifetime);
        let retry_after = Duration::from_millis(grant.retry_after_ms);
        if !retry_after.is_zero() || granted <= 0.0 {
            leases.refused_until = now + retry_after;
            leases.ask_at = now + retry_after.max(MIN_ASK_INTERVAL);
        }
    }

    /// Decides on waiting requests and asks owners and electors.
    pub fn advance(&mut self, owner: &mut QuotaOwner, now: Duration) -> QuotaOutput {
        let mut output = QuotaOutput::default();
        let mut questions = BTreeMap::new();
        let pending: Vec<Name> = self.pending.iter().cloned().collect();
        for account in &pending {
            self.advance_account(account, owner, &mut questions, &mut output, now);
        }
        self.ask_votes(owner, &mut questions, now);
        for (vm, question) in questions {
            self.links.on_sent(&vm, question.clone(), now);
            self.counts.asked += 1;
            output.questions.push((vm, question));
        }
        self.sweep(now);
        output.wake_at = self.next_due(owner, now);
        output
    }

    /// Decides on the waiting requests of an account, and asks a VM for tokens if some still wait. Repeated after each answer of this
    /// VM itself, which comes at once.
    fn advance_account(
        &mut self,
        account: &Name,
        owner: &mut QuotaOwner,
        questions: &mut BTreeMap<Name, QuotaQuestion>,
        output: &mut QuotaOutput,
        now: Duration,
    ) {
        loop {
            self.serve(account, output, now);
            let Some(leases) = self.accounts.get(account) else {
                break;
            };
            if leases.waiting.is_empty() || leases.is_asked || now < leases.ask_at {
                break;
            }
            let Some(vm) = self.candidate(account, now) else {
                self.on_no_candidate(account, output, now);
                break;
            };
            let ask = self.ask(account);
            if vm == self.vm {
                let quota = self.accounts.get(account).map(|leases| leases.quota);
                let grant = owner.answer_ask(&ask, quota, now);
                self.on_grant(&vm, account, Some(&grant), now, now);
                continue;
            }
            if self.links.is_free(&vm) {
                let question = questions
                    .entry(vm)
                    .or_insert_with(|| new_question(&self.vm, owner));
                question.asks.push(ask);
                if let Some(leases) = self.accounts.get_mut(account) {
                    leases.is_asked = true;
                }
            }
            break;
        }
        let leases = self.accounts.get(account);
        if leases.is_none_or(|leases| leases.waiting.is_empty()) {
            self.pending.remove(account);
        }
    }

    /// Lets waiting requests proceed as far as the leases go, and ends those that have waited for too long.
    fn serve(&mut self, account: &Name, output: &mut QuotaOutput, now: Duration) {
        let Some(leases) = self.accounts.get_mut(account) else {
            return;
        };
        while let Some(first) = leases.waiting.front().copied() {
            let Some(until) = leases.take(first.cost, now) else {
                break;
            };
            leases.waiting.pop_front();
            self.account_by_call.remove(&first.call);
            let admission = QuotaAdmission::Granted { until };
            output.decisions.push((first.call, admission));
        }
        let refused_until = leases.refused_until;
        let is_owner_known = leases.is_owner_known;
        let is_over = |waiting: &WaitingCall| {
            if is_owner_known {
                leases.wait_until(waiting) <= refused_until.max(now)
            } else {
                waiting.until <= now
            }
        };
        let over: Vec<WaitingCall> = leases.waiting.iter().copied().filter(is_over).collect();
        for waiting in over {
            self.decide(account, waiting, !is_owner_known, output, now);
        }
    }

    /// Handles an account for which no VM can be asked now: its requests wait on if an owner is expected.
    fn on_no_candidate(&mut self, account: &Name, output: &mut QuotaOutput, now: Duration) {
        let Some(leases) = self.accounts.get_mut(account) else {
            return;
        };
        let asked_again = leases.declined.iter().map(|(_, until)| *until);
        if let Some(ask_at) = asked_again.filter(|until| now < *until).min()
            && leases.expects_owner(now)
        {
            leases.ask_at = ask_at;
            return;
        }
        let waiting: Vec<WaitingCall> = leases.waiting.iter().copied().collect();
        for waiting in waiting {
            self.decide(account, waiting, true, output, now);
        }
    }

    /// Ends the wait of a request for which there are no leased tokens, unless it may wait on for an owner that is expected.
    /// `may_use_emergency` is false if an owner is known: its refusal must not be bypassed.
    fn decide(
        &mut self,
        account: &Name,
        waiting: WaitingCall,
        may_use_emergency: bool,
        output: &mut QuotaOutput,
        now: Duration,
    ) {
        let vm_count = self.vms.len().max(self.min_vm_count);
        let Some(leases) = self.accounts.get_mut(account) else {
            return;
        };
        let share = EmergencyShare {
            quota: &leases.quota,
            settings: &self.settings,
            vm_count,
        };
        let least = if may_use_emergency {
            let emergency = &mut leases.emergency;
            emergency.try_take(waiting.cost, share, now, &mut self.rng)
        } else {
            Err(leases.refused_until.saturating_sub(now))
        };
        let expects_owner = may_use_emergency && leases.expects_owner(now);
        if expects_owner && least.is_err() && now < waiting.owner_until {
            return;
        }
        leases.waiting.retain(|other| other.call != waiting.call);
        self.account_by_call.remove(&waiting.call);
        let admission = match least {
            Ok(()) => {
                self.counts.emergency += 1;
                // Nothing can be returned: this used a part of the tolerated excess, no leased tokens.
                QuotaAdmission::Granted { until: now }
            }
            Err(least) => {
                self.counts.refused += 1;
                // Once there is an owner, the request is not bound to the rate of VMs without one.
                let least = if expects_owner {
                    least.min(MAX_OWNER_WAIT)
                } else {
                    least
                };
                let retry_after = leases.retry_schedule.next(least, now, &mut self.rng);
                QuotaAdmission::Refused { retry_after }
            }
        };
        output.decisions.push((waiting.call, admission));
    }

    /// Returns the VM to ask for tokens of an account; none if none can be asked.
    fn candidate(&mut self, account: &Name, now: Duration) -> Option<Name> {
        let leases = self.accounts.get_mut(account)?;
        if leases.list_version != self.list_version {
            leases.list_version = self.list_version;
            leases.ranked = first_vms(account, &self.vms, CANDIDATES);
        }
        leases.owner.take_if(|(_, until)| now >= *until);
        let known = leases.owner.as_ref().map(|(owner, _)| owner);
        let known = known.filter(|owner| self.vms.contains(owner));
        let ranked = leases.ranked.iter();
        let mut usable = known.into_iter().chain(ranked).filter(|vm| {
            let declined = leases.declined.iter();
            let has_declined = declined
                .filter(|(_, until)| now < *until)
                .any(|(declined, _)| declined == *vm);
            !has_declined && !self.links.has_failed(vm, now)
        });
        usable.next().cloned()
    }

    fn ask(&self, account: &Name) -> QuotaAsk {
        let leases = self.accounts.get(account);
        let needed = leases.map_or(0.0, AccountLeases::needed);
        let lifetime = self.settings.lease_lifetime();
        let expected = leases.map_or(0.0, |leases| leases.expected(lifetime));
        let first = leases.and_then(|leases| leases.waiting.front());
        QuotaAsk {
            account: account.clone(),
            needed,
            wanted: needed + expected,
            first: first.map_or(0.0, |first| first.cost),
            rank: 0,
        }
    }

    /// Asks electors for votes, and asks predecessors that keep this VM from wanting votes whether they answer.
    fn ask_votes(
        &mut self,
        owner: &mut QuotaOwner,
        questions: &mut BTreeMap<Name, QuotaQuestion>,
        now: Duration,
    ) {
        for (elector, account) in owner.wanted_votes(now) {
            if self.links.has_failed(&elector, now) {
                owner.on_vote(&elector, &account, None, now, now);
                continue;
            }
            if !self.links.is_free(&elector) {
                continue;
            }
            owner.on_vote_asked(&elector, &account);
            let question = questions.entry(elector);
            let question = question.or_insert_with(|| new_question(&self.vm, owner));
            question.votes.push(account);
        }
        for vm in owner.wanted_probes(now) {
            if self.links.is_free(&vm) && !self.links.has_failed(&vm, now) {
                let question = questions.entry(vm);
                question.or_insert_with(|| new_question(&self.vm, owner));
            }
        }
    }

    /// Returns when [`Self::advance`] must be called again.
    fn next_due(&self, owner: &QuotaOwner, now: Duration) -> Option<Duration> {
        let pending = self.pending.iter();
        let pending = pending.filter_map(|account| self.accounts.get(account));
        let dues = pending.flat_map(|leases| {
            let ask_at = (!leases.is_asked).then_some(leases.ask_at);
            let waits = leases.waiting.iter();
            let waits = waits.flat_map(|waiting| [waiting.until, waiting.owner_until]);
            ask_at.into_iter().chain(waits)
        });
        let dues = dues.chain(owner.next_vote_at(now));
        dues.filter(|due| *due > now).min()
    }

    /// Forgets accounts that have had no requests for some time.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.accounts.retain(|_, leases| {
            let is_used = now < leases.used_at + FORGET_TIME;
            is_used || !leases.waiting.is_empty() || leases.is_asked
        });
    }
}

fn new_question(vm: &Name, owner: &QuotaOwner) -> QuotaQuestion {
    QuotaQuestion {
        from: vm.clone(),
        process: owner.process(),
        ..QuotaQuestion::default()
    }
}
