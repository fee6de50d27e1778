//! Cancellations: an engine is told to give an attempt up until it says that it did.

use std::collections::BTreeMap;
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

/// Cancellations that engines have not confirmed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cancels {
    pending: BTreeMap<AttemptId, Cancel>,
}

#[derive(Debug, Clone)]
struct Cancel {
    endpoint: Name,
    retry_after: Duration,
}

impl Cancels {
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Tells an engine to give an attempt up.
    pub(crate) fn start(&mut self, attempt: AttemptId, endpoint: Name, ctx: &mut Context<'_>) {
        self.pending.insert(
            attempt,
            Cancel {
                endpoint,
                retry_after: FIRST_RETRY,
            },
        );
        self.send(attempt, ctx);
    }

    fn send(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let Some(cancel) = self.pending.get(&attempt) else {
            return;
        };
        let Some(endpoint) = ctx.site.endpoints.get(&cancel.endpoint) else {
            // The operators took the endpoint away, so there is nobody to ask.
            self.pending.remove(&attempt);
            return;
        };
        ctx.count(Counter::CancelsSent);
        ctx.push(Effect::Cancel {
            attempt,
            address: endpoint.address,
        });
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

    pub(crate) fn retry(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        self.send(attempt, ctx);
    }
}
