//! Whether a request may still be sent once its connection is open: what is known of the endpoint may have changed since it was
//! selected, while the connection was opened or the endpoint's process was proved.

use crate::relay::ExchangeId;
use crate::relay::Relay;
use crate::relay::call::CallStage;
use crate::relay::call::CurrentExchange;
use crate::relay::endpoint::Endpoint;

impl Relay {
    /// Returns whether an exchange may send its request now.
    pub fn may_send(&self, exchange: ExchangeId) -> bool {
        let id = self.calls_by_exchange.get(&exchange);
        let call = id.and_then(|id| self.calls.get(id));
        let current = call.and_then(|call| call.current.as_ref());
        let Some(current) = current.filter(|current| current.exchange == exchange) else {
            return false;
        };
        if current.stage == CallStage::Forward {
            // Another VM looks at its endpoints itself.
            return true;
        }
        let endpoint = self.endpoints.get(&current.instance);
        endpoint.is_some_and(|endpoint| may_reach(current, endpoint))
    }
}

/// Returns whether the request of an exchange may still reach its endpoint.
fn may_reach(exchange: &CurrentExchange, endpoint: &Endpoint) -> bool {
    let is_same_run = endpoint.listed.started_unix_ms == exchange.started_unix_ms;
    is_same_run && !endpoint.listed.is_leaving && !endpoint.is_resting()
}
