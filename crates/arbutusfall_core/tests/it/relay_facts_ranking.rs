//! Fleets whose VMs rank each other by strength, and differently: the VMs that read the store, and those that follow.

use std::time::Duration;

use arbutusfall_core::relay::VmStrength;

use crate::relay_facts::KnownStrength;
use crate::relay_facts::strength;
use crate::relay_facts_simulation::Fleet;
use crate::relay_facts_simulation::PAUSE;
use crate::relay_facts_simulation::Trouble;
use crate::relay_harness::ms;

/// Strength of a VM: the first six, two in each of three data centres, are strong.
fn true_strength(number: usize) -> VmStrength {
    match number {
        0..6 => strength(500, 200),
        number if number % 5 == 0 => strength(300, 25),
        _ => strength(90, 10),
    }
}

// Guards against a weak VM that reads the store for a data centre while strong ones run.
#[test]
fn strong_vms_read_the_store() {
    let known: KnownStrength = |_, number| true_strength(number);
    let mut fleet = Fleet::with_strengths(64, 3, 1, known);
    fleet.run(Duration::from_secs(10));
    let readers = |fleet: &Fleet| -> Vec<usize> {
        let all = 0..fleet.vms.len();
        all.filter(|number| {
            let vm = &fleet.vms[*number];
            vm.trouble == Trouble::None && vm.source.reads_store()
        })
        .collect()
    };
    let first = readers(&fleet);
    assert!(
        first.len() == 3 && first.iter().all(|number| *number < 6),
        "{first:?}"
    );
    for reader in first {
        fleet.set_trouble(reader, Trouble::Dead);
    }
    fleet.run(Duration::from_secs(20));
    let second = readers(&fleet);
    assert!(
        second.len() == 3 && second.iter().all(|number| *number < 6),
        "{second:?}"
    );
}

/// Strength as VMs of which each second has an older build know it: such a VM neither states nor reads it.
fn strength_beside_older_builds(knowing: usize, number: usize) -> VmStrength {
    if knowing % 2 == 1 || number % 2 == 1 {
        VmStrength::default()
    } else {
        true_strength(number)
    }
}

/// Strengths of which each VM knows others, so that VMs place each other above themselves.
fn contradictory_strength(knowing: usize, number: usize) -> VmStrength {
    if knowing == number {
        strength(90, 10)
    } else {
        strength(500, 200)
    }
}

/// Strengths of which a third of the VMs know outdated ones: those of VMs that started again with another strength.
fn outdated_strength(knowing: usize, number: usize) -> VmStrength {
    if knowing != number && knowing.is_multiple_of(3) && number.is_multiple_of(4) {
        strength(300, 25)
    } else {
        true_strength(number)
    }
}

// Guards against VMs of two builds, or with outdated records, that follow each other in a circle and know nothing new.
#[test]
fn vms_that_rank_each_other_differently_know_changes_in_time() {
    // Most reads of the store, as a share of those of VMs that follow none. If each VM places all others above itself, no order is
    // left, and only the bound on ages and the cost without followers remain.
    let views: [(&str, KnownStrength, f64); 3] = [
        ("older builds", strength_beside_older_builds, 0.2),
        ("outdated", outdated_strength, 0.2),
        ("contradictory", contradictory_strength, 1.05),
    ];
    let count = 24;
    for (name, known, most) in views {
        for seed in 0..6 {
            let mut fleet = Fleet::with_strengths(count, 2, seed, known);
            for _ in 0..40 {
                let number = fleet.rng.usize(..count);
                let trouble = match fleet.rng.usize(..8) {
                    0 => Trouble::Dead,
                    1 => Trouble::Frozen,
                    2 => Trouble::CutFromVms,
                    3 => Trouble::Draining,
                    _ => Trouble::None,
                };
                fleet.set_trouble(number, trouble);
                let time = ms(fleet.rng.u64(100..2_000));
                fleet.run(time);
            }
            for number in 0..count {
                fleet.set_trouble(number, Trouble::None);
            }
            fleet.run(Duration::from_secs(20));
            fleet.reads = 0;
            fleet.run(Duration::from_secs(40));
            let alone = 40.0 / PAUSE.as_secs_f64() * count as f64;
            println!(
                "{name}, seed {seed}: {} reads, {alone:.0} alone",
                fleet.reads
            );
            assert!(
                (fleet.reads as f64) < alone * most,
                "{name}, seed {seed}: {} reads",
                fleet.reads
            );
        }
    }
}
