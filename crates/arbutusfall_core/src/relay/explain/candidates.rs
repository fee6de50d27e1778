//! Endpoints that a request could be sent to, and what excludes them.

use std::time::Duration;

use crate::config::Role;
use crate::relay::CandidateEndpoint;
use crate::relay::Exclusion;
use crate::relay::Relay;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::limits::limit_tokens::tokens_for;
use crate::relay::notice::millis;

impl Relay {
    /// Returns the endpoints of a call's service, none of them selected yet.
    pub(super) fn candidates(&self, call: &Call) -> Vec<CandidateEndpoint> {
        let stages: &[CallStage] = if call.route.is_model_route {
            &[CallStage::Reserve, CallStage::Prefill]
        } else {
            &[CallStage::Plain]
        };
        let mut candidates = Vec::new();
        for stage in stages {
            candidates.extend(self.candidates_for(call, *stage));
        }
        let mut others = self.endpoints_of(call);
        others.retain(|endpoint| {
            let mut roles = stages.iter().map(|stage| stage.role());
            roles.all(|role| role != endpoint.listed.role)
        });
        let others = others.into_iter();
        candidates.extend(
            others.map(|endpoint| self.candidate(endpoint, Some(Exclusion::OtherRole), None)),
        );
        candidates
    }

    fn endpoints_of(&self, call: &Call) -> Vec<&Endpoint> {
        let endpoints = self.endpoints.iter();
        let of_service = endpoints.filter(|endpoint| endpoint.listed.service == call.service);
        of_service.collect()
    }

    fn candidates_for(&self, call: &Call, stage: CallStage) -> Vec<CandidateEndpoint> {
        let limited = self.find_limited(&call.service, stage.role(), tokens_for(stage, false));
        let query = self.endpoint_query(call, stage, &limited);
        let mut endpoints = self.endpoints_of(call);
        endpoints.retain(|endpoint| endpoint.listed.role == stage.role());
        let candidates = endpoints.into_iter().map(|endpoint| {
            let reason = query.exclusion(endpoint);
            let until = reason.and_then(|reason| {
                self.exclusion_end(endpoint, reason, query.extra_delay_after_refusal)
            });
            self.candidate(endpoint, reason, until)
        });
        candidates.collect()
    }

    /// Returns when an exclusion ends, if that is known.
    fn exclusion_end(
        &self,
        endpoint: &Endpoint,
        reason: Exclusion,
        extra_delay: Option<Duration>,
    ) -> Option<Duration> {
        match reason {
            Exclusion::Resting => endpoint.rest_end(),
            Exclusion::Avoided => {
                let left = endpoint.health.avoided_for(self.now)?;
                Some(self.now + left)
            }
            Exclusion::ChangingRole | Exclusion::Full => Some(endpoint.available_at(extra_delay)),
            Exclusion::LimitUsedUp => {
                let tokens = match endpoint.listed.role {
                    Role::Decode => tokens_for(CallStage::Reserve, false),
                    Role::Prefill | Role::Plain => tokens_for(CallStage::Plain, false),
                };
                self.limit_allows_at(endpoint, tokens)
            }
            _ => None,
        }
    }

    fn candidate(
        &self,
        endpoint: &Endpoint,
        reason: Option<Exclusion>,
        until: Option<Duration>,
    ) -> CandidateEndpoint {
        let listed = &endpoint.listed;
        CandidateEndpoint {
            instance: listed.instance.clone(),
            role: listed.role,
            version: listed.version.clone(),
            is_selected: false,
            reason,
            for_ms: until.map(|until| millis(until.saturating_sub(self.now))),
            in_flight: endpoint.in_flight,
            allocated_tokens: endpoint.allocated_tokens,
            latency_ms: endpoint.mean_latency().map(millis),
        }
    }
}
