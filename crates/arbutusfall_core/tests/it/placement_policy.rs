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

use crate::placement_harness::OwnerVm;
use crate::placement_harness::active;
use crate::placement_harness::ended;
use crate::placement_harness::place_request;
use crate::streams_harness::TestVm;
use crate::streams_harness::grant;

/// Slots of the test's decode pool.
const SLOTS: usize = 40;

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

/// Advances time while reporting the grants; each answer ends at 39/40 of `max_output_tokens`.
///
/// That is the middle of the last bucket of the owner's answer lengths. A decode step takes 25 ms.
fn run_grants(owner: &mut OwnerVm, grants: &[Grant], max_output_tokens: u32, until: Duration) {
    let started_at = owner.session.now.monotonic;
    let last_token = max_output_tokens * 39 / 40;
    let mut running: Vec<(u64, &Grant)> = (0..).zip(grants).collect();
    while owner.session.now.monotonic < started_at + until {
        let remaining = started_at + until - owner.session.now.monotonic;
        owner
            .session
            .advance(remaining.min(Duration::from_millis(100)));
        let elapsed = owner.session.now.monotonic - started_at;
        let (mut reported, mut finished) = (Vec::new(), Vec::new());
        running.retain(|(sequence, grant)| {
            let first = grant.start_after + grant.first_token_after;
            let steps = elapsed.saturating_sub(first).as_millis() / 25;
            let generated = u32::try_from(steps).unwrap_or(u32::MAX).min(last_token);
            if generated == last_token {
                finished.push(ended(*sequence, GrantEnd::Finished));
                return false;
            }
            reported.push(arbutusfall_wire::ActiveGrant {
                max_output_tokens,
                ..active(*sequence, grant, generated)
            });
            true
        });
        owner.report(reported, finished);
    }
}

#[test]
fn refused_request_is_granted_after_its_retry_after() {
    for (prompt_tokens, max_output_tokens) in [(100, 60), (1_000, 120), (8_000, 200), (100, 280)] {
        let request_with = |sequence| PlaceRequest {
            prompt_tokens,
            max_output_tokens,
            ..place_request(sequence)
        };
        let mut owner = OwnerVm::new();
        let grants = owner.fill(request_with);
        let next = grants.len() as u64 + 1;
        let retry_after = owner.place_refused(request_with(next));
        run_grants(&mut owner, &grants, max_output_tokens, retry_after);
        let retried = owner.place(request_with(next));
        assert!(
            matches!(retried, PlaceDecision::Granted(_)),
            "{prompt_tokens} prompt and {max_output_tokens} output tokens: {retried:?} after {retry_after:?}"
        );
    }
}

