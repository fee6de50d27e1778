//! Choice of the endpoint for one request.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::endpoints::Endpoint;
use crate::relay::endpoints::Endpoints;

/// Share of the cost by which equal endpoints are told apart at random, so that VMs do not all pick the same.
const JITTER: f64 = 0.2;

/// Latency that an endpoint is taken to have before its first answer.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(50);

/// Tokens that one request in progress weighs beside the tokens that are booked.
const REQUEST_WEIGHT_TOKENS: f64 = 500.0;

/// Cost of a prefill engine that has as many of this VM's prefills as it may have.
const OVER_LIMIT_COST: f64 = 10.0;

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Choice<'a> {
    pub(crate) service: &'a Name,
    pub(crate) role: Role,
    /// Endpoints that failed the request already.
    pub(crate) tried: &'a [Name],
    /// Whether one of them may be asked again if there is no other.
    pub(crate) may_go_back: bool,
    pub(crate) prompt_tokens: u32,
    /// Time by which engines that refused are asked later than by most requests, if at all.
    pub(crate) ask_delay: Option<Duration>,
    pub(crate) now: Duration,
}

/// The endpoint of least cost among those that are healthy and were not tried; none if no endpoint serves.
pub(crate) fn choose(
    endpoints: &Endpoints,
    choice: Choice<'_>,
    rng: &mut fastrand::Rng,
) -> Option<Name> {
    let serving: Vec<&Endpoint> = endpoints.serving(choice.service, choice.role).collect();
    let fresh = |endpoint: &&Endpoint| !choice.tried.contains(&endpoint.listed.instance);
    let usable = |endpoint: &&Endpoint| {
        endpoint.health.is_usable(choice.now) && endpoint.ask_at(choice.ask_delay) <= choice.now
    };
    let best: Vec<&Endpoint> = serving
        .iter()
        .copied()
        .filter(|endpoint| fresh(endpoint) && usable(endpoint))
        .collect();
    let untried: Vec<&Endpoint> = serving.iter().copied().filter(fresh).collect();
    let among = match (best.is_empty(), untried.is_empty()) {
        (false, _) => best,
        (true, false) => untried,
        // An endpoint whose connection closed is better than none.
        (true, true) if choice.may_go_back => serving,
        (true, true) => Vec::new(),
    };
    let costs = among.into_iter().map(|endpoint| {
        let jitter = 1.0 + rng.f64() * JITTER;
        (cost(endpoint, choice) * jitter, endpoint)
    });
    let least = costs.min_by(|left, right| left.0.total_cmp(&right.0));
    least.map(|(_, endpoint)| endpoint.listed.instance.clone())
}

fn cost(endpoint: &Endpoint, choice: Choice<'_>) -> f64 {
    match choice.role {
        Role::Plain => endpoint.cost(UNKNOWN_LATENCY),
        Role::Prefill => {
            let wait = endpoint.expected_prefill_wait(choice.now);
            let over = if endpoint.may_prefill() {
                0.0
            } else {
                OVER_LIMIT_COST
            };
            let own = endpoint.prefill_time(choice.prompt_tokens.max(1));
            (wait + own).as_secs_f64() + over
        }
        Role::Decode => {
            let booked = endpoint.booked_tokens as f64;
            let load = booked + f64::from(endpoint.in_flight + 1) * REQUEST_WEIGHT_TOKENS;
            load * endpoint.cost(UNKNOWN_LATENCY) / f64::from(endpoint.in_flight + 1)
        }
    }
}
