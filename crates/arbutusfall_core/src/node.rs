//! The reducer: one VM's whole state, changed by one event at a time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::Sender;

use crate::CallId;
use crate::CompletionRequest;
use crate::Counter;
use crate::Effect;
use crate::EngineEvent;
use crate::Event;
use crate::LogEvent;
use crate::LogStream;
use crate::Output;
use crate::Problem;
use crate::ProblemKind;
use crate::ServiceCall;
use crate::ServiceEvent;
use crate::calls::IdempotentCalls;
use crate::calls::find_route;
use crate::claims::KeyedCalls;
use crate::claims::PartitionOwner;
use crate::config::Semantics;
use crate::config::SiteConfig;
use crate::config_reader::ConfigReader;
use crate::context::Context;
use crate::context::Identity;
use crate::context::Now;
use crate::drain::DrainState;
use crate::log_era::EraChange;
use crate::log_era::EraWatch;
use crate::membership;
use crate::membership::Membership;
use crate::open_calls::OpenCalls;
use crate::placement::OwnedShards;
use crate::status::Status;
use crate::status::VmStatus;
use crate::streams::Streams;
use crate::sweep::OrphanSweep;
use crate::timers::Timer;
use crate::timers::Timers;

/// Retry delay for callers of a VM that is draining or not configured; the retry should reach another VM.
const UNAVAILABLE_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// One VM's state.
#[derive(Debug, Clone)]
pub struct Node {
    identity: Identity,
    members: Membership,
    timers: Timers,
    rng: fastrand::Rng,
    components: Components,
    /// Configuration used until one is in force.
    default_site_config: Arc<SiteConfig>,
}

/// The components that handle events.
#[derive(Debug, Clone, Default)]
struct Components {
    config: ConfigReader,
    streams: Streams,
    shards: OwnedShards,
    sweep: OrphanSweep,
    keyed_calls: KeyedCalls,
    partitions: PartitionOwner,
    idempotent_calls: IdempotentCalls,
    drain: DrainState,
    /// Whether readiness was reported last.
    is_ready: bool,
    open_calls: OpenCalls,
    era_watch: EraWatch,
    /// Sequence number of the last request that entered through this VM.
    last_sequence: u64,
}

impl Node {
    /// Creates a node that has handled no event. `seed` seeds all random choices, such as the jitter of retries and
    /// the order of probes.
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self {
            members: Membership::new(&identity),
            identity,
            timers: Timers::default(),
            rng: fastrand::Rng::with_seed(seed),
            components: Components::default(),
            default_site_config: Arc::new(SiteConfig::default()),
        }
    }

    /// Returns the configuration in force for this VM's site, if any.
    pub fn site_config(&self) -> Option<&Arc<SiteConfig>> {
        self.components.config.in_force()
    }

    /// Handles one event. Nothing else changes a node's state.
    pub fn apply(&mut self, event: Event, now: Now) -> Output {
        let mut effects = Vec::new();
        let mut loopback = VecDeque::new();
        let site = self
            .components
            .config
            .in_force()
            .unwrap_or(&self.default_site_config)
            .clone();
        let mut ctx = Context {
            now,
            identity: &self.identity,
            site_config: &site,
            members: &mut self.members,
            timers: &mut self.timers,
            rng: &mut self.rng,
            effects: &mut effects,
            loopback: &mut loopback,
        };
        self.components.on_event(event, &mut ctx);
        while let Some(message) = ctx.loopback.pop_front() {
            let own = ctx.identity.sender();
            self.components.on_peer(&own, message, &mut ctx);
        }
        self.components.open_calls.close_answered_calls(&mut ctx);
        self.components.update_ready(&mut ctx);
        let idle = self.components.is_idle(now.monotonic);
        self.components.drain.finish_if_idle(idle, &mut ctx);
        Output {
            effects,
            wake_at: self.timers.next_due(),
        }
    }

    /// Returns the state shown to operators; no decision depends on it.
    pub fn status(&self) -> Status {
        let site = self
            .components
            .config
            .in_force()
            .unwrap_or(&self.default_site_config);
        let vms = self.members.members().map(|member| VmStatus {
            vm: member.listed.vm.clone(),
            data_centre: member.listed.data_centre.clone(),
            state: member.state,
            incarnation: self
                .members
                .incarnation_and_state(&member.listed.vm)
                .map(|(incarnation, _)| incarnation),
        });
        Status {
            identity: self.identity.clone(),
            ready: self.components.is_ready,
            draining: self.components.drain != DrainState::Serving,
            base_revision: self.components.config.base_revision(),
            overlay_revision: self.components.config.overlay_revision(&self.identity.site),
            vms: vms.collect(),
            endpoints: self.components.shards.decode_endpoint_statuses(site),
            streams: self.components.streams.len(),
            calls: self.components.idempotent_calls.len(),
            claims: self.components.keyed_calls.len(),
        }
    }
}

