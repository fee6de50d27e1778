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
use crate::streams::standby::Standby;

/// A model request in progress.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    pub(crate) call: CallId,
    completion: CompletionRequest,
    pub(crate) max_output_tokens: u32,
    first_token_deadline: Duration,
    /// Tokens that were sent to the caller.
    ///
    /// Invariant: at most `max_output_tokens`; only grows.
    pub(crate) delivered_tokens: u32,
    /// Number of the placement in use; answers to others are stale.
    pub(crate) placement: u32,
    /// Number of the latest placement.
    ///
    /// Invariant: at least `placement`; only grows, so that no attempt's id is used twice.
    last_placement: u32,
    /// Owners that did not reply since the last grant.
    pub(crate) unresponsive_owners: usize,
    pub(crate) failures: u32,
    /// Moves from a silent engine that ended without another engine.
    pub(crate) failed_moves: u32,
    /// Whether a failed decode engine may have generated tokens, so that the request counts as run.
    pub(crate) may_have_run: bool,
    /// Endpoints that failed this request.
    pub(crate) avoid: Vec<Name>,
    pub(crate) phase: Phase,
    /// Decode of a silent engine, kept while the request is moved to another engine.
    ///
    /// Invariant: `None` while another decode is in progress.
    pub(crate) standby: Option<Standby>,
    /// Prefill result that no decode engine is known to have fetched.
    pub(crate) prefill_result: Option<PrefillResult>,
}

/// A prefill result that its engine may still keep.
#[derive(Debug, Clone)]
pub(crate) struct PrefillResult {
    /// Prefill attempt that computed the result.
    pub(crate) attempt: AttemptId,
    /// Prefill engine that keeps the result.
    pub(crate) endpoint: Name,
    /// Address of that engine.
    pub(crate) address: SocketAddr,
    /// Transfer parameters, as JSON text.
    pub(crate) transfer_params: Name,
    /// Instant at which the engine drops the result unless it is fetched.
    pub(crate) expires_at: Duration,
}

/// Phase of a request.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// A placement was requested from an owner.
    Placing { shard: ShardId },
    /// A grant was received; its start instant has not been reached.
    Granted {
        shard: ShardId,
        owner: Name,
        grant: Grant,
    },
    /// An engine works on the request.
    Running(Running),
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) shard: ShardId,
    pub(crate) owner: Name,
    pub(crate) grant: Grant,
    stage: Stage,
    /// Instant at which the current stage was sent.
    sent_at: Duration,
    /// Address of the engine of the current stage, once the command was sent.
    pub(crate) address: Option<SocketAddr>,
    /// Start of the overdue timeout: when the stage was sent, or the engine last responded or was last checked.
    pub(crate) timeout_from: Duration,
    /// Check that was made since the engine's last response.
    pub(crate) liveness_check: LivenessCheck,
    prefill_took: Option<Duration>,
    /// Time from sending the decode to its first token.
    transfer_took: Option<Duration>,
    cached_tokens: Option<u32>,
    /// Tokens received from the current decode attempt.
    received_tokens: u32,
}

/// Check of a silent engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LivenessCheck {
    /// No check since the engine's last response.
    NotChecked,
    /// The engine was asked whether it holds the attempt.
    Asked,
    /// A new connection was opened.
    Reconnected,
}

impl Phase {
    /// Returns the stage in progress at an engine, if any.
    pub(crate) fn stage(&self) -> Option<Stage> {
        match self {
            Self::Running(running) => Some(running.stage),
            Self::Placing { .. } | Self::Granted { .. } => None,
        }
    }
}

impl Running {
    /// Returns the engine of the current stage.
    pub(crate) fn engine(&self) -> &Name {
        match self.stage {
            Stage::Prefill => &self.grant.prefill,
            Stage::Decode => &self.grant.decode,
        }
    }

