//! How the end of a received body is marked.

use arbutusfall_core::relay::BodyFraming;
use hyper::Response;
use hyper::body::Body;
use hyper::header::TRANSFER_ENCODING;

/// Returns how the end of an answer's body is marked.
pub fn body_framing(answer: &Response<impl Body>) -> BodyFraming {
    if answer.body().size_hint().exact().is_some() {
        return BodyFraming::Length;
    }
    let encodings = answer.headers().get_all(TRANSFER_ENCODING);
    let last = encodings.iter().next_back();
    let is_chunked = last
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.trim_end().to_ascii_lowercase().ends_with("chunked"));
    if is_chunked {
        BodyFraming::Chunks
    } else {
        BodyFraming::ConnectionEnd
    }
}
