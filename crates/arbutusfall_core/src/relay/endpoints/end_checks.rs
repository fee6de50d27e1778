//! The relay's use of [`UnprovedEnds`](crate::relay::endpoints::unproved_ends::UnprovedEnds): who is asked whether an answer that has
//! ended with its connection is complete, and what follows.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::EndProof;
use crate::relay::ExchangeEvent;
use crate::relay::ExchangeFailure;
use crate::relay::ExchangeId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::endpoints::unproved_ends::EndFinding;
use crate::relay::endpoints::unproved_ends::EndQuestion;
use crate::relay::endpoints::unproved_ends::NextQuestion;
use crate::relay::endpoints::unproved_ends::ProcessSign;
use crate::relay::endpoints::unproved_ends::UnprovedEnd;
use crate::relay::notice::millis;

impl Relay {
    /// Handles an answer that has ended with its connection: the exchange waits until it is known whether the answer is complete, at most
    /// until the call ends.
    pub(in crate::relay) fn on_ended_with_connection(&mut self, id: CallId, exchange: ExchangeId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let request_id = call.request.request_id.clone();
        let Some(ended) = call.exchange_mut(exchange) else {
            return;
        };
        if ended.stage == CallStage::Forward {
            // VMs mark the ends of their answers.
            self.break_off(exchange);
            return;
        }
        ended.ended_at = Some(now);
        let (instance, address) = (ended.instance.clone(), ended.address);
        let end = UnprovedEnd {
            exchange,
            request_id,
            started_unix_ms: ended.known_start_unix_ms,
            ended_at: now,
        };
        for before in self.unproved_ends.add(&instance, address, end) {
            self.settle_end(&instance, &before, EndFinding::OtherProcess);
        }
        self.review_ends(&instance);
    }

    /// Forgets the answers of an endpoint that nothing waits for any more, and asks the endpoint for the others if it may be asked.
    pub(in crate::relay) fn review_ends(&mut self, instance: &Name) {
        let open = &self.calls_by_exchange;
        let over = self
            .unproved_ends
            .take_over(instance, |exchange| open.contains_key(&exchange));
        for end in over {
            self.note_end(instance, &end, EndFinding::Unknown);
        }
        let endpoint = self.endpoints.known(instance);
        let rest_until = endpoint.and_then(|endpoint| endpoint.rest_end());
        let next = self
            .unproved_ends
            .next_question(instance, rest_until, self.now);
        match next {
            NextQuestion::None => {}
            NextQuestion::Ask(question) => self.ask_for_ends(instance, question),
            NextQuestion::At(due) => self
                .timers
                .set(due, RelayTimer::ProveEnds(instance.clone())),
        }
    }

    fn ask_for_ends(&mut self, instance: &Name, question: EndQuestion) {
        let instance = instance.clone();
        let address = question.address;
        if !question.asks_start {
            self.effects
                .push(RelayEffect::CheckEndpoint { instance, address });
            return;
        }
        self.take_limit_tokens(&instance, 1.0);
        self.effects
            .push(RelayEffect::CheckRun { instance, address });
    }

    /// Takes into account what an endpoint showed of its process when it was asked at `asked_at`.
    pub(in crate::relay) fn on_process_sign(
        &mut self,
        instance: &Name,
        sign: ProcessSign,
        asked_at: Duration,
    ) {
        let ends = &mut self.unproved_ends;
        let judged = ends.take_judged(instance, sign, asked_at, self.now);
        for (end, finding) in judged {
            self.settle_end(instance, &end, finding);
        }
        self.review_ends(instance);
    }

    /// Takes the list into account: answers that are older than the listed process of their endpoint are broken off. An endpoint that is
    /// no longer listed may still run.
    pub(in crate::relay) fn judge_ends_by_list(&mut self) {
        for instance in self.unproved_ends.instances() {
            let Some(endpoint) = self.endpoints.get(&instance) else {
                continue;
            };
            let listed = &endpoint.listed;
            let judged = self.unproved_ends.take_before_entry(
                &instance,
                listed.address,
                listed.started_unix_ms,
            );
            for (end, finding) in judged {
                self.settle_end(&instance, &end, finding);
            }
        }
    }

    /// Lets the exchange of an answer go on, or ends it as broken off.
    fn settle_end(&mut self, instance: &Name, end: &UnprovedEnd, finding: EndFinding) {
        if !self.calls_by_exchange.contains_key(&end.exchange) {
            return;
        }
        self.note_end(instance, end, finding);
        if !finding.is_complete() {
            self.break_off(end.exchange);
            return;
        }
        let proof = if finding == EndFinding::SameProcess {
            EndProof::Process
        } else {
            EndProof::Connection
        };
        self.effects.push(RelayEffect::ConfirmEnd {
            exchange: end.exchange,
            proof,
        });
    }

    fn break_off(&mut self, exchange: ExchangeId) {
        self.effects.push(RelayEffect::Close { exchange });
        let failure = ExchangeFailure::Closed;
        self.on_exchange(exchange, ExchangeEvent::Failed { failure });
    }

    fn note_end(&mut self, instance: &Name, end: &UnprovedEnd, finding: EndFinding) {
        self.note(RelayNotice::EndChecked {
            request_id: end.request_id.clone(),
            instance: instance.clone(),
            finding: finding.name(),
            after_ms: millis(self.now.saturating_sub(end.ended_at)),
        });
    }
}

impl Call {
    /// Returns the call's exchange with this number, also if it is in standby.
    fn exchange_mut(&mut self, exchange: ExchangeId) -> Option<&mut CurrentExchange> {
        let standby = self.standby.as_mut().map(|standby| &mut standby.exchange);
        let mut exchanges = self.current.as_mut().into_iter().chain(standby);
        exchanges.find(|one| one.exchange == exchange)
    }
}
