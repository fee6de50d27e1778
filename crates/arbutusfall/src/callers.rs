//! HTTP interface for callers: completions, optionally as server-sent events, and calls of plain services.

mod answer;
mod parse;

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::CompletionRequest;
use arbutusfall_core::Event;
use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::ServiceCall;
use arbutusfall_core::config::SiteConfig;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use arbutusfall_wire::piece_hashes;
use async_channel::Receiver;
use async_channel::Sender;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;

use crate::call_table::AnswerPart;
use crate::call_table::CallRequest;
use crate::call_table::CallTable;
use crate::driver::Input;
use crate::engines::child_span;
use crate::http::AnswerBody;
use crate::http::ReadBodyError;
use crate::http::RequestHandler;
use crate::http::ServerLimits;
use crate::http::problem_answer;
use crate::http::read_request_body;
use crate::telemetry::Telemetry;
use crate::trace::Span;
use crate::trace::SpanContext;

use answer::collect_completion;
use answer::service_answer;
use answer::stream_completion;
use parse::CompletionBody;

/// Counter of requests with complete headers.
const REQUESTS: &str = "callers.requests";

/// Path of completions.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// `retry-after` of the refusal while no configuration is in force.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Configuration in force, with an index of the accounts.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    site: Arc<SiteConfig>,
    /// Account name by the hexadecimal SHA-256 digest of its key.
    account_by_key_sha256: FastMap<Name, Name>,
}

impl ActiveConfig {
    pub(crate) fn new(site: Arc<SiteConfig>) -> Self {
        let accounts = site.accounts.iter();
        let account_by_key_sha256 = accounts
            .map(|(name, account)| (account.key_sha256.clone(), name.clone()))
            .collect();
        Self {
            site,
            account_by_key_sha256,
        }
    }
}

/// Answers callers' requests through the reducer.
#[derive(Debug)]
pub(crate) struct CallerServer {
    pub(crate) calls: Arc<CallTable>,
    pub(crate) input_sender: Sender<Input>,
    pub(crate) config: RwLock<Option<Arc<ActiveConfig>>>,
    pub(crate) telemetry: Arc<Telemetry>,
}

/// Closes the call when dropped. If the answer was not complete, reports to the reducer that the caller disconnected.
#[derive(Debug)]
struct CallGuard {
    callers: Arc<CallerServer>,
    call: CallId,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.callers.calls.close(self.call) {
            self.callers.submit(Event::CallerGone { call: self.call });
        }
    }
}

impl RequestHandler for CallerServer {
    fn limits(&self) -> ServerLimits {
        let Some(config) = self.config() else {
            return ServerLimits::default();
        };
        let limits = &config.site.limits;
        ServerLimits {
            max_header_bytes: limits.max_header_bytes as usize,
            header_timeout: Duration::from_millis(limits.receive_timeout_ms),
            max_connections: limits.max_connections as usize,
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let telemetry = self.telemetry.clone();
        telemetry.count(REQUESTS, 1);
        match self.try_handle(request).await {
            Ok(answer) => answer,
            Err(problem) => {
                telemetry.count(problem_counter(problem.kind), 1);
                problem_answer(&problem)
            }
        }
    }

    fn on_refused(&self, kind: ProblemKind) {
        self.telemetry.count(problem_counter(kind), 1);
    }
}

impl CallerServer {
    fn submit(&self, event: Event) {
        // Fails only while the process exits.
        let _ = self.input_sender.try_send(Input::Event(event));
    }

    pub(crate) fn set_config(&self, site: Arc<SiteConfig>) {
        let config = Arc::new(ActiveConfig::new(site));
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = Some(config);
    }

    fn config(&self) -> Option<Arc<ActiveConfig>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn try_handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Problem> {
        let not_ready = Problem::retry(ProblemKind::Unavailable, NOT_READY_RETRY_AFTER);
        let config = self.config().ok_or(not_ready)?;
        let account = authenticate(&config, request.headers())?;
        let limits = &config.site.limits;
        if parse::header_bytes(request.headers()) > limits.max_header_bytes as usize {
            return Err(Problem::new(ProblemKind::HeadersTooLarge));
        }
        let (parts, body) = request.into_parts();
        let timeout = Duration::from_millis(limits.receive_timeout_ms);
        let body = read_request_body(body, limits.max_body_bytes as usize, timeout);
        let body = body.await.map_err(ReadBodyError::problem)?;
        let span = request_span(&parts.headers, parts.uri.path());
        if parts.uri.path() == COMPLETIONS_PATH && parts.method == hyper::Method::POST {
            return self.complete(&config, account, &body, span).await;
        }
        self.call_service(account, parts, body, span).await
    }

    async fn complete(
        self: Arc<Self>,
        config: &ActiveConfig,
        account: Name,
        body: &Bytes,
        span: Span,
    ) -> Result<Response<AnswerBody>, Problem> {
        let body = CompletionBody::parse(body)?;
        let model = config.site.models.get(&body.model);
        let model = model.ok_or_else(|| Problem::new(ProblemKind::NoModel))?;
        let prompt_tokens = parse::estimated_tokens(&body.prompt, model);
        let piece_hashes =
            piece_hashes(body.prompt.as_bytes(), parse::estimated_piece_bytes(model));
        let traceparent = traceparent_of(&span);
        let stream = body.stream;
        let (call, replies) = self.calls.open(CallRequest::Completion {
            model: body.model.clone(),
            prompt: body.prompt,
            traceparent: traceparent.clone(),
        });
        let guard = CallGuard {
            callers: self.clone(),
            call,
        };
        self.submit(Event::Completion(CompletionRequest {
            call,
            account,
            model: body.model.clone(),
            prompt_tokens,
            piece_hashes,
            max_output_tokens: body.max_tokens,
            traceparent,
        }));
        let first = first_reply(&replies).await?;
        if stream {
            return Ok(stream_completion(
                &self,
                guard,
                first,
                replies,
                &body.model,
                span,
            ));
        }
        collect_completion(guard, first, replies, &body.model).await
    }

