//! Records that live on the platform's log.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::IdempotencyKey;
use crate::Name;
use crate::Offset;
use crate::Payload;
use crate::RequestId;

/// A record of a claim partition's stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimRecord {
    /// The named request asks to be the one that executes the key. The first in log order wins.
    Claim {
        /// Key that the caller chose.
        key: IdempotencyKey,
        /// VM by which the request entered.
        vm: Name,
        /// The request that may execute the key if this claim wins.
        request: RequestId,
        /// Hash of what the caller asks for, by which another use of the same key is told from a repeat.
        fingerprint: u64,
    },
    /// What became of the key; written by the claim's winner only.
    Outcome {
        /// Key that was claimed.
        key: IdempotencyKey,
        /// The request that held the claim.
        request: RequestId,
        /// What a repeat of the key is answered.
        outcome: Outcome,
    },
}

impl ClaimRecord {
    /// Key that the record is about.
    pub fn key(&self) -> IdempotencyKey {
        match self {
            Self::Claim { key, .. } | Self::Outcome { key, .. } => *key,
        }
    }
}

/// What became of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Outcome {
    /// The service answered.
    Answered {
        /// HTTP status of the service's answer.
        status: u16,
        /// Value of its `content-type` header, empty when absent.
        content_type: Name,
        /// Body of the answer.
        body: Payload,
    },
    /// No execution of the key was started and none will be.
    NotRun,
    /// The service may have executed the request; only the service can tell.
    Unknown,
}

/// A configuration document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// What all sites share.
    Base,
    /// What one site changes in the base.
    Overlay(Name),
}

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigRecord {
    /// An operator's edit of one document.
    Publish {
        /// Chosen by the operator's tool; a repeat of the same id is the same publication.
        publish_id: Uuid,
        /// Document that is replaced.
        document: Document,
        /// Revision from which the edit was made; none for a document's first publication.
        parent: Option<Offset>,
        /// The new document.
        content: serde_json::Value,
    },
    /// The folded state up to an offset, appended again before retention removes its records.
    Snapshot {
        /// Records at or before this offset are covered.
        through: Offset,
        /// Documents in force, each with its revision.
        documents: Vec<RevisedDocument>,
        /// Publications that were decided lately, so that a repeat gets the same answer.
        decided: Vec<DecidedPublication>,
    },
}

/// A document and the revision that put it in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevisedDocument {
    /// Which document.
    pub document: Document,
    /// Offset of the record that put it in force.
    pub revision: Offset,
    /// Its content.
    pub content: serde_json::Value,
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecidedPublication {
    /// Id that the operator's tool chose.
    pub publish_id: Uuid,
    /// Offset of the record that was decided.
    pub offset: Offset,
    /// Why it was rejected; none if it was accepted.
    pub rejection: Option<Rejection>,
}

/// Why a publication was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Rejection {
    /// Another edit came first: the parent is no longer in force.
    StaleParent {
        /// Revision in force when the record was read.
        in_force: Option<Offset>,
    },
    /// The documents together are not valid.
    Invalid {
        /// What is wrong, one entry each.
        problems: Vec<ConfigProblem>,
    },
}

/// One mistake in a configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigProblem {
    /// Document that holds the mistake.
    pub document: Document,
    /// Where in the document, as a dotted path.
    pub path: String,
    /// What is wrong.
    pub found: String,
    /// What would be accepted.
    pub allowed: String,
}
