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

/// Time without any answer after which this VM counts as cut off itself: the others are then asked again soon.
const CUT_OFF_TIME: Duration = Duration::from_secs(1);

/// Time for which a VM is not asked while this one is cut off.
const CUT_OFF_BACKOFF: Duration = Duration::from_millis(500);

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

/// The question to one VM, and its failures.
#[derive(Debug, Clone, Default)]
struct Link {
    /// Question in progress.
    sent: Option<SentQuestion>,
    /// Consecutive questions that were not answered, not counting those while this VM was cut off.
    failures: u32,
    failed_until: Duration,
}

/// Questions to other VMs.
#[derive(Debug, Clone, Default)]
pub(super) struct Links {
    by_vm: FastMap<Name, Link>,
    /// Instant of the newest answer of any VM.
    answered_at: Duration,
}

impl Links {
    /// Returns whether no question to a VM is in progress.
    pub(super) fn is_free(&self, vm: &Name) -> bool {
        self.by_vm.get(vm).is_none_or(|link| link.sent.is_none())
    }

    /// Returns until when a VM is not asked because it has not answered.
    pub(super) fn failed_until(&self, vm: &Name) -> Duration {
        let link = self.by_vm.get(vm);
        link.map_or(Duration::ZERO, |link| link.failed_until)
    }

    /// Returns whether a VM has not answered and is not asked now.
    pub(super) fn has_failed(&self, vm: &Name, now: Duration) -> bool {
        now < self.failed_until(vm)
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
        let is_cut_off = now > self.answered_at + CUT_OFF_TIME;
        if has_answered {
            self.answered_at = now;
        }
        if has_answered && is_cut_off {
            // The VMs did not answer because this one was cut off.
            for link in self.by_vm.values_mut() {
                link.failures = 0;
                link.failed_until = link.failed_until.min(now);
            }
        }
        let link = self.by_vm.get_mut(vm)?;
        if has_answered {
            link.failures = 0;
        } else if is_cut_off {
            link.failed_until = now + CUT_OFF_BACKOFF;
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
