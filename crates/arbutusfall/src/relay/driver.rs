//! Feeds events to the relay and performs its effects.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutusfall_core::relay::CallerLimits;
use arbutusfall_core::relay::CrashCause;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::Relay;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_platform::endpoints;
use arbutusfall_wire::FastMap;
use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::Value;
use serde_json::json;

use crate::Clock;
use crate::Executor;
use crate::SystemClock;
use crate::http::AnswerBody;
use crate::http::AnswerMemory;
use crate::relay::control_client::ControlClient;
use crate::relay::decision_log::DecisionLog;
use crate::relay::endpoint_check;
use crate::relay::exchange;
use crate::relay::metrics::Metrics;
use crate::relay::metrics::StateMetrics;
use crate::relay::open_calls::AnswerHead;
use crate::relay::open_calls::OpenCalls;
use crate::relay::open_calls::Reply;
use crate::relay::shared_records;
use crate::relay::store_client::StoreClient;
use crate::relay::stream_records;

/// An exchange in progress.
#[derive(Default)]
struct OpenExchange {
    /// Task that runs the exchange; dropping it closes the connection.
    task: Option<Task<()>>,
    head: Option<AnswerHead>,
    body: Option<Bytes>,
    hold: Option<Hold>,
}

/// Mark of an exchange that is held; the exchange goes on when it is dropped.
struct Hold {
    _sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Default for Hold {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            _sender: sender,
            receiver,
        }
    }
}

/// The relay with its queue, exchanges and open calls; shared by all tasks.
pub(super) struct Driver {
    relay: Mutex<Relay>,
    /// Events that wait while another event is handled.
    queue: Mutex<VecDeque<RelayEvent>>,
    exchanges: Mutex<FastMap<ExchangeId, OpenExchange>>,
    pub(super) calls: OpenCalls,
    pub(super) executor: Arc<Executor>,
    control: ControlClient,
    pub(super) store: StoreClient,
    pub(super) answer_memory: Arc<AnswerMemory>,
    log: DecisionLog,
    metrics: Metrics,
    clock: SystemClock,
    ready: AtomicBool,
    limits: Mutex<CallerLimits>,
    hash_key: Mutex<RequestHashKey>,
    /// Sends the due time of the next tick to the timer task.
    wake_sender: Sender<Option<Duration>>,
    wake_receiver: Receiver<Option<Duration>>,
    close_request_sender: Sender<()>,
    close_request_receiver: Receiver<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn count_blocked(relay: &Relay, is_request: bool) -> usize {
    let blocks = relay.blocked_causes();
    let blocks = blocks.filter(|(cause, _)| cause.is_request() == is_request);
    blocks.count()
}

impl Driver {
    pub(super) fn new(
        relay: Relay,
        control: ControlClient,
        store: StoreClient,
        answer_memory: Arc<AnswerMemory>,
        log: DecisionLog,
        executor: Arc<Executor>,
    ) -> Self {
        let (wake_sender, wake_receiver) = async_channel::unbounded();
        let (close_request_sender, close_request_receiver) = async_channel::bounded(1);
        let limits = relay.limits();
        let hash_key = relay.hash_key();
        Self {
            relay: Mutex::new(relay),
            queue: Mutex::default(),
            exchanges: Mutex::default(),
            calls: OpenCalls::default(),
            executor,
            control,
            store,
            answer_memory,
            log,
            metrics: Metrics::default(),
            clock: SystemClock::start(),
            ready: AtomicBool::new(false),
            limits: Mutex::new(limits),
            hash_key: Mutex::new(hash_key),
            wake_sender,
            wake_receiver,
            close_request_sender,
            close_request_receiver,
        }
    }

    /// Writes a notice to the log and counts it.
    pub(super) fn record_notice(&self, notice: &RelayNotice) {
        self.metrics.on_notice(notice);
        self.log.write(notice, self.clock.now());
    }

    /// Waits until the queued log lines are written, at most for `timeout`.
    pub(super) async fn finish_log(&self, timeout: Duration) {
        self.log.finish(timeout).await;
    }

    /// Returns whether readiness probes succeed.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns the limits on callers' requests.
    pub(super) fn limits(&self) -> CallerLimits {
        lock(&self.limits).clone()
    }

    /// Returns the key for hashes of requests.
    pub(super) fn hash_key(&self) -> RequestHashKey {
        *lock(&self.hash_key)
    }

    /// Returns the monotonic time.
    pub(super) fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Returns the counters, quantiles and the configuration in force as text.
    pub(super) fn metrics_text(&self) -> String {
        let relay = lock(&self.relay);
        let state = StateMetrics {
            config: relay.config_status(self.now()),
            store_era: self.store.era.newest(),
            blocked_parts: count_blocked(&relay, false),
            blocked_requests: count_blocked(&relay, true),
            limits: relay.limit_status(),
        };
        drop(relay);
        self.metrics.text(&state)
    }

