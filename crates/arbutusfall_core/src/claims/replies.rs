//! Replies of a partition owner to the claims of entry VMs.

use std::time::Duration;

use arbutusfall_wire::ClaimReply;
use arbutusfall_wire::ClaimVerdict;
use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RequestId;

use crate::claims::partition::Partition;
use crate::claims::partition::WaitingGoal;
use crate::context::Context;

/// Retry delay sent with a claim that is refused because the log is down or a queue is full.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Replies to waiting requests whose key is claimed on the log or too old.
///
/// A request waiting for an outcome that the log lacks is answered only if `read_done`: the log was read to its end, or
/// the read failed.
pub(super) fn answer_waiting(partition: &mut Partition, read_done: bool, ctx: &mut Context<'_>) {
    let mut waiting = std::mem::take(&mut partition.waiting);
    waiting.retain(|(key, request), waiting| {
        if partition.is_too_old(*key) {
            let verdict = too_old_verdict(&waiting.entry_vm, *request, waiting.fingerprint);
            reply(&waiting.entry_vm, *key, *request, verdict, ctx);
            return false;
        }
        let Some(first_claim) = partition.first_claim(*key) else {
            return true;
        };
        if waiting.goal == WaitingGoal::Outcome && first_claim.outcome.is_none() && !read_done {
            return true;
        }
        let verdict = first_claim.verdict(*request);
        reply(&waiting.entry_vm, *key, *request, verdict, ctx);
        false
    });
    partition.waiting = waiting;
}

/// Returns the verdict for a key too old to be claimed: lost, with an unknown outcome and with the claiming request
/// itself as the holder, because the real one is no longer known.
pub(super) fn too_old_verdict(
    entry_vm: &Name,
    request: RequestId,
    fingerprint: u64,
) -> ClaimVerdict {
    ClaimVerdict::Lost {
        vm: entry_vm.clone(),
        holder: request,
        fingerprint,
        outcome: Some(Outcome::Unknown),
    }
}

/// Replies that the claim was not appended, because the log is down or a queue is full.
pub(super) fn refuse_claim(
    entry_vm: &Name,
    key: IdempotencyKey,
    request: RequestId,
    ctx: &mut Context<'_>,
) {
    let verdict = ClaimVerdict::LogUnavailable {
        retry_after: LOG_RETRY_AFTER,
    };
    reply(entry_vm, key, request, verdict, ctx);
}

pub(super) fn reply(
    entry_vm: &Name,
    key: IdempotencyKey,
    request: RequestId,
    verdict: ClaimVerdict,
    ctx: &mut Context<'_>,
) {
    ctx.send(
        entry_vm,
        PeerMessage::ClaimReply(ClaimReply {
            key,
            request,
            verdict,
        }),
    );
}