#[test]
fn retry_after_times_are_spread() {
    let mut owner = OwnerVm::new();
    for sequence in 0..20 {
        owner.advance_ms(50);
        owner.place_granted(place_request(sequence));
    }
    let long = |sequence| PlaceRequest {
        max_output_tokens: 100,
        ..place_request(1_000 + sequence)
    };
    owner.fill(long);
    let mut times: Vec<Duration> = (0..40)
        .map(|number| owner.place_refused(long(10_000 + number)))
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
fn concurrent_uses_never_exceed_an_endpoints_slots() {
    let sizes = proptest::collection::vec((50u32..4_000, 20u32..200, 0u64..60), 200);
    proptest::proptest!(proptest_config(), |(sizes in sizes)| {
        let mut owner = OwnerVm::new();
        let mut uses: BTreeMap<Name, Vec<(Duration, Duration)>> = BTreeMap::new();
        for (sequence, (prompt_tokens, max_output_tokens, pause_ms)) in sizes.into_iter().enumerate() {
            owner.advance_ms(pause_ms);
            let request = PlaceRequest { prompt_tokens, max_output_tokens, ..place_request(sequence as u64) };
            let PlaceDecision::Granted(grant) = owner.place(request) else { continue };
            let now = owner.session.now.monotonic;
            let first = now + grant.start_after + grant.first_token_after;
            // No answer has completed yet, so the owner expects at least 95 % of `max_output_tokens`.
            let last = first + Duration::from_millis(25).mul_f64(f64::from(max_output_tokens) * 0.95);
            // Without reports the grant lapses after its lifetime, which ends the reservation.
            let last = last.min(now + grant.start_after + grant.lifetime);
            uses.entry(grant.decode).or_default().push((first, last));
        }
        for uses in uses.values() {
            for (first, _) in uses {
                let concurrent = uses.iter().filter(|(from, until)| from <= first && first < until);
                prop_assert!(concurrent.count() <= SLOTS / 2);
            }
        }
    });
}

#[test]
fn adopted_grants_keep_their_slots_after_an_owner_change() {
    let mut previous_owner = OwnerVm::new();
    let long = |sequence| PlaceRequest {
        max_output_tokens: 400,
        ..place_request(sequence)
    };
    let grants = previous_owner.fill(long);
    assert!(grants.len() >= SLOTS);
    let mut new_owner = OwnerVm::new();
    let reported = grants.iter().take(SLOTS).enumerate();
    let reported = reported.map(|(sequence, grant)| arbutusfall_wire::ActiveGrant {
        max_output_tokens: 400,
        ..active(sequence as u64, grant, 1)
    });
    new_owner.report(reported.collect(), Vec::new());
    new_owner.place_refused(long(1_000));
    let endpoints = new_owner.session.node.status().endpoints;
    let used: usize = endpoints.iter().map(|endpoint| endpoint.grants).sum();
    assert_eq!(used, SLOTS);
}

#[test]
fn each_owner_starts_one_request_per_slot_immediately() {
    let long = |sequence| PlaceRequest {
        max_output_tokens: 150,
        ..place_request(sequence)
    };
    for _ in 0..2 {
        let mut owner = OwnerVm::new();
        let grants = owner.fill(long);
        let immediate = grants.iter().filter(|grant| grant.start_after.is_zero());
        assert_eq!(immediate.count(), SLOTS);
    }
}

#[test]
fn unreported_grant_lapses() {
    let mut owner = OwnerVm::new();
    let long = |sequence| PlaceRequest {
        max_output_tokens: 1_000,
        ..place_request(sequence)
    };
    let grants = owner.fill(long);
    assert_eq!(grants.len(), SLOTS);
    owner.advance_ms(3_900);
    let renewed = arbutusfall_wire::ActiveGrant {
        max_output_tokens: 1_000,
        ..active(0, &grants[0], 100)
    };
    owner.report(vec![renewed], Vec::new());
    owner.advance_ms(2_000);
    assert_eq!(
        owner.fill(|sequence| long(1_000 + sequence)).len(),
        SLOTS - 1
    );
}

#[test]
fn accounts_get_their_shares_of_a_contended_pool() {
    let mut owner = OwnerVm::with_changed_base(|base| {
        base["accounts"]["club"] = base["accounts"]["school"].clone();
        base["accounts"]["club"]["key_sha256"] = json!("1".repeat(64));
    });
    let request_of = |account: &str, sequence| PlaceRequest {
        account: account.into(),
        max_output_tokens: 1_000,
        ..place_request(sequence)
    };
    let grants = owner.fill(|sequence| request_of("school", sequence));
    assert_eq!(grants.len(), SLOTS);
    let mut club_grants = 0;
    for sequence in 0..SLOTS as u64 {
        owner.place_refused(request_of("club", 2_000 + sequence));
        owner.advance_ms(10);
        owner.report(Vec::new(), vec![ended(sequence, GrantEnd::Finished)]);
        let school = owner.place(request_of("school", 1_000 + sequence));
        let club = owner.place(request_of("club", 3_000 + sequence));
        let is_granted = |decision| matches!(decision, PlaceDecision::Granted(_));
        let club = is_granted(club);
        assert!(is_granted(school) || club, "a free slot must be granted");
        club_grants += usize::from(club);
        if club_grants == SLOTS / 2 {
            return;
        }
    }
    panic!("the club was granted {club_grants} of {SLOTS} slots");
}

#[test]
fn prompts_go_to_the_endpoint_that_cached_their_prefix_unless_its_queue_is_long() {
    let mut owner = OwnerVm::new();
    let with_prefix = |sequence| PlaceRequest {
        prompt_tokens: 10_100,
        piece_hashes: vec![1, 2, 3, 4, 5],
        ..place_request(sequence)
    };
    let first = owner.place_granted(with_prefix(0));
    assert_eq!(first.cached_tokens, 0);
    owner.advance_ms(700);
    let second = owner.place_granted(with_prefix(1));
    assert_eq!(second.prefill, first.prefill);
    assert_eq!(second.cached_tokens, 10_000);
    for sequence in 2..6 {
        owner.place_granted(PlaceRequest {
            prompt_tokens: 6_000,
            avoid: vec![if &*first.prefill == "prefill-1" {
                "prefill-2".into()
            } else {
                "prefill-1".into()
            }],
            first_token_budget: Duration::from_secs(5),
            ..place_request(sequence)
        });
    }
    let third = owner.place_granted(PlaceRequest {
        first_token_budget: Duration::from_secs(5),
        ..with_prefix(6)
    });
    assert_ne!(third.prefill, first.prefill);
    assert_eq!(third.cached_tokens, 0);
}

#[test]
fn evicted_pieces_do_not_count_as_cached() {
    let mut owner = OwnerVm::new();
    let with_prefix = |sequence| PlaceRequest {
        prompt_tokens: 4_100,
        piece_hashes: vec![1, 2],
        ..place_request(sequence)
    };
    let first = owner.place_granted(with_prefix(0));
    owner.advance_ms(2_000);
    let evicted = EngineEvent::CacheChanged {
        endpoint: first.prefill,
        next: 5,
        stored: Vec::new(),
        removed: vec![2],
    };
    owner.session.apply(Event::Engine(evicted));
    assert_eq!(owner.place_granted(with_prefix(1)).cached_tokens, 2_000);
}

#[test]
fn first_token_timeout_covers_the_owners_estimate() {
    let mut entry = TestVm::new();
    entry.start_request(1);
    let slow_grant = Grant {
        first_token_after: Duration::from_millis(900),
        ..grant(1, 1, Duration::ZERO)
    };
    entry.receive_reply("milano-a-2", 1, 1, PlaceDecision::Granted(slow_grant));
    entry.wait_ms(100);
    entry.prefill_done(1);
    let is_reconnected = |effects: &[Effect]| {
        let mut effects = effects.iter();
        effects.any(|effect| matches!(effect, Effect::Reconnect { .. }))
    };
    assert!(!is_reconnected(&entry.wait_ms(850)));
    assert!(is_reconnected(&entry.wait_ms(100)));
}

#[test]
fn leaving_endpoints_get_no_new_requests() {
    let mut owner = OwnerVm::with_changed_base(|base| {
        base["endpoints"]["prefill-1"]["leaving"] = json!(true);
        base["endpoints"]["decode-2"]["leaving"] = json!(true);
    });
    for grant in owner.fill(place_request) {
        assert_eq!((&*grant.prefill, &*grant.decode), ("prefill-2", "decode-1"));
    }
}

#[test]
fn failed_engine_is_avoided_until_one_trial_request_succeeds() {
    let mut owner = OwnerVm::new();
    let failed = owner.place_granted(place_request(0)).decode;
    owner.report(Vec::new(), vec![ended(0, GrantEnd::DecodeFailed)]);
    for sequence in 1..10 {
        assert_ne!(owner.place_granted(place_request(sequence)).decode, failed);
    }
    owner.advance_ms(600);
    let trial = owner.place_granted(place_request(10));
    assert_eq!(trial.decode, failed);
    assert_ne!(owner.place_granted(place_request(11)).decode, failed);
    owner.report(vec![active(10, &trial, 1)], Vec::new());
    assert_eq!(owner.place_granted(place_request(12)).decode, failed);
}

#[test]
fn unexpired_prefill_result_is_reused() {
    let mut owner = OwnerVm::new();
    let long_prompt = PlaceRequest {
        prompt_tokens: 10_000,
        ..place_request(0)
    };
    let first = owner.place_granted(long_prompt.clone());
    owner.advance_ms(800);
    owner.report(Vec::new(), vec![ended(0, GrantEnd::DecodeFailed)]);
    let replacement = owner.place_granted(PlaceRequest {
        placement: 2,
        prefilled_on: Some(first.prefill.clone()),
        avoid: vec![first.decode.clone()],
        ..long_prompt
    });
    assert_eq!(replacement.prefill, first.prefill);
    assert_ne!(replacement.decode, first.decode);
    assert_eq!(replacement.start_after, Duration::ZERO);
    // Transfer of 10,000 tokens and one decode step: nothing is prefilled.
    assert_eq!(replacement.first_token_after, Duration::from_millis(125));
}
