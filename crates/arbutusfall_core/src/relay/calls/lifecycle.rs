//! Start and end of calls.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::Problem;
use crate::ProblemKind;
use crate::relay::QUOTA;
use crate::relay::QuotaUse;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayRequest;
use crate::relay::RelayRoute;
use crate::relay::RelayTimer;
use crate::relay::RouteTable;
use crate::relay::accounts::authentication::KEY_REVOKED;
use crate::relay::accounts::authentication::ServedFor;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::PrefillResult;
use crate::relay::calls::call::causes_of;
use crate::relay::crashes::cause_blocks::CRASHING_PART;
use crate::relay::crashes::cause_blocks::CRASHING_REQUEST;
use crate::relay::limits::limit_waiting::LIMITED;
use crate::relay::load::handling::SERVICE_FULL;
use crate::relay::notice::millis;
use crate::relay::streams::restoration_waits::STORE_RESTORING;

/// Reason of the end of a call at its deadline.
const TIMEOUT: &str = "timeout";

/// Reason of the end of a call when the process must exit.
pub(in crate::relay) const DRAIN_TIMEOUT: &str = "drain_timeout";

/// Retry delay sent to callers while this VM has no configuration.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// When a call times out, its endpoint counts as failed if it has been silent for this many times the route's target.
const FAILED_SILENCE_FACTOR: u32 = 3;

/// Fraction of a route's longest caller timeout above which a request counts as a first attempt. Below 1, because
/// callers differ in their timeouts.
const FIRST_ATTEMPT_TIMEOUT_FRACTION: f64 = 0.82;

/// Retry delay sent to callers if no endpoint can take the request: endpoints are listed again within about this time.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Expected duration of an overload.
const EXPECTED_OVERLOAD: Duration = Duration::from_millis(4_000);

/// Largest retry delay as a fraction of the caller's remaining time; callers ignore a delay of more than a third.
pub(in crate::relay) const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// Retry delay sent to callers if neither an overload nor a lack of endpoints kept their request from running, for
/// example after refusals or a timeout.
pub(in crate::relay) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

impl Relay {
    pub(in crate::relay) fn on_request(&mut self, request: RelayRequest) {
        if let Some(id) = self.accept_request(request) {
            self.begin_within_quota(id);
        }
    }

    /// Makes a call of a request; returns none if the request was refused instead.
    pub(in crate::relay) fn accept_request(&mut self, mut request: RelayRequest) -> Option<CallId> {
        let reason = request.hop.as_ref();
        if let Some(reason) = reason.and_then(|hop| self.reason_to_decline(hop)) {
            self.decline(&request, reason);
            return None;
        }
        let Some(routes) = self.routes.clone() else {
            self.refuse_unrouted(&request, ProblemKind::Unavailable);
            return None;
        };
        let Some(route) = routes.find(&request.host, &request.path) else {
            self.refuse_unrouted(&request, ProblemKind::NoRoute);
            return None;
        };
        let served_for = match routes.authenticate(&request, route) {
            Ok(served_for) => served_for,
            Err(reason) => {
                self.refuse_unauthorized(&request, reason);
                return None;
            }
        };
        request.request_keys.set_caller(&served_for.sent);
        if let Some(resumption) = &request.resumption {
            self.note(RelayNotice::Resuming {
                request_id: request.request_id.clone(),
                first_attempt: resumption.first_attempt.clone(),
                last_event_id: resumption.last_event_id.clone(),
            });
        }
        if let Some(hop) = &request.hop {
            self.note(RelayNotice::Taken {
                request_id: request.request_id.clone(),
                from_vm: hop.from_vm.clone(),
            });
        }
        let call = self.new_call(request, route, &routes, served_for);
        self.budget.on_request(&call.service, self.now);
        if call.route.is_model_route {
            self.wait_queue
                .pacing
                .on_request(call.token_counts().expected_decode_cost());
            self.roles.on_arrival(&call.service);
        }
        let id = call.request.call;
        let due_at = call.due_at;
        self.calls.insert(id, call);
        if due_at <= self.now {
            self.fail_call(id, TIMEOUT);
            return None;
        }
        self.timers.set(due_at, RelayTimer::CallDeadline(id));
        Some(id)
    }

