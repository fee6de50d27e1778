//! Parser of the server-sent events of an engine's token stream.

use arbutusfall_core::EngineFailure;
use arbutusfall_wire::Name;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

/// Largest number of buffered bytes of events that are not parsed yet.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Data of the event that ends a stream.
const END_OF_STREAM: &str = "[DONE]";

#[derive(Deserialize)]
struct Chunk {
    /// Contains the attempt id, possibly with a prefix and a suffix; engines may omit it.
    id: Option<Name>,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Name,
}

/// Reads the tokens of a stream from a response body.
#[derive(Debug)]
pub(crate) struct TokenStreamReader {
    body: Incoming,
    buffer: Vec<u8>,
    done: bool,
    /// Id of the attempt, sent as `x-request-id`.
    attempt_id: Name,
}

impl TokenStreamReader {
    /// Creates a reader of the response to an attempt.
    pub(crate) fn new(body: Incoming, attempt_id: &str) -> Self {
        Self {
            attempt_id: attempt_id.into(),
            body,
            buffer: Vec::new(),
            done: false,
        }
    }

    /// Returns the texts of the next tokens, or `None` at the end of the stream.
    pub(crate) async fn next_tokens(&mut self) -> Result<Option<Vec<Name>>, EngineFailure> {
        loop {
            let texts = self.drain_events()?;
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
            if self.buffer.len() > MAX_BUFFERED_BYTES {
                return Err(EngineFailure::Malformed);
            }
        }
    }

    /// Removes all complete events from the buffer and returns their texts.
    fn drain_events(&mut self) -> Result<Vec<Name>, EngineFailure> {
        let mut texts = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = std::str::from_utf8(&event).map_err(|_| EngineFailure::Malformed)?;
            let Some(data) = event.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == END_OF_STREAM {
                self.done = true;
                break;
            }
            let chunk: Chunk = serde_json::from_str(data).map_err(|_| EngineFailure::Malformed)?;
            let id = chunk.id.as_deref();
            if id.is_some_and(|id| !id.contains(&*self.attempt_id)) {
                // These tokens belong to another attempt.
                return Err(EngineFailure::Malformed);
            }
            let choice_texts = chunk.choices.into_iter().map(|choice| choice.text);
            texts.extend(choice_texts.filter(|text| !text.is_empty()));
        }
        Ok(texts)
    }
}
