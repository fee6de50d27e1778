//! Search for attempts that engines hold and no process waits for, by the owner of each shard.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Name;
use arbutusfall_wire::ShardId;

use crate::AttemptId;
use crate::Counter;
use crate::Effect;
use crate::config::Endpoint;
use crate::config::Role;
use crate::context::Context;
use crate::placement::shard_count;
use crate::placement::shard_endpoints;
use crate::rendezvous::rank_owners;
use crate::streams::Streams;
use crate::timers::Timer;

/// Time after which a process that was not heard of is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The search for attempts whose process is gone.
///
/// An attempt of another process is given up only if membership knows of no VM that may run this process, and
/// nothing was heard of it for the lifetime of a grant. A VM that this process does not know yet is heard before
/// that, as it reports its grants several times within their lifetime.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sweep {
    /// Last message of each process, or when an attempt of it was first seen.
    quiet_since: BTreeMap<Incarnation, Duration>,
    /// Endpoints that were asked and have not answered.
    asked: BTreeSet<Name>,
}

impl Sweep {
    /// A process sent a message.
    pub(crate) fn on_heard(&mut self, incarnation: Incarnation, ctx: &Context<'_>) {
        self.quiet_since.insert(incarnation, ctx.now.monotonic);
    }

    /// Asks the engines of all shards that this VM owns which attempts they hold.
    pub(crate) fn on_timer(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        self.quiet_since
            .retain(|_, since| now.saturating_sub(*since) < FORGET_AFTER);
        let endpoints = owned_endpoints(ctx);
        self.asked = endpoints.iter().map(|(name, _)| name.clone()).collect();
        for (name, endpoint) in endpoints {
            ctx.push(Effect::ListActive {
                endpoint: name,
                address: endpoint.address,
            });
        }
        let interval = Duration::from_millis(ctx.site.timing.sweep_interval_ms);
        ctx.set_timer(interval, Timer::SweepEndpoints);
    }

    /// An engine listed what it holds: cancels what nobody waits for.
    pub(crate) fn on_active(
        &mut self,
        endpoint: &Name,
        attempts: &[AttemptId],
        streams: &Streams,
        ctx: &mut Context<'_>,
    ) {
        if !self.asked.remove(endpoint) {
            return;
        }
        let Some(address) = ctx.site.endpoints.get(endpoint).map(|found| found.address) else {
            return;
        };
        for attempt in attempts.iter().copied() {
            if !self.is_orphan(attempt, streams, ctx) {
                continue;
            }
            ctx.count(Counter::OrphansFound);
            ctx.push(Effect::Cancel { attempt, address });
        }
    }

    fn is_orphan(&mut self, attempt: AttemptId, streams: &Streams, ctx: &Context<'_>) -> bool {
        let process = attempt.request.incarnation;
        if process == ctx.identity.incarnation {
            return !streams.knows(attempt);
        }
        let now = ctx.now.monotonic;
        let since = *self.quiet_since.entry(process).or_insert(now);
        let lifetime = Duration::from_millis(ctx.site.timing.grant_lifetime_ms);
        !ctx.members.holds(process) && now >= since + lifetime
    }
}

/// Engines of the shards that this VM owns.
fn owned_endpoints(ctx: &Context<'_>) -> Vec<(Name, Endpoint)> {
    let live = ctx.members.live(&ctx.identity.site);
    let mut owned = Vec::new();
    for model in ctx.site.models.keys() {
        for index in 0..shard_count(ctx.site, model) {
            let shard = ShardId {
                model: model.clone(),
                index,
            };
            if rank_owners(&shard, &live).first() != Some(&ctx.identity.vm) {
                continue;
            }
            for role in [Role::Prefill, Role::Decode] {
                let engines = shard_endpoints(ctx.site, &shard, role);
                owned.extend(engines.map(|(name, endpoint)| (name.clone(), endpoint.clone())));
            }
        }
    }
    owned
}