impl Components {
    fn is_serving(&self) -> bool {
        self.config.in_force().is_some() && self.drain == DrainState::Serving
    }

    /// Reports a change of readiness, after the effects that lead to it. Without the VM list there is no owner to place
    /// requests, so this VM could only refuse them.
    fn update_ready(&mut self, ctx: &mut Context<'_>) {
        let has_owner = ctx.members.has_owner_candidate(&ctx.identity.site);
        let ready = self.is_serving() && !self.config.has_gap() && has_owner;
        if ready != self.is_ready {
            self.is_ready = ready;
            ctx.push(Effect::SetReady(ready));
        }
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.open_calls.is_empty()
            && self.streams.is_idle(now)
            && self.keyed_calls.in_progress() == 0
            && self.partitions.is_idle()
    }

    fn on_event(&mut self, event: Event, ctx: &mut Context<'_>) {
        match event {
            Event::Started => self.on_started(ctx),
            Event::Tick => self.on_tick(ctx),
            Event::Completion(request) => self.on_completion(request, ctx),
            Event::ServiceCall(service_call) => self.on_service_call(&service_call, ctx),
            Event::CallerGone { call } => self.on_caller_gone(call, ctx),
            Event::Peer { from, message } => {
                membership::record_contact(&from, ctx);
                self.on_peer(&from, message, ctx);
            }
            Event::Engine(event) => self.on_engine(event, ctx),
            Event::Service(event) => self.on_service(event, ctx),
            Event::Log(event) => self.on_log(event, ctx),
            Event::VmList(list) => {
                membership::on_vm_list(list, ctx);
                membership::schedule_vm_list_fetch(ctx);
            }
            Event::VmListFailed => membership::schedule_vm_list_fetch(ctx),
            Event::Terminate => self.drain.begin(ctx),
        }
    }

    fn on_started(&mut self, ctx: &mut Context<'_>) {
        ctx.push(Effect::FetchVmList);
        self.config.read(ctx);
        self.streams.on_report_timer(ctx);
        self.sweep.on_timer(ctx);
        self.keyed_calls.on_sweep_timer(ctx);
        self.config.on_snapshot_timer(ctx);
        membership::on_probe_timer(ctx);
    }

    fn on_tick(&mut self, ctx: &mut Context<'_>) {
        while let Some(timer) = ctx.timers.pop_due(ctx.now.monotonic) {
            self.on_timer(timer, ctx);
        }
    }

