//! Several relays before simulated model engines; time jumps from one event to the next.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::DirectoryChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::Prompt;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayRequest;
use arbutusfall_core::relay::SendOrder;
use arbutusfall_core::relay::Work;

use crate::relay_world::HOST;
use crate::relay_world::World;
use crate::relay_world::listed;
use crate::relay_world::ms;
use crate::relay_world::routes;

/// One-way delay between a VM and an engine.
const DELAY: Duration = Duration::from_micros(1_400);

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_RATE: f64 = 55.6;

/// Tokens of one event of a stream.
const EVENT_TOKENS: u64 = 72;

/// Time from one event of a stream to the next.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Tokens that an engine's memory holds.
const MEMORY_TOKENS: u64 = 107_368;

/// Prompt tokens from which on a request is counted as large.
const LARGE_PROMPT_TOKENS: u32 = 6_500;

/// Requests of one size.
#[derive(Debug, Default)]
pub(crate) struct Sizes {
    pub(crate) asked: usize,
    pub(crate) served: usize,
}

/// What became of the requests.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) asked: usize,
    /// First event within the target.
    pub(crate) on_time: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    /// Longest time after which a request was refused.
    pub(crate) longest_refusal: Duration,
    pub(crate) prefills: usize,
    pub(crate) decodes: usize,
    /// Requests with small prompts, and with large ones.
    pub(crate) by_size: [Sizes; 2],
    /// Asks for room.
    pub(crate) asks: usize,
    /// Callers that came back after a refusal.
    pub(crate) returned: usize,
    /// Connections to engines.
    pub(crate) exchanges: usize,
}

/// A request that is open.
#[derive(Clone, Copy)]
struct Open {
    /// Instant of the caller's first try.
    first_asked_at: Duration,
    asked_at: Duration,
    prompt_tokens: u32,
    events: u64,
    prompt: Prompt,
}

/// What an engine does for one exchange.
struct Use {
    engine: Arc<str>,
    reserved: u64,
}

/// The relays, the engines and what is on its way.
pub(crate) struct Play {
    vms: Vec<World>,
    now: Duration,
    queue: BTreeMap<(Duration, u64), (usize, ExchangeId, ExchangeEvent)>,
    sequence: u64,
    open: BTreeMap<(usize, CallId), Open>,
    /// Whether refused callers come back once, when they are told to.
    pub(crate) callers_return: bool,
    /// Requests of callers that will come back.
    returns: BTreeMap<(Duration, u64), Open>,
    /// Memory in use and reserved at each decode engine.
    memory: BTreeMap<Arc<str>, u64>,
    /// Instant from which each prefill engine is free.
    free_at: BTreeMap<Arc<str>, Duration>,
    uses: BTreeMap<(usize, ExchangeId), Use>,
    reservations: BTreeMap<Arc<str>, Use>,
    calls: u64,
    rng: fastrand::Rng,
    pub(crate) outcomes: Outcomes,
}

impl Play {
    /// VMs that know the same engines.
    pub(crate) fn new(vms: usize, prefill: usize, decode: usize, seed: u64) -> Self {
        let names = |role: &str, count: usize| -> Vec<Arc<str>> {
            (0..count)
                .map(|index| format!("{role}-{index}").into())
                .collect()
        };
        let prefills = names("prefill", prefill);
        let decodes = names("decode", decode);
        let mut entries: Vec<DirectoryChange> = Vec::new();
        for (names, role) in [(&prefills, Role::Prefill), (&decodes, Role::Decode)] {
            let entry = |name: &Arc<str>| DirectoryChange::Listed(listed(name, "captions", role));
            entries.extend(names.iter().map(entry));
        }
        let start = |index: usize| {
            let mut world = World::empty(seed + index as u64);
            world.apply(RelayEvent::Routes(Arc::new(routes(1))));
            world.apply(RelayEvent::Directory(entries.clone()));
            world.effects.clear();
            world
        };
        Self {
            vms: (0..vms).map(start).collect(),
            now: ms(1_000),
            queue: BTreeMap::new(),
            sequence: 0,
            open: BTreeMap::new(),
            callers_return: false,
            returns: BTreeMap::new(),
            memory: decodes.into_iter().map(|name| (name, 0)).collect(),
            free_at: prefills
                .into_iter()
                .map(|name| (name, Duration::ZERO))
                .collect(),
            uses: BTreeMap::new(),
            reservations: BTreeMap::new(),
            calls: 0,
            rng: fastrand::Rng::with_seed(seed),
            outcomes: Outcomes::default(),
        }
    }

