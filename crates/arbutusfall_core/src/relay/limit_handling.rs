//! The relay's use of [`EndpointLimits`](crate::relay::endpoint_limits::EndpointLimits): what names and lifts a limit,
//! what counts against it, and which requests wait for it.
//!
//! Every request to an endpoint counts: plain requests, reservations, prefills and decodes, and requests to free memory
//! and role orders, which do not wait. A reservation takes the token of its decode along.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::EndpointRun;
use crate::relay::NamedLimit;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::ShareHolder;
use crate::relay::SharedRecord;
use crate::relay::balance::LimitedEndpoints;
use crate::relay::call::Call;
use crate::relay::call::CallStage;
use crate::relay::endpoint::Endpoint;
use crate::relay::endpoint_ends::incarnation;
use crate::relay::endpoint_limit::EndpointLimit;

/// Time between two reviews of the shares.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which the limit of an endpoint that is not listed is forgotten.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(60);

/// Requests that a role order sends to its engine: the report and the order.
pub(super) const ORDER_REQUESTS: f64 = 2.0;

/// Tokens of a reservation and of the decode that uses it.
pub(super) const RESERVATION_TOKENS: f64 = 2.0;

/// Reason of the refusal of a request beyond the limits of its endpoints.
pub(super) const LIMITED: &str = "limited";

/// Returns the tokens that a request of this stage needs.
pub(super) fn tokens_for(stage: CallStage, has_reservation: bool) -> f64 {
    match stage {
        CallStage::Plain | CallStage::Prefill => 1.0,
        CallStage::Reserve => RESERVATION_TOKENS,
        CallStage::Decode { .. } if has_reservation => 0.0,
        CallStage::Decode { .. } => 1.0,
    }
}

/// Returns the tokens that a request of this role needs before it is sent.
fn tokens_to_start(role: Role) -> f64 {
    match role {
        Role::Plain | Role::Prefill => 1.0,
        Role::Decode => RESERVATION_TOKENS,
    }
}

fn run_of(endpoint: &Endpoint) -> EndpointRun {
    let listed = &endpoint.listed;
    EndpointRun::new(incarnation(&listed.instance, listed.started_unix_ms))
}

impl Relay {
    /// Handles the limit that an endpoint's answer to the call's exchange names.
    pub(super) fn on_limit_named(&mut self, id: CallId, per_s: f64) {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        let Some(current) = current else {
            return;
        };
        let (instance, sent_at) = (current.instance.clone(), current.sent_at);
        self.name_limit(instance, per_s, sent_at);
    }

    /// Handles the limit that an engine's answer to a control request names.
    pub(super) fn on_control_limit(&mut self, instance: Name, per_s: f64) {
        self.name_limit(instance, per_s, self.now);
    }

    fn name_limit(&mut self, instance: Name, per_s: f64, sent_at: Duration) {
        let Some(endpoint) = self.endpoints.get(&instance) else {
            return;
        };
        let run = run_of(endpoint);
        if !self.limits.on_named(&run, per_s, sent_at, self.now) {
            return;
        }
        self.note_limit(instance.clone(), Some(per_s), "own");
        let limit = Some(NamedLimit { instance, per_s });
        let record = SharedRecord::Limit { run, limit };
        self.shared_outbox.push(record, self.now);
        self.set_shared_timer();
        self.set_limit_timer();
    }

    /// Handles an answer to the call's exchange that names no limit although the endpoint had one when it was sent.
    pub(super) fn on_limit_absent(&mut self, id: CallId) {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        let Some(current) = current else {
            return;
        };
        let (instance, sent_at) = (current.instance.clone(), current.sent_at);
        let Some(endpoint) = self.endpoints.get(&instance) else {
            return;
        };
        let run = run_of(endpoint);
        let Some(limit) = self.limits.on_absent(&run, sent_at, self.now) else {
            return;
        };
        self.note_limit(instance, None, "own");
        self.delete_limit(run, &limit, self.now);
        self.on_limits_changed();
    }

    fn delete_limit(&mut self, run: EndpointRun, limit: &EndpointLimit, due: Duration) {
        for number in 0..limit.share_count() {
            let record = SharedRecord::Share {
                run: run.clone(),
                number,
                holder: None,
            };
            self.shared_outbox.push(record, due);
        }
        let record = SharedRecord::Limit { run, limit: None };
        self.shared_outbox.push(record, due);
        self.set_shared_timer();
    }

    /// Returns the number of endpoints with a limit, and of shares of these limits that this VM holds.
    pub fn limit_status(&self) -> LimitStatus {
        let limits = self.limits.iter().map(|(_, limit)| limit);
        LimitStatus {
            endpoints: limits.clone().count(),
            held_shares: limits.map(EndpointLimit::held_count).sum(),
        }
    }

