//! Requests of other VMs: those of callers whose endpoints they do not reach, and questions for facts of the store and about
//! quotas of client accounts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::relay::SlowRead;
use arbutusfall_core::relay::UnreadLimits;
use arbutusfall_platform::forwarding;
use arbutusfall_wire::Name;
use async_net::TcpStream;
use futures_lite::FutureExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::http::AnswerBody;
use crate::http::RequestHandler;
use crate::http::ServerLimits;
use crate::relay::callers;
use crate::relay::callers::Arrival;
use crate::relay::driver::Driver;
use crate::relay::fact_server::FactServer;
use crate::relay::handle::RelayHandle;
use crate::relay::peer_client::FACTS_PATH;
use crate::relay::peer_client::QUOTA_PATH;
use crate::relay::peer_handshake;
use crate::relay::quota_server;

/// Maximum number of open connections of other VMs. Each of some 400 VMs may keep one to the owner of a busy account.
const MAX_PEER_CONNECTIONS: usize = 600;

/// Timeout for the handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the head of a request, and for the next request of a connection that is kept.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which another VM may read nothing, as a multiple of that for callers: it ends what its own caller does not read first.
const UNREAD_LIMIT_FACTOR: u32 = 2;

/// Answers the requests of other VMs through the relay.
pub(super) struct PeerServer {
    pub(super) driver: Arc<Driver>,
    pub(super) facts: FactServer,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

impl RequestHandler for PeerServer {
    fn limits(&self) -> ServerLimits {
        ServerLimits {
            max_header_bytes: self.driver.limits().max_header_bytes,
            header_timeout: HEADER_TIMEOUT,
            max_connections: MAX_PEER_CONNECTIONS,
        }
    }

    async fn admit(&self, stream: &mut TcpStream) -> bool {
        let key = self.driver.hash_key();
        let handshake = peer_handshake::accept(stream, self.address, key);
        let expire = async {
            async_io::Timer::after(HANDSHAKE_TIMEOUT).await;
            Ok(false)
        };
        let is_admitted = handshake.or(expire).await;
        let is_admitted = is_admitted.unwrap_or(false);
        if !is_admitted {
            log::info!("a connection to the address for VMs has not proved that it is of a VM");
        }
        is_admitted
    }

    fn unread_limits(&self) -> Option<UnreadLimits> {
        let limits = self.driver.io().body_memory.budget().unread_limits()?;
        Some(UnreadLimits {
            unread: limits.unread * UNREAD_LIMIT_FACTOR,
            // The VM with the caller measures its pace.
            ends_slow: false,
        })
    }

    fn on_slow_read(&self, request_id: Option<Name>, slow: SlowRead) {
        callers::record_slow_read(&self.driver, request_id, slow);
    }

    async fn handle(self: Arc<Self>, mut request: Request<Incoming>) -> Response<AnswerBody> {
        let Some((hop, elapsed)) = forwarding::take_hop(request.headers_mut()) else {
            return match request.uri().path() {
                FACTS_PATH => self.facts.answer(request).await,
                QUOTA_PATH => quota_server::answer(&self.driver, request).await,
                _ => callers::problem_response(&Problem::new(ProblemKind::Malformed)),
            };
        };
        let arrival = Arrival {
            hop: Some(hop),
            elapsed,
        };
        callers::answer(&self.driver, request, arrival).await
    }
}
