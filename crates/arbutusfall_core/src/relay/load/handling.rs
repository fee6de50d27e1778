//! Use of the limits of plain services by the relay.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::load::load_state::LoadStatus;
use crate::relay::notice::millis;

/// Reason of the refusal of a request to a service that is known to be full.
pub(in crate::relay) const SERVICE_FULL: &str = "service_full";

/// Time that must be left until the target when the answer is expected.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Longest wait behind other requests, as a fraction of the target.
const MAX_WAIT_FRACTION: f64 = 0.4;

/// Spread of retry delays that are cut to the longest that callers accept, as a fraction of it: otherwise
/// these callers would all return at the same time.
const CUT_RETRY_SPREAD: f64 = 0.4;

/// Interval of checks of the queue while only the number of requests in flight keeps its first request waiting.
const IN_FLIGHT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Relay {
    /// Lets a plain request wait if its service is limited. Returns false if it is to be sent now; otherwise it waits, or has
    /// already been sent or refused here.
    pub(in crate::relay) fn wait_for_service_limit(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        if call.has_load_token {
            return false;
        }
        let service = call.service.clone();
        self.advance_load(&service);
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let Some(load) = self.load.services.get_mut(&service) else {
            return false;
        };
        if load.limiter.rate_per_s().is_none() {
            return false;
        }
        if call.may_run_elsewhere() {
            // The retry budget allows it, and refusing it would leave its caller in doubt whether it ran.
            load.limiter.take_token();
            return false;
        }
        let account = call.account.as_ref().map(|account| account.name.clone());
        load.queue.join(id, call.priority(), account);
        let is_behind = load.queue.len() > 1 || !load.limiter.wait_for(1).is_zero();
        self.load.counts.beyond_limit += u64::from(is_behind);
        self.send_within_load(&service);
        true
    }

    /// Records an answer to a plain request.
    pub(in crate::relay) fn on_load_answered(
        &mut self,
        service: &Name,
        took: Duration,
        target: Duration,
    ) {
        self.advance_load(service);
        let load = self.load.services.entry(service.clone()).or_default();
        load.limiter.on_answered(took, target, self.now);
    }

    /// Records that the endpoint of the call's exchange rejected a plain request, by an answer or by a reset of its connection.
    /// Returns whether the service is known to be full.
    pub(in crate::relay) fn on_load_rejected(&mut self, id: CallId, is_reset: bool) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let Some(current) = &call.current else {
            return false;
        };
        let instance = current.instance.clone();
        if current.stage != CallStage::Plain || call.has_stream_started || !self.limits_services() {
            return false;
        }
        let endpoint = self.endpoints.get(&instance);
        let says_more = endpoint.is_none_or(|endpoint| {
            endpoint.is_resting() || endpoint.listed.is_leaving || self.limit_of(endpoint).is_some()
        });
        if says_more {
            // The endpoint has said itself when it takes requests, so its rejection says nothing of the service.
            return false;
        }
        let service = call.service.clone();
        let is_only = self.endpoints.serving(&service, Role::Plain).count() == 1;
        self.load.counts.rejected += 1;
        self.advance_load(&service);
        let load = self.load.services.entry(service.clone()).or_default();
        let begins = if is_reset {
            load.limiter.on_reset(self.now);
            false
        } else {
            load.limiter.on_rejected(&instance, is_only, self.now)
        };
        let rate = load.limiter.rate_per_s();
        if let (true, Some(rate)) = (begins, rate) {
            self.note(RelayNotice::ServiceLimited {
                service: service.clone(),
                per_s: rate,
            });
        }
        self.set_load_timer(&service);
        rate.is_some()
    }

    /// Returns whether plain services may be limited: only where client accounts share them.
    fn limits_services(&self) -> bool {
        let routes = self.routes.as_ref();
        routes.is_some_and(|routes| routes.accounts.is_some())
    }

    /// Removes a call from the queue of its service.
    pub(in crate::relay) fn leave_load_queue(&mut self, id: CallId) {
        let service = self.calls.get(&id).map(|call| &call.service);
        if let Some(load) = service.and_then(|service| self.load.services.get_mut(service)) {
            load.queue.remove(id);
        }
    }

    /// Handles the timer of a service.
    pub(in crate::relay) fn on_load_timer(&mut self, service: &Name) {
        if let Some(load) = self.load.services.get_mut(service) {
            if load.timer_due.is_some_and(|due| due > self.now) {
                // This timer was superseded by an earlier one.
                return;
            }
            load.timer_due = None;
            self.advance_load(service);
            self.send_within_load(service);
        }
    }

    /// Returns the retry delay for a caller whose request was refused because its service is full: the limit allows one more request
    /// by then, unless that is after `most`.
    pub(in crate::relay) fn retry_after_load(&mut self, call: &Call, most: Duration) -> Duration {
        self.load.counts.refused += 1;
        let load = self.load.services.entry(call.service.clone()).or_default();
        let least = load.limiter.wait_for(load.queue.len() + 1);
        let after = load.retry_schedule.next(least, self.now, &mut self.rng);
        if after <= most {
            return after;
        }
        let spread = most.mul_f64(1.0 - self.rng.f64() * CUT_RETRY_SPREAD);
        spread.max(least.min(most))
    }

    /// Returns the limits of plain services.
    pub fn load_status(&self) -> LoadStatus {
        let services = self.load.services.values();
        let limited = services.filter(|load| load.limiter.rate_per_s().is_some());
        LoadStatus {
            limited_services: limited.count(),
            counts: self.load.counts,
        }
    }

    /// Brings the limit of a service up to date, and logs if it is lifted.
    fn advance_load(&mut self, service: &Name) {
        let load = self.load.services.get_mut(service);
        let lasted = load.and_then(|load| load.limiter.advance(self.now));
        if let Some(lasted) = lasted {
            self.note(RelayNotice::ServiceUnlimited {
                service: service.clone(),
                after_ms: millis(lasted),
            });
        }
    }

    /// Sends the waiting requests that the limit allows now, and refuses those that would be answered too late.
    fn send_within_load(&mut self, service: &Name) {
        while let Some(id) = self.pop_within_load(service) {
            self.send_next(id);
        }
        self.refuse_late(service);
        self.set_load_timer(service);
    }

    /// Removes and returns the first waiting request, with a token taken for it, if the limit allows it now.
    fn pop_within_load(&mut self, service: &Name) -> Option<CallId> {
        let endpoints = self.endpoints.serving(service, Role::Plain);
        let in_flight = endpoints.map(|endpoint| endpoint.in_flight).sum();
        let load = self.load.services.get_mut(service)?;
        while let Some(id) = load.queue.first() {
            let Some(call) = self.calls.get_mut(&id) else {
                load.queue.remove(id);
                continue;
            };
            if !load.limiter.allows(in_flight, call.route.latency_target) {
                return None;
            }
            load.queue.pop();
            load.limiter.take_token();
            load.retry_schedule.on_granted(self.now);
            call.has_load_token = true;
            return Some(id);
        }
        None
    }

    /// Refuses the waiting requests that could not be answered in time even if all before them were sent at the limit.
    fn refuse_late(&mut self, service: &Name) {
        let Some(load) = self.load.services.get(service) else {
            return;
        };
        let mut ahead = 0;
        let mut late = Vec::new();
        for id in load.queue.order() {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let send_at = self.now + load.limiter.wait_for(ahead + 1);
            let mean = load.limiter.mean_answer_time();
            if send_at <= latest_send(call, mean, ahead) {
                ahead += 1;
            } else {
                late.push(id);
            }
        }
        for id in late {
            self.fail_call(id, SERVICE_FULL);
        }
    }

    /// Sets a timer for the next waiting request or the end of the limit, whichever comes first.
    fn set_load_timer(&mut self, service: &Name) {
        let now = self.now;
        let Some(load) = self.load.services.get_mut(service) else {
            return;
        };
        let Some(lifts_at) = load.limiter.lifts_at() else {
            return;
        };
        let next_at = load.queue.first().map(|_| {
            let wait = load.limiter.wait_for(1);
            let wait = if wait.is_zero() {
                IN_FLIGHT_CHECK_INTERVAL
            } else {
                wait.max(Duration::from_millis(1))
            };
            now + wait
        });
        let due = next_at.map_or(lifts_at, |next_at| next_at.min(lifts_at));
        if load.timer_due.is_some_and(|set| set <= due) {
            return;
        }
        load.timer_due = Some(due);
        self.timers.set(due, RelayTimer::Load(service.clone()));
    }
}

/// Returns the latest instant at which a request with `ahead` others before it may be sent to be answered in time.
fn latest_send(call: &Call, mean_answer_time: Duration, ahead: usize) -> Duration {
    let target = call.route.latency_target;
    let latest_answer = (call.arrived_at + target).min(call.due_at);
    let latest = latest_answer.saturating_sub(mean_answer_time + ANSWER_MARGIN);
    if ahead == 0 {
        return latest;
    }
    latest.min(call.arrived_at + target.mul_f64(MAX_WAIT_FRACTION))
}
