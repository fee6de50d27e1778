//! Discrete-event simulation of several relays and model engines.

pub(crate) mod outcomes;
pub(crate) mod role_orders;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::Credential;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayRequest;
use arbutusfall_core::relay::RequestKey;
use arbutusfall_core::relay::RequestKeys;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SharedParts;
use arbutusfall_core::relay::TokenCounts;
use arbutusfall_core::relay::Work;

use crate::relay_harness::HOST;
use crate::relay_harness::RETRY_LIMIT;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

use outcomes::Outcomes;
use role_orders::RoleOrders;

/// One-way delay between a VM and an engine.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1_400);

/// Prefill rate of an engine, in prompt tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 55.6;

/// Tokens in one event of a stream.
const EVENT_TOKENS: u64 = 72;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Capacity of an engine's memory.
const MEMORY_TOKENS: u64 = 107_368;

/// Prompt size from which a request counts as large.
const LARGE_PROMPT_TOKENS: u32 = 6_500;

/// An open request.
#[derive(Clone, Copy)]
struct OpenRequest {
    /// Instant of the caller's first attempt.
    first_sent_at: Duration,
    sent_at: Duration,
    prompt_tokens: u32,
    stream_events: u64,
    token_counts: TokenCounts,
}

/// Memory that a decode engine holds for a reservation or an exchange.
struct HeldMemory {
    engine: Arc<str>,
    reserved_tokens: u64,
}

/// The relays, the engines and the events in transit.
pub(crate) struct RelaySimulation {
    vms: Vec<RelayHarness>,
    now: Duration,
    scheduled: BTreeMap<(Duration, u64), (usize, ExchangeId, ExchangeEvent)>,
    sequence: u64,
    open_requests: BTreeMap<(usize, CallId), OpenRequest>,
    /// Whether refused callers retry once after the requested delay.
    pub(crate) callers_retry: bool,
    /// Numbers of events of the streams.
    pub(crate) stream_events: Range<u64>,
    /// Factors of the time between events, of decode engines that are slow.
    pub(crate) slow_engines: BTreeMap<Arc<str>, u32>,
    /// The lease and the engines' roles; without a holder no VM gives orders.
    pub(crate) role_orders: RoleOrders,
    /// Requests of callers that will retry, by the instant of the retry.
    pending_retries: BTreeMap<(Duration, u64), OpenRequest>,
    /// Tokens of memory in use or reserved at each decode engine.
    memory: BTreeMap<Arc<str>, u64>,
    /// Instant from which each prefill engine is idle.
    idle_at: BTreeMap<Arc<str>, Duration>,
    held_memory: BTreeMap<(usize, ExchangeId), HeldMemory>,
    reservations: BTreeMap<Arc<str>, HeldMemory>,
    calls: u64,
    rng: fastrand::Rng,
    pub(crate) outcomes: Outcomes,
}

impl RelaySimulation {
    /// Creates a number of VMs that all list the same prefill and decode engines.
    pub(crate) fn new(vms: usize, prefill: usize, decode: usize, seed: u64) -> Self {
        Self::with_slow_start(vms, prefill, decode, seed, false)
    }

    /// Creates VMs as [`Self::new`] does, with or without slow start.
    pub(crate) fn with_slow_start(
        vms: usize,
        prefill: usize,
        decode: usize,
        seed: u64,
        slow_start: bool,
    ) -> Self {
        let names = |role: &str, count: usize| -> Vec<Arc<str>> {
            (0..count)
                .map(|index| format!("{role}-{index}").into())
                .collect()
        };
        let prefills = names("prefill", prefill);
        let decodes = names("decode", decode);
        let mut entries: Vec<EndpointListChange> = Vec::new();
        for (names, role) in [(&prefills, Role::Prefill), (&decodes, Role::Decode)] {
            let entry = |name: &Arc<str>| EndpointListChange::Listed(listed(name, "model", role));
            entries.extend(names.iter().map(entry));
        }
        let new_vm = |index: usize| {
            let mut harness =
                RelayHarness::with_slow_start(seed + index as u64, RETRY_LIMIT, slow_start);
            harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
            harness.apply(RelayEvent::EndpointChanges(entries.clone()));
            harness.effects.clear();
            harness
        };
        Self {
            vms: (0..vms).map(new_vm).collect(),
            now: ms(1_000),
            scheduled: BTreeMap::new(),
            sequence: 0,
            open_requests: BTreeMap::new(),
            callers_retry: false,
            stream_events: 20..120,
            slow_engines: BTreeMap::new(),
            role_orders: RoleOrders::default(),
            pending_retries: BTreeMap::new(),
            memory: decodes.into_iter().map(|name| (name, 0)).collect(),
            idle_at: prefills
                .into_iter()
                .map(|name| (name, Duration::ZERO))
                .collect(),
            held_memory: BTreeMap::new(),
            reservations: BTreeMap::new(),
            calls: 0,
            rng: fastrand::Rng::with_seed(seed),
            outcomes: Outcomes::default(),
        }
    }

