//! Arrival and end of relayed requests.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::Problem;
use crate::ProblemKind;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayRequest;
use crate::relay::RelayRoute;
use crate::relay::RelayTimer;
use crate::relay::RouteTable;
use crate::relay::call::Call;
use crate::relay::notice::millis;

/// When callers are asked to come back while this VM knows no configuration or no endpoint.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Targets after which an endpoint that gave no sign counts as failed.
const SILENT_TARGETS: u32 = 3;

/// Share of the longest patience of a route's callers from which on a request is taken for a first try; callers differ in
/// their patience.
const FIRST_TRY_PATIENCE: f64 = 0.82;

/// When callers are asked to come back while no endpoint is listed: endpoints are listed anew in about this time.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Time after which an overload is expected to be over.
const OVERLOAD_LASTS: Duration = Duration::from_millis(4_000);

/// Share of a caller's time that it is asked to stay away at most; callers do not heed more than a third.
const HEEDED_SHARE: f64 = 0.3;

/// When callers are asked to come back whose request no endpoint accepted.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

impl Relay {
    pub(super) fn on_asked(&mut self, request: RelayRequest) {
        let Some(routes) = self.routes.clone() else {
            self.refuse_unrouted(&request, ProblemKind::Unavailable);
            return;
        };
        let Some(route) = routes.find(&request.host, &request.path) else {
            self.refuse_unrouted(&request, ProblemKind::NoRoute);
            return;
        };
        let call = self.new_call(request, route, &routes);
        self.budget.on_request(&call.service, self.now);
        if call.route.has_prompt {
            self.waiting.pacing.on_asked(call.prompt().expected_cost());
        }
        let id = call.request.call;
        self.timers.set(call.due_at, RelayTimer::CallDue(id));
        self.calls.insert(id, call);
        self.send_next(id);
    }

    pub(super) fn new_call(
        &mut self,
        request: RelayRequest,
        route: &RelayRoute,
        routes: &RouteTable,
    ) -> Call {
        let patience = request.patience.unwrap_or(route.timeout);
        let service = self.pick_service(route);
        let engine = routes.engine(&service);
        Call {
            reservation_lifetime: engine
                .map_or(Duration::ZERO, |engine| engine.reservation_lifetime),
            spent_before: self.spent_before(route, patience),
            service,
            route: route.clone(),
            config_version: routes.version,
            arrived_at: self.now,
            due_at: self.now + patience.min(route.timeout),
            attempts: 0,
            prefills: 0,
            was_prefilled: false,
            prefill_work: Duration::ZERO,
            stream_began_at: None,
            exchanges: 0,
            booking: None,
            has_waited: false,
            tried: Vec::new(),
            may_have_run: false,
            last_event_id: None,
            is_forwarded: false,
            first_event_at: None,
            prefilled: None,
            current: None,
            request,
        }
    }

    /// Time that a caller spent on earlier tries: callers that come again have less patience left than others.
    fn spent_before(&mut self, route: &RelayRoute, patience: Duration) -> Duration {
        let longest = self.longest_patience.entry(route.name.clone()).or_default();
        *longest = patience.max(*longest);
        if patience > longest.mul_f64(FIRST_TRY_PATIENCE) {
            return Duration::ZERO;
        }
        longest.saturating_sub(patience)
    }

    /// One of the route's services, at random by weight.
    pub(super) fn pick_service(&mut self, route: &RelayRoute) -> Name {
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

    pub(super) fn refuse_unrouted(&mut self, request: &RelayRequest, kind: ProblemKind) {
        let problem = match kind {
            ProblemKind::Unavailable => Problem::retry(kind, UNAVAILABLE_RETRY_AFTER),
            _ => Problem::new(kind),
        };
        self.note(RelayNotice::GivenUp {
            request_id: request.request_id.clone(),
            status: Some(kind.status()),
            reason: kind.slug(),
            retry_after_ms: problem.retry_after.map(millis),
            after_ms: 0,
        });
        self.effects.push(RelayEffect::Refuse {
            call: request.call,
            problem,
        });
    }

    pub(super) fn on_call_due(&mut self, id: CallId) {
        self.blame_silent_endpoint(id);
        self.give_up(id, "timeout");
    }

    /// Counts a request that its endpoint left without a sign for far longer than the target as the endpoint's failure.
    fn blame_silent_endpoint(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let silence = self.now.saturating_sub(current.heard_at);
        if silence < call.route.target * SILENT_TARGETS {
            return;
        }
        let instance = current.instance.clone();
        if let Some(notice) = self.endpoints.on_failed(&instance, self.now) {
            self.note(notice);
        }
    }

    pub(super) fn on_caller_gone(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let notice = RelayNotice::CallerGone {
            request_id: call.request.request_id.clone(),
            after_ms: millis(self.now.saturating_sub(call.arrived_at)),
        };
        self.note(notice);
        self.abandon(id);
        self.calls.remove(&id);
    }

    /// Closes the call's exchange and frees its prefill.
    pub(super) fn abandon(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let exchange = call.current.as_ref().map(|current| current.exchange);
        let prefilled = call.prefilled.take();
        self.end_exchange(id);
        self.end_booking(id);
        self.waiting.remove(id);
        if let Some(exchange) = exchange {
            self.effects.push(RelayEffect::Close { exchange });
        }
        if let Some(result) = prefilled
            && self.now < result.expires_at
        {
            self.effects.push(RelayEffect::FreeResult(result.stored));
        }
    }

    /// Gives the call its final answer: not run if that is certain.
    pub(super) fn give_up(&mut self, id: CallId, reason: &'static str) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let current = call.current.as_ref();
        let is_running = current.is_some_and(|current| current.stage.runs_request());
        let may_have_run = call.may_have_run || is_running;
        self.abandon(id);
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let problem = if may_have_run {
            Problem::new(match reason {
                "timeout" => ProblemKind::AnswerTimeout,
                _ => ProblemKind::UpstreamFailed,
            })
        } else {
            let left = call.left(self.now);
            Problem::retry(ProblemKind::NotRun, self.come_back_after(reason, left))
        };
        let effect = if call.is_forwarded {
            RelayEffect::Abort { call: id }
        } else {
            RelayEffect::Refuse {
                call: id,
                problem: problem.clone(),
            }
        };
        self.note(RelayNotice::GivenUp {
            request_id: call.request.request_id.clone(),
            status: (!call.is_forwarded).then(|| problem.kind.status()),
            reason,
            retry_after_ms: problem.retry_after.map(millis),
            after_ms: millis(self.now.saturating_sub(call.arrived_at)),
        });
        self.effects.push(effect);
    }

    /// When a caller whose request did not run is asked to come back.
    fn come_back_after(&mut self, reason: &str, left: Duration) -> Duration {
        match reason {
            "overloaded" | "no_room" => {}
            "no_endpoint" => return NO_ENDPOINT_RETRY_AFTER,
            _ => return REFUSED_RETRY_AFTER,
        }
        let comebacks = &mut self.waiting.comebacks;
        let after = comebacks.next(OVERLOAD_LASTS, self.now, &mut self.rng);
        after.min(left.mul_f64(HEEDED_SHARE))
    }
}
