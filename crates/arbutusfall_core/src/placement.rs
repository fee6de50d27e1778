//! Placement: the owner of a shard assigns endpoints to model requests.
//!
//! A shard is a subset of a model's prefill and decode endpoints (see [`ShardId`]).

mod answer_lengths;
mod candidate;
mod decode_endpoint;
mod health;
mod polls;
mod pools;
mod prefill_endpoint;
mod prefixes;
mod retry_schedule;
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
use crate::TracedStep;
use crate::config::PolicyKind;
use crate::config::SiteConfig;
use crate::context::Context;
use crate::status::EndpointStatus;
use crate::timers::Timer;

use shard::Shard;

pub(crate) use health::Health;
pub(crate) use retry_schedule::RetrySchedule;
pub(crate) use shard_map::shard_count;
pub(crate) use shard_map::shard_endpoints;

/// Interval at which engines are polled for their load or for changes of their prefix caches.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time without placement requests after which an owner stops polling a shard's engines.
const POLL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Shards for which this VM received placement requests or grant reports.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwnedShards {
    shards: BTreeMap<ShardId, Shard>,
    /// Whether [`Timer::PollEngines`] is set.
    is_polling: bool,
}

impl OwnedShards {
    /// Decides a placement and sends the decision to the entry VM.
    pub(crate) fn on_place(&mut self, entry: &Name, request: PlaceRequest, ctx: &mut Context<'_>) {
        let shard = self.shards.entry(request.shard.clone()).or_default();
        shard.last_request_at = ctx.now.monotonic;
        if !self.is_polling {
            self.is_polling = true;
            ctx.set_timer(POLL_INTERVAL, Timer::PollEngines);
        }
        let decision = shard.place(&request, ctx);
        if let Some(traceparent) = request.traceparent {
            ctx.push(Effect::Trace {
                step: TracedStep::Place,
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
        ctx.send(entry, PeerMessage::PlaceReply(reply));
    }

    /// Renews and releases grants.
    pub(crate) fn on_grant_report(&mut self, report: GrantReport, ctx: &mut Context<'_>) {
        self.shards
            .entry(report.shard.clone())
            .or_default()
            .apply_report(&report, ctx);
    }

    /// Polls engines for the load or the cache changes that the policies in force use.
    pub(crate) fn on_poll_timer(&mut self, ctx: &mut Context<'_>) {
        let site = ctx.site_config.clone();
        let now = ctx.now.monotonic;
        self.is_polling = false;
        for (id, shard) in &mut self.shards {
            let Some(model) = site.models.get(&id.model) else {
                continue;
            };
            if now >= shard.last_request_at + POLL_IDLE_TIMEOUT {
                continue;
            }
            self.is_polling = true;
            if model.policy.kind == PolicyKind::LeastLoaded {
                shard.read_loads(&site, ctx);
            } else if model.policy.kind.has_affinity() {
                shard.read_caches(&site, ctx);
            }
        }
        if self.is_polling {
            ctx.set_timer(POLL_INTERVAL, Timer::PollEngines);
        }
    }

    /// Applies an engine's report of its load or its cache to every shard.
    pub(crate) fn on_engine(&mut self, event: &EngineEvent, ctx: &Context<'_>) {
        for shard in self.shards.values_mut() {
            shard.on_engine(event, ctx.now.monotonic);
        }
    }

    /// Returns the status of the decode endpoints of all shards.
    pub(crate) fn decode_endpoint_statuses(&self, _site: &SiteConfig) -> Vec<EndpointStatus> {
        let shards = self.shards.iter();
        shards
            .flat_map(|(id, shard)| shard.decode_endpoint_statuses(id))
            .collect()
    }
}
