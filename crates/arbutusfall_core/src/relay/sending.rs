//! Sends requests to endpoints: which step is next, at which endpoint, and how long it may be silent.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::ExchangeId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::SendOrder;
use crate::relay::Work;
use crate::relay::balance::Choice;
use crate::relay::balance::choose;
use crate::relay::call::Booking;
use crate::relay::call::Call;
use crate::relay::call::CallStage;
use crate::relay::call::Current;
use crate::relay::endpoints::Endpoint;
use crate::relay::notice::millis;

/// Silence of an engine in the middle of a stream after which a resumable stream goes on elsewhere.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);

/// Time allowed for a prefill beyond its estimate before another engine is tried.
const PREFILL_SLACK: Duration = Duration::from_millis(1_200);

/// Time allowed for an engine to reserve memory.
const RESERVE_PATIENCE: Duration = Duration::from_millis(300);

/// Prefills that are tried for one request before a decode engine does it itself.
const MAX_PREFILLS: u32 = 2;

impl Relay {
    /// Sends a call to the endpoint that suits it best now, has it wait, or refuses it.
    pub(super) fn send_next(&mut self, id: CallId) {
        let Some(stage) = self.next_stage(id) else {
            return;
        };
        if stage == CallStage::Reserve && self.must_wait(id) {
            self.wait(id);
            return;
        }
        match self.next_instance(id, stage) {
            Some(instance) => self.send(id, instance, stage),
            None => self.give_up(id, "no_endpoint"),
        }
    }

    /// The next step of a call.
    fn next_stage(&mut self, id: CallId) -> Option<CallStage> {
        let call = self.calls.get(&id)?;
        if !call.route.has_prompt {
            return Some(CallStage::Plain);
        }
        let stage = self.model_stage(call);
        let is_repeat = stage == CallStage::Prefill && call.was_prefilled;
        if is_repeat && !self.budget.take(&call.service, self.now) {
            // The decode engine prefills the prompt itself.
            return Some(CallStage::Decode { has_source: false });
        }
        Some(stage)
    }

    /// Whether engines serve a call, but none of them has room now or would be done in time.
    fn must_wait(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let mut engines = self.endpoints.serving(&call.service, Role::Decode);
        engines.next().is_some() && !(self.may_have_room(call) && self.may_start(call))
    }

    /// The endpoint for the next step: the one where memory is reserved, or the best.
    fn next_instance(&mut self, id: CallId, stage: CallStage) -> Option<Name> {
        let call = self.calls.get(&id)?;
        let reserved = call.booking.as_ref();
        let reserved = reserved.filter(|booking| booking.is_reserved());
        if let (CallStage::Decode { .. }, Some(booking)) = (stage, reserved) {
            return Some(booking.instance.clone());
        }
        let choice = Choice {
            service: &call.service,
            role: stage.role(),
            tried: &call.tried,
            may_go_back: call.may_have_run && call.route.may_repeat(),
            prompt_tokens: call.prompt().prompt_tokens,
            ask_delay: match stage {
                CallStage::Reserve => self.ask_delay(call),
                _ => None,
            },
            now: self.now,
        };
        choose(&self.endpoints, choice, &mut self.rng)
    }

    /// The next step of a model request: room at a decode engine first, so that no prefill is made in vain.
    fn model_stage(&self, call: &Call) -> CallStage {
        let is_reserved = call.booking.as_ref().is_some_and(Booking::is_reserved);
        if !is_reserved {
            return CallStage::Reserve;
        }
        let prefilled = call.prefilled.as_ref();
        if prefilled.is_some_and(|result| self.now < result.expires_at) {
            return CallStage::Decode { has_source: true };
        }
        let has_prefill = self
            .endpoints
            .serving(&call.service, Role::Prefill)
            .any(|endpoint| endpoint.health.is_usable(self.now));
        if has_prefill && call.prefills < MAX_PREFILLS {
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
            self.give_up(id, "no_endpoint");
            return;
        };
        self.exchanges += 1;
        let exchange = ExchangeId(self.exchanges);
        call.current = Some(Current {
            exchange,
            instance,
            stage,
            sent_at: self.now,
            heard_at: self.now,
            prefill_due: book(call, endpoint, stage, self.now),
        });
        let order = call.order(exchange, endpoint, stage, self.now);
        let notice = call.sent_notice(&order, stage);
        self.by_exchange.insert(exchange, id);
        self.set_silence_timer(id);
        self.effects.push(RelayEffect::Send(order));
        if stage != CallStage::Reserve {
            // A request may ask many engines for room; the line of its decode names the one that had it.
            self.note(notice);
        }
    }

