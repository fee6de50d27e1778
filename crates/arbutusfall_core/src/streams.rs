//! Model requests for which this VM is the entry, from placement to the last token.
//!
//! A stream is one model request and its answer; the counters call it a completion.

mod abandoned_placements;
mod cancels;
mod grants;
mod progress;
mod silence;
mod standby;
mod stream;

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceReply;
use arbutusfall_wire::RequestId;

use crate::AttemptId;
use crate::CallId;
use crate::CompletionRequest;
use crate::Counter;
use crate::Effect;
use crate::Problem;
use crate::ProblemKind;
use crate::context::Context;
use crate::rendezvous::rank_owners;
use crate::timers::Timer;

use abandoned_placements::AbandonedPlacements;
use cancels::Cancels;
use stream::Phase;
use stream::Stream;

/// Maximum number of owners that are asked in succession without a reply.
const MAX_UNRESPONSIVE_OWNERS: usize = 3;

/// Retry-after time if no owner answers.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-after time after a request failed.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Model requests in progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct Streams {
    streams: BTreeMap<RequestId, Stream>,
    by_call: BTreeMap<CallId, RequestId>,
    cancels: Cancels,
    abandoned_placements: AbandonedPlacements,
}

impl Streams {
    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether the process may exit: no stream is in progress, and engines had time to confirm cancellations.
    pub(crate) fn is_idle(&self, now: Duration) -> bool {
        self.streams.is_empty() && self.cancels.allows_exit(now)
    }

    /// Returns whether this process still uses an attempt or its prefill result, or is cancelling it.
    pub(crate) fn has_attempt(&self, attempt: AttemptId) -> bool {
        let stream = self.streams.get(&attempt.request);
        let result = stream.and_then(|stream| stream.prefill_result.as_ref());
        stream.is_some_and(|stream| stream.is_current(attempt) || stream.is_standby(attempt))
            || result.is_some_and(|result| result.attempt == attempt)
            || self.cancels.contains(attempt)
    }

    /// Starts a request that its account's limits admitted.
    pub(crate) fn start(
        &mut self,
        id: RequestId,
        completion: CompletionRequest,
        ctx: &mut Context<'_>,
    ) {
        let Some(model) = ctx.site_config.models.get(&completion.model) else {
            let problem = Problem::new(ProblemKind::NoModel);
            ctx.push(Effect::AnswerProblem {
                call: completion.call,
                problem,
            });
            return;
        };
        if completion.prompt_tokens > model.max_prompt_tokens {
            let problem = Problem::new(ProblemKind::PromptTooLong);
            ctx.push(Effect::AnswerProblem {
                call: completion.call,
                problem,
            });
            return;
        }
        ctx.count(Counter::CompletionsAsked);
        let now = ctx.now.monotonic;
        let max_output_tokens = completion
            .max_output_tokens
            .clamp(1, model.max_output_tokens);
        let first_token_deadline = now + model.first_token_target();
        self.by_call.insert(completion.call, id);
        self.streams.insert(
            id,
            Stream::new(completion, max_output_tokens, first_token_deadline),
        );
        let timeout = Duration::from_millis(ctx.site_config.limits.answer_timeout_ms);
        ctx.set_timer(timeout, Timer::AnswerOverdue { request: id });
        self.request_placement(id, ctx);
    }

    /// Sends a placement request to the shard's owner.
    fn request_placement(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let shard = stream.shard(id, ctx.site_config);
        let model = ctx.site_config.models.get(&shard.model);
        let decides_locally = model.is_some_and(|model| !model.policy.kind.has_owner());
        let owners = if decides_locally {
            vec![ctx.identity.vm.clone()]
        } else {
            rank_owners(&shard, &ctx.members.owner_candidates(&ctx.identity.site))
        };
        let Some(owner) = owners.get(stream.unresponsive_owners).cloned() else {
            self.refuse(id, NO_OWNER_RETRY_AFTER, ctx);
            return;
        };
        stream.begin_placing(shard.clone());
        let message = stream.place_request(id, shard, ctx.now.monotonic);
        let placement = stream.placement;
        let timeout = Duration::from_millis(ctx.site_config.timing.place_timeout_ms);
        ctx.set_timer(
            timeout,
            Timer::PlaceOverdue {
                request: id,
                placement,
            },
        );
        ctx.send(&owner, PeerMessage::Place(message));
    }

