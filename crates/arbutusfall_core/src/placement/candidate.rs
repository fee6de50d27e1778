//! Candidate endpoint pairs for a request, with the estimated time to the first token and its error.

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

/// Weight of the latest error in the moving averages.
const LATEST_WEIGHT: f64 = 0.03;

/// Mean deviations added in [`EstimateError::margin`] if `wasted_prefill_weight` is 0.
const MIN_DEVIATIONS: f64 = 1.0;

/// Further mean deviations added if `goodput_weight` is 0.
const EXTRA_DEVIATIONS: f64 = 2.0;

/// A pair of endpoints and its estimated timeline for a request.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// Index of the prefill endpoint in its pool.
    pub(crate) prefill_index: usize,
    /// Index of the decode endpoint in its pool.
    pub(crate) decode_index: usize,
    /// Prompt tokens that the prefill endpoint is expected to have cached.
    pub(crate) cached_tokens: u32,
    /// Estimated duration of the prefill, without queueing.
    pub(crate) prefill_time: Duration,
    /// Instant at which the prefill is sent or, with a reused prefill result, the decode.
    pub(crate) start_at: Duration,
    /// Instant at which the KV cache has arrived at the decode endpoint.
    pub(crate) arrives_at: Duration,
    pub(crate) first_token_at: Duration,
    /// Time to the first token on idle endpoints.
    pub(crate) unloaded_latency: Duration,
}

impl Candidate {
    /// Returns the part of the time to the first token that is caused by other requests.
    pub(crate) fn queueing_delay(&self, now: Duration) -> Duration {
        (self.first_token_at - now).saturating_sub(self.unloaded_latency)
    }
}

/// Moving averages of the error of first-token estimates.
#[derive(Debug, Clone, Default)]
pub(crate) struct EstimateError {
    /// Mean error in seconds; positive if requests took longer than estimated.
    mean_error_s: f64,
    /// Mean absolute deviation from `mean_error_s`, in seconds.
    mean_deviation_s: f64,
}

impl EstimateError {
    pub(crate) fn learn(&mut self, estimated: Duration, actual: Duration) {
        let error_s = actual.as_secs_f64() - estimated.as_secs_f64();
        self.mean_error_s += (error_s - self.mean_error_s) * LATEST_WEIGHT;
        let deviation_s = (error_s - self.mean_error_s).abs();
        self.mean_deviation_s += (deviation_s - self.mean_deviation_s) * LATEST_WEIGHT;
    }

    /// Returns the margin that is added to an estimate: the mean error plus k mean deviations, at least 0.
    ///
    /// k grows from 1 to 3 with the fraction of wasted prefill in the policy's weights.
    pub(crate) fn margin(&self, policy: &Policy) -> Duration {
        if !policy.kind.has_weights() {
            return Duration::ZERO;
        }
        let deviations = MIN_DEVIATIONS + wasted_prefill_fraction(policy) * EXTRA_DEVIATIONS;
        let margin_s = self.mean_error_s + self.mean_deviation_s * deviations;
        Duration::from_secs_f64(margin_s.max(0.0))
    }

    /// Returns the time added to the expected release of a slot, so that a prefill result does not wait for the slot.
    pub(crate) fn slot_margin(&self, policy: &Policy) -> Duration {
        self.margin(policy).mul_f64(wasted_prefill_fraction(policy))
    }
}

/// Returns the weight of wasted prefill as a fraction of both weights.
fn wasted_prefill_fraction(policy: &Policy) -> f64 {
    let weights = policy.goodput_weight + policy.wasted_prefill_weight;
    policy.wasted_prefill_weight / weights.max(f64::MIN_POSITIVE)
}

/// The prefill side of a candidate: an endpoint with its estimated timeline.
struct PrefillChoice {
    prefill_index: usize,
    cached_tokens: u32,
    prefill_time: Duration,
    /// Instant at which the prefill would start if the prompt were sent now.
    next_start_at: Duration,
    /// Time on the link.
    transfer_time: Duration,
    /// Earliest start of the transfer: the result is ready and a decode slot is free.
    earliest_transfer_at: Duration,
    /// Instant at which the KV cache would have arrived at the decode endpoint.
    arrives_at: Duration,
    /// Value to minimize: `arrives_at`, plus `prefill_time` with an affinity policy, which favours cached prefixes.
    sort_key: Duration,
}