    async fn call_service(
        self: Arc<Self>,
        account: Name,
        parts: hyper::http::request::Parts,
        body: Bytes,
        span: Span,
    ) -> Result<Response<AnswerBody>, Problem> {
        let headers = &parts.headers;
        let malformed = ProblemKind::Malformed;
        let key = parse::single_header(headers, "idempotency-key", ProblemKind::KeyInvalid)?;
        let attempt = parse::single_header(headers, "arbutusfall-attempt", malformed)?;
        let attempt = attempt.map(|text| text.parse()).transpose();
        let attempt = attempt.map_err(|_| Problem::new(malformed))?;
        let traceparent = traceparent_of(&span);
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let service_call = ServiceCall {
            // Replaced by the id of the open call below.
            call: CallId(0),
            fingerprint: parse::fingerprint(&account, &parts.method, target, &body),
            account,
            method: parts.method.as_str().into(),
            path: parts.uri.path().into(),
            idempotency_key: key,
            attempt,
            traceparent: traceparent.clone(),
        };
        let claim_span = service_call
            .idempotency_key
            .as_ref()
            .map(|_| child_span("claim", traceparent.as_deref()));
        let (call, replies) = self.calls.open(CallRequest::Service {
            method: parts.method.clone(),
            target: target.into(),
            headers: parse::forwarded_request_headers(&parts.headers),
            body,
            traceparent,
        });
        let _guard = CallGuard {
            callers: self.clone(),
            call,
        };
        if let Some(span) = claim_span {
            self.calls.set_claim_span(call, span);
        }
        self.submit(Event::ServiceCall(ServiceCall {
            call,
            ..service_call
        }));
        let first = first_reply(&replies).await?;
        self.calls.close(call);
        match first {
            AnswerPart::Answer(answer) => Ok(service_answer(&answer)),
            AnswerPart::Problem(problem) => Err(problem),
            // Not expected: only completions are answered with tokens.
            AnswerPart::Tokens(_) | AnswerPart::Finished { .. } => {
                Err(Problem::new(ProblemKind::UpstreamFailed))
            }
        }
    }
}

async fn first_reply(replies: &Receiver<AnswerPart>) -> Result<AnswerPart, Problem> {
    let closed = || Problem::new(ProblemKind::UpstreamFailed);
    replies.recv().await.map_err(|_| closed())
}

fn authenticate(config: &ActiveConfig, headers: &HeaderMap) -> Result<Name, Problem> {
    let unauthorized = || Problem::new(ProblemKind::Unauthorized);
    let name = AUTHORIZATION.as_str();
    let value = parse::single_header(headers, name, ProblemKind::Unauthorized)?;
    let value = value.ok_or_else(unauthorized)?;
    let (scheme, key) = value.split_once(' ').ok_or_else(unauthorized)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(unauthorized());
    }
    let account = config
        .account_by_key_sha256
        .get(parse::sha256_hex(key.trim()).as_str());
    account.cloned().ok_or_else(unauthorized)
}

/// Starts the span of a request, as a child of the caller's span if it sent a valid `traceparent`.
fn request_span(headers: &HeaderMap, path: &str) -> Span {
    let parent = headers
        .get("traceparent")
        .and_then(|value| value.to_str().ok())
        .and_then(SpanContext::decode_w3c_traceparent)
        .unwrap_or_else(SpanContext::new_trace);
    Span::start_child("caller", parent).with_property("path", path.to_owned())
}

/// Returns the name of the counter of problems of this kind.
fn problem_counter(kind: ProblemKind) -> &'static str {
    match kind {
        ProblemKind::Malformed => "callers.problems.malformed",
        ProblemKind::Unauthorized => "callers.problems.unauthorized",
        ProblemKind::NoRoute => "callers.problems.no_route",
        ProblemKind::NoModel => "callers.problems.no_model",
        ProblemKind::HeadersTooLarge => "callers.problems.headers_too_large",
        ProblemKind::BodyTooLarge => "callers.problems.body_too_large",
        ProblemKind::ReceiveTimeout => "callers.problems.receive_timeout",
        ProblemKind::PromptTooLong => "callers.problems.prompt_too_long",
        ProblemKind::CrashingPrompt => "callers.problems.crashing_prompt",
        ProblemKind::CrashingRequest => "callers.problems.crashing_request",
        ProblemKind::KeyInvalid => "callers.problems.key_invalid",
        ProblemKind::KeyReused => "callers.problems.key_reused",
        ProblemKind::AccountLimited => "callers.problems.account_limited",
        ProblemKind::Overloaded => "callers.problems.overloaded",
        ProblemKind::Unavailable => "callers.problems.unavailable",
        ProblemKind::NotRun => "callers.problems.not_run",
        ProblemKind::OutcomeUnknown => "callers.problems.outcome_unknown",
        ProblemKind::UpstreamFailed => "callers.problems.upstream_failed",
        ProblemKind::AnswerTimeout => "callers.problems.answer_timeout",
    }
}

fn traceparent_of(span: &Span) -> Option<Name> {
    SpanContext::from_span(span).map(|context| context.encode_w3c_traceparent().into())
}
