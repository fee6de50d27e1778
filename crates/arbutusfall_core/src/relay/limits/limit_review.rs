//! The timer for limits: the review of this VM's shares, and the sending of requests that wait.

use std::time::Duration;

use crate::config::Role;
use crate::relay::EndpointRun;
use crate::relay::Relay;
use crate::relay::RelayTimer;
use crate::relay::SharedRecord;

/// Time between two reviews of the shares.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which the limit of an endpoint that is not listed is forgotten.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(60);

impl Relay {
    /// Handles the timer for shares and waiting requests.
    pub(in crate::relay) fn on_limit_timer(&mut self) {
        if self
            .limited_queue
            .timer_due
            .is_some_and(|due| due > self.now)
        {
            // This timer was superseded by an earlier one.
            return;
        }
        self.limited_queue.timer_due = None;
        self.review_limits();
        self.send_limited();
        self.set_limit_timer();
    }

    fn review_limits(&mut self) {
        if self.now < self.limits_reviewed_at + REVIEW_INTERVAL {
            return;
        }
        self.limits_reviewed_at = self.now;
        self.forget_unlisted();
        for (run, write) in self.limits.review(self.now, &mut self.rng) {
            let record = SharedRecord::Share {
                run,
                number: write.number,
                holder: write.holder,
            };
            self.shared_outbox.push(record, self.now);
        }
        self.set_shared_timer();
        self.retry_reservations();
    }

    /// Forgets the limits of endpoints that are gone.
    fn forget_unlisted(&mut self) {
        let old = self.limits.iter();
        let old = old.filter(|(_, limit)| self.now >= limit.known_at + UNLISTED_LIFETIME);
        let old: Vec<EndpointRun> = old.map(|(run, _)| run.clone()).collect();
        for run in old {
            if self.instance_of(&run).is_some() {
                continue;
            }
            if let Some(limit) = self.limits.remove(&run) {
                let due = self.now + self.random_delay();
                self.delete_limit(run, &limit, due);
            }
        }
    }

    pub(in crate::relay) fn set_limit_timer(&mut self) {
        if self.limits.is_empty() && self.limited_queue.calls.is_empty() {
            return;
        }
        let review_at = self.limits_reviewed_at + REVIEW_INTERVAL;
        let first = self.limited_order().into_iter().next();
        let first = first.and_then(|id| self.calls.get(&id));
        let send_at = first.and_then(|call| self.limited_send_at(call, Role::Plain, 0));
        let due = send_at.map_or(review_at, |send_at| send_at.min(review_at));
        let due = due.max(self.now + Duration::from_millis(1));
        if self.limited_queue.timer_due.is_some_and(|set| set <= due) {
            return;
        }
        self.limited_queue.timer_due = Some(due);
        self.timers.set(due, RelayTimer::Limits);
    }
}
