//! Cancellations: an engine is told to give an attempt up until it says that it did.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::AttemptId;
use crate::Counter;
use crate::Effect;
use crate::context::Context;
use crate::timers::Timer;

/// Delay before a cancellation is sent again; doubles up to [`MAX_RETRY`].
const FIRST_RETRY: Duration = Duration::from_millis(100);

/// Longest delay between two tries.
const MAX_RETRY: Duration = Duration::from_secs(2);

/// Tries at an engine that is no longer configured.
const MAX_TRIES_IF_REMOVED: u32 = 10;

/// Cancellations that are remembered; the oldest request's is dropped first.
const MAX_PENDING: usize = 10_000;

/// Time for which an unconfirmed cancellation holds up the exit of a draining process.
///
/// Longer waiting gains nothing: once the process is gone, the owner of the shard finds the attempt.
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
    /// Where the engine listened when it was given the attempt.
    address: SocketAddr,
    started_at: Duration,
    tries: u32,
    retry_after: Duration,
}

impl Cancels {
    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.pending.contains_key(&attempt)
    }

    /// Whether nothing is left that the process must wait for before it exits.
    pub(crate) fn allow_exit(&self, now: Duration) -> bool {
        self.pending
            .values()
            .all(|cancel| now >= cancel.started_at + MAX_EXIT_DELAY)
    }

    /// Tells an engine to give an attempt up.
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
            retry_after: FIRST_RETRY,
        };
        self.pending.insert(attempt, cancel);
        self.retry(attempt, ctx);
    }

    pub(crate) fn on_confirmed(&mut self, attempt: AttemptId) {
        self.pending.remove(&attempt);
    }

    pub(crate) fn on_failed(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(cancel) = self.pending.get_mut(&attempt) else {
            return;
        };
        let after = cancel.retry_after;
        cancel.retry_after = (after * 2).min(MAX_RETRY);
        ctx.set_timer(after, Timer::RetryCancel { attempt });
    }

    /// Sends a cancellation again that was not confirmed.
    pub(crate) fn retry(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(cancel) = self.pending.get_mut(&attempt) else {
            return;
        };
        let removed = !ctx.site.endpoints.contains_key(&cancel.endpoint);
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
