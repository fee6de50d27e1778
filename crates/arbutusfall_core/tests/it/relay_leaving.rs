//! Endpoints that say in their answers that they leave.

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SendPermission;
use arbutusfall_core::relay::Work;

use crate::relay_harness::MAX_LIST_AGE;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::store_read;

fn says_leaving(harness: &mut RelayHarness, instance: &str) {
    let instance = instance.into();
    harness.apply(RelayEvent::EndpointLeaves { instance });
}

/// Lists a run of an endpoint's process as ready.
fn list(harness: &mut RelayHarness, instance: &str, started_unix_ms: Option<u64>) {
    let mut entry = listed(instance, "shop", Role::Plain);
    entry.started_unix_ms = started_unix_ms;
    let changes = vec![EndpointListChange::Listed(entry)];
    harness.apply(RelayEvent::EndpointChanges(changes));
}

fn is_used(harness: &mut RelayHarness, instance: &str) -> bool {
    let mut is_used = false;
    for _ in 0..20 {
        harness.submit("/look/1");
        for sent in harness.take_sends() {
            is_used |= &*sent.instance == instance;
            let complete = ExchangeEvent::Complete { status: 200 };
            harness.deliver(sent.exchange, complete);
        }
    }
    is_used
}

// Guards against heartbeats, or an outage of the store, that make a leaving endpoint ready again.
#[test]
fn endpoint_that_says_it_leaves_stays_leaving_while_it_is_listed_as_ready() {
    for started in [None, Some(7)] {
        let mut harness = RelayHarness::configured(1);
        list(&mut harness, "shop-1", started);
        assert!(is_used(&mut harness, "shop-1"));
        says_leaving(&mut harness, "shop-1");
        for _ in 0..100 {
            harness.advance(ms(1_200));
            list(&mut harness, "shop-1", started);
            assert!(!is_used(&mut harness, "shop-1"));
        }
        let instance = "shop-1".into();
        let removed = vec![EndpointListChange::Removed { instance }];
        harness.apply(RelayEvent::EndpointChanges(removed));
        harness.advance(ms(3_000));
        list(&mut harness, "shop-1", started);
        assert!(!is_used(&mut harness, "shop-1"));
    }
}

// Guards against a new run of an endpoint's process that is taken for the one that left.
#[test]
fn endpoint_that_starts_again_is_used_again() {
    let mut harness = RelayHarness::configured(1);
    says_leaving(&mut harness, "shop-1");
    assert!(!is_used(&mut harness, "shop-1"));
    list(&mut harness, "shop-1", Some(2));
    assert!(is_used(&mut harness, "shop-1"));
}

// Guards against a store that returns from an older copy and makes an endpoint ready again that was removed before it said that it
// leaves.
#[test]
fn endpoint_that_says_it_leaves_after_its_removal_stays_leaving() {
    let mut harness = RelayHarness::configured(1);
    let instance = "shop-1".into();
    let removed = vec![EndpointListChange::Removed { instance }];
    harness.apply(RelayEvent::EndpointChanges(removed));
    says_leaving(&mut harness, "shop-1");
    list(&mut harness, "shop-1", Some(1));
    assert!(!is_used(&mut harness, "shop-1"));
    list(&mut harness, "shop-1", Some(2));
    assert!(is_used(&mut harness, "shop-1"));
}

// Guards against a process that stays in use although it leaves: it said so for the first time before its entry was read, so that the
// notice counts for the process before.
#[test]
fn process_that_says_it_leaves_before_its_entry_is_read_is_left_at_its_next_answer() {
    let mut harness = RelayHarness::configured(1);
    says_leaving(&mut harness, "shop-1");
    list(&mut harness, "shop-1", Some(2));
    let first = loop {
        harness.submit("/look/1");
        let sent = harness.take_only_send();
        if &*sent.instance == "shop-1" {
            break sent;
        }
        let complete = ExchangeEvent::Complete { status: 200 };
        harness.deliver(sent.exchange, complete);
    };
    harness.deliver(first.exchange, ExchangeEvent::Leaving);
    let complete = ExchangeEvent::Complete { status: 200 };
    harness.deliver(first.exchange, complete);
    for _ in 0..10 {
        assert!(!is_used(&mut harness, "shop-1"));
        harness.advance(ms(1_200));
        list(&mut harness, "shop-1", Some(2));
    }
}

