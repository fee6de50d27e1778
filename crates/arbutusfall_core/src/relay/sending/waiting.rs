//! Queue of model requests that wait for decode engine memory or for a prefill engine that can prefill them in time.
//!
//! A request is late if it would miss its route's target, counted from the caller's first attempt, even if it started
//! now. Requests that are not late go before late ones, and in both groups those whose callers have part of the answer go
//! first, then those of the most urgent priority. The rest of the order is that in which the requests last joined the queue.

use std::time::Duration;

use crate::CallId;
use crate::config::Role;
use crate::placement::RetrySchedule;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::calls::call::Call;
use crate::relay::limits::limit_waiting::LIMITED;
use crate::relay::notice::millis;
use crate::relay::sending::pacing::Pacing;

/// Shortest delay of the timer for the next pass over the queue.
const MIN_RESERVATION_TIMER_DELAY: Duration = Duration::from_millis(20);

/// Time from a request's reservation to its first event, not counting the prefill.
pub(in crate::relay) const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(120);

/// Longest wait of a caller's retry, as a multiple of the target: the request is already late, and if it gets no
/// memory, its caller should be refused soon.
const MAX_CALLER_RETRY_WAIT_FACTOR: f64 = 1.0;

/// Limit of the queue as a fraction of the grants expected while a request may wait: most requests in the queue should
/// get memory.
const QUEUE_LIMIT_FRACTION: f64 = 0.7;

/// Waiting requests, and the pacing of their reservation attempts.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitQueue {
    calls: Vec<CallId>,
    /// Instant of the earliest timer that is set.
    timer_due: Option<Duration>,
    /// Instant from which late requests may try to reserve memory again after one of them was refused.
    pub(in crate::relay) late_reservations_at: Duration,
    /// Pacing of reservation attempts.
    pub(in crate::relay) pacing: Pacing,
    /// Retry delays of refused callers, from the rate of grants.
    pub(in crate::relay) retry_schedule: RetrySchedule,
}

impl WaitQueue {
    pub(crate) fn ids(&self) -> &[CallId] {
        &self.calls
    }

    /// Removes a request; returns whether it waited.
    pub(crate) fn remove(&mut self, id: CallId) -> bool {
        let count = self.calls.len();
        self.calls.retain(|waiting| *waiting != id);
        self.calls.len() < count
    }
}

impl Call {
    /// Returns the instant until which the request may wait for memory: a first attempt only while it can be on time, unless it has
    /// waited for endpoints to be reached.
    pub(crate) fn wait_until(&self) -> Duration {
        if self.continues_stream() {
            // The caller has received part of its answer, from this VM or from another, which is worthless without the rest.
            return self.due_at;
        }
        let wait = if self.prior_attempt_time.is_zero() {
            self.route.latency_target.saturating_sub(FIRST_EVENT_MARGIN)
        } else {
            self.route
                .latency_target
                .mul_f64(MAX_CALLER_RETRY_WAIT_FACTOR)
        };
        let until = (self.arrived_at + wait).min(self.due_at);
        if self.has_waited_for_reach {
            // Its target may have passed while no endpoint was reached, for which engine memory is not the reason.
            until.max(self.reach_wait_until())
        } else {
            until
        }
    }
}

impl Relay {
    /// Queues a request for memory, or fails it if its wait is over or the queue is too long.
    pub(in crate::relay) fn enqueue(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if self.now >= call.wait_until() {
            self.fail_call(id, "no_room");
            return;
        }
        if !self.wait_queue.calls.contains(&id) {
            if self.is_beyond_limits(call) {
                self.fail_call(id, LIMITED);
                return;
            }
            if !call.has_waited && !call.continues_stream() && self.is_queue_full(call) {
                self.fail_call(id, "overloaded");
                return;
            }
            self.wait_queue.calls.push(id);
        }
        self.log_first_wait(id);
        self.set_reservation_timer();
    }

    /// Returns whether all engines of a call have limits, which this VM's shares do not let it use in time.
    fn is_beyond_limits(&self, call: &Call) -> bool {
        let mut engines = self.endpoints.serving_call(call, Role::Decode).peekable();
        let has_engines = engines.peek().is_some();
        if !(has_engines && engines.all(|engine| self.is_limited(&engine.listed.instance))) {
            return false;
        }
        let ahead = self.wait_queue.calls.len();
        let send_at = self.limited_send_at(call, Role::Decode, ahead);
        send_at.is_none_or(|send_at| send_at > call.wait_until())
    }