impl Shard {
    /// Returns the pair with the earliest decode slot and the best prefill endpoint for it.
    ///
    /// The prefill is delayed so that it does not end before the slot is free.
    pub(crate) fn best_candidate(
        &self,
        request: &PlaceRequest,
        model: &Model,
        ctx: &Context<'_>,
    ) -> Option<Candidate> {
        let now = ctx.now.monotonic;
        let (decode_index, slot_at) = self.earliest_slot(request, model, ctx)?;
        let choice = self.best_prefill(request, model, now, slot_at)?;
        let prefill_done_at = choice.next_start_at + choice.prefill_time;
        let start_delay = choice.earliest_transfer_at - prefill_done_at;
        let start_at = if start_delay.is_zero() {
            now
        } else {
            choice.next_start_at + start_delay
        };
        let arrives_at = choice.arrives_at;
        Some(Candidate {
            prefill_index: choice.prefill_index,
            decode_index,
            cached_tokens: choice.cached_tokens,
            prefill_time: choice.prefill_time,
            start_at,
            arrives_at,
            first_token_at: arrives_at + model.decode_step(),
            unloaded_latency: choice.prefill_time + choice.transfer_time + model.decode_step(),
        })
    }

    /// Returns the index of the decode endpoint with the earliest free slot, and the instant to plan its transfer for.
    ///
    /// The instant is the expected release of the slot plus a margin.
    ///
    /// Ties go to the endpoint with the fewest reservations.
    fn earliest_slot(
        &self,
        request: &PlaceRequest,
        model: &Model,
        ctx: &Context<'_>,
    ) -> Option<(usize, Duration)> {
        let now = ctx.now.monotonic;
        let vms = ctx.members.owner_candidates(&ctx.identity.site);
        let slots = |index: usize, endpoint: &DecodeEndpoint| match model.policy.kind {
            PolicyKind::Quota => quota(endpoint.slots, index, &vms, &ctx.identity.vm),
            _ => endpoint.slots,
        };
        let decode_endpoints = self.pools.decode_endpoints.iter().enumerate();
        let usable = decode_endpoints.filter(|(_, endpoint)| {
            let healthy = endpoint.health.is_usable(now);
            !endpoint.leaving && healthy && !request.avoid.contains(&endpoint.name)
        });
        let by_free_slot = usable.map(|(index, endpoint)| {
            let slot_at = endpoint.slot_free_at(slots(index, endpoint), now);
            (slot_at, endpoint.reservation_count(), index)
        });
        let (slot_at, _, index) = by_free_slot.min()?;
        if slot_at == Duration::MAX {
            return None;
        }
        let margin = if slot_at > now {
            self.estimate_error.slot_margin(&model.policy)
        } else {
            Duration::ZERO
        };
        Some((index, slot_at + margin))
    }

    /// Returns the holder of a reusable prefill result, or else the prefill endpoint with the lowest `sort_key`.
    ///
    /// Endpoints that meet the first-token deadline are preferred to those that do not.
    fn best_prefill(
        &self,
        request: &PlaceRequest,
        model: &Model,
        now: Duration,
        slot_at: Duration,
    ) -> Option<PrefillChoice> {
        let reused = self.reuse_prefill_result(request, model, now, slot_at);
        if reused.is_some() {
            return reused;
        }
        let prefill_endpoints = self.pools.prefill_endpoints.iter().enumerate();
        let usable = prefill_endpoints.filter(|(_, endpoint)| {
            let healthy = endpoint.health.is_usable(now);
            !endpoint.leaving && healthy && !request.avoid.contains(&endpoint.name)
        });
        let choices = usable.map(|(index, endpoint)| {
            let kind = model.policy.kind;
            let pieces = if kind.has_affinity() {
                let hashes = &request.piece_hashes;
                endpoint.prefixes.cached_pieces(hashes, now)
            } else {
                0
            };
            let cached = u32::try_from(pieces).unwrap_or(0) * model.piece_tokens;
            let cached_tokens = cached.min(request.prompt_tokens);
            let prefill_time = model.prefill_time(request.prompt_tokens - cached_tokens);
            let next_start_at = endpoint.next_start_at(now);
            let transfer_time =
                model.transfer_time(request.prompt_tokens, endpoint.link_bytes_per_s);
            let earliest_transfer_at = slot_at.max(next_start_at + prefill_time);
            let arrives_at = transferred_at(endpoint, kind, earliest_transfer_at, transfer_time);
            let sort_key = if kind.has_affinity() {
                arrives_at + prefill_time
            } else {
                arrives_at
            };
            PrefillChoice {
                prefill_index: index,
                cached_tokens,
                prefill_time,
                next_start_at,
                transfer_time,
                earliest_transfer_at,
                arrives_at,
                sort_key,
            }
        });
        let deadline = now + request.first_token_budget;
        choices.min_by_key(|choice| {
            let late = choice.arrives_at + model.decode_step() > deadline;
            (late, choice.sort_key, choice.prefill_index)
        })
    }

