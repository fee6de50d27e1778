//! Answers operators' questions about requests.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::ExplainError;
use crate::relay::ExplainQuery;
use crate::relay::ExplainedQuota;
use crate::relay::ExplainedRequest;
use crate::relay::Explanation;
use crate::relay::QuotaUnit;
use crate::relay::Relay;
use crate::relay::RelayRequest;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::explain::queries::credential_of;
use crate::relay::explain::queries::host_of;
use crate::relay::notice::millis;

impl Relay {
    /// Returns where a request would be routed at `now`, and why. Changes nothing.
    ///
    /// # Errors
    ///
    /// [`ExplainError`] if the question names a path, an account or a request that does not exist.
    pub fn explain(&self, query: ExplainQuery, now: Duration) -> Result<Explanation, ExplainError> {
        let mut trial = self.clone();
        trial.now = now;
        trial.effects.clear();
        match query {
            ExplainQuery::Request { request, account } => {
                trial.explain_request(*request, account.as_ref())
            }
            ExplainQuery::InProgress { request_id } => trial.explain_in_progress(&request_id),
        }
    }

    fn explain_request(
        mut self,
        mut request: RelayRequest,
        account: Option<&Name>,
    ) -> Result<Explanation, ExplainError> {
        if let Some(routes) = &self.routes {
            request.host = host_of(&request, routes)?;
            request.credential = credential_of(account, routes)?;
        }
        let id = request.call;
        let route = self.routes.as_ref();
        let route = route.and_then(|routes| routes.find(&request.host, &request.path));
        let mut explained = ExplainedRequest {
            config_version: self.config_version(),
            route: route.map(|route| route.name.clone()),
            ..ExplainedRequest::default()
        };
        if let Some(id) = self.accept_request(request) {
            explained = self.explained_request(id);
            self.begin_within_quota(id);
        }
        Ok(self.explanation(explained, id))
    }

    fn explain_in_progress(mut self, request_id: &Name) -> Result<Explanation, ExplainError> {
        let calls = self.calls.iter();
        let of_id = calls.filter(|(_, call)| call.request.request_id == *request_id);
        // A caller may have sent several requests with the same id.
        let newest = of_id.map(|(id, _)| *id).max();
        let id = newest.ok_or(ExplainError::UnknownRequest)?;
        let explained = self.explained_request(id);
        let is_sent = self
            .calls
            .get(&id)
            .is_some_and(|call| call.current.is_some());
        if !is_sent {
            self.on_tick();
        }
        Ok(self.explanation(explained, id))
    }

    /// Returns what the decision on a call depends on.
    fn explained_request(&self, id: CallId) -> ExplainedRequest {
        let Some(call) = self.calls.get(&id) else {
            return ExplainedRequest::default();
        };
        let is_model = call.route.is_model_route;
        ExplainedRequest {
            config_version: Some(call.config_version),
            route: Some(call.route.name.clone()),
            service: Some(call.service.clone()),
            account: call.account.as_ref().map(|account| account.name.clone()),
            priority: Some(call.priority()),
            waiting: self.waiting_like(call),
            grants_per_s: is_model.then(|| self.grants_per_s(call)),
            candidates: self.candidates(call),
            quota: self.explained_quota(call),
        }
    }

    /// Returns the number of requests that wait for the same as a call would, after its quota.
    fn waiting_like(&self, call: &Call) -> usize {
        if call.route.is_model_route {
            return self.wait_queue.ids().len();
        }
        let load = self.load.services.get(&call.service);
        load.map_or(0, |load| load.queue.len()) + self.limited_queue.calls.len()
    }

    fn explained_quota(&self, call: &Call) -> Option<ExplainedQuota> {
        let account = call.account.as_ref()?;
        let quota = account.quota?;
        let leases = self.lease_status(&account.name);
        let unit = match quota.unit {
            QuotaUnit::Requests => "requests",
            QuotaUnit::Tokens => "tokens",
        };
        Some(ExplainedQuota {
            unit: unit.into(),
            rate_per_s: quota.per_s,
            burst: quota.burst,
            cost: quota.cost(call.request.token_counts),
            leased: leases.leased,
            left: self.owned_tokens_left(&account.name),
            owner: leases.owner,
            refused_ms: millis(leases.refused_for),
            waiting: leases.waiting,
        })
    }

    /// Returns the explanation of a call on which this relay has decided.
    fn explanation(&self, mut request: ExplainedRequest, id: CallId) -> Explanation {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        // Another VM may have the name of an endpoint.
        if let Some(current) = current.filter(|current| current.stage != CallStage::Forward) {
            for candidate in &mut request.candidates {
                candidate.is_selected = candidate.instance == current.instance;
            }
        }
        let decision = self.decision(id);
        Explanation { request, decision }
    }
}