    /// Returns the causes of crashes whose requests are refused, as a JSON document: parts of prompts, or single requests.
    pub(super) fn blocked_causes(&self, is_request: bool) -> Value {
        let relay = lock(&self.relay);
        let blocks = relay.blocked_causes();
        let blocks = blocks.filter(|(cause, _)| cause.is_request() == is_request);
        let blocks = blocks.map(|(cause, block)| {
            let name = if is_request { "request" } else { "part" };
            json!({ name: cause, "with": block.with, "crashed": block.instances })
        });
        blocks.collect()
    }

    /// Unblocks a cause at all VMs; returns whether it was blocked at this VM.
    pub(super) fn unblock(self: &Arc<Self>, cause: CrashCause) -> bool {
        let is_known = {
            let relay = lock(&self.relay);
            relay.blocked_causes().any(|(known, _)| *known == cause)
        };
        self.submit(RelayEvent::Unblock { cause });
        is_known
    }

    /// Queues an event and handles all queued events. A nested call, made while an effect is performed, only queues the
    /// event.
    pub(super) fn submit(self: &Arc<Self>, event: RelayEvent) {
        lock(&self.queue).push_back(event);
        loop {
            let Ok(mut relay) = self.relay.try_lock() else {
                // All tasks run on one thread, so this is a nested call: the outer call handles the event.
                return;
            };
            let next = lock(&self.queue).pop_front();
            let Some(event) = next else {
                return;
            };
            let is_config = matches!(event, RelayEvent::NewConfig(_));
            let is_shared = matches!(event, RelayEvent::SharedRecords { .. });
            let output = relay.apply(event, self.now());
            if is_shared {
                *lock(&self.hash_key) = relay.hash_key();
            }
            if is_config {
                *lock(&self.limits) = relay.limits();
            }
            for effect in output.effects {
                self.perform(effect);
            }
            drop(relay);
            // The channel lives as long as the driver.
            let _ = self.wake_sender.try_send(output.wake_at);
        }
    }

    /// Waits until the relay requests that callers' connections be closed.
    pub(super) async fn wait_for_close_request(&self) {
        // The channel lives as long as the driver.
        let _ = self.close_request_receiver.recv().await;
    }

    /// Submits a [`RelayEvent::Tick`] whenever one is due.
    pub(super) async fn run_timers(self: Arc<Self>) {
        let mut wake_at: Option<Duration> = None;
        loop {
            let rescheduled = async {
                self.wake_receiver
                    .recv()
                    .await
                    .ok()
                    .map(TimerEvent::Rescheduled)
            };
            let tick = async {
                match wake_at {
                    Some(due) => {
                        async_io::Timer::at(self.clock.instant_of(due)).await;
                    }
                    None => std::future::pending().await,
                }
                Some(TimerEvent::Due)
            };
            match tick.or(rescheduled).await {
                Some(TimerEvent::Rescheduled(due)) => {
                    wake_at = due;
                    while let Ok(due) = self.wake_receiver.try_recv() {
                        wake_at = due;
                    }
                }
                Some(TimerEvent::Due) => {
                    wake_at = None;
                    self.submit(RelayEvent::Tick);
                }
                None => return,
            }
        }
    }

