//! Detection and cancellation of orphaned attempts, which engines hold but no process waits for, by shard owners.

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

/// Time without a message after which a process's entry is dropped.
const SILENT_PROCESS_RETENTION: Duration = Duration::from_secs(60);

/// Periodic sweep that cancels orphaned attempts on the engines of this VM's shards.
///
/// An attempt of this process is cancelled if no stream has it. An attempt of another process is cancelled once no
/// member can be running that process and no message from it arrived for the lifetime of a grant. A running process
/// that is not in the membership yet is safe, because it reports its grants several times within their lifetime.
#[derive(Debug, Clone, Default)]
pub(crate) struct OrphanSweep {
    /// Time of each process's last message. For a process that has sent none, the time at which an engine first listed
    /// an attempt of it.
    silent_since: BTreeMap<Incarnation, Duration>,
    /// Endpoints that have not answered the current sweep.
    pending: BTreeSet<Name>,
}

impl OrphanSweep {
    /// Records that a process sent a message.
    pub(crate) fn on_message(&mut self, incarnation: Incarnation, ctx: &Context<'_>) {
        self.silent_since.insert(incarnation, ctx.now.monotonic);
    }

    /// Lists the attempts held by the engines of all shards that this VM owns.
    pub(crate) fn on_timer(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        self.silent_since
            .retain(|_, since| now.saturating_sub(*since) < SILENT_PROCESS_RETENTION);
        let endpoints = owned_endpoints(ctx);
        self.pending = endpoints.iter().map(|(name, _)| name.clone()).collect();
        for (name, endpoint) in endpoints {
            ctx.push(Effect::ListAttempts {
                endpoint: name,
                address: endpoint.address,
            });
        }
        let interval = Duration::from_millis(ctx.site_config.timing.sweep_interval_ms);
        ctx.set_timer(interval, Timer::SweepEndpoints);
    }

    /// Cancels the orphans among the attempts that an engine listed.
    pub(crate) fn on_attempts_listed(
        &mut self,
        endpoint: &Name,
        attempts: &[AttemptId],
        streams: &Streams,
        ctx: &mut Context<'_>,
    ) {
        if !self.pending.remove(endpoint) {
            return;
        }
        let Some(address) = ctx.site_config.address_of(endpoint) else {
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
            return !streams.has_attempt(attempt);
        }
        let now = ctx.now.monotonic;
        let silent_since = *self.silent_since.entry(process).or_insert(now);
        let lifetime = Duration::from_millis(ctx.site_config.timing.grant_lifetime_ms);
        !ctx.members.may_be_running(process) && now >= silent_since + lifetime
    }
}

/// Returns the engines of the shards that this VM owns.
fn owned_endpoints(ctx: &Context<'_>) -> Vec<(Name, Endpoint)> {
    let live = ctx.members.owner_candidates(&ctx.identity.site);
    let mut owned = Vec::new();
    for model in ctx.site_config.models.keys() {
        for index in 0..shard_count(ctx.site_config, model) {
            let shard = ShardId {
                model: model.clone(),
                index,
            };
            if rank_owners(&shard, &live).first() != Some(&ctx.identity.vm) {
                continue;
            }
            for role in [Role::Prefill, Role::Decode] {
                let engines = shard_endpoints(ctx.site_config, &shard, role);
                owned.extend(engines.map(|(name, endpoint)| (name.clone(), endpoint.clone())));
            }
        }
    }
    owned
}
