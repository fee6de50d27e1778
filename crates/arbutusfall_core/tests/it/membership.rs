//! Liveness probes between several VMs: death, false suspicion, restart, leaving, and traffic.

use std::time::Duration;

use arbutusfall_core::Event;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberState;

use crate::cluster::Cluster;

/// Time within which every VM must observe the death of another.
const DEATH_KNOWN_WITHIN: Duration = Duration::from_secs(3);

#[test]
fn all_vms_observe_a_death_within_3_s() {
    for count in [3, 7, 20, 50] {
        let mut cluster = Cluster::start(count);
        cluster.run(Duration::from_secs(10));
        cluster.dead.insert(1);
        let elapsed = cluster.run_until(DEATH_KNOWN_WITHIN, |cluster| {
            cluster.all_see(1, MemberState::Dead)
        });
        println!("{count} VMs: all observe the death after {elapsed:?}");
        assert!(elapsed.is_some(), "{count} VMs");
    }
}

#[test]
fn all_vms_are_alive_after_a_minute_without_faults() {
    let mut cluster = Cluster::start(20);
    cluster.run(Duration::from_secs(60));
    for subject in 0..20 {
        assert!(cluster.all_see(subject, MemberState::Alive));
    }
}

#[test]
fn two_vms_with_a_cut_link_do_not_count_as_dead() {
    let mut cluster = Cluster::start(5);
    cluster.run(Duration::from_secs(5));
    cluster.cut_links.extend([(0, 1), (1, 0)]);
    for _ in 0..300 {
        cluster.run(Duration::from_millis(100));
        for (observer, subject) in [(0, 1), (1, 0), (2, 0), (3, 1)] {
            let state = cluster
                .observed_state(observer, subject)
                .map(|(_, state)| state);
            assert_ne!(
                state,
                Some(MemberState::Dead),
                "VM {observer} sees VM {subject} as dead"
            );
        }
    }
}

#[test]
fn a_frozen_vm_counts_as_dead_and_is_alive_after_it_resumes() {
    let mut cluster = Cluster::start(5);
    cluster.run(Duration::from_secs(5));
    cluster.frozen.insert(2);
    cluster.run(Duration::from_secs(30));
    assert!(cluster.all_see(2, MemberState::Dead));
    cluster.frozen.remove(&2);
    let elapsed = cluster.run_until(Duration::from_secs(3), |cluster| {
        cluster.all_see(2, MemberState::Alive)
    });
    println!("all observe it alive {elapsed:?} after it resumed");
    assert!(elapsed.is_some());
    for subject in [0, 1, 3, 4] {
        assert_eq!(
            cluster.observed_state(2, subject).map(|(_, state)| state),
            Some(MemberState::Alive)
        );
    }
}

#[test]
fn a_restarted_vm_is_alive_under_its_new_incarnation() {
    let mut cluster = Cluster::start(7);
    cluster.run(Duration::from_secs(5));
    cluster.dead.insert(3);
    cluster.run(Duration::from_secs(5));
    cluster.restart(3, 99);
    let renewed = (Some(Incarnation(99)), MemberState::Alive);
    let elapsed = cluster.run_until(Duration::from_secs(3), |cluster| {
        (0..7)
            .filter(|observer| *observer != 3)
            .all(|observer| cluster.observed_state(observer, 3) == Some(renewed))
    });
    println!("all observe the new incarnation after {elapsed:?}");
    assert!(elapsed.is_some());
    cluster.run(Duration::from_secs(30));
    assert!((0..7).all(|observer| cluster.observed_state(observer, 3) == Some(renewed)));
}

#[test]
fn peers_observe_a_draining_vm_as_leaving_after_one_message() {
    let mut cluster = Cluster::start(7);
    cluster.run(Duration::from_secs(5));
    cluster.apply(4, Event::Terminate);
    cluster.run(Duration::from_millis(3));
    assert!(cluster.all_see(4, MemberState::Leaving));
    cluster.dead.insert(4);
    let elapsed = cluster.run_until(DEATH_KNOWN_WITHIN, |cluster| {
        cluster.all_see(4, MemberState::Dead)
    });
    assert!(elapsed.is_some());
}

/// Limit on the control traffic that one VM sends, in bytes per second.
const MAX_BYTES_PER_S: u64 = 7_000;

#[test]
fn probe_traffic_stays_bounded_as_the_number_of_vms_grows() {
    let seconds = 60;
    for count in [3, 7, 20, 50] {
        let mut cluster = Cluster::start(count);
        cluster.run(Duration::from_secs(10));
        for vm in &mut cluster.vms {
            (vm.sent_messages, vm.sent_bytes) = (0, 0);
        }
        cluster.dead.insert(0);
        cluster.run(Duration::from_secs(seconds));
        let max_of =
            |counter: fn(&crate::cluster::ClusterVm) -> u64| cluster.vms.iter().map(counter).max();
        let bytes = max_of(|vm| vm.sent_bytes).unwrap_or_default() / seconds;
        let messages = max_of(|vm| vm.sent_messages).unwrap_or_default() / seconds;
        println!("{count} VMs: at most {bytes} B/s and {messages} messages/s sent by one VM");
        assert!(bytes < MAX_BYTES_PER_S);
    }
}
