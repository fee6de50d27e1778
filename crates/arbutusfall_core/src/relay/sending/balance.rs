//! Load balancing: selects the endpoint of one exchange.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::endpoints::list::Endpoints;
use crate::relay::sending::endpoint_query::EndpointQuery;
use crate::relay::sending::held_back::without_held_back;

/// Largest random increase of a cost, as a fraction, so that VMs do not all pick the same of several equal endpoints.
const MAX_COST_JITTER: f64 = 0.2;

/// Latency assumed for endpoints of which none has answered yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(50);

/// Load that one request in flight adds to the allocated tokens.
const REQUEST_WEIGHT_TOKENS: f64 = 500.0;

/// Extra cost of a prefill engine that already has as many of this VM's prefills as allowed, in seconds.
const OVER_LIMIT_COST_S: f64 = 10.0;

/// Factor of the cost of a limited endpoint that has room: few VMs may send to it, so these send it more of their requests.
const LIMITED_COST_FACTOR: f64 = 1.0 / 16.0;

/// Outcome of a selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Selection {
    /// The selected endpoint; none if there is none that the request may be sent to.
    pub(crate) instance: Option<Name>,
    /// Whether available endpoints were held back.
    pub(crate) has_held_back: bool,
}

/// Returns the endpoint of least cost among the available ones that have not failed the request, else among all that
/// have not failed it, else, if allowed, among all.
pub(crate) fn select_endpoint(
    endpoints: &Endpoints,
    query: EndpointQuery<'_>,
    rng: &mut fastrand::Rng,
) -> Selection {
    let serving: Vec<&Endpoint> = endpoints
        .serving(query.service, query.role)
        .filter(|endpoint| query.unsuitability(endpoint).is_none())
        .collect();
    let has_not_failed = |endpoint: &&Endpoint| !query.has_failed_at(endpoint);
    let is_available = |endpoint: &&Endpoint| query.unavailability(endpoint).is_none();
    let available: Vec<&Endpoint> = serving
        .iter()
        .copied()
        .filter(|endpoint| has_not_failed(endpoint) && is_available(endpoint))
        .collect();
    let not_failed: Vec<&Endpoint> = serving.iter().copied().filter(has_not_failed).collect();
    let available_count = available.len();
    let available = if endpoints.has_slow_start() {
        without_held_back(&serving, &available, query, rng)
    } else {
        available
    };
    let has_held_back = available.len() < available_count;
    let candidates = match (available.is_empty(), not_failed.is_empty()) {
        (false, _) => available,
        (true, false) => not_failed,
        // A retry at a failed endpoint is better than no retry.
        (true, true) if query.allow_failed => serving,
        (true, true) => Vec::new(),
    };
    // An endpoint of unknown latency is tried as if it were as fast as the fastest.
    let means = candidates.iter();
    let means = means.filter_map(|endpoint| endpoint.mean_latency());
    let fastest = means.min().unwrap_or(UNKNOWN_LATENCY);
    let costs = candidates.into_iter().map(|endpoint| {
        let jitter = 1.0 + rng.f64() * MAX_COST_JITTER;
        let factor = limited_cost_factor(endpoint, query);
        let cost = cost(endpoint, query, fastest);
        (cost * jitter * factor, endpoint)
    });
    let least = costs.min_by(|left, right| left.0.total_cmp(&right.0));
    Selection {
        instance: least.map(|(_, endpoint)| endpoint.listed.instance.clone()),
        has_held_back,
    }
}

/// Returns the factor of the cost of an endpoint for its limit. The wait at a prefill engine decides over its cost.
fn limited_cost_factor(endpoint: &Endpoint, query: EndpointQuery<'_>) -> f64 {
    let has_room = query.limited.available.contains(&endpoint.listed.instance);
    if has_room && query.role != Role::Prefill {
        LIMITED_COST_FACTOR
    } else {
        1.0
    }
}

fn cost(endpoint: &Endpoint, query: EndpointQuery<'_>, fastest: Duration) -> f64 {
    match query.role {
        Role::Plain => endpoint.load_cost(fastest, query.now),
        Role::Prefill => {
            let wait = endpoint.expected_prefill_wait(query.now);
            let over = if endpoint.may_prefill() {
                0.0
            } else {
                OVER_LIMIT_COST_S
            };
            let own = endpoint.prefill_time(query.prompt_tokens.max(1));
            (wait + own).as_secs_f64() + over
        }
        Role::Decode => {
            let allocated = endpoint.allocated_tokens as f64;
            let load = allocated + f64::from(endpoint.in_flight + 1) * REQUEST_WEIGHT_TOKENS;
            load * endpoint.load_cost(fastest, query.now) / f64::from(endpoint.in_flight + 1)
        }
    }
}
