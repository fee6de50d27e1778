//! Simulation of a few VMs with one log and one service; the test chooses every step and every fault.
//!
//! Checks after each step that at most one call of a key reaches the service, and that the answers to callers are true.

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::Identity;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::Node;
use arbutusfall_core::Now;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::ServiceAnswer;
use arbutusfall_core::ServiceCall;
use arbutusfall_core::ServiceEvent;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Sender;
use arbutusfall_wire::stable_hash;
use serde_json::json;

use crate::session::STARTED_AT;
use crate::session::config_read;
use crate::session::listed;
use crate::session::site_base;

/// Clock advance of one time step.
const TIME_STEP: Duration = Duration::from_millis(500);

/// Clock jump of a VM, longer than the claim window.
const CLOCK_JUMP: Duration = Duration::from_secs(48 * 3_600);

/// Age that the log states for records of the copy that it was restored from.
const BEFORE_RESTORE: Duration = Duration::from_secs(60);

/// Age that the log states for its era.
const SINCE_RESTORE: Duration = Duration::from_secs(1);

/// Time steps within which every call must be answered after the last fault.
const MAX_TIME_STEPS_TO_FINISH: usize = 16;

/// Upper bound for the steps between two time steps, to detect endless message exchanges.
const MAX_STEPS_BETWEEN_TIME_STEPS: usize = 1_000;

/// A call that a run may make.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) vm: usize,
    pub(crate) key: usize,
    /// Number of the attempt according to the caller; `None` if the call doesn't say.
    pub(crate) caller_attempt: Option<u32>,
    /// Index of the call that must end before this one starts.
    pub(crate) after: Option<usize>,
    pub(crate) started_at_step: Option<usize>,
    pub(crate) ended_at_step: Option<usize>,
    pub(crate) disconnected: bool,
    pub(crate) reported_outcome: Option<ReportedOutcome>,
}

/// Outcome that a caller got, or `Other` for any other problem.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum ReportedOutcome {
    Answered,
    NotRun,
    Unknown,
    Other,
}

/// Time steps allowed per VM, and faults left to inject in a run.
#[derive(Debug, Clone, Copy, Hash)]
pub(crate) struct Budget {
    pub(crate) time_steps: u32,
    pub(crate) faults: u32,
    pub(crate) kills: u32,
    pub(crate) clock_jumps: u32,
    pub(crate) restores: u32,
}

/// The log during one era.
#[derive(Debug, Clone, Default, Hash)]
struct LogInEra {
    records: Vec<Name>,
    /// Number of records from the copy that the log was restored from.
    copied: usize,
}

#[derive(Debug, Clone)]
struct Vm {
    node: Node,
    now: Now,
    identity: Identity,
    time_steps: u32,
    wake_at: Option<Duration>,
    /// Hash of all events of this process; nodes with equal hashes are in the same state.
    history: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum AppendState {
    Waiting,
    Applied,
    /// The VM got a failure with `may_have_taken_effect` set or was killed, and the append may still take effect.
    AnswerLost,
}

/// A message, append, read or service call in progress.
#[derive(Debug, Clone)]
enum Task {
    Message {
        from: Sender,
        to: usize,
        message: PeerMessage,
    },
    Append {
        vm: usize,
        append: u64,
        /// Era that the VM states; the log refuses the append in another one.
        era: usize,
        records: Vec<Name>,
        state: AppendState,
    },
    Read {
        vm: usize,
        from: u64,
        /// Era and end of the log when it served the read; `None` until then.
        served_to: Option<(usize, usize)>,
    },
    Service {
        vm: usize,
        call: usize,
        attempt: u32,
    },
}

/// One step of a run. The first index is that of a call, a VM or a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Start(usize),
    Disconnect(usize),
    /// Advances the VM's clock by [`TIME_STEP`] and delivers the timer events due by then.
    PassTime(usize),
    /// The VM's process is killed and restarted.
    Kill(usize),
    ClockJump(usize),
    /// The log is restored from a copy with this number of records.
    Restore(usize),
    /// Delivers a message, or takes the next step of an append, read or service call without a fault.
    Advance(usize),
    /// Fails a task. Variant 0 of an append or a service call may still take effect; variant 1 never does.
    Fail(usize, u8),
}

