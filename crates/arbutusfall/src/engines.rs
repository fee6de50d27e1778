//! Adapter of model engines: the OpenAI completions API with `kv_transfer_params`, as vLLM publishes it for
//! disaggregated prefill, and the paths by which engines resume, cancel and list requests.

mod events;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::CallId;
use arbutusfall_core::DecodeCommand;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::EngineFailure;
use arbutusfall_core::Event;
use arbutusfall_core::PrefillCommand;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use async_channel::Sender;
use async_executor::Task;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::Executor;
use crate::call_table::Asked;
use crate::call_table::CallTable;
use crate::driver::Input;
use crate::http;
use crate::http::ClientError;
use crate::http::Exchange;
use crate::trace::Span;
use crate::trace::SpanContext;

use events::EventReader;

/// Time allowed for opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time allowed for an engine's answer to begin; the reducer gives up much earlier.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Time allowed for short exchanges: cancel, list, load.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before an engine that does not know an attempt is told once more to give it up.
///
/// The order may still be on its way over another connection, or wait in an engine that was frozen.
const CANCEL_AGAIN_AFTER: Duration = Duration::from_millis(250);

/// Status by which an engine says that it does not know a request.
const UNKNOWN_REQUEST_STATUS: u16 = 404;

/// Longest answer of a prefill engine, in bytes.
const MAX_PREFILL_ANSWER_BYTES: usize = 1024 * 1024;

/// Status by which an engine says that a KV cache could not be fetched.
const TRANSFER_LOST_STATUS: u16 = 424;

/// The engines as one process uses them.
#[derive(Debug)]
pub(crate) struct Engines {
    pub(crate) executor: Arc<Executor>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) inputs: Sender<Input>,
    /// Exchanges in progress; dropping one closes its connection.
    pub(crate) running: Mutex<FastMap<AttemptId, Task<()>>>,
}

/// Answer of a prefill engine.
#[derive(Deserialize)]
struct PrefillAnswer {
    kv_transfer_params: Value,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: Option<PromptTokensDetails>,
}

#[derive(Deserialize)]
struct PromptTokensDetails {
    cached_tokens: u32,
}

/// How an engine confirms that it does not hold an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CancelAnswer {
    /// It held the attempt and gave it up.
    GivenUp,
    /// It does not know the attempt.
    Unknown,
}

#[derive(Deserialize)]
struct ActiveAnswer {
    requests: Vec<String>,
}

/// An engine's load.
#[derive(Deserialize)]
struct LoadAnswer {
    running: u32,
    queued: u32,
    queued_tokens: u32,
}

/// Changes of an engine's prefix cache.
#[derive(Deserialize)]
struct CacheAnswer {
    next: u64,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

impl Engines {
    fn submit(&self, event: EngineEvent) {
        // The channel is closed only while the process exits.
        let _ = self.inputs.try_send(Input::Event(Event::Engine(event)));
    }

    fn run(&self, attempt: AttemptId, exchange: impl Future<Output = ()> + Send + 'static) {
        let task = self.executor.spawn(exchange);
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.retain(|_, task| !task.is_finished());
        running.insert(attempt, task);
    }

    fn drop_connection(&self, attempt: AttemptId) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.remove(&attempt);
    }

    /// Sends a prompt to a prefill engine.
    pub(crate) fn prefill(self: &Arc<Self>, order: PrefillCommand) {
        let engines = self.clone();
        let attempt = order.attempt;
        self.run(attempt, async move {
            let event = match engines.exchange_prefill(&order).await {
                Ok(done) => done,
                Err(failure) => EngineEvent::Failed { attempt, failure },
            };
            engines.submit(event);
        });
    }

    async fn exchange_prefill(&self, order: &PrefillCommand) -> Result<EngineEvent, EngineFailure> {
        let (body, span) = self.body(order.call, order.delivered_tokens, "prefill")?;
        let body = json!({
            "max_tokens": 1,
            "stream": false,
            "priority": order.priority,
            "kv_transfer_params": { "do_remote_decode": true, "do_remote_prefill": false },
        })
        .merged(body);
        let request = completion_request(order.address, order.attempt, &body, &span);
        let answer = self.open(order.address, request).await?;
        let body = Limited::new(answer.into_body(), MAX_PREFILL_ANSWER_BYTES);
        let body = body.collect().await.map_err(|_| EngineFailure::Closed)?;
        let body = body.to_bytes();
        let answer: PrefillAnswer =
            serde_json::from_slice(&body).map_err(|_| EngineFailure::Malformed)?;
        let details = answer.usage.and_then(|usage| usage.prompt_tokens_details);
        Ok(EngineEvent::PrefillDone {
            attempt: order.attempt,
            transfer: answer.kv_transfer_params.to_string().into(),
            cached_tokens: details.map(|details| details.cached_tokens),
        })
    }