    fn on_timer(&mut self, timer: Timer, ctx: &mut Context<'_>) {
        match timer {
            Timer::FetchVmList => ctx.push(Effect::FetchVmList),
            Timer::ReadConfig => self.config.read(ctx),
            Timer::ReportGrants => self.streams.on_report_timer(ctx),
            Timer::PlaceOverdue { request, placement } => {
                self.streams.on_place_overdue(request, placement, ctx);
            }
            Timer::StartGranted { request, placement } => {
                self.streams.on_start_due(request, placement, ctx);
            }
            Timer::RetryCancel { attempt } => self.streams.on_retry_cancel(attempt, ctx),
            Timer::AppendClaims { partition } => {
                self.partitions.on_append_timer(partition, ctx);
            }
            Timer::WakePartition { partition } => {
                self.partitions.on_wake_up(partition, ctx);
            }
            Timer::ClaimOverdue { key, request } => {
                self.keyed_calls.on_claim_overdue(key, request, ctx);
            }
            Timer::OutcomeOverdue { key, request } => {
                self.keyed_calls.on_outcome_overdue(key, request, ctx);
            }
            Timer::IdempotentCallOverdue { call, attempt } => {
                self.idempotent_calls.on_failed(call, attempt, ctx)
            }
            Timer::RetryIdempotentCall { call, attempt } => {
                self.idempotent_calls.on_retry(call, attempt, ctx)
            }
            Timer::ProbePeers => membership::on_probe_timer(ctx),
            Timer::ProbeOverdue { sequence } => membership::on_probe_overdue(sequence, ctx),
            Timer::SuspicionTimeout {
                vm,
                incarnation,
                update_version,
                due,
            } => membership::on_suspicion_timeout(&vm, incarnation, update_version, due, ctx),
            Timer::SnapshotConfig => self.config.on_snapshot_timer(ctx),
            Timer::PollEngines => self.shards.on_poll_timer(ctx),
            Timer::SweepEndpoints => self.sweep.on_timer(ctx),
            Timer::SweepClaims => {
                self.keyed_calls.on_sweep_timer(ctx);
                self.partitions.on_sweep_timer(ctx);
            }
            Timer::StageOverdue { attempt } => self.streams.on_stage_overdue(attempt, ctx),
            Timer::AnswerOverdue { request } => self.streams.on_answer_overdue(request, ctx),
        }
    }

    /// Admits a call, or refuses it with the reason and returns false.
    fn admit(&mut self, call: CallId, account: &Name, ctx: &mut Context<'_>) -> bool {
        self.open_calls.open(call);
        let admitted = if self.is_serving() {
            self.open_calls.admit(call, account, ctx)
        } else {
            ctx.count(Counter::RefusedDraining);
            Err(Problem::retry(
                ProblemKind::Unavailable,
                UNAVAILABLE_RETRY_AFTER,
            ))
        };
        let Err(problem) = admitted else {
            return true;
        };
        ctx.push(Effect::AnswerProblem { call, problem });
        false
    }

    fn next_request_id(&mut self, ctx: &Context<'_>) -> RequestId {
        self.last_sequence += 1;
        // Otherwise the orphan sweeps of peers would cancel this process's attempts.
        debug_assert!(ctx.members.may_be_running(ctx.identity.incarnation));
        RequestId {
            incarnation: ctx.identity.incarnation,
            sequence: self.last_sequence,
        }
    }

    fn on_completion(&mut self, request: CompletionRequest, ctx: &mut Context<'_>) {
        if self.admit(request.call, &request.account, ctx) {
            let id = self.next_request_id(ctx);
            self.streams.start(id, request, ctx);
        }
    }

    fn on_service_call(&mut self, service_call: &ServiceCall, ctx: &mut Context<'_>) {
        if !self.admit(service_call.call, &service_call.account, ctx) {
            return;
        }
        let site = ctx.site_config.clone();
        let Some((service, route)) = find_route(&site, &service_call.method, &service_call.path)
        else {
            let problem = Problem::new(ProblemKind::NoRoute);
            ctx.push(Effect::AnswerProblem {
                call: service_call.call,
                problem,
            });
            return;
        };
        ctx.count(Counter::CallsAsked);
        match route.semantics {
            Semantics::Idempotent => self
                .idempotent_calls
                .start(service_call, service, route, ctx),
            Semantics::NonIdempotent => {
                let request = self.next_request_id(ctx);
                self.keyed_calls
                    .start(request, service_call, service, route, ctx);
            }
        }
    }

    fn on_caller_gone(&mut self, call: CallId, ctx: &mut Context<'_>) {
        if !self.open_calls.close(call) {
            return;
        }
        self.streams.on_caller_gone(call, ctx);
        self.idempotent_calls.on_caller_gone(call);
        self.keyed_calls.on_caller_gone(call);
    }