/// A call that a VM sent to the service.
#[derive(Debug, Clone)]
struct Dispatch {
    call: usize,
    attempt: u32,
    /// Whether a byte may have reached the service.
    may_have_arrived: bool,
}

/// State of one run.
#[derive(Debug, Clone)]
pub(crate) struct Simulation {
    vms: Vec<Vm>,
    /// The log in all eras; the last one is current.
    log_eras: Vec<LogInEra>,
    tasks: Vec<Task>,
    dispatches: Vec<Dispatch>,
    pub(crate) calls: Vec<Call>,
    pub(crate) budget: Budget,
    step_count: usize,
    views: Vec<Vec<usize>>,
}

fn key_text(key: usize) -> String {
    let millis = STARTED_AT.as_millis();
    uuid::Builder::from_unix_timestamp_millis(millis as u64, &[key as u8; 10])
        .into_uuid()
        .to_string()
}

impl Simulation {
    /// Starts one VM per view; each VM lists the VMs of its view as members.
    pub(crate) fn new(views: Vec<Vec<usize>>, calls: Vec<Call>, budget: Budget) -> Self {
        let mut simulation = Self {
            vms: Vec::new(),
            log_eras: vec![LogInEra::default()],
            tasks: Vec::new(),
            dispatches: Vec::new(),
            calls,
            budget,
            step_count: 0,
            views,
        };
        for vm in 0..simulation.views.len() {
            let started = simulation.start_vm(vm, 1, STARTED_AT);
            simulation.vms.push(started);
        }
        simulation
    }

    fn start_vm(&self, vm: usize, start_count: u64, unix: Duration) -> Vm {
        let identity = Identity {
            vm: vm_name(vm).into(),
            incarnation: Incarnation(start_count * 10 + vm as u64),
            data_centre: "milano-a".into(),
            site: "rinnovo".into(),
        };
        let now = Now {
            monotonic: Duration::ZERO,
            unix,
        };
        let mut node = Node::new(identity.clone(), 1);
        node.apply(Event::Started, now);
        let view = self.views[vm].iter().map(|other| listed(&vm_name(*other)));
        node.apply(Event::VmList(view.collect()), now);
        let mut base = site_base();
        base["claims"] = json!({ "partitions": 1, "claim_timeout_ms": 500 });
        base["timing"] = json!({ "probe_interval_ms": 60_000, "suspect_timeout_ms": 60_000 });
        let wake_at = node.apply(config_read(base), now).wake_at;
        Vm {
            node,
            now,
            history: start_count,
            identity,
            time_steps: 0,
            wake_at,
        }
    }

