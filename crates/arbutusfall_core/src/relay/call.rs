//! One relayed request in progress.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::ExchangeId;
use crate::relay::Prompt;
use crate::relay::RelayRequest;
use crate::relay::RelayRoute;
use crate::relay::StoredPrefill;

/// Exchanges of one request in all that may fail or be refused.
const MAX_TRIED: usize = 6;

/// A request from its arrival to its final answer.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) request: RelayRequest,
    pub(crate) route: RelayRoute,
    /// Service that was picked among the route's.
    pub(crate) service: Name,
    /// Version of the configuration under which the request is handled.
    pub(crate) config_version: u64,
    pub(crate) arrived_at: Duration,
    /// Instant of the final answer at the latest.
    pub(crate) due_at: Duration,
    /// Exchanges that an endpoint may have run.
    pub(crate) attempts: u32,
    /// Prefills that were ordered.
    pub(crate) prefills: u32,
    /// Whether an engine prefilled the prompt for this request.
    pub(crate) was_prefilled: bool,
    /// Time that an engine needs for the prefill that was done last.
    pub(crate) prefill_work: Duration,
    /// Instant at which the stream of the current exchange began.
    pub(crate) stream_began_at: Option<Duration>,
    /// Exchanges in all, reservations and prefills among them.
    pub(crate) exchanges: u32,
    /// Time that the caller already spent on earlier tries of the request, as far as this can be told.
    pub(crate) spent_before: Duration,
    /// Whether it waited for room.
    pub(crate) has_waited: bool,
    /// Time for which engines keep a reservation that is not used.
    pub(crate) reservation_lifetime: Duration,
    /// Memory that is set aside at a decode engine.
    pub(crate) booking: Option<Booking>,
    /// Endpoints that failed or refused the request.
    pub(crate) tried: Vec<Name>,
    /// Whether an endpoint may have begun to run the request.
    pub(crate) may_have_run: bool,
    /// Last event that was passed on.
    pub(crate) last_event_id: Option<u64>,
    /// Whether the caller was sent the head of a stream.
    pub(crate) is_forwarded: bool,
    pub(crate) first_event_at: Option<Duration>,
    /// Prefill's result that no engine is known to have fetched.
    pub(crate) prefilled: Option<Prefilled>,
    pub(crate) current: Option<Current>,
}

/// Memory of a decode engine that is set aside for a request.
#[derive(Debug, Clone)]
pub(crate) struct Booking {
    pub(crate) instance: Name,
    pub(crate) address: SocketAddr,
    pub(crate) tokens: u64,
    /// The engine's name for the reservation, once it agreed and as long as the request has not begun there.
    pub(crate) reservation: Option<Name>,
}

impl Booking {
    pub(crate) fn is_reserved(&self) -> bool {
        self.reservation.is_some()
    }
}

/// A prefill's result.
#[derive(Debug, Clone)]
pub(crate) struct Prefilled {
    pub(crate) instance: Name,
    pub(crate) stored: StoredPrefill,
    /// Instant from which it may be gone.
    pub(crate) expires_at: Duration,
}

/// The exchange that works for a call now.
#[derive(Debug, Clone)]
pub(crate) struct Current {
    pub(crate) exchange: ExchangeId,
    pub(crate) instance: Name,
    pub(crate) stage: CallStage,
    pub(crate) sent_at: Duration,
    /// Instant of the endpoint's last sign.
    pub(crate) heard_at: Duration,
    /// Instant at which a prefill was expected to be done.
    pub(crate) prefill_due: Duration,
}

/// What an exchange is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallStage {
    Plain,
    Reserve,
    Prefill,
    Decode { has_source: bool },
}

impl CallStage {
    /// Whether an endpoint that failed in this stage may have run the request.
    pub(crate) fn runs_request(self) -> bool {
        matches!(self, Self::Plain | Self::Decode { .. })
    }

    /// Role of the endpoints that do it.
    pub(crate) fn role(self) -> Role {
        match self {
            Self::Plain => Role::Plain,
            Self::Prefill => Role::Prefill,
            Self::Reserve | Self::Decode { .. } => Role::Decode,
        }
    }

    /// Name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Reserve => "reserve",
            Self::Prefill => "prefill",
            Self::Decode { has_source: true } => "decode",
            Self::Decode { has_source: false } => "prefill_and_decode",
        }
    }
}

impl Call {
    pub(crate) fn prompt(&self) -> Prompt {
        self.request.prompt.unwrap_or_default()
    }

    /// Time that the caller still waits.
    pub(crate) fn left(&self, now: Duration) -> Duration {
        self.due_at.saturating_sub(now)
    }

    /// Why the request may not be sent once more; none if it may.
    pub(crate) fn final_reason(&self) -> Option<&'static str> {
        if self.may_have_run && !self.route.may_repeat() {
            return Some("may_have_run");
        }
        if self.tried.len() >= MAX_TRIED || !self.may_be_sent_again() {
            return Some("attempts_spent");
        }
        let can_resume = self.route.is_resumable && self.last_event_id.is_some();
        (self.is_forwarded && !can_resume).then_some("not_resumable")
    }

    /// Whether the request may be sent once more from where it stands.
    pub(crate) fn may_be_sent_again(&self) -> bool {
        if self.attempts >= self.route.max_attempts {
            return false;
        }
        !self.may_have_run || self.route.may_repeat()
    }
}
