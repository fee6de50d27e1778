//! Dispatch of non-idempotent calls whose claim won: the attempts to connect to an endpoint, and the service's answer.

use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;

use crate::CallId;
use crate::Counter;
use crate::Effect;
use crate::ServiceAnswer;
use crate::ServiceCommand;
use crate::calls::pick_endpoint;
use crate::claims::KeyedCalls;
use crate::claims::is_expired;
use crate::claims::key_state::KeyPhase;
use crate::context::Context;

/// Maximum connection attempts of one call, over all endpoints; the call is never resent after a byte of it was sent.
const MAX_CONNECT_ATTEMPTS: u32 = 3;

impl KeyedCalls {
    /// Dispatches the call of a claim that won, unless the key has expired since.
    pub(super) fn dispatch_first(&mut self, key: IdempotencyKey, ctx: &mut Context<'_>) {
        if is_expired(key, ctx) {
            self.finish(key, Outcome::Unknown, ctx);
            return;
        }
        self.dispatch(key, 0, Vec::new(), ctx);
    }

    /// Sends the call to an endpoint. Must not be called once a byte of the call may have reached a service.
    fn dispatch(
        &mut self,
        key: IdempotencyKey,
        attempts_made: u32,
        failed_endpoints: Vec<Name>,
        ctx: &mut Context<'_>,
    ) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        // Any waiting call's body will do because the fingerprints are equal; without one there is no body to send.
        let call = state.waiting_calls.first().copied();
        let endpoint = pick_endpoint(
            ctx.site_config,
            &state.service,
            &failed_endpoints,
            attempts_made as usize,
        );
        let (Some(call), Some(endpoint)) = (call, endpoint) else {
            self.finish(key, Outcome::NotRun, ctx);
            return;
        };
        if attempts_made >= MAX_CONNECT_ATTEMPTS {
            self.finish(key, Outcome::NotRun, ctx);
            return;
        }
        let attempt = attempts_made + 1;
        if attempt == 1 {
            ctx.count(Counter::ClaimsDispatched);
        }
        ctx.push(Effect::CallService(ServiceCommand {
            call,
            attempt,
            address: ctx.site_config.endpoints[&endpoint].address,
            endpoint: endpoint.clone(),
            timeout: state.timeout,
            key: Some(key),
        }));
        state.phase = KeyPhase::Dispatched {
            call,
            current_attempt: attempt,
            failed_endpoints,
            endpoint,
        };
        self.dispatched.insert(call, key);
    }

    /// Returns the key of a dispatched call if the attempt is its current one.
    fn dispatched_key(&self, call: CallId, attempt: u32) -> Option<IdempotencyKey> {
        let key = *self.dispatched.get(&call)?;
        let state = self.keys.get(&key)?;
        match &state.phase {
            KeyPhase::Dispatched {
                call: dispatched_call,
                current_attempt,
                ..
            } if *dispatched_call == call && *current_attempt == attempt => Some(key),
            _ => None,
        }
    }

    /// Handles a service's answer.
    ///
    /// Returns whether the attempt is the current one of a non-idempotent call; otherwise nothing is done.
    pub(crate) fn on_answered(
        &mut self,
        call: CallId,
        attempt: u32,
        answer: &ServiceAnswer,
        ctx: &mut Context<'_>,
    ) -> bool {
        let Some(key) = self.dispatched_key(call, attempt) else {
            return false;
        };
        let outcome = Outcome::Answered {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone(),
        };
        self.finish(key, outcome, ctx);
        true
    }

    /// Handles a failed attempt; `sent` is whether a byte may have reached the service.
    ///
    /// Returns whether the attempt is the current one of a non-idempotent call; otherwise nothing is done.
    pub(crate) fn on_failed(
        &mut self,
        call: CallId,
        attempt: u32,
        sent: bool,
        ctx: &mut Context<'_>,
    ) -> bool {
        let Some(key) = self.dispatched_key(call, attempt) else {
            return false;
        };
        if sent {
            self.finish(key, Outcome::Unknown, ctx);
            return true;
        }
        self.dispatched.remove(&call);
        let Some(state) = self.keys.get_mut(&key) else {
            return true;
        };
        if let KeyPhase::Dispatched {
            failed_endpoints,
            endpoint,
            ..
        } = &mut state.phase
        {
            let mut failed_endpoints = std::mem::take(failed_endpoints);
            failed_endpoints.push(endpoint.clone());
            self.dispatch(key, attempt, failed_endpoints, ctx);
        }
        true
    }
}