    fn note_limit(&mut self, instance: Name, per_s: Option<f64>, source: &'static str) {
        self.note(match per_s {
            Some(per_s) => RelayNotice::EndpointLimited {
                instance,
                per_s,
                source,
            },
            None => RelayNotice::EndpointUnlimited { instance, source },
        });
    }

    /// Handles the limit that another VM has recorded, or its end.
    pub(super) fn on_shared_limit(&mut self, run: &EndpointRun, limit: Option<NamedLimit>) {
        let source = "other_vm";
        if let Some(limit) = limit {
            if self.limits.on_recorded(run, limit.per_s, self.now) {
                self.note_limit(limit.instance, Some(limit.per_s), source);
            }
        } else if self.limits.remove(run).is_some() {
            if let Some(instance) = self.instance_of(run) {
                self.note_limit(instance, None, source);
            }
            self.on_limits_changed();
        }
        self.set_limit_timer();
    }

    /// Handles a record of a share of a limit.
    pub(super) fn on_shared_share(
        &mut self,
        run: &EndpointRun,
        number: usize,
        holder: Option<ShareHolder>,
    ) {
        self.limits.on_share(run, number, holder, self.now);
    }

    pub(super) fn instance_of(&self, run: &EndpointRun) -> Option<Name> {
        let mut endpoints = self.endpoints.iter();
        let endpoint = endpoints.find(|endpoint| run_of(endpoint) == *run)?;
        Some(endpoint.listed.instance.clone())
    }

