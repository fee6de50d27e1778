//! Server-sent events of an engine's token stream.

use arbutusfall_core::EngineFailure;
use arbutusfall_wire::Name;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

/// Longest event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Data of the last event.
const DONE: &str = "[DONE]";

#[derive(Deserialize)]
struct Chunk {
    /// Names the request, possibly with a prefix and a suffix; engines may leave it out.
    id: Option<Name>,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Name,
}

/// Reads the tokens of a stream.
#[derive(Debug)]
pub(crate) struct EventReader {
    body: Incoming,
    buffer: Vec<u8>,
    done: bool,
    /// Id under which the request was sent.
    request_id: Name,
}

impl EventReader {
    /// Reads the answer to the request that was sent under an id.
    pub(crate) fn new(body: Incoming, request_id: &str) -> Self {
        Self {
            request_id: request_id.into(),
            body,
            buffer: Vec::new(),
            done: false,
        }
    }

    /// Texts of the next tokens; none at the end of the stream.
    pub(crate) async fn next_tokens(&mut self) -> Result<Option<Vec<Name>>, EngineFailure> {
        loop {
            let texts = self.take_buffered()?;
            if !texts.is_empty() {
                return Ok(Some(texts));
            }
            if self.done {
                return Ok(None);
            }
            let frame = self.body.frame().await.ok_or(EngineFailure::Closed)?;
            let frame = frame.map_err(|_| EngineFailure::Closed)?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EngineFailure::Malformed);
            }
        }
    }

    /// Takes all whole events out of the buffer.
    fn take_buffered(&mut self) -> Result<Vec<Name>, EngineFailure> {
        let mut texts = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = std::str::from_utf8(&event).map_err(|_| EngineFailure::Malformed)?;
            let Some(data) = event.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == DONE {
                self.done = true;
                break;
            }
            let chunk: Chunk = serde_json::from_str(data).map_err(|_| EngineFailure::Malformed)?;
            let id = chunk.id.as_deref();
            if id.is_some_and(|id| !id.contains(&*self.request_id)) {
                // These tokens are another request's answer.
                return Err(EngineFailure::Malformed);
            }
            let chosen = chunk.choices.into_iter().map(|choice| choice.text);
            texts.extend(chosen.filter(|text| !text.is_empty()));
        }
        Ok(texts)
    }
}
