//! Standby decodes: the decode of a silent engine is kept while its request is moved to another engine.
//!
//! The silent engine may go on at any moment, and the placement or the prefill of the move may fail. So the decode is
//! cancelled only when another decode is sent. Until then a new token of it ends the move, and a move that fails changes
//! nothing for the caller.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::Name;
use arbutusfall_wire::RequestId;

use crate::AttemptId;
use crate::Counter;
use crate::EngineFailure;
use crate::Stage;
use crate::context::Context;
use crate::streams::Streams;
use crate::streams::progress::MAX_FAILURES;
use crate::streams::stream::LivenessCheck;
use crate::streams::stream::Phase;
use crate::streams::stream::Running;
use crate::streams::stream::Stream;

/// The decode of a silent engine, with the state of its stream before the move.
#[derive(Debug, Clone)]
pub(crate) struct Standby {
    running: Running,
    placement: u32,
    failures_before: u32,
    avoid_before: Vec<Name>,
}

impl Standby {
    fn attempt(&self, id: RequestId) -> AttemptId {
        AttemptId {
            request: id,
            placement: self.placement,
            stage: Stage::Decode,
        }
    }
}

impl Stream {
    /// Returns whether an attempt is the standby decode.
    pub(super) fn is_standby(&self, attempt: AttemptId) -> bool {
        let standby = self.standby.as_ref();
        standby.is_some_and(|standby| standby.attempt(attempt.request) == attempt)
    }

    /// Puts the current decode in standby. The end of its grant counts as a failure unless the move fails.
    fn enter_standby(&mut self, end: GrantEnd) {
        let Phase::Running(running) = &self.phase else {
            return;
        };
        debug_assert!(self.standby.is_none());
        self.standby = Some(Standby {
            running: running.clone(),
            placement: self.placement,
            failures_before: self.failures,
            avoid_before: self.avoid.clone(),
        });
        self.may_have_run = true;
        self.failures += 1;
        self.avoid_failed(end);
    }

    /// Makes the standby decode the current attempt again and returns it; its engine gets the full time to respond.
    fn leave_standby(&mut self, id: RequestId, now: Duration) -> Option<AttemptId> {
        let standby = self.standby.take()?;
        let attempt = standby.attempt(id);
        self.phase = Phase::Running(standby.running);
        self.placement = standby.placement;
        self.failures = standby.failures_before;
        self.avoid = standby.avoid_before;
        self.unresponsive_owners = 0;
        self.failed_moves += 1;
        self.restart_overdue_timeout(now);
        Some(attempt)
    }

    /// Restarts the timeout of the current engine, which is checked again before the request is moved.
    fn restart_overdue_timeout(&mut self, now: Duration) {
        if let Some(running) = self.running() {
            running.timeout_from = now;
            running.liveness_check = LivenessCheck::NotChecked;
        }
    }

    /// Removes the standby decode and returns its attempt, engine and address.
    fn take_standby(&mut self, id: RequestId) -> Option<(AttemptId, Name, SocketAddr)> {
        let standby = self.standby.take()?;
        let endpoint = standby.running.engine().clone();
        Some((standby.attempt(id), endpoint, standby.running.address?))
    }
}

impl Streams {
    /// Puts the decode of a silent engine in standby and requests another placement.
    ///
    /// A request without retries left waits for its engine.
    pub(super) fn move_from_silent(&mut self, attempt: AttemptId, ctx: &mut Context<'_>) {
        let id = attempt.request;
        let Some(stream) = self.current_stream(attempt) else {
            return;
        };
        let end = match stream.received_tokens() {
            0 => GrantEnd::TransferFailed,
            _ => GrantEnd::DecodeFailed,
        };
        if stream.delivered_tokens >= stream.max_output_tokens {
            self.fail_over(attempt, end, true, ctx);
            return;
        }
        if stream.failures >= MAX_FAILURES {
            stream.restart_overdue_timeout(ctx.now.monotonic);
            self.set_overdue_timer(attempt, ctx);
            return;
        }
        stream.enter_standby(end);
        self.report_grant_end(id, end, ctx);
        self.request_placement(id, ctx);
    }

