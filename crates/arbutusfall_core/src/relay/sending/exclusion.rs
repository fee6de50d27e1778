//! Why an endpoint of a service is not selected for an exchange.

use serde::Deserialize;
use serde::Serialize;

use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::sending::endpoint_query::EndpointQuery;
use crate::relay::sending::held_back::fits_window;

/// Why an endpoint is not selected, in the order in which it is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// It has a role that the request does not need.
    OtherRole,
    /// It takes no new work, because it is leaving.
    Leaving,
    /// It has asked for a time without requests.
    Resting,
    /// The request goes on with a stream that another software version began.
    OtherVersion,
    /// The request may only be sent to the listed process, and this endpoint's process may be another one.
    UnprovedProcess,
    /// It named a limit on its requests, which this VM's shares do not allow now.
    LimitUsedUp,
    /// It has failed the request before.
    FailedRequest,
    /// It is avoided after failures.
    Avoided,
    /// It has as many requests of this VM as it may have after its rest.
    Returning,
    /// It is changing its role.
    ChangingRole,
    /// It has refused a request, and is assumed to be full for some time.
    Full,
    /// It has as many requests of this VM as its slow start allows.
    SlowStart,
}

impl Exclusion {
    /// Returns the name in explanations.
    pub fn name(self) -> &'static str {
        match self {
            Self::OtherRole => "other_role",
            Self::Leaving => "leaving",
            Self::Resting => "resting",
            Self::OtherVersion => "other_version",
            Self::UnprovedProcess => "unproved_process",
            Self::LimitUsedUp => "limit_used_up",
            Self::FailedRequest => "failed_request",
            Self::Avoided => "avoided",
            Self::Returning => "returning",
            Self::ChangingRole => "changing_role",
            Self::Full => "full",
            Self::SlowStart => "slow_start",
        }
    }

    /// Returns whether the endpoint may be selected nevertheless if there is no better one.
    pub fn is_preference(self) -> bool {
        matches!(
            self,
            Self::Avoided | Self::Returning | Self::ChangingRole | Self::Full | Self::SlowStart
        )
    }
}

impl EndpointQuery<'_> {
    /// Returns why an endpoint of the service that takes new work in the role may not be selected at all, if so.
    pub(crate) fn unsuitability(&self, endpoint: &Endpoint) -> Option<Exclusion> {
        let listed = &endpoint.listed;
        if self
            .version
            .is_some_and(|required| *required != listed.version)
        {
            return Some(Exclusion::OtherVersion);
        }
        if self.version.is_some() && !endpoint.run.is_listed() {
            return Some(Exclusion::UnprovedProcess);
        }
        let is_used_up = self.limited.used_up.contains(&listed.instance);
        is_used_up.then_some(Exclusion::LimitUsedUp)
    }

    /// Returns whether an exchange of the request has failed at the endpoint.
    pub(crate) fn has_failed_at(&self, endpoint: &Endpoint) -> bool {
        self.failed_endpoints.contains(&endpoint.listed.instance)
    }

    /// Returns why an endpoint is selected only if no other one can be, if so.
    pub(crate) fn unavailability(&self, endpoint: &Endpoint) -> Option<Exclusion> {
        if !endpoint.health.is_usable(self.now) {
            return Some(Exclusion::Avoided);
        }
        if !endpoint.may_return() {
            return Some(Exclusion::Returning);
        }
        if endpoint.available_at(self.extra_delay_after_refusal) <= self.now {
            return None;
        }
        Some(if endpoint.is_changing_role(self.now) {
            Exclusion::ChangingRole
        } else {
            Exclusion::Full
        })
    }

    /// Returns the first reason for which an endpoint of the service is not among the available ones; none if it is.
    pub(crate) fn exclusion(&self, endpoint: &Endpoint) -> Option<Exclusion> {
        let listed = &endpoint.listed;
        if listed.role != self.role {
            return Some(Exclusion::OtherRole);
        }
        if listed.is_leaving {
            return Some(Exclusion::Leaving);
        }
        if endpoint.is_resting() {
            return Some(Exclusion::Resting);
        }
        if let Some(unsuitability) = self.unsuitability(endpoint) {
            return Some(unsuitability);
        }
        if self.has_failed_at(endpoint) {
            return Some(Exclusion::FailedRequest);
        }
        let unavailability = self.unavailability(endpoint);
        unavailability
            .or_else(|| (!fits_window(endpoint, self.now)).then_some(Exclusion::SlowStart))
    }
}
