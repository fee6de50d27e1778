//! Calls in progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::ClientAccount;
use crate::relay::CrashCause;
use crate::relay::CrashCauses;
use crate::relay::ExchangeId;
use crate::relay::KvCacheLocation;
use crate::relay::QuotaUse;
use crate::relay::RelayRequest;
use crate::relay::RelayRoute;
use crate::relay::SentAccount;
use crate::relay::TokenCounts;

/// Maximum number of failed exchanges of a call, refused reservations not counted.
const MAX_FAILED_EXCHANGES: usize = 6;

/// A caller's request from its arrival to its final answer.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) request: RelayRequest,
    pub(crate) route: RelayRoute,
    /// Account of the caller; none on routes without accounts, or if the configuration has none.
    pub(crate) account: Option<Arc<ClientAccount>>,
    /// What endpoints receive of the account.
    pub(crate) sent_account: SentAccount,
    /// Its use of the account's quota.
    pub(crate) quota_use: QuotaUse,
    /// Whether the limit of its service has let it through.
    pub(crate) has_load_token: bool,
    /// Service picked from the route's services.
    pub(crate) service: Name,
    /// Version of the configuration that applies to the request.
    pub(crate) config_version: u64,
    /// Arrival of the request's head.
    pub(crate) arrived_at: Duration,
    /// Deadline of the final answer.
    pub(crate) due_at: Duration,
    /// Number of sends that may have run the request, limited by the route's `max_attempts`; decremented when an
    /// endpoint is known not to have run it.
    pub(crate) attempts: u32,
    /// Prefills sent to prefill engines.
    pub(crate) prefills: u32,
    /// Whether a prefill engine has completed a prefill for this request.
    pub(crate) was_prefilled: bool,
    /// Estimated compute time of the last completed prefill, without queueing.
    pub(crate) prefill_work: Duration,
    /// Start of the current exchange's stream.
    pub(crate) stream_began_at: Option<Duration>,
    /// Number of all exchanges, including reservations and prefills.
    pub(crate) exchange_count: u32,
    /// Estimated time that the caller spent on earlier attempts of the same request.
    pub(crate) prior_attempt_time: Duration,
    /// Whether the request has been in the wait queue.
    pub(crate) has_waited: bool,
    /// Time after which engines drop an unused reservation.
    pub(crate) reservation_lifetime: Duration,
    /// Memory requested, reserved or in use at a decode engine.
    pub(crate) allocation: Option<MemoryAllocation>,
    /// Whether the request has been forwarded to another VM.
    pub(crate) was_forwarded: bool,
    /// Endpoints of failed exchanges, one entry per exchange; refused reservations do not count.
    pub(crate) failed_endpoints: Vec<Name>,
    /// How many of these exchanges failed because no connection opened or a reservation was not answered.
    pub(crate) unanswered_exchanges: usize,
    /// Whether the call has waited because no connection to its service's endpoints opened.
    pub(crate) has_waited_for_reach: bool,
    /// What may crash the endpoints that run the request.
    pub(crate) causes: CrashCauses,
    /// Number of endpoints that may have ended while they ran the request.
    pub(crate) endpoint_ends: u32,
    /// Whether a stream of this request lasted long enough to clear its causes.
    pub(crate) has_survived: bool,
    /// Whether the end of the current exchange's stream was not marked.
    pub(crate) is_end_unmarked: bool,
    /// Whether an endpoint of an ended exchange may have begun to run the request. Exchanges in progress say it themselves, see
    /// [`CurrentExchange::may_have_run`].
    pub(crate) may_have_run: bool,
    /// Version of the endpoint that brought the stream's first event, at this VM or at another; the stream goes on only at
    /// this version.
    pub(crate) stream_version: Option<Name>,
    /// Id of the last event forwarded to the caller.
    pub(crate) last_event_id: Option<u64>,
    /// Whether a stream to the caller has started.
    pub(crate) has_stream_started: bool,
    pub(crate) first_event_at: Option<Duration>,
    /// Prefill result that no decode engine is known to have fetched.
    pub(crate) prefill_result: Option<PrefillResult>,
    pub(crate) current: Option<CurrentExchange>,
    /// Exchange whose endpoint is silent, while the request is moved to another endpoint.
    pub(crate) standby: Option<Standby>,
}

