//! Holds endpoints back that are in slow start or slower than others, so that they get a fraction of the usual load.

use std::time::Duration;

use crate::config::Role;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::endpoints::event_intervals::median_s;
use crate::relay::sending::endpoint_query::EndpointQuery;

/// Returns the endpoints that one selection may use, of those that are available.
///
/// Endpoints are held back only while another one can take the request, and less strictly while most others are full: a slow endpoint that
/// is free serves a request earlier than a fast one that is full.
pub(crate) fn without_held_back<'a>(
    serving: &[&'a Endpoint],
    available: &[&'a Endpoint],
    query: EndpointQuery<'_>,
    rng: &mut fastrand::Rng,
) -> Vec<&'a Endpoint> {
    let selection = HeldBackSelection {
        query,
        median_interval_s: median_s(available.iter().map(|endpoint| &endpoint.event_intervals)),
        strictness: Strictness::for_request(serving, query),
    };
    let admitted = filter(available, |endpoint| selection.admits(endpoint, rng));
    let can_take = |endpoint: &&Endpoint| query.role != Role::Prefill || endpoint.may_prefill();
    if admitted.iter().any(can_take) {
        return admitted;
    }
    let with_room = filter(available, |endpoint| fits_window(endpoint, query.now));
    if with_room.is_empty() {
        available.to_vec()
    } else {
        with_room
    }
}

fn filter<'a>(
    endpoints: &[&'a Endpoint],
    mut is_kept: impl FnMut(&Endpoint) -> bool,
) -> Vec<&'a Endpoint> {
    let endpoints = endpoints.iter().copied();
    endpoints.filter(|endpoint| is_kept(endpoint)).collect()
}

/// How strictly endpoints are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strictness {
    /// Starting and slow endpoints get a fraction of the selections.
    Share,
    /// No endpoint in slow start whose newest outcome is not a timely answer.
    ProvedOnly,
    /// Only the windows hold.
    Window,
}

impl Strictness {
    fn for_request(serving: &[&Endpoint], query: EndpointQuery<'_>) -> Self {
        // A request that an endpoint has refused must not be refused by the next one while a starting one is idle.
        let is_retry = !query.failed_endpoints.is_empty();
        let has_unproved_request =
            |endpoint: &&Endpoint| is_unproved(endpoint) && endpoint.in_flight > 0;
        if is_retry {
            Self::Window
        } else if !are_mostly_full(serving, query) {
            Self::Share
        } else if serving.iter().any(has_unproved_request) {
            // All VMs would send to all starting endpoints at once, and leave the full ones idle.
            Self::ProvedOnly
        } else {
            Self::Window
        }
    }
}

/// What decides which endpoints one selection may use.
struct HeldBackSelection<'a> {
    query: EndpointQuery<'a>,
    /// Median of the time between two events at the available engines.
    median_interval_s: Option<f64>,
    strictness: Strictness,
}

impl HeldBackSelection<'_> {
    /// Draws whether the selection may use an endpoint; draws nothing for one that is not to be held back.
    fn admits(&self, endpoint: &Endpoint, rng: &mut fastrand::Rng) -> bool {
        let now = self.query.now;
        if !fits_window(endpoint, now) {
            return false;
        }
        match self.strictness {
            Strictness::Window => return true,
            Strictness::ProvedOnly => return !is_unproved(endpoint),
            Strictness::Share => {}
        }
        let starting = endpoint.slow_start.as_ref();
        let starting_share =
            starting.map_or(1.0, |starting| starting.share(endpoint.in_flight, now));
        let speed_share = endpoint.event_intervals.share(self.median_interval_s, now);
        let share = starting_share * speed_share;
        share >= 1.0 || rng.f64() < share
    }
}

/// Returns whether at least half of the endpoints that are not in slow start have been full of late or answer late.
fn are_mostly_full(serving: &[&Endpoint], query: EndpointQuery<'_>) -> bool {
    let established = filter(serving, |endpoint| endpoint.slow_start.is_none());
    let full = established.iter().filter(|endpoint| {
        let is_late = |mean| mean > query.latency_target;
        !endpoint.has_room(query.now) || endpoint.mean_latency().is_some_and(is_late)
    });
    full.count() * 2 >= established.len()
}

/// Returns whether an endpoint is in slow start and has not answered in time last.
fn is_unproved(endpoint: &Endpoint) -> bool {
    let starting = endpoint.slow_start.as_ref();
    starting.is_some_and(|starting| !starting.is_proved())
}

/// Returns whether slow start allows one more request in flight.
pub(crate) fn fits_window(endpoint: &Endpoint, now: Duration) -> bool {
    let starting = endpoint.slow_start.as_ref();
    starting.is_none_or(|starting| starting.has_room(endpoint.in_flight, now))
}
