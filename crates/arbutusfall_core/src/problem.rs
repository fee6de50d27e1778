//! Answers to callers whose requests are not served (problem details, RFC 9457).

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Reason for which a request is not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of problem.
    pub kind: ProblemKind,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

/// Kinds of problems; each has its own type URI, status and title.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// The request is not well formed.
    Malformed,
    /// The request has no key of a known account.
    Unauthorized,
    /// No route serves the path.
    NoRoute,
    /// The model is not configured.
    NoModel,
    /// The header section is too long.
    HeadersTooLarge,
    /// The body is too long.
    BodyTooLarge,
    /// The request did not arrive in time.
    ReceiveTimeout,
    /// The prompt is longer than the model allows.
    PromptTooLong,
    /// The prompt has a part that crashes engines; it was not run.
    CrashingPrompt,
    /// The request crashes the endpoints that run it; it was not run.
    CrashingRequest,
    /// A non-idempotent request has no usable idempotency key.
    KeyInvalid,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The account's limits are used up.
    AccountLimited,
    /// The request would miss its latency target; it was not run.
    Overloaded,
    /// The VM is draining or not ready; the request was not run.
    Unavailable,
    /// The request was not run and will not be unless the caller sends it again.
    NotRun,
    /// The service may have executed the request.
    OutcomeUnknown,
    /// The engines or the service failed.
    UpstreamFailed,
    /// The answer was not complete in time.
    AnswerTimeout,
}

impl ProblemKind {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed | Self::KeyInvalid | Self::CrashingPrompt | Self::CrashingRequest => {
                400
            }
            Self::Unauthorized => 401,
            Self::NoRoute | Self::NoModel => 404,
            Self::ReceiveTimeout => 408,
            Self::BodyTooLarge | Self::PromptTooLong => 413,
            Self::KeyReused => 422,
            Self::AccountLimited | Self::Overloaded => 429,
            Self::HeadersTooLarge => 431,
            Self::UpstreamFailed => 502,
            Self::Unavailable | Self::NotRun => 503,
            Self::OutcomeUnknown | Self::AnswerTimeout => 504,
        }
    }

    /// Returns the last part of the type URI.
    pub fn slug(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorized => "unauthorized",
            Self::NoRoute => "no-route",
            Self::NoModel => "no-model",
            Self::HeadersTooLarge => "headers-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::ReceiveTimeout => "receive-timeout",
            Self::PromptTooLong => "prompt-too-long",
            Self::CrashingPrompt => "crashing-prompt",
            Self::CrashingRequest => "crashing-request",
            Self::KeyInvalid => "key-invalid",
            Self::KeyReused => "key-reused",
            Self::AccountLimited => "account-limited",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::NotRun => "not-run",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::UpstreamFailed => "upstream-failed",
            Self::AnswerTimeout => "answer-timeout",
        }
    }

    /// Returns a short human-readable description.
    pub fn title(self) -> &'static str {
        match self {
            Self::Malformed => "The request is not well formed",
            Self::Unauthorized => "No known account's key was sent",
            Self::NoRoute => "No route serves this path and method",
            Self::NoModel => "The model is not configured",
            Self::HeadersTooLarge => "The header section is too long",
            Self::BodyTooLarge => "The body is too long",
            Self::ReceiveTimeout => "The request did not arrive in time",
            Self::PromptTooLong => "The prompt is longer than the model allows",
            Self::CrashingPrompt => {
                "A part of the prompt crashes the engines; do not send it again"
            }
            Self::CrashingRequest => {
                "The request crashes the endpoints that run it; do not send it again"
            }
            Self::KeyInvalid => "The Idempotency-Key header must hold a recent UUID of version 7",
            Self::KeyReused => "The Idempotency-Key was used for a request for something else",
            Self::AccountLimited => "The account's limits are used up",
            Self::Overloaded => "The request would be late and was not run",
            Self::Unavailable => "This VM takes no requests; this attempt was not run",
            Self::NotRun => "The request was not run and will not be unless it is sent again",
            Self::OutcomeUnknown => "The request may have been executed; ask the service",
            Self::UpstreamFailed => "The request failed at its endpoints",
            Self::AnswerTimeout => "The answer was not complete in time",
        }
    }
}

impl Problem {
    /// Creates a problem that a retry does not solve.
    pub fn new(kind: ProblemKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Creates a problem for which a retry may succeed after the given time.
    pub fn retry(kind: ProblemKind, after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(after),
        }
    }
}
