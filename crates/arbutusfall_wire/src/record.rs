//! Records stored on the platform's log, as JSON.

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
    /// A request claims the key. The first claim in log order wins the sole right to call the service for the key.
    Claim {
        /// Key sent by the caller.
        key: IdempotencyKey,
        /// VM through which the request entered.
        vm: Name,
        /// The request that may call the service if this claim wins.
        request: RequestId,
        /// Hash of the caller's request, which distinguishes a retry from reuse of the key for a different request.
        fingerprint: u64,
    },
    /// Outcome of the key; recorded only at the request of the claim's holder.
    Outcome {
        /// Key that was claimed.
        key: IdempotencyKey,
        /// The request that holds the claim.
        request: RequestId,
        /// Outcome with which retries of the key are answered.
        outcome: Outcome,
    },
}

impl ClaimRecord {
    /// Returns the key that the record is about.
    pub fn key(&self) -> IdempotencyKey {
        match self {
            Self::Claim { key, .. } | Self::Outcome { key, .. } => *key,
        }
    }
}

/// Outcome of a non-idempotent request.
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
    /// The service was not called for this key and will not be.
    NotRun,
    /// The service may have executed the request; only the service knows.
    Unknown,
}

/// A configuration document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// Configuration shared by all sites.
    Base,
    /// Changes of one site to the base.
    Overlay(Name),
}

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigRecord {
    /// An operator's edit of one document.
    Publish {
        /// Id chosen by the operator's tool; a record with the same id is a repeat of the same publication.
        publish_id: Uuid,
        /// Document that is replaced.
        document: Document,
        /// Revision that the edit is based on; `None` for a document's first publication.
        parent: Option<Offset>,
        /// The new document.
        content: serde_json::Value,
    },
    /// Documents in force after all records up to an offset, appended before retention removes these records.
    Snapshot {
        /// Last offset that the snapshot covers.
        through: Offset,
        /// Documents in force, each with its revision.
        documents: Vec<RevisedDocument>,
        /// Recently decided publications, so that a repeat gets the same decision.
        decided: Vec<DecidedPublication>,
    },
}

/// A document and the revision that put it in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevisedDocument {
    /// The document.
    pub document: Document,
    /// Offset of the record that put it in force.
    pub revision: Offset,
    /// Its content.
    pub content: serde_json::Value,
}

/// Decision on a publication.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecidedPublication {
    /// Id that the operator's tool chose.
    pub publish_id: Uuid,
    /// Offset of the publication's record.
    pub offset: Offset,
    /// Reason for its rejection; `None` if it was accepted.
    pub rejection: Option<Rejection>,
}

/// Reason for which a publication was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Rejection {
    /// Another edit was published first, so the parent is no longer in force.
    StaleParent {
        /// Revision in force when the record was read.
        in_force: Option<Offset>,
    },
    /// The document is not valid together with the other documents in force, or changes an immutable setting.
    Invalid {
        /// Problems found, one entry each.
        problems: Vec<ConfigProblem>,
    },
}

/// A problem in a configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigProblem {
    /// Document that contains the problem.
    pub document: Document,
    /// Location in the document, as a dotted path.
    pub path: String,
    /// Description of what was found.
    pub found: String,
    /// Description of what is accepted.
    pub allowed: String,
}
