//! `arbutusfall explain`: asks a VM where it would route a request, over HTTP.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::relay::ExplainQuery;
use arbutusfall_core::relay::Explanation;
use arbutusfall_platform::callers;
use arbutusfall_platform::callers::InvalidField;
use arbutusfall_platform::callers::RequestDescription;
use arbutusfall_wire::Name;
use error_stack::Report;
use error_stack::ResultExt;
use hyper::Method;
use hyper::StatusCode;
use hyper::body::Bytes;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde::Serialize;

use crate::Executor;
use crate::http;

/// Path of explanations at the operators' address.
pub(crate) const EXPLAIN_PATH: &str = "/explain";

/// Timeout of the question.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Call of explained requests, which no caller's request has.
const EXPLAINED_CALL: CallId = CallId(u64::MAX);

/// A question about a request, with the parameters of the query in the URL.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExplainQuestion {
    /// Path of a new request.
    pub path: Option<String>,
    /// Its host, needed if several hosts have routes with the path.
    pub host: Option<String>,
    /// Name of the account that sends it.
    pub account: Option<String>,
    /// Value of its header [`callers::PROMPT_PREFIX`].
    pub prompt_prefix: Option<String>,
    /// Value of its header [`callers::TOKEN_COUNTS`].
    pub token_counts: Option<String>,
    /// Value of its header that states the milliseconds for which the caller waits.
    pub deadline_ms: Option<String>,
    /// Id of a request in progress; excludes all others.
    pub request_id: Option<String>,
}

/// JSON document served at `/explain`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainDocument {
    /// Name of the VM.
    pub vm: Name,
    /// Whether its readiness probes succeed; otherwise the platform sends callers to other VMs.
    pub ready: bool,
    /// Time since the store was asked for what the VM knows, by topic.
    pub fact_ages_ms: BTreeMap<String, u64>,
    /// Where the request would be routed, and why.
    #[serde(flatten)]
    pub explanation: Explanation,
}

/// JSON document with which `/explain` answers a question that it can't explain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExplainFailure {
    /// What is wrong with the question.
    pub(crate) error: String,
}

/// Why a question is malformed. Values are not repeated: one may be a key by mistake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum QuestionError {
    /// Neither a path nor the id of a request is stated.
    NothingStated,
    /// The id of a request is stated, and something else too.
    TooMuchStated,
    /// The query has a parameter that there is not.
    UnknownParameter,
    /// A parameter is malformed.
    Malformed(&'static str),
}

impl fmt::Display for QuestionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NothingStated => f.write_str("a path or the id of a request is needed"),
            Self::TooMuchStated => {
                f.write_str("the id of a request excludes everything else that describes one")
            }
            Self::UnknownParameter => f.write_str("the query has an unknown parameter"),
            Self::Malformed(field) => write!(f, "the {} is malformed", field.replace('_', " ")),
        }
    }
}

impl ExplainQuestion {
    /// Returns the field of a parameter; none if there is no such parameter.
    pub(crate) fn field_mut(&mut self, parameter: &str) -> Option<&mut Option<String>> {
        Some(match parameter {
            "path" => &mut self.path,
            "host" => &mut self.host,
            "account" => &mut self.account,
            "prompt_prefix" => &mut self.prompt_prefix,
            "token_counts" => &mut self.token_counts,
            "deadline_ms" => &mut self.deadline_ms,
            "request_id" => &mut self.request_id,
            _ => return None,
        })
    }

    fn fields(&self) -> [(&'static str, Option<&str>); 7] {
        [
            ("path", self.path.as_deref()),
            ("host", self.host.as_deref()),
            ("account", self.account.as_deref()),
            ("prompt_prefix", self.prompt_prefix.as_deref()),
            ("token_counts", self.token_counts.as_deref()),
            ("deadline_ms", self.deadline_ms.as_deref()),
            ("request_id", self.request_id.as_deref()),
        ]
    }

    /// Parses the query of a URL.
    pub(crate) fn from_url_query(query: &str) -> Result<Self, QuestionError> {
        let mut question = Self::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (parameter, value) = pair.split_once('=').unwrap_or((pair, ""));
            let field = question.field_mut(parameter);
            let field = field.ok_or(QuestionError::UnknownParameter)?;
            let value = percent_decode_str(value).decode_utf8();
            let value = value.map_err(|_| QuestionError::UnknownParameter)?;
            *field = Some(value.into_owned());
        }
        Ok(question)
    }

