//! Counters of a node.

use serde::Deserialize;
use serde::Serialize;

macro_rules! counters {
	($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
		/// A counted event; the binary reports its count under [`Counter::name`].
		#[derive(
			Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
		)]
		#[serde(rename_all = "snake_case")]
		pub enum Counter {
			$($(#[$doc])* $variant,)*
		}

		impl Counter {
			/// All counters.
			pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

			/// Returns the name under which the counter is reported.
			pub fn name(self) -> &'static str {
				match self {
					$(Self::$variant => $name,)*
				}
			}
		}
	};
}

counters! {
    /// A completion was accepted for placement.
    CompletionsAsked = "completions.asked",
    /// A completion was answered completely.
    CompletionsFinished = "completions.finished",
    /// A completion was refused as overloaded.
    CompletionsRefused = "completions.refused",
    /// A completion ended with an error.
    CompletionsFailed = "completions.failed",
    /// A completion's caller disconnected.
    CompletionsCancelled = "completions.cancelled",
    /// A placement was granted by this owner.
    GrantsGiven = "grants.given",
    /// A placement was refused by this owner.
    GrantsRefused = "grants.refused",
    /// A grant expired because no VM reported it.
    GrantsLapsed = "grants.lapsed",
    /// An owner did not answer a placement in time.
    PlacementsOverdue = "placements.overdue",
    /// A prefill's result was discarded.
    PrefillsWasted = "prefills.wasted",
    /// A decode failed or a silent one was replaced before its answer was complete; the request is placed again unless its retries are used up.
    DecodesMoved = "decodes.moved",
    /// A decode was started from the prefill result of an earlier placement.
    TransfersRedirected = "transfers.redirected",
    /// A silent engine connection was replaced.
    ConnectionsReplaced = "connections.replaced",
    /// A cancellation of a request's attempt was sent to an engine; orphans are counted separately.
    CancelsSent = "cancels.sent",
    /// An engine held an attempt that no VM waits for.
    OrphansFound = "orphans.found",
    /// A message or event was dropped because it was late, a duplicate or unknown, or an effect because its call ended.
    StaleMessages = "messages.stale",
    /// A call to a plain service matched a route.
    CallsAsked = "calls.asked",
    /// A call was answered with its service's answer, new or recorded.
    CallsAnswered = "calls.answered",
    /// An idempotent call was retried.
    CallsRetried = "calls.retried",
    /// An idempotent call ended with an error.
    CallsFailed = "calls.failed",
    /// A claim was won.
    ClaimsWon = "claims.won",
    /// A claim was lost to another request.
    ClaimsLost = "claims.lost",
    /// A non-idempotent call was sent to its service.
    ClaimsDispatched = "claims.dispatched",
    /// A call was answered as not run.
    AnsweredNotRun = "answers.not_run",
    /// A call was answered as having an unknown outcome.
    AnsweredUnknown = "answers.unknown",
    /// The holder of a claim did not report its outcome in time.
    HoldersSilent = "claims.holders_silent",
    /// An outcome was not recorded because too many were waiting for the log.
    OutcomesDropped = "claims.outcomes_dropped",
    /// An append of claim records was sent to the log.
    Appends = "log.appends",
    /// An append of claim records failed or its answer was lost.
    AppendsFailed = "log.appends_failed",
    /// The log was restored from an older copy.
    LogRestored = "log.restored",
    /// A configuration came into force.
    ConfigAccepted = "config.accepted",
    /// A peer was asked for its configuration.
    ConfigPulled = "config.pulled",
    /// A snapshot of the configuration was sent to the log.
    ConfigSnapshots = "config.snapshots",
    /// A configuration from a peer was discarded because the log ends before it.
    ConfigDiscarded = "config.discarded",
    /// A publication was rejected.
    ConfigRejected = "config.rejected",
    /// A request exceeded its account's limits.
    AccountsLimited = "accounts.limited",
    /// A request was refused because the VM is draining or has no configuration.
    RefusedDraining = "drain.refused",
}
