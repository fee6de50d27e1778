//! The retry budget over all VMs together, as the platform counts it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::SendCommand;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

/// Length of the spans in which the platform counts retries.
const SPAN: Duration = Duration::from_secs(10);

/// Retries allowed in a span, as a share of its requests.
const RATIO: f64 = 0.2;

/// Time from a send until the refusal arrives.
const REFUSAL_TIME: Duration = Duration::from_millis(2);

/// Time from a send until the answer arrives.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// Endpoints of the service.
const ENDPOINTS: usize = 6;

/// A time with a constant rate of requests to all VMs together.
struct Phase {
    requests_per_s: f64,
    duration: Duration,
    /// Share of the requests that endpoints refuse.
    refused_share: f64,
}

fn phase(requests_per_s: f64, seconds: u64, refused_share: f64) -> Phase {
    Phase {
        requests_per_s,
        duration: Duration::from_secs(seconds),
        refused_share,
    }
}

/// VMs with one service, whose endpoints refuse a share of the requests.
struct Simulation {
    vms: Vec<RelayHarness>,
    now: Duration,
    /// Outcomes of exchanges in progress, by the time at which they arrive.
    outcomes: BTreeMap<(Duration, u64), (usize, ExchangeId, ExchangeEvent)>,
    sends: u64,
    refused_share: f64,
    rng: fastrand::Rng,
    request_times: Vec<Duration>,
    /// Arrivals at endpoints beyond the first of each request.
    retry_times: Vec<Duration>,
    served: usize,
}

impl Simulation {
    fn new(vm_count: u32, slack: f64, seed: u64) -> Self {
        let limit = RetryLimit {
            ratio: RATIO,
            slack,
            vm_count,
        };
        let endpoints: Vec<_> = (0..ENDPOINTS)
            .map(|index| listed(&format!("shop-{index}"), "shop", Role::Plain))
            .map(EndpointListChange::Listed)
            .collect();
        let new_vm = |index: u32| {
            let mut vm = RelayHarness::with_retry_limit(seed + u64::from(index), limit);
            vm.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
            vm.apply(RelayEvent::EndpointChanges(endpoints.clone()));
            vm.effects.clear();
            vm
        };
        Self {
            vms: (0..vm_count).map(new_vm).collect(),
            now: ms(1_000),
            outcomes: BTreeMap::new(),
            sends: 0,
            refused_share: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            request_times: Vec::new(),
            retry_times: Vec::new(),
            served: 0,
        }
    }

    fn run(&mut self, phase: &Phase) {
        self.refused_share = phase.refused_share;
        let until = self.now + phase.duration;
        let gap = Duration::from_secs_f64(1.0 / phase.requests_per_s);
        let mut next_request_at = self.now;
        while next_request_at < until {
            self.deliver_outcomes(next_request_at);
            self.now = next_request_at;
            self.submit();
            next_request_at += gap;
        }
        self.deliver_outcomes(until);
        self.now = until;
    }

    fn submit(&mut self) {
        let index = self.rng.usize(..self.vms.len());
        self.request_times.push(self.now);
        let vm = &mut self.vms[index];
        vm.advance(self.now.saturating_sub(vm.now));
        vm.submit("/look/1");
        self.take_sends(index, true);
    }

    /// Delivers the outcomes that arrive up to an instant.
    fn deliver_outcomes(&mut self, until: Duration) {
        while let Some(entry) = self.outcomes.first_entry() {
            if entry.key().0 > until {
                return;
            }
            let ((at, _), (index, exchange, event)) = entry.remove_entry();
            self.now = at;
            let vm = &mut self.vms[index];
            vm.advance(at.saturating_sub(vm.now));
            vm.deliver(exchange, event);
            self.take_sends(index, false);
        }
    }

    fn take_sends(&mut self, index: usize, is_first: bool) {
        let sends = self.vms[index].take_sends();
        self.vms[index].effects.clear();
        for send in sends {
            if !is_first {
                self.retry_times.push(self.now);
            }
            self.on_send(index, &send);
        }
    }

