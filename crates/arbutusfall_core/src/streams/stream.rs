//! One model request.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::ActiveGrant;
use arbutusfall_wire::EndedGrant;
use arbutusfall_wire::Grant;
use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::Name;
use arbutusfall_wire::PlaceRequest;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::ShardId;
use arbutusfall_wire::stable_hash;

use crate::AttemptId;
use crate::CallId;
use crate::CompletionRequest;
use crate::Stage;
use crate::config::SiteConfig;
use crate::placement::shard_count;

/// A model request in progress.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    pub(crate) call: CallId,
    asked: CompletionRequest,
    pub(crate) max_output_tokens: u32,
    first_token_due: Duration,
    /// Tokens that the caller was sent.
    ///
    /// Invariant: at most `max_output_tokens`; only grows.
    pub(crate) delivered_tokens: u32,
    /// Counts the placements that were asked for; answers to older ones are stale.
    pub(crate) placement: u32,
    /// Owners that did not answer the current placement.
    pub(crate) owner_tries: usize,
    pub(crate) failures: u32,
    /// Whether a decode engine that failed may have generated tokens, so that the request counts as run.
    pub(crate) may_have_run: bool,
    /// Endpoints that failed this request.
    pub(crate) avoid: Vec<Name>,
    pub(crate) phase: Phase,
    /// A prefill's result that no decode engine is known to have fetched.
    pub(crate) result: Option<StoredResult>,
}

/// A prefill's result, as long as its engine may keep it.
#[derive(Debug, Clone)]
pub(crate) struct StoredResult {
    /// Prefill that made it.
    pub(crate) attempt: AttemptId,
    /// Engine that keeps it.
    pub(crate) endpoint: Name,
    /// Where that engine listens.
    pub(crate) address: SocketAddr,
    /// Transfer parameters, as JSON text.
    pub(crate) transfer: Name,
    /// Instant at which the engine drops it if nobody fetches it.
    pub(crate) expires_at: Duration,
}

/// How far a request has come.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// An owner was asked.
    Placing { shard: ShardId },
    /// A grant was given whose instant has not come.
    Waiting {
        shard: ShardId,
        owner: Name,
        grant: Grant,
    },
    /// An engine works.
    Running(Running),
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) shard: ShardId,
    pub(crate) owner: Name,
    pub(crate) grant: Grant,
    stage: Stage,
    /// Instant at which the current stage was ordered.
    since: Duration,
    /// Where the engine of the current stage listens, once the order was sent.
    pub(crate) address: Option<SocketAddr>,
    /// Instant of the last sign of the engine, or of the last question put to it.
    pub(crate) quiet_since: Duration,
    /// What was tried since the engine's last sign.
    pub(crate) inquiry: Inquiry,
    prefill_took: Option<Duration>,
    transfer_took: Option<Duration>,
    cached_tokens: Option<u32>,
    /// Tokens received from the current decode attempt.
    received_tokens: u32,
}

/// What is done about an engine that is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Inquiry {
    /// Nothing: the engine is not overdue.
    None,
    /// The engine was asked whether it holds the attempt.
    Asked,
    /// A new connection was opened.
    Resumed,
}

impl Phase {
    /// Stage at an engine, if an engine works.
    pub(crate) fn stage(&self) -> Option<Stage> {
        match self {
            Self::Running(running) => Some(running.stage),
            Self::Placing { .. } | Self::Waiting { .. } => None,
        }
    }
}

impl Running {
    /// The engine of the current stage.
    pub(crate) fn engine(&self) -> &Name {
        match self.stage {
            Stage::Prefill => &self.grant.prefill,
            Stage::Decode => &self.grant.decode,
        }
    }

    /// Tokens received from the current decode attempt.
    pub(crate) fn received_tokens(&self) -> u32 {
        self.received_tokens
    }
}

impl Stream {
    pub(crate) fn new(
        asked: CompletionRequest,
        max_output_tokens: u32,
        first_token_due: Duration,
    ) -> Self {
        let shard = ShardId {
            model: asked.model.clone(),
            index: 0,
        };
        Self {
            call: asked.call,
            asked,
            max_output_tokens,
            first_token_due,
            delivered_tokens: 0,
            placement: 0,
            owner_tries: 0,
            failures: 0,
            may_have_run: false,
            avoid: Vec::new(),
            phase: Phase::Placing { shard },
            result: None,
        }
    }

