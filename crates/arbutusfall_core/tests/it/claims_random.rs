//! Property tests: random interleavings of faults in scenarios too large to explore exhaustively, and decoding of
//! claim records.

use arbutusfall_wire::ClaimRecord;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

use crate::claims_simulation::Budget;
use crate::claims_simulation::Call;
use crate::claims_simulation::Simulation;
use crate::claims_simulation::Step;
use crate::claims_simulation::marked_call;
use crate::claims_simulation::unmarked_call;

const CASES: u32 = 400;

fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4_711),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns calls with two keys: key 0 is used three times in sequence, key 1 by three VMs concurrently.
fn calls() -> Vec<Call> {
    let after_first = Call {
        after: Some(0),
        ..unmarked_call(1, 0)
    };
    let last = Call {
        // Index of `after_first` in the result.
        after: Some(4),
        ..unmarked_call(0, 0)
    };
    vec![
        marked_call(0, 0),
        unmarked_call(1, 1),
        unmarked_call(2, 1),
        unmarked_call(0, 1),
        after_first,
        last,
    ]
}

proptest! {
    #![proptest_config(fixed_seed(CASES))]

    #[test]
    fn at_most_once_with_three_vms_and_two_keys(
        choices in prop::collection::vec(any::<prop::sample::Index>(), 10..120),
        split in any::<bool>(),
    ) {
        let views = if split {
            vec![vec![0], vec![1, 2], vec![0, 1, 2]]
        } else {
            vec![vec![0, 1, 2]; 3]
        };
        let budget = Budget { time_steps: 12, faults: 6, kills: 2, clock_jumps: 1, restores: 0 };
        let mut simulation = Simulation::new(views, calls(), budget);
        for choice in choices {
            let steps = simulation.steps();
            if steps.is_empty() {
                break;
            }
            simulation.apply_step(*choice.get(&steps));
        }
        simulation.finish_and_check();
    }

    #[test]
    fn at_most_once_across_two_restores_of_the_log(
        choices in prop::collection::vec(any::<prop::sample::Index>(), 10..120),
        restore_after in 1_usize..100,
        steps_between in 1_usize..40,
        split in any::<bool>(),
    ) {
        let views = if split {
            vec![vec![0], vec![1, 2], vec![0, 1, 2]]
        } else {
            vec![vec![0, 1, 2]; 3]
        };
        let budget = Budget { time_steps: 12, faults: 4, kills: 2, clock_jumps: 0, restores: 0 };
        let mut simulation = Simulation::new(views, calls(), budget);
        for (number, choice) in choices.into_iter().enumerate() {
            let is_due = number == restore_after || number == restore_after + steps_between;
            simulation.budget.restores += u32::from(is_due);
            let steps = simulation.steps();
            if steps.is_empty() {
                break;
            }
            let is_restore = |step: &Step| matches!(step, Step::Restore(_));
            let restores: Vec<Step> = steps.iter().copied().filter(is_restore).collect();
            let steps = if restores.is_empty() { steps } else { restores };
            simulation.apply_step(*choice.get(&steps));
        }
        simulation.finish_and_check();
    }
}

proptest! {
    #![proptest_config(fixed_seed(2_000))]

    #[test]
    fn arbitrary_text_is_rejected(text in ".{0,200}") {
        prop_assert!(serde_json::from_str::<ClaimRecord>(&text).is_err());
    }

    #[test]
    fn damaged_record_keeps_its_kind_or_is_rejected(
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let text = r#"{"claim":{"key":"01a0c450-6c00-7101-8101-010101010101","vm":"milano-a-1","request":{"incarnation":7,"sequence":1},"fingerprint":7}}"#;
        let record: ClaimRecord = serde_json::from_str(text).expect("a valid record");
        let mut damaged = text.as_bytes().to_vec();
        let position = position.index(damaged.len());
        damaged[position] = byte;
        // A damaged record that still decodes must not become another kind of record.
        if let Ok(decoded) = serde_json::from_slice::<ClaimRecord>(&damaged) {
            let is_claim = |record: &ClaimRecord| matches!(record, ClaimRecord::Claim { .. });
            prop_assert_eq!(is_claim(&decoded), is_claim(&record));
        }
    }
}