    fn on_send(&mut self, index: usize, send: &SendCommand) {
        let is_refused = self.rng.f64() < self.refused_share;
        let (after, event) = if is_refused {
            let reason = NotRunReason::Refused;
            (REFUSAL_TIME, ExchangeEvent::NotRun { reason })
        } else {
            self.served += 1;
            (ANSWER_TIME, ExchangeEvent::Complete { status: 200 })
        };
        self.sends += 1;
        let outcome = (index, send.exchange, event);
        self.outcomes
            .insert((self.now + after, self.sends), outcome);
    }

    /// Returns by how many retries the worst span exceeds the limit; negative if none does.
    ///
    /// The requests of a span are those of the span itself, of the one before it or of the one half a span before it,
    /// whichever has most.
    fn worst_excess(&self, slack: f64) -> f64 {
        let excess = self.retry_times.iter().enumerate().map(|(first, start)| {
            let retries = count_until(&self.retry_times, *start + SPAN) - first;
            let spans = [
                *start,
                start.saturating_sub(SPAN),
                start.saturating_sub(SPAN / 2),
            ];
            let requests = spans.map(|from| self.requests_between(from, from + SPAN));
            let most = requests.into_iter().max().unwrap_or_default();
            retries as f64 - (RATIO * most as f64 + slack)
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }

    fn requests_between(&self, from: Duration, until: Duration) -> usize {
        count_until(&self.request_times, until) - count_until(&self.request_times, from)
    }
}

/// Returns the number of ordered times before an instant.
fn count_until(times: &[Duration], until: Duration) -> usize {
    times.partition_point(|time| *time < until)
}

/// Bursts with falling edges, before, at and after which endpoints refuse part or all of the requests.
fn falling_bursts(base_per_s: f64, refused_share: f64) -> Vec<Phase> {
    vec![
        phase(base_per_s, 10, 0.0),
        phase(4.0 * base_per_s, 8, 0.0),
        phase(0.2 * base_per_s, 12, refused_share),
        phase(4.0 * base_per_s, 6, refused_share),
        phase(0.2 * base_per_s, 4, 0.0),
        phase(base_per_s, 9, refused_share),
        phase(2.0 * base_per_s, 12, refused_share),
    ]
}

/// Returns the worst excess over all spans of bursts with falling edges, at several shares of refused requests.
fn worst_excess_of_bursts(vm_count: u32, base_per_s: f64, slack: f64) -> f64 {
    let excess = [0.3, 0.6, 1.0].map(|refused_share| {
        let mut simulation = Simulation::new(vm_count, slack, 7);
        for phase in falling_bursts(base_per_s, refused_share) {
            simulation.run(&phase);
        }
        let excess = simulation.worst_excess(slack);
        eprintln!(
            "{vm_count} VMs, share {refused_share}: {excess:.0} beyond the limit, {} of {} served, {} retries",
            simulation.served,
            simulation.request_times.len(),
            simulation.retry_times.len()
        );
        excess
    });
    excess.into_iter().fold(f64::NEG_INFINITY, f64::max)
}

// These tests guard against a retry budget that each VM keeps for itself but that all VMs together exceed: in a span after
// a burst, or because each VM has retries of its own regardless of their number.

#[test]
fn retries_of_one_vm_stay_within_the_limit() {
    let excess = worst_excess_of_bursts(1, 40.0, 42.0);
    assert!(excess <= 0.0, "{excess:.0} beyond the limit");
}

#[test]
fn retries_of_6_vms_stay_within_the_limit() {
    let excess = worst_excess_of_bursts(6, 42.0, 52.0);
    assert!(excess <= 0.0, "{excess:.0} beyond the limit");
}

#[test]
fn retries_of_65_vms_stay_within_the_limit() {
    let excess = worst_excess_of_bursts(65, 250.0, 170.0);
    assert!(excess <= 0.0, "{excess:.0} beyond the limit");
}

#[test]
fn retries_of_410_vms_stay_within_the_limit() {
    let excess = worst_excess_of_bursts(410, 1_600.0, 170.0);
    assert!(excess <= 0.0, "{excess:.0} beyond the limit");
}
