//! HTTP client of a VM: requests completions, makes plain calls, and detects incomplete streams.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbutusfall::Executor;
use arbutusfall::http;
use arbutusfall::http::ClientError;
use arbutusfall::http::OutgoingRequest;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::HOST;
use hyper::header::RETRY_AFTER;
use serde_json::Value;
use serde_json::json;

use crate::engine::generated_length;
use crate::engine::prompt_seed;
use crate::engine::token_text;

/// Timeout for each of connecting, receiving the response headers, and reading a JSON body.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Error of a request without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerError {
    /// The HTTP exchange failed.
    Exchange(ClientError),
    /// The stream ended before its last event.
    IncompleteStream,
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exchange(error) => write!(f, "{error}"),
            Self::IncompleteStream => f.write_str("the stream ended before its last event"),
        }
    }
}

impl std::error::Error for CallerError {}

/// An answer to a completion request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// HTTP status.
    pub status: u16,
    /// Generated text.
    pub text: String,
    /// Time from sending the request to the arrival of each token.
    pub token_times: Vec<Duration>,
    /// Problem document, if the status is not 200 or the stream ended with an error event.
    pub problem: Option<Value>,
    /// Value of the `Retry-After` header, if any.
    pub retry_after: Option<Duration>,
    /// Number of earlier attempts that were refused with a `Retry-After`; always 0 from [`Caller::complete`].
    pub retries: u32,
}

/// An answer to a plain call.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// JSON body; null if it is not valid JSON.
    pub body: Value,
}

/// Returns the text that the stand-in engines generate for a prompt.
pub fn expected_text(prompt: &str, max_tokens: usize) -> String {
    let seed = prompt_seed(prompt);
    (0..generated_length(seed, max_tokens))
        .map(|index| token_text(seed, index))
        .collect()
}

/// A caller, identified by the key of its client account.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Executor that drives its connections.
    pub executor: Arc<Executor>,
    /// API key of the client account, sent as a bearer token.
    pub key: String,
}

/// Maximum number of retries after refusals.
const MAX_RETRIES: u32 = 5;

impl Caller {
    /// Requests a completion, and retries it after the time given by `Retry-After`, up to `MAX_RETRIES` times.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the exchange fails or the stream ends early.
    pub async fn complete_with_retries(
        &self,
        vm: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: usize,
        traceparent: Option<&str>,
    ) -> Result<Completion, CallerError> {
        let mut retries = 0;
        loop {
            let attempt = self.complete(vm, model, prompt, max_tokens, traceparent);
            let completion = attempt.await?;
            let Some(after) = completion.retry_after.filter(|_| retries < MAX_RETRIES) else {
                return Ok(Completion {
                    retries,
                    ..completion
                });
            };
            async_io::Timer::after(after).await;
            retries += 1;
        }
    }

    /// Requests a completion and reads its stream to the end.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the exchange fails or the stream ends early.
    pub async fn complete(
        &self,
        vm: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: usize,
        traceparent: Option<&str>,
    ) -> Result<Completion, CallerError> {
        let started = Instant::now();
        let body = json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
        });
        let mut headers = vec![];
        headers.extend(traceparent.map(|traceparent| ("traceparent", traceparent)));
        let body = body.to_string().into();
        let answer = self
            .send(vm, Method::POST, "/v1/completions", &headers, body)
            .await?;
        let mut completion = Completion {
            status: answer.status().as_u16(),
            text: String::new(),
            token_times: Vec::new(),
            problem: None,
            retry_after: retry_after(&answer),
            retries: 0,
        };
        if completion.status == 200 {
            read_stream(answer.into_body(), started, &mut completion).await?;
        } else {
            completion.problem = Some(read_json(answer.into_body()).await?);
        }
        Ok(completion)
    }

    /// Makes a call to a plain service through a VM, with an empty JSON object as the body.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the exchange fails.
    pub async fn call(
        &self,
        vm: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<PlainAnswer, CallerError> {
        let answer = self
            .send(vm, method, path, headers, Bytes::from_static(b"{}"))
            .await?;
        let status = answer.status().as_u16();
        Ok(PlainAnswer {
            status,
            body: read_json(answer.into_body()).await?,
        })
    }

    async fn send(
        &self,
        vm: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, CallerError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, vm.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let malformed = |_| CallerError::Exchange(ClientError::Malformed);
        let request = builder.body(Full::new(body)).map_err(malformed)?;
        let exchange = OutgoingRequest {
            address: vm,
            request,
            connect_timeout: STEP_TIMEOUT,
            answer_timeout: STEP_TIMEOUT,
        };
        http::send(&self.executor, exchange)
            .await
            .map_err(CallerError::Exchange)
    }
}

fn retry_after(answer: &Response<Incoming>) -> Option<Duration> {
    let seconds = answer
        .headers()
        .get(RETRY_AFTER)?
        .to_str()
        .ok()?
        .parse()
        .ok()?;
    Some(Duration::from_secs(seconds))
}

async fn read_json(body: Incoming) -> Result<Value, CallerError> {
    let body = http::read_control_body(body, STEP_TIMEOUT, MAX_ANSWER_BYTES)
        .await
        .map_err(CallerError::Exchange)?;
    Ok(serde_json::from_slice(&body).unwrap_or_default())
}

async fn read_stream(
    mut body: Incoming,
    started: Instant,
    completion: &mut Completion,
) -> Result<(), CallerError> {
    let mut buffer = String::new();
    loop {
        let frame = body.frame().await.ok_or(CallerError::IncompleteStream)?;
        let frame = frame.map_err(|_| CallerError::IncompleteStream)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, rest)) = buffer.split_once("\n\n") {
            let data = event.strip_prefix("data: ").unwrap_or_default();
            if data == "[DONE]" {
                return Ok(());
            }
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            if event["error"].is_object() {
                completion.problem = Some(event["error"].clone());
                return Ok(());
            }
            let text = event["choices"][0]["text"].as_str().unwrap_or_default();
            if !text.is_empty() {
                completion.text.push_str(text);
                completion.token_times.push(started.elapsed());
            }
            buffer = rest.to_owned();
        }
    }
}
