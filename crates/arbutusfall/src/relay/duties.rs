//! The lease for orders, and orders to engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::LeaseAnswer;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RoleOutcome;
use arbutusfall_platform::endpoints;
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
use hyper::body::Bytes;
use hyper::body::Incoming;
use serde_json::Value;

use crate::http;
use crate::http::ClientError;
use crate::http::Exchange;
use crate::relay::driver::Driver;

/// Time allowed for the store to answer about the lease.
const LEASE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time allowed for an engine to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// This process towards the store's lease and the engines' orders.
#[derive(Debug, Clone)]
pub(super) struct Duties {
    pub(super) store_address: SocketAddr,
    /// Name of this life of the process.
    pub(super) member: Name,
}

impl Duties {
    /// Asks the store for the lease, or renews it.
    pub(super) async fn renew_lease(self, driver: Arc<Driver>, token: u64, lifetime: Duration) {
        let body = JoinBody::new(self.member, token, lifetime);
        let answer: Result<JoinAnswer, ClientError> = http::post_json(
            &driver.executor,
            self.store_address,
            store::JOIN_PATH,
            &body,
            LEASE_TIMEOUT,
        )
        .await;
        let answer = match answer {
            Ok(answer) => answer.lease(),
            Err(error) => {
                log::debug!("the store did not answer about the lease: {error}");
                LeaseAnswer::Failed
            }
        };
        driver.submit(RelayEvent::Lease(answer));
    }

    /// Gives the lease up; if the store does not hear of it, the lease lapses.
    pub(super) async fn release_lease(self, driver: Arc<Driver>) {
        let body = LeaveBody::new(self.member);
        let answer: Result<Value, ClientError> = http::post_json(
            &driver.executor,
            self.store_address,
            store::LEAVE_PATH,
            &body,
            LEASE_TIMEOUT,
        )
        .await;
        if let Err(error) = answer {
            log::info!("the store did not confirm that the lease is given up: {error}");
        }
    }

    /// Orders an engine to change its role.
    pub(super) async fn order_role(
        self,
        driver: Arc<Driver>,
        instance: Name,
        address: SocketAddr,
        role: Role,
        token: u64,
    ) {
        let order = EngineOrder {
            driver: &driver,
            instance: &instance,
            address,
        };
        let outcome = order.send(role, self.member, token).await;
        let outcome = outcome.unwrap_or_else(|error| {
            log::info!("the engine {instance} did not answer an order: {error}");
            RoleOutcome::Unknown
        });
        driver.submit(RelayEvent::RoleOutcome { instance, outcome });
    }
}

struct EngineOrder<'a> {
    driver: &'a Driver,
    instance: &'a Name,
    address: SocketAddr,
}

impl EngineOrder<'_> {
    async fn send(&self, role: Role, holder: Name, token: u64) -> Result<RoleOutcome, ClientError> {
        let report = self.exchange(Method::GET, orders::REPORT_PATH, Bytes::new());
        let body = http::read_body(report.await?.into_body(), ORDER_TIMEOUT).await?;
        let report: Report = serde_json::from_slice(&body).map_err(|_| ClientError::Malformed)?;
        let Some(order) = RoleOrder::new(&report, role, holder, token) else {
            return Ok(RoleOutcome::Refused);
        };
        let body = serde_json::to_vec(&order).map_err(|_| ClientError::Malformed)?;
        let answer = self.exchange(Method::POST, orders::ORDER_PATH, body.into());
        Ok(orders::role_outcome(answer.await?.status()))
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, ClientError> {
        let path = path.to_owned();
        let request = endpoints::instance_request(method, self.address, self.instance, path, body);
        let exchange = Exchange {
            address: self.address,
            request: request.map(Full::new),
            connect_timeout: ORDER_TIMEOUT,
            answer_timeout: ORDER_TIMEOUT,
        };
        http::send(&self.driver.executor, exchange).await
    }
}
