//! Configuration of the relay: routes from paths to services, and the limits of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Semantics;
use crate::relay::AccountQuota;
use crate::relay::AccountTable;

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Version; increases with every change.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<RelayRoute>,
    /// Services by name.
    pub services: BTreeMap<Name, RelayService>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Accounts whose requests are served; none if requests need no account.
    pub accounts: Option<AccountTable>,
}

/// Route of requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayRoute {
    /// Name of the route, for log lines.
    pub name: Name,
    /// Matching host name, in lower case and without the port.
    pub host: Name,
    /// Matching prefix of the path; begins and ends with a slash.
    pub path_prefix: Name,
    /// Whether requests are idempotent.
    pub semantics: Semantics,
    /// Longest time to the final answer, even if the caller would wait longer.
    pub timeout: Duration,
    /// Target latency to the answer, or to the first event of a stream.
    pub latency_target: Duration,
    /// Services with their weights; at least one.
    pub services: Vec<(Name, u32)>,
    /// Maximum number of attempts to run one request, including the first.
    pub max_attempts: u32,
    /// Whether requests carry a prompt for a model engine.
    pub is_model_route: bool,
    /// Whether an answer is a stream of events.
    pub is_stream: bool,
    /// Whether a broken stream may be resumed at another endpoint after its last delivered event.
    pub is_resumable: bool,
    /// Target time between two events of a stream.
    pub event_interval_target: Duration,
    /// Whether requests are served without an account.
    pub allows_anonymous: bool,
    /// Priority of requests whose account has none, 0 first.
    pub priority: Option<u8>,
}

impl RelayRoute {
    /// Returns whether a request with an unknown outcome may be sent again.
    pub fn allows_repeated_runs(&self) -> bool {
        self.semantics == Semantics::Idempotent || (self.is_stream && self.is_resumable)
    }
}

/// A service behind routes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayService {
    /// Parameters of the engines, if the service's endpoints are model engines.
    pub engine: Option<EngineParameters>,
}

/// Configured parameters of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineParameters {
    /// Capacity of an engine's memory, in tokens.
    pub memory_tokens: u64,
    /// Time after which an engine drops a prefill result that was not fetched.
    pub result_lifetime: Duration,
    /// Time after which an engine drops an unused reservation.
    pub reservation_lifetime: Duration,
    /// Duration of a role change.
    pub role_change_time: Duration,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of the header section.
    pub max_header_bytes: usize,
    /// Largest size of the body.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's headers, and separately for its body.
    pub receive_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            receive_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RouteTable {
    /// Returns the parameters of a service's engines; none if its endpoints are not model engines.
    pub fn engine(&self, service: &str) -> Option<&EngineParameters> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Returns the quota of a client account; none if it has no limit.
    pub fn quota_of(&self, account: &Name) -> Option<AccountQuota> {
        self.accounts.as_ref()?.get(account)?.quota
    }

    /// Returns the host's route with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&RelayRoute> {
        let of_host = self.routes.iter().filter(|route| *route.host == *host);
        of_host
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
