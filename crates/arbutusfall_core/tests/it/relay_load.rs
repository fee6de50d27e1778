//! Loads of long prompts with answers as long, by which the memory of decode engines is used up.
//!
//! The sizes are those of today's deployments: some 5,000 tokens each way, ten to thirty requests a second, about twenty
//! requests in an engine's memory.

use std::time::Duration;

use crate::relay_play::Play;
use crate::relay_play::Sizes;
use crate::relay_world::ms;

const SEEDS: std::ops::Range<u64> = 0..5;

/// Calm load: nearly all first events come within the target.
#[test]
fn calm_load_is_on_time() {
    for seed in SEEDS {
        let mut play = Play::new(6, 3, 6, seed);
        play.arrive(8.0, Duration::from_secs(30));
        play.finish();
        let outcomes = &play.outcomes;
        let share = outcomes.on_time as f64 / outcomes.asked as f64;
        assert!(share >= 0.97, "seed {seed}: {outcomes:?}");
    }
}

/// Bursts of twice and three times what the memory holds: no prompt is prefilled that is not decoded, nothing fails, and
/// who cannot be served in time is told so before it would be late.
#[test]
fn bursts_beyond_the_memory_waste_no_prefill() {
    for seed in SEEDS {
        let mut play = Play::new(6, 3, 6, seed);
        play.arrive(9.0, Duration::from_secs(6));
        play.arrive(27.0, Duration::from_secs(5));
        play.arrive(9.0, Duration::from_secs(6));
        play.arrive(40.0, Duration::from_secs(4));
        play.finish();
        let outcomes = &play.outcomes;
        assert_eq!(outcomes.prefills, outcomes.decodes, "seed {seed}");
        assert_eq!(outcomes.failed, 0, "seed {seed}: {outcomes:?}");
        assert!(
            outcomes.longest_refusal < ms(900),
            "seed {seed}: {outcomes:?}"
        );
        // The memory is used meanwhile: few engines' worth of room stays empty.
        assert!(
            outcomes.on_time * 2 > outcomes.asked,
            "seed {seed}: {outcomes:?}"
        );
    }
}

/// Prefill engines that are too few: requests wait for them only while they can be on time.
#[test]
fn burst_beyond_the_prefill_engines_keeps_their_queue_short() {
    for seed in SEEDS {
        let mut play = Play::new(6, 1, 12, seed);
        play.arrive(18.0, Duration::from_secs(10));
        play.finish();
        let outcomes = &play.outcomes;
        assert_eq!(outcomes.prefills, outcomes.decodes, "seed {seed}");
        assert!(
            outcomes.on_time > outcomes.late * 4,
            "seed {seed}: {outcomes:?}"
        );
    }
}

/// Many VMs before many engines, and twice the requests that the memory holds: each engine is asked by all VMs, and the
/// asks of all together stay in proportion to the room that is found.
#[test]
fn asks_of_many_vms_stay_in_proportion_to_the_room() {
    for seed in SEEDS {
        let mut play = Play::new(40, 4, 24, seed);
        play.arrive(80.0, Duration::from_secs(12));
        play.finish();
        let outcomes = &play.outcomes;
        assert!(
            outcomes.asks < outcomes.decodes * 15,
            "seed {seed}: {outcomes:?}"
        );
    }
}

/// An overload that lasts, and callers that come back when they are told: who can still be served in time goes before who
/// is late already.
#[test]
fn first_tries_go_before_callers_that_come_back() {
    for seed in SEEDS {
        let mut play = Play::new(20, 4, 16, seed);
        play.callers_return = true;
        play.arrive(60.0, Duration::from_secs(12));
        let outcomes = &play.outcomes;
        assert!(outcomes.returned > 0, "seed {seed}: {outcomes:?}");
        assert!(
            outcomes.late * 5 < outcomes.on_time,
            "seed {seed}: {outcomes:?}"
        );
    }
}

/// An overload that lasts, with requests of all sizes: more small ones are served than large ones, and large ones still
/// get a good part.
#[test]
fn small_requests_go_first_and_large_ones_are_served_too() {
    for seed in SEEDS {
        let mut play = Play::new(20, 4, 16, seed);
        play.arrive(60.0, Duration::from_secs(30));
        play.finish();
        let [small, large] = &play.outcomes.by_size;
        let share = |size: &Sizes| size.served as f64 / size.asked.max(1) as f64;
        let (of_small, of_large) = (share(small), share(large));
        assert!(of_small > of_large, "seed {seed}: {:?}", play.outcomes);
        assert!(
            of_large > of_small * 0.5,
            "seed {seed}: {:?}",
            play.outcomes
        );
    }
}
