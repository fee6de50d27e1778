//! Reports to shard owners about the grants that this VM uses.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::ShardId;

use crate::context::Context;
use crate::rendezvous::rank_owners;
use crate::streams::Streams;
use crate::streams::stream::Phase;
use crate::timers::Timer;

impl Streams {
    /// Reports the end of the current grant to its owner.
    pub(super) fn report_grant_end(&mut self, id: RequestId, end: GrantEnd, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let Some((owner, shard, ended)) = stream.ended_grant(id, end) else {
            return;
        };
        let report = GrantReport {
            shard,
            active: Vec::new(),
            ended: vec![ended],
        };
        ctx.send(&owner, PeerMessage::GrantReport(report));
    }

    /// Reports the grant in use of one request to its owner.
    pub(super) fn report_active_grant(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        let stream = self.streams.get(&id);
        let Some((owner, shard, active)) = stream.and_then(|stream| stream.active_grant(id)) else {
            return;
        };
        let report = GrantReport {
            shard,
            active: vec![active],
            ended: Vec::new(),
        };
        ctx.send(&owner, PeerMessage::GrantReport(report));
    }

    /// Reports the grants in use to their owners, so that they do not lapse.
    pub(crate) fn on_report_timer(&mut self, ctx: &mut Context<'_>) {
        self.abandoned_placements.drop_lapsed(ctx.now.monotonic);
        self.update_owners(ctx);
        let mut reports: BTreeMap<(Name, ShardId), GrantReport> = BTreeMap::new();
        for (id, stream) in &self.streams {
            let Some((owner, shard, active)) = stream.active_grant(*id) else {
                continue;
            };
            let key = (owner, shard.clone());
            let report = reports.entry(key).or_insert_with(|| GrantReport {
                shard,
                active: Vec::new(),
                ended: Vec::new(),
            });
            report.active.push(active);
        }
        for ((owner, _), report) in reports {
            ctx.send(&owner, PeerMessage::GrantReport(report));
        }
        let interval = Duration::from_millis(ctx.site_config.timing.grant_report_interval_ms);
        ctx.set_timer(interval, Timer::ReportGrants);
    }

    /// Sets the owner of each running stream to the current owner of its shard.
    ///
    /// The current owner adopts the grant from the next report; at the previous owner it lapses.
    fn update_owners(&mut self, ctx: &Context<'_>) {
        let live = ctx.members.owner_candidates(&ctx.identity.site);
        let mut owners: BTreeMap<ShardId, Option<Name>> = BTreeMap::new();
        for stream in self.streams.values_mut() {
            let Phase::Running(running) = &mut stream.phase else {
                continue;
            };
            let model = ctx.site_config.models.get(&running.shard.model);
            if !model.is_some_and(|model| model.policy.kind.has_owner()) {
                continue;
            }
            let shard = &running.shard;
            let owner = owners
                .entry(shard.clone())
                .or_insert_with(|| rank_owners(shard, &live).into_iter().next());
            if let Some(owner) = owner {
                running.owner = owner.clone();
            }
        }
    }
}
