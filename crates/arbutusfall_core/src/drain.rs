//! Graceful shutdown: refuses new work and exits once all work in progress is done.

use crate::Effect;
use crate::Notice;
use crate::context::Context;
use crate::membership;

/// Progress of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum DrainState {
    /// Takes new work.
    #[default]
    Serving,
    /// Takes no new work and finishes the work in progress.
    Draining,
    /// All work is done; the process exits.
    Drained,
}

impl DrainState {
    /// Starts draining; peers see this VM as `Leaving`.
    pub(crate) fn begin(&mut self, ctx: &mut Context<'_>) {
        if *self != Self::Serving {
            return;
        }
        *self = Self::Draining;
        ctx.note(Notice::Draining);
        membership::announce_draining(ctx);
    }

    /// Ends the process once nothing is in progress.
    pub(crate) fn finish_if_idle(&mut self, idle: bool, ctx: &mut Context<'_>) {
        if *self != Self::Draining || !idle {
            return;
        }
        *self = Self::Drained;
        ctx.note(Notice::Drained);
        ctx.push(Effect::Exit);
    }
}
