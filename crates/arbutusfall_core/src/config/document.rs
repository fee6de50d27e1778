//! Strict parsing of JSON documents: a duplicate name is an error instead of overriding the earlier entry.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeSeed;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_json::Map;
use serde_json::Value;

/// Syntax error or duplicate name in a JSON document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseDocumentError {
    /// Location in the document, as a dotted path.
    pub path: String,
    /// What is wrong, with line and column.
    pub found: String,
}

impl fmt::Display for ParseDocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.found)
    }
}

impl std::error::Error for ParseDocumentError {}

/// Parses a JSON document.
///
/// # Errors
///
/// Fails at the first syntax error or duplicate name.
pub fn parse_document(text: &str) -> Result<Value, ParseDocumentError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let strict: StrictValue =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            ParseDocumentError {
                path: error.path().to_string(),
                found: error.inner().to_string(),
            }
        })?;
    deserializer.end().map_err(|error| ParseDocumentError {
        path: ".".to_owned(),
        found: error.to_string(),
    })?;
    Ok(strict.0)
}

/// A JSON value in which no object has a duplicate name.
struct StrictValue(Value);

impl<'de> Deserialize<'de> for StrictValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(StrictVisitor).map(StrictValue)
    }
}

struct StrictVisitor;

impl<'de> DeserializeSeed<'de> for StrictVisitor {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(StrictValue(value)) = items.next_element()? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(name) = entries.next_key::<String>()? {
            let StrictValue(value) = entries.next_value()?;
            if object.contains_key(&name) {
                return Err(A::Error::custom(format_args!("duplicate name `{name}`")));
            }
            object.insert(name, value);
        }
        Ok(Value::Object(object))
    }
}
