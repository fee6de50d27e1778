//! When a request would get its first token, and how sure that is.

use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::PlaceRequest;

use crate::config::Model;
use crate::config::Policy;
use crate::config::PolicyKind;
use crate::context::Context;
use crate::placement::decode_endpoint::DecodeEndpoint;
use crate::placement::prefill_endpoint::PrefillEndpoint;
use crate::placement::shard::Shard;

/// Weight of the newest error in the learnt ones.
const NEWEST_WEIGHT: f64 = 0.03;

/// Deviations that are allowed for when only goodput counts.
const LEAST_DEVIATIONS: f64 = 1.0;

/// Deviations that are allowed for besides when only wasted prefill counts.
const FURTHER_DEVIATIONS: f64 = 2.0;

/// A pair of endpoints and when they would deliver.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// Index of the prefill endpoint in its pool.
    pub(crate) prefill: usize,
    /// Index of the decode endpoint in its pool.
    pub(crate) decode: usize,
    /// Prompt tokens that are believed to be cached.
    pub(crate) cached_tokens: u32,
    /// Time that the prefill takes.
    pub(crate) work: Duration,
    /// Instant at which the prompt is sent.
    pub(crate) start_at: Duration,
    /// Instant at which the KV cache is at the decode endpoint.
    pub(crate) arrives_at: Duration,
    pub(crate) first_token_at: Duration,
    /// Time to the first token if nothing else were in progress.
    pub(crate) alone: Duration,
}

impl Candidate {
    /// Time that is spent waiting for others.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        (self.first_token_at - now).saturating_sub(self.alone)
    }
}

/// How far estimates were off.
#[derive(Debug, Clone, Default)]
pub(crate) struct Forecast {
    /// Mean of what took longer than estimated; negative if it took less.
    error_s: f64,
    /// Mean distance from that mean.
    deviation_s: f64,
}

impl Forecast {
    pub(crate) fn learn(&mut self, estimated: Duration, actual: Duration) {
        let error_s = actual.as_secs_f64() - estimated.as_secs_f64();
        self.error_s += (error_s - self.error_s) * NEWEST_WEIGHT;
        let deviation_s = (error_s - self.error_s).abs();
        self.deviation_s += (deviation_s - self.deviation_s) * NEWEST_WEIGHT;
    }

    /// Time that is added to an estimate, so that it is as sure as the site's weights ask for.
    pub(crate) fn margin(&self, policy: &Policy) -> Duration {
        if !policy.kind.has_weights() {
            return Duration::ZERO;
        }
        let deviations = LEAST_DEVIATIONS + caution(policy) * FURTHER_DEVIATIONS;
        let margin_s = self.error_s + self.deviation_s * deviations;
        Duration::from_secs_f64(margin_s.max(0.0))
    }

    /// Time by which the release of a slot is expected later, so that a result does not wait for it.
    pub(crate) fn slot_margin(&self, policy: &Policy) -> Duration {
        self.margin(policy).mul_f64(caution(policy))
    }
}

/// Weight of wasted prefill, as a share of both weights.
fn caution(policy: &Policy) -> f64 {
    let weights = policy.goodput_weight + policy.wasted_prefill_weight;
    policy.wasted_prefill_weight / weights.max(f64::MIN_POSITIVE)
}

/// A prefill endpoint's part of a candidate.
struct Prepared {
    prefill: usize,
    cached_tokens: u32,
    work: Duration,
    free_at: Duration,
    transfer: Duration,
    /// Instant at which the result is there and a slot is free, so that the transfer may begin.
    done_at: Duration,
    /// Instant at which the KV cache is at the decode endpoint.
    ready_at: Duration,
    /// What the choice costs: lateness and the endpoint's time.
    cost: Duration,
}

impl Shard {
    /// The pair of endpoints that costs least, with the slot booked for the end of the prefill.
    pub(crate) fn best_candidate(
        &self,
        request: &PlaceRequest,
        model: &Model,
        ctx: &Context<'_>,
    ) -> Option<Candidate> {
        let now = ctx.now.monotonic;
        let (decode, slot_at) = self.first_slot(request, model, ctx)?;
        let prepared = self.prepare(request, model, now, slot_at)?;
        let computed_at = prepared.free_at + prepared.work;
        let held_back = prepared.done_at - computed_at;
        let start_at = if held_back.is_zero() {
            now
        } else {
            prepared.free_at + held_back
        };
        let arrives_at = prepared.ready_at;
        Some(Candidate {
            prefill: prepared.prefill,
            decode,
            cached_tokens: prepared.cached_tokens,
            work: prepared.work,
            start_at,
            arrives_at,
            first_token_at: arrives_at + model.decode_step(),
            alone: prepared.work + prepared.transfer + model.decode_step(),
        })
    }

    /// The decode endpoint that has a slot first; of several, the one with the fewest requests.
    fn first_slot(
        &self,
        request: &PlaceRequest,
        model: &Model,
        ctx: &Context<'_>,
    ) -> Option<(usize, Duration)> {
        let now = ctx.now.monotonic;
        let vms = ctx.members.live(&ctx.identity.site);
        let slots = |index: usize, endpoint: &DecodeEndpoint| match model.policy.kind {
            PolicyKind::Quota => quota(endpoint.slots, index, &vms, &ctx.identity.vm),
            _ => endpoint.slots,
        };
        let decodes = self.pools.decodes.iter().enumerate();
        let usable = decodes.filter(|(_, endpoint)| {
            let healthy = endpoint.health.is_usable(now);
            !endpoint.leaving && healthy && !request.avoid.contains(&endpoint.name)
        });
        let free_at = usable.map(|(index, endpoint)| {
            let slot_at = endpoint.slot_free_at(slots(index, endpoint), now);
            (slot_at, endpoint.held(), index)
        });
        let (slot_at, _, index) = free_at.min()?;
        if slot_at == Duration::MAX {
            return None;
        }
        let margin = if slot_at > now {
            self.forecast.slot_margin(&model.policy)
        } else {
            Duration::ZERO
        };
        Some((index, slot_at + margin))
    }

