//! Feeds events to the relay and carries its effects out.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutusfall_core::relay::CallerLimits;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::Relay;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_platform::endpoints;
use arbutusfall_wire::FastMap;
use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;
use hyper::Request;
use hyper::body::Bytes;

use crate::Clock;
use crate::Executor;
use crate::SystemClock;
use crate::http::AnswerBody;
use crate::relay::duties::Duties;
use crate::relay::exchange;
use crate::relay::line_log::LineLog;
use crate::relay::metrics::Metrics;
use crate::relay::open_calls::AnswerHead;
use crate::relay::open_calls::OpenCalls;
use crate::relay::open_calls::Reply;

/// An exchange in progress.
#[derive(Default)]
struct OpenExchange {
    /// Dropped to close the exchange's connection.
    task: Option<Task<()>>,
    head: Option<AnswerHead>,
    body: Option<Bytes>,
}

/// Owner of the relay; all tasks share it.
pub(super) struct Driver {
    relay: Mutex<Relay>,
    /// Events that arrived while one was handled.
    queue: Mutex<VecDeque<RelayEvent>>,
    exchanges: Mutex<FastMap<ExchangeId, OpenExchange>>,
    pub(super) calls: OpenCalls,
    pub(super) executor: Arc<Executor>,
    duties: Duties,
    log: LineLog,
    pub(super) metrics: Metrics,
    clock: SystemClock,
    ready: AtomicBool,
    limits: Mutex<CallerLimits>,
    /// Instant of the next tick, for the task that waits for it.
    wake_at: Sender<Option<Duration>>,
    wakes: Receiver<Option<Duration>>,
    close: Sender<()>,
    closes: Receiver<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Driver {
    pub(super) fn new(relay: Relay, duties: Duties, log: LineLog, executor: Arc<Executor>) -> Self {
        let (wake_at, wakes) = async_channel::unbounded();
        let (close, closes) = async_channel::bounded(1);
        let limits = relay.limits();
        Self {
            relay: Mutex::new(relay),
            queue: Mutex::default(),
            exchanges: Mutex::default(),
            calls: OpenCalls::default(),
            executor,
            duties,
            log,
            metrics: Metrics::default(),
            clock: SystemClock::start(),
            ready: AtomicBool::new(false),
            limits: Mutex::new(limits),
            wake_at,
            wakes,
            close,
            closes,
        }
    }

    /// Writes a decision to the log and counts it.
    pub(super) fn note(&self, notice: &RelayNotice) {
        self.metrics.on_notice(notice);
        self.log.write(notice, self.clock.now());
    }

    /// Has the last lines written before the process ends.
    pub(super) async fn finish_log(&self, within: Duration) {
        self.log.finish(within).await;
    }

    /// Whether the VM takes new connections.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Limits on callers' requests.
    pub(super) fn limits(&self) -> CallerLimits {
        lock(&self.limits).clone()
    }

    /// Handles an event at once, or after the one that is handled now.
    pub(super) fn submit(self: &Arc<Self>, event: RelayEvent) {
        lock(&self.queue).push_back(event);
        loop {
            let Ok(mut relay) = self.relay.try_lock() else {
                // Whoever holds the relay looks at the queue again afterwards.
                return;
            };
            let next = lock(&self.queue).pop_front();
            let Some(event) = next else {
                return;
            };
            let is_config = matches!(event, RelayEvent::Routes(_));
            let output = relay.apply(event, self.clock.now().monotonic);
            if is_config {
                *lock(&self.limits) = relay.limits();
            }
            for effect in output.effects {
                self.perform(effect);
            }
            drop(relay);
            // The channel lives as long as the driver.
            let _ = self.wake_at.try_send(output.wake_at);
        }
    }

    /// Waits until callers' connections are to be closed.
    pub(super) async fn until_close(&self) {
        // The channel lives as long as the driver.
        let _ = self.closes.recv().await;
    }

    /// Submits a tick whenever one is due.
    pub(super) async fn run_timers(self: Arc<Self>) {
        let mut wake_at: Option<Duration> = None;
        loop {
            let changed = async { self.wakes.recv().await.ok().map(Wake::Changed) };
            let tick = async {
                match wake_at {
                    Some(due) => {
                        async_io::Timer::at(self.clock.instant_of(due)).await;
                    }
                    None => std::future::pending().await,
                }
                Some(Wake::Due)
            };
            match tick.or(changed).await {
                Some(Wake::Changed(due)) => {
                    wake_at = due;
                    while let Ok(due) = self.wakes.try_recv() {
                        wake_at = due;
                    }
                }
                Some(Wake::Due) => {
                    wake_at = None;
                    self.submit(RelayEvent::Tick);
                }
                None => return,
            }
        }
    }

    fn perform(self: &Arc<Self>, effect: RelayEffect) {
        match effect {
            RelayEffect::Send(order) => {
                let id = order.exchange;
                let mut exchanges = lock(&self.exchanges);
                let run = exchange::run(self.clone(), order);
                let task = self.executor.spawn(run);
                exchanges.entry(id).or_default().task = Some(task);
            }
            RelayEffect::Close { exchange } => self.forget_exchange(exchange),
            RelayEffect::FreeResult(stored) => {
                let request = endpoints::free_result_request(&stored);
                self.free(stored.address, request);
            }
            RelayEffect::FreeReservation {
                address,
                reservation,
            } => {
                let request = endpoints::free_reservation_request(address, &reservation);
                self.free(address, request);
            }
            RelayEffect::Answer { call, exchange } => {
                let open = lock(&self.exchanges).remove(&exchange);
                let answer = open.and_then(|open| Some((open.head?, open.body?)));
                if let Some((head, body)) = answer {
                    let body = AnswerBody::whole(body);
                    self.calls.end(call, Reply::Endpoint(head, body));
                }
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
            RelayEffect::Finish { call } => self.calls.finish(call),
            RelayEffect::Abort { call } => self.calls.abort(call),
            RelayEffect::Refuse { call, problem } => self.calls.end(call, Reply::Problem(problem)),
            RelayEffect::RenewLease { token, lifetime } => {
                let renew = self
                    .duties
                    .clone()
                    .renew_lease(self.clone(), token, lifetime);
                self.executor.spawn(renew).detach();
            }
            RelayEffect::ReleaseLease => {
                let release = self.duties.clone().release_lease(self.clone());
                self.executor.spawn(release).detach();
            }
            RelayEffect::OrderRole {
                instance,
                address,
                role,
                token,
            } => {
                let duties = self.duties.clone();
                let order = duties.order_role(self.clone(), instance, address, role, token);
                self.executor.spawn(order).detach();
            }
            RelayEffect::SetReady(ready) => self.ready.store(ready, Ordering::Relaxed),
            RelayEffect::Note(notice) => self.note(&notice),
            RelayEffect::CloseConnections => {
                // The first order is enough.
                let _ = self.close.try_send(());
            }
        }
    }

    fn free(self: &Arc<Self>, address: SocketAddr, request: Request<Bytes>) {
        let free = exchange::free(self.clone(), address, request);
        self.executor.spawn(free).detach();
    }

    /// Keeps the head of an exchange's answer until the relay decides about it.
    pub(super) fn store_head(&self, exchange: ExchangeId, head: AnswerHead) {
        if let Some(open) = lock(&self.exchanges).get_mut(&exchange) {
            open.head = Some(head);
        }
    }

    /// Keeps the body of an exchange's answer until the relay decides about it.
    pub(super) fn store_body(&self, exchange: ExchangeId, body: Bytes) {
        if let Some(open) = lock(&self.exchanges).get_mut(&exchange) {
            open.body = Some(body);
        }
    }

    /// Tells the relay what happened to an exchange.
    pub(super) fn submit_exchange(self: &Arc<Self>, exchange: ExchangeId, event: ExchangeEvent) {
        self.submit(RelayEvent::Exchange { exchange, event });
    }

    /// Drops an exchange; its connection closes if it is open.
    pub(super) fn forget_exchange(&self, exchange: ExchangeId) {
        let open = lock(&self.exchanges).remove(&exchange);
        // Dropped after the lock, because a task may hold what refers to the driver.
        drop(open);
    }
}

/// Why the task of timers went on.
enum Wake {
    Changed(Option<Duration>),
    Due,
}