    /// Has a decode engine fetch a KV cache and generate.
    pub(crate) fn decode(self: &Arc<Self>, order: DecodeCommand) {
        let engines = self.clone();
        let attempt = order.attempt;
        self.run(attempt, async move {
            if let Err(failure) = engines.exchange_decode(&order).await {
                engines.submit(EngineEvent::Failed { attempt, failure });
            }
        });
    }

    async fn exchange_decode(&self, order: &DecodeCommand) -> Result<(), EngineFailure> {
        let (body, span) = self.body(order.call, order.delivered_tokens, "decode")?;
        let transfer: Value =
            serde_json::from_str(&order.transfer).map_err(|_| EngineFailure::Malformed)?;
        let body = json!({
            "max_tokens": order.max_output_tokens,
            "stream": true,
            "priority": order.priority,
            "kv_transfer_params": transfer,
        })
        .merged(body);
        let request = completion_request(order.address, order.attempt, &body, &span);
        let answer = self.open(order.address, request).await?;
        self.read_tokens(order.attempt, 0, answer.into_body()).await
    }

    /// Opens a new connection to an attempt that went silent.
    pub(crate) fn resume(
        self: &Arc<Self>,
        attempt: AttemptId,
        address: SocketAddr,
        from_index: u32,
    ) {
        let engines = self.clone();
        self.run(attempt, async move {
            let resumed = engines.exchange_resume(attempt, address, from_index).await;
            if let Err(failure) = resumed {
                engines.submit(EngineEvent::Failed { attempt, failure });
            }
        });
    }

    async fn exchange_resume(
        &self,
        attempt: AttemptId,
        address: SocketAddr,
        from_index: u32,
    ) -> Result<(), EngineFailure> {
        let path = format!("/v1/requests/{attempt}/stream?from={from_index}");
        let request = plain_request(Method::GET, address, &path);
        let answer = self.open(address, request).await?;
        self.read_tokens(attempt, from_index, answer.into_body())
            .await
    }

    async fn read_tokens(
        &self,
        attempt: AttemptId,
        from_index: u32,
        body: Incoming,
    ) -> Result<(), EngineFailure> {
        let mut reader = EventReader::new(body, &attempt.to_string());
        let mut index = from_index;
        loop {
            let texts = reader.next_tokens().await?;
            let Some(texts) = texts else {
                let generated_tokens = index;
                self.submit(EngineEvent::DecodeDone {
                    attempt,
                    generated_tokens,
                });
                return Ok(());
            };
            let count = u32::try_from(texts.len()).unwrap_or_default();
            self.submit(EngineEvent::Tokens {
                attempt,
                first_index: index,
                texts,
            });
            index += count;
        }
    }

    /// Has an engine give an attempt up, and drops the connection.
    pub(crate) fn cancel(self: &Arc<Self>, attempt: AttemptId, address: SocketAddr) {
        self.drop_connection(attempt);
        let engines = self.clone();
        let exchange = async move {
            let mut confirmed = engines.exchange_cancel(attempt, address).await;
            if confirmed == Some(CancelAnswer::Unknown) {
                async_io::Timer::after(CANCEL_AGAIN_AFTER).await;
                confirmed = engines.exchange_cancel(attempt, address).await;
            }
            engines.submit(match confirmed {
                Some(_) => EngineEvent::Cancelled { attempt },
                None => EngineEvent::CancelFailed { attempt },
            });
        };
        self.executor.spawn(exchange).detach();
    }

    /// Tells an engine once to give an attempt up; none if it did not confirm.
    async fn exchange_cancel(
        &self,
        attempt: AttemptId,
        address: SocketAddr,
    ) -> Option<CancelAnswer> {
        let path = format!("/v1/requests/{attempt}");
        let request = plain_request(Method::DELETE, address, &path);
        let status = self.control(address, request).await.ok()?.status();
        match status.as_u16() {
            UNKNOWN_REQUEST_STATUS => Some(CancelAnswer::Unknown),
            _ => status.is_success().then_some(CancelAnswer::GivenUp),
        }
    }

