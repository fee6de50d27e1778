//! Simulation of a few VMs with one log and one service; the test chooses every step and every fault.
//!
//! Checks after each step that at most one call of a key reaches the service, and that the answers to callers are true.

mod calls;
mod checks;
mod tasks;

pub(crate) use calls::Call;
pub(crate) use calls::ReportedOutcome;
pub(crate) use calls::marked_call;
pub(crate) use calls::unmarked_call;

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::Identity;
use arbutusfall_core::LogStream;
use arbutusfall_core::Node;
use arbutusfall_core::Now;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::ServiceCall;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::stable_hash;
use serde_json::json;

use crate::claims_simulation::tasks::AppendState;
use crate::claims_simulation::tasks::Task;
use crate::session::STARTED_AT;
use crate::session::config_read;
use crate::session::listed;
use crate::session::site_base;

/// Clock advance of one time step.
const TIME_STEP: Duration = Duration::from_millis(500);

/// Clock jump of a VM, longer than the claim window.
const CLOCK_JUMP: Duration = Duration::from_secs(48 * 3_600);

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

    fn log(&self) -> &Vec<Name> {
        &self.log_eras[self.log_eras.len() - 1].records
    }

    fn log_mut(&mut self) -> &mut Vec<Name> {
        let last = self.log_eras.len() - 1;
        &mut self.log_eras[last].records
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

    /// Returns whether any call was sent to the service.
    pub(crate) fn has_dispatch(&self) -> bool {
        !self.dispatches.is_empty()
    }

    /// Returns whether every call was made and has ended.
    pub(crate) fn all_ended(&self) -> bool {
        self.calls.iter().all(|call| call.ended_at_step.is_some())
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