    fn to_url_query(&self) -> String {
        let stated = self.fields().into_iter();
        let stated = stated.filter_map(|(parameter, value)| Some((parameter, value?)));
        let pairs = stated.map(|(parameter, value)| {
            let value = utf8_percent_encode(value, NON_ALPHANUMERIC);
            format!("{parameter}={value}")
        });
        pairs.collect::<Vec<_>>().join("&")
    }

    /// Returns the question in the relay's terms.
    pub(crate) fn to_relay_query(&self) -> Result<ExplainQuery, QuestionError> {
        if let Some(request_id) = &self.request_id {
            let stated = self
                .fields()
                .into_iter()
                .filter(|(_, value)| value.is_some());
            if stated.count() > 1 {
                return Err(QuestionError::TooMuchStated);
            }
            let request_id = request_id.as_str().into();
            return Ok(ExplainQuery::InProgress { request_id });
        }
        let path = self.path.as_deref();
        let description = RequestDescription {
            path: path.ok_or(QuestionError::NothingStated)?,
            host: self.host.as_deref(),
            prompt_prefix: self.prompt_prefix.as_deref(),
            token_counts: self.token_counts.as_deref(),
            deadline_ms: self.deadline_ms.as_deref(),
        };
        let request = callers::described_request(EXPLAINED_CALL, &description);
        let request = request.map_err(|InvalidField(field)| QuestionError::Malformed(field))?;
        Ok(ExplainQuery::Request {
            request: Box::new(request),
            account: self.account.as_deref().map(Name::from),
        })
    }
}

/// Failure to get an explanation from a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchExplanationError {
    /// The VM does not answer.
    NoAnswer {
        /// Operator address of the VM.
        operator_address: SocketAddr,
    },
    /// Whatever answers does not explain requests.
    NotExplained {
        /// Address that was asked.
        operator_address: SocketAddr,
    },
    /// The VM says what is wrong with the question.
    Rejected {
        /// What it says.
        error: String,
    },
}

impl fmt::Display for FetchExplanationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer { operator_address } => {
                write!(f, "cannot get an explanation from {operator_address}")
            }
            Self::NotExplained { operator_address } => write!(
                f,
                "{operator_address} does not explain requests: it is not the operator address of a VM that runs relay, or \
                 the VM is of an older build"
            ),
            Self::Rejected { error } => f.write_str(error),
        }
    }
}

impl std::error::Error for FetchExplanationError {}

/// Asks a VM at its operator address about a request.
///
/// # Errors
///
/// [`FetchExplanationError`] if the VM does not answer with an explanation.
pub async fn fetch_explanation(
    executor: &Executor,
    operator_address: SocketAddr,
    question: &ExplainQuestion,
) -> Result<ExplainDocument, Report<FetchExplanationError>> {
    let request = http::WholeRequest {
        address: operator_address,
        method: Method::GET,
        path: &format!("{EXPLAIN_PATH}?{}", question.to_url_query()),
        body: Bytes::new(),
    };
    let answer = http::request_whole(executor, request, EXPLAIN_TIMEOUT).await;
    let answer = answer.change_context(FetchExplanationError::NoAnswer { operator_address })?;
    let not_explained = || Report::new(FetchExplanationError::NotExplained { operator_address });
    if answer.status == StatusCode::OK {
        return serde_json::from_slice(&answer.body).map_err(|_| not_explained());
    }
    let failure: Result<ExplainFailure, _> = serde_json::from_slice(&answer.body);
    let failure = failure.map_err(|_| not_explained())?;
    Err(Report::new(FetchExplanationError::Rejected {
        error: failure.error,
    }))
}