    pub(in crate::relay) fn new_call(
        &mut self,
        request: RelayRequest,
        route: &RelayRoute,
        routes: &RouteTable,
        served_for: ServedFor,
    ) -> Call {
        let caller_timeout = request.caller_timeout.unwrap_or(route.timeout);
        let arrived_at = self.now.saturating_sub(request.receive_time);
        let hop = request.hop.as_ref();
        let of_hop = hop.map(|hop| &hop.service);
        let of_hop = of_hop.filter(|service| route.services.iter().any(|(of, _)| of == *service));
        let service = match of_hop {
            Some(service) => service.clone(),
            None => self.pick_service(route),
        };
        let engine = routes.engine(&service);
        Call {
            reservation_lifetime: engine
                .map_or(Duration::ZERO, |engine| engine.reservation_lifetime),
            prior_attempt_time: self.prior_attempt_time(route, caller_timeout),
            account: served_for.account,
            sent_account: served_for.sent,
            quota_use: QuotaUse::default(),
            has_load_token: false,
            service,
            route: route.clone(),
            config_version: routes.version,
            arrived_at,
            due_at: arrived_at + caller_timeout.min(route.timeout),
            attempts: hop.map_or(0, |hop| hop.attempts),
            was_forwarded: false,
            prefills: 0,
            was_prefilled: false,
            prefill_work: Duration::ZERO,
            stream_began_at: None,
            exchange_count: 0,
            allocation: None,
            has_waited: false,
            failed_endpoints: Vec::new(),
            unanswered_exchanges: 0,
            has_waited_for_reach: false,
            causes: causes_of(&request),
            endpoint_ends: hop.map_or(0, |hop| hop.endpoint_ends),
            has_survived: false,
            is_end_unmarked: false,
            may_have_run: false,
            stream_version: hop.and_then(|hop| hop.stream_version.clone()),
            last_event_id: None,
            has_stream_started: false,
            first_event_at: None,
            prefill_result: None,
            current: None,
            standby: None,
            request,
        }
    }

    /// Estimates the time that the caller spent on earlier attempts: a retry arrives with a shorter timeout than the
    /// route's longest.
    fn prior_attempt_time(&mut self, route: &RelayRoute, caller_timeout: Duration) -> Duration {
        let longest = self
            .longest_caller_timeout
            .entry(route.name.clone())
            .or_default();
        *longest = caller_timeout.max(*longest);
        if caller_timeout > longest.mul_f64(FIRST_ATTEMPT_TIMEOUT_FRACTION) {
            return Duration::ZERO;
        }
        longest.saturating_sub(caller_timeout)
    }

    /// Picks one of the route's services at random by weight.
    pub(in crate::relay) fn pick_service(&mut self, route: &RelayRoute) -> Name {
        let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
        let mut left = self.rng.u32(..total.max(1));
        for (service, weight) in &route.services {
            if left < *weight {
                return service.clone();
            }
            left -= weight;
        }
        route
            .services
            .first()
            .map_or_else(|| route.name.clone(), |(service, _)| service.clone())
    }

    pub(in crate::relay) fn refuse_unrouted(&mut self, request: &RelayRequest, kind: ProblemKind) {
        let problem = match kind {
            ProblemKind::Unavailable => Problem::retry(kind, UNAVAILABLE_RETRY_AFTER),
            _ => Problem::new(kind),
        };
        self.note(RelayNotice::GivenUp {
            request_id: request.request_id.clone(),
            route: None,
            is_added_route: false,
            config_version: self.config_version(),
            status: Some(kind.status()),
            reason: kind.slug(),
            retry_after_ms: problem.retry_after.map(millis),
            after_ms: 0,
            late_ms: 0,
        });
        self.effects.push(RelayEffect::AnswerProblem {
            call: request.call,
            problem,
        });
    }

    pub(in crate::relay) fn on_call_deadline(&mut self, id: CallId) {
        self.on_silence_in_doubt(id);
        self.record_silent_endpoint(id);
        self.shrink_slow_start(id);
        self.fail_call(id, TIMEOUT);
    }

    /// Records a failure of the call's endpoint if it has been silent for far longer than the target.
    fn record_silent_endpoint(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let silence = self.now.saturating_sub(current.last_activity_at);
        if silence < call.route.latency_target * FAILED_SILENCE_FACTOR {
            return;
        }
        let instance = current.instance.clone();
        if let Some(notice) = self.endpoints.on_failed(&instance, self.now) {
            self.note(notice);
        }
    }

    pub(in crate::relay) fn on_caller_gone(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let notice = RelayNotice::CallerGone {
            request_id: call.request.request_id.clone(),
            after_ms: millis(self.now.saturating_sub(call.arrived_at)),
        };
        self.note(notice);
        self.on_silence_in_doubt(id);
        self.release_resources(id);
        self.end_quota_use(id);
        if let Some(call) = self.calls.remove(&id) {
            self.on_stream_end(&call.request.request_id, false);
        }
    }