    fn perform(self: &Arc<Self>, effect: RelayEffect) {
        match effect {
            RelayEffect::Send(command) => {
                let id = command.exchange;
                let mut exchanges = lock(&self.exchanges);
                let run = exchange::run(self.clone(), command);
                let task = self.executor.spawn(run);
                exchanges.entry(id).or_default().task = Some(task);
            }
            RelayEffect::Close { exchange } => self.remove_exchange(exchange),
            RelayEffect::Hold { exchange } => self.set_hold(exchange, Some(Hold::default())),
            RelayEffect::Release { exchange } => self.set_hold(exchange, None),
            RelayEffect::FreeKvCache(stored) => {
                let request = endpoints::free_kv_cache_request(&stored);
                self.spawn_free_request(stored.address, request);
            }
            RelayEffect::FreeReservation {
                address,
                reservation,
            } => {
                let request = endpoints::free_reservation_request(address, &reservation);
                self.spawn_free_request(address, request);
            }
            RelayEffect::Answer { call, exchange } => {
                let reply = self.take_answer(exchange);
                self.calls.end_with_reply(call, reply);
            }
            RelayEffect::Forward { call, exchange } => {
                let mut exchanges = lock(&self.exchanges);
                let head = exchanges
                    .get_mut(&exchange)
                    .and_then(|open| open.head.take());
                if let Some(head) = head {
                    self.calls.begin_stream(call, head);
                }
            }
            RelayEffect::Finish { call } => self.calls.finish_stream(call),
            RelayEffect::Abort { call } => self.calls.abort_stream(call),
            RelayEffect::AnswerProblem { call, problem } => {
                self.calls.end_with_reply(call, Reply::Problem(problem))
            }
            RelayEffect::CheckEndpoint { instance, address } => {
                let check = endpoint_check::check_endpoint(self.clone(), instance, address);
                self.executor.spawn(check).detach();
            }
            RelayEffect::RenewLease { token, lifetime } => {
                let renew = self
                    .control
                    .clone()
                    .renew_lease(self.clone(), token, lifetime);
                self.executor.spawn(renew).detach();
            }
            RelayEffect::ReleaseLease => {
                let release = self.control.clone().release_lease(self.clone());
                self.executor.spawn(release).detach();
            }
            RelayEffect::FindStream { call, attempt } => {
                let find = stream_records::find(self.clone(), call, attempt);
                self.executor.spawn(find).detach();
            }
            RelayEffect::RecordStreams(records) => {
                let append = stream_records::append(self.clone(), records);
                self.executor.spawn(append).detach();
            }
            RelayEffect::AppendShared(records) => {
                let append = shared_records::append_shared(self.clone(), records);
                self.executor.spawn(append).detach();
            }
            RelayEffect::OrderRole {
                instance,
                address,
                role,
                token,
            } => {
                let control = self.control.clone();
                let order = control.order_role(self.clone(), instance, address, role, token);
                self.executor.spawn(order).detach();
            }
            RelayEffect::SetReady(ready) => self.ready.store(ready, Ordering::Relaxed),
            RelayEffect::Note(notice) => self.record_notice(&notice),
            RelayEffect::CloseConnections => {
                // If this fails, the request to close is already queued.
                let _ = self.close_request_sender.try_send(());
            }
        }
    }

    /// Removes an exchange and returns its whole answer as a reply.
    fn take_answer(&self, exchange: ExchangeId) -> Reply {
        let open = lock(&self.exchanges).remove(&exchange);
        let answer = open.and_then(|open| Some((open.head?, open.body?)));
        match answer {
            Some((head, body)) => Reply::Endpoint(head, AnswerBody::whole(body)),
            None => Reply::Missing,
        }
    }

    fn spawn_free_request(self: &Arc<Self>, address: SocketAddr, request: Request<Bytes>) {
        let free = exchange::send_free_request(self.clone(), address, request);
        self.executor.spawn(free).detach();
    }

    fn set_hold(&self, exchange: ExchangeId, hold: Option<Hold>) {
        if let Some(open) = lock(&self.exchanges).get_mut(&exchange) {
            open.hold = hold;
        }
    }

    /// Waits while an exchange is held.
    pub(super) async fn wait_while_held(&self, exchange: ExchangeId) {
        while let Some(hold) = self.hold_of(exchange) {
            // Nothing is ever sent; this returns when the hold is dropped.
            let _ = hold.recv().await;
        }
    }

    /// Returns whether an exchange is held.
    pub(super) fn is_held(&self, exchange: ExchangeId) -> bool {
        self.hold_of(exchange).is_some()
    }

    fn hold_of(&self, exchange: ExchangeId) -> Option<Receiver<Infallible>> {
        let exchanges = lock(&self.exchanges);
        let hold = exchanges.get(&exchange)?.hold.as_ref()?;
        Some(hold.receiver.clone())
    }

    /// Stores the head of an exchange's answer until the relay decides whether to use it.
    pub(super) fn store_head(&self, exchange: ExchangeId, head: AnswerHead) {
        if let Some(open) = lock(&self.exchanges).get_mut(&exchange) {
            open.head = Some(head);
        }
    }

    /// Stores the body of an exchange's answer until the relay decides whether to use it.
    pub(super) fn store_body(&self, exchange: ExchangeId, body: Bytes) {
        if let Some(open) = lock(&self.exchanges).get_mut(&exchange) {
            open.body = Some(body);
        }
    }

    /// Reports progress or the end of an exchange to the relay.
    pub(super) fn submit_exchange_event(
        self: &Arc<Self>,
        exchange: ExchangeId,
        event: ExchangeEvent,
    ) {
        self.submit(RelayEvent::Exchange { exchange, event });
    }

    /// Removes an exchange and closes its connection if it is open.
    pub(super) fn remove_exchange(&self, exchange: ExchangeId) {
        let open = lock(&self.exchanges).remove(&exchange);
        // Dropped after `exchanges` is unlocked, in case values owned by the task use the driver when they are dropped.
        drop(open);
    }
}

/// Event that wakes the timer task.
enum TimerEvent {
    /// The due time of the next tick changed.
    Rescheduled(Option<Duration>),
    Due,
}
