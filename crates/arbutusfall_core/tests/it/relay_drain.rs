//! Calls that are in progress when the process has to exit.

use arbutusfall_core::ProblemKind;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use assert_matches::assert_matches;

use crate::relay_harness::RelayHarness;

// Guards against a process that exits while requests are in progress, whose callers get neither an answer nor a reason.
#[test]
fn calls_in_progress_end_when_the_process_has_to_exit() {
    let mut harness = RelayHarness::configured(1);
    let (stream, _) = harness.start_stream("/stream/1");
    let payment = harness.submit("/pay/1");
    let reserving = harness.submit("/stream/2");
    harness.apply(RelayEvent::Terminate);
    harness.apply(RelayEvent::DrainTimeout);
    let end = harness.final_effect(stream);
    assert_matches!(end, Some(RelayEffect::Abort { .. }));
    let kind = |call| harness.problem(call).map(|problem| problem.kind);
    assert_eq!(kind(payment), Some(ProblemKind::UpstreamFailed));
    assert_eq!(kind(reserving), Some(ProblemKind::NotRun));
}