    /// Returns the number of tokens received from the current decode attempt.
    pub(crate) fn received_tokens(&self) -> u32 {
        self.received_tokens
    }
}

impl Stream {
    pub(crate) fn new(
        completion: CompletionRequest,
        max_output_tokens: u32,
        first_token_deadline: Duration,
    ) -> Self {
        let shard = ShardId {
            model: completion.model.clone(),
            index: 0,
        };
        Self {
            call: completion.call,
            completion,
            max_output_tokens,
            first_token_deadline,
            delivered_tokens: 0,
            placement: 0,
            last_placement: 0,
            unresponsive_owners: 0,
            failures: 0,
            failed_moves: 0,
            may_have_run: false,
            avoid: Vec::new(),
            phase: Phase::Placing { shard },
            standby: None,
            prefill_result: None,
        }
    }

    /// Returns the requested model.
    pub(crate) fn model(&self) -> &Name {
        &self.completion.model
    }

    /// Returns the length of the prompt and the delivered answer, in tokens.
    pub(crate) fn context_tokens(&self) -> u32 {
        self.completion.prompt_tokens + self.delivered_tokens
    }

    /// Returns the shard for the next placement; it may change after each failure or failed move.
    pub(crate) fn shard(&self, id: RequestId, site: &SiteConfig) -> ShardId {
        let count = u64::from(shard_count(site, &self.completion.model));
        let index = stable_hash(&(id, self.failures + self.failed_moves)) % count;
        let index = u16::try_from(index).unwrap_or_default();
        ShardId {
            model: self.completion.model.clone(),
            index,
        }
    }

