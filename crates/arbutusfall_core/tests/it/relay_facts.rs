//! Facts of the store that VMs pass on to each other: whom a VM follows, and what it can pass on.

use std::time::Duration;

use arbutusfall_core::relay::FactLog;
use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::FactRecord;
use arbutusfall_core::relay::FactSource;
use arbutusfall_core::relay::FactSpan;
use arbutusfall_core::relay::FactTimes;
use arbutusfall_core::relay::FollowOutcome;
use arbutusfall_core::relay::NextFacts;
use arbutusfall_core::relay::PeerAddress;
use arbutusfall_core::relay::VmStrength;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;

use crate::relay_harness::ms;

const DATA_CENTRE: &str = "plovdiv-a";

/// Strength of a VM as another one, or itself, knows it: of the numbers, the first is that of the VM that knows it.
pub(crate) type KnownStrength = fn(usize, usize) -> VmStrength;

/// Returns where a VM takes connections of others.
pub(crate) fn peer_address(number: usize, data_centre: &str) -> PeerAddress {
    PeerAddress {
        address: ([10, 0, 0, 1], 1_000 + number as u16).into(),
        data_centre: data_centre.into(),
        strength: VmStrength::default(),
    }
}

/// Returns the name of a VM.
pub(crate) fn vm_name(number: usize) -> Name {
    format!("front-{number}").as_str().into()
}

/// Returns the sources of VMs of one data centre that all know each other.
fn sources(count: usize) -> Vec<FactSource> {
    let new = |number| {
        let mut source =
            FactSource::new(vm_name(number), DATA_CENTRE.into(), VmStrength::default());
        for other in (0..count).filter(|other| *other != number) {
            source.on_peer(&vm_name(other), Some(&peer_address(other, DATA_CENTRE)));
        }
        source
    };
    (0..count).map(new).collect()
}

fn followed(source: &mut FactSource, now: Duration) -> Option<Name> {
    match source.next(now) {
        NextFacts::Follow { vm, .. } => Some(vm),
        NextFacts::ReadStore { .. } => None,
    }
}

// Guards against VMs that follow each other in a circle, and against more than one that reads the store.
#[test]
fn all_vms_of_a_data_centre_follow_the_same_one() {
    let mut sources = sources(33);
    let chosen: Vec<Option<Name>> = sources
        .iter_mut()
        .map(|source| followed(source, ms(0)))
        .collect();
    let readers: Vec<usize> = (0..33).filter(|number| chosen[*number].is_none()).collect();
    assert_eq!(readers.len(), 1, "{readers:?}");
    let reader = Some(vm_name(readers[0]));
    assert_eq!(chosen.iter().filter(|vm| **vm == reader).count(), 32);
}

/// Returns the strength with this many thousandths of a core and Mbit/s.
pub(crate) fn strength(cpu_milli: u32, link_mbps: u32) -> VmStrength {
    VmStrength {
        cpu_milli: Some(cpu_milli),
        link_mbps: Some(link_mbps),
    }
}

// Guards against a weak VM that reads the store for strong ones, and against VMs of older builds, which state no strength, that do.
#[test]
fn stronger_vms_are_followed_first_and_those_of_unknown_strength_last() {
    let known = [
        strength(90, 10),
        VmStrength::default(),
        strength(500, 200),
        strength(300, 25),
        strength(90, 10),
    ];
    let order = |number: usize| {
        let mut source = FactSource::new(vm_name(number), DATA_CENTRE.into(), known[number]);
        for other in (0..known.len()).filter(|other| *other != number) {
            let mut address = peer_address(other, DATA_CENTRE);
            address.strength = known[other];
            source.on_peer(&vm_name(other), Some(&address));
        }
        let mut order = Vec::new();
        // A VM that failed is asked again after 1 s.
        for at in [0, 250, 500, 750].map(ms) {
            if let Some(vm) = followed(&mut source, at) {
                source.on_outcome(&vm, FollowOutcome::Failed, at);
                order.push(vm);
            }
        }
        order
    };
    assert!(order(2).is_empty());
    assert_eq!(order(3), [vm_name(2)]);
    let above_last = order(1);
    assert_eq!(above_last[..2], [vm_name(2), vm_name(3)]);
    assert_eq!(above_last.len(), 4);
}

