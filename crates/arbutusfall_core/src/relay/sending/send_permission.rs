//! Whether a request may still be sent once its connection is open: what is known of the endpoint may have changed since it was
//! selected, while the connection was opened or the endpoint's process was proved, or the whole VM stood still.

use std::time::Duration;

use crate::relay::ExchangeId;
use crate::relay::Relay;
use crate::relay::StoreTopic;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::endpoints::endpoint::Endpoint;

/// Whether an exchange may send its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermission {
    /// It may.
    Granted,
    /// The endpoint may not get the request any more, or the exchange has ended.
    Withdrawn,
    /// The endpoint list is older than reads of it explain, successful or not: the next one tells.
    ListOverdue,
}

impl Relay {
    /// Returns whether an exchange may send its request at an instant. Once this is granted, the request counts as one that the
    /// endpoint may run.
    pub fn send_permission(&mut self, exchange: ExchangeId, now: Duration) -> SendPermission {
        let permission = self.judge_send(exchange, now);
        if permission == SendPermission::Granted {
            self.record_permission(exchange);
        }
        permission
    }

    fn record_permission(&mut self, exchange: ExchangeId) {
        let id = self.calls_by_exchange.get(&exchange);
        let call = id.and_then(|id| self.calls.get_mut(id));
        if let Some(permitted) = call.and_then(|call| unsent_exchange_mut(call, exchange)) {
            permitted.may_be_written = true;
        }
    }

    /// Like [`Self::send_permission`], but records nothing.
    pub(in crate::relay) fn judge_send(
        &self,
        exchange: ExchangeId,
        now: Duration,
    ) -> SendPermission {
        let id = self.calls_by_exchange.get(&exchange);
        let call = id.and_then(|id| self.calls.get(id));
        let Some(current) = call.and_then(|call| unsent_exchange(call, exchange)) else {
            return SendPermission::Withdrawn;
        };
        if current.stage == CallStage::Forward {
            // Another VM looks at its endpoints itself.
            return SendPermission::Granted;
        }
        let endpoint = self.endpoints.get(&current.instance);
        if !endpoint.is_some_and(|endpoint| may_reach(current, endpoint)) {
            return SendPermission::Withdrawn;
        }
        let topic = StoreTopic::Endpoints;
        if self.store.is_overdue(topic, self.max_list_age, now) {
            return SendPermission::ListOverdue;
        }
        SendPermission::Granted
    }
}

/// Returns an exchange of a call if its request may still be sent: the current one, or one in standby whose request may run twice.
/// A stream that has moved to another engine meanwhile must not begin.
fn unsent_exchange(call: &Call, exchange: ExchangeId) -> Option<&CurrentExchange> {
    let current = call.current.as_ref();
    let standby = call.standby.as_ref().map(|standby| &standby.exchange);
    let standby = standby.filter(|standby| may_run_twice(call, standby.stage));
    let mut unsent = current.into_iter().chain(standby);
    unsent.find(|unsent| unsent.exchange == exchange)
}

/// Like [`unsent_exchange`].
fn unsent_exchange_mut(call: &mut Call, exchange: ExchangeId) -> Option<&mut CurrentExchange> {
    let is_unsent = unsent_exchange(call, exchange).is_some();
    let current = call.current.as_mut();
    let standby = call.standby.as_mut().map(|standby| &mut standby.exchange);
    let mut unsent = current.into_iter().chain(standby);
    unsent.find(|unsent| is_unsent && unsent.exchange == exchange)
}

/// Returns whether an exchange in standby may still send its request although another endpoint may get it too: only one whose
/// answer is no stream.
fn may_run_twice(call: &Call, stage: CallStage) -> bool {
    let is_whole = matches!(stage, CallStage::Plain | CallStage::Forward);
    is_whole && !call.route.is_stream
}

/// Returns whether the request of an exchange may still reach its endpoint.
fn may_reach(exchange: &CurrentExchange, endpoint: &Endpoint) -> bool {
    let is_same_run = endpoint.listed.started_unix_ms == exchange.started_unix_ms;
    is_same_run && !endpoint.listed.is_leaving && !endpoint.is_resting()
}
