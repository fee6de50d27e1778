//! State changes that are logged.

use std::fmt;

use arbutusfall_wire::MemberState;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::LogStream;

/// A state change that is logged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// A configuration came into force.
    ConfigInForce {
        /// Revision of the base.
        base: Offset,
        /// Revision of this site's overlay.
        overlay: Option<Offset>,
    },
    /// The log lost configuration records that no snapshot covers.
    ConfigGap {
        /// First offset that was not read.
        next: Offset,
        /// Oldest offset that the log keeps.
        oldest: Offset,
    },
    /// Configuration from a peer was discarded because it covers records that the log does not have; the log is read
    /// again.
    ConfigDiscarded {
        /// First offset that the peer's state did not cover.
        next: Offset,
    },
    /// The configuration on a restored log is older than the one in force, which stays.
    ConfigOlder {
        /// Revision of the base on the log.
        base: Offset,
        /// Revision of this site's overlay on the log.
        overlay: Option<Offset>,
    },
    /// The log stopped answering.
    LogDown(LogStream),
    /// The log answers again.
    LogUp(LogStream),
    /// The log was restored from an older copy; all streams are read again.
    LogRestored {
        /// Number of the era before.
        from: u64,
        /// Number of the new era.
        to: u64,
    },
    /// Another VM's state changed.
    Member {
        /// The VM.
        vm: Name,
        /// Its new state.
        state: MemberState,
    },
    /// The VM takes no new work.
    Draining,
    /// All work in progress is done.
    Drained,
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigInForce {
                base,
                overlay: Some(overlay),
            } => {
                write!(f, "configuration in force: base {base}, overlay {overlay}")
            }
            Self::ConfigInForce {
                base,
                overlay: None,
            } => {
                write!(f, "configuration in force: base {base}, no overlay")
            }
            Self::ConfigGap { next, oldest } => {
                write!(
                    f,
                    "configuration records from offset {next} are missing: the log now starts at offset {oldest}"
                )
            }
            Self::ConfigDiscarded { next } => {
                write!(
                    f,
                    "configuration from a peer covers the records before offset {next}, but the log ends earlier; \
                     discarding the peer's configuration and reading the log again"
                )
            }
            Self::ConfigOlder { base, overlay } => {
                let overlay =
                    overlay.map_or_else(|| "none".to_owned(), |overlay| overlay.to_string());
                write!(
                    f,
                    "the restored log has an older configuration (base {base}, overlay {overlay}); keeping the one in \
                     force"
                )
            }
            Self::LogDown(stream) => write!(f, "log stream {stream:?} does not answer"),
            Self::LogUp(stream) => write!(f, "log stream {stream:?} answers again"),
            Self::LogRestored { from, to } => write!(
                f,
                "log was restored from an older copy, era {from} to {to}; reading all streams again"
            ),
            Self::Member { vm, state } => write!(f, "VM {vm} is now {state:?}"),
            Self::Draining => f.write_str("draining: no new work is taken"),
            Self::Drained => f.write_str("drained: all work in progress is done"),
        }
    }
}