    /// Runs for `time` while requests arrive at random at a mean rate of `per_s` per second.
    pub(crate) fn run_load(&mut self, per_s: f64, time: Duration) {
        let until = self.now + time;
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / per_s;
            let at = self.now + Duration::from_secs_f64(gap);
            if at >= until {
                self.run_until(until);
                return;
            }
            self.run_until(at);
            self.submit_new();
        }
    }

    /// Runs until all requests have ended and checks that all memory is free.
    pub(crate) fn finish(&mut self) {
        self.run_until(self.now + Duration::from_secs(30));
        assert!(self.open_requests.is_empty(), "requests are still open");
        assert!(
            self.memory.values().all(|used| *used == 0),
            "engine memory is still in use"
        );
    }

    fn submit_new(&mut self) {
        let stream_events = self.rng.u64(self.stream_events.clone());
        let expected_events = stream_events as f64 * (0.5 + self.rng.f64());
        let token_counts = TokenCounts {
            prompt_tokens: 2_500 + self.rng.u32(..5_000),
            max_output_tokens: (self.stream_events.end + 10) as u32 * EVENT_TOKENS as u32,
            expected_output_tokens: Some(expected_events as u32 * EVENT_TOKENS as u32),
        };
        self.outcomes.submitted += 1;
        self.outcomes.by_size[size_class(token_counts.prompt_tokens)].submitted += 1;
        self.send_request(OpenRequest {
            first_sent_at: self.now,
            sent_at: self.now,
            prompt_tokens: token_counts.prompt_tokens,
            stream_events,
            token_counts,
        });
    }

    /// Sends a caller's first or second attempt to a random VM.
    fn send_request(&mut self, open: OpenRequest) {
        let vm = self.rng.usize(..self.vms.len());
        self.calls += 1;
        let call = CallId(self.calls);
        self.open_requests.insert((vm, call), open);
        let waited = open.sent_at - open.first_sent_at;
        let request_key = RequestKey(format!("key-{}", call.0).into());
        let request = RelayRequest {
            call,
            request_id: format!("request-{}", call.0).into(),
            host: HOST.into(),
            path: "/stream/1".into(),
            caller_timeout: Some(ms(14_000) - waited),
            receive_time: Duration::ZERO,
            token_counts: Some(open.token_counts),
            shared_parts: SharedParts::default(),
            request_keys: RequestKeys {
                own: request_key.clone(),
                of_any_caller: request_key,
            },
            credential: Credential::Missing,
            resumption: None,
            hop: None,
        };
        self.apply(vm, RelayEvent::RequestReceived(Box::new(request)));
    }

    fn on_refused(&mut self, open: OpenRequest, problem: &Problem) {
        let after = self.now - open.sent_at;
        self.outcomes.longest_refusal = self.outcomes.longest_refusal.max(after);
        let is_first = open.sent_at == open.first_sent_at;
        let retry_after = problem
            .retry_after
            .filter(|_| self.callers_retry && is_first);
        if let Some(retry_after) = retry_after {
            self.outcomes.retried += 1;
            self.sequence += 1;
            let at = self.now + retry_after;
            let sent_at = at;
            let open = OpenRequest { sent_at, ..open };
            self.pending_retries.insert((at, self.sequence), open);
        } else {
            self.outcomes.refused += 1;
        }
    }

    /// Returns the instant of the next event, tick or caller retry.
    fn next_event_at(&self) -> Option<Duration> {
        let next_scheduled = self.scheduled.keys().next().map(|(at, _)| *at);
        let ticks = self.vms.iter().filter_map(|vm| vm.wake_at);
        let pending_retries = self.pending_retries.keys().next().map(|(at, _)| *at);
        let control = self.role_orders.next_at();
        ticks
            .chain(next_scheduled)
            .chain(pending_retries)
            .chain(control)
            .min()
    }

    fn run_until(&mut self, until: Duration) {
        while let Some(at) = self.next_event_at().filter(|at| *at <= until) {
            self.now = at.max(self.now);
            if self.deliver_control() {
                continue;
            }
            if self
                .pending_retries
                .keys()
                .next()
                .is_some_and(|(due, _)| *due <= at)
            {
                if let Some((_, open)) = self.pending_retries.pop_first() {
                    self.send_request(open);
                }
                continue;
            }
            if self
                .scheduled
                .keys()
                .next()
                .is_some_and(|(due, _)| *due <= at)
            {
                if let Some((_, (vm, exchange, event))) = self.scheduled.pop_first() {
                    self.apply(vm, RelayEvent::Exchange { exchange, event });
                }
                continue;
            }
            let due = self
                .vms
                .iter()
                .position(|vm| vm.wake_at.is_some_and(|wake| wake <= at));
            if let Some(vm) = due {
                self.apply(vm, RelayEvent::Tick);
            }
        }
        self.now = until;
    }

    fn apply(&mut self, vm: usize, event: RelayEvent) {
        if let RelayEvent::Exchange { exchange, event } = &event
            && matches!(event, ExchangeEvent::Complete { .. })
        {
            self.release(vm, *exchange);
        }
        self.vms[vm].now = self.now;
        self.vms[vm].apply(event);
        for effect in std::mem::take(&mut self.vms[vm].effects) {
            self.execute(vm, effect);
        }
    }

    fn schedule(&mut self, vm: usize, exchange: ExchangeId, after: Duration, event: ExchangeEvent) {
        self.sequence += 1;
        let at = self.now + after;
        self.scheduled
            .insert((at, self.sequence), (vm, exchange, event));
    }

    fn execute(&mut self, vm: usize, effect: RelayEffect) {
        match effect {
            RelayEffect::Send(command) => self.send(vm, &command),
            RelayEffect::Close { exchange } => {
                self.scheduled
                    .retain(|_, (of, id, _)| (*of, *id) != (vm, exchange));
                self.release(vm, exchange);
            }
            RelayEffect::FreeReservation { reservation, .. } => {
                if let Some(held) = self.reservations.remove(&reservation) {
                    self.free(&held);
                }
            }
            RelayEffect::Forward { call, .. } => {
                if let Some(open) = self.open_requests.get(&(vm, call)) {
                    let is_on_time = self.now <= open.first_sent_at + ms(900);
                    self.outcomes.on_time += usize::from(is_on_time);
                    self.outcomes.late += usize::from(!is_on_time);
                    self.outcomes.by_size[size_class(open.prompt_tokens)].served += 1;
                }
            }
            RelayEffect::Finish { call } => {
                self.open_requests.remove(&(vm, call));
            }
            RelayEffect::Abort { call } => {
                self.open_requests.remove(&(vm, call));
                self.outcomes.failed += 1;
            }
            RelayEffect::AnswerProblem { call, problem } => {
                if let Some(open) = self.open_requests.remove(&(vm, call)) {
                    self.on_refused(open, &problem);
                }
            }
            RelayEffect::RenewLease { .. } => self.role_orders.on_renewal(vm, self.now),
            RelayEffect::OrderRole {
                instance,
                role,
                token,
                ..
            } => self.accept_order(vm, instance, role, token),
            _ => {}
        }
    }

    /// Returns whether an engine serves the role that an exchange needs; if not, it refuses the exchange.
    fn is_served(&mut self, vm: usize, command: &SendCommand) -> bool {
        let role = match command.work {
            Work::Prefill => Role::Prefill,
            _ => Role::Decode,
        };
        let is_served = self.role_orders.serves(&command.instance, role, self.now);
        if !is_served {
            let reason = NotRunReason::Refused;
            let refusal = ExchangeEvent::NotRun { reason };
            self.schedule(vm, command.exchange, 2 * ONE_WAY_DELAY, refusal);
        }
        is_served
    }

    fn send(&mut self, vm: usize, command: &SendCommand) {
        self.outcomes.exchanges += 1;
        let id = command.exchange;
        if !self.is_served(vm, command) {
            return;
        }
        match &command.work {
            Work::Reserve { tokens, .. } => self.reserve(vm, command, *tokens),
            Work::Prefill => {
                self.outcomes.prefills += 1;
                let open = self.open_requests.get(&(vm, command.call));
                let tokens = open.map_or(0.0, |open| f64::from(open.prompt_tokens));
                let work = Duration::from_secs_f64(tokens / PREFILL_TOKENS_PER_MS / 1_000.0);
                let idle_at = self.idle_at.entry(command.instance.clone()).or_default();
                *idle_at = (*idle_at).max(self.now + ONE_WAY_DELAY) + work;
                let after = *idle_at + ONE_WAY_DELAY - self.now;
                let handle = "handle".into();
                self.schedule(vm, id, after, ExchangeEvent::PrefillDone { handle });
            }
            Work::Decode { reservation, .. } => {
                self.outcomes.decodes += 1;
                let reservation = reservation.as_ref().expect("decode without a reservation");
                let held = self.reservations.remove(reservation);
                let held = held.expect("unknown or used reservation");
                self.held_memory.insert((vm, id), held);
                self.stream(vm, command);
            }
            Work::Plain | Work::Forward(_) => panic!("only model requests are simulated"),
        }
    }

    fn reserve(&mut self, vm: usize, command: &SendCommand, tokens: u64) {
        self.outcomes.reservation_attempts += 1;
        let used = self.memory.entry(command.instance.clone()).or_default();
        if *used + tokens > MEMORY_TOKENS {
            let reason = NotRunReason::Refused;
            self.schedule(
                vm,
                command.exchange,
                2 * ONE_WAY_DELAY,
                ExchangeEvent::NotRun { reason },
            );
            return;
        }
        *used += tokens;
        let reservation: Arc<str> = format!("{vm}-{}", command.exchange.0).into();
        let held = HeldMemory {
            engine: command.instance.clone(),
            reserved_tokens: tokens,
        };
        self.reservations.insert(reservation.clone(), held);
        self.schedule(
            vm,
            command.exchange,
            2 * ONE_WAY_DELAY,
            ExchangeEvent::Reserved { reservation },
        );
    }

    fn stream(&mut self, vm: usize, command: &SendCommand) {
        let stream_events = self
            .open_requests
            .get(&(vm, command.call))
            .map_or(1, |open| open.stream_events);
        let id = command.exchange;
        let slowness = self.slow_engines.get(&command.instance).copied();
        self.outcomes.slow_decodes += usize::from(slowness.is_some());
        let interval = EVENT_INTERVAL * slowness.unwrap_or(1);
        self.schedule(vm, id, 2 * ONE_WAY_DELAY, ExchangeEvent::StreamBegan);
        for index in 1..=stream_events {
            let after = interval * index as u32;
            let last_event_id = Some(index);
            self.schedule(vm, id, after, ExchangeEvent::Progress { last_event_id });
        }
        let after = interval * stream_events as u32 + ONE_WAY_DELAY;
        self.schedule(vm, id, after, ExchangeEvent::Complete { status: 200 });
    }

    fn release(&mut self, vm: usize, exchange: ExchangeId) {
        if let Some(held) = self.held_memory.remove(&(vm, exchange)) {
            self.free(&held);
        }
    }

    fn free(&mut self, held: &HeldMemory) {
        if let Some(memory) = self.memory.get_mut(&held.engine) {
            *memory -= held.reserved_tokens;
        }
    }
}

fn size_class(prompt_tokens: u32) -> usize {
    usize::from(prompt_tokens >= LARGE_PROMPT_TOKENS)
}
