//! Passes events to the relay and has its effects performed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arbutusfall_core::relay::CallerLimits;
use arbutusfall_core::relay::CrashCause;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::ExplainError;
use arbutusfall_core::relay::ExplainQuery;
use arbutusfall_core::relay::Explanation;
use arbutusfall_core::relay::Relay;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::SendPermission;
use arbutusfall_wire::QuotaAnswer;
use arbutusfall_wire::QuotaQuestion;
use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::FutureExt;
use serde_json::Value;
use serde_json::json;

use crate::lock::lock;
use crate::relay::effects::EffectPerformer;
use crate::relay::fact_board::FactBoard;
use crate::relay::handle::RelayHandle;
use crate::relay::handle::RelayIo;
use crate::relay::metrics::StateMetrics;

/// The relay with its queue of events; shared by all tasks.
pub(super) struct Driver {
    relay: Mutex<Relay>,
    /// Events that wait while another event is handled.
    queue: Mutex<VecDeque<RelayEvent>>,
    io: RelayIo,
    effects: EffectPerformer,
    limits: Mutex<CallerLimits>,
    hash_key: Mutex<RequestHashKey>,
    /// Sends the due time of the next tick to the timer task.
    wake_sender: Sender<Option<Duration>>,
    wake_receiver: Receiver<Option<Duration>>,
}

impl RelayHandle for Arc<Driver> {
    /// Queues the event and handles all queued events. A nested call, made while an effect is performed, only queues the
    /// event.
    fn submit(&self, event: RelayEvent) {
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
            let output = relay.apply(event, self.io.now());
            if is_shared {
                *lock(&self.hash_key) = relay.hash_key();
            }
            if is_config {
                *lock(&self.limits) = relay.limits();
            }
            for effect in output.effects {
                self.effects.perform(self, effect);
            }
            drop(relay);
            // The channel lives as long as the driver.
            let _ = self.wake_sender.try_send(output.wake_at);
        }
    }

    fn send_permission(&self, exchange: ExchangeId) -> SendPermission {
        lock(&self.relay).send_permission(exchange, self.io.now())
    }

    fn shared_key(&self) -> RequestHashKey {
        self.hash_key()
    }

    fn io(&self) -> &RelayIo {
        &self.io
    }
}

fn count_blocked(relay: &Relay, is_request: bool) -> usize {
    let blocks = relay.blocked_causes();
    let blocks = blocks.filter(|(cause, _)| cause.is_request() == is_request);
    blocks.count()
}

impl Driver {
    pub(super) fn new(relay: Relay, io: RelayIo, effects: EffectPerformer) -> Self {
        let (wake_sender, wake_receiver) = async_channel::unbounded();
        let limits = relay.limits();
        let hash_key = relay.hash_key();
        Self {
            relay: Mutex::new(relay),
            queue: Mutex::default(),
            io,
            effects,
            limits: Mutex::new(limits),
            hash_key: Mutex::new(hash_key),
            wake_sender,
            wake_receiver,
        }
    }

    /// Returns whether readiness probes succeed.
    pub(super) fn is_ready(&self) -> bool {
        self.effects.is_ready()
    }

    /// Returns whether other VMs may follow this one.
    pub(super) fn may_be_followed(&self) -> bool {
        lock(&self.relay).may_be_followed()
    }

    /// Answers another VM's question about quotas.
    pub(super) fn answer_quota(self: &Arc<Self>, question: &QuotaQuestion) -> QuotaAnswer {
        let answer = lock(&self.relay).answer_quota(question, self.io.now());
        // This VM may need votes of others.
        self.submit(RelayEvent::Tick);
        answer
    }

    /// Returns the accounts that this VM owns, with their use in the last window, as a JSON document.
    pub(super) fn owned_accounts(&self) -> Value {
        let accounts = lock(&self.relay).owned_accounts(self.io.now());
        let accounts = accounts.into_iter().map(|account| {
            let quota = account.quota;
            json!({
                "account": account.owned.account,
                "used": account.owned.used.round(),
                "left": account.owned.left.round(),
                "rate_per_s": quota.map(|quota| quota.per_s),
                "burst": quota.map(|quota| quota.burst),
            })
        });
        accounts.collect()
    }

    /// Returns where a request would be routed now, and why. Changes nothing.
    pub(super) fn explain(&self, query: ExplainQuery) -> Result<Explanation, ExplainError> {
        lock(&self.relay).explain(query, self.io.now())
    }

    /// Returns the limits on callers' requests.
    pub(super) fn limits(&self) -> CallerLimits {
        lock(&self.limits).clone()
    }

    /// Returns the key for hashes of requests.
    pub(super) fn hash_key(&self) -> RequestHashKey {
        *lock(&self.hash_key)
    }

    /// Returns the counters, quantiles and the configuration in force as text.
    pub(super) fn metrics_text(&self, store_era: Option<u64>, facts: &FactBoard) -> String {
        let relay = lock(&self.relay);
        let state = StateMetrics {
            config: relay.config_status(self.io.now()),
            store_era,
            blocked_parts: count_blocked(&relay, false),
            blocked_requests: count_blocked(&relay, true),
            resting_endpoints: relay.resting_endpoints(),
            unreachable_services: relay.unreachable_services(),
            follows_vm: relay.follows_vm(),
            followers: facts.followers(),
            fact_ages_ms: facts.ages_ms(),
            limits: relay.limit_status(),
            load: relay.load_status(),
            slow_start: relay.slow_start_status(),
            buffers: self.io.body_memory.status(),
            quota: relay.quota_status(self.io.now()),
        };
        drop(relay);
        self.io.metrics.text(&state)
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

    /// Waits until the relay requests that callers' connections be closed.
    pub(super) async fn wait_for_close_request(&self) {
        self.effects.wait_for_close_request().await;
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
                self.io.clock.wait_until(wake_at).await;
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
}

/// Event that wakes the timer task.
enum TimerEvent {
    /// The due time of the next tick changed.
    Rescheduled(Option<Duration>),
    Due,
}