    /// Lets requests arrive at random at a rate for some time.
    pub(crate) fn arrive(&mut self, per_s: f64, time: Duration) {
        let until = self.now + time;
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / per_s;
            let at = self.now + Duration::from_secs_f64(gap);
            if at >= until {
                self.run_until(until);
                return;
            }
            self.run_until(at);
            self.ask();
        }
    }

    /// Lets all requests come to their ends.
    pub(crate) fn finish(&mut self) {
        self.run_until(self.now + Duration::from_secs(30));
        assert!(self.open.is_empty(), "each request has an end");
        assert!(
            self.memory.values().all(|used| *used == 0),
            "all memory is free"
        );
    }

    fn ask(&mut self) {
        let events = 20 + self.rng.u64(..100);
        let hint = events as f64 * (0.5 + self.rng.f64());
        let prompt = Prompt {
            prompt_tokens: 2_500 + self.rng.u32(..5_000),
            max_output_tokens: 130 * EVENT_TOKENS as u32,
            expected_output_tokens: Some(hint as u32 * EVENT_TOKENS as u32),
        };
        self.outcomes.asked += 1;
        self.outcomes.by_size[size_of(prompt.prompt_tokens)].asked += 1;
        self.send_request(Open {
            first_asked_at: self.now,
            asked_at: self.now,
            prompt_tokens: prompt.prompt_tokens,
            events,
            prompt,
        });
    }

    /// Sends a caller's first or second try to a VM at random.
    fn send_request(&mut self, open: Open) {
        let vm = self.rng.usize(..self.vms.len());
        self.calls += 1;
        let call = CallId(self.calls);
        self.open.insert((vm, call), open);
        let waited = open.asked_at - open.first_asked_at;
        let request = RelayRequest {
            call,
            request_id: format!("request-{}", call.0).into(),
            host: HOST.into(),
            path: "/album/1".into(),
            patience: Some(ms(14_000) - waited),
            prompt: Some(open.prompt),
        };
        self.apply(vm, RelayEvent::Asked(request));
    }

    fn on_refused(&mut self, open: Open, problem: &Problem) {
        let after = self.now - open.asked_at;
        self.outcomes.longest_refusal = self.outcomes.longest_refusal.max(after);
        let is_first = open.asked_at == open.first_asked_at;
        let retry_after = problem
            .retry_after
            .filter(|_| self.callers_return && is_first);
        if let Some(retry_after) = retry_after {
            self.outcomes.returned += 1;
            self.sequence += 1;
            let at = self.now + retry_after;
            let asked_at = at;
            let open = Open { asked_at, ..open };
            self.returns.insert((at, self.sequence), open);
        } else {
            self.outcomes.refused += 1;
        }
    }

    /// The next instant at which something happens.
    fn next_at(&self) -> Option<Duration> {
        let queued = self.queue.keys().next().map(|(at, _)| *at);
        let ticks = self.vms.iter().filter_map(|vm| vm.wake_at);
        let returns = self.returns.keys().next().map(|(at, _)| *at);
        ticks.chain(queued).chain(returns).min()
    }

    fn run_until(&mut self, until: Duration) {
        while let Some(at) = self.next_at().filter(|at| *at <= until) {
            self.now = at.max(self.now);
            if self
                .returns
                .keys()
                .next()
                .is_some_and(|(due, _)| *due <= at)
            {
                if let Some((_, open)) = self.returns.pop_first() {
                    self.send_request(open);
                }
                continue;
            }
            if self.queue.keys().next().is_some_and(|(due, _)| *due <= at) {
                if let Some((_, (vm, exchange, event))) = self.queue.pop_first() {
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
            self.perform(vm, effect);
        }
    }

    fn tell(&mut self, vm: usize, exchange: ExchangeId, after: Duration, event: ExchangeEvent) {
        self.sequence += 1;
        let at = self.now + after;
        self.queue
            .insert((at, self.sequence), (vm, exchange, event));
    }

    fn perform(&mut self, vm: usize, effect: RelayEffect) {
        match effect {
            RelayEffect::Send(order) => self.send(vm, &order),
            RelayEffect::Close { exchange } => {
                self.queue
                    .retain(|_, (of, id, _)| (*of, *id) != (vm, exchange));
                self.release(vm, exchange);
            }
            RelayEffect::FreeReservation { reservation, .. } => {
                if let Some(used) = self.reservations.remove(&reservation) {
                    self.free(&used);
                }
            }
            RelayEffect::Forward { call, .. } => {
                if let Some(open) = self.open.get(&(vm, call)) {
                    let is_on_time = self.now <= open.first_asked_at + ms(900);
                    self.outcomes.on_time += usize::from(is_on_time);
                    self.outcomes.late += usize::from(!is_on_time);
                    self.outcomes.by_size[size_of(open.prompt_tokens)].served += 1;
                }
            }
            RelayEffect::Finish { call } => {
                self.open.remove(&(vm, call));
            }
            RelayEffect::Abort { call } => {
                self.open.remove(&(vm, call));
                self.outcomes.failed += 1;
            }
            RelayEffect::Refuse { call, problem } => {
                if let Some(open) = self.open.remove(&(vm, call)) {
                    self.on_refused(open, &problem);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, vm: usize, order: &SendOrder) {
        self.outcomes.exchanges += 1;
        let id = order.exchange;
        match &order.work {
            Work::Reserve { tokens, .. } => self.reserve(vm, order, *tokens),
            Work::Prefill => {
                self.outcomes.prefills += 1;
                let open = self.open.get(&(vm, order.call));
                let tokens = open.map_or(0.0, |open| f64::from(open.prompt_tokens));
                let work = Duration::from_secs_f64(tokens / PREFILL_RATE / 1_000.0);
                let free_at = self.free_at.entry(order.instance.clone()).or_default();
                *free_at = (*free_at).max(self.now + DELAY) + work;
                let after = *free_at + DELAY - self.now;
                let handle = "handle".into();
                self.tell(vm, id, after, ExchangeEvent::PrefillDone { handle });
            }
            Work::Decode { reservation, .. } => {
                self.outcomes.decodes += 1;
                let reservation = reservation.as_ref().expect("room is reserved first");
                let used = self.reservations.remove(reservation);
                let used = used.expect("a reservation is used once");
                self.uses.insert((vm, id), used);
                self.stream(vm, order);
            }
            Work::Plain => panic!("no plain requests are played"),
        }
    }

    fn reserve(&mut self, vm: usize, order: &SendOrder, tokens: u64) {
        self.outcomes.asks += 1;
        let used = self.memory.entry(order.instance.clone()).or_default();
        if *used + tokens > MEMORY_TOKENS {
            let reason = NotRunReason::Refused;
            self.tell(
                vm,
                order.exchange,
                2 * DELAY,
                ExchangeEvent::NotRun { reason },
            );
            return;
        }
        *used += tokens;
        let reservation: Arc<str> = format!("{vm}-{}", order.exchange.0).into();
        let used = Use {
            engine: order.instance.clone(),
            reserved: tokens,
        };
        self.reservations.insert(reservation.clone(), used);
        self.tell(
            vm,
            order.exchange,
            2 * DELAY,
            ExchangeEvent::Reserved { reservation },
        );
    }

    fn stream(&mut self, vm: usize, order: &SendOrder) {
        let events = self
            .open
            .get(&(vm, order.call))
            .map_or(1, |open| open.events);
        let id = order.exchange;
        self.tell(vm, id, 2 * DELAY, ExchangeEvent::StreamBegan);
        for index in 1..=events {
            let after = EVENT_INTERVAL * index as u32;
            let last_event_id = Some(index);
            self.tell(vm, id, after, ExchangeEvent::Progress { last_event_id });
        }
        let after = EVENT_INTERVAL * events as u32 + DELAY;
        self.tell(vm, id, after, ExchangeEvent::Complete { status: 200 });
    }

    fn release(&mut self, vm: usize, exchange: ExchangeId) {
        if let Some(used) = self.uses.remove(&(vm, exchange)) {
            self.free(&used);
        }
    }

    fn free(&mut self, used: &Use) {
        if let Some(memory) = self.memory.get_mut(&used.engine) {
            *memory -= used.reserved;
        }
    }
}

fn size_of(prompt_tokens: u32) -> usize {
    usize::from(prompt_tokens >= LARGE_PROMPT_TOKENS)
}
