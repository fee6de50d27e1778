//! Placement: which endpoints a model request uses, decided by the owner of the pool shard.

mod shard;
mod shard_map;

use std::collections::BTreeMap;

use arbutusfall_wire::GrantReport;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceReply;
use arbutusfall_wire::PlaceRequest;
use arbutusfall_wire::ShardId;

use crate::Counter;
use crate::Effect;
use crate::Hop;
use crate::config::SiteConfig;
use crate::context::Context;
use crate::status::EndpointStatus;

use shard::Shard;

pub(crate) use shard_map::shard_count;
pub(crate) use shard_map::shard_endpoints;

/// Shards for which this VM was asked to decide.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShardOwner {
    shards: BTreeMap<ShardId, Shard>,
}

impl ShardOwner {
    /// Decides a placement and answers the entry VM.
    pub(crate) fn on_place(&mut self, entry: &Name, request: PlaceRequest, ctx: &mut Context<'_>) {
        let shard = self.shards.entry(request.shard.clone()).or_default();
        let decision = shard.place(&request, ctx);
        if let Some(traceparent) = request.traceparent {
            ctx.push(Effect::Trace {
                hop: Hop::Place,
                traceparent,
            });
        }
        ctx.count(match decision {
            PlaceDecision::Granted(_) => Counter::GrantsGiven,
            PlaceDecision::Refused { .. } => Counter::GrantsRefused,
        });
        let reply = PlaceReply {
            request: request.request,
            placement: request.placement,
            decision,
        };
        ctx.send(entry, PeerMessage::Placed(reply));
    }

    /// Renews and releases grants.
    pub(crate) fn on_report(&mut self, report: GrantReport, ctx: &mut Context<'_>) {
        self.shards
            .entry(report.shard.clone())
            .or_default()
            .report(&report, ctx);
    }

    pub(crate) fn endpoints(&self, site: &SiteConfig) -> Vec<EndpointStatus> {
        let mut all = Vec::new();
        for (id, shard) in &self.shards {
            all.extend(shard.endpoints(id, site));
        }
        all
    }
}
