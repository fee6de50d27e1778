//! HTTP client of model engines: the OpenAI completions API with `kv_transfer_params` of vLLM's disaggregated
//! prefill, and paths to resume, cancel and list requests and to read load and cache changes.

mod control;
mod token_stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::CallId;
use arbutusfall_core::DecodeCommand;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::EngineFailure;
use arbutusfall_core::Event;
use arbutusfall_core::PrefillCommand;
use arbutusfall_wire::FastMap;
use async_channel::Sender;
use async_executor::Task;
use http_body_util::Full;
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
use crate::call_table::CallRequest;
use crate::call_table::CallTable;
use crate::driver::Input;
use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::lock::lock;
use crate::trace::Span;
use crate::trace::SpanContext;

use token_stream::TokenStreamReader;

/// Timeout for opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for the head of an engine's answer; the reducer cancels an attempt much earlier.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest accepted answer of a prefill engine, in bytes.
const MAX_PREFILL_ANSWER_BYTES: usize = 1024 * 1024;

/// HTTP status for a KV cache that the decode engine could not fetch.
const TRANSFER_LOST_STATUS: u16 = 424;

/// Client for all engines of a site.
#[derive(Debug)]
pub(crate) struct Engines {
    pub(crate) executor: Arc<Executor>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) input_sender: Sender<Input>,
    /// Running tasks by attempt; dropping a task closes its connection.
    pub(crate) tasks: Mutex<FastMap<AttemptId, Task<()>>>,
}

/// Body of a prefill engine's answer.
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

impl Engines {
    fn submit(&self, event: EngineEvent) {
        // The channel is closed only while the process exits.
        let _ = self
            .input_sender
            .try_send(Input::Event(Event::Engine(event)));
    }

    /// Spawns a task that [`Self::drop_connection`] can stop.
    fn spawn_for_attempt(
        &self,
        attempt: AttemptId,
        future: impl Future<Output = ()> + Send + 'static,
    ) {
        let task = self.executor.spawn(future);
        let mut tasks = lock(&self.tasks);
        tasks.retain(|_, task| !task.is_finished());
        tasks.insert(attempt, task);
    }

    fn drop_connection(&self, attempt: AttemptId) {
        let mut tasks = lock(&self.tasks);
        tasks.remove(&attempt);
    }

    /// Sends a prompt to a prefill engine.
    pub(crate) fn prefill(self: &Arc<Self>, command: PrefillCommand) {
        let engines = self.clone();
        let attempt = command.attempt;
        self.spawn_for_attempt(attempt, async move {
            let event = match engines.run_prefill(&command).await {
                Ok(done) => done,
                Err(failure) => EngineEvent::Failed { attempt, failure },
            };
            engines.submit(event);
        });
    }

    async fn run_prefill(&self, command: &PrefillCommand) -> Result<EngineEvent, EngineFailure> {
        let (prompt_fields, span) =
            self.prompt_and_span(command.call, command.delivered_tokens, "prefill")?;
        let request_body = json!({
            "max_tokens": 1,
            "stream": false,
            "priority": command.priority,
            "kv_transfer_params": { "do_remote_decode": true, "do_remote_prefill": false },
        })
        .merged(prompt_fields);
        let request = completion_request(command.address, command.attempt, &request_body, &span);
        let answer = self.send_request(command.address, request).await?;
        let answer_body = http::collect(answer.into_body(), MAX_PREFILL_ANSWER_BYTES).await;
        let answer_body = answer_body.map_err(|_| EngineFailure::Closed)?;
        let answer: PrefillAnswer =
            serde_json::from_slice(&answer_body).map_err(|_| EngineFailure::Malformed)?;
        let details = answer.usage.and_then(|usage| usage.prompt_tokens_details);
        Ok(EngineEvent::PrefillDone {
            attempt: command.attempt,
            transfer: answer.kv_transfer_params.to_string().into(),
            cached_tokens: details.map(|details| details.cached_tokens),
        })
    }

    /// Sends a decode request, on which the engine fetches the KV cache and generates tokens.
    pub(crate) fn decode(self: &Arc<Self>, command: DecodeCommand) {
        let engines = self.clone();
        let attempt = command.attempt;
        self.spawn_for_attempt(attempt, async move {
            if let Err(failure) = engines.run_decode(&command).await {
                engines.submit(EngineEvent::Failed { attempt, failure });
            }
        });
    }