    /// Returns whether an attempt is the standby decode of its request.
    pub(super) fn is_standby(&self, attempt: AttemptId) -> bool {
        let stream = self.streams.get(&attempt.request);
        stream.is_some_and(|stream| stream.is_standby(attempt))
    }

    /// Returns the number of tokens received from a standby decode, or `None` if the attempt is none.
    fn standby_tokens(&self, attempt: AttemptId) -> Option<u32> {
        let stream = self.streams.get(&attempt.request)?;
        let standby = stream.standby.as_ref()?;
        let received_tokens = standby.running.received_tokens();
        stream.is_standby(attempt).then_some(received_tokens)
    }

    /// Ends the move of a request if these tokens of its standby decode are new and have no gap before them.
    pub(super) fn end_move_on_tokens(
        &mut self,
        attempt: AttemptId,
        first_index: u32,
        texts: &[Name],
        ctx: &mut Context<'_>,
    ) {
        let Some(received) = self.standby_tokens(attempt) else {
            return;
        };
        let count = u32::try_from(texts.len()).unwrap_or_default();
        if first_index <= received && first_index.saturating_add(count) > received {
            self.end_move(attempt.request, ctx);
        }
    }

    /// Ends the move of a request whose standby decode is done, if all of its tokens were received.
    pub(super) fn end_move_on_done(
        &mut self,
        attempt: AttemptId,
        generated_tokens: u32,
        ctx: &mut Context<'_>,
    ) {
        if self.standby_tokens(attempt) == Some(generated_tokens) {
            self.end_move(attempt.request, ctx);
        }
    }

    /// Ends the move of a request whose silent engine has gone on: releases what the move uses.
    fn end_move(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        self.abandon_placement(id, ctx);
        self.cancel_attempt(id, ctx);
        self.report_grant_end(id, GrantEnd::Cancelled, ctx);
        self.resume_standby(id, ctx);
    }

    /// Continues with the standby decode after a move; returns false if there is none.
    pub(super) fn resume_standby(&mut self, id: RequestId, ctx: &mut Context<'_>) -> bool {
        let stream = self.streams.get_mut(&id);
        let resumed = stream.and_then(|stream| stream.leave_standby(id, ctx.now.monotonic));
        let Some(attempt) = resumed else {
            return false;
        };
        self.set_overdue_timer(attempt, ctx);
        self.report_active_grant(id, ctx);
        true
    }

    /// Handles the failure of a standby decode: the move goes on without it.
    pub(super) fn on_standby_failed(
        &mut self,
        attempt: AttemptId,
        failure: EngineFailure,
        ctx: &mut Context<'_>,
    ) {
        self.discard_used_result(attempt.request, failure, ctx);
        if failure != EngineFailure::Unreachable {
            self.replace_standby(attempt.request, ctx);
            return;
        }
        ctx.count(Counter::DecodesMoved);
        if let Some(stream) = self.streams.get_mut(&attempt.request) {
            stream.standby = None;
        }
    }

    /// Cancels the standby decode of a request, if it has one, since another engine takes the request over.
    pub(super) fn replace_standby(&mut self, id: RequestId, ctx: &mut Context<'_>) {
        if self.cancel_standby(id, ctx) {
            ctx.count(Counter::DecodesMoved);
        }
    }

    /// Cancels the standby decode of a request; returns false if there is none.
    pub(super) fn cancel_standby(&mut self, id: RequestId, ctx: &mut Context<'_>) -> bool {
        let stream = self.streams.get_mut(&id);
        let Some((attempt, endpoint, address)) = stream.and_then(|stream| stream.take_standby(id))
        else {
            return false;
        };
        self.cancels.start(attempt, endpoint, address, ctx);
        true
    }
}
