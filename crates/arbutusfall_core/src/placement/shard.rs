//! An owner's state of one shard: the grants in use and statistics of earlier grants.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::ActiveGrant;
use arbutusfall_wire::EndedGrant;
use arbutusfall_wire::Grant;
use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::Name;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceRequest;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::ShardId;

use crate::Counter;
use crate::config::Model;
use crate::config::PolicyKind;
use crate::context::Context;
use crate::placement::answer_lengths::AnswerLengths;
use crate::placement::candidate::Candidate;
use crate::placement::candidate::EstimateError;
use crate::placement::pools::Pools;
use crate::placement::retry_schedule::RetrySchedule;
use crate::placement::shares::Shares;
use crate::status::EndpointStatus;

/// Retry-after time if no endpoint is usable.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Minimum interval between searches for lapsed grants, which visit every grant.
const LAPSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A shard and its grants.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shard {
    pub(crate) pools: Pools,
    pub(crate) grants: BTreeMap<RequestId, GrantRecord>,
    pub(crate) answer_lengths: AnswerLengths,
    pub(crate) estimate_error: EstimateError,
    /// Instant of the last placement request.
    pub(crate) last_request_at: Duration,
    /// Instant of the last search for lapsed grants.
    lapses_checked_at: Duration,
    retry_schedule: RetrySchedule,
    shares: Shares,
}

/// An owner's record of a grant that has neither ended nor lapsed.
#[derive(Debug, Clone)]
pub(crate) struct GrantRecord {
    placement: u32,
    /// `None` if the grant was adopted from a previous owner.
    account: Option<Name>,
    prefill: Option<Name>,
    decode: Name,
    piece_hashes: Vec<u64>,
    /// Tokens that the grant may generate; for an adopted grant, the maximum of the whole answer.
    max_output_tokens: u32,
    /// Instant of the first token: an estimate, later computed from the number of generated tokens.
    first_token_at: Duration,
    /// Estimated time from sending the prompt to the first token, including queueing.
    ///
    /// With a reused prefill result it starts when the decode is sent. `None` for an adopted grant.
    first_token_after: Option<Duration>,
    /// Instant at which the grant lapses unless a report renews it.
    lapses_at: Duration,
}

impl Shard {
    /// Reserves a prefill endpoint and a decode slot, or refuses.
    pub(crate) fn place(&mut self, request: &PlaceRequest, ctx: &mut Context<'_>) -> PlaceDecision {
        let site = ctx.site_config.clone();
        let now = ctx.now.monotonic;
        self.pools.refresh(&request.shard, &site);
        self.drop_done_and_lapsed(ctx);
        self.remove(request.request, now);
        let refused = |retry_after| PlaceDecision::Refused { retry_after };
        let Some(model) = site.models.get(&request.shard.model) else {
            return refused(NO_ENDPOINT_RETRY_AFTER);
        };
        self.extend_overdue(model, now);
        let candidate = match model.policy.kind {
            PolicyKind::LeastLoaded => self.least_loaded(request, model, now),
            _ => self.best_candidate(request, model, ctx),
        };
        let Some(best) = candidate else {
            return refused(NO_ENDPOINT_RETRY_AFTER);
        };
        if model.policy.kind != PolicyKind::LeastLoaded
            && let Some(refusal_delay) = self.refusal_delay(request, &best, model, ctx)
        {
            self.shares.on_refused(&request.account, now);
            return refused(self.retry_schedule.next(refusal_delay, now, ctx.rng));
        }
        self.retry_schedule.on_granted(now);
        PlaceDecision::Granted(self.grant(request, best, model, ctx))
    }

    /// Returns the delay on which the retry-after time of a refused request is based, or `None` if it is admitted.
    ///
    /// The delay is the time by which the request would miss its first-token deadline, with the margin, or the queueing
    /// delay if the account must yield to others. Resumed requests are always admitted. So are requests that would
    /// miss the deadline even on idle endpoints, if they need not queue.
    fn refusal_delay(
        &mut self,
        request: &PlaceRequest,
        best: &Candidate,
        model: &Model,
        ctx: &Context<'_>,
    ) -> Option<Duration> {
        if request.resumed {
            return None;
        }
        let now = ctx.now.monotonic;
        let slots = self.pools.slots();
        if self
            .shares
            .must_yield(&request.account, slots, ctx.site_config, now)
        {
            return Some(best.queueing_delay(now));
        }
        let margin = self.estimate_error.margin(&model.policy);
        let deadline = now + request.first_token_budget;
        let refusal_delay = (best.first_token_at + margin).saturating_sub(deadline);
        let infeasible = best.unloaded_latency > request.first_token_budget.saturating_sub(margin);
        let admitted_anyway = infeasible && best.queueing_delay(now).is_zero();
        (!refusal_delay.is_zero() && !admitted_anyway).then_some(refusal_delay)
    }