    fn on_peer(&mut self, from: &Sender, message: PeerMessage, ctx: &mut Context<'_>) {
        self.sweep.on_message(from.incarnation, ctx);
        match message {
            PeerMessage::Place(request) => self.shards.on_place(&from.vm, request, ctx),
            PeerMessage::PlaceReply(reply) => self.streams.on_place_reply(&from.vm, reply, ctx),
            PeerMessage::GrantReport(report) => self.shards.on_grant_report(report, ctx),
            PeerMessage::Claim(request) => self.partitions.on_claim(&from.vm, request, ctx),
            PeerMessage::ClaimReply(reply) => self.keyed_calls.on_claim_reply(reply, ctx),
            PeerMessage::RecordOutcome(record) => self.partitions.on_outcome(record, ctx),
            PeerMessage::OutcomeRequest(request) => {
                self.keyed_calls.on_outcome_request(&from.vm, request, ctx)
            }
            PeerMessage::OutcomeReply(reply) => self.keyed_calls.on_outcome_reply(reply, ctx),
            PeerMessage::PullConfig(request) => self.config.on_pull(&from.vm, &request, ctx),
            PeerMessage::PushConfig(push) => self.config.on_push(&from.vm, &push, ctx),
            PeerMessage::Probe(probe) => {
                let next = probe.next_config_offset;
                membership::on_probe(&from.vm, probe, ctx);
                self.config.on_peer_next_offset(&from.vm, next, ctx);
            }
            PeerMessage::ProbeAck(ack) => {
                let next = ack.next_config_offset;
                membership::on_ack(&from.vm, ack, ctx);
                self.config.on_peer_next_offset(&from.vm, next, ctx);
            }
            PeerMessage::IndirectProbe(request) => {
                membership::on_indirect_probe(&from.vm, request, ctx)
            }
        }
    }

    fn on_engine(&mut self, event: EngineEvent, ctx: &mut Context<'_>) {
        if let EngineEvent::AttemptsListed { endpoint, attempts } = &event {
            self.sweep
                .on_attempts_listed(endpoint, attempts, &self.streams, ctx);
        }
        self.shards.on_engine(&event, ctx);
        self.streams.on_engine(event, ctx);
    }

    fn on_service(&mut self, event: ServiceEvent, ctx: &mut Context<'_>) {
        match event {
            ServiceEvent::Answered {
                call,
                attempt,
                answer,
            } => {
                // `false` means that no non-idempotent call has this id.
                if !self.keyed_calls.on_answered(call, attempt, &answer, ctx) {
                    self.idempotent_calls.on_answered(call, answer, ctx);
                }
            }
            ServiceEvent::Failed {
                call,
                attempt,
                sent,
            } => {
                // `false` means that no non-idempotent call has this id.
                if !self.keyed_calls.on_failed(call, attempt, sent, ctx) {
                    self.idempotent_calls.on_failed(call, attempt, ctx);
                }
            }
        }
    }

    fn on_log(&mut self, event: LogEvent, ctx: &mut Context<'_>) {
        let stream = match &event {
            LogEvent::Read { stream, .. }
            | LogEvent::ReadFailed { stream }
            | LogEvent::Appended { stream, .. }
            | LogEvent::AppendFailed { stream, .. } => *stream,
        };
        let event = self.check_era(stream, event, ctx);
        match stream {
            LogStream::Config => self.config.on_log(event, ctx),
            LogStream::Claims(partition) => self.partitions.on_log(partition, event, ctx),
        }
    }

    /// Prepares all readers for a new era; an answer of an earlier era becomes a failed read.
    fn check_era(&mut self, stream: LogStream, event: LogEvent, ctx: &mut Context<'_>) -> LogEvent {
        let LogEvent::Read { era, .. } = &event else {
            return event;
        };
        match self.era_watch.observe(*era, ctx) {
            EraChange::None => event,
            EraChange::Newer => {
                self.config.on_log_restored(*era, ctx);
                self.partitions.on_log_restored(*era, ctx);
                event
            }
            EraChange::Outdated => LogEvent::ReadFailed { stream },
        }
    }
}
