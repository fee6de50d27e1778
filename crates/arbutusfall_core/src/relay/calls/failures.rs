//! Exchanges that failed, and requests that endpoints did not run: what is recorded of them, and whether the call goes on elsewhere.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::ExchangeFailure;
use crate::relay::NotRunReason;
use crate::relay::Relay;
use crate::relay::calls::call::CallStage;
use crate::relay::crashes::crash_handling::SUSPECT;
use crate::relay::load::handling::SERVICE_FULL;

/// Time for which an endpoint gets no further requests after it refused one: it is full or is changing its role.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(500);

impl Relay {
    /// Handles a request that the endpoint did not run: it may be sent elsewhere even if it is not idempotent.
    pub(in crate::relay) fn on_not_run(&mut self, id: CallId, reason: NotRunReason) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let stage = current.stage;
        let service = call.service.clone();
        if stage.runs_request() {
            call.attempts = call.attempts.saturating_sub(1);
        }
        if stage == CallStage::Reserve && reason == NotRunReason::Refused {
            self.on_engine_full(id);
            return;
        }
        let is_full = reason == NotRunReason::Refused && self.on_load_rejected(id, false);
        if reason == NotRunReason::Refused {
            self.record_refusal(id);
            self.shrink_slow_start(id);
            self.budget.on_outcome(&service, true, self.now);
        }
        let label = match reason {
            NotRunReason::Refused => "not_run",
            NotRunReason::Misdirected => "misdirected",
        };
        self.fail_exchange(id, label, reason == NotRunReason::Misdirected);
        if is_full {
            self.fail_call(id, SERVICE_FULL);
            return;
        }
        if stage == CallStage::Plain && self.is_refused_by_whole_service(id) {
            // A retry would only add to the load of the service.
            self.fail_call(id, "service_refuses");
            return;
        }
        self.retry_within_budget(id);
    }

    /// Records a refusal at the endpoint, and at the prefill engine whose result the endpoint may have failed to fetch.
    fn record_refusal(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let (instance, stage) = (current.instance.clone(), current.stage);
        let is_sourced = stage == (CallStage::Decode { has_source: true });
        if let Some(result) = call.prefill_result.take_if(|_| is_sourced)
            && let Some(source) = self.endpoints.get_mut(&result.instance)
        {
            source.on_suspected_loss(self.now);
        }
        self.record_refusal_by(&instance, stage);
    }

    fn record_refusal_by(&mut self, instance: &Name, stage: CallStage) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(instance) else {
            return;
        };
        if endpoint.is_resting() {
            // It has said itself when it takes requests again.
            return;
        }
        endpoint.set_unavailable_until(now + REFUSAL_BACKOFF);
        match stage {
            // The engine is most likely changing its role, which takes seconds.
            CallStage::Prefill => endpoint.health.on_failure(now),
            CallStage::Decode { .. } => {
                let notice = endpoint.on_decode_refused(now);
                self.note(notice);
            }
            CallStage::Plain | CallStage::Reserve | CallStage::Forward => {}
        }
    }

    pub(in crate::relay) fn on_exchange_failed(&mut self, id: CallId, failure: ExchangeFailure) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let failed = current.clone();
        let stage = failed.stage;
        let began_at = call.stream_began_at;
        if failure == ExchangeFailure::Unreachable {
            call.unanswered_exchanges += 1;
        }
        if !failure.is_before_send() {
            self.mark_may_have_run(id, stage);
        } else if stage.runs_request() {
            call.attempts = call.attempts.saturating_sub(1);
        }
        if failure == ExchangeFailure::Unreachable {
            self.on_connect_failed(&failed.instance, failed.sent_at);
        }
        let is_broken_off = failure.may_be_crash() || failure == ExchangeFailure::ClosedUnsent;
        if failure == ExchangeFailure::Unreachable || is_broken_off {
            self.on_exchange_broken_off(&failed);
        }
        let is_full = is_broken_off && self.on_load_rejected(id, true);
        let has_ended = failure.may_be_crash();
        if has_ended {
            self.record_broken_run(id, &failed, began_at);
        }
        let started_unix_ms = failed.started_unix_ms;
        let is_endpoint_failure = failure.is_of_endpoint()
            && self
                .endpoints
                .may_be_listed_run(&failed.instance, started_unix_ms);
        self.fail_exchange(id, failure.name(), is_endpoint_failure);
        // An endpoint that has only been silent for a moment may still take the request, if no other can.
        let may_take_it = failure == ExchangeFailure::ProcessUnknown
            && !self.has_other_endpoint(id, stage.role());
        if may_take_it || failure == ExchangeFailure::Withdrawn {
            self.forget_failed_endpoint(id);
        }
        if has_ended && self.may_crash_next_endpoint(id) {
            self.fail_call(id, SUSPECT);
            return;
        }
        if is_full && failure.is_before_send() {
            self.fail_call(id, SERVICE_FULL);
        } else if failure.is_before_connection() {
            // No endpoint has had any work with the request, so this does not count as a retry.
            self.retry_or_fail(id);
        } else {
            self.retry_within_budget(id);
        }
    }

    /// Forgets the endpoint of the call's last exchange as one that has failed: it got nothing, and may serve the call later.
    fn forget_failed_endpoint(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.failed_endpoints.pop();
        }
    }

    pub(in crate::relay) fn mark_may_have_run(&mut self, id: CallId, stage: CallStage) {
        if stage.runs_request()
            && let Some(call) = self.calls.get_mut(&id)
        {
            call.may_have_run = true;
        }
    }
}
