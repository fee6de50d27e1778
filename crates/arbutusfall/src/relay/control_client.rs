//! Client for the store's lease and for role orders to engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::LeaseAnswer;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RoleOutcome;
use arbutusfall_platform::answer_status::FinalStatus;
use arbutusfall_platform::endpoints;
use arbutusfall_platform::endpoints::StatedLimit;
use arbutusfall_platform::endpoints::StatedRest;
use arbutusfall_platform::orders;
use arbutusfall_platform::orders::Report;
use arbutusfall_platform::orders::RoleOrder;
use arbutusfall_platform::store;
use arbutusfall_platform::store::JoinAnswer;
use arbutusfall_platform::store::JoinBody;
use arbutusfall_platform::store::LeaveBody;
use arbutusfall_wire::Name;
use http_body_util::Full;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::relay::handle::RelayHandle;
use crate::relay::store_client::StoreClient;
use crate::relay::store_client::StoreDocument;
use crate::relay::store_client::StoreError;

/// Timeout of a lease request to the store.
const LEASE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of each step of a request to an engine: connecting, the answer's headers and its body, if it is read.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of an engine's report, in bytes; it lists all its requests.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Acquires and releases the lease for role changes, and orders role changes.
#[derive(Debug, Clone)]
pub(super) struct ControlClient {
    /// Name under which this process competes for the lease; new in each run.
    pub(super) member: Name,
    pub(super) store: Arc<StoreClient>,
}

impl ControlClient {
    /// Acquires or renews the lease.
    pub(super) async fn renew_lease(self, relay: impl RelayHandle, token: u64, lifetime: Duration) {
        let body = JoinBody::new(self.member, token, lifetime);
        let join = self
            .store
            .post_json(&relay, store::JOIN_PATH, &body, LEASE_TIMEOUT);
        let answer: Result<StoreDocument<JoinAnswer>, StoreError> = join.await;
        let answer = match answer {
            Ok(answer) => lease_answer(&answer, self.store.era.newest()),
            Err(error) => {
                log::debug!("the lease request to the store failed: {error}");
                LeaseAnswer::Failed
            }
        };
        relay.submit(RelayEvent::Lease(answer));
    }

    /// Releases the lease. If the request fails, the lease expires by itself.
    pub(super) async fn release_lease(self, relay: impl RelayHandle) {
        let body = LeaveBody::new(self.member);
        let leave = self
            .store
            .post_json(&relay, store::LEAVE_PATH, &body, LEASE_TIMEOUT);
        let answer: Result<StoreDocument<Value>, StoreError> = leave.await;
        if let Err(error) = answer {
            log::info!("the store did not confirm the release of the lease: {error}");
        }
    }

    /// Orders an engine to change its role.
    pub(super) async fn order_role(
        self,
        relay: impl RelayHandle,
        instance: Name,
        address: SocketAddr,
        role: Role,
        token: u64,
    ) {
        let engine = EngineClient {
            relay: &relay,
            instance: &instance,
            address,
        };
        let outcome = engine.send_order(role, self.member, token).await;
        let outcome = outcome.unwrap_or_else(|error| {
            log::info!("the role order to engine {instance} failed: {error}");
            RoleOutcome::Unknown
        });
        relay.submit(RelayEvent::RoleOutcome { instance, outcome });
    }
}

/// Returns what the store's answer to a join says of the lease; `newest_era` is the newest that any answer has stated. Without a
/// fencing token, no orders may be given.
fn lease_answer(answer: &StoreDocument<JoinAnswer>, newest_era: Option<u64>) -> LeaseAnswer {
    if answer.era.is_none() && newest_era.is_some() {
        log::warn!("an answer to a lease request states no era, as others do, and is not used");
        return LeaseAnswer::Failed;
    }
    let lease = answer.content.lease(answer.era);
    lease.unwrap_or_else(|error| {
        log::warn!("an answer to a lease request is not used: {error}");
        LeaseAnswer::Failed
    })
}

/// Sends control requests to an engine, and reports to the relay what their answers say of it.
pub(super) struct EngineClient<'a, H> {
    pub(super) relay: &'a H,
    pub(super) instance: &'a Name,
    pub(super) address: SocketAddr,
}

impl<H: RelayHandle> EngineClient<'_, H> {
    /// Reads the engine's report and sends an order with the report's sequence number, unless a role change is in
    /// progress or `role` is not a role of an engine.
    async fn send_order(
        &self,
        role: Role,
        member: Name,
        token: u64,
    ) -> Result<RoleOutcome, ClientError> {
        let report: Report = self.read_report().await?;
        let Some(order) = RoleOrder::new(&report, role, member, token) else {
            // No order was sent: a role change is in progress, or the role is `Role::Plain`. This is reported as a
            // refusal.
            return Ok(RoleOutcome::Refused);
        };
        let body = serde_json::to_vec(&order).map_err(|_| ClientError::Malformed)?;
        let answer = self.send_request(Method::POST, orders::ORDER_PATH, body.into());
        Ok(orders::role_outcome(answer.await?.status()))
    }

    /// Reads the engine's report.
    pub(super) async fn read_report<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        let report = self.send_request(Method::GET, orders::REPORT_PATH, Bytes::new());
        let report = report.await?;
        if !report.status().is_success() {
            return Err(ClientError::Status(report.status().as_u16()));
        }
        let body = report.into_body();
        let memory = &self.relay.io().body_memory;
        let body =
            http::read_endpoint_control_body(body, ORDER_TIMEOUT, MAX_REPORT_BYTES, memory).await?;
        serde_json::from_slice(&body).map_err(|_| ClientError::Malformed)
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, ClientError> {
        let path = path.to_owned();
        let request = endpoints::instance_request(method, self.address, self.instance, path, body);
        let outgoing = OutgoingRequest {
            address: self.address,
            request: request.map(Full::new),
            connect_timeout: ORDER_TIMEOUT,
            answer_timeout: ORDER_TIMEOUT,
        };
        let io = self.relay.io();
        let stream = http::open(outgoing.address, outgoing.connect_timeout).await?;
        let sent = http::send_within_memory(&io.executor, stream, &io.body_memory, outgoing);
        let answer = sent.await?;
        // The engine may have followed the order, so its outcome is unknown.
        FinalStatus::of(answer.status()).map_err(|_| ClientError::Malformed)?;
        let is_from_engine = answer.status() != StatusCode::MISDIRECTED_REQUEST;
        if let StatedLimit::PerSecond(per_s) = endpoints::stated_limit(answer.headers())
            && is_from_engine
        {
            let instance = self.instance.clone();
            self.relay
                .submit(RelayEvent::ControlLimit { instance, per_s });
        }
        if is_from_engine && endpoints::says_leaving(answer.headers()) {
            let instance = self.instance.clone();
            self.relay.submit(RelayEvent::EndpointLeaves { instance });
        }
        if let StatedRest::For(rest) = endpoints::stated_rest(answer.status(), answer.headers())
            && is_from_engine
        {
            let instance = self.instance.clone();
            self.relay
                .submit(RelayEvent::ControlRest { instance, rest });
        }
        Ok(answer)
    }
}