    /// The prefill endpoint that costs least.
    fn prepare(
        &self,
        request: &PlaceRequest,
        model: &Model,
        now: Duration,
        slot_at: Duration,
    ) -> Option<Prepared> {
        let alive = self.prepare_result(request, model, now, slot_at);
        if alive.is_some() {
            return alive;
        }
        let prefills = self.pools.prefills.iter().enumerate();
        let usable = prefills.filter(|(_, endpoint)| {
            let healthy = endpoint.health.is_usable(now);
            !endpoint.leaving && healthy && !request.avoid.contains(&endpoint.name)
        });
        let prepared = usable.map(|(index, endpoint)| {
            let kind = model.policy.kind;
            let pieces = if kind.has_affinity() {
                let hashes = &request.piece_hashes;
                endpoint.prefixes.known_pieces(hashes, now)
            } else {
                0
            };
            let cached = u32::try_from(pieces).unwrap_or(0) * model.piece_tokens;
            let cached_tokens = cached.min(request.prompt_tokens);
            let work = model.prefill_time(request.prompt_tokens - cached_tokens);
            let free_at = endpoint.free_at(now);
            let transfer = model.transfer_time(request.prompt_tokens, endpoint.link_bytes_per_s);
            let done_at = slot_at.max(free_at + work);
            let ready_at = transferred_at(endpoint, kind, done_at, transfer);
            let cost = if kind.has_affinity() {
                ready_at + work
            } else {
                ready_at
            };
            Prepared {
                prefill: index,
                cached_tokens,
                work,
                free_at,
                transfer,
                done_at,
                ready_at,
                cost,
            }
        });
        let due = now + request.first_token_budget;
        prepared.min_by_key(|prepared| {
            let late = prepared.ready_at + model.decode_step() > due;
            (late, prepared.cost, prepared.prefill)
        })
    }

    /// A result that is still alive, if a slot is free before it is lost.
    fn prepare_result(
        &self,
        request: &PlaceRequest,
        model: &Model,
        now: Duration,
        slot_at: Duration,
    ) -> Option<Prepared> {
        let holder = request.prefilled_on.as_ref()?;
        let mut prefills = self.pools.prefills.iter();
        let prefill = prefills.position(|endpoint| endpoint.name == *holder)?;
        if slot_at > now + model.prefill_result_lifetime() / 2 {
            return None;
        }
        let endpoint = &self.pools.prefills[prefill];
        let transfer = model.transfer_time(request.prompt_tokens, endpoint.link_bytes_per_s);
        let done_at = slot_at.max(now);
        let ready_at = transferred_at(endpoint, model.policy.kind, done_at, transfer);
        Some(Prepared {
            prefill,
            cached_tokens: request.prompt_tokens,
            work: Duration::ZERO,
            free_at: done_at,
            transfer,
            done_at,
            ready_at,
            cost: ready_at,
        })
    }

    /// The endpoints with the least load by the lagging reports.
    pub(crate) fn least_loaded(
        &self,
        request: &PlaceRequest,
        model: &Model,
        now: Duration,
    ) -> Option<Candidate> {
        let usable = |name: &Name, leaving: bool| !leaving && !request.avoid.contains(name);
        let prefills = self.pools.prefills.iter().enumerate();
        let prefills = prefills.filter(|(_, one)| usable(&one.name, one.leaving));
        let (prefill, endpoint) = prefills.min_by_key(|(_, one)| one.load_tokens)?;
        let decodes = self.pools.decodes.iter().enumerate();
        let decodes = decodes.filter(|(_, one)| usable(&one.name, one.leaving));
        let (decode, _) = decodes.min_by_key(|(_, one)| one.load_requests)?;
        let work = model.prefill_time(request.prompt_tokens);
        let transfer = model.transfer_time(request.prompt_tokens, endpoint.link_bytes_per_s);
        let alone = work + transfer + model.decode_step();
        Some(Candidate {
            prefill,
            decode,
            cached_tokens: 0,
            work,
            start_at: now,
            arrives_at: now + work + transfer,
            first_token_at: now + alone,
            alone,
        })
    }
}

/// Instant at which a KV cache has been moved over its link.
fn transferred_at(
    endpoint: &PrefillEndpoint,
    kind: PolicyKind,
    done_at: Duration,
    transfer: Duration,
) -> Duration {
    if kind.has_links() {
        done_at.max(endpoint.link_free_at) + transfer
    } else {
        done_at + transfer
    }
}

/// Slots of one endpoint that belong to one of several VMs; those of all VMs add up to all slots.
fn quota(slots: usize, endpoint: usize, vms: &[Name], vm: &Name) -> usize {
    let count = vms.len().max(1);
    let position = vms.iter().position(|name| name == vm).unwrap_or_default();
    (slots + (position + endpoint) % count) / count
}
