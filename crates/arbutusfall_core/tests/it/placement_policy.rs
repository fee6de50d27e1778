//! Admission and placement by a shard's owner.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::Event;
use arbutusfall_wire::Grant;
use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::Name;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceRequest;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use serde_json::json;

use crate::placement_play::Owner;
use crate::placement_play::active;
use crate::placement_play::ended;
use crate::placement_play::place;
use crate::streams_play::Play;
use crate::streams_play::grant;

/// Slots of the test's decode pool.
const SLOTS: usize = 40;

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

#[test]
fn refusal_is_given_at_once_and_its_come_back_time_is_true() {
    for (prompt_tokens, max_output_tokens) in [(100, 60), (1_000, 120), (8_000, 200), (100, 400)] {
        let sized = |sequence| PlaceRequest {
            prompt_tokens,
            max_output_tokens,
            ..place(sequence)
        };
        let mut owner = Owner::new();
        let grants = owner.fill(sized).len() as u64;
        let retry_after = owner.refused(sized(grants + 1));
        owner.session.advance(retry_after);
        // Nothing else has changed: what was granted is expected to end as it was.
        let again = owner.place(sized(grants + 1));
        assert!(
            matches!(again, PlaceDecision::Granted(_)),
            "{prompt_tokens} and {max_output_tokens} tokens: {again:?} after {retry_after:?}"
        );
    }
}

#[test]
fn come_back_times_are_spread() {
    let mut owner = Owner::new();
    for sequence in 0..20 {
        owner.advance_ms(50);
        owner.granted(place(sequence));
    }
    let long = |sequence| PlaceRequest {
        max_output_tokens: 100,
        ..place(1_000 + sequence)
    };
    owner.fill(long);
    let mut times: Vec<Duration> = (0..40)
        .map(|number| owner.refused(long(10_000 + number)))
        .collect();
    times.sort_unstable();
    let busiest = times
        .iter()
        .map(|from| {
            let until = *from + Duration::from_millis(100);
            times
                .iter()
                .filter(|at| (from..&until).contains(at))
                .count()
        })
        .max();
    assert!(
        busiest <= Some(12),
        "{busiest:?} callers within 100 ms: {times:?}"
    );
}

#[test]
fn slots_are_never_promised_twice() {
    let sizes = proptest::collection::vec((50u32..4_000, 20u32..200, 0u64..60), 200);
    proptest::proptest!(fixed_seed(), |(sizes in sizes)| {
        let mut owner = Owner::new();
        let mut uses: BTreeMap<Name, Vec<(Duration, Duration)>> = BTreeMap::new();
        for (sequence, (prompt_tokens, max_output_tokens, pause_ms)) in sizes.into_iter().enumerate() {
            owner.advance_ms(pause_ms);
            let asked = PlaceRequest { prompt_tokens, max_output_tokens, ..place(sequence as u64) };
            let PlaceDecision::Granted(grant) = owner.place(asked) else { continue };
            let now = owner.session.now.monotonic;
            let first = now + grant.start_after + grant.first_token_after;
            // No answer was seen yet, so nearly all that may be generated is expected.
            let last = first + Duration::from_millis(25).mul_f64(f64::from(max_output_tokens) * 0.95);
            // Slots are promised for less than a grant's lifetime, so none lapses before.
            let last = last.min(now + grant.start_after + grant.lifetime);
            uses.entry(grant.decode).or_default().push((first, last));
        }
        for uses in uses.values() {
            for (first, _) in uses {
                let at_once = uses.iter().filter(|(from, until)| from <= first && first < until);
                prop_assert!(at_once.count() <= SLOTS / 2);
            }
        }
    });
}

#[test]
fn adopted_grants_hold_their_slots_after_a_change_of_owner() {
    let mut before = Owner::new();
    let long = |sequence| PlaceRequest {
        max_output_tokens: 400,
        ..place(sequence)
    };
    let grants = before.fill(long);
    assert!(grants.len() >= SLOTS);
    let mut after = Owner::new();
    let held = grants.iter().take(SLOTS).enumerate();
    let held = held.map(|(sequence, grant)| arbutusfall_wire::ActiveGrant {
        max_output_tokens: 400,
        ..active(sequence as u64, grant, 1)
    });
    after.report(held.collect(), Vec::new());
    after.refused(long(1_000));
    let slots = after.session.node.status().endpoints;
    let used: usize = slots.iter().map(|endpoint| endpoint.grants).sum();
    assert_eq!(used, SLOTS);
}

#[test]
fn two_owners_at_once_each_keep_to_the_slots() {
    let long = |sequence| PlaceRequest {
        max_output_tokens: 150,
        ..place(sequence)
    };
    for _ in 0..2 {
        let mut owner = Owner::new();
        let starting = owner.fill(long);
        let at_once = starting.iter().filter(|grant| grant.start_after.is_zero());
        assert_eq!(at_once.count(), SLOTS);
    }
}

#[test]
fn grant_lapses_when_nobody_reports_it() {
    let mut owner = Owner::new();
    let long = |sequence| PlaceRequest {
        max_output_tokens: 1_000,
        ..place(sequence)
    };
    let grants = owner.fill(long);
    assert_eq!(grants.len(), SLOTS);
    owner.advance_ms(3_900);
    let kept = arbutusfall_wire::ActiveGrant {
        max_output_tokens: 1_000,
        ..active(0, &grants[0], 100)
    };
    owner.report(vec![kept], Vec::new());
    owner.advance_ms(2_000);
    assert_eq!(
        owner.fill(|sequence| long(1_000 + sequence)).len(),
        SLOTS - 1
    );
}

