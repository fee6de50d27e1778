//! Graceful shutdown: no new work, then the end once all work in progress is done.

use crate::Effect;
use crate::Notice;
use crate::context::Context;
use crate::membership;

/// Whether the VM takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Drain {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes what is in progress.
    Draining,
    /// Everything is done.
    Drained,
}

impl Drain {
    pub(crate) fn begin(&mut self, ctx: &mut Context<'_>) {
        if *self != Self::Serving {
            return;
        }
        *self = Self::Draining;
        ctx.note(Notice::Draining);
        ctx.push(Effect::SetReady(false));
        membership::announce_leaving(ctx);
    }

    /// Keeps the readiness path from answering again once the drain began.
    pub(crate) fn hold_readiness(self, ctx: &mut Context<'_>) {
        if self != Self::Serving {
            ctx.effects
                .retain(|effect| *effect != Effect::SetReady(true));
        }
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