    /// Handles an owner's timeout: asks the next owner in rendezvous order.
    pub(crate) fn on_place_overdue(
        &mut self,
        id: RequestId,
        placement: u32,
        ctx: &mut Context<'_>,
    ) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let Phase::Placing { shard } = &stream.phase else {
            return;
        };
        if stream.placement != placement {
            return;
        }
        ctx.count(Counter::PlacementsOverdue);
        self.abandoned_placements
            .add(id, placement, shard.clone(), ctx);
        stream.unresponsive_owners += 1;
        if stream.unresponsive_owners >= MAX_UNRESPONSIVE_OWNERS {
            self.refuse(id, NO_OWNER_RETRY_AFTER, ctx);
            return;
        }
        self.request_placement(id, ctx);
    }

    /// Handles an owner's decision; a late grant for an abandoned placement is released.
    pub(crate) fn on_place_reply(&mut self, from: &Name, reply: PlaceReply, ctx: &mut Context<'_>) {
        let id = reply.request;
        let stream = self.streams.get_mut(&id);
        let current = stream.filter(|stream| {
            stream.placement == reply.placement && matches!(stream.phase, Phase::Placing { .. })
        });
        let Some(stream) = current else {
            ctx.count(Counter::StaleMessages);
            if matches!(reply.decision, PlaceDecision::Granted(_)) {
                self.abandoned_placements
                    .release_late_grant(from, &reply, ctx);
            }
            return;
        };
        let Phase::Placing { shard } = &stream.phase else {
            return;
        };
        match reply.decision {
            PlaceDecision::Refused { retry_after } => self.on_refused(id, retry_after, ctx),
            PlaceDecision::Granted(grant) => {
                let start_after = grant.start_after;
                let placement = reply.placement;
                stream.unresponsive_owners = 0;
                stream.phase = Phase::Granted {
                    shard: shard.clone(),
                    owner: from.clone(),
                    grant,
                };
                if start_after.is_zero() {
                    self.on_start_due(id, placement, ctx);
                } else {
                    let timer = Timer::StartGranted {
                        request: id,
                        placement,
                    };
                    ctx.set_timer(start_after, timer);
                }
            }
        }
    }

    /// Handles an owner's refusal.
    ///
    /// If tokens were delivered and endpoints are being avoided, requests a placement that may use all endpoints.
    /// Otherwise the request is refused or fails.
    fn on_refused(&mut self, id: RequestId, retry_after: Duration, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if stream.delivered_tokens > 0 && !stream.avoid.is_empty() {
            stream.avoid.clear();
            self.request_placement(id, ctx);
            return;
        }
        self.refuse(id, retry_after, ctx);
    }

    /// Handles a caller's disconnect: cancels the request and releases its grant.
    pub(crate) fn on_caller_gone(&mut self, call: CallId, ctx: &mut Context<'_>) {
        let Some(id) = self.by_call.get(&call).copied() else {
            return;
        };
        ctx.count(Counter::CompletionsCancelled);
        self.cancel_request(id, ctx);
        self.remove(id);
    }

    /// Handles the answer timeout: fails the request, cancels its work and releases its grant.
    pub(crate) fn on_answer_overdue(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        if !self.streams.contains_key(&id) {
            return;
        }
        self.cancel_request(id, ctx);
        self.fail(id, ProblemKind::AnswerTimeout, ctx);
    }

    /// Cancels a request's engine work and releases its grant, in any phase.
    fn cancel_request(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        self.abandon_placement(id, ctx);
        self.cancel_engine_work(id, ctx);
        self.report_grant_end(id, GrantEnd::Cancelled, ctx);
    }

    /// Abandons the placement that was requested from an owner, if any.
    fn abandon_placement(&mut self, id: RequestId, ctx: &Context<'_>) {
        if let Some(stream) = self.streams.get(&id)
            && let Phase::Placing { shard } = &stream.phase
        {
            let shard = shard.clone();
            self.abandoned_placements
                .add(id, stream.placement, shard, ctx);
        }
    }

    /// Refuses a request as overloaded, with a retry-after time.
    ///
    /// A request that may have run fails instead, and one with a standby decode continues with that.
    fn refuse(&mut self, id: RequestId, retry_after: Duration, ctx: &mut Context<'_>) {
        if self.resume_standby(id, ctx) {
            return;
        }
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        if stream.delivered_tokens > 0 || stream.may_have_run {
            self.fail(id, ProblemKind::UpstreamFailed, ctx);
            return;
        }
        ctx.count(Counter::CompletionsRefused);
        let problem = Problem::retry(ProblemKind::Overloaded, retry_after);
        ctx.push(Effect::AnswerProblem {
            call: stream.call,
            problem,
        });
        self.cancel_engine_work(id, ctx);
        self.remove(id);
    }

    /// Ends a request with an error; an answer that has begun is aborted.
    fn fail(&mut self, id: RequestId, kind: ProblemKind, ctx: &mut Context<'_>) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        ctx.count(Counter::CompletionsFailed);
        let call = stream.call;
        let problem = Problem::retry(kind, FAILED_RETRY_AFTER);
        if stream.delivered_tokens > 0 {
            ctx.push(Effect::Abort { call, problem });
        } else {
            ctx.push(Effect::AnswerProblem { call, problem });
        }
        self.cancel_prefill_result(id, ctx);
        self.remove(id);
    }

    /// Cancels whatever engines may hold for a request.
    fn cancel_engine_work(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        self.cancel_attempt(id, ctx);
        self.cancel_standby(id, ctx);
        self.cancel_prefill_result(id, ctx);
    }

    /// Cancels the current attempt of a request, if an engine may hold one.
    fn cancel_attempt(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        let stream = self.streams.get(&id);
        if let Some((attempt, endpoint, address)) =
            stream.and_then(|stream| stream.engine_attempt(id))
        {
            self.cancels.start(attempt, endpoint, address, ctx);
        }
    }

    /// Cancels, at its prefill engine, a result that no decode engine is known to have fetched.
    fn cancel_prefill_result(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        let stream = self.streams.get_mut(&id);
        let Some(result) = stream.and_then(|stream| stream.prefill_result.take()) else {
            return;
        };
        ctx.count(Counter::PrefillsWasted);
        self.cancels
            .start(result.attempt, result.endpoint, result.address, ctx);
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(stream) = self.streams.remove(&id) {
            self.by_call.remove(&stream.call);
        }
    }
}
