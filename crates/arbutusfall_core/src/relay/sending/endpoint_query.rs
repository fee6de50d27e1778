//! Criteria for the selection of an endpoint.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;

/// Endpoints with a limit, by whether it allows this VM one more request now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LimitedEndpoints {
    pub(crate) available: Vec<Name>,
    pub(crate) used_up: Vec<Name>,
}

/// Criteria for the selection of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointQuery<'a> {
    pub(crate) service: &'a Name,
    pub(crate) role: Role,
    /// Version that the endpoint must have, if any.
    pub(crate) version: Option<&'a Name>,
    /// Endpoints of failed exchanges of the request.
    pub(crate) failed_endpoints: &'a [Name],
    /// Whether one of these may be selected if there is no other.
    pub(crate) allow_failed: bool,
    /// Endpoints with a limit; those whose limit is used up are not selected.
    pub(crate) limited: &'a LimitedEndpoints,
    pub(crate) prompt_tokens: u32,
    /// Route's target for the answer or the first event.
    pub(crate) latency_target: Duration,
    /// Extra wait after an endpoint's refusal, if any.
    pub(crate) extra_delay_after_refusal: Option<Duration>,
    pub(crate) now: Duration,
}
