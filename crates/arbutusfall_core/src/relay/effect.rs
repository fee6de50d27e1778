//! Everything that the relay can ask for.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::Problem;
use crate::config::Role;
use crate::relay::ExchangeId;
use crate::relay::RelayNotice;

/// An output of the relay.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayEffect {
    /// Send a request to an endpoint.
    Send(SendOrder),
    /// Drop an exchange; its connection closes.
    Close {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Have an engine drop a prefill's result that nobody will fetch.
    FreeResult(StoredPrefill),
    /// Have an engine drop a reservation that will not be used.
    FreeReservation {
        /// Where the engine listens.
        address: SocketAddr,
        /// Its name for the reservation.
        reservation: Name,
    },
    /// Answer a call with the whole answer of an exchange; the call is over.
    Answer {
        /// The caller's open request.
        call: CallId,
        /// Exchange whose answer it is.
        exchange: ExchangeId,
    },
    /// Pass an exchange's stream on to the caller as it arrives.
    Forward {
        /// The caller's open request.
        call: CallId,
        /// Exchange whose stream it is.
        exchange: ExchangeId,
    },
    /// End the caller's stream as complete; the call is over.
    Finish {
        /// The caller's open request.
        call: CallId,
    },
    /// Break the caller's stream off, so that it does not look complete; the call is over.
    Abort {
        /// The caller's open request.
        call: CallId,
    },
    /// Answer a call with a problem; the call is over.
    Refuse {
        /// The caller's open request.
        call: CallId,
        /// What to answer.
        problem: Problem,
    },
    /// Ask the store for the lease, or renew it.
    RenewLease {
        /// Newest token that the store told.
        token: u64,
        /// Time after which the lease lapses unless it is renewed.
        lifetime: Duration,
    },
    /// Give the lease up.
    ReleaseLease,
    /// Order an engine to change its role.
    OrderRole {
        /// The engine.
        instance: Name,
        /// Where it listens.
        address: SocketAddr,
        /// Role that it is to take.
        role: Role,
        /// Fencing token of the order.
        token: u64,
    },
    /// Whether the VM takes new connections.
    SetReady(bool),
    /// Write a log line.
    Note(RelayNotice),
    /// Accept no more connections, close idle ones, and end the process when the others are done.
    CloseConnections,
}

/// A request to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct SendOrder {
    /// Number of the exchange.
    pub exchange: ExchangeId,
    /// The caller's open request.
    pub call: CallId,
    /// Instance that must answer.
    pub instance: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the endpoint is to do.
    pub work: Work,
    /// Time after which the endpoint may stop.
    pub patience: Duration,
    /// Event after which a stream is to go on.
    pub after_event_id: Option<u64>,
}

/// What an endpoint is asked to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Answer it as a whole.
    Plain,
    /// Set memory and a place in the batch aside for it.
    Reserve {
        /// Tokens of memory.
        tokens: u64,
        /// Time after which the reservation lapses if it is not used.
        lifetime: Duration,
    },
    /// Compute its KV cache.
    Prefill,
    /// Stream the answer; without a source, the engine prefills the prompt itself.
    Decode {
        /// Where the KV cache is fetched from.
        source: Option<StoredPrefill>,
        /// Reservation that the request uses.
        reservation: Option<Name>,
    },
}

/// A KV cache that waits at a prefill engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPrefill {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// Name under which it keeps the KV cache.
    pub handle: Name,
}

/// What one event led to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayOutput {
    /// Effects, to be carried out in this order.
    pub effects: Vec<RelayEffect>,
    /// Monotonic instant at which [`crate::relay::RelayEvent::Tick`] is due.
    pub wake_at: Option<Duration>,
}