// Guards against another writer's entry, without the start of the process, that makes a leaving endpoint ready again.
#[test]
fn entry_that_does_not_say_when_the_process_started_makes_no_leaving_endpoint_ready() {
    let mut harness = RelayHarness::configured(1);
    let leaving = ListedEndpoint {
        is_leaving: true,
        ..listed("shop-1", "shop", Role::Plain)
    };
    let changes = vec![EndpointListChange::Listed(leaving)];
    harness.apply(RelayEvent::EndpointChanges(changes));
    list(&mut harness, "shop-1", None);
    assert!(!is_used(&mut harness, "shop-1"));
}

/// What becomes of an endpoint between its selection and the request's dispatch.
#[derive(Debug, Clone, Copy)]
enum EndpointChange {
    ListedAsLeaving,
    SaysLeaving,
    Removed,
    StartedAgain,
    AddressTaken,
    Rests,
}

fn change_endpoint(harness: &mut RelayHarness, sent: &SendCommand, change: EndpointChange) {
    let instance = sent.instance.clone();
    let (service, role) = match sent.work {
        Work::Plain => ("shop", Role::Plain),
        Work::Prefill => ("model", Role::Prefill),
        _ => ("model", Role::Decode),
    };
    let entry = listed(&instance, service, role);
    let changed = match change {
        EndpointChange::SaysLeaving => return says_leaving(harness, &instance),
        EndpointChange::Rests => {
            let rest = ms(1_000);
            return harness.apply(RelayEvent::ControlRest { instance, rest });
        }
        EndpointChange::Removed => EndpointListChange::Removed { instance },
        EndpointChange::ListedAsLeaving => EndpointListChange::Listed(ListedEndpoint {
            is_leaving: true,
            ..entry
        }),
        EndpointChange::StartedAgain => EndpointListChange::Listed(ListedEndpoint {
            started_unix_ms: Some(2),
            ..entry
        }),
        EndpointChange::AddressTaken => EndpointListChange::Listed(ListedEndpoint {
            address: ([10, 0, 0, 9], 9).into(),
            ..entry
        }),
    };
    harness.apply(RelayEvent::EndpointChanges(vec![changed]));
}

// Guards against a request that reaches an engine seconds after its notice, because memory was reserved there before: the prompt may
// be read for longer than an engine that leaves goes on.
#[test]
fn request_goes_to_another_engine_if_the_one_with_its_reservation_cannot_take_it_any_more() {
    for change in [
        EndpointChange::ListedAsLeaving,
        EndpointChange::SaysLeaving,
        EndpointChange::Removed,
        EndpointChange::StartedAgain,
        EndpointChange::AddressTaken,
    ] {
        let mut harness = RelayHarness::configured(1);
        harness.submit("/stream/1");
        let reserve = harness.take_only_send();
        let reservation = "reservation".into();
        harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
        let prefill = harness.take_only_send();
        change_endpoint(&mut harness, &reserve, change);
        let handle = "handle".into();
        harness.deliver(prefill.exchange, ExchangeEvent::PrefillDone { handle });
        let second = harness.take_only_send();
        assert!(
            matches!(second.work, Work::Reserve { .. }),
            "{change:?}: {second:?}"
        );
        let reservation = "second".into();
        harness.deliver(second.exchange, ExchangeEvent::Reserved { reservation });
        let decode = harness.take_only_send();
        let Work::Decode { source, .. } = &decode.work else {
            panic!("{change:?}: {decode:?}");
        };
        assert!(source.is_some(), "{change:?}: the prefill is lost");
        let is_elsewhere = decode.instance != reserve.instance;
        let is_usable = matches!(
            change,
            EndpointChange::StartedAgain | EndpointChange::AddressTaken
        );
        assert!(is_elsewhere || is_usable, "{change:?}");
    }
}