    /// Closes the call's exchanges and releases its allocations, its prefill result and its places in queues.
    pub(in crate::relay) fn release_resources(&mut self, id: CallId) {
        self.drop_standby(id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let current = call.current.clone();
        if let Some(current) = &current {
            call.on_exchange_closed(current);
        }
        let exchange = current.map(|current| current.exchange);
        let prefill_result = call.prefill_result.take();
        self.end_exchange(id);
        self.release_allocation(id);
        self.wait_queue.remove(id);
        self.limited_queue.remove(id);
        self.leave_load_queue(id);
        if let Some(exchange) = exchange {
            self.effects.push(RelayEffect::Close { exchange });
        }
        if let Some(result) = prefill_result {
            self.free_prefill_result(result);
        }
    }

    /// Returns whether the process that has completed a prefill should still keep its result.
    pub(in crate::relay) fn is_kept(&self, result: &PrefillResult) -> bool {
        let (instance, started_unix_ms) = (&result.instance, result.started_unix_ms);
        self.now < result.expires_at && self.endpoints.may_be_listed_run(instance, started_unix_ms)
    }

    /// Frees a prefill result that no engine will fetch.
    pub(in crate::relay) fn free_prefill_result(&mut self, result: PrefillResult) {
        if self.is_kept(&result) && !self.is_resting(&result.instance) {
            self.take_limit_tokens(&result.instance, 1.0);
            self.effects.push(RelayEffect::FreeKvCache(result.location));
        }
    }

    /// Ends the call with a problem: `not_run` only if nothing of the request may have been written to an endpoint that has not said
    /// that it did not run it. A started stream is aborted. A call that is being moved from a silent endpoint stays there instead,
    /// until its deadline or the process's exit.
    pub(in crate::relay) fn fail_call(&mut self, id: CallId, reason: &'static str) {
        let is_final = matches!(reason, TIMEOUT | DRAIN_TIMEOUT);
        if !is_final && self.return_to_standby(id, reason) {
            return;
        }
        // Closed exchanges get no permission to write any more, so what has not been written by now never will be.
        self.release_resources(id);
        self.end_quota_use(id);
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let may_have_run = call.may_have_run;
        self.on_stream_end(&call.request.request_id, false);
        let problem = if reason == CRASHING_PART && !may_have_run {
            Problem::new(ProblemKind::CrashingPrompt)
        } else if reason == CRASHING_REQUEST && !may_have_run {
            Problem::new(ProblemKind::CrashingRequest)
        } else if reason == KEY_REVOKED && !may_have_run {
            Problem::new(ProblemKind::Unauthorized)
        } else if let (QUOTA, Some(after)) = (reason, call.quota_retry_after()) {
            Problem::retry(ProblemKind::AccountLimited, after)
        } else if may_have_run {
            Problem::new(match reason {
                TIMEOUT => ProblemKind::AnswerTimeout,
                _ => ProblemKind::UpstreamFailed,
            })
        } else {
            let left = call.time_left(self.now);
            let after = match reason {
                LIMITED => self.retry_after_limit(&call),
                SERVICE_FULL => {
                    self.retry_after_load(&call, left.mul_f64(MAX_RETRY_AFTER_FRACTION))
                }
                STORE_RESTORING => self.retry_after_restoration(left),
                _ if self.must_wait_for_rest(&call) => self.retry_after_rest(&call),
                _ => self.retry_after_for(reason, left),
            };
            Problem::retry(ProblemKind::NotRun, after)
        };
        let effect = if call.has_stream_started {
            RelayEffect::Abort { call: id }
        } else {
            RelayEffect::AnswerProblem {
                call: id,
                problem: problem.clone(),
            }
        };
        self.note(RelayNotice::GivenUp {
            request_id: call.request.request_id.clone(),
            route: Some(call.route.name.clone()),
            is_added_route: self.is_added_route(&call.route),
            config_version: Some(call.config_version),
            status: (!call.has_stream_started).then(|| problem.kind.status()),
            reason,
            retry_after_ms: problem.retry_after.map(millis),
            after_ms: millis(self.now.saturating_sub(call.arrived_at)),
            late_ms: millis(self.now.saturating_sub(call.due_at)),
        });
        self.effects.push(effect);
    }

    /// Returns the retry delay for a caller whose request was beyond the limits of its endpoints.
    fn retry_after_limit(&mut self, call: &Call) -> Duration {
        let least = self.limited_retry_delay(call);
        let retry_schedule = &mut self.limited_queue.retry_schedule;
        let after = retry_schedule.next(least, self.now, &mut self.rng);
        let left = call.time_left(self.now);
        after.min(left.mul_f64(MAX_RETRY_AFTER_FRACTION))
    }

    /// Returns the retry delay for a caller whose request did not run.
    fn retry_after_for(&mut self, reason: &str, left: Duration) -> Duration {
        match reason {
            "overloaded" | "no_room" => {}
            "no_endpoint" => return NO_ENDPOINT_RETRY_AFTER,
            _ => return DEFAULT_RETRY_AFTER,
        }
        let retry_schedule = &mut self.wait_queue.retry_schedule;
        let after = retry_schedule.next(EXPECTED_OVERLOAD, self.now, &mut self.rng);
        after.min(left.mul_f64(MAX_RETRY_AFTER_FRACTION))
    }
}