    /// Returns the choice that reuses a stored prefill result, if there is one and a slot is free in time.
    ///
    /// In time means within half a result lifetime from now, so that the result is not lost.
    fn reuse_prefill_result(
        &self,
        request: &PlaceRequest,
        model: &Model,
        now: Duration,
        slot_at: Duration,
    ) -> Option<PrefillChoice> {
        let holder = request.prefilled_on.as_ref()?;
        let mut prefill_endpoints = self.pools.prefill_endpoints.iter();
        let prefill_index = prefill_endpoints.position(|endpoint| endpoint.name == *holder)?;
        if slot_at > now + model.prefill_result_lifetime() / 2 {
            return None;
        }
        let endpoint = &self.pools.prefill_endpoints[prefill_index];
        let transfer_time = model.transfer_time(request.prompt_tokens, endpoint.link_bytes_per_s);
        let earliest_transfer_at = slot_at.max(now);
        let arrives_at = transferred_at(
            endpoint,
            model.policy.kind,
            earliest_transfer_at,
            transfer_time,
        );
        Some(PrefillChoice {
            prefill_index,
            cached_tokens: request.prompt_tokens,
            prefill_time: Duration::ZERO,
            // Nothing is prefilled: this makes the start delay 0, so the decode is sent now.
            next_start_at: earliest_transfer_at,
            transfer_time,
            earliest_transfer_at,
            arrives_at,
            sort_key: arrives_at,
        })
    }

    /// Returns the endpoints with the least load according to the load reports, which lag.
    pub(crate) fn least_loaded(
        &self,
        request: &PlaceRequest,
        model: &Model,
        now: Duration,
    ) -> Option<Candidate> {
        let usable = |name: &Name, leaving: bool| !leaving && !request.avoid.contains(name);
        let prefill_endpoints = self.pools.prefill_endpoints.iter().enumerate();
        let prefill_endpoints =
            prefill_endpoints.filter(|(_, endpoint)| usable(&endpoint.name, endpoint.leaving));
        let (prefill_index, endpoint) =
            prefill_endpoints.min_by_key(|(_, endpoint)| endpoint.load_tokens)?;
        let decode_endpoints = self.pools.decode_endpoints.iter().enumerate();
        let decode_endpoints =
            decode_endpoints.filter(|(_, endpoint)| usable(&endpoint.name, endpoint.leaving));
        let (decode_index, _) =
            decode_endpoints.min_by_key(|(_, endpoint)| endpoint.load_requests)?;
        let prefill_time = model.prefill_time(request.prompt_tokens);
        let transfer_time = model.transfer_time(request.prompt_tokens, endpoint.link_bytes_per_s);
        let unloaded_latency = prefill_time + transfer_time + model.decode_step();
        Some(Candidate {
            prefill_index,
            decode_index,
            cached_tokens: 0,
            prefill_time,
            start_at: now,
            arrives_at: now + prefill_time + transfer_time,
            first_token_at: now + unloaded_latency,
            unloaded_latency,
        })
    }
}

/// Returns the instant at which a KV cache has been transferred over the endpoint's link.
fn transferred_at(
    endpoint: &PrefillEndpoint,
    kind: PolicyKind,
    earliest_transfer_at: Duration,
    transfer_time: Duration,
) -> Duration {
    if kind.has_links() {
        earliest_transfer_at.max(endpoint.link_free_at) + transfer_time
    } else {
        earliest_transfer_at + transfer_time
    }
}

/// Returns a VM's share of an endpoint's slots; the shares of all VMs add up to `slots`.
fn quota(slots: usize, endpoint_index: usize, vms: &[Name], vm: &Name) -> usize {
    let count = vms.len().max(1);
    let position = vms.iter().position(|name| name == vm).unwrap_or_default();
    (slots + (position + endpoint_index) % count) / count
}
