//! Sends requests to endpoints: selects the next stage and its endpoint.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::ExchangeId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::SendCommand;
use crate::relay::Work;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::calls::call::MemoryAllocation;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::limits::limit_tokens::tokens_for;
use crate::relay::limits::limit_waiting::LIMITED;
use crate::relay::notice::millis;
use crate::relay::sending::balance::select_endpoint;
use crate::relay::sending::endpoint_query::EndpointQuery;
use crate::relay::sending::endpoint_query::LimitedEndpoints;

/// Maximum number of prefills for one request before the decode engine prefills the prompt itself.
pub(in crate::relay) const MAX_PREFILL_ATTEMPTS: u32 = 2;

impl Relay {
    /// Sends the call's next stage to the best endpoint, queues the call, or fails it if no endpoint can take it.
    pub(in crate::relay) fn send_next(&mut self, id: CallId) {
        if let Some(reason) = self.blocked_reason(id) {
            self.fail_call(id, reason);
            return;
        }
        if self.waits_for_proof(id) {
            self.enqueue(id);
            return;
        }
        if self.goes_another_way(id) {
            return;
        }
        self.leave_unusable_engine(id);
        let Some(stage) = self.next_stage(id) else {
            return;
        };
        if stage == CallStage::Reserve && self.forward_if_version_unreached(id) {
            return;
        }
        if stage == CallStage::Reserve && self.waits_for_run_checks(id) {
            self.enqueue(id);
            return;
        }
        if stage == CallStage::Reserve && self.wait_for_reach(id, stage) {
            return;
        }
        if stage == CallStage::Reserve && self.must_wait(id) {
            self.want_limited_engines(id);
            self.enqueue(id);
            return;
        }
        if stage == CallStage::Plain && self.wait_for_service_limit(id) {
            return;
        }
        match self.next_instance(id, stage) {
            Some(_) if self.renew_outdated_tokens(id) => {}
            Some(instance) => self.send(id, instance, stage),
            None if self.wait_for_rest_or_fail(id, stage) => {}
            None if self.wait_for_reach(id, stage) => {}
            None => self.wait_for_limit_or_fail(id, stage),
        }
    }

    /// Handles a call that no endpoint can take now: a plain one waits if only a limit is the reason.
    fn wait_for_limit_or_fail(&mut self, id: CallId, stage: CallStage) {
        let call = self.calls.get(&id);
        if !call.is_some_and(|call| self.waits_for_limit(call, stage.role())) {
            self.fail_call(id, "no_endpoint");
        } else if stage == CallStage::Plain {
            self.wait_for_limit(id);
        } else {
            self.fail_call(id, LIMITED);
        }
    }

    /// Records that a waiting model request wants the limited engines of its service.
    fn want_limited_engines(&mut self, id: CallId) {
        if let Some(service) = self.calls.get(&id).map(|call| call.service.clone()) {
            let tokens = tokens_for(CallStage::Reserve, false);
            self.limited_endpoints(&service, Role::Decode, tokens);
        }
    }

    /// Returns the next stage of a call; repeated prefills count against the retry budget.
    fn next_stage(&mut self, id: CallId) -> Option<CallStage> {
        let call = self.calls.get(&id)?;
        if !call.route.is_model_route {
            return Some(CallStage::Plain);
        }
        let stage = self.model_stage(call);
        let is_repeat = stage == CallStage::Prefill && call.was_prefilled;
        if is_repeat && !self.take_retry(id) {
            // The decode engine prefills the prompt itself.
            return Some(CallStage::Decode { has_source: false });
        }
        Some(stage)
    }

    /// Gives up what the call has reserved at an engine that may no longer get the request: the list or the engine itself may have
    /// said so since the reservation. A completed prefill is kept for the next engine.
    fn leave_unusable_engine(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(allocation) = &call.allocation else {
            return;
        };
        let engine = self.endpoints.get(&allocation.instance);
        let keeps = engine.is_some_and(|engine| engine.may_use_grant(allocation, call));
        if !keeps {
            self.release_allocation(id);
        }
    }