    async fn run_decode(&self, command: &DecodeCommand) -> Result<(), EngineFailure> {
        let (prompt_fields, span) =
            self.prompt_and_span(command.call, command.delivered_tokens, "decode")?;
        let transfer: Value =
            serde_json::from_str(&command.transfer).map_err(|_| EngineFailure::Malformed)?;
        let request_body = json!({
            "max_tokens": command.max_output_tokens,
            "stream": true,
            "priority": command.priority,
            "kv_transfer_params": transfer,
        })
        .merged(prompt_fields);
        let request = completion_request(command.address, command.attempt, &request_body, &span);
        let answer = self.send_request(command.address, request).await?;
        self.read_tokens(command.attempt, 0, answer.into_body())
            .await
    }

    /// Reads an attempt's tokens from `from_index` on over a new connection, after no data arrived on the old one.
    pub(crate) fn reconnect(
        self: &Arc<Self>,
        attempt: AttemptId,
        address: SocketAddr,
        from_index: u32,
    ) {
        let engines = self.clone();
        self.spawn_for_attempt(attempt, async move {
            let reconnected = engines.run_reconnect(attempt, address, from_index).await;
            if let Err(failure) = reconnected {
                engines.submit(EngineEvent::Failed { attempt, failure });
            }
        });
    }

    async fn run_reconnect(
        &self,
        attempt: AttemptId,
        address: SocketAddr,
        from_index: u32,
    ) -> Result<(), EngineFailure> {
        let path = format!("/v1/requests/{attempt}/stream?from={from_index}");
        let request = request_without_body(Method::GET, address, &path);
        let answer = self.send_request(address, request).await?;
        self.read_tokens(attempt, from_index, answer.into_body())
            .await
    }

    async fn read_tokens(
        &self,
        attempt: AttemptId,
        from_index: u32,
        body: Incoming,
    ) -> Result<(), EngineFailure> {
        let mut reader = TokenStreamReader::new(body, &attempt.to_string());
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

    /// Returns a JSON object with model and prompt, and starts a span with the name `step`.
    ///
    /// If tokens were delivered already, their text is appended to the prompt.
    fn prompt_and_span(
        &self,
        call: CallId,
        delivered_tokens: u32,
        step: &'static str,
    ) -> Result<(Value, Span), EngineFailure> {
        let (request, delivered_text) = self
            .calls
            .request_and_delivered_text(call)
            .ok_or(EngineFailure::Closed)?;
        let CallRequest::Completion {
            model,
            prompt,
            traceparent,
        } = request
        else {
            return Err(EngineFailure::Malformed);
        };
        let prompt = if delivered_tokens > 0 {
            format!("{prompt}{delivered_text}")
        } else {
            prompt.to_string()
        };
        Ok((
            json!({ "model": model, "prompt": prompt }),
            child_span(step, traceparent.as_deref()),
        ))
    }

    /// Sends a request to generate or stream tokens, and maps error statuses to an [`EngineFailure`].
    async fn send_request(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, EngineFailure> {
        let outgoing = OutgoingRequest {
            address,
            request,
            connect_timeout: CONNECT_TIMEOUT,
            answer_timeout: ANSWER_TIMEOUT,
        };
        let answer = http::send(&self.executor, outgoing)
            .await
            .map_err(|error| match error {
                ClientError::Connect | ClientError::Refused => EngineFailure::Unreachable,
                _ => EngineFailure::Closed,
            })?;
        match answer.status().as_u16() {
            200 => Ok(answer),
            TRANSFER_LOST_STATUS => Err(EngineFailure::TransferLost),
            status => Err(EngineFailure::Rejected { status }),
        }
    }
}

/// Extension of JSON values that adds the members of another object.
trait MergeJson {
    fn merged(self, other: Value) -> Value;
}

impl MergeJson for Value {
    fn merged(mut self, other: Value) -> Value {
        if let (Some(object), Value::Object(other)) = (self.as_object_mut(), other) {
            object.extend(other);
        }
        self
    }
}

/// Starts a span as a child of `traceparent`; without a valid one, the span is not recorded.
pub(crate) fn child_span(name: &'static str, traceparent: Option<&str>) -> Span {
    match traceparent.and_then(SpanContext::decode_w3c_traceparent) {
        Some(parent) => Span::start_child(name, parent),
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
    // Building does not fail: path and header values are valid.
    let request = builder.body(Full::new(Bytes::from(body.to_string())));
    request.unwrap_or_default()
}

fn request_without_body(method: Method, address: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    // Building does not fail: path and header values are valid.
    builder.body(Full::new(Bytes::new())).unwrap_or_default()
}
