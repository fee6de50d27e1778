//! Abandoned placements: a grant that arrives late is released at its owner.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::EndedGrant;
use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceReply;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::ShardId;

use crate::context::Context;

/// Placements that were requested and then abandoned.
#[derive(Debug, Clone, Default)]
pub(crate) struct AbandonedPlacements {
    placements: BTreeMap<(RequestId, u32), AbandonedPlacement>,
}

#[derive(Debug, Clone)]
struct AbandonedPlacement {
    shard: ShardId,
    /// Instant from which a late grant is ignored, since the owner lets it lapse.
    drop_at: Duration,
}

impl AbandonedPlacements {
    /// Adds a placement that was abandoned.
    pub(crate) fn add(
        &mut self,
        request: RequestId,
        placement: u32,
        shard: ShardId,
        ctx: &Context<'_>,
    ) {
        let lifetime = Duration::from_millis(ctx.site_config.timing.grant_lifetime_ms);
        let drop_at = ctx.now.monotonic + lifetime;
        self.placements
            .insert((request, placement), AbandonedPlacement { shard, drop_at });
    }

    /// Drops placements for which a late grant would be ignored.
    pub(crate) fn drop_lapsed(&mut self, now: Duration) {
        self.placements
            .retain(|_, placement| placement.drop_at > now);
    }

    /// Sends an end report to the owner of a late grant, so that the grant is released.
    pub(crate) fn release_late_grant(
        &mut self,
        from: &Name,
        reply: &PlaceReply,
        ctx: &mut Context<'_>,
    ) {
        let key = (reply.request, reply.placement);
        let Some(placement) = self.placements.remove(&key) else {
            return;
        };
        let ended = EndedGrant {
            request: reply.request,
            placement: reply.placement,
            end: GrantEnd::Cancelled,
            prefill_took: None,
            transfer_took: None,
            cached_tokens: None,
            generated_tokens: 0,
        };
        let report = GrantReport {
            shard: placement.shard,
            active: Vec::new(),
            ended: vec![ended],
        };
        ctx.send(from, PeerMessage::GrantReport(report));
    }
}
