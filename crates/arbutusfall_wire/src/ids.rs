//! Identifiers that cross process boundaries.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Shared immutable string for names of VMs, endpoints, models, services and accounts, and for other texts.
pub type Name = Arc<str>;

/// Incarnation of a VM's process: a random number drawn at its start, so that a restart can be distinguished from a
/// pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The process that sent a peer message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the VM, as in the platform's list.
    pub vm: Name,
    /// Incarnation of the process on that VM.
    pub incarnation: Incarnation,
}

/// A caller's request, unique over all VMs and restarts.
///
/// The text form is part of the id that engines receive, so an orphaned attempt can be traced to the process that
/// started it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Process that received the request from its caller.
    pub incarnation: Incarnation,
    /// Sequence number among that process's requests, from 1.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation.0, self.sequence)
    }
}

/// Error for text that is not a [`RequestId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseRequestIdError;

impl fmt::Display for ParseRequestIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected sixteen hexadecimal digits, a hyphen and a hexadecimal number")
    }
}

impl std::error::Error for ParseRequestIdError {}

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (incarnation, sequence) = text.split_once('-').ok_or(ParseRequestIdError)?;
        if incarnation.len() != 16 {
            return Err(ParseRequestIdError);
        }
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| ParseRequestIdError)?;
        let sequence = u64::from_str_radix(sequence, 16).map_err(|_| ParseRequestIdError)?;
        Ok(Self {
            incarnation: Incarnation(incarnation),
            sequence,
        })
    }
}

/// Key of a non-idempotent request: a UUIDv7, which carries its time of creation (RFC 9562).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct IdempotencyKey(Uuid);

/// Error for a key that is not a UUID of version 7.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseIdempotencyKeyError;

impl fmt::Display for ParseIdempotencyKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an idempotency key must be a UUID of version 7")
    }
}

impl std::error::Error for ParseIdempotencyKeyError {}

impl TryFrom<Uuid> for IdempotencyKey {
    type Error = ParseIdempotencyKeyError;

    fn try_from(uuid: Uuid) -> Result<Self, ParseIdempotencyKeyError> {
        match uuid.get_version_num() {
            7 => Ok(Self(uuid)),
            _ => Err(ParseIdempotencyKeyError),
        }
    }
}

impl From<IdempotencyKey> for Uuid {
    fn from(key: IdempotencyKey) -> Uuid {
        key.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseIdempotencyKeyError;

    fn from_str(text: &str) -> Result<Self, ParseIdempotencyKeyError> {
        let uuid = Uuid::try_parse(text).map_err(|_| ParseIdempotencyKeyError)?;
        Self::try_from(uuid)
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl IdempotencyKey {
    /// Returns the creation time that the UUID states, as time since the Unix epoch in whole milliseconds.
    pub fn created_at(&self) -> Duration {
        let millis = self.0.as_u128() >> 80;
        Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// Offset of a record in a stream of the platform's log; increases with each record.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