    fn limit_of(&self, endpoint: &Endpoint) -> Option<&EndpointLimit> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(&run_of(endpoint))
    }

    /// Returns whether the endpoint has a limit.
    pub(super) fn is_limited(&self, instance: &Name) -> bool {
        let endpoint = self.endpoints.get(instance);
        endpoint.is_some_and(|endpoint| self.limit_of(endpoint).is_some())
    }

    /// Returns the instant from which this VM may send a request that needs these tokens; none if it holds no share of the
    /// endpoint's limit.
    pub(super) fn limit_allows_at(&self, endpoint: &Endpoint, tokens: f64) -> Option<Duration> {
        match self.limit_of(endpoint) {
            Some(limit) => limit.next_send_at(tokens, self.now),
            None => Some(self.now),
        }
    }

    /// Returns whether the endpoint's limit, if any, allows a request that needs these tokens now.
    pub(super) fn limit_allows(&self, endpoint: &Endpoint, tokens: f64) -> bool {
        let allowed_at = self.limit_allows_at(endpoint, tokens);
        allowed_at.is_some_and(|allowed_at| allowed_at <= self.now)
    }

    /// Returns the limited endpoints of a service and role, and records a request that can be sent to them.
    pub(super) fn limited_endpoints(
        &mut self,
        service: &Name,
        role: Role,
        tokens: f64,
    ) -> LimitedEndpoints {
        let mut found = LimitedEndpoints::default();
        if self.limits.is_empty() || tokens == 0.0 {
            return found;
        }
        let mut limited = Vec::new();
        for endpoint in self.endpoints.serving(service, role) {
            if self.limit_of(endpoint).is_none() {
                continue;
            }
            let instance = endpoint.listed.instance.clone();
            if self.limit_allows(endpoint, tokens) {
                found.available.push(instance);
            } else {
                found.used_up.push(instance);
            }
            limited.push(run_of(endpoint));
        }
        for run in limited {
            if let Some(limit) = self.limits.get_mut(&run) {
                limit.on_demand(tokens, self.now);
            }
        }
        found
    }

    /// Takes the tokens of a request to an endpoint.
    pub(super) fn take_limit_tokens(&mut self, instance: &Name, tokens: f64) {
        if self.limits.is_empty() || tokens == 0.0 {
            return;
        }
        let Some(endpoint) = self.endpoints.get(instance) else {
            return;
        };
        let run = run_of(endpoint);
        if let Some(limit) = self.limits.get_mut(&run) {
            limit.take(tokens, self.now);
            self.limited_queue.retry_schedule.on_granted(self.now);
        }
    }

    /// Returns the token of the decode that a refused reservation took along.
    pub(super) fn give_back_decode_token(&mut self, instance: &Name) {
        let endpoint = self.endpoints.get(instance);
        let Some(run) = endpoint.filter(|_| !self.limits.is_empty()).map(run_of) else {
            return;
        };
        if let Some(limit) = self.limits.get_mut(&run) {
            limit.give_back(1.0);
        }
    }

    /// Returns whether only limits keep the request from being sent: an endpoint that has not failed it has one.
    pub(super) fn waits_for_limit(&self, call: &Call, role: Role) -> bool {
        self.endpoints.serving_call(call, role).any(|endpoint| {
            !call.failed_endpoints.contains(&endpoint.listed.instance)
                && self.limit_of(endpoint).is_some()
        })
    }

    /// Returns when this VM's shares allow the next request to one of the call's endpoints, and how many a second; none if
    /// it holds no share.
    fn limited_service(&self, call: &Call, role: Role) -> Option<LimitedService> {
        let tokens = tokens_to_start(role);
        let mut found: Option<LimitedService> = None;
        for endpoint in self.endpoints.serving_call(call, role) {
            let Some(limit) = self.limit_of(endpoint) else {
                continue;
            };
            let Some(next_at) = limit.next_send_at(tokens, self.now) else {
                continue;
            };
            let service = found.get_or_insert(LimitedService { next_at, rate: 0.0 });
            service.next_at = service.next_at.min(next_at);
            service.rate += limit.rate(self.now) / tokens;
        }
        found
    }

    /// Returns when a request with `ahead` others before it could be sent; none if this VM holds no share.
    pub(super) fn limited_send_at(
        &self,
        call: &Call,
        role: Role,
        ahead: usize,
    ) -> Option<Duration> {
        let service = self.limited_service(call, role)?;
        if ahead == 0 {
            return Some(service.next_at);
        }
        if service.rate == 0.0 {
            return None;
        }
        let behind = Duration::from_secs_f64(ahead as f64 / service.rate);
        Some(service.next_at + behind)
    }

    /// Returns the time after which a request beyond the limits of its service may come back: the limits of all its
    /// endpoints allow one more request by then.
    pub(super) fn limited_retry_delay(&self, call: &Call) -> Duration {
        let role = if call.route.is_model_route {
            Role::Decode
        } else {
            Role::Plain
        };
        let limits = self.endpoints.serving_call(call, role);
        let limits = limits.filter_map(|endpoint| self.limit_of(endpoint));
        let per_s: f64 = limits.map(|limit| limit.per_s).sum();
        Duration::from_secs_f64(tokens_to_start(role) / per_s.max(0.1))
    }

    /// Queues a plain request until a limit allows it, or refuses it if that will be after its target.
    pub(super) fn wait_for_limit(&mut self, id: CallId) {
        if !self.limited_queue.calls.contains(&id) {
            self.limited_queue.calls.push(id);
        }
        self.refuse_hopeless();
        self.set_limit_timer();
    }

    /// Returns the waiting requests in the order in which they are due.
    fn limited_order(&self) -> Vec<CallId> {
        let waiting = self.limited_queue.calls.iter();
        let mut order: Vec<(Duration, CallId)> = waiting
            .filter_map(|id| Some((latest_send(self.calls.get(id)?), *id)))
            .collect();
        order.sort();
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Refuses the waiting requests that can't be sent by their targets.
    fn refuse_hopeless(&mut self) {
        let mut ahead = 0;
        for id in self.limited_order() {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let send_at = self.limited_send_at(call, Role::Plain, ahead);
            if send_at.is_some_and(|send_at| send_at <= latest_send(call)) {
                ahead += 1;
                continue;
            }
            self.limited_queue.remove(id);
            self.fail_call(id, LIMITED);
        }
    }

    /// Sends the waiting requests that the limits allow now.
    fn send_limited(&mut self) {
        self.limited_queue
            .calls
            .retain(|id| self.calls.contains_key(id));
        for id in self.limited_order() {
            let call = self.calls.get(&id);
            let allowed = call.is_some_and(|call| {
                let mut endpoints = self.endpoints.serving_call(call, Role::Plain);
                endpoints.any(|endpoint| self.limit_allows(endpoint, 1.0))
            });
            if allowed {
                self.limited_queue.remove(id);
                self.send_next(id);
            }
        }
        self.refuse_hopeless();
    }

    /// Handles limits that ended: requests that wait for them may be sent.
    fn on_limits_changed(&mut self) {
        self.send_limited();
        self.retry_reservations();
    }

    /// Handles the timer for shares and waiting requests.
    pub(super) fn on_limit_timer(&mut self) {
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

    fn set_limit_timer(&mut self) {
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

/// Limits at one VM, for its metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitStatus {
    /// Endpoints with a limit.
    pub endpoints: usize,
    /// Shares of these limits that the VM holds.
    pub held_shares: usize,
}

/// What this VM's shares of the limits of a service allow.
#[derive(Debug, Clone, Copy)]
struct LimitedService {
    next_at: Duration,
    /// Requests a second.
    rate: f64,
}

/// Returns the latest instant at which a plain request may be sent to be answered in time.
fn latest_send(call: &Call) -> Duration {
    (call.arrived_at + call.route.latency_target).min(call.due_at)
}
