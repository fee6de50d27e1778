//! Use of slow start and response times by the relay.

use crate::CallId;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::endpoints::slow_start_counts::SlowStartCounts;
use crate::relay::notice::millis;

/// Slow start at one VM, for its metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStartStatus {
    /// Endpoints in slow start.
    pub endpoints: usize,
    /// Counts of decisions.
    pub counts: SlowStartCounts,
}

impl Relay {
    /// Returns the state of slow start.
    pub fn slow_start_status(&self) -> SlowStartStatus {
        let endpoints = self.endpoints.iter();
        let starting = endpoints.filter(|endpoint| endpoint.slow_start.is_some());
        SlowStartStatus {
            endpoints: starting.count(),
            counts: self.endpoints.slow_start_counts,
        }
    }

    /// Records that the endpoint of the call's exchange has answered it, or sent its first event: in time if within the route's target.
    pub(in crate::relay) fn record_answer_time(&mut self, id: CallId) {
        let call = self.calls.get(&id);
        let Some((call, current)) = call.and_then(|call| Some((call, call.current.as_ref()?)))
        else {
            return;
        };
        let after = self.now.saturating_sub(current.sent_at);
        if after > call.route.latency_target {
            self.shrink_slow_start(id);
        } else {
            self.grow_slow_start(id);
        }
    }

    /// Records that the endpoint of the call's exchange has answered it completely; a stream has been recorded with its first event.
    pub(in crate::relay) fn record_complete_answer(&mut self, id: CallId, status: u16) {
        if self
            .calls
            .get(&id)
            .is_none_or(|call| call.has_stream_started)
        {
            return;
        }
        if status >= 500 {
            self.shrink_slow_start(id);
        } else {
            self.record_answer_time(id);
        }
    }

    fn grow_slow_start(&mut self, id: CallId) {
        let now = self.now;
        let Some(endpoint) = self.listed_run_of(id) else {
            return;
        };
        let starting = endpoint.slow_start.as_mut();
        if !starting.is_some_and(|starting| starting.on_timely(now)) {
            return;
        }
        let began_at = endpoint.slow_start.take().map(|ended| ended.began_at());
        let notice = RelayNotice::SlowStartEnded {
            instance: endpoint.listed.instance.clone(),
            service: endpoint.listed.service.clone(),
            after_ms: millis(now.saturating_sub(began_at.unwrap_or(now))),
        };
        self.note(notice);
    }

    /// Records that the endpoint of the call's exchange answers late, with an error, or refuses the request.
    pub(in crate::relay) fn shrink_slow_start(&mut self, id: CallId) {
        let now = self.now;
        let endpoint = self.listed_run_of(id);
        let starting = endpoint.and_then(|endpoint| endpoint.slow_start.as_mut());
        if let Some(starting) = starting {
            starting.on_late(now);
            self.endpoints.slow_start_counts.shrunk += 1;
        }
    }

    /// Returns the endpoint of the call's exchange if its process is still the one that the request was sent to.
    fn listed_run_of(&mut self, id: CallId) -> Option<&mut Endpoint> {
        let current = self.calls.get(&id)?.current.as_ref()?;
        let (instance, started_unix_ms) = (&current.instance, current.started_unix_ms);
        self.endpoints.get_run_mut(instance, started_unix_ms)
    }
}
