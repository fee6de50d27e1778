//! Reading of callers' requests.

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
    /// Model that is asked for.
    pub(crate) model: Name,
    /// Prompt text.
    pub(crate) prompt: Name,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: u32,
    /// Whether tokens are sent as they come.
    #[serde(default)]
    pub(crate) stream: bool,
}

impl CompletionBody {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// [`ProblemKind::Malformed`] if it is not a request that an engine could serve.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Problem> {
        let malformed = || Problem::new(ProblemKind::Malformed);
        let body: Self = serde_json::from_slice(body).map_err(|_| malformed())?;
        if body.max_tokens == 0 || body.prompt.is_empty() {
            return Err(malformed());
        }
        Ok(body)
    }
}

/// The only value of a header, if it is sent.
///
/// # Errors
///
/// `kind` if it is sent more than once or is not text: guessing which one counts could run the wrong request.
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

/// Length of a header section in bytes, without its line ends.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

fn default_max_tokens() -> u32 {
    16
}

/// Estimated length of a prompt in tokens.
pub(crate) fn token_count(prompt: &str, model: &Model) -> u32 {
    let tokens = prompt.len().div_ceil(model.bytes_per_token.max(1) as usize);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Bytes of one piece of an engine's prefix cache.
pub(crate) fn piece_bytes(model: &Model) -> usize {
    model.piece_tokens as usize * model.bytes_per_token as usize
}

/// SHA-256 of a key in lower-case hexadecimal.
pub(crate) fn sha256_hex(key: &str) -> String {
    Sha256::digest(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Hash of what a caller asks for: equal for repeats, on every VM.
///
/// The parts are joined by line feeds, which only the body can hold.
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

/// Headers that a service may see: those of the request, without those of the connection.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
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