    /// Returns all steps that are possible next.
    pub(crate) fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, call) in self.calls.iter().enumerate() {
            let ready = call
                .after
                .is_none_or(|before| self.calls[before].ended_at_step.is_some());
            if call.started_at_step.is_none() && ready {
                steps.push(Step::Start(index));
            }
            let open = call.started_at_step.is_some() && call.ended_at_step.is_none();
            if open && self.budget.faults > 0 {
                steps.push(Step::Disconnect(index));
            }
        }
        for (index, vm) in self.vms.iter().enumerate() {
            if vm.time_steps < self.budget.time_steps {
                steps.push(Step::PassTime(index));
            }
            if self.budget.kills > 0 {
                steps.push(Step::Kill(index));
            }
            if self.budget.clock_jumps > 0 {
                steps.push(Step::ClockJump(index));
            }
        }
        if self.budget.restores > 0 {
            steps.extend((0..self.log().len()).map(Step::Restore));
        }
        for (index, task) in self.tasks.iter().enumerate() {
            steps.push(Step::Advance(index));
            let variants = match task {
                Task::Append {
                    state: AppendState::Waiting,
                    ..
                }
                | Task::Service { .. } => 2,
                Task::Append {
                    state: AppendState::AnswerLost,
                    ..
                } => 0,
                _ => 1,
            };
            if self.budget.faults > 0 {
                steps.extend((0..variants).map(|variant| Step::Fail(index, variant)));
            }
        }
        steps
    }

    /// Executes one step.
    pub(crate) fn apply_step(&mut self, step: Step) {
        self.step_count += 1;
        match step {
            Step::Start(call) => self.start_call(call),
            Step::Disconnect(call) => {
                self.budget.faults -= 1;
                self.disconnect(call);
            }
            Step::PassTime(vm) => {
                self.vms[vm].time_steps += 1;
                self.pass_time(vm, TIME_STEP);
            }
            Step::Kill(vm) => {
                self.budget.kills -= 1;
                self.kill(vm);
            }
            Step::ClockJump(vm) => {
                self.budget.clock_jumps -= 1;
                self.vms[vm].now.unix += CLOCK_JUMP;
                self.vms[vm].history = stable_hash(&(self.vms[vm].history, "jump"));
            }
            Step::Restore(copied) => {
                self.budget.restores -= 1;
                let records = self.log()[..copied].to_vec();
                self.log_eras.push(LogInEra { records, copied });
            }
            Step::Advance(task) => self.advance(task),
            Step::Fail(task, variant) => {
                self.budget.faults -= 1;
                self.fail(task, variant);
            }
        }
    }

    /// Restores the log from a copy of all its records.
    pub(crate) fn restore_from_newest_copy(&mut self) {
        let copied = self.log().len();
        self.apply_step(Step::Restore(copied));
    }

    fn start_call(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.started_at_step = Some(self.step_count);
        let service_call = ServiceCall {
            call: CallId(index as u64),
            account: "school".into(),
            method: "POST".into(),
            path: "/v1/bookings".into(),
            idempotency_key: Some(key_text(call.key).into()),
            attempt: call.caller_attempt,
            fingerprint: 7,
            traceparent: None,
        };
        let vm = call.vm;
        self.apply(vm, Event::ServiceCall(service_call));
    }

    fn disconnect(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.ended_at_step = Some(self.step_count);
        call.disconnected = true;
        let vm = call.vm;
        let call = CallId(index as u64);
        self.apply(vm, Event::CallerGone { call });
    }

    fn kill(&mut self, vm: usize) {
        let old = &self.vms[vm];
        let start_count = old.identity.incarnation.0 / 10 + 1;
        let restarted = self.start_vm(vm, start_count, old.now.unix);
        self.vms[vm] = Vm {
            time_steps: old.time_steps,
            ..restarted
        };
        for call in self.calls.iter_mut().filter(|call| call.vm == vm) {
            if call.started_at_step.is_some() && call.ended_at_step.is_none() {
                call.ended_at_step = Some(self.step_count);
                call.disconnected = true;
            }
        }
        self.tasks.retain_mut(|task| match task {
            Task::Append {
                vm: task_vm, state, ..
            } if *task_vm == vm => {
                let not_applied = *state != AppendState::Applied;
                *state = AppendState::AnswerLost;
                not_applied
            }
            Task::Read { vm: task_vm, .. } | Task::Service { vm: task_vm, .. } => *task_vm != vm,
            _ => true,
        });
    }

    fn pass_time(&mut self, vm: usize, by: Duration) {
        let target = self.vms[vm].now.monotonic + by;
        while let Some(due) = self.vms[vm].wake_at.filter(|due| *due <= target) {
            let now = &mut self.vms[vm].now;
            let step = due.saturating_sub(now.monotonic);
            now.monotonic += step;
            now.unix += step;
            self.apply(vm, Event::Tick);
        }
        let now = &mut self.vms[vm].now;
        let step = target.saturating_sub(now.monotonic);
        now.monotonic += step;
        now.unix += step;
        self.vms[vm].history = stable_hash(&(self.vms[vm].history, "tick"));
    }

    fn advance(&mut self, index: usize) {
        let stream = LogStream::Claims(0);
        let task = self.tasks.remove(index);
        match task {
            Task::Message { from, to, message } => {
                self.apply(to, Event::Peer { from, message });
            }
            Task::Append {
                vm,
                append,
                era,
                records,
                state,
            } => match state {
                AppendState::Waiting if era != self.log_eras.len() - 1 => {
                    let refused = LogEvent::AppendFailed {
                        stream,
                        append,
                        may_have_taken_effect: false,
                    };
                    self.apply(vm, Event::Log(refused));
                }
                AppendState::AnswerLost if era != self.log_eras.len() - 1 => {}
                AppendState::Waiting => {
                    self.log_mut().extend(records.iter().cloned());
                    self.tasks.push(Task::Append {
                        vm,
                        append,
                        era,
                        records,
                        state: AppendState::Applied,
                    });
                }
                AppendState::Applied => {
                    self.apply(vm, Event::Log(LogEvent::Appended { stream, append }));
                }
                AppendState::AnswerLost => self.log_mut().extend(records),
            },
            Task::Read {
                vm,
                from,
                served_to: None,
            } => {
                let served_to = Some((self.log_eras.len() - 1, self.log().len()));
                self.tasks.push(Task::Read {
                    vm,
                    from,
                    served_to,
                });
            }
            Task::Read {
                vm,
                from,
                served_to: Some((era, end)),
            } => self.apply(vm, Event::Log(self.page(from, era, end))),
            Task::Service { vm, call, attempt } => {
                let answer = ServiceAnswer {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: key_text(self.calls[call].key).as_str().into(),
                };
                let answered = ServiceEvent::Answered {
                    call: CallId(call as u64),
                    attempt,
                    answer,
                };
                self.apply(vm, Event::Service(answered));
            }
        }
    }

    fn log(&self) -> &Vec<Name> {
        &self.log_eras[self.log_eras.len() - 1].records
    }

    fn log_mut(&mut self) -> &mut Vec<Name> {
        let last = self.log_eras.len() - 1;
        &mut self.log_eras[last].records
    }

    fn page(&self, from: u64, era: usize, end: usize) -> LogEvent {
        let log = &self.log_eras[era];
        let served = log.records[..end].iter().enumerate().skip(from as usize);
        let records = served.map(|(offset, text)| LogRecord {
            offset: Offset(offset as u64),
            age: if offset < log.copied {
                BEFORE_RESTORE
            } else {
                Duration::ZERO
            },
            text: text.clone(),
        });
        LogEvent::Read {
            stream: LogStream::Claims(0),
            era: LogEra {
                number: era as u64,
                age: SINCE_RESTORE,
            },
            from: Offset(from),
            oldest: Offset(0),
            end: Offset(end as u64),
            records: records.collect(),
        }
    }

    fn fail(&mut self, index: usize, variant: u8) {
        let stream = LogStream::Claims(0);
        match self.tasks.remove(index) {
            Task::Message { .. } => {}
            Task::Append {
                vm,
                append,
                era,
                records,
                state,
            } => {
                let may_have_taken_effect = variant == 0;
                if state == AppendState::Waiting && may_have_taken_effect {
                    self.tasks.push(Task::Append {
                        vm,
                        append,
                        era,
                        records,
                        state: AppendState::AnswerLost,
                    });
                }
                let failed = LogEvent::AppendFailed {
                    stream,
                    append,
                    may_have_taken_effect,
                };
                self.apply(vm, Event::Log(failed));
            }
            Task::Read { vm, .. } => self.apply(vm, Event::Log(LogEvent::ReadFailed { stream })),
            Task::Service { vm, call, attempt } => {
                let sent = variant == 0;
                let dispatch = self
                    .dispatches
                    .iter_mut()
                    .find(|dispatch| dispatch.call == call && dispatch.attempt == attempt);
                dispatch
                    .expect("only dispatched calls fail")
                    .may_have_arrived = sent;
                let failed = ServiceEvent::Failed {
                    call: CallId(call as u64),
                    attempt,
                    sent,
                };
                self.apply(vm, Event::Service(failed));
            }
        }
    }

    fn apply(&mut self, vm: usize, event: Event) {
        let target = &mut self.vms[vm];
        target.history = stable_hash(&(target.history, format!("{event:?}{:?}", target.now)));
        let output = target.node.apply(event, target.now);
        target.wake_at = output.wake_at;
        for effect in output.effects {
            self.perform(vm, effect);
        }
    }

    fn perform(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let is_claim = matches!(
                    message,
                    PeerMessage::Claim(_)
                        | PeerMessage::ClaimReply(_)
                        | PeerMessage::RecordOutcome(_)
                        | PeerMessage::OutcomeRequest(_)
                        | PeerMessage::OutcomeReply(_)
                );
                let to = (0..self.vms.len()).find(|index| *vm_name(*index) == *to);
                if let (true, Some(to)) = (is_claim, to) {
                    let from = self.vms[vm].identity.sender();
                    self.tasks.push(Task::Message { from, to, message });
                }
            }
            Effect::Append {
                stream: LogStream::Claims(_),
                append,
                era,
                records,
            } => self.tasks.push(Task::Append {
                vm,
                append,
                era: era as usize,
                records,
                state: AppendState::Waiting,
            }),
            Effect::ReadLog {
                stream: LogStream::Claims(_),
                from,
                ..
            } => self.tasks.push(Task::Read {
                vm,
                from: from.0,
                served_to: None,
            }),
            Effect::CallService(command) => {
                self.check_may_dispatch(command.call.0 as usize);
                self.dispatches.push(Dispatch {
                    call: command.call.0 as usize,
                    attempt: command.attempt,
                    may_have_arrived: true,
                });
                self.tasks.push(Task::Service {
                    vm,
                    call: command.call.0 as usize,
                    attempt: command.attempt,
                });
            }
            Effect::Answer { call, answer } => {
                let key = self.calls[call.0 as usize].key;
                assert_eq!(answer.body, key_text(key).as_str().into(), "wrong answer");
                self.finish_call(call, ReportedOutcome::Answered);
            }
            Effect::AnswerProblem { call, problem } => {
                let reported_outcome = match problem.kind {
                    ProblemKind::NotRun => ReportedOutcome::NotRun,
                    ProblemKind::OutcomeUnknown => ReportedOutcome::Unknown,
                    _ => ReportedOutcome::Other,
                };
                self.finish_call(call, reported_outcome);
            }
            _ => {}
        }
    }

    fn dispatches_that_may_have_arrived(&self, key: usize) -> impl Iterator<Item = &Dispatch> {
        let of_key = move |dispatch: &&Dispatch| self.calls[dispatch.call].key == key;
        self.dispatches
            .iter()
            .filter(|dispatch| dispatch.may_have_arrived)
            .filter(of_key)
    }

    fn check_may_dispatch(&self, index: usize) {
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

    fn finish_call(&mut self, id: CallId, reported_outcome: ReportedOutcome) {
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

    /// Returns whether any call was sent to the service.
    pub(crate) fn has_dispatch(&self) -> bool {
        !self.dispatches.is_empty()
    }

    /// Returns whether every call was made and has ended.
    pub(crate) fn all_ended(&self) -> bool {
        self.calls.iter().all(|call| call.ended_at_step.is_some())
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

    /// Returns a hash of everything that the next steps depend on.
    pub(crate) fn state_hash(&self) -> u64 {
        let mut tasks: Vec<String> = self.tasks.iter().map(|task| format!("{task:?}")).collect();
        tasks.sort_unstable();
        let vms: Vec<_> = self
            .vms
            .iter()
            .map(|vm| (vm.history, vm.time_steps))
            .collect();
        // Started and not ended (`Some(_) > None`), the reported outcome, and whether the caller disconnected.
        let call_states: Vec<_> = self
            .calls
            .iter()
            .map(|call| {
                (
                    call.started_at_step > call.ended_at_step,
                    call.reported_outcome,
                    call.disconnected,
                )
            })
            .collect();
        let dispatches = format!("{:?}", self.dispatches);
        stable_hash(&(
            vms,
            &self.log_eras,
            tasks,
            self.budget,
            call_states,
            dispatches,
        ))
    }
}

fn vm_name(vm: usize) -> String {
    format!("milano-a-{vm}")
}

/// Returns a call that doesn't say which attempt it is.
pub(crate) fn unmarked_call(vm: usize, key: usize) -> Call {
    Call {
        vm,
        key,
        caller_attempt: None,
        after: None,
        started_at_step: None,
        ended_at_step: None,
        disconnected: false,
        reported_outcome: None,
    }
}

/// Returns a call marked as the first attempt with its key.
pub(crate) fn marked_call(vm: usize, key: usize) -> Call {
    Call {
        caller_attempt: Some(1),
        ..unmarked_call(vm, key)
    }
}
