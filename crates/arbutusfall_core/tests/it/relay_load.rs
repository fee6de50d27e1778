//! Simulated loads of long prompts and equally long answers that fill the memory of decode engines.
//!
//! The sizes follow deployments with about 5,000 tokens each for prompt and answer, ten to thirty requests per second,
//! and about twenty requests in an engine's memory. Here an engine's memory holds the reservations of about eight
//! requests, and each test sets its own request rate.

use std::time::Duration;

use crate::relay_harness::ms;
use crate::relay_simulation::RelaySimulation;
use crate::relay_simulation::outcomes::SizeCounts;

const SEEDS: std::ops::Range<u64> = 0..5;

/// At a moderate load, nearly all first events arrive within the target.
#[test]
fn requests_at_moderate_load_are_on_time() {
    for seed in SEEDS {
        let mut simulation = RelaySimulation::new(6, 3, 6, seed);
        simulation.run_load(8.0, Duration::from_secs(30));
        simulation.finish();
        let outcomes = &simulation.outcomes;
        let share = outcomes.on_time as f64 / outcomes.submitted as f64;
        assert!(share >= 0.97, "seed {seed}: {outcomes:?}");
    }
}

/// Bursts of two and three times what the memory holds: every prefilled prompt is decoded, no stream fails, and
/// requests that cannot be served in time are refused before they would be late.
#[test]
fn bursts_beyond_the_memory_waste_no_prefill() {
    for seed in SEEDS {
        let mut simulation = RelaySimulation::new(6, 3, 6, seed);
        simulation.run_load(9.0, Duration::from_secs(6));
        simulation.run_load(27.0, Duration::from_secs(5));
        simulation.run_load(9.0, Duration::from_secs(6));
        simulation.run_load(40.0, Duration::from_secs(4));
        simulation.finish();
        let outcomes = &simulation.outcomes;
        assert_eq!(outcomes.prefills, outcomes.decodes, "seed {seed}");
        assert_eq!(outcomes.failed, 0, "seed {seed}: {outcomes:?}");
        assert!(
            outcomes.longest_refusal < ms(900),
            "seed {seed}: {outcomes:?}"
        );
        // Refusing too many requests would leave engine memory unused.
        assert!(
            outcomes.on_time * 2 > outcomes.submitted,
            "seed {seed}: {outcomes:?}"
        );
    }
}

/// Too few prefill engines: requests wait for them only while they can be on time.
#[test]
fn burst_beyond_prefill_capacity_keeps_the_prefill_queue_short() {
    for seed in SEEDS {
        let mut simulation = RelaySimulation::new(6, 1, 12, seed);
        simulation.run_load(18.0, Duration::from_secs(10));
        simulation.finish();
        let outcomes = &simulation.outcomes;
        assert_eq!(outcomes.prefills, outcomes.decodes, "seed {seed}");
        assert!(
            outcomes.on_time > outcomes.late * 4,
            "seed {seed}: {outcomes:?}"
        );
    }
}

/// Many VMs, many engines, and twice the requests that the memory holds: all VMs try to reserve memory at each engine,
/// and their attempts together must stay in proportion to the reservations that are granted.
#[test]
fn reservation_attempts_of_many_vms_stay_in_proportion_to_grants() {
    for seed in SEEDS {
        let mut simulation = RelaySimulation::new(40, 4, 24, seed);
        simulation.run_load(80.0, Duration::from_secs(12));
        simulation.finish();
        let outcomes = &simulation.outcomes;
        assert!(
            outcomes.reservation_attempts < outcomes.decodes * 15,
            "seed {seed}: {outcomes:?}"
        );
    }
}

/// A lasting overload with callers that retry after the requested delay: requests that can still be on time go before
/// late ones.
#[test]
fn first_attempts_go_before_caller_retries() {
    for seed in SEEDS {
        let mut simulation = RelaySimulation::new(20, 4, 16, seed);
        simulation.callers_retry = true;
        simulation.run_load(60.0, Duration::from_secs(12));
        let outcomes = &simulation.outcomes;
        assert!(outcomes.retried > 0, "seed {seed}: {outcomes:?}");
        assert!(
            outcomes.late * 5 < outcomes.on_time,
            "seed {seed}: {outcomes:?}"
        );
    }
}

/// A lasting overload with requests of all sizes: a larger fraction of small requests is served than of large ones, but
/// large ones still get at least half of that fraction.
#[test]
fn small_requests_go_first_and_large_ones_are_served_too() {
    for seed in SEEDS {
        let mut simulation = RelaySimulation::new(20, 4, 16, seed);
        simulation.run_load(60.0, Duration::from_secs(30));
        simulation.finish();
        let [small, large] = &simulation.outcomes.by_size;
        let share = |size: &SizeCounts| size.served as f64 / size.submitted.max(1) as f64;
        let (of_small, of_large) = (share(small), share(large));
        assert!(
            of_small > of_large,
            "seed {seed}: {:?}",
            simulation.outcomes
        );
        assert!(
            of_large > of_small * 0.5,
            "seed {seed}: {:?}",
            simulation.outcomes
        );
    }
}
