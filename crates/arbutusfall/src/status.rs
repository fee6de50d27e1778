//! `arbutusfall status`: asks a VM for its state.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use crate::Executor;
use crate::http;
use crate::operators::StatusDocument;

/// Time allowed for the answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// A VM did not tell its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusError {
    /// Address that was asked.
    pub vm: SocketAddr,
}

impl fmt::Display for StatusError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} did not tell its status", self.vm)
    }
}

impl std::error::Error for StatusError {}

/// Asks a VM's operator address for its state.
///
/// # Errors
///
/// [`StatusError`] if it does not answer.
pub async fn fetch_status(
    executor: &Executor,
    vm: SocketAddr,
) -> Result<StatusDocument, Report<StatusError>> {
    let status = http::get_json(executor, vm, "/status", STATUS_TIMEOUT).await;
    status.change_context(StatusError { vm })
}