    /// Logs the first time that a request waits.
    fn log_first_wait(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id).filter(|call| !call.has_waited) else {
            return;
        };
        let grants_per_s = self.grants_per_s(call);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.has_waited = true;
        let notice = RelayNotice::Waiting {
            request_id: call.request.request_id.clone(),
            waiting: self.wait_queue.calls.len(),
            grants_per_s,
            at_most_ms: millis(call.wait_until().saturating_sub(self.now)),
        };
        self.note(notice);
    }

    /// Returns whether a request would probably get no memory, or no prefill, while it may wait, given the requests ahead of it.
    fn is_queue_full(&self, call: &Call) -> bool {
        let within = call.wait_until().saturating_sub(self.now);
        let is_first_attempt = call.prior_attempt_time.is_zero();
        let grants_per_s = self.grants_per_s(call) / self.reservation_wait_factor(call);
        let per_s = match self.prefills_per_s_with_room(call) {
            Some(prefills_per_s) => prefills_per_s.max(grants_per_s),
            None => grants_per_s,
        };
        let expected = per_s * within.as_secs_f64();
        let ahead = self.wait_queue.calls.iter();
        let ahead = ahead.filter(|id| self.priority(**id) <= Some(call.priority()));
        let ahead = ahead.filter(|id| !is_first_attempt || !self.would_miss_target(**id));
        (ahead.count() + 1) as f64 > expected * QUEUE_LIMIT_FRACTION
    }

    /// Returns the rate of prefills that this VM can expect, per second, if an engine has room for the call, so that only a prefill is
    /// waited for.
    fn prefills_per_s_with_room(&self, call: &Call) -> Option<f64> {
        let mut engines = self.endpoints.serving_call(call, Role::Decode);
        let has_room =
            engines.any(|engine| engine.health.is_usable(self.now) && engine.has_room(self.now));
        let tokens = call.token_counts().prompt_tokens;
        let prefill_engines = self.endpoints.serving(&call.service, Role::Prefill);
        let usable = prefill_engines.filter(|engine| engine.health.is_usable(self.now));
        let rates = usable.map(|engine| engine.prefills_per_s(tokens, self.now));
        (has_room && self.may_reserve(call)).then(|| rates.sum())
    }

    /// Returns the rate of grants that this VM can expect from the engines that serve a call, per second.
    pub(in crate::relay) fn grants_per_s(&self, call: &Call) -> f64 {
        let engines = self.endpoints.serving_call(call, Role::Decode);
        self.wait_queue.pacing.grants_per_s(engines.count())
    }

    /// Sets the timer for the next reservation attempt or for the end of the first wait, whichever comes first.
    fn set_reservation_timer(&mut self) {
        let calls = self.wait_queue.calls.iter();
        let ends = calls.filter_map(|id| Some(self.calls.get(id)?.wait_until()));
        let Some(first_end) = ends.min() else {
            return;
        };
        let calls = self.wait_queue.calls.iter();
        let allowed_at = calls.filter_map(|id| self.reservation_allowed_at(self.calls.get(id)?));
        let earliest = self.now + MIN_RESERVATION_TIMER_DELAY;
        let due = allowed_at.fold(first_end, Duration::min).max(earliest);
        if self.wait_queue.timer_due.is_some_and(|set| set <= due) {
            return;
        }
        self.wait_queue.timer_due = Some(due);
        self.timers.set(due, RelayTimer::RetryReservations);
    }

    /// Retries the reservations of waiting requests.
    pub(in crate::relay) fn on_retry_reservations(&mut self) {
        if self.wait_queue.timer_due.is_some_and(|due| due > self.now) {
            // This timer was superseded by an earlier one.
            return;
        }
        self.wait_queue.timer_due = None;
        self.retry_reservations();
        self.set_reservation_timer();
    }

    /// Sends every waiting request that may reserve memory now, and fails those whose wait is over.
    pub(in crate::relay) fn retry_reservations(&mut self) {
        for id in self.queue_order() {
            let Some(call) = self.calls.get(&id) else {
                self.wait_queue.remove(id);
                continue;
            };
            if self.now >= call.wait_until() {
                self.wait_queue.remove(id);
                self.fail_call(id, "no_room");
                continue;
            }
            if !self.may_reserve(call) || !self.can_prefill_in_time(call) {
                continue;
            }
            self.wait_queue.remove(id);
            self.send_next(id);
        }
    }

    /// Sends the requests that wait and may be sent now, because engines can be used that could not.
    pub(in crate::relay) fn go_on_with_waiting(&mut self) {
        self.retry_reservations();
        self.set_reservation_timer();
    }

    /// Returns the waiting requests in the order in which they are sent.
    pub(in crate::relay) fn queue_order(&self) -> Vec<CallId> {
        let mut order = self.wait_queue.calls.clone();
        // In both groups, streams that wait to be resumed go before other requests.
        order.sort_by_cached_key(|id| {
            let is_late = self.would_miss_target(*id);
            (is_late, !self.continues_stream(*id), self.priority(*id))
        });
        order
    }

    fn continues_stream(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(Call::continues_stream)
    }

    fn priority(&self, id: CallId) -> Option<u8> {
        self.calls.get(&id).map(Call::priority)
    }

    /// Returns whether a request is late: it would miss its target if it started now.
    pub(in crate::relay) fn would_miss_target(&self, id: CallId) -> bool {
        self.calls.get(&id).is_none_or(|call| {
            let first_event_due = (call.arrived_at + call.route.latency_target)
                .saturating_sub(call.prior_attempt_time);
            self.now + FIRST_EVENT_MARGIN > first_event_due
        })
    }
}
