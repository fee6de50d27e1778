//! Placement: which endpoints a model request uses, decided by the owner of the pool shard.

mod comebacks;
mod decode_endpoint;
mod forecast;
mod health;
mod outputs;
mod polls;
mod pools;
mod prefill_endpoint;
mod prefixes;
mod shard;
mod shard_map;
mod shares;

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::GrantReport;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceReply;
use arbutusfall_wire::PlaceRequest;
use arbutusfall_wire::ShardId;

use crate::Counter;
use crate::Effect;
use crate::EngineEvent;
use crate::Hop;
use crate::config::PolicyKind;
use crate::config::SiteConfig;
use crate::context::Context;
use crate::status::EndpointStatus;
use crate::timers::Timer;

use shard::Shard;

pub(crate) use comebacks::Comebacks;
pub(crate) use health::Health;
pub(crate) use shard_map::shard_count;
pub(crate) use shard_map::shard_endpoints;

/// Interval at which engines are asked for their load or for changes of their caches.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the last placement for which an owner follows its engines' caches.
const FOLLOWED_FOR: Duration = Duration::from_secs(10);

/// Shards for which this VM was asked to decide.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShardOwner {
    shards: BTreeMap<ShardId, Shard>,
    /// Whether [`Timer::PollEngines`] is set.
    polls: bool,
}

impl ShardOwner {
    /// Decides a placement and answers the entry VM.
    pub(crate) fn on_place(&mut self, entry: &Name, request: PlaceRequest, ctx: &mut Context<'_>) {
        let shard = self.shards.entry(request.shard.clone()).or_default();
        shard.asked_at = ctx.now.monotonic;
        if !self.polls {
            self.polls = true;
            ctx.set_timer(POLL_INTERVAL, Timer::PollEngines);
        }
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

    /// Asks engines for what the policies in force need to know of them.
    pub(crate) fn on_poll_timer(&mut self, ctx: &mut Context<'_>) {
        let site = ctx.site.clone();
        let now = ctx.now.monotonic;
        self.polls = false;
        for (id, shard) in &mut self.shards {
            let Some(model) = site.models.get(&id.model) else {
                continue;
            };
            if now >= shard.asked_at + FOLLOWED_FOR {
                continue;
            }
            self.polls = true;
            if model.policy.kind == PolicyKind::LeastLoaded {
                shard.read_loads(&site, ctx);
            } else if model.policy.kind.has_affinity() {
                shard.read_caches(&site, ctx);
            }
        }
        if self.polls {
            ctx.set_timer(POLL_INTERVAL, Timer::PollEngines);
        }
    }

    /// Takes in what an engine told of its load or its cache.
    pub(crate) fn on_engine(&mut self, event: &EngineEvent, ctx: &Context<'_>) {
        for shard in self.shards.values_mut() {
            shard.on_engine(event, ctx.now.monotonic);
        }
    }

    pub(crate) fn endpoints(&self, _site: &SiteConfig) -> Vec<EndpointStatus> {
        let shards = self.shards.iter();
        shards.flat_map(|(id, shard)| shard.endpoints(id)).collect()
    }
}
