//! One pool shard as its owner sees it: prefill queues, decode slots and the grants that use them.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::ActiveGrant;
use arbutusfall_wire::EndedGrant;
use arbutusfall_wire::Grant;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::Name;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceRequest;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::ShardId;

use crate::Counter;
use crate::config::Endpoint;
use crate::config::Model;
use crate::config::Role;
use crate::config::SiteConfig;
use crate::context::Context;
use crate::placement::shard_endpoints;
use crate::status::EndpointStatus;

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Output that is expected of a request, as a share of what it may generate.
const EXPECTED_OUTPUT_SHARE: f64 = 0.8;

/// A pool shard.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shard {
    grants: BTreeMap<RequestId, OwnedGrant>,
    /// Instant at which each prefill endpoint will have done what it was given.
    prefill_free_at: BTreeMap<Name, Duration>,
}

/// A grant that is believed to be in use.
#[derive(Debug, Clone)]
struct OwnedGrant {
    placement: u32,
    decode: Name,
    /// Instant at which the slot is expected to be free.
    release_at: Duration,
    /// Instant at which the grant lapses unless it is reported.
    lapses_at: Duration,
}

/// A pair of endpoints and when they would deliver.
struct Candidate {
    prefill: Name,
    decode: Name,
    start_at: Duration,
    prefill_done_at: Duration,
    first_token_at: Duration,
}

impl Shard {
    /// Reserves a prefill endpoint and a decode slot, or refuses.
    pub(crate) fn place(&mut self, request: &PlaceRequest, ctx: &mut Context<'_>) -> PlaceDecision {
        self.drop_lapsed(ctx);
        let site = ctx.site.clone();
        let now = ctx.now.monotonic;
        let Some(model) = site.models.get(&request.shard.model) else {
            return PlaceDecision::Refused {
                retry_after: MIN_RETRY_AFTER,
            };
        };
        let Some(best) = self.best_candidate(request, model, ctx) else {
            return PlaceDecision::Refused {
                retry_after: MIN_RETRY_AFTER,
            };
        };
        let due = now + request.first_token_budget;
        if best.first_token_at > due && !request.resumed {
            let late_by = best.first_token_at - due;
            return PlaceDecision::Refused {
                retry_after: late_by.max(MIN_RETRY_AFTER),
            };
        }
        let output = f64::from(request.max_output_tokens) * EXPECTED_OUTPUT_SHARE;
        let release_at = best.first_token_at + model.decode_step().mul_f64(output);
        let lifetime = Duration::from_millis(site.timing.grant_lifetime_ms);
        let owned = OwnedGrant {
            placement: request.placement,
            decode: best.decode.clone(),
            release_at,
            lapses_at: now + (best.start_at - now) + lifetime,
        };
        self.grants.insert(request.request, owned);
        self.prefill_free_at
            .insert(best.prefill.clone(), best.prefill_done_at);
        PlaceDecision::Granted(Grant {
            prefill: best.prefill,
            decode: best.decode,
            start_after: best.start_at - now,
            first_token_after: best.first_token_at - best.start_at,
            cached_tokens: 0,
            lifetime,
        })
    }

    fn best_candidate(
        &self,
        request: &PlaceRequest,
        model: &Model,
        ctx: &Context<'_>,
    ) -> Option<Candidate> {
        let usable =
            |entry: &(&Name, &Endpoint)| !entry.1.leaving && !request.avoid.contains(entry.0);
        let now = ctx.now.monotonic;
        let (decode, slot_at) = shard_endpoints(ctx.site, &request.shard, Role::Decode)
            .filter(usable)
            .map(|(name, endpoint)| (name, self.slot_free_at(name, endpoint, now)))
            .min_by_key(|(_, slot_at)| *slot_at)?;
        let prefill_time = model.prefill_time(request.prompt_tokens);
        let (prefill, endpoint, queue_end) =
            shard_endpoints(ctx.site, &request.shard, Role::Prefill)
                .filter(usable)
                .map(|(name, endpoint)| {
                    let free_at = self.prefill_free_at.get(name).copied().unwrap_or_default();
                    (name, endpoint, free_at.max(now))
                })
                .min_by_key(|(_, _, queue_end)| *queue_end)?;
        let transfer = model.transfer_time(request.prompt_tokens, endpoint.link_bytes_per_s);
        let ready_at = queue_end + prefill_time + transfer;
        let held_back = slot_at.saturating_sub(ready_at);
        let start_at = now + held_back;
        Some(Candidate {
            prefill: prefill.clone(),
            decode: decode.clone(),
            start_at,
            prefill_done_at: queue_end + held_back + prefill_time,
            first_token_at: ready_at + held_back + model.decode_step(),
        })
    }

    /// Instant at which an endpoint has a slot that no grant is expected to hold.
    fn slot_free_at(&self, name: &Name, endpoint: &Endpoint, now: Duration) -> Duration {
        let held = self.grants.values().filter(|grant| grant.decode == *name);
        let mut releases: Vec<Duration> = held.map(|grant| grant.release_at.max(now)).collect();
        let slots = endpoint.slots as usize;
        if releases.len() < slots {
            return now;
        }
        releases.sort_unstable();
        releases[releases.len() - slots]
    }

    /// Renews the grants in use and releases those that ended.
    pub(crate) fn report(&mut self, report: &GrantReport, ctx: &mut Context<'_>) {
        for ended in &report.ended {
            self.end(ended);
        }
        for active in &report.active {
            self.renew(active, &report.shard, ctx);
        }
    }

    fn end(&mut self, ended: &EndedGrant) {
        if let Some(grant) = self.grants.get(&ended.request)
            && grant.placement <= ended.placement
        {
            self.grants.remove(&ended.request);
        }
    }

    fn renew(&mut self, active: &ActiveGrant, shard: &ShardId, ctx: &Context<'_>) {
        let now = ctx.now.monotonic;
        let lifetime = Duration::from_millis(ctx.site.timing.grant_lifetime_ms);
        let Some(model) = ctx.site.models.get(&shard.model) else {
            return;
        };
        let left = active
            .max_output_tokens
            .saturating_sub(active.generated_tokens);
        let left = f64::from(left) * EXPECTED_OUTPUT_SHARE;
        let grant = self
            .grants
            .entry(active.request)
            .or_insert_with(|| OwnedGrant {
                placement: 0,
                decode: active.decode.clone(),
                release_at: now + model.decode_step().mul_f64(left),
                lapses_at: now,
            });
        if active.generated_tokens > 0 {
            grant.release_at = now + model.decode_step().mul_f64(left);
        }
        grant.lapses_at = now + lifetime;
    }

    fn drop_lapsed(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        let before = self.grants.len();
        self.grants.retain(|_, grant| grant.lapses_at > now);
        for _ in self.grants.len()..before {
            ctx.count(Counter::GrantsLapsed);
        }
    }

    pub(crate) fn endpoints(&self, id: &ShardId, site: &SiteConfig) -> Vec<EndpointStatus> {
        let decodes = shard_endpoints(site, id, Role::Decode);
        decodes
            .map(|(name, endpoint)| EndpointStatus {
                endpoint: name.clone(),
                serves: endpoint.serves.clone(),
                slots: endpoint.slots,
                grants: self
                    .grants
                    .values()
                    .filter(|grant| grant.decode == *name)
                    .count(),
            })
            .collect()
    }
}