// Guards against VMs that all read the store because the records of VMs that were removed rank first.
#[test]
fn fourth_vm_is_followed_if_the_first_three_are_gone() {
    let mut source = FactSource::new("own".into(), DATA_CENTRE.into(), strength(90, 10));
    for number in 0..4 {
        let mut address = peer_address(number, DATA_CENTRE);
        address.strength = if number < 3 {
            strength(500, 200)
        } else {
            strength(300, 25)
        };
        source.on_peer(&vm_name(number), Some(&address));
    }
    for at in [0, 250, 500].map(ms) {
        let gone = followed(&mut source, at).expect("a VM is asked");
        assert_ne!(gone, vm_name(3));
        source.on_outcome(&gone, FollowOutcome::Failed, at);
    }
    assert_eq!(followed(&mut source, ms(750)), Some(vm_name(3)));
}

// Guards against an order that remains as it was when a VM starts again with another strength.
#[test]
fn changed_strength_of_a_vm_changes_its_place() {
    let mut source = FactSource::new(vm_name(0), DATA_CENTRE.into(), strength(300, 25));
    let mut address = peer_address(1, DATA_CENTRE);
    address.strength = strength(90, 10);
    source.on_peer(&vm_name(1), Some(&address));
    assert_eq!(followed(&mut source, ms(0)), None);
    address.strength = strength(500, 200);
    source.on_peer(&vm_name(1), Some(&address));
    assert_eq!(followed(&mut source, ms(0)), Some(vm_name(1)));
    source.on_outcome(&vm_name(1), FollowOutcome::Passed, ms(10));
    address.strength = VmStrength::default();
    source.on_peer(&vm_name(1), Some(&address));
    assert!(source.reads_store());
}

// Guards against bytes between data centres: a VM of another one is not followed.
#[test]
fn vm_of_another_data_centre_is_not_followed() {
    for number in 1..20 {
        let mut source = FactSource::new(vm_name(0), DATA_CENTRE.into(), VmStrength::default());
        source.on_peer(&vm_name(number), Some(&peer_address(number, "haskovo")));
        assert_eq!(followed(&mut source, ms(0)), None);
    }
}

/// Returns the source of a VM below the others and the VMs above it, in order.
fn lowest_of(count: usize) -> (FactSource, Vec<Name>) {
    let mut sources = sources(count);
    let order = |source: &mut FactSource| {
        let mut order = Vec::new();
        while let Some(vm) = followed(source, ms(order.len() as u64 * 300)) {
            let at = ms(order.len() as u64 * 300);
            source.on_outcome(&vm, FollowOutcome::Failed, at);
            order.push(vm);
            if order.len() == 3 {
                break;
            }
        }
        order
    };
    let lowest = (0..count).max_by_key(|number| {
        let mut source = sources[*number].clone();
        order(&mut source).len()
    });
    let mut source = sources.swap_remove(lowest.expect("there are VMs"));
    let order = order(&mut source.clone());
    source.next(ms(0));
    (source, order)
}

// Guards against a VM that goes on following one that does not answer, and against one that never tries it again.
#[test]
fn vm_that_does_not_answer_is_replaced_by_the_next_and_tried_again() {
    let (mut source, order) = lowest_of(6);
    source.on_outcome(&order[0], FollowOutcome::Passed, ms(100));
    assert!(!source.reads_store());
    source.on_outcome(&order[0], FollowOutcome::Failed, ms(200));
    assert!(source.reads_store());
    // Questions to VMs that have passed nothing on are spaced.
    assert_eq!(followed(&mut source, ms(210)), None);
    assert_eq!(followed(&mut source, ms(500)), Some(order[1].clone()));
    source.on_outcome(&order[1], FollowOutcome::Passed, ms(510));
    assert_eq!(followed(&mut source, ms(600)), Some(order[1].clone()));
    assert_eq!(followed(&mut source, ms(1_300)), Some(order[0].clone()));
    // It is only tried: the one that is followed stays.
    source.on_outcome(&order[0], FollowOutcome::Failed, ms(1_400));
    assert_eq!(source.followed(), Some(&order[1]));
    assert_eq!(followed(&mut source, ms(1_410)), Some(order[1].clone()));
}

// Guards against questions without an end to VMs that were removed.
#[test]
fn removed_vms_are_asked_ever_more_seldom() {
    let (mut source, _) = lowest_of(4);
    let mut now = ms(0);
    let mut questions = 0;
    while now < Duration::from_secs(120) {
        if let Some(vm) = followed(&mut source, now) {
            questions += 1;
            source.on_outcome(&vm, FollowOutcome::Failed, now);
        }
        now += ms(50);
    }
    assert!(
        questions <= 40,
        "{questions} questions to three VMs in 120 s"
    );
}

