//! Checks of what reaches the service and of what callers get.

use arbutusfall_core::CallId;

use crate::claims_simulation::Dispatch;
use crate::claims_simulation::Simulation;
use crate::claims_simulation::TIME_STEP;
use crate::claims_simulation::calls::Call;
use crate::claims_simulation::calls::ReportedOutcome;
use crate::claims_simulation::calls::unmarked_call;

/// Time steps within which every call must be answered after the last fault.
const MAX_TIME_STEPS_TO_FINISH: usize = 16;

/// Upper bound for the steps between two time steps, to detect endless message exchanges.
const MAX_STEPS_BETWEEN_TIME_STEPS: usize = 1_000;

impl Simulation {
    fn dispatches_that_may_have_arrived(&self, key: usize) -> impl Iterator<Item = &Dispatch> {
        let of_key = move |dispatch: &&Dispatch| self.calls[dispatch.call].key == key;
        self.dispatches
            .iter()
            .filter(|dispatch| dispatch.may_have_arrived)
            .filter(of_key)
    }

    pub(super) fn check_may_dispatch(&self, index: usize) {
        let call = &self.calls[index];
        assert_eq!(
            self.dispatches_that_may_have_arrived(call.key).count(),
            0,
            "dispatched twice"
        );
        let false_not_run = self.calls.iter().filter(|other| {
            let not_run =
                other.reported_outcome == Some(ReportedOutcome::NotRun) && other.key == call.key;
            // A first attempt that was answered "not run" may be sent again. Any other "not run" is final.
            let may_be_resent =
                other.caller_attempt == Some(1) && call.started_at_step > other.ended_at_step;
            not_run && !may_be_resent
        });
        assert_eq!(
            false_not_run.count(),
            0,
            "dispatched after an answer of not run"
        );
    }

    pub(super) fn finish_call(&mut self, id: CallId, reported_outcome: ReportedOutcome) {
        let step_count = self.step_count;
        let index = id.0 as usize;
        let call = &mut self.calls[index];
        assert!(!call.disconnected, "answered after the caller disconnected");
        assert_eq!(call.reported_outcome, None, "answered twice");
        call.reported_outcome = Some(reported_outcome);
        call.ended_at_step = Some(step_count);
        let key = call.key;
        match reported_outcome {
            ReportedOutcome::NotRun => assert_eq!(
                self.dispatches_that_may_have_arrived(key).count(),
                0,
                "answered not run after a dispatch"
            ),
            ReportedOutcome::Answered => {
                assert_eq!(
                    self.dispatches_that_may_have_arrived(key).count(),
                    1,
                    "answered without a dispatch"
                )
            }
            ReportedOutcome::Unknown | ReportedOutcome::Other => {}
        }
    }

    /// Runs without further faults, then uses each key once more at each VM; checks that every started call is
    /// answered.
    pub(crate) fn finish_and_check(&mut self) {
        self.run_until_answered();
        let open = |call: &Call| call.started_at_step.is_some() && call.ended_at_step.is_none();
        assert!(!self.calls.iter().any(open), "a call was never answered");
        let last_key = self.calls.iter().map(|call| call.key).max().unwrap_or(0);
        for key in 0..=last_key {
            for vm in 0..self.vms.len() {
                self.calls.push(unmarked_call(vm, key));
                self.step_count += 1;
                self.start_call(self.calls.len() - 1);
            }
        }
        self.run_until_answered();
        assert!(
            !self.calls.iter().any(open),
            "a later call was never answered"
        );
    }

    /// Runs without faults until every started call is answered, at most [`MAX_TIME_STEPS_TO_FINISH`] time steps.
    fn run_until_answered(&mut self) {
        for _ in 0..MAX_TIME_STEPS_TO_FINISH {
            let first_step = self.step_count;
            while !self.tasks.is_empty() {
                self.step_count += 1;
                self.advance(0);
                assert!(
                    self.step_count < first_step + MAX_STEPS_BETWEEN_TIME_STEPS,
                    "the steps never end: {:?}",
                    self.tasks
                );
            }
            let open = |call: &Call| call.started_at_step.is_some() && call.ended_at_step.is_none();
            if !self.calls.iter().any(open) {
                return;
            }
            for vm in 0..self.vms.len() {
                self.pass_time(vm, TIME_STEP);
            }
        }
    }
}
