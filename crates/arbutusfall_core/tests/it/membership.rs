//! Probes between several nodes: death, false suspicion, restart, leaving, and their cost.

use std::time::Duration;

use arbutusfall_core::Event;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberState;

use crate::nodes::Nodes;

/// Time in which every VM must know that another is dead.
const DEATH_KNOWN_WITHIN: Duration = Duration::from_secs(3);

#[test]
fn a_death_is_known_everywhere_within_seconds() {
    for count in [3, 7, 20, 50] {
        let mut nodes = Nodes::start(count);
        nodes.run(Duration::from_secs(10));
        nodes.dead.insert(1);
        let took = nodes.run_until(DEATH_KNOWN_WITHIN, |nodes| {
            nodes.all_see(1, MemberState::Dead)
        });
        println!("{count} VMs: death known everywhere after {took:?}");
        assert!(took.is_some(), "{count} VMs");
    }
}

#[test]
fn nobody_is_suspected_without_a_fault() {
    let mut nodes = Nodes::start(20);
    nodes.run(Duration::from_secs(60));
    for of in 0..20 {
        assert!(nodes.all_see(of, MemberState::Alive));
    }
}

#[test]
fn a_cut_between_two_vms_makes_neither_dead() {
    let mut nodes = Nodes::start(5);
    nodes.run(Duration::from_secs(5));
    nodes.cut.extend([(0, 1), (1, 0)]);
    for _ in 0..300 {
        nodes.run(Duration::from_millis(100));
        for (by, of) in [(0, 1), (1, 0), (2, 0), (3, 1)] {
            let seen = nodes.seen(by, of).map(|(_, state)| state);
            assert_ne!(seen, Some(MemberState::Dead), "{by} of {of}");
        }
    }
}

#[test]
fn a_frozen_vm_is_dead_and_alive_again_after_the_thaw() {
    let mut nodes = Nodes::start(5);
    nodes.run(Duration::from_secs(5));
    nodes.frozen.insert(2);
    nodes.run(Duration::from_secs(30));
    assert!(nodes.all_see(2, MemberState::Dead));
    nodes.frozen.remove(&2);
    let took = nodes.run_until(Duration::from_secs(3), |nodes| {
        nodes.all_see(2, MemberState::Alive)
    });
    println!("alive again everywhere {took:?} after the thaw");
    assert!(took.is_some());
    for of in [0, 1, 3, 4] {
        assert_eq!(
            nodes.seen(2, of).map(|(_, state)| state),
            Some(MemberState::Alive)
        );
    }
}

#[test]
fn a_restarted_vm_is_alive_under_its_new_incarnation() {
    let mut nodes = Nodes::start(7);
    nodes.run(Duration::from_secs(5));
    nodes.dead.insert(3);
    nodes.run(Duration::from_secs(5));
    nodes.restart(3, 99);
    let renewed = (Some(Incarnation(99)), MemberState::Alive);
    let took = nodes.run_until(Duration::from_secs(3), |nodes| {
        (0..7)
            .filter(|by| *by != 3)
            .all(|by| nodes.seen(by, 3) == Some(renewed))
    });
    println!("new incarnation known everywhere after {took:?}");
    assert!(took.is_some());
    nodes.run(Duration::from_secs(30));
    assert!((0..7).all(|by| nodes.seen(by, 3) == Some(renewed)));
}

#[test]
fn a_draining_vm_is_leaving_at_its_peers_after_one_message() {
    let mut nodes = Nodes::start(7);
    nodes.run(Duration::from_secs(5));
    nodes.apply(4, Event::Terminate);
    nodes.run(Duration::from_millis(3));
    assert!(nodes.all_see(4, MemberState::Leaving));
    nodes.dead.insert(4);
    let took = nodes.run_until(DEATH_KNOWN_WITHIN, |nodes| {
        nodes.all_see(4, MemberState::Dead)
    });
    assert!(took.is_some());
}

/// Control traffic that a VM may cause, in bytes a second.
const MAX_BYTES_PER_S: u64 = 7_000;

#[test]
fn the_cost_of_probes_does_not_grow_with_the_number_of_vms() {
    let seconds = 60;
    for count in [3, 7, 20, 50] {
        let mut nodes = Nodes::start(count);
        nodes.run(Duration::from_secs(10));
        for peer in &mut nodes.peers {
            (peer.sent_messages, peer.sent_bytes) = (0, 0);
        }
        nodes.dead.insert(0);
        nodes.run(Duration::from_secs(seconds));
        let most = |of: fn(&crate::nodes::Peer) -> u64| nodes.peers.iter().map(of).max();
        let bytes = most(|peer| peer.sent_bytes).unwrap_or_default() / seconds;
        let messages = most(|peer| peer.sent_messages).unwrap_or_default() / seconds;
        println!("{count} VMs: at most {bytes} B/s and {messages} messages/s sent by one VM");
        assert!(bytes < MAX_BYTES_PER_S);
    }
}
