//! Counters of a node.

use serde::Deserialize;
use serde::Serialize;

macro_rules! counters {
	($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
		/// Something that is counted; the binary sends it on under [`Counter::name`].
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

			/// Name under which the counter is sent.
			pub fn name(self) -> &'static str {
				match self {
					$(Self::$variant => $name,)*
				}
			}
		}
	};
}

counters! {
    /// A completion was asked for.
    CompletionsAsked = "completions.asked",
    /// A completion was answered whole.
    CompletionsFinished = "completions.finished",
    /// A completion was refused with a time to come back.
    CompletionsRefused = "completions.refused",
    /// A completion ended with an error.
    CompletionsFailed = "completions.failed",
    /// A completion's caller went away.
    CompletionsCancelled = "completions.cancelled",
    /// A placement was granted by this owner.
    GrantsGiven = "grants.given",
    /// A placement was refused by this owner.
    GrantsRefused = "grants.refused",
    /// A grant lapsed because nobody reported it.
    GrantsLapsed = "grants.lapsed",
    /// An owner did not answer a placement in time.
    PlacementsOverdue = "placements.overdue",
    /// A prefill was thrown away.
    PrefillsWasted = "prefills.wasted",
    /// A decode was moved to another engine after a failure.
    DecodesMoved = "decodes.moved",
    /// A transfer was sent to another reserved slot.
    TransfersRedirected = "transfers.redirected",
    /// A silent engine connection was replaced.
    ConnectionsReplaced = "connections.replaced",
    /// An engine was told to give up an attempt.
    CancelsSent = "cancels.sent",
    /// An engine held an attempt of which no VM knows.
    OrphansFound = "orphans.found",
    /// A late, doubled or unknown message was dropped.
    StaleMessages = "messages.stale",
    /// A call to a plain service was asked for.
    CallsAsked = "calls.asked",
    /// A call was answered by its service.
    CallsAnswered = "calls.answered",
    /// An idempotent call was tried again.
    CallsRetried = "calls.retried",
    /// A call ended with an error.
    CallsFailed = "calls.failed",
    /// A claim was won.
    ClaimsWon = "claims.won",
    /// A claim was lost to another request.
    ClaimsLost = "claims.lost",
    /// A non-idempotent call was sent to its service.
    ClaimsDispatched = "claims.dispatched",
    /// A call was answered that it was not run.
    AnsweredNotRun = "answers.not_run",
    /// A call was answered that its outcome is unknown.
    AnsweredUnknown = "answers.unknown",
    /// The holder of a claim did not tell its outcome in time.
    HoldersSilent = "claims.holders_silent",
    /// An outcome was not recorded because too many wait for the log.
    OutcomesDropped = "claims.outcomes_dropped",
    /// An append was sent to the log.
    Appends = "log.appends",
    /// An append failed or its answer was lost.
    AppendsFailed = "log.appends_failed",
    /// A configuration came into force.
    ConfigAccepted = "config.accepted",
    /// A peer was asked for its configuration.
    ConfigPulled = "config.pulled",
    /// A snapshot of the configuration was offered to the log.
    ConfigSnapshots = "config.snapshots",
    /// A configuration from a peer was dropped because the log does not reach it.
    ConfigDiscarded = "config.discarded",
    /// A publication was rejected.
    ConfigRejected = "config.rejected",
    /// A request exceeded its account's limits.
    AccountsLimited = "accounts.limited",
    /// A request was refused because the VM drains.
    RefusedDraining = "drain.refused",
}
