//! Records of crashes and blocks, and requests to one VM, for the tests of what crashes endpoints.

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::CauseBlock;
use arbutusfall_core::relay::CrashCause;
use arbutusfall_core::relay::CrashEvidence;
use arbutusfall_core::relay::CrashId;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RequestKey;
use arbutusfall_core::relay::SharedRecord;

use crate::relay_crashing_site::failed;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;

/// Returns the cause that is the request with this path.
pub(crate) fn request(path: &str) -> CrashCause {
    CrashCause::Request(RequestKey(path.into()))
}

/// Returns a record of the evidence of a crash, without other causes.
pub(crate) fn evidence(cause: CrashCause, crash: usize) -> SharedRecord {
    SharedRecord::Crash {
        cause,
        crash: CrashId(format!("{crash:016x}.0").into()),
        evidence: Some(CrashEvidence {
            instance: format!("shop-{crash}").into(),
            with: Vec::new(),
            is_late: false,
        }),
    }
}

/// Returns a record of a block on a cause, or of its end.
pub(crate) fn block(cause: CrashCause, is_blocked: bool) -> SharedRecord {
    let block = CauseBlock {
        with: Vec::new(),
        instances: Vec::new(),
    };
    SharedRecord::Block {
        cause,
        block: is_blocked.then_some(block),
    }
}

/// Lets a VM read records that others have appended.
pub(crate) fn read(harness: &mut RelayHarness, records: Vec<SharedRecord>) {
    let is_full = false;
    harness.apply(RelayEvent::SharedRecords { records, is_full });
}

/// Returns a VM that tells repeated requests by their paths.
pub(crate) fn start() -> RelayHarness {
    let mut harness = RelayHarness::configured(1);
    harness.repeats_by_path = true;
    harness
}

/// Lets time pass while all appends succeed or fail; returns the records appended.
pub(crate) fn run(
    harness: &mut RelayHarness,
    time: Duration,
    succeeded: bool,
) -> Vec<SharedRecord> {
    let until = harness.now + time;
    let mut appended = Vec::new();
    while harness.now < until {
        harness.advance(ms(10));
        for effect in std::mem::take(&mut harness.effects) {
            match effect {
                RelayEffect::AppendShared(records) => {
                    appended.extend(records);
                    harness.apply(RelayEvent::SharedAppended { succeeded });
                }
                other => harness.effects.push(other),
            }
        }
    }
    appended
}

/// Returns whether a plain request with this path is refused as one that crashes endpoints.
pub(crate) fn is_refused(harness: &mut RelayHarness, path: &str) -> bool {
    let call = harness.submit(path);
    let problem = harness.problem(call).map(|problem| problem.kind);
    harness.apply(RelayEvent::CallerGone { call });
    harness.take_sends();
    problem.is_some_and(|kind| kind.status() == 400)
}

/// Sends a request and answers it, and its retries, with this status.
pub(crate) fn answer(harness: &mut RelayHarness, path: &str, status: u16) {
    harness.take_sends();
    harness.submit(path);
    let mut sends = harness.take_sends();
    while let Some(sent) = sends.pop() {
        harness.deliver(sent.exchange, ExchangeEvent::Complete { status });
        sends = harness.take_sends();
    }
}

/// Returns endpoints of the plain service, each of which can end once.
pub(crate) fn endpoints(count: usize) -> Vec<EndpointListChange> {
    let all = (10..10 + count).map(|number| format!("shop-{number}"));
    all.map(|name| EndpointListChange::Listed(listed(&name, "shop", Role::Plain)))
        .collect()
}

/// Sends a request whose endpoint breaks off, and closes the call if it is sent again.
pub(crate) fn break_off(harness: &mut RelayHarness, path: &str) -> CallId {
    harness.take_sends();
    let call = harness.submit(path);
    let sent = harness.take_only_send();
    harness.advance(ms(20));
    harness.deliver(sent.exchange, failed());
    harness.apply(RelayEvent::CallerGone { call });
    harness.take_sends();
    call
}