    /// Returns whether engines serve the call but it may not reserve memory or start its prefill now.
    fn must_wait(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let mut engines = self.endpoints.serving_call(call, Role::Decode);
        engines.next().is_some() && !(self.may_reserve(call) && self.can_prefill_in_time(call))
    }

    /// Returns the endpoint for the next stage: for a decode, the engine that holds the call's reservation if there is
    /// one; otherwise the best one.
    fn next_instance(&mut self, id: CallId, stage: CallStage) -> Option<Name> {
        let call = self.calls.get(&id)?;
        let reserved = call.allocation.as_ref();
        let reserved = reserved.filter(|allocation| allocation.has_open_reservation());
        if let (CallStage::Decode { .. }, Some(allocation)) = (stage, reserved) {
            return Some(allocation.instance.clone());
        }
        let service = call.service.clone();
        let limited = self.limited_endpoints(&service, stage.role(), tokens_for(stage, false));
        let call = self.calls.get(&id)?;
        let query = self.endpoint_query(call, stage, &limited);
        let selection = select_endpoint(&self.endpoints, query, &mut self.rng);
        self.endpoints.slow_start_counts.held_back += u64::from(selection.has_held_back);
        selection.instance
    }

    /// Returns the criteria for the endpoint of a call's stage.
    pub(in crate::relay) fn endpoint_query<'a>(
        &self,
        call: &'a Call,
        stage: CallStage,
        limited: &'a LimitedEndpoints,
    ) -> EndpointQuery<'a> {
        EndpointQuery {
            service: &call.service,
            role: stage.role(),
            version: call.version_for(stage.role()),
            failed_endpoints: &call.failed_endpoints,
            allow_failed: call.may_return_to_failed(),
            limited,
            prompt_tokens: call.token_counts().prompt_tokens,
            latency_target: call.route.latency_target,
            extra_delay_after_refusal: match stage {
                CallStage::Reserve => self.extra_delay_after_refusal(call),
                _ => None,
            },
            now: self.now,
        }
    }

    /// Returns the next stage of a model request. Memory is reserved at a decode engine first, so that no prefill is
    /// wasted.
    fn model_stage(&self, call: &Call) -> CallStage {
        let has_open_reservation = call
            .allocation
            .as_ref()
            .is_some_and(MemoryAllocation::has_open_reservation);
        if !has_open_reservation {
            return CallStage::Reserve;
        }
        let prefill_result = call.prefill_result.as_ref();
        if prefill_result.is_some_and(|result| self.is_kept(result)) {
            return CallStage::Decode { has_source: true };
        }
        let has_prefill = self.usable_prefill_engines(call).next().is_some();
        if has_prefill && call.prefills < MAX_PREFILL_ATTEMPTS {
            CallStage::Prefill
        } else {
            CallStage::Decode { has_source: false }
        }
    }

    fn send(&mut self, id: CallId, instance: Name, stage: CallStage) {
        let is_limited = self.is_limited(&instance);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let reserved = call.allocation.as_ref();
        let has_reservation = reserved.is_some_and(MemoryAllocation::has_open_reservation);
        let tokens = tokens_for(stage, has_reservation);
        let Some(endpoint) = self.endpoints.get_mut(&instance) else {
            self.fail_call(id, "no_endpoint");
            return;
        };
        self.last_exchange += 1;
        let exchange = ExchangeId(self.last_exchange);
        let required_start_unix_ms = call.required_run(stage, endpoint);
        let asked = f64::from(u8::from(required_start_unix_ms.is_some()));
        call.current = Some(CurrentExchange {
            exchange,
            instance,
            address: endpoint.listed.address,
            version: endpoint.listed.version.clone(),
            started_unix_ms: endpoint.listed.started_unix_ms,
            known_start_unix_ms: endpoint.run.known_start(),
            stage,
            is_proved: required_start_unix_ms.is_some(),
            has_begun: false,
            may_be_written: false,
            sent_at: self.now,
            last_activity_at: self.now,
            answer_due: record_send(call, endpoint, stage, self.now),
            ended_at: None,
        });
        let mut command = call.send_command(exchange, endpoint, stage, self.now);
        command.is_limited = is_limited;
        command.required_start_unix_ms = required_start_unix_ms;
        let notice = call.sent_notice(&command, endpoint, stage);
        self.calls_by_exchange.insert(exchange, id);
        self.take_limit_tokens(&command.instance, tokens + asked);
        self.set_silence_timer(id);
        self.effects.push(RelayEffect::Send(command));
        if stage.runs_request() {
            self.on_run_sent(id, stage);
        }
        if stage != CallStage::Reserve {
            // A request may try to reserve memory at many engines; the log line of its decode names the one that
            // granted it.
            self.note(notice);
        }
    }
}