/// Memory of a decode engine that is requested, reserved or in use for a request.
#[derive(Debug, Clone)]
pub(crate) struct MemoryAllocation {
    pub(crate) instance: Name,
    pub(crate) address: SocketAddr,
    /// Start of the engine's process, in Unix milliseconds, as it was listed.
    pub(crate) started_unix_ms: Option<u64>,
    pub(crate) tokens: u64,
    /// The engine's id of the reservation, from its confirmation until the request's stream starts there.
    pub(crate) reservation: Option<Name>,
}

impl MemoryAllocation {
    pub(crate) fn has_open_reservation(&self) -> bool {
        self.reservation.is_some()
    }
}

/// A completed prefill whose KV cache is kept for transfer.
#[derive(Debug, Clone)]
pub(crate) struct PrefillResult {
    pub(crate) instance: Name,
    /// Start of the engine's process, in Unix milliseconds, as it was listed: the next one may give out the same handles.
    pub(crate) started_unix_ms: Option<u64>,
    pub(crate) location: KvCacheLocation,
    /// Instant from which the engine may have dropped it.
    pub(crate) expires_at: Duration,
}

/// A call's exchange in progress.
#[derive(Debug, Clone)]
pub(crate) struct CurrentExchange {
    pub(crate) exchange: ExchangeId,
    pub(crate) instance: Name,
    /// Where the instance listened at the send.
    pub(crate) address: SocketAddr,
    /// Version of the instance's software.
    pub(crate) version: Name,
    /// Start of the instance's process, in Unix milliseconds, as it was listed at the send.
    pub(crate) started_unix_ms: Option<u64>,
    /// Start of the process that was known to run at the send, in Unix milliseconds; none if the instance's processes can't be told from
    /// one another.
    pub(crate) known_start_unix_ms: Option<u64>,
    pub(crate) stage: CallStage,
    /// Whether the request goes to the listed process only.
    pub(crate) is_proved: bool,
    /// Whether the endpoint has begun a stream.
    pub(crate) has_begun: bool,
    /// Whether the exchange was permitted to write its request; until then, nothing of it has left this VM.
    pub(crate) may_be_written: bool,
    pub(crate) sent_at: Duration,
    /// Instant of the endpoint's last activity, initially the send.
    pub(crate) last_activity_at: Duration,
    /// Expected completion of a prefill, or latest answer to a reservation; the send time for other stages.
    pub(crate) answer_due: Duration,
    /// Instant at which the answer ended with its connection, if it did; whether it is complete isn't known yet.
    pub(crate) ended_at: Option<Duration>,
}

impl CurrentExchange {
    /// Returns whether the endpoint may have begun to run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_be_written && self.stage.runs_request()
    }
}

/// An exchange whose endpoint is silent, with what belongs to it.
#[derive(Debug, Clone)]
pub(crate) struct Standby {
    pub(crate) exchange: CurrentExchange,
    /// Memory that the request uses at the endpoint.
    pub(crate) allocation: Option<MemoryAllocation>,
    /// Start of its stream.
    pub(crate) stream_began_at: Option<Duration>,
    /// Prefill result that the endpoint may still have to fetch.
    pub(crate) prefill_result: Option<PrefillResult>,
    /// Instant of the retry that the move spends.
    pub(crate) moved_at: Duration,
    /// Whether the request has been sent to another endpoint that may run it.
    pub(crate) is_sent_again: bool,
    /// Number of the call's failed endpoints before the move.
    pub(crate) failed_before: usize,
    /// Instant at which the exchange ends if the other endpoint has neither begun nor refused; its answer is held until then.
    pub(crate) held_until: Option<Duration>,
}

