//! What operators ask.

use std::error::Error;
use std::fmt;

use arbutusfall_wire::Name;

use crate::relay::ApiKey;
use crate::relay::Credential;
use crate::relay::RelayRequest;
use crate::relay::RouteTable;

/// A question about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum ExplainQuery {
    /// About a request that would arrive now.
    Request {
        /// The request. Its host may be empty if the path alone determines the route. Its credential is not used.
        request: Box<RelayRequest>,
        /// Account that sends it.
        account: Option<Name>,
    },
    /// About a request in progress at this VM.
    InProgress {
        /// Id that the caller gave to the attempt.
        request_id: Name,
    },
}

/// Why a question has no answer. What the operator stated is not repeated: it may be a key by mistake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExplainError {
    /// No route has the path.
    UnknownPath,
    /// Routes of several hosts have the path.
    SeveralHosts(Vec<Name>),
    /// The configuration has no account of this name.
    UnknownAccount,
    /// The account has no API key, so that no request can come from it.
    AccountWithoutKeys,
    /// No request of this id is in progress.
    UnknownRequest,
}

impl fmt::Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPath => f.write_str("no route has this host and path"),
            Self::SeveralHosts(hosts) => {
                write!(
                    f,
                    "several hosts have routes with this path, state one: {}",
                    hosts.join(", ")
                )
            }
            Self::UnknownAccount => f.write_str("the configuration has no account of this name"),
            Self::AccountWithoutKeys => f.write_str("the account has no API key"),
            Self::UnknownRequest => {
                f.write_str("no request with this id is in progress at this VM")
            }
        }
    }
}

impl Error for ExplainError {}

/// Returns the host of a request: the stated one, or the only one with a route for its path.
pub(super) fn host_of(request: &RelayRequest, routes: &RouteTable) -> Result<Name, ExplainError> {
    let is_stated = !request.host.is_empty();
    let mut hosts: Vec<Name> = routes
        .routes
        .iter()
        .map(|route| route.host.clone())
        .collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts.retain(|host| {
        let is_asked = !is_stated || *host == request.host;
        is_asked && routes.find(host, &request.path).is_some()
    });
    match hosts.as_slice() {
        [] => Err(ExplainError::UnknownPath),
        [host] => Ok(host.clone()),
        _ => Err(ExplainError::SeveralHosts(hosts)),
    }
}

/// Returns the credential with which an account's requests come.
pub(super) fn credential_of(
    account: Option<&Name>,
    routes: &RouteTable,
) -> Result<Credential, ExplainError> {
    let Some(account) = account else {
        return Ok(Credential::Missing);
    };
    let accounts = routes.accounts.as_ref();
    let accounts = accounts.filter(|accounts| accounts.get(account).is_some());
    let accounts = accounts.ok_or(ExplainError::UnknownAccount)?;
    let key: Option<ApiKey> = accounts.any_key(account);
    key.map(Credential::Key)
        .ok_or(ExplainError::AccountWithoutKeys)
}