fn position(offset: u64, era: u64) -> FactPosition {
    FactPosition {
        offset: Offset(offset),
        era: Some(era),
    }
}

/// Returns a span of records with these keys.
pub(crate) fn span(from: FactPosition, next: u64, records: &[(u64, &str)]) -> FactSpan {
    let record = |(offset, key): &(u64, &str)| FactRecord {
        offset: Offset(*offset),
        key: (*key).into(),
        value: Some(format!("{key}@{offset}").as_bytes().into()),
    };
    FactSpan {
        from,
        next: Offset(next),
        records: records.iter().map(record).collect(),
    }
}

fn offsets(span: &FactSpan) -> Vec<u64> {
    span.records.iter().map(|record| record.offset.0).collect()
}

// Guards against records that a follower misses between two parts, and against a part without any record.
#[test]
fn parts_of_a_span_make_up_the_whole() {
    let mut log = FactLog::default();
    log.restart(position(10, 1));
    let records = [(11, "a"), (14, "b"), (15, "a"), (17, "c"), (18, "d")];
    log.append(span(position(10, 1), 20, &records));
    for max_bytes in [5, 9, 10, 1_000] {
        let (mut from, mut passed) = (position(10, 1), Vec::new());
        loop {
            let mut part = log.since(from).expect("it is known");
            let has_more = part.truncate(max_bytes);
            assert!(!part.records.is_empty(), "{max_bytes}");
            passed.extend(offsets(&part));
            from.offset = part.next;
            if !has_more {
                break;
            }
        }
        assert_eq!(passed, [14, 15, 17, 18], "{max_bytes}");
        assert_eq!(from.offset, Offset(20), "{max_bytes}");
    }
}

// Guards against followers that read the store between two parts, and against parts that replace its reads for ever.
#[test]
fn parts_replace_reads_of_the_store_for_a_limited_time() {
    let times = FactTimes { wait: ms(2_200) };
    let fresh_until = times.fresh_until(ms(1_000));
    assert_eq!(fresh_until, ms(3_800));
    let until = |now_ms| times.fresh_until_next_part(ms(1_000), ms(now_ms));
    assert_eq!(until(1_500), fresh_until);
    assert_eq!(until(3_500), ms(4_500));
    assert_eq!(until(9_000), ms(6_600));
}

// Guards against records that a follower misses because it has read a part of a span itself, and against old ones.
#[test]
fn follower_gets_the_newest_record_of_each_key_after_its_position() {
    let mut log = FactLog::default();
    log.restart(position(10, 1));
    log.append(span(position(10, 1), 20, &[(11, "a"), (15, "b")]));
    log.append(span(position(20, 1), 30, &[(22, "a"), (29, "c")]));
    let since = |offset| log.since(position(offset, 1)).expect("it is known");
    assert_eq!(offsets(&since(10)), [15, 22, 29]);
    assert_eq!(offsets(&since(16)), [22, 29]);
    assert_eq!(offsets(&since(23)), [29]);
    assert_eq!(since(16).next, Offset(30));
    assert!(log.since(position(9, 1)).is_none());
}

// Guards against a follower that goes back: it may know more than the VM that it follows.
#[test]
fn follower_that_knows_more_keeps_its_position() {
    let mut log = FactLog::default();
    log.restart(position(10, 1));
    let since = log.since(position(25, 1)).expect("nothing is missing");
    assert_eq!((since.next, since.records.len()), (Offset(25), 0));
}

// Guards against facts of another era of the store, in which the same offset has another record.
#[test]
fn position_of_another_era_gets_nothing() {
    let mut log = FactLog::default();
    log.restart(position(10, 1));
    log.append(span(position(10, 1), 12, &[(11, "a")]));
    assert!(log.since(position(10, 2)).is_none());
    log.append(span(position(12, 2), 14, &[(13, "b")]));
    assert!(log.since(position(10, 1)).is_none());
    assert!(log.since(position(10, 2)).is_none());
    let since = log.since(position(12, 2)).expect("it is known");
    assert_eq!(offsets(&since), [13]);
}

// Guards against a log that grows without a bound, and against one that hides what it has dropped.
#[test]
fn log_drops_its_oldest_records_and_says_so() {
    let mut log = FactLog::default();
    log.restart(position(0, 1));
    for offset in 0..10_000 {
        let key = format!("key-{offset}");
        log.append(span(position(offset, 1), offset + 1, &[(offset, &key)]));
    }
    assert!(log.since(position(100, 1)).is_none());
    let since = log.since(position(9_000, 1)).expect("it is known");
    assert_eq!(since.records.len(), 1_000);
}
