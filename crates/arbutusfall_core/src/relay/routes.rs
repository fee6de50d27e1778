//! Configuration of relayed requests: which service serves which path, and what may be repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::Semantics;

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Version, which only grows.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<RelayRoute>,
    /// Services by name.
    pub services: BTreeMap<Name, RelayService>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayRoute {
    /// Name of the route, for log lines.
    pub name: Name,
    /// Value of the `host` header that it serves.
    pub host: Name,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: Name,
    /// Whether a request may be repeated.
    pub semantics: Semantics,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, for which it is on time.
    pub target: Duration,
    /// Services with their weights; at least one.
    pub services: Vec<(Name, u32)>,
    /// Most endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests carry a prompt for a model engine.
    pub has_prompt: bool,
    /// Whether an answer is a stream of events.
    pub is_stream: bool,
    /// Whether a stream may go on at another endpoint after its last delivered event.
    pub is_resumable: bool,
    /// Longest pause between events for which a stream is on time.
    pub max_pause: Duration,
}

impl RelayRoute {
    /// Whether a request whose outcome is not known may be sent again from its beginning.
    pub fn may_repeat(&self) -> bool {
        self.semantics == Semantics::Idempotent || (self.is_stream && self.is_resumable)
    }
}

/// A service behind routes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayService {
    /// Figures of the engines, if endpoints of the service are model engines.
    pub engine: Option<EngineFigures>,
}

/// What is known of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFigures {
    /// Tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// Time for which a prefill's result is kept if nobody fetches it.
    pub result_lifetime: Duration,
    /// Longest time for which an engine keeps a reservation that is not used.
    pub reservation_lifetime: Duration,
    /// Time that a change of role takes.
    pub role_switch: Duration,
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest header section.
    pub max_header_bytes: usize,
    /// Longest body.
    pub max_body_bytes: usize,
    /// Time allowed for a request's headers, and again for its body.
    pub receive_timeout: Duration,
    /// Time for which a connection may be open without a request.
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
    /// Figures of a service's engines; none if it is no service of model engines.
    pub fn engine(&self, service: &str) -> Option<&EngineFigures> {
        self.services.get(service)?.engine.as_ref()
    }

    /// The route of a request: among those of the host, the one with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RelayRoute> {
        let of_host = self.routes.iter().filter(|route| *route.host == *host);
        of_host
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