/// Purpose of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallStage {
    Plain,
    Reserve,
    Prefill,
    Decode {
        has_source: bool,
    },
    /// Another VM answers the request.
    Forward,
}

impl CallStage {
    /// Returns whether an endpoint that fails in this stage may have run the request.
    pub(crate) fn runs_request(self) -> bool {
        matches!(self, Self::Plain | Self::Decode { .. } | Self::Forward)
    }

    /// Returns the role of the endpoints that serve this stage.
    pub(crate) fn role(self) -> Role {
        match self {
            // Another VM has no role; it is never selected by one.
            Self::Plain | Self::Forward => Role::Plain,
            Self::Prefill => Role::Prefill,
            Self::Reserve | Self::Decode { .. } => Role::Decode,
        }
    }

    /// Returns the name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Forward => "forward",
            Self::Reserve => "reserve",
            Self::Prefill => "prefill",
            Self::Decode { has_source: true } => "decode",
            Self::Decode { has_source: false } => "prefill_and_decode",
        }
    }
}

/// Returns the shared parts of a request's prompt and the request itself.
pub(crate) fn causes_of(request: &RelayRequest) -> CrashCauses {
    let parts = request.shared_parts.iter().cloned().map(CrashCause::Part);
    let itself = CrashCause::Request(request.request_keys.own.clone());
    parts.chain([itself]).collect()
}

impl Call {
    pub(crate) fn token_counts(&self) -> TokenCounts {
        self.request.token_counts.unwrap_or_default()
    }

    /// Returns whether the caller has part of the answer, received from this VM or from another.
    pub(crate) fn continues_stream(&self) -> bool {
        self.has_stream_started || self.stream_version.is_some()
    }

    /// Records that an exchange is closed: its endpoint may run the request if anything of it may have been written.
    pub(crate) fn on_exchange_closed(&mut self, closed: &CurrentExchange) {
        self.may_have_run |= closed.may_have_run();
    }

    /// Returns whether an endpoint other than that of the current exchange may have begun to run the request.
    pub(crate) fn may_run_elsewhere(&self) -> bool {
        let standby = self.standby.as_ref();
        self.may_have_run || standby.is_some_and(|standby| standby.exchange.may_have_run())
    }

    /// Returns the role of the endpoints that answer the call.
    pub(crate) fn serving_role(&self) -> Role {
        if self.route.is_model_route {
            Role::Decode
        } else {
            Role::Plain
        }
    }

    /// Returns the version that endpoints of this role must have, if any.
    pub(crate) fn version_for(&self, role: Role) -> Option<&Name> {
        self.stream_version
            .as_ref()
            .filter(|_| role != Role::Prefill)
    }

    /// Returns the time until the call's deadline.
    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        self.due_at.saturating_sub(now)
    }

    /// Returns the reason why the request may not be sent again; none if it may.
    pub(crate) fn no_retry_reason(&self) -> Option<&'static str> {
        if self.may_have_run && !self.route.allows_repeated_runs() {
            return Some("may_have_run");
        }
        if self.failed_endpoints.len() >= MAX_FAILED_EXCHANGES || !self.may_retry() {
            return Some("attempts_spent");
        }
        // Without an event, the new run begins where the request does.
        let has_position = self.last_event_id.is_some() || self.first_event_at.is_none();
        let has_version = self.stream_version.is_some() || self.first_event_at.is_none();
        let can_resume = self.route.is_resumable && has_position && has_version;
        (self.has_stream_started && !can_resume).then_some("not_resumable")
    }

    /// Returns whether an endpoint that has failed for the request may get it again if there is no other. One that holds it in standby
    /// must not get it a second time.
    pub(crate) fn may_return_to_failed(&self) -> bool {
        self.may_have_run && self.route.allows_repeated_runs() && self.standby.is_none()
    }

    /// Returns whether attempts are left and running the request again is safe.
    pub(crate) fn may_retry(&self) -> bool {
        if self.attempts >= self.route.max_attempts {
            return false;
        }
        !self.may_have_run || self.route.allows_repeated_runs()
    }
}