/// Counts an exchange at its endpoint and its call; returns when a prefill is expected to be done or a reservation to be
/// answered at the latest, or `now` for other stages.
fn record_send(
    call: &mut Call,
    endpoint: &mut Endpoint,
    stage: CallStage,
    now: Duration,
) -> Duration {
    let token_counts = call.token_counts();
    call.exchange_count += 1;
    if let Some(starting) = &mut endpoint.slow_start {
        starting.on_sent(endpoint.in_flight, now);
    }
    endpoint.in_flight += 1;
    endpoint.health.on_placed(now);
    match stage {
        CallStage::Plain | CallStage::Decode { .. } | CallStage::Forward => {
            call.attempts += 1;
            now
        }
        CallStage::Prefill => {
            call.prefills += 1;
            let work = endpoint.prefill_time(token_counts.prompt_tokens);
            let due = now + endpoint.expected_prefill_wait(now) + work;
            endpoint.prefills_done_at = endpoint.prefills_done_at.max(now) + work;
            due
        }
        CallStage::Reserve => {
            let tokens = token_counts.memory_tokens();
            endpoint.allocated_tokens += tokens;
            call.allocation = Some(MemoryAllocation {
                instance: endpoint.listed.instance.clone(),
                address: endpoint.listed.address,
                started_unix_ms: endpoint.listed.started_unix_ms,
                tokens,
                reservation: None,
            });
            now + endpoint.reservation_times.timeout()
        }
    }
}

impl Call {
    fn send_command(
        &self,
        exchange: ExchangeId,
        endpoint: &Endpoint,
        stage: CallStage,
        now: Duration,
    ) -> SendCommand {
        SendCommand {
            exchange,
            call: self.request.call,
            instance: endpoint.listed.instance.clone(),
            address: endpoint.listed.address,
            work: self.work(stage),
            expects_stream: self.route.is_stream,
            time_left: self.time_left(now),
            after_event_id: self.last_event_id,
            version: endpoint.listed.version.clone(),
            required_start_unix_ms: None,
            is_limited: false,
            account: self.sent_account.clone(),
        }
    }

    fn sent_notice(
        &self,
        command: &SendCommand,
        endpoint: &Endpoint,
        stage: CallStage,
    ) -> RelayNotice {
        RelayNotice::Sent {
            request_id: self.request.request_id.clone(),
            instance: command.instance.clone(),
            version: endpoint.listed.version.clone(),
            started_unix_ms: endpoint.listed.started_unix_ms,
            after_event_id: command.after_event_id,
            route: self.route.name.clone(),
            work: stage.name(),
            attempt: self.exchange_count,
            left_ms: millis(command.time_left),
            config_version: self.config_version,
        }
    }

    fn work(&self, stage: CallStage) -> Work {
        match stage {
            // A request is forwarded by a command of its own.
            CallStage::Plain | CallStage::Forward => Work::Plain,
            CallStage::Reserve => Work::Reserve {
                tokens: self.token_counts().memory_tokens(),
                lifetime: self.reservation_lifetime,
            },
            CallStage::Prefill => Work::Prefill,
            CallStage::Decode { has_source } => {
                let prefill_result = self.prefill_result.as_ref().filter(|_| has_source);
                let allocation = self.allocation.as_ref();
                Work::Decode {
                    source: prefill_result.map(|result| result.location.clone()),
                    reservation: allocation.and_then(|allocation| allocation.reservation.clone()),
                }
            }
        }
    }
}