    /// Asks an engine which attempts it holds.
    pub(crate) fn list_active(self: &Arc<Self>, endpoint: Name, address: SocketAddr) {
        let engines = self.clone();
        let exchange = async move {
            let answer: Result<ActiveAnswer, ClientError> =
                http::get_json(&engines.executor, address, "/v1/requests", CONTROL_TIMEOUT).await;
            engines.submit(match answer {
                Ok(answer) => {
                    let attempts = answer.requests.iter().filter_map(|text| text.parse().ok());
                    EngineEvent::Active {
                        endpoint,
                        attempts: attempts.collect(),
                    }
                }
                Err(_) => EngineEvent::ActiveFailed { endpoint },
            });
        };
        self.executor.spawn(exchange).detach();
    }

    /// Asks an engine for its load; one that does not answer is asked again at the next interval.
    pub(crate) fn read_load(self: &Arc<Self>, endpoint: Name, address: SocketAddr) {
        let engines = self.clone();
        let exchange = async move {
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
        self.executor.spawn(exchange).detach();
    }

    /// Asks an engine for changes of its prefix cache; one that does not answer is asked again at the next interval.
    pub(crate) fn read_cache(self: &Arc<Self>, endpoint: Name, address: SocketAddr, from: u64) {
        let engines = self.clone();
        let exchange = async move {
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
        self.executor.spawn(exchange).detach();
    }

    /// The prompt with what was delivered, and a span for the hop.
    fn body(
        &self,
        call: CallId,
        delivered_tokens: u32,
        hop: &'static str,
    ) -> Result<(Value, Span), EngineFailure> {
        let (asked, delivered) = self.calls.asked(call).ok_or(EngineFailure::Closed)?;
        let Asked::Completion {
            model,
            prompt,
            traceparent,
        } = asked
        else {
            return Err(EngineFailure::Malformed);
        };
        let prompt = if delivered_tokens > 0 {
            format!("{prompt}{delivered}")
        } else {
            prompt.to_string()
        };
        Ok((
            json!({ "model": model, "prompt": prompt }),
            hop_span(hop, traceparent.as_deref()),
        ))
    }

    async fn open(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, EngineFailure> {
        let exchange = Exchange {
            address,
            request,
            connect_timeout: CONNECT_TIMEOUT,
            answer_timeout: ANSWER_TIMEOUT,
        };
        let answer = http::send(&self.executor, exchange)
            .await
            .map_err(|error| match error {
                ClientError::Connect => EngineFailure::Unreachable,
                _ => EngineFailure::Closed,
            })?;
        match answer.status().as_u16() {
            200 => Ok(answer),
            TRANSFER_LOST_STATUS => Err(EngineFailure::TransferLost),
            status => Err(EngineFailure::Rejected { status }),
        }
    }

    async fn control(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        let exchange = Exchange {
            address,
            request,
            connect_timeout: CONTROL_TIMEOUT,
            answer_timeout: CONTROL_TIMEOUT,
        };
        http::send(&self.executor, exchange).await
    }
}

/// Joins two JSON objects.
trait Merged {
    fn merged(self, other: Value) -> Value;
}

impl Merged for Value {
    fn merged(mut self, other: Value) -> Value {
        if let (Some(object), Value::Object(other)) = (self.as_object_mut(), other) {
            object.extend(other);
        }
        self
    }
}

/// Span of one hop below the caller's span.
pub(crate) fn hop_span(hop: &'static str, traceparent: Option<&str>) -> Span {
    match traceparent.and_then(SpanContext::decode_w3c_traceparent) {
        Some(parent) => Span::root(hop, parent),
        None => Span::noop(),
    }
}

fn completion_request(
    address: SocketAddr,
    attempt: AttemptId,
    body: &Value,
    span: &Span,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri("/v1/completions")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header("x-request-id", attempt.to_string());
    if let Some(context) = SpanContext::from_span(span) {
        builder = builder.header("traceparent", context.encode_w3c_traceparent());
    }
    let request = builder.body(Full::new(Bytes::from(body.to_string())));
    request.unwrap_or_default()
}

fn plain_request(method: Method, address: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    builder.body(Full::new(Bytes::new())).unwrap_or_default()
}
