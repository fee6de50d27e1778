//! Fold of the configuration stream: the same records give the same configuration on every VM.

use std::collections::BTreeMap;

use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::DecidedPublication;
use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Rejection;
use arbutusfall_wire::RevisedDocument;
use serde_json::Value;
use uuid::Uuid;

use crate::config::check_documents;

/// Decisions that are remembered for repeats of a publication.
const MAX_DECIDED: usize = 256;

/// Configuration documents in force, folded from the log.
#[derive(Debug, Clone, Default)]
pub struct ConfigFold {
    /// First offset that was not read yet.
    next: Offset,
    /// Documents in force.
    ///
    /// Invariant: with a base present, all documents together pass [`check_documents`].
    documents: BTreeMap<Document, (Offset, Value)>,
    /// Latest decisions, oldest first.
    decided: Vec<DecidedPublication>,
}

/// What one record did.
#[derive(Debug, Clone, PartialEq)]
pub enum FoldStep {
    /// A document came into force.
    Accepted(Document),
    /// A publication was rejected.
    Rejected(Rejection),
    /// Nothing changed: a repeat, a snapshot that says nothing new, or an unreadable record.
    Unchanged,
    /// A snapshot brought the fold forward over records that are gone.
    Restored,
}

impl ConfigFold {
    /// First offset that was not read yet.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Revision of a document in force.
    pub fn revision(&self, document: &Document) -> Option<Offset> {
        self.documents.get(document).map(|(revision, _)| *revision)
    }

    /// Content of a document in force.
    pub fn content(&self, document: &Document) -> Option<&Value> {
        self.documents.get(document).map(|(_, content)| content)
    }

    /// How a publication was decided, if it was lately.
    pub fn decision(&self, publish_id: Uuid) -> Option<&DecidedPublication> {
        self.decided
            .iter()
            .find(|decided| decided.publish_id == publish_id)
    }

    /// The folded state as a record.
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        let through = Offset(self.next.0.checked_sub(1)?);
        let documents = self
            .documents
            .iter()
            .map(|(document, (revision, content))| RevisedDocument {
                document: document.clone(),
                revision: *revision,
                content: content.clone(),
            });
        Some(ConfigRecord::Snapshot {
            through,
            documents: documents.collect(),
            decided: self.decided.clone(),
        })
    }

    /// Applies the record at `offset`; records before the fold's own position change nothing.
    pub fn apply(&mut self, offset: Offset, text: &str) -> FoldStep {
        if offset < self.next {
            return FoldStep::Unchanged;
        }
        let record = serde_json::from_str(text);
        let gap = offset > self.next;
        match record {
            Ok(ConfigRecord::Snapshot {
                through,
                documents,
                decided,
            }) => {
                let step = self.restore(through, documents, decided);
                if through.next() >= offset || !gap {
                    self.next = self.next.max(offset.next());
                }
                step
            }
            Ok(ConfigRecord::Publish {
                publish_id,
                document,
                parent,
                content,
            }) if !gap => {
                self.next = offset.next();
                self.publish(offset, publish_id, document, parent, content)
            }
            Err(_) if !gap => {
                self.next = offset.next();
                FoldStep::Unchanged
            }
            _ => FoldStep::Unchanged,
        }
    }

    /// Takes over a folded state that is further than this one.
    pub fn restore(
        &mut self,
        through: Offset,
        documents: Vec<RevisedDocument>,
        decided: Vec<DecidedPublication>,
    ) -> FoldStep {
        if through.next() <= self.next {
            return FoldStep::Unchanged;
        }
        self.next = through.next();
        self.decided = decided;
        self.documents = documents
            .into_iter()
            .map(|revised| (revised.document, (revised.revision, revised.content)))
            .collect();
        FoldStep::Restored
    }

    fn publish(
        &mut self,
        offset: Offset,
        publish_id: Uuid,
        document: Document,
        parent: Option<Offset>,
        content: Value,
    ) -> FoldStep {
        if self.decision(publish_id).is_some() {
            return FoldStep::Unchanged;
        }
        let rejection = self.check_publication(&document, parent, &content).err();
        self.decided.push(DecidedPublication {
            publish_id,
            offset,
            rejection: rejection.clone(),
        });
        if self.decided.len() > MAX_DECIDED {
            self.decided.remove(0);
        }
        match rejection {
            Some(rejection) => FoldStep::Rejected(rejection),
            None => {
                self.documents.insert(document.clone(), (offset, content));
                FoldStep::Accepted(document)
            }
        }
    }

    fn check_publication(
        &self,
        document: &Document,
        parent: Option<Offset>,
        content: &Value,
    ) -> Result<(), Rejection> {
        let in_force = self.revision(document);
        if parent != in_force {
            return Err(Rejection::StaleParent { in_force });
        }
        let absent = Value::Object(serde_json::Map::new());
        let base = match document {
            Document::Base => content,
            Document::Overlay(_) => self.content(&Document::Base).unwrap_or(&absent),
        };
        let mut overlays: BTreeMap<Name, Value> = BTreeMap::new();
        for (other, (_, content)) in &self.documents {
            if let Document::Overlay(site) = other {
                overlays.insert(site.clone(), content.clone());
            }
        }
        if let Document::Overlay(site) = document {
            overlays.insert(site.clone(), content.clone());
        }
        check_documents(base, &overlays).map_err(|problems| Rejection::Invalid { problems })
    }
}
