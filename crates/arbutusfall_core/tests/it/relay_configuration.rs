//! Log lines and status of the configuration: what tells a late, an ignored and an overdue one apart.

use std::sync::Arc;

use arbutusfall_core::config::Semantics;
use arbutusfall_core::relay::ConfigStatus;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::endpoints;
use crate::relay_harness::ms;
use crate::relay_harness::route;
use crate::relay_harness::routes;

fn config_read(failure: Option<StoreReadFailure>) -> RelayEvent {
    RelayEvent::StoreRead {
        topic: StoreTopic::Config,
        failure,
    }
}

/// Takes the log lines with this name from the effects.
fn take_notices(harness: &mut RelayHarness, name: &str) -> Vec<RelayNotice> {
    let effects = std::mem::take(&mut harness.effects);
    let notices = effects.into_iter().filter_map(|effect| match effect {
        RelayEffect::Note(notice) if notice.name() == name => Some(notice),
        _ => None,
    });
    notices.collect()
}

#[test]
fn late_version_is_logged_with_the_time_without_a_read() {
    let mut harness = RelayHarness::configured(1);
    harness.apply(config_read(None));
    harness.advance(ms(3_000));
    harness.apply(config_read(Some(StoreReadFailure::Silent)));
    let store = take_notices(&mut harness, "store");
    let expected = RelayNotice::Store {
        topic: StoreTopic::Config,
        reachable: false,
        reason: Some(StoreReadFailure::Silent),
        unread_ms: Some(3_000),
    };
    assert_eq!(store, [expected]);
    harness.advance(ms(500));
    harness.apply(config_read(None));
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(4))));
    let in_force = take_notices(&mut harness, "config_in_force");
    let expected = RelayNotice::ConfigInForce {
        version: 4,
        routes: 4,
        replaced_version: Some(1),
        unread_ms: Some(3_500),
    };
    assert_eq!(in_force, [expected]);
}

#[test]
fn older_and_malformed_versions_are_logged_as_ignored() {
    let mut harness = RelayHarness::configured(1);
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(4))));
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(4))));
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(3))));
    harness.apply(RelayEvent::UnreadableConfig);
    let ignored = take_notices(&mut harness, "config_ignored");
    let expected = [(Some(3), "older"), (None, "malformed")].map(|(version, reason)| {
        RelayNotice::ConfigIgnored {
            version,
            in_force: Some(4),
            reason,
        }
    });
    assert_eq!(ignored, expected);
}

#[test]
fn status_shows_the_version_and_the_time_since_the_last_read() {
    let mut harness = RelayHarness::configured(1);
    harness.apply(config_read(None));
    harness.advance(ms(700));
    harness.apply(config_read(Some(StoreReadFailure::Silent)));
    let status = ConfigStatus {
        version: 1,
        routes: 4,
        unread_for: ms(700),
    };
    assert_eq!(harness.relay.config_status(harness.now), Some(status));
}

#[test]
fn ended_request_is_logged_with_version_and_added_route() {
    let mut harness = RelayHarness::configured(1);
    let mut newer = routes(2);
    newer
        .routes
        .push(route("/added/", "nobody", Semantics::Idempotent));
    harness.apply(RelayEvent::NewConfig(Arc::new(newer)));
    harness.apply(RelayEvent::EndpointChanges(endpoints()));
    harness.effects.clear();
    for path in ["/added/1", "/missing/1"] {
        harness.submit(path);
    }
    let given_up = take_notices(&mut harness, "given_up");
    let seen: Vec<_> = given_up.iter().map(route_and_version).collect();
    let expected = [(Some("/added/"), true, Some(2)), (None, false, Some(2))];
    assert_eq!(seen, expected);
}

fn route_and_version(notice: &RelayNotice) -> (Option<&str>, bool, Option<u64>) {
    match notice {
        RelayNotice::GivenUp {
            route,
            is_added_route,
            config_version,
            ..
        } => (route.as_deref(), *is_added_route, *config_version),
        other => panic!("{other:?}"),
    }
}

#[test]
fn timed_out_request_is_logged_with_its_lateness() {
    let mut harness = RelayHarness::configured(1);
    harness.submit_with_timeout("/pay/1", ms(1_000));
    // The process is held up beyond the deadline.
    harness.now += ms(1_700);
    harness.apply(RelayEvent::Tick);
    let given_up = take_notices(&mut harness, "given_up");
    let lateness: Vec<_> = given_up.iter().map(lateness).collect();
    assert_eq!(lateness, [("timeout", 700)]);
}

fn lateness(notice: &RelayNotice) -> (&'static str, u64) {
    match notice {
        RelayNotice::GivenUp {
            reason, late_ms, ..
        } => (reason, *late_ms),
        other => panic!("{other:?}"),
    }
}
