//! Placements whose answer nobody waits for any more: what they still reserve is given back.

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

/// Placements that were asked for and given up.
#[derive(Debug, Clone, Default)]
pub(crate) struct Unanswered {
    placements: BTreeMap<(RequestId, u32), Placement>,
}

#[derive(Debug, Clone)]
struct Placement {
    shard: ShardId,
    /// Instant from which a grant has lapsed by itself.
    until: Duration,
}

impl Unanswered {
    /// Remembers a placement that was given up.
    pub(crate) fn add(
        &mut self,
        request: RequestId,
        placement: u32,
        shard: ShardId,
        ctx: &Context<'_>,
    ) {
        let lifetime = Duration::from_millis(ctx.site.timing.grant_lifetime_ms);
        let until = ctx.now.monotonic + lifetime;
        self.placements
            .insert((request, placement), Placement { shard, until });
    }

    /// Forgets placements whose grants have lapsed.
    pub(crate) fn drop_lapsed(&mut self, now: Duration) {
        self.placements.retain(|_, placement| placement.until > now);
    }

    /// Returns a grant that came too late to its owner.
    pub(crate) fn give_back(&mut self, from: &Name, reply: &PlaceReply, ctx: &mut Context<'_>) {
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