    /// Records the grant and reserves its prefill time, link and decode slot.
    fn grant(
        &mut self,
        request: &PlaceRequest,
        best: Candidate,
        model: &Model,
        ctx: &Context<'_>,
    ) -> Grant {
        let now = ctx.now.monotonic;
        let lifetime = Duration::from_millis(ctx.site_config.timing.grant_lifetime_ms);
        let prefill_endpoint = &mut self.pools.prefill_endpoints[best.prefill_index];
        prefill_endpoint.health.on_placed(now);
        if request.prefilled_on.as_ref() != Some(&prefill_endpoint.name) {
            prefill_endpoint.enqueue(request.request, best.prefill_time, best.start_at);
            prefill_endpoint.load_tokens += u64::from(request.prompt_tokens);
            prefill_endpoint
                .prefixes
                .record_cached(&request.piece_hashes, now);
        }
        prefill_endpoint.link_free_at = best.arrives_at;
        let prefill = prefill_endpoint.name.clone();
        let remaining_tokens = self.answer_lengths.expected_remaining(
            Some(&request.account),
            0,
            request.max_output_tokens,
        );
        let decode_endpoint = &mut self.pools.decode_endpoints[best.decode_index];
        decode_endpoint.health.on_placed(now);
        decode_endpoint.load_requests += 1;
        let release_at = best.first_token_at + model.decode_step().mul_f64(remaining_tokens);
        decode_endpoint.reserve(request.request, release_at);
        let decode = decode_endpoint.name.clone();
        self.shares.on_granted(&request.account);
        let first_token_after = best.first_token_at - best.start_at;
        let record = GrantRecord {
            placement: request.placement,
            account: Some(request.account.clone()),
            prefill: Some(prefill.clone()),
            decode: decode.clone(),
            piece_hashes: request.piece_hashes.clone(),
            max_output_tokens: request.max_output_tokens,
            first_token_at: best.first_token_at,
            first_token_after: Some(first_token_after),
            lapses_at: best.start_at + lifetime,
        };
        self.grants.insert(request.request, record);
        Grant {
            prefill,
            decode,
            start_after: best.start_at - now,
            first_token_after,
            cached_tokens: best.cached_tokens,
            lifetime,
        }
    }

    /// Renews or adopts the active grants of a report and releases the ended ones.
    pub(crate) fn apply_report(&mut self, report: &GrantReport, ctx: &mut Context<'_>) {
        let site = ctx.site_config.clone();
        self.pools.refresh(&report.shard, &site);
        for ended in &report.ended {
            self.end(ended, ctx);
        }
        for active in &report.active {
            self.renew(active, &report.shard, ctx);
        }
    }

    fn end(&mut self, ended: &EndedGrant, ctx: &Context<'_>) {
        let now = ctx.now.monotonic;
        let current = self.grants.get(&ended.request);
        if current.is_none_or(|grant| grant.placement > ended.placement) {
            return;
        }
        let Some(grant) = self.remove(ended.request, now) else {
            return;
        };
        self.learn(ended, &grant);
        let prefill_endpoint = grant.prefill.and_then(|name| self.pools.prefill(&name));
        match ended.end {
            GrantEnd::PrefillFailed => {
                if let Some(endpoint) = prefill_endpoint {
                    endpoint.health.on_failure(now);
                    endpoint.prefixes.clear();
                }
            }
            GrantEnd::DecodeFailed => {
                if let Some(endpoint) = self.pools.decode(&grant.decode) {
                    endpoint.health.on_failure(now);
                }
            }
            GrantEnd::TransferFailed => {
                if let Some(endpoint) = prefill_endpoint {
                    endpoint.prefixes.discard(&grant.piece_hashes);
                }
            }
            GrantEnd::Finished => {
                if let Some(endpoint) = prefill_endpoint {
                    endpoint.health.on_success();
                }
                if let Some(endpoint) = self.pools.decode(&grant.decode) {
                    endpoint.health.on_success();
                }
            }
            GrantEnd::Cancelled => {}
        }
    }

    fn learn(&mut self, ended: &EndedGrant, grant: &GrantRecord) {
        if let (GrantEnd::Finished, Some(account)) = (ended.end, &grant.account) {
            let max_output_tokens = grant.max_output_tokens;
            self.answer_lengths
                .learn(account, ended.generated_tokens, max_output_tokens);
        }
        let expected = grant.first_token_after;
        if let (Some(prefill_took), Some(transfer_took), Some(expected)) =
            (ended.prefill_took, ended.transfer_took, expected)
        {
            self.estimate_error
                .learn(expected, prefill_took + transfer_took);
        }
    }