    /// Looks at the exchange again when it has been silent for as long as it may.
    pub(super) fn set_silence_timer(&mut self, id: CallId) {
        let Some((exchange, silent_at)) = self.calls.get(&id).and_then(|call| {
            let current = call.current.as_ref()?;
            let patience = self.patience(call, current)?;
            Some((current.exchange, current.heard_at + patience))
        }) else {
            return;
        };
        self.timers.set(silent_at, RelayTimer::Silent(exchange));
    }

    /// Silence after which something else is tried; none if nothing else may be tried.
    fn patience(&self, call: &Call, current: &Current) -> Option<Duration> {
        let may_repeat = call.route.may_repeat() && call.attempts < call.route.max_attempts;
        match current.stage {
            CallStage::Reserve => Some(RESERVE_PATIENCE),
            CallStage::Prefill => {
                let expected = current.prefill_due.saturating_sub(current.sent_at);
                Some(expected * 2 + PREFILL_SLACK)
            }
            CallStage::Plain => may_repeat.then(|| call.route.target * 2),
            CallStage::Decode { .. } => {
                let silence = STREAM_SILENCE.max(call.route.max_pause * 3);
                let first = silence + call.route.target;
                may_repeat.then_some(if call.is_forwarded { silence } else { first })
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
        if stage != CallStage::Reserve && !self.budget.take(&service, self.now) {
            return;
        }
        self.effects.push(RelayEffect::Close { exchange });
        self.mark_run(id, stage);
        self.leave_endpoint(id, "silent", true);
        self.send_unless_spent(id);
    }
}

/// Counts an exchange at its endpoint and its call; returns when a prefill is expected to be done.
fn book(call: &mut Call, endpoint: &mut Endpoint, stage: CallStage, now: Duration) -> Duration {
    let prompt = call.prompt();
    call.exchanges += 1;
    endpoint.in_flight += 1;
    endpoint.health.on_placed(now);
    match stage {
        CallStage::Plain | CallStage::Decode { .. } => {
            call.attempts += 1;
            now
        }
        CallStage::Prefill => {
            call.prefills += 1;
            let work = endpoint.prefill_time(prompt.prompt_tokens);
            let due = now + endpoint.expected_prefill_wait(now) + work;
            endpoint.prefilled_at = endpoint.prefilled_at.max(now) + work;
            due
        }
        CallStage::Reserve => {
            let tokens = prompt.memory_tokens();
            endpoint.booked_tokens += tokens;
            call.booking = Some(Booking {
                instance: endpoint.listed.instance.clone(),
                address: endpoint.listed.address,
                tokens,
                reservation: None,
            });
            now
        }
    }
}

impl Call {
    fn order(
        &self,
        exchange: ExchangeId,
        endpoint: &Endpoint,
        stage: CallStage,
        now: Duration,
    ) -> SendOrder {
        SendOrder {
            exchange,
            call: self.request.call,
            instance: endpoint.listed.instance.clone(),
            address: endpoint.listed.address,
            work: self.work(stage),
            patience: self.left(now),
            after_event_id: self.last_event_id,
        }
    }

    fn sent_notice(&self, order: &SendOrder, stage: CallStage) -> RelayNotice {
        RelayNotice::Sent {
            request_id: self.request.request_id.clone(),
            instance: order.instance.clone(),
            work: stage.name(),
            attempt: self.exchanges,
            left_ms: millis(order.patience),
            config_version: self.config_version,
        }
    }

    fn work(&self, stage: CallStage) -> Work {
        match stage {
            CallStage::Plain => Work::Plain,
            CallStage::Reserve => Work::Reserve {
                tokens: self.prompt().memory_tokens(),
                lifetime: self.reservation_lifetime,
            },
            CallStage::Prefill => Work::Prefill,
            CallStage::Decode { has_source } => {
                let prefilled = self.prefilled.as_ref().filter(|_| has_source);
                let booking = self.booking.as_ref();
                Work::Decode {
                    source: prefilled.map(|result| result.stored.clone()),
                    reservation: booking.and_then(|booking| booking.reservation.clone()),
                }
            }
        }
    }
}
