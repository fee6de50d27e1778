//! Claims that the log may have lost because it was restored from an older copy.
//!
//! A lost claim belongs to a key created before the restore, so a claim of such a key wins only if the copy holds it.
//! Claims that this VM read before the restore stay known.

use std::time::Duration;

use crate::LogEra;
use crate::claims::PartitionOwner;
use crate::claims::partition::Partition;
use crate::claims::partition::WaitingGoal;
use crate::claims::replies::refuse_claim;
use crate::claims::replies::reply;
use crate::claims::replies::too_old_verdict;
use crate::context::Context;

impl PartitionOwner {
    /// Reads all partitions again after the log was restored.
    pub(crate) fn on_log_restored(&mut self, era: LogEra, ctx: &mut Context<'_>) {
        self.era = era.number;
        let restored_at = ctx.now.unix.saturating_sub(era.age);
        self.restored_at = self.restored_at.max(Some(restored_at));
        let indices: Vec<u16> = self.partitions.keys().copied().collect();
        for index in indices {
            if let Some(partition) = self.partitions.get_mut(&index) {
                partition.on_log_restored();
            }
            self.read(index, ctx);
        }
    }

    /// Returns the creation time, since the Unix epoch, before which the claim of a key may have been lost.
    ///
    /// A key may be ahead of the clock of the VM that accepted it, so the time is after the restore.
    pub(super) fn lost_before(&self, ctx: &Context<'_>) -> Duration {
        let skew = Duration::from_millis(ctx.site_config.claims.max_key_skew_ms);
        self.restored_at
            .map_or(Duration::ZERO, |restored_at| restored_at + skew)
    }
}

/// Answers the waiting claims that can't win because an earlier claim of their key may have been lost.
///
/// A claim that may have been appended is answered only if `log_read`: the log was read to its end.
pub(super) fn answer_unclaimable(partition: &mut Partition, log_read: bool, ctx: &mut Context<'_>) {
    let mut waiting = std::mem::take(&mut partition.waiting);
    waiting.retain(|(key, request), waiting| {
        let WaitingGoal::Claim { may_be_logged } = waiting.goal else {
            return true;
        };
        if !partition.may_be_lost(*key) || partition.first_claim(*key).is_some() {
            return true;
        }
        if !may_be_logged {
            refuse_claim(&waiting.entry_vm, *key, *request, ctx);
            return false;
        }
        if log_read {
            let verdict = too_old_verdict(&waiting.entry_vm, *request, waiting.fingerprint);
            reply(&waiting.entry_vm, *key, *request, verdict, ctx);
        }
        !log_read
    });
    partition.waiting = waiting;
}