    /// Model that was asked for.
    pub(crate) fn model(&self) -> &Name {
        &self.asked.model
    }

    /// Length of the prompt with what was delivered, in tokens.
    pub(crate) fn context_tokens(&self) -> u32 {
        self.asked.prompt_tokens + self.delivered_tokens
    }

    /// Shard that should hold the request.
    pub(crate) fn shard(&self, id: RequestId, site: &SiteConfig) -> ShardId {
        let count = u64::from(shard_count(site, &self.asked.model));
        let index = stable_hash(&(id, self.failures)) % count;
        let index = u16::try_from(index).unwrap_or_default();
        ShardId {
            model: self.asked.model.clone(),
            index,
        }
    }

    pub(crate) fn place_request(
        &self,
        id: RequestId,
        shard: ShardId,
        now: Duration,
    ) -> PlaceRequest {
        PlaceRequest {
            request: id,
            placement: self.placement,
            shard,
            account: self.asked.account.clone(),
            prompt_tokens: self.context_tokens(),
            max_output_tokens: self.max_output_tokens - self.delivered_tokens,
            piece_hashes: self.asked.piece_hashes.clone(),
            first_token_budget: self.first_token_due.saturating_sub(now),
            resumed: self.delivered_tokens > 0,
            prefilled_on: self.live_result(now).map(|result| result.endpoint.clone()),
            avoid: self.avoid.clone(),
            traceparent: self.asked.traceparent.clone(),
        }
    }

    /// The prefill's result, if its engine still keeps it.
    pub(crate) fn live_result(&self, now: Duration) -> Option<&StoredResult> {
        let result = self.result.as_ref();
        result.filter(|result| result.expires_at > now)
    }

    /// Time from the order of the decode to its first token, as the owner estimated it with the waits for link and slot.
    pub(crate) fn expected_first_token(&self) -> Option<Duration> {
        let Phase::Running(running) = &self.phase else {
            return None;
        };
        let prefill_took = running.prefill_took.unwrap_or_default();
        Some(running.grant.first_token_after.saturating_sub(prefill_took))
    }

    /// The engine's work for the request, if an engine works.
    pub(crate) fn running(&mut self) -> Option<&mut Running> {
        match &mut self.phase {
            Phase::Running(running) => Some(running),
            Phase::Placing { .. } | Phase::Waiting { .. } => None,
        }
    }

    /// Moves from waiting to an engine; none if the request was not waiting.
    ///
    /// The engine is the prefill engine, or the decode engine if a prefill's result is still kept.
    pub(crate) fn begin(&mut self, now: Duration) -> Option<Stage> {
        let Phase::Waiting {
            shard,
            owner,
            grant,
        } = &self.phase
        else {
            return None;
        };
        let stage = match self.live_result(now) {
            Some(_) => Stage::Decode,
            None => Stage::Prefill,
        };
        self.phase = Phase::Running(Running {
            shard: shard.clone(),
            owner: owner.clone(),
            grant: grant.clone(),
            stage,
            since: now,
            address: None,
            quiet_since: now,
            inquiry: Inquiry::None,
            prefill_took: None,
            transfer_took: None,
            cached_tokens: None,
            received_tokens: 0,
        });
        Some(stage)
    }

    /// Moves from the prefill engine to the decode engine.
    pub(crate) fn begin_decode(
        &mut self,
        attempt: AttemptId,
        result: (Name, Duration),
        cached_tokens: Option<u32>,
        now: Duration,
    ) {
        let Phase::Running(running) = &mut self.phase else {
            return;
        };
        let (transfer, lifetime) = result;
        self.result = running.address.map(|address| StoredResult {
            attempt,
            endpoint: running.grant.prefill.clone(),
            address,
            transfer,
            expires_at: now + lifetime,
        });
        running.stage = Stage::Decode;
        running.prefill_took = Some(now - running.since);
        running.cached_tokens = cached_tokens;
        running.since = now;
        running.address = None;
        running.quiet_since = now;
        running.inquiry = Inquiry::None;
    }

