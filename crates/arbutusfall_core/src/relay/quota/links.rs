//! Questions to other VMs: one at a time to each, and none for some time to one that does not answer.

use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::QuotaAnswer;
use arbutusfall_wire::QuotaQuestion;

/// Time for which a VM is not asked after it did not answer; doubles with each consecutive time.
const FAILED_BACKOFF: Duration = Duration::from_secs(1);

/// Upper limit of [`FAILED_BACKOFF`] when doubled.
const MAX_FAILED_BACKOFF: Duration = Duration::from_secs(8);

/// What became of a question to another VM.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaOutcome {
    /// It answered.
    Answered(QuotaAnswer),
    /// It answered with an error: it does not know such questions.
    Declined,
    /// It did not answer in time.
    Failed,
}

/// A question that is not answered yet.
#[derive(Debug, Clone)]
pub(super) struct SentQuestion {
    pub(super) question: QuotaQuestion,
    pub(super) sent_at: Duration,
}

#[derive(Debug, Clone, Default)]
struct Link {
    sent: Option<SentQuestion>,
    failures: u32,
    failed_until: Duration,
}

/// Questions to other VMs.
#[derive(Debug, Clone, Default)]
pub(super) struct Links {
    by_vm: FastMap<Name, Link>,
}

impl Links {
    /// Returns whether no question to a VM is in progress.
    pub(super) fn is_free(&self, vm: &Name) -> bool {
        self.by_vm.get(vm).is_none_or(|link| link.sent.is_none())
    }

    /// Returns whether a VM has not answered and is not asked now.
    pub(super) fn has_failed(&self, vm: &Name, now: Duration) -> bool {
        let link = self.by_vm.get(vm);
        link.is_some_and(|link| now < link.failed_until)
    }

    pub(super) fn on_sent(&mut self, vm: &Name, question: QuotaQuestion, now: Duration) {
        let link = self.by_vm.entry(vm.clone()).or_default();
        link.sent = Some(SentQuestion {
            question,
            sent_at: now,
        });
    }

    /// Ends the question to a VM and returns it.
    pub(super) fn on_outcome(
        &mut self,
        vm: &Name,
        has_answered: bool,
        now: Duration,
    ) -> Option<SentQuestion> {
        let link = self.by_vm.get_mut(vm)?;
        if has_answered {
            link.failures = 0;
        } else {
            let doublings = link.failures.min(8);
            link.failures += 1;
            link.failed_until = now + (FAILED_BACKOFF * (1 << doublings)).min(MAX_FAILED_BACKOFF);
        }
        link.sent.take()
    }

    /// Forgets VMs that are not listed and not being asked.
    pub(super) fn retain(&mut self, listed: impl Fn(&Name) -> bool) {
        self.by_vm
            .retain(|vm, link| link.sent.is_some() || listed(vm));
    }
}
