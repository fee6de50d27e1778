//! Errors of a fleet.

use std::fmt;

/// Error of starting or controlling a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetError {
    /// The files or other resources of a fleet could not be prepared.
    Setup,
    /// A process could not be started.
    Start(String),
    /// The named process was not ready in time, or the named condition did not hold in time.
    Timeout(String),
    /// A command of `arbutusfall`, an HTTP request or a caller failed; holds the command's error output or
    /// arguments, the request's path, or a description.
    Command(String),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Setup => f.write_str("the files or resources of the fleet could not be prepared"),
            Self::Start(what) => write!(f, "{what} could not be started"),
            Self::Timeout(what) => write!(f, "timed out: {what}"),
            Self::Command(details) => write!(f, "a command or request failed: {details}"),
        }
    }
}

impl std::error::Error for FleetError {}
