//! Short exchanges with engines: cancels, and reads of attempts, load and cache changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::EngineEvent;
use arbutusfall_wire::Name;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::engines::Engines;
use crate::engines::request_without_body;
use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;

/// Timeout for short exchanges: cancel, list, load and cache changes.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the one retry of a cancel that was answered with "unknown request".
///
/// The request may still be in flight on another connection, or be queued in an engine that was frozen.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// HTTP status for a request that the engine does not know.
const UNKNOWN_REQUEST_STATUS: u16 = 404;

/// An engine's answer to a cancel; with either answer, the engine does not hold the attempt at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CancelAnswer {
    /// The engine held the attempt and cancelled it.
    Cancelled,
    /// The engine does not know the attempt, which may reach it later; the cancel is retried once.
    Unknown,
}

#[derive(Deserialize)]
struct AttemptsAnswer {
    requests: Vec<String>,
}

/// An engine's load.
#[derive(Deserialize)]
struct LoadAnswer {
    running: u32,
    queued: u32,
    queued_tokens: u32,
}

/// Answer to a read of cache events: number of the next event, and hashes of the pieces that were stored and evicted.
#[derive(Deserialize)]
struct CacheAnswer {
    next: u64,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

impl Engines {
    /// Drops the connection of an attempt and cancels it at its engine.
    pub(crate) fn cancel(self: &Arc<Self>, attempt: AttemptId, address: SocketAddr) {
        self.drop_connection(attempt);
        let engines = self.clone();
        let task = async move {
            let mut answer = engines.send_cancel(attempt, address).await;
            if answer == Some(CancelAnswer::Unknown) {
                async_io::Timer::after(CANCEL_RETRY_DELAY).await;
                answer = engines.send_cancel(attempt, address).await;
            }
            engines.submit(match answer {
                Some(_) => EngineEvent::Cancelled { attempt },
                None => EngineEvent::CancelFailed { attempt },
            });
        };
        self.executor.spawn(task).detach();
    }

    /// Sends one cancel; returns `None` if the engine did not confirm it.
    async fn send_cancel(&self, attempt: AttemptId, address: SocketAddr) -> Option<CancelAnswer> {
        let path = format!("/v1/requests/{attempt}");
        let request = request_without_body(Method::DELETE, address, &path);
        let status = self.send_control(address, request).await.ok()?.status();
        match status.as_u16() {
            UNKNOWN_REQUEST_STATUS => Some(CancelAnswer::Unknown),
            _ => status.is_success().then_some(CancelAnswer::Cancelled),
        }
    }

    /// Lists the attempts that an engine holds.
    pub(crate) fn list_attempts(self: &Arc<Self>, endpoint: Name, address: SocketAddr) {
        let engines = self.clone();
        let task = async move {
            let answer: Result<AttemptsAnswer, ClientError> =
                http::get_json(&engines.executor, address, "/v1/requests", CONTROL_TIMEOUT).await;
            engines.submit(match answer {
                Ok(answer) => {
                    let attempts = answer.requests.iter().filter_map(|text| text.parse().ok());
                    EngineEvent::AttemptsListed {
                        endpoint,
                        attempts: attempts.collect(),
                    }
                }
                Err(_) => EngineEvent::ListAttemptsFailed { endpoint },
            });
        };
        self.executor.spawn(task).detach();
    }

    /// Reads an engine's load; a failure is ignored, since the reducer reads again at the next interval.
    pub(crate) fn read_load(self: &Arc<Self>, endpoint: Name, address: SocketAddr) {
        let engines = self.clone();
        let task = async move {
            let answer: Result<LoadAnswer, ClientError> =
                http::get_json(&engines.executor, address, "/v1/load", CONTROL_TIMEOUT).await;
            if let Ok(load) = answer {
                engines.submit(EngineEvent::Load {
                    endpoint,
                    running: load.running,
                    queued: load.queued,
                    queued_tokens: load.queued_tokens,
                });
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Reads the changes to an engine's prefix cache from event number `from` on.
    ///
    /// A failure is ignored, since the reducer reads again at the next interval.
    pub(crate) fn read_cache(self: &Arc<Self>, endpoint: Name, address: SocketAddr, from: u64) {
        let engines = self.clone();
        let task = async move {
            let path = format!("/v1/cache-events?from={from}");
            let answer: Result<CacheAnswer, ClientError> =
                http::get_json(&engines.executor, address, &path, CONTROL_TIMEOUT).await;
            if let Ok(changes) = answer {
                engines.submit(EngineEvent::CacheChanged {
                    endpoint,
                    next: changes.next,
                    stored: changes.stored,
                    removed: changes.removed,
                });
            }
        };
        self.executor.spawn(task).detach();
    }

    async fn send_control(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        let outgoing = OutgoingRequest {
            address,
            request,
            connect_timeout: CONTROL_TIMEOUT,
            answer_timeout: CONTROL_TIMEOUT,
        };
        http::send(&self.executor, outgoing).await
    }
}