#[test]
fn accounts_get_their_shares_of_a_contended_pool() {
    let mut owner = Owner::with(|base| {
        base["accounts"]["club"] = base["accounts"]["school"].clone();
        base["accounts"]["club"]["key_sha256"] = json!("1".repeat(64));
    });
    let of = |account: &str, sequence| PlaceRequest {
        account: account.into(),
        max_output_tokens: 1_000,
        ..place(sequence)
    };
    let grants = owner.fill(|sequence| of("school", sequence));
    assert_eq!(grants.len(), SLOTS);
    let mut clubs = 0;
    for sequence in 0..SLOTS as u64 {
        owner.refused(of("club", 2_000 + sequence));
        owner.advance_ms(10);
        owner.report(Vec::new(), vec![ended(sequence, GrantEnd::Finished)]);
        let school = owner.place(of("school", 1_000 + sequence));
        let club = owner.place(of("club", 3_000 + sequence));
        let is_granted = |decision| matches!(decision, PlaceDecision::Granted(_));
        let club = is_granted(club);
        assert!(is_granted(school) || club, "a free slot is used");
        clubs += usize::from(club);
        if clubs == SLOTS / 2 {
            return;
        }
    }
    panic!("the club got {clubs} of {SLOTS} slots");
}

#[test]
fn prompts_go_where_their_prefix_is_until_the_queue_there_is_long() {
    let mut owner = Owner::new();
    let with_prefix = |sequence| PlaceRequest {
        prompt_tokens: 10_100,
        piece_hashes: vec![1, 2, 3, 4, 5],
        ..place(sequence)
    };
    let first = owner.granted(with_prefix(0));
    assert_eq!(first.cached_tokens, 0);
    owner.advance_ms(700);
    let second = owner.granted(with_prefix(1));
    assert_eq!(second.prefill, first.prefill);
    assert_eq!(second.cached_tokens, 10_000);
    for sequence in 2..6 {
        owner.granted(PlaceRequest {
            prompt_tokens: 6_000,
            avoid: vec![if &*first.prefill == "prefill-1" {
                "prefill-2".into()
            } else {
                "prefill-1".into()
            }],
            first_token_budget: Duration::from_secs(5),
            ..place(sequence)
        });
    }
    let third = owner.granted(PlaceRequest {
        first_token_budget: Duration::from_secs(5),
        ..with_prefix(6)
    });
    assert_ne!(third.prefill, first.prefill);
    assert_eq!(third.cached_tokens, 0);
}

#[test]
fn evicted_pieces_are_not_believed_in() {
    let mut owner = Owner::new();
    let with_prefix = |sequence| PlaceRequest {
        prompt_tokens: 4_100,
        piece_hashes: vec![1, 2],
        ..place(sequence)
    };
    let first = owner.granted(with_prefix(0));
    owner.advance_ms(2_000);
    let evicted = EngineEvent::CacheChanged {
        endpoint: first.prefill,
        next: 5,
        stored: Vec::new(),
        removed: vec![2],
    };
    owner.session.apply(Event::Engine(evicted));
    assert_eq!(owner.granted(with_prefix(1)).cached_tokens, 2_000);
}

#[test]
fn entry_vm_waits_for_the_first_token_as_long_as_the_owner_expected() {
    let mut play = Play::new();
    play.ask(1);
    let late = Grant {
        first_token_after: Duration::from_millis(900),
        ..grant(1, 1, Duration::ZERO)
    };
    play.placed("milano-a-2", 1, 1, PlaceDecision::Granted(late));
    play.wait_ms(100);
    play.prefill_done(1);
    let is_resumed = |effects: &[Effect]| {
        let mut effects = effects.iter();
        effects.any(|effect| matches!(effect, Effect::Resume { .. }))
    };
    assert!(!is_resumed(&play.wait_ms(850)));
    assert!(is_resumed(&play.wait_ms(100)));
}

#[test]
fn leaving_endpoints_get_nothing_new() {
    let mut owner = Owner::with(|base| {
        base["endpoints"]["prefill-1"]["leaving"] = json!(true);
        base["endpoints"]["decode-2"]["leaving"] = json!(true);
    });
    for grant in owner.fill(place) {
        assert_eq!((&*grant.prefill, &*grant.decode), ("prefill-2", "decode-1"));
    }
}

#[test]
fn failed_engine_is_avoided_and_then_tried_with_one_request() {
    let mut owner = Owner::new();
    let failed = owner.granted(place(0)).decode;
    owner.report(Vec::new(), vec![ended(0, GrantEnd::DecodeFailed)]);
    for sequence in 1..10 {
        assert_ne!(owner.granted(place(sequence)).decode, failed);
    }
    owner.advance_ms(600);
    let trial = owner.granted(place(10));
    assert_eq!(trial.decode, failed);
    assert_ne!(owner.granted(place(11)).decode, failed);
    owner.report(vec![active(10, &trial, 1)], Vec::new());
    assert_eq!(owner.granted(place(12)).decode, failed);
}

#[test]
fn result_that_is_alive_needs_no_second_prefill() {
    let mut owner = Owner::new();
    let long_prompt = PlaceRequest {
        prompt_tokens: 10_000,
        ..place(0)
    };
    let first = owner.granted(long_prompt.clone());
    owner.advance_ms(800);
    owner.report(Vec::new(), vec![ended(0, GrantEnd::DecodeFailed)]);
    let moved = owner.granted(PlaceRequest {
        placement: 2,
        prefilled_on: Some(first.prefill.clone()),
        avoid: vec![first.decode.clone()],
        ..long_prompt
    });
    assert_eq!(moved.prefill, first.prefill);
    assert_ne!(moved.decode, first.decode);
    assert_eq!(moved.start_after, Duration::ZERO);
    // Transfer of 10,000 tokens and one step: nothing is computed.
    assert_eq!(moved.first_token_after, Duration::from_millis(125));
}
