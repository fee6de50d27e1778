//! Messages by which VMs pass facts of the store on to each other: JSON, so that a VM of another version can pass over fields
//! that it does not know.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::Offset;

/// Longest message that is accepted, in bytes.
pub const MAX_FACTS_BYTES: usize = 16 * 1024 * 1024;

/// Error of decoding a message about facts.
#[derive(Debug)]
pub enum FactsError {
    /// It is longer than [`MAX_FACTS_BYTES`].
    TooLong {
        /// Its length in bytes.
        length_bytes: usize,
    },
    /// It is no message of this kind from this column on. The text there is left out: it may be a configuration with API keys.
    Malformed(usize),
}

impl fmt::Display for FactsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { length_bytes } => {
                write!(f, "a message of {length_bytes} bytes exceeds the limit")
            }
            Self::Malformed(column) => write!(f, "malformed message at column {column}"),
        }
    }
}

impl std::error::Error for FactsError {}

/// A question for what is new in some topics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactsQuestion {
    /// How long the other VM may wait for news, in milliseconds.
    pub wait_ms: u64,
    /// Where the asking VM is in each topic.
    pub positions: Vec<TopicPosition>,
    /// Topics of which all newest records are asked for; older builds pass over it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub newest: Vec<Name>,
}

/// Position in a topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicPosition {
    /// Name of the topic; a VM passes over those that it does not know.
    pub topic: Name,
    /// Offset of the next record.
    pub offset: Offset,
    /// Era of the store in which it was read.
    pub era: Option<u64>,
}

/// What is new in the topics of a question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactsAnswer {
    /// Time from the question's arrival to this answer, in milliseconds.
    pub waited_ms: u64,
    /// News by topic.
    pub topics: Vec<TopicNews>,
    /// All newest records of the topics that were asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub newest: Vec<TopicNewest>,
}

/// All newest records of a topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicNewest {
    /// Position after which further records are read.
    #[serde(flatten)]
    pub position: TopicPosition,
    /// Time since the store was asked for this, in milliseconds.
    pub age_ms: u64,
    /// Records, in any order.
    pub records: Vec<NewestRecord>,
}

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestRecord {
    /// Its key.
    pub key: Name,
    /// Its content as text.
    pub value: String,
}

/// What is new in a topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicNews {
    /// Position of the question.
    #[serde(flatten)]
    pub from: TopicPosition,
    /// Offset of the next question.
    pub next: Offset,
    /// Time since the store was asked for this, in milliseconds.
    pub age_ms: u64,
    /// Records in order; of each key, the newest one only.
    pub records: Vec<PassedRecord>,
    /// Whether there is more than is passed on: the asking VM reads it from the store.
    #[serde(default)]
    pub is_in_store: bool,
    /// Whether this is the first part of the news only: the asking VM asks again from `next` on. [`Self::age_ms`] is
    /// [`UNKNOWN_AGE_MS`] then.
    #[serde(default, skip_serializing_if = "is_false")]
    pub has_more: bool,
}

/// Age of news of which only a part is passed on: older builds, which don't know parts, then read the store.
pub const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// A record of a topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedRecord {
    /// Its offset in the topic.
    pub offset: Offset,
    /// Its key.
    pub key: Name,
    /// Its content, a text; none deletes the key.
    pub value: Option<String>,
}

/// Encodes a message.
pub fn encode_facts(message: &impl Serialize) -> Vec<u8> {
    // Never fails: the messages have only texts and numbers.
    serde_json::to_vec(message).unwrap_or_default()
}

/// Decodes a message.
///
/// # Errors
///
/// Any [`FactsError`]; the bytes are untrusted input.
pub fn decode_facts<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FactsError> {
    if bytes.len() > MAX_FACTS_BYTES {
        let length_bytes = bytes.len();
        return Err(FactsError::TooLong { length_bytes });
    }
    serde_json::from_slice(bytes).map_err(|error| FactsError::Malformed(error.column()))
}

fn is_false(value: &bool) -> bool {
    !value
}
