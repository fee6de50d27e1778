//! Evidence of crashes that answers of the endpoint disprove, and evidence that they don't.

use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;

use crate::relay_crash_fixtures::read;
use crate::relay_crashing_parts::is_refused;
use crate::relay_crashing_site::failed;
use crate::relay_crashing_site::parts;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::ms;

/// Takes the records that a VM has appended.
fn take_appended(harness: &mut RelayHarness) -> Vec<SharedRecord> {
    let effects = std::mem::take(&mut harness.effects);
    let appended = effects.into_iter().filter_map(|effect| match effect {
        RelayEffect::AppendShared(records) => Some(records),
        _ => None,
    });
    let appended: Vec<SharedRecord> = appended.flatten().collect();
    harness.apply(RelayEvent::SharedAppended { succeeded: true });
    appended
}

// Guards against connections that are reset while their engine runs on.
#[test]
fn answer_of_the_engine_to_another_vm_disproves_its_end() {
    let mut harness = RelayHarness::configured(1);
    let mut other = RelayHarness::configured(2);
    for _ in 0..6 {
        harness.submit_with_parts("/stream/", parts(&["rare"]));
        let decode = harness.advance_to_decode();
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        harness.deliver(decode.exchange, failed());
        harness.advance(ms(200));
        let found = take_appended(&mut harness);
        assert!(!found.is_empty());
        read(&mut other, found);
        other.advance(ms(10));
        answer_at_both_engines(&mut other);
        other.advance(ms(300));
        read(&mut harness, take_appended(&mut other));
        harness.advance(ms(10_000));
        other.advance(ms(9_900));
    }
    assert!(!is_refused(&mut harness, &["rare"]));
}

/// Gives a VM's requests to both engines; each confirms a reservation.
fn answer_at_both_engines(harness: &mut RelayHarness) {
    for _ in 0..8 {
        let call = harness.submit("/stream/");
        let reserve = harness.take_only_send();
        let reservation = "reservation".into();
        harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
        harness.apply(RelayEvent::CallerGone { call });
        harness.take_sends();
    }
}

/// Why a VM learns of a crash when the engine may be back.
#[derive(Debug, Clone, Copy)]
enum Delay {
    /// The VM that saw it could not record it at once.
    FailedAppend,
    /// The VM that learns of it could not read the records.
    FailedRead,
    /// The VM that learns of it has just started.
    NewVm,
}

/// Lets a VM see a crash and returns the records of it that another VM reads with this delay.
fn record_crash(delay: Delay) -> Vec<SharedRecord> {
    let mut harness = RelayHarness::configured(1);
    harness.submit_with_parts("/stream/", parts(&["rare"]));
    let decode = harness.advance_to_decode();
    harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
    harness.deliver(decode.exchange, failed());
    harness.effects.clear();
    harness.advance(ms(200));
    if matches!(delay, Delay::FailedAppend) {
        harness.effects.clear();
        harness.apply(RelayEvent::SharedAppended { succeeded: false });
        harness.advance(ms(600));
    }
    let records = take_appended(&mut harness);
    assert!(!records.is_empty());
    records
}

// Guards against crashes that count no longer because the engine, which is back, answers a VM that has just learnt of them: after an
// outage of the store, or after its start.
#[test]
fn answer_of_an_engine_that_is_back_disproves_no_crash() {
    for delay in [Delay::FailedAppend, Delay::FailedRead, Delay::NewVm] {
        let mut other = RelayHarness::configured(2);
        let records = record_crash(delay);
        if matches!(delay, Delay::FailedRead) {
            other.apply(RelayEvent::StoreRead {
                topic: StoreTopic::Shared,
                failure: Some(StoreReadFailure::Silent),
            });
        }
        let is_full = matches!(delay, Delay::NewVm);
        other.apply(RelayEvent::SharedRecords { records, is_full });
        other.advance(ms(10));
        answer_at_both_engines(&mut other);
        other.advance(ms(300));
        let appended = take_appended(&mut other);
        let is_deletion =
            |record: &SharedRecord| matches!(record, SharedRecord::Crash { evidence: None, .. });
        assert!(!appended.iter().any(is_deletion), "{delay:?}: {appended:?}");
    }
}
