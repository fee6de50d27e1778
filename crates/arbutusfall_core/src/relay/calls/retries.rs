//! Whether a request is sent again: allowed by its route, within the retry budget, and worth it.

use crate::CallId;
use crate::config::Role;
use crate::relay::Relay;
use crate::relay::calls::budget::RetryUse;
use crate::relay::calls::call::MemoryAllocation;
use crate::relay::sending::stages::MAX_PREFILL_ATTEMPTS;

impl Relay {
    /// Spends one retry of the call's service and returns true if the budget allows it.
    pub(in crate::relay) fn take_retry(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let retry_use = if call.has_stream_started {
            RetryUse::StartedStream
        } else {
            RetryUse::NotStarted
        };
        self.budget.try_take(&call.service, retry_use, self.now)
    }

    /// Sends a request again if that is allowed and within the retry budget; otherwise fails the call.
    pub(in crate::relay) fn retry_within_budget(&mut self, id: CallId) {
        if self
            .calls
            .get(&id)
            .is_some_and(|call| call.no_retry_reason().is_none())
            && !self.take_retry(id)
            && !self.go_on_without_prefill(id)
        {
            self.fail_call(id, "retry_budget");
            return;
        }
        self.retry_or_fail(id);
    }

    /// Gives further prefills up for a started stream whose engine has reserved memory: it can prefill the prompt itself, and the
    /// retry for that is spent already.
    fn go_on_without_prefill(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let allocation = call.allocation.as_ref();
        let has_reservation = allocation.is_some_and(MemoryAllocation::has_open_reservation);
        if !(call.has_stream_started && has_reservation) {
            return false;
        }
        call.prefills = MAX_PREFILL_ATTEMPTS;
        true
    }

    /// Sends a request again if that is allowed; otherwise fails the call.
    pub(in crate::relay) fn retry_or_fail(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match call.no_retry_reason() {
            Some(reason) => self.fail_call(id, reason),
            None => self.send_next(id),
        }
    }

    /// Returns whether, besides the current endpoint, one of this role serves the call and has not failed for it.
    pub(in crate::relay) fn has_other_endpoint(&self, id: CallId, role: Role) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let current = call.current.as_ref().map(|current| &current.instance);
        self.endpoints.serving_call(call, role).any(|endpoint| {
            let instance = &endpoint.listed.instance;
            current != Some(instance)
                && endpoint.may_serve(call)
                && !call.failed_endpoints.contains(instance)
                && self.limit_allows(endpoint, 1.0)
        })
    }

    /// Returns whether a retry of a plain request would most likely be refused too: no endpoint is known to accept
    /// requests, and the service has refused nearly all of late.
    pub(in crate::relay) fn is_refused_by_whole_service(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let mut serving = self.endpoints.serving(&call.service, Role::Plain);
        let is_any_available = serving.any(|endpoint| {
            !call.failed_endpoints.contains(&endpoint.listed.instance)
                && endpoint.health.is_usable(self.now)
                && endpoint.available_at(None) <= self.now
        });
        !is_any_available && self.budget.refuses_nearly_all(&call.service)
    }
}
