//! Cancellations, resent to the engine until they are confirmed or dropped.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::AttemptId;
use crate::Counter;
use crate::Effect;
use crate::context::Context;
use crate::timers::Timer;

/// Delay before a cancellation is sent again; doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a cancellation is sent again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of tries at an engine that is no longer configured.
const MAX_TRIES_IF_REMOVED: u32 = 10;

/// Maximum number of pending cancellations; beyond that, the cancellation of the oldest request is dropped.
const MAX_PENDING: usize = 10_000;

/// Time for which an unconfirmed cancellation delays the exit of a draining process.
///
/// A longer delay gains nothing: after the process has exited, the sweep of the shard's owner finds the attempt.
const MAX_EXIT_DELAY: Duration = Duration::from_secs(4);

/// Cancellations that engines have not confirmed.
///
/// Invariant: at most [`MAX_PENDING`].
#[derive(Debug, Clone, Default)]
pub(crate) struct Cancels {
    pending: BTreeMap<AttemptId, Cancel>,
}

#[derive(Debug, Clone)]
struct Cancel {
    endpoint: Name,
    /// Address at which the engine received the attempt.
    address: SocketAddr,
    started_at: Duration,
    tries: u32,
    retry_delay: Duration,
}

impl Cancels {
    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.pending.contains_key(&attempt)
    }

    /// Returns whether every pending cancellation is older than [`MAX_EXIT_DELAY`].
    pub(crate) fn allows_exit(&self, now: Duration) -> bool {
        self.pending
            .values()
            .all(|cancel| now >= cancel.started_at + MAX_EXIT_DELAY)
    }

    /// Starts to cancel an attempt at an engine.
    pub(crate) fn start(
        &mut self,
        attempt: AttemptId,
        endpoint: Name,
        address: SocketAddr,
        ctx: &mut Context<'_>,
    ) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_first();
        }
        let cancel = Cancel {
            endpoint,
            address,
            started_at: ctx.now.monotonic,
            tries: 0,
            retry_delay: INITIAL_RETRY_DELAY,
        };
        self.pending.insert(attempt, cancel);
        self.send(attempt, ctx);
    }

    pub(crate) fn on_confirmed(&mut self, attempt: AttemptId) {
        self.pending.remove(&attempt);
    }

    pub(crate) fn on_failed(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(cancel) = self.pending.get_mut(&attempt) else {
            return;
        };
        let after = cancel.retry_delay;
        cancel.retry_delay = (after * 2).min(MAX_RETRY_DELAY);
        ctx.set_timer(after, Timer::RetryCancel { attempt });
    }

    /// Sends a pending cancellation; drops it after too many tries at an engine that is no longer configured.
    pub(crate) fn send(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(cancel) = self.pending.get_mut(&attempt) else {
            return;
        };
        let removed = !ctx.site_config.endpoints.contains_key(&cancel.endpoint);
        if removed && cancel.tries >= MAX_TRIES_IF_REMOVED {
            self.pending.remove(&attempt);
            return;
        }
        cancel.tries += 1;
        let address = cancel.address;
        ctx.count(Counter::CancelsSent);
        ctx.push(Effect::Cancel { attempt, address });
    }
}