    fn renew(&mut self, active: &ActiveGrant, shard: &ShardId, ctx: &Context<'_>) {
        let now = ctx.now.monotonic;
        let lifetime = Duration::from_millis(ctx.site_config.timing.grant_lifetime_ms);
        let Some(model) = ctx.site_config.models.get(&shard.model) else {
            return;
        };
        let known = self.grants.contains_key(&active.request);
        let grant = self
            .grants
            .entry(active.request)
            .or_insert_with(|| GrantRecord {
                placement: 0,
                account: None,
                prefill: active.prefill.clone(),
                decode: active.decode.clone(),
                piece_hashes: Vec::new(),
                max_output_tokens: active.max_output_tokens,
                first_token_at: now,
                first_token_after: None,
                lapses_at: now,
            });
        grant.lapses_at = now + lifetime;
        let prefill = grant.prefill.clone();
        if let Some(endpoint) = prefill.and_then(|name| self.pools.prefill(&name)) {
            if active.prefill.is_some() {
                endpoint.on_still_computing(active.request, now);
            } else {
                endpoint.remove(active.request, now);
                endpoint.health.on_success();
            }
        }
        if active.generated_tokens == 0 && known {
            return;
        }
        let generating = model.decode_step() * active.generated_tokens;
        grant.first_token_at = now.saturating_sub(generating);
        let account = grant.account.as_ref();
        let remaining_tokens = self.answer_lengths.expected_remaining(
            account,
            active.generated_tokens,
            active.max_output_tokens,
        );
        let release_at = now + model.decode_step().mul_f64(remaining_tokens);
        if let Some(endpoint) = self.pools.decode(&active.decode) {
            if active.generated_tokens > 0 {
                endpoint.health.on_success();
            }
            endpoint.reserve(active.request, release_at);
        }
    }

    /// Removes a grant and releases its reservations.
    fn remove(&mut self, request: RequestId, now: Duration) -> Option<GrantRecord> {
        let grant = self.grants.remove(&request)?;
        if let Some(endpoint) = self.pools.decode(&grant.decode) {
            endpoint.release(request);
        }
        let prefill = grant.prefill.as_ref();
        if let Some(endpoint) = prefill.and_then(|name| self.pools.prefill(name)) {
            endpoint.remove(request, now);
        }
        if let Some(account) = &grant.account {
            self.shares.on_released(account);
        }
        Some(grant)
    }

    /// Drops prompts whose expected end has passed and, at most every [`LAPSE_CHECK_INTERVAL`], lapsed grants.
    fn drop_done_and_lapsed(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        for endpoint in &mut self.pools.prefill_endpoints {
            endpoint.drop_done(now);
        }
        if now < self.lapses_checked_at + LAPSE_CHECK_INTERVAL {
            return;
        }
        self.lapses_checked_at = now;
        let grants = self.grants.iter();
        let lapsed = grants.filter(|(_, grant)| grant.lapses_at <= now);
        let lapsed: Vec<RequestId> = lapsed.map(|(request, _)| *request).collect();
        for request in lapsed {
            self.remove(request, now);
            ctx.count(Counter::GrantsLapsed);
        }
    }

    /// Postpones each expected release that has passed, because the answer is longer than expected.
    ///
    /// Removes reservations without a grant.
    fn extend_overdue(&mut self, model: &Model, now: Duration) {
        for endpoint in &mut self.pools.decode_endpoints {
            while let Some(request) = endpoint.first_overdue(now) {
                let Some(grant) = self.grants.get(&request) else {
                    endpoint.release(request);
                    continue;
                };
                let generating = now.saturating_sub(grant.first_token_at);
                let tokens = generating.as_secs_f64() / model.decode_step().as_secs_f64();
                let remaining_tokens = self.answer_lengths.expected_remaining(
                    grant.account.as_ref(),
                    tokens as u32,
                    grant.max_output_tokens,
                );
                endpoint.reserve(request, now + model.decode_step().mul_f64(remaining_tokens));
            }
        }
    }

    pub(crate) fn decode_endpoint_statuses(&self, id: &ShardId) -> Vec<EndpointStatus> {
        let decode_endpoints = self.pools.decode_endpoints.iter();
        decode_endpoints
            .map(|endpoint| EndpointStatus {
                endpoint: endpoint.name.clone(),
                serves: id.model.clone(),
                slots: u32::try_from(endpoint.slots).unwrap_or(u32::MAX),
                grants: endpoint.reservation_count(),
            })
            .collect()
    }
}
