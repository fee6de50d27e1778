//! Asks other VMs about quotas of client accounts. Connections are kept for some time: a connection with its handshake costs more than
//! a question.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arbutusfall_core::relay::QuotaOutcome;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_wire::MAX_QUOTA_BYTES;
use arbutusfall_wire::Name;
use arbutusfall_wire::QuotaAnswer;
use arbutusfall_wire::QuotaQuestion;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::HOST;

use crate::http;
use crate::http::ClientError;
use crate::http::KeptConnection;
use crate::lock::lock;
use crate::relay::handle::RelayHandle;
use crate::relay::peer_client;
use crate::relay::peer_client::QUOTA_PATH;

/// Time after which a VM that has not answered is given up, including its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a connection is kept after its last question; less than the other VM waits for the next one.
const KEEP_TIME: Duration = Duration::from_millis(1_500);

/// A VM to ask, and what to ask it.
#[derive(Debug)]
pub(super) struct QuotaRequest {
    pub(super) vm: Name,
    pub(super) address: SocketAddr,
    pub(super) question: QuotaQuestion,
}

/// A connection that may be used again.
struct Kept {
    connection: KeptConnection,
    address: SocketAddr,
    used_at: Duration,
}

/// Asks other VMs about quotas; keeps one connection to each of them.
#[derive(Default)]
pub(super) struct QuotaClient {
    /// By VM. A connection is not in it while a question is asked on it.
    kept: Mutex<BTreeMap<Name, Kept>>,
}

impl QuotaClient {
    /// Asks a VM and reports the outcome to the relay.
    pub(super) async fn ask(self: Arc<Self>, relay: impl RelayHandle, request: QuotaRequest) {
        let answer = async { self.exchange(&relay, &request).await };
        let expire = async {
            async_io::Timer::after(ANSWER_TIMEOUT).await;
            Err(ClientError::Timeout)
        };
        let outcome = match answer.or(expire).await {
            Ok(answer) => QuotaOutcome::Answered(answer),
            Err(error @ (ClientError::Status(_) | ClientError::Malformed)) => {
                log::debug!("VM {} does not answer about quotas: {error}", request.vm);
                QuotaOutcome::Declined
            }
            Err(error) => {
                log::info!("VM {} has not answered about quotas: {error}", request.vm);
                QuotaOutcome::Failed
            }
        };
        let vm = request.vm;
        relay.submit(RelayEvent::QuotaAnswered { vm, outcome });
    }

    async fn exchange(
        &self,
        relay: &impl RelayHandle,
        request: &QuotaRequest,
    ) -> Result<QuotaAnswer, ClientError> {
        let now = relay.io().now();
        if let Some(connection) = self.take(request, now) {
            match self.ask_on(relay, connection, request).await {
                // The other VM may have closed it at this moment. If it has answered before, the tokens of that answer are lost, which
                // keeps the bound.
                Err(ClientError::Broken) => {}
                answer => return answer,
            }
        }
        let stream = peer_client::connect(request.address, relay.shared_key()).await?;
        let connection = KeptConnection::begin(&relay.io().executor, stream).await?;
        self.ask_on(relay, connection, request).await
    }

    /// Asks on a connection, which is kept if it brought a sound answer.
    async fn ask_on(
        &self,
        relay: &impl RelayHandle,
        mut connection: KeptConnection,
        request: &QuotaRequest,
    ) -> Result<QuotaAnswer, ClientError> {
        let answer = connection.send(http_request(request)?).await?;
        if !answer.status().is_success() {
            return Err(ClientError::Status(answer.status().as_u16()));
        }
        let body = answer.into_body();
        let body = http::read_control_body(body, ANSWER_TIMEOUT, MAX_QUOTA_BYTES).await?;
        let answer = serde_json::from_slice(&body).map_err(|_| ClientError::Malformed)?;
        self.keep(request, connection, relay.io().now());
        Ok(answer)
    }

    /// Takes the connection that was kept to a VM, if it is to the same address and not too old.
    fn take(&self, request: &QuotaRequest, now: Duration) -> Option<KeptConnection> {
        let kept = lock(&self.kept).remove(&request.vm)?;
        let is_usable = kept.address == request.address && now < kept.used_at + KEEP_TIME;
        is_usable.then_some(kept.connection)
    }

    /// Keeps a connection for the next question, and drops all that are too old.
    fn keep(&self, request: &QuotaRequest, connection: KeptConnection, now: Duration) {
        let mut kept = lock(&self.kept);
        kept.retain(|_, kept| now < kept.used_at + KEEP_TIME);
        let newest = Kept {
            connection,
            address: request.address,
            used_at: now,
        };
        kept.insert(request.vm.clone(), newest);
    }
}

fn http_request(request: &QuotaRequest) -> Result<Request<Full<Bytes>>, ClientError> {
    let body = serde_json::to_vec(&request.question).map_err(|_| ClientError::Malformed)?;
    let http_request = Request::builder()
        .method(Method::POST)
        .uri(QUOTA_PATH)
        .header(HOST, request.address.to_string())
        .body(Full::new(body.into()));
    http_request.map_err(|_| ClientError::Malformed)
}