/// Brings a request to each of its stages; returns the harness with the request's newest exchange.
fn requests_in_all_stages() -> Vec<(RelayHarness, SendCommand)> {
    let start = |path: &str, finished_stages: usize| {
        let mut harness = RelayHarness::configured(1);
        harness.submit(path);
        let mut sent = harness.take_only_send();
        for _ in 0..finished_stages {
            let event = match sent.work {
                Work::Reserve { .. } => ExchangeEvent::Reserved {
                    reservation: "reservation".into(),
                },
                _ => ExchangeEvent::PrefillDone {
                    handle: "handle".into(),
                },
            };
            harness.deliver(sent.exchange, event);
            sent = harness.take_only_send();
        }
        (harness, sent)
    };
    let streams = (0..3).map(|finished_stages| start("/stream/1", finished_stages));
    [start("/pay/1", 0)].into_iter().chain(streams).collect()
}

fn permission(harness: &mut RelayHarness, sent: &SendCommand) -> SendPermission {
    harness.permission(sent.exchange)
}

// Guards against a request that reaches an endpoint later than its notice, because a connection was being opened, or the process
// proved, when the notice came: it goes elsewhere, and counts as no attempt, no failure and no retry.
#[test]
fn request_whose_connection_is_open_after_the_notice_goes_to_another_endpoint() {
    for change in [
        EndpointChange::ListedAsLeaving,
        EndpointChange::SaysLeaving,
        EndpointChange::Removed,
        EndpointChange::StartedAgain,
        EndpointChange::Rests,
    ] {
        for (mut harness, sent) in requests_in_all_stages() {
            let context = format!("{change:?}, {:?}", sent.work);
            assert_eq!(
                permission(&mut harness, &sent),
                SendPermission::Granted,
                "{context}"
            );
            change_endpoint(&mut harness, &sent, change);
            assert_eq!(
                permission(&mut harness, &sent),
                SendPermission::Withdrawn,
                "{context}"
            );
            let failure = ExchangeFailure::Withdrawn;
            harness.effects.clear();
            harness.deliver(sent.exchange, ExchangeEvent::Failed { failure });
            let next = harness.take_only_send();
            let is_new_run = matches!(change, EndpointChange::StartedAgain);
            assert!(next.instance != sent.instance || is_new_run, "{context}");
            assert_eq!(
                permission(&mut harness, &next),
                SendPermission::Granted,
                "{context}"
            );
            // The exchange has ended.
            assert_eq!(
                permission(&mut harness, &sent),
                SendPermission::Withdrawn,
                "{context}"
            );
        }
    }
}

// Guards against requests that a VM sends after a standstill by the list that it read before, and against requests that wait for a
// list that can't be read.
#[test]
fn request_waits_for_an_overdue_list_only_while_the_list_can_be_read() {
    for (mut harness, sent) in requests_in_all_stages() {
        harness.apply(store_read(true));
        // The VM stands still: no timer is handled.
        harness.now += MAX_LIST_AGE;
        assert_eq!(permission(&mut harness, &sent), SendPermission::Granted);
        harness.now += ms(1);
        assert_eq!(permission(&mut harness, &sent), SendPermission::ListOverdue);
        harness.apply(store_read(false));
        assert_eq!(permission(&mut harness, &sent), SendPermission::Granted);
        harness.apply(store_read(true));
        assert_eq!(permission(&mut harness, &sent), SendPermission::Granted);
        harness.now += MAX_LIST_AGE + ms(1);
        change_endpoint(&mut harness, &sent, EndpointChange::ListedAsLeaving);
        assert_eq!(permission(&mut harness, &sent), SendPermission::Withdrawn);
    }
}

// Guards against a request that is refused although nothing was sent, because its only endpoint, which started again while its connection was
// opened, counts as one that has failed.
#[test]
fn request_that_was_withdrawn_from_a_process_goes_to_the_next_one() {
    let mut harness = RelayHarness::configured(1);
    let instance = "shop-2".into();
    let removed = vec![EndpointListChange::Removed { instance }];
    harness.apply(RelayEvent::EndpointChanges(removed));
    harness.submit("/pay/1");
    let sent = harness.take_only_send();
    change_endpoint(&mut harness, &sent, EndpointChange::StartedAgain);
    let failure = ExchangeFailure::Withdrawn;
    harness.deliver(sent.exchange, ExchangeEvent::Failed { failure });
    assert_eq!(harness.take_only_send().instance, sent.instance);
}
