//! Life of relayed requests: routed, sent, sent again where that is allowed, answered.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::Problem;
use crate::ProblemKind;
use crate::config::Role;
use crate::relay::ExchangeEvent;
use crate::relay::ExchangeFailure;
use crate::relay::ExchangeId;
use crate::relay::NotRunReason;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayRequest;
use crate::relay::RelayRoute;
use crate::relay::RelayTimer;
use crate::relay::RouteTable;
use crate::relay::SendOrder;
use crate::relay::StoredPrefill;
use crate::relay::Work;
use crate::relay::balance::Choice;
use crate::relay::balance::choose;
use crate::relay::call::Call;
use crate::relay::call::CallStage;
use crate::relay::call::Current;
use crate::relay::call::Prefilled;
use crate::relay::notice::millis;

/// When callers are asked to come back while this VM knows no configuration or no endpoint.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// When callers are asked to come back whose request no endpoint accepted.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Silence of an engine in the middle of a stream after which a resumable stream goes on elsewhere.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);

/// Time allowed for a prefill beyond its estimate before another engine is tried.
const PREFILL_SLACK: Duration = Duration::from_millis(600);

/// Prefills that are tried for one request before a decode engine does it itself.
const MAX_PREFILLS: u32 = 2;

/// Exchanges of one request in all, refused ones included.
const MAX_EXCHANGES: u32 = 6;

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
        self.budget.on_request(&call.service);
        let id = call.request.call;
        self.timers.set(call.due_at, RelayTimer::CallDue(id));
        self.calls.insert(id, call);
        self.send_next(id);
    }

    fn new_call(&mut self, request: RelayRequest, route: &RelayRoute, routes: &RouteTable) -> Call {
        let patience = request.patience.unwrap_or(route.timeout);
        Call {
            service: self.pick_service(route),
            route: route.clone(),
            config_version: routes.version,
            arrived_at: self.now,
            due_at: self.now + patience.min(route.timeout),
            attempts: 0,
            exchanges: 0,
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

    /// One of the route's services, at random by weight.
    fn pick_service(&mut self, route: &RelayRoute) -> Name {
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

    fn refuse_unrouted(&mut self, request: &RelayRequest, kind: ProblemKind) {
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

    /// Sends a call to the endpoint that suits it best now, or refuses it.
    fn send_next(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let stage = if call.route.has_prompt {
            self.model_stage(call)
        } else {
            CallStage::Plain
        };
        let role = match stage {
            CallStage::Plain => Role::Plain,
            CallStage::Prefill => Role::Prefill,
            CallStage::Decode { .. } => Role::Decode,
        };
        let choice = Choice {
            service: &call.service,
            role,
            tried: &call.tried,
            prompt_tokens: call.prompt().prompt_tokens,
            now: self.now,
        };
        let Some(instance) = choose(&self.endpoints, choice, &mut self.rng) else {
            self.give_up(id, "no_endpoint");
            return;
        };
        self.send(id, instance, stage);
    }

    /// The next step of a model request.
    fn model_stage(&self, call: &Call) -> CallStage {
        if call
            .prefilled
            .as_ref()
            .is_some_and(|result| self.now < result.expires_at)
        {
            return CallStage::Decode { has_source: true };
        }
        let has_prefill = self
            .endpoints
            .serving(&call.service, Role::Prefill)
            .any(|endpoint| endpoint.health.is_usable(self.now));
        let is_first = call.exchanges < MAX_PREFILLS && !call.is_forwarded;
        if has_prefill && is_first && call.prefilled.is_none() {
            CallStage::Prefill
        } else {
            CallStage::Decode { has_source: false }
        }
    }

    fn send(&mut self, id: CallId, instance: Name, stage: CallStage) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&instance) else {
            return;
        };
        self.exchanges += 1;
        let exchange = ExchangeId(self.exchanges);
        let prompt = call.prompt();
        let booked_tokens = u64::from(prompt.prompt_tokens + prompt.max_output_tokens);
        endpoint.in_flight += 1;
        endpoint.booked_tokens += booked_tokens;
        endpoint.health.on_placed(self.now);
        if stage == CallStage::Prefill {
            let work = endpoint.prefill_time(prompt.prompt_tokens);
            endpoint.prefilled_at = endpoint.prefilled_at.max(self.now) + work;
        } else {
            call.attempts += 1;
        }
        call.exchanges += 1;
        call.current = Some(Current {
            exchange,
            instance: instance.clone(),
            stage,
            sent_at: self.now,
            heard_at: self.now,
            booked_tokens,
        });
        let source = match stage {
            CallStage::Decode { has_source: true } => {
                call.prefilled.as_ref().map(|result| result.stored.clone())
            }
            _ => None,
        };
        let order = SendOrder {
            exchange,
            call: id,
            instance: instance.clone(),
            address: endpoint.listed.address,
            work: work_of(stage, source),
            patience: call.left(self.now),
            after_event_id: call.last_event_id,
        };
        let notice = RelayNotice::Sent {
            request_id: call.request.request_id.clone(),
            instance,
            work: stage.name(),
            attempt: call.exchanges,
            left_ms: millis(call.left(self.now)),
            config_version: call.config_version,
        };
        self.by_exchange.insert(exchange, id);
        self.set_silence_timer(id);
        self.effects.push(RelayEffect::Send(order));
        self.note(notice);
    }

    /// Looks at the exchange again when it has been silent for as long as it may.
    fn set_silence_timer(&mut self, id: CallId) {
        let Some((exchange, silent_at)) = self.calls.get(&id).and_then(|call| {
            let current = call.current.as_ref()?;
            Some((
                current.exchange,
                current.heard_at + self.patience(call, current)?,
            ))
        }) else {
            return;
        };
        self.timers.set(silent_at, RelayTimer::Silent(exchange));
    }

    /// Silence after which something else is tried; none if nothing else may be tried.
    fn patience(&self, call: &Call, current: &Current) -> Option<Duration> {
        match current.stage {
            CallStage::Prefill => {
                let endpoint = self.endpoints.get(&current.instance)?;
                let work = endpoint.prefilled_at.saturating_sub(current.sent_at);
                Some(work * 2 + PREFILL_SLACK)
            }
            CallStage::Plain => {
                let allowed = call.route.may_repeat() && call.attempts < call.route.max_attempts;
                allowed.then(|| call.route.target * 2)
            }
            CallStage::Decode { .. } => {
                let allowed = call.route.may_repeat() && call.attempts < call.route.max_attempts;
                let silence = STREAM_SILENCE.max(call.route.max_pause * 3);
                allowed.then_some(if call.is_forwarded {
                    silence
                } else {
                    silence + call.route.target
                })
            }
        }
    }

    /// An exchange may have been silent for too long: leaves it for another endpoint.
    pub(super) fn on_maybe_silent(&mut self, exchange: ExchangeId) {
        let Some(id) = self.by_exchange.get(&exchange).copied() else {
            return;
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let Some(patience) = self.patience(call, current) else {
            return;
        };
        if self.now < current.heard_at + patience {
            self.set_silence_timer(id);
            return;
        }
        let stage = current.stage;
        let service = call.service.clone();
        if !self.budget.take(&service) {
            return;
        }
        self.effects.push(RelayEffect::Close { exchange });
        self.leave_endpoint(id, "silent", true);
        self.mark_run(id, stage);
        self.send_next(id);
    }

    pub(super) fn on_exchange(&mut self, exchange: ExchangeId, event: ExchangeEvent) {
        let Some(id) = self.by_exchange.get(&exchange).copied() else {
            // The relay left the exchange before this happened.
            return;
        };
        match event {
            ExchangeEvent::PrefillDone { handle } => self.on_prefill_done(id, handle),
            ExchangeEvent::StreamBegan => self.on_stream_began(id, exchange),
            ExchangeEvent::Progress { last_event_id } => self.on_progress(id, last_event_id),
            ExchangeEvent::Complete { status } => self.on_complete(id, exchange, status),
            ExchangeEvent::NotRun { reason } => self.on_not_run(id, reason),
            ExchangeEvent::Failed { failure } => self.on_failed(id, failure),
        }
    }

    fn on_prefill_done(&mut self, id: CallId, handle: Name) {
        let lifetime = self.result_lifetime(id);
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let tokens = call.prompt().prompt_tokens;
        if let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
            endpoint.on_prefilled(tokens, now.saturating_sub(current.sent_at));
            call.prefilled = Some(Prefilled {
                stored: StoredPrefill {
                    address: endpoint.listed.address,
                    handle,
                },
                expires_at: now + lifetime,
            });
        }
        self.end_exchange(id);
        self.send_next(id);
    }

    fn result_lifetime(&self, id: CallId) -> Duration {
        let service = self.calls.get(&id).map(|call| &call.service);
        let engine = service.and_then(|service| {
            let routes = self.routes.as_ref()?;
            routes.services.get(service)?.engine.as_ref()
        });
        engine.map_or(Duration::ZERO, |engine| engine.result_lifetime)
    }

    fn on_stream_began(&mut self, id: CallId, exchange: ExchangeId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // The engine has fetched the prefill's result.
        call.prefilled = None;
        call.may_have_run = true;
        call.is_forwarded = true;
        if let Some(current) = &mut call.current {
            current.heard_at = self.now;
        }
        self.effects
            .push(RelayEffect::Forward { call: id, exchange });
    }

    fn on_progress(&mut self, id: CallId, last_event_id: Option<u64>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.last_event_id = last_event_id.or(call.last_event_id);
        let is_first = call.first_event_at.is_none();
        call.first_event_at.get_or_insert(now);
        let Some(current) = &mut call.current else {
            return;
        };
        current.heard_at = now;
        if is_first && let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
            endpoint.on_answered(now.saturating_sub(current.sent_at));
        }
    }

    fn on_complete(&mut self, id: CallId, exchange: ExchangeId, status: u16) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.may_have_run = true;
        let Some(current) = &call.current else {
            return;
        };
        let instance = current.instance.clone();
        let after = self.now.saturating_sub(current.sent_at);
        let is_failure = status >= 500;
        let may_try = is_failure && call.may_be_sent_again() && !call.is_forwarded;
        let service = call.service.clone();
        let is_plain = current.stage == CallStage::Plain;
        if may_try && self.budget.take(&service) {
            self.leave_endpoint(id, "error_status", false);
            self.send_next(id);
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&instance)
            && is_plain
            && !is_failure
        {
            endpoint.on_answered(after);
        }
        self.end_exchange(id);
        self.answer(id, exchange, status);
    }

    fn answer(&mut self, id: CallId, exchange: ExchangeId, status: u16) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.note(RelayNotice::Answered {
            request_id: call.request.request_id.clone(),
            status,
            after_ms: millis(self.now.saturating_sub(call.arrived_at)),
            first_event_ms: call
                .first_event_at
                .map(|at| millis(at.saturating_sub(call.arrived_at))),
        });
        self.effects.push(if call.is_forwarded {
            RelayEffect::Finish { call: id }
        } else {
            RelayEffect::Answer { call: id, exchange }
        });
    }

    /// The endpoint did not run the request: it may be sent elsewhere, whatever its kind.
    fn on_not_run(&mut self, id: CallId, reason: NotRunReason) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let stage = current.stage;
        if stage != CallStage::Prefill {
            call.attempts = call.attempts.saturating_sub(1);
        }
        if reason == NotRunReason::Refused && stage == (CallStage::Decode { has_source: true }) {
            // Either the engine is full or the result is lost; the engine does not say which.
            call.prefilled = None;
        }
        let service = call.service.clone();
        let label = match reason {
            NotRunReason::Refused => "not_run",
            NotRunReason::Misdirected => "misdirected",
        };
        self.leave_endpoint(id, label, reason == NotRunReason::Misdirected);
        self.send_again(id, &service);
    }

    fn on_failed(&mut self, id: CallId, failure: ExchangeFailure) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let stage = current.stage;
        let service = call.service.clone();
        let label = match failure {
            ExchangeFailure::Unreachable => "unreachable",
            ExchangeFailure::Closed => "closed",
            ExchangeFailure::Malformed => "malformed",
        };
        if failure == ExchangeFailure::Unreachable {
            if stage != CallStage::Prefill {
                call.attempts = call.attempts.saturating_sub(1);
            }
        } else {
            self.mark_run(id, stage);
        }
        self.leave_endpoint(id, label, true);
        if failure == ExchangeFailure::Unreachable {
            // Nothing arrived anywhere, so this is no retry.
            self.send_unless_spent(id);
        } else {
            self.send_again(id, &service);
        }
    }

    fn mark_run(&mut self, id: CallId, stage: CallStage) {
        if stage != CallStage::Prefill
            && let Some(call) = self.calls.get_mut(&id)
        {
            call.may_have_run = true;
        }
    }

    fn send_again(&mut self, id: CallId, service: &Name) {
        if self.budget.take(service) {
            self.send_unless_spent(id);
        } else {
            self.give_up(id, "retry_budget");
        }
    }

    fn send_unless_spent(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let is_spent = call.exchanges >= MAX_EXCHANGES || !call.may_be_sent_again();
        let cannot_resume =
            call.is_forwarded && (!call.route.is_resumable || call.last_event_id.is_none());
        if is_spent || cannot_resume {
            self.give_up(id, "attempts_spent");
        } else {
            self.send_next(id);
        }
    }

    /// Ends the call's exchange as failed, and remembers the endpoint as tried.
    fn leave_endpoint(&mut self, id: CallId, reason: &'static str, is_fault: bool) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = call.current.clone() else {
            return;
        };
        call.tried.push(current.instance.clone());
        let request_id = call.request.request_id.clone();
        self.end_exchange(id);
        self.note(RelayNotice::ExchangeFailed {
            request_id,
            instance: current.instance.clone(),
            reason,
            after_ms: millis(self.now.saturating_sub(current.sent_at)),
        });
        if is_fault && let Some(notice) = self.endpoints.on_failed(&current.instance, self.now) {
            self.note(notice);
        }
    }

    /// Frees what the call's exchange booked at its endpoint.
    fn end_exchange(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = call.current.take() else {
            return;
        };
        self.by_exchange.remove(&current.exchange);
        if let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            endpoint.booked_tokens = endpoint.booked_tokens.saturating_sub(current.booked_tokens);
        }
    }

    pub(super) fn on_call_due(&mut self, id: CallId) {
        self.give_up(id, "timeout");
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
    fn abandon(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let exchange = call.current.as_ref().map(|current| current.exchange);
        let prefilled = call.prefilled.take();
        self.end_exchange(id);
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
    fn give_up(&mut self, id: CallId, reason: &'static str) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let is_running = call
            .current
            .as_ref()
            .is_some_and(|current| current.stage != CallStage::Prefill);
        let may_have_run = call.may_have_run || is_running;
        self.abandon(id);
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let problem = problem_of(may_have_run, reason);
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
}

fn problem_of(may_have_run: bool, reason: &str) -> Problem {
    match (may_have_run, reason) {
        (false, _) => Problem::retry(ProblemKind::NotRun, REFUSED_RETRY_AFTER),
        (true, "timeout") => Problem::new(ProblemKind::AnswerTimeout),
        (true, _) => Problem::new(ProblemKind::UpstreamFailed),
    }
}

fn work_of(stage: CallStage, source: Option<StoredPrefill>) -> Work {
    match stage {
        CallStage::Plain => Work::Plain,
        CallStage::Prefill => Work::Prefill,
        CallStage::Decode { .. } => Work::Decode { source },
    }
}
