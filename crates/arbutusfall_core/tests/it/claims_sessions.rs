//! The main paths of non-idempotent calls, as golden files.

use std::time::Duration;

use arbutusfall_core::Event;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::TellOutcome;

use crate::claims_steps::OTHER;
use crate::claims_steps::OWN;
use crate::claims_steps::answered;
use crate::claims_steps::append_failed;
use crate::claims_steps::appended;
use crate::claims_steps::booked;
use crate::claims_steps::call;
use crate::claims_steps::call_of;
use crate::claims_steps::claim;
use crate::claims_steps::first_call;
use crate::claims_steps::from_other;
use crate::claims_steps::key;
use crate::claims_steps::key_made_at;
use crate::claims_steps::outcome;
use crate::claims_steps::read;
use crate::claims_steps::read_failed;
use crate::claims_steps::request;
use crate::claims_steps::service_failed;
use crate::session::STARTED_AT;
use crate::session::Session;

fn alone() -> Session {
    Session::serving(OWN, &[OWN])
}

fn pass(session: &mut Session, millis: u64) {
    session.advance(Duration::from_millis(millis));
}

#[test]
fn won_dispatched_and_answered() {
    let mut session = alone();
    session.apply(first_call(1));
    pass(&mut session, 5);
    session.apply(appended(1));
    pass(&mut session, 2);
    session.apply(read(0, &[claim(OWN, request(7, 1))]));
    pass(&mut session, 30);
    session.apply(answered(1, 1));
    pass(&mut session, 5);
    session.apply(appended(2));
    session.apply(call(2));
    insta::assert_snapshot!(session.golden());
}

#[test]
fn lost_to_a_claim_with_an_outcome() {
    let mut session = alone();
    session.apply(call(1));
    session.apply(appended(1));
    let records = [
        claim(OTHER, request(8, 4)),
        outcome(request(8, 4), booked()),
        claim(OWN, request(7, 1)),
    ];
    session.apply(read(0, &records));
    insta::assert_snapshot!(session.golden());
}

#[test]
fn lost_and_told_by_the_holder() {
    let mut session = alone();
    session.apply(call(1));
    session.apply(appended(1));
    session.apply(read(0, &[claim(OTHER, request(8, 4))]));
    pass(&mut session, 40);
    session.apply(from_other(PeerMessage::TellOutcome(TellOutcome {
        key: key(),
        asker: request(7, 1),
        outcome: booked(),
    })));
    insta::assert_snapshot!(session.golden());
}

#[test]
fn unknown_after_the_service_went_silent() {
    let mut session = alone();
    session.apply(call(1));
    session.apply(appended(1));
    session.apply(read(0, &[claim(OWN, request(7, 1))]));
    pass(&mut session, 2_000);
    session.apply(service_failed(1, 1, true));
    session.apply(call(2));
    insta::assert_snapshot!(session.golden());
}

#[test]
fn not_run_when_no_endpoint_can_be_reached() {
    let mut session = alone();
    session.apply(call(1));
    session.apply(appended(1));
    session.apply(read(0, &[claim(OWN, request(7, 1))]));
    for attempt in 1..=3 {
        pass(&mut session, 5);
        session.apply(service_failed(1, attempt, false));
    }
    session.apply(call(2));
    insta::assert_snapshot!(session.golden());
}

#[test]
fn log_down_then_up() {
    let mut session = alone();
    session.apply(first_call(1));
    session.apply(append_failed(1, false));
    session.apply(call(2));
    pass(&mut session, 200);
    session.apply(Event::Tick);
    session.apply(read_failed());
    pass(&mut session, 400);
    session.apply(Event::Tick);
    session.apply(read(0, &[]));
    session.apply(call(3));
    insta::assert_snapshot!(session.golden());
}

#[test]
fn keys_that_cannot_be_claimed() {
    let mut session = alone();
    let minute = Duration::from_secs(60);
    let future = key_made_at(STARTED_AT + minute, 1).to_string();
    let old = key_made_at(STARTED_AT - 24 * 60 * minute - minute, 1).to_string();
    let version_4 = uuid::Uuid::from_u128(4 << 76 | 2 << 62).to_string();
    for (number, text) in [&future, &old, &version_4, "order 4711"].iter().enumerate() {
        session.apply(Event::ServiceCall(call_of(number as u64, text, None)));
    }
    let mut without = call_of(9, "", None);
    without.idempotency_key = None;
    session.apply(Event::ServiceCall(without));
    insta::assert_snapshot!(session.golden());
}

#[test]
fn outcome_of_a_lost_holder_comes_from_the_log() {
    let mut session = alone();
    session.apply(call(1));
    session.apply(appended(1));
    session.apply(read(0, &[claim(OTHER, request(8, 4))]));
    session.apply(from_other(PeerMessage::TellOutcome(TellOutcome {
        key: key(),
        asker: request(7, 1),
        outcome: Outcome::Unknown,
    })));
    session.apply(read(1, &[outcome(request(8, 4), booked())]));
    insta::assert_snapshot!(session.golden());
}
