//! What the tasks of a relay process share, and how they report to the relay.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::SendPermission;

use crate::Clock;
use crate::Executor;
use crate::SystemClock;
use crate::http::BodyMemory;
use crate::relay::decision_log::DecisionLog;
use crate::relay::metrics::Metrics;
use crate::relay::open_calls::OpenCalls;
use crate::relay::open_exchanges::OpenExchanges;
use crate::relay::run_questions::RunQuestions;

/// A task's handle to the relay, without the relay's state.
pub(super) trait RelayHandle: Clone + Send + Sync + 'static {
    /// Passes an event to the relay. Its effects are performed before this returns, unless it is called while an effect
    /// is performed.
    fn submit(&self, event: RelayEvent);

    /// Returns whether an exchange whose connection is open may still send its request. Must not be called while an effect is
    /// performed.
    fn send_permission(&self, exchange: ExchangeId) -> SendPermission;

    /// Returns the key that VMs share through the store.
    fn shared_key(&self) -> RequestHashKey;

    /// Returns what the tasks share.
    fn io(&self) -> &RelayIo;

    /// Reports progress or the end of an exchange to the relay.
    fn submit_exchange_event(&self, exchange: ExchangeId, event: ExchangeEvent) {
        self.submit(RelayEvent::Exchange { exchange, event });
    }
}

/// What the tasks of a relay process share.
pub(super) struct RelayIo {
    pub(super) executor: Arc<Executor>,
    pub(super) calls: OpenCalls,
    pub(super) exchanges: OpenExchanges,
    pub(super) run_questions: RunQuestions,
    /// Memory for bodies on their way.
    pub(super) body_memory: Arc<BodyMemory>,
    pub(super) metrics: Metrics,
    pub(super) clock: SystemClock,
    log: DecisionLog,
}

impl RelayIo {
    pub(super) fn new(
        executor: Arc<Executor>,
        body_memory: Arc<BodyMemory>,
        log: DecisionLog,
    ) -> Self {
        Self {
            executor,
            calls: OpenCalls::default(),
            exchanges: OpenExchanges::default(),
            run_questions: RunQuestions::default(),
            body_memory,
            metrics: Metrics::default(),
            clock: SystemClock::start(),
            log,
        }
    }

    /// Returns the monotonic time.
    pub(super) fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Starts a task that runs until it ends by itself.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
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
}
