//! Open calls: each gets one answer, and counts towards the limits of its account until then.

use std::collections::BTreeMap;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::Counter;
use crate::Effect;
use crate::Problem;
use crate::ProblemKind;
use crate::context::Context;
use crate::limits::AccountUsage;

/// Calls without an answer yet.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenCalls {
    /// Account of each call, once the call is admitted.
    ///
    /// Invariant: contains a call from its arrival until it is answered or its caller disconnects.
    accounts: BTreeMap<CallId, Option<Name>>,
    usage: AccountUsage,
}

impl OpenCalls {
    pub(crate) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Adds a call before its admission, so that a refusal counts as its answer too.
    pub(crate) fn open(&mut self, call: CallId) {
        debug_assert!(!self.accounts.contains_key(&call));
        self.accounts.insert(call, None);
    }

    /// Charges a call to its account, or returns the problem to refuse it with.
    pub(crate) fn admit(
        &mut self,
        call: CallId,
        account_name: &Name,
        ctx: &mut Context<'_>,
    ) -> Result<(), Problem> {
        let Some(account) = ctx.site_config.accounts.get(account_name) else {
            return Err(Problem::new(ProblemKind::Unauthorized));
        };
        let admitted = self.usage.admit(account_name, account, ctx.now.monotonic);
        if let Err(after) = admitted {
            ctx.count(Counter::AccountsLimited);
            return Err(Problem::retry(ProblemKind::AccountLimited, after));
        }
        self.accounts.insert(call, Some(account_name.clone()));
        Ok(())
    }

    /// Ends a call. Returns false if it was not open.
    pub(crate) fn close(&mut self, call: CallId) -> bool {
        let Some(account_name) = self.accounts.remove(&call) else {
            return false;
        };
        if let Some(account_name) = account_name {
            self.usage.release(&account_name);
        }
        true
    }

    /// Closes the calls that an event's effects answer, and drops answers and deliveries for calls that are not open
    /// (already answered, or the caller disconnected).
    pub(crate) fn close_answered_calls(&mut self, ctx: &mut Context<'_>) {
        let before = ctx.effects.len();
        let mut effects = std::mem::take(ctx.effects);
        effects.retain(|effect| match effect {
            Effect::Answer { call, .. }
            | Effect::Finish { call, .. }
            | Effect::Abort { call, .. }
            | Effect::AnswerProblem { call, .. } => self.close(*call),
            Effect::Deliver { call, .. } => self.accounts.contains_key(call),
            _ => true,
        });
        let dropped = before - effects.len();
        *ctx.effects = effects;
        for _ in 0..dropped {
            ctx.count(Counter::StaleMessages);
        }
    }
}