    /// Takes those of the tokens that were not received yet.
    pub(crate) fn take_tokens(
        &mut self,
        first_index: u32,
        mut texts: Vec<Name>,
        now: Duration,
    ) -> Vec<Name> {
        let Phase::Running(running) = &mut self.phase else {
            return Vec::new();
        };
        let Some(known) = running.received_tokens.checked_sub(first_index) else {
            return Vec::new();
        };
        texts.drain(..texts.len().min(known as usize));
        let left = self.max_output_tokens - self.delivered_tokens;
        texts.truncate(left as usize);
        let count = u32::try_from(texts.len()).unwrap_or_default();
        if count > 0 && running.received_tokens == 0 {
            running.transfer_took = Some(now - running.since);
        }
        if count > 0 {
            running.quiet_since = now;
            running.inquiry = Inquiry::None;
            // The KV cache has arrived, so the prefill engine has nothing left.
            self.result = None;
        }
        running.received_tokens += count;
        self.delivered_tokens += count;
        debug_assert!(self.delivered_tokens <= self.max_output_tokens);
        texts
    }

    /// Tokens received from the current decode attempt.
    pub(crate) fn received_tokens(&self) -> u32 {
        match &self.phase {
            Phase::Running(running) => running.received_tokens,
            Phase::Placing { .. } | Phase::Waiting { .. } => 0,
        }
    }

    /// Whether an attempt is the one that the request waits for.
    pub(crate) fn is_current(&self, attempt: AttemptId) -> bool {
        self.placement == attempt.placement && self.phase.stage() == Some(attempt.stage)
    }

    /// What an engine may hold for the request, and where.
    pub(crate) fn engine_use(&self, id: RequestId) -> Option<(AttemptId, Name, SocketAddr)> {
        let Phase::Running(running) = &self.phase else {
            return None;
        };
        let attempt = AttemptId {
            request: id,
            placement: self.placement,
            stage: running.stage,
        };
        Some((attempt, running.engine().clone(), running.address?))
    }

    /// Keeps the next placement away from the endpoint that failed.
    pub(crate) fn avoid_failed(&mut self, end: GrantEnd) {
        let Phase::Running(running) = &self.phase else {
            return;
        };
        let failed = match end {
            GrantEnd::PrefillFailed => &running.grant.prefill,
            GrantEnd::TransferFailed | GrantEnd::DecodeFailed => &running.grant.decode,
            GrantEnd::Finished | GrantEnd::Cancelled => return,
        };
        if !self.avoid.contains(failed) {
            self.avoid.push(failed.clone());
        }
    }

    /// What to tell the owner when the current grant ends.
    pub(crate) fn end_grant(
        &self,
        id: RequestId,
        end: GrantEnd,
    ) -> Option<(Name, ShardId, EndedGrant)> {
        let ended = EndedGrant {
            request: id,
            placement: self.placement,
            end,
            prefill_took: None,
            transfer_took: None,
            cached_tokens: None,
            generated_tokens: 0,
        };
        match &self.phase {
            Phase::Placing { .. } => None,
            Phase::Waiting { shard, owner, .. } => Some((owner.clone(), shard.clone(), ended)),
            Phase::Running(running) => {
                let ended = EndedGrant {
                    prefill_took: running.prefill_took,
                    transfer_took: running.transfer_took,
                    cached_tokens: running.cached_tokens,
                    generated_tokens: running.received_tokens,
                    ..ended
                };
                Some((running.owner.clone(), running.shard.clone(), ended))
            }
        }
    }

    /// What to tell the owner while the grant is in use.
    pub(crate) fn active_grant(&self, id: RequestId) -> Option<(Name, ShardId, ActiveGrant)> {
        let Phase::Running(running) = &self.phase else {
            return None;
        };
        let prefilling = running.stage == Stage::Prefill;
        let active = ActiveGrant {
            request: id,
            prefill: prefilling.then(|| running.grant.prefill.clone()),
            decode: running.grant.decode.clone(),
            prompt_tokens: self.asked.prompt_tokens,
            generated_tokens: self.delivered_tokens,
            max_output_tokens: self.max_output_tokens,
        };
        Some((running.owner.clone(), running.shard.clone(), active))
    }
}
