//! Detects by the eras of the answers that the log was restored from an older copy.

use crate::Counter;
use crate::LogEra;
use crate::Notice;
use crate::context::Context;

/// The newest era of the log that this VM has seen in any stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct EraWatch {
    newest: Option<u64>,
}

/// An answer's era compared with the newest one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EraChange {
    /// The same era.
    None,
    /// A newer era, or the first one seen: positions and revisions known before don't apply to it.
    Newer,
    /// An earlier era: the answer arrived late and must not be used.
    Outdated,
}

impl EraWatch {
    /// Compares an answer's era with the newest one, and notes a restore.
    pub(crate) fn observe(&mut self, era: LogEra, ctx: &mut Context<'_>) -> EraChange {
        let newest = self.newest.unwrap_or_default();
        if era.number < newest {
            return EraChange::Outdated;
        }
        let is_known = self.newest.replace(era.number).is_some();
        if era.number == newest {
            return EraChange::None;
        }
        if is_known {
            ctx.count(Counter::LogRestored);
            ctx.note(Notice::LogRestored {
                from: newest,
                to: era.number,
            });
        }
        EraChange::Newer
    }
}
