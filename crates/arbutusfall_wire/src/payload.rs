//! Bodies of answers, stored as bytes and readable in JSON if they are text.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Immutable body of an answer.
///
/// In JSON, a UTF-8 body is a string and any other body is an array of numbers; peer messages carry the raw bytes.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Payload(Arc<[u8]>);

/// JSON form of a [`Payload`].
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum JsonPayload {
    Text(String),
    Bytes(Vec<u8>),
}

impl Payload {
    /// Returns the bytes of the body.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<&[u8]> for Payload {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl From<&str> for Payload {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().into())
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({:?})", String::from_utf8_lossy(&self.0))
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return serializer.serialize_bytes(&self.0);
        }
        match std::str::from_utf8(&self.0) {
            Ok(text) => serializer.serialize_str(text),
            Err(_) => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return Ok(Vec::<u8>::deserialize(deserializer)?.into());
        }
        Ok(match JsonPayload::deserialize(deserializer)? {
            JsonPayload::Text(text) => text.into_bytes().into(),
            JsonPayload::Bytes(bytes) => bytes.into(),
        })
    }
}