    /// Begins a placement with a new number.
    pub(crate) fn begin_placing(&mut self, shard: ShardId) {
        self.last_placement += 1;
        self.placement = self.last_placement;
        self.phase = Phase::Placing { shard };
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
            account: self.completion.account.clone(),
            prompt_tokens: self.context_tokens(),
            max_output_tokens: self.max_output_tokens - self.delivered_tokens,
            piece_hashes: self.completion.piece_hashes.clone(),
            first_token_budget: self.first_token_deadline.saturating_sub(now),
            resumed: self.delivered_tokens > 0,
            prefilled_on: self
                .unexpired_prefill_result(now)
                .map(|result| result.endpoint.clone()),
            avoid: self.avoid.clone(),
            traceparent: self.completion.traceparent.clone(),
        }
    }

    /// Returns the prefill result if its engine should still keep it.
    pub(crate) fn unexpired_prefill_result(&self, now: Duration) -> Option<&PrefillResult> {
        let result = self.prefill_result.as_ref();
        result.filter(|result| result.expires_at > now)
    }

    /// Returns the owner's estimate of the time from sending the decode to its first token.
    ///
    /// It includes the queueing for the link and the slot.
    pub(crate) fn expected_first_token_delay(&self) -> Option<Duration> {
        let Phase::Running(running) = &self.phase else {
            return None;
        };
        let prefill_took = running.prefill_took.unwrap_or_default();
        Some(running.grant.first_token_after.saturating_sub(prefill_took))
    }

    /// Returns the state at the engine, if an engine works on the request.
    pub(crate) fn running(&mut self) -> Option<&mut Running> {
        match &mut self.phase {
            Phase::Running(running) => Some(running),
            Phase::Placing { .. } | Phase::Granted { .. } => None,
        }
    }

    /// Moves from granted to running and returns the first stage; returns `None` in any other phase.
    ///
    /// The first stage is the decode if there is an unexpired prefill result, else the prefill.
    pub(crate) fn begin(&mut self, now: Duration) -> Option<Stage> {
        let Phase::Granted {
            shard,
            owner,
            grant,
        } = &self.phase
        else {
            return None;
        };
        let stage = match self.unexpired_prefill_result(now) {
            Some(_) => Stage::Decode,
            None => Stage::Prefill,
        };
        self.phase = Phase::Running(Running {
            shard: shard.clone(),
            owner: owner.clone(),
            grant: grant.clone(),
            stage,
            sent_at: now,
            address: None,
            timeout_from: now,
            liveness_check: LivenessCheck::NotChecked,
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
        params_and_lifetime: (Name, Duration),
        cached_tokens: Option<u32>,
        now: Duration,
    ) {
        let Phase::Running(running) = &mut self.phase else {
            return;
        };
        let (transfer_params, lifetime) = params_and_lifetime;
        self.prefill_result = running.address.map(|address| PrefillResult {
            attempt,
            endpoint: running.grant.prefill.clone(),
            address,
            transfer_params,
            expires_at: now + lifetime,
        });
        running.stage = Stage::Decode;
        running.prefill_took = Some(now - running.sent_at);
        running.cached_tokens = cached_tokens;
        running.sent_at = now;
        running.address = None;
        running.timeout_from = now;
        running.liveness_check = LivenessCheck::NotChecked;
    }

    /// Records the received tokens and returns those that are new.
    ///
    /// Returns no tokens if there is a gap before `first_index`.
    pub(crate) fn accept_tokens(
        &mut self,
        first_index: u32,
        mut texts: Vec<Name>,
        now: Duration,
    ) -> Vec<Name> {
        let Phase::Running(running) = &mut self.phase else {
            return Vec::new();
        };
        let Some(already_received) = running.received_tokens.checked_sub(first_index) else {
            return Vec::new();
        };
        texts.drain(..texts.len().min(already_received as usize));
        let left = self.max_output_tokens - self.delivered_tokens;
        texts.truncate(left as usize);
        let count = u32::try_from(texts.len()).unwrap_or_default();
        if count > 0 && running.received_tokens == 0 {
            running.transfer_took = Some(now - running.sent_at);
        }
        if count > 0 {
            running.timeout_from = now;
            running.liveness_check = LivenessCheck::NotChecked;
            // The KV cache has arrived, so the prefill engine no longer holds the result.
            self.prefill_result = None;
        }
        running.received_tokens += count;
        self.delivered_tokens += count;
        debug_assert!(self.delivered_tokens <= self.max_output_tokens);
        texts
    }

    /// Returns the number of tokens received from the current decode attempt; 0 if there is none.
    pub(crate) fn received_tokens(&self) -> u32 {
        match &self.phase {
            Phase::Running(running) => running.received_tokens,
            Phase::Placing { .. } | Phase::Granted { .. } => 0,
        }
    }

    /// Returns whether an attempt is the one in progress.
    pub(crate) fn is_current(&self, attempt: AttemptId) -> bool {
        self.placement == attempt.placement && self.phase.stage() == Some(attempt.stage)
    }

    /// Returns the attempt that an engine may hold for the request, with the engine and its address.
    pub(crate) fn engine_attempt(&self, id: RequestId) -> Option<(AttemptId, Name, SocketAddr)> {
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

    /// Excludes the endpoint that failed from the next placement.
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

    /// Returns the end report of the current grant, with its owner and shard.
    pub(crate) fn ended_grant(
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
            Phase::Granted { shard, owner, .. } => Some((owner.clone(), shard.clone(), ended)),
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

    /// Returns the report of a grant in use, with its owner and shard.
    pub(crate) fn active_grant(&self, id: RequestId) -> Option<(Name, ShardId, ActiveGrant)> {
        let Phase::Running(running) = &self.phase else {
            return None;
        };
        let prefilling = running.stage == Stage::Prefill;
        let active = ActiveGrant {
            request: id,
            prefill: prefilling.then(|| running.grant.prefill.clone()),
            decode: running.grant.decode.clone(),
            prompt_tokens: self.completion.prompt_tokens,
            generated_tokens: self.delivered_tokens,
            max_output_tokens: self.max_output_tokens,
        };
        Some((running.owner.clone(), running.shard.clone(), active))
    }
}
