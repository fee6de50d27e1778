//! `arbutusfall status`: reads a VM's status over HTTP.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use crate::Executor;
use crate::http;
use crate::operators::StatusDocument;

/// Timeout of the status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Failure to get a VM's status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusError {
    /// Operator address of the VM.
    pub operator_address: SocketAddr,
}

impl fmt::Display for StatusError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot get the status of {}", self.operator_address)
    }
}

impl std::error::Error for StatusError {}

/// Reads a VM's status from its operator address.
///
/// # Errors
///
/// Returns [`StatusError`] if the VM does not answer with a status document.
pub async fn fetch_status(
    executor: &Executor,
    operator_address: SocketAddr,
) -> Result<StatusDocument, Report<StatusError>> {
    let status = http::get_json(executor, operator_address, "/status", STATUS_TIMEOUT).await;
    status.change_context(StatusError { operator_address })
}
