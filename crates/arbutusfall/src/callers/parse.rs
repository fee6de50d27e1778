//! Parses callers' requests.

use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Model;
use arbutusfall_wire::Name;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header;
use serde::Deserialize;
use sha2::Digest;
use sha2::Sha256;

/// Body of a completion request, as in the OpenAI API.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionBody {
    /// Name of the requested model.
    pub(crate) model: Name,
    /// Prompt text.
    pub(crate) prompt: Name,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: u32,
    /// Whether tokens are streamed as they are generated.
    #[serde(default)]
    pub(crate) stream: bool,
}

impl CompletionBody {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// [`ProblemKind::Malformed`] if no engine could serve it: invalid JSON, an empty prompt or `max_tokens` of 0.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Problem> {
        let malformed = || Problem::new(ProblemKind::Malformed);
        let body: Self = serde_json::from_slice(body).map_err(|_| malformed())?;
        if body.max_tokens == 0 || body.prompt.is_empty() {
            return Err(malformed());
        }
        Ok(body)
    }
}

/// Returns the value of a header that may occur at most once. Repeated headers are rejected, because any choice among
/// their values could be wrong and run the wrong request.
///
/// # Errors
///
/// A problem of `kind` if the header occurs more than once or is not visible ASCII.
pub(crate) fn single_header(
    headers: &HeaderMap,
    name: &str,
    kind: ProblemKind,
) -> Result<Option<Name>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Problem::new(kind));
    }
    let text = value.to_str().map_err(|_| Problem::new(kind))?;
    Ok(Some(text.into()))
}

/// Returns the total length of header names and values in bytes, without separators.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

fn default_max_tokens() -> u32 {
    16
}

/// Returns the estimated length of a prompt in tokens, from the model's `bytes_per_token`.
pub(crate) fn estimated_tokens(prompt: &str, model: &Model) -> u32 {
    let tokens = prompt.len().div_ceil(model.bytes_per_token.max(1) as usize);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns the estimated number of prompt bytes in one piece, the unit of an engine's prefix cache.
pub(crate) fn estimated_piece_bytes(model: &Model) -> usize {
    model.piece_tokens as usize * model.bytes_per_token as usize
}

/// Returns the SHA-256 digest of a key in lower-case hexadecimal.
pub(crate) fn sha256_hex(key: &str) -> String {
    Sha256::digest(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Returns a hash of a request that is the same for repeats of the request and on every VM.
///
/// The parts are separated by line feeds, which only the body can contain.
pub(crate) fn fingerprint(account: &str, method: &Method, target: &str, body: &[u8]) -> u64 {
    let mut hasher = Sha256::new();
    for part in [account, method.as_str(), target] {
        hasher.update(part);
        hasher.update("\n");
    }
    hasher.update(body);
    let digest = hasher.finalize();
    let bytes = digest.iter().take(size_of::<u64>());
    bytes.fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// Returns the headers to forward to a service: all except `Authorization` and those that are set anew for the
/// service's connection or apply only to the caller's.
pub(crate) fn forwarded_request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in [
        header::AUTHORIZATION,
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        forwarded.remove(name);
    }
    forwarded
}
