//! Deterministic fold of the configuration stream: the same records give the same configuration on every VM.

use std::collections::BTreeMap;

use arbutusfall_wire::ConfigProblem;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::DecidedPublication;
use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Rejection;
use arbutusfall_wire::RevisedDocument;
use serde_json::Value;
use uuid::Uuid;

use crate::config::check::check_base;
use crate::config::check::check_overlay;
use crate::config::check::immutable_setting_problem;

/// Latest decisions kept to recognize a repeated publication.
const MAX_DECISIONS: usize = 256;

/// Configuration documents in force, folded from the log.
#[derive(Debug, Clone, Default)]
pub struct ConfigFold {
    /// First offset that was not applied yet.
    next_offset: Offset,
    /// Documents in force.
    ///
    /// Invariant: with a base present, all documents together pass [`check_documents`](crate::config::check_documents).
    documents: BTreeMap<Document, (Offset, Value)>,
    /// Latest decisions, oldest first.
    decided: Vec<DecidedPublication>,
}

/// Result of applying a record.
#[derive(Debug, Clone, PartialEq)]
pub enum FoldOutcome {
    /// A document was accepted and is now in force.
    Accepted(Document),
    /// A publication was rejected.
    Rejected(Rejection),
    /// No document changed and no decision was made: the record is a repeat, old, after a gap, unreadable, or
    /// a snapshot without newer state.
    Unchanged,
    /// A newer snapshot, from the log or a peer, replaced the documents.
    Restored,
}

impl ConfigFold {
    /// Returns the first offset that was not applied yet.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the revision of a document in force.
    pub fn revision(&self, document: &Document) -> Option<Offset> {
        self.documents.get(document).map(|(revision, _)| *revision)
    }

    /// Returns the content of a document in force.
    pub fn content(&self, document: &Document) -> Option<&Value> {
        self.documents.get(document).map(|(_, content)| content)
    }

    /// Returns the decision on a publication if it is among the latest decisions.
    pub fn decision(&self, publish_id: Uuid) -> Option<&DecidedPublication> {
        self.decided
            .iter()
            .find(|decided| decided.publish_id == publish_id)
    }

    /// Returns the folded state as a snapshot record, or `None` before the first record.
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        let through = Offset(self.next_offset.0.checked_sub(1)?);
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

    /// Applies the record at `offset`. A record before the next offset changes nothing, and after a gap only a
    /// snapshot has an effect.
    pub fn apply(&mut self, offset: Offset, text: &str) -> FoldOutcome {
        if offset < self.next_offset {
            return FoldOutcome::Unchanged;
        }
        let record = serde_json::from_str(text);
        let gap = offset > self.next_offset;
        match record {
            // A valid snapshot covers only records before its own offset; any other snapshot is ignored.
            Ok(ConfigRecord::Snapshot {
                through,
                documents,
                decided,
            }) if through < offset => {
                let outcome = self.restore(through, documents, decided);
                if self.next_offset == offset {
                    self.next_offset = offset.next();
                }
                outcome
            }
            Ok(ConfigRecord::Publish {
                publish_id,
                document,
                parent,
                content,
            }) if !gap => {
                self.next_offset = offset.next();
                self.apply_publication(offset, publish_id, document, parent, content)
            }
            _ if !gap => {
                self.next_offset = offset.next();
                FoldOutcome::Unchanged
            }
            _ => FoldOutcome::Unchanged,
        }
    }

    /// Replaces the state with a newer one from the log or a peer.
    ///
    /// A state that is not newer, is inconsistent, or would revert or omit a document is ignored.
    pub fn restore(
        &mut self,
        through: Offset,
        documents: Vec<RevisedDocument>,
        decided: Vec<DecidedPublication>,
    ) -> FoldOutcome {
        if through.next() <= self.next_offset || !self.can_be_replaced_by(through, &documents) {
            return FoldOutcome::Unchanged;
        }
        self.next_offset = through.next();
        self.decided = decided;
        self.documents = documents
            .into_iter()
            .map(|revised| (revised.document, (revised.revision, revised.content)))
            .collect();
        FoldOutcome::Restored
    }

    /// Returns whether the other state is consistent (no revision after `through`) and neither reverts nor omits a
    /// document.
    fn can_be_replaced_by(&self, through: Offset, documents: &[RevisedDocument]) -> bool {
        let revisions_covered = documents.iter().all(|revised| revised.revision <= through);
        revisions_covered
            && self.documents.iter().all(|(document, (revision, _))| {
                let mut found = documents
                    .iter()
                    .filter(|revised| revised.document == *document);
                found.any(|revised| revised.revision >= *revision)
            })
    }

    fn apply_publication(
        &mut self,
        offset: Offset,
        publish_id: Uuid,
        document: Document,
        parent: Option<Offset>,
        content: Value,
    ) -> FoldOutcome {
        if self.decision(publish_id).is_some() {
            return FoldOutcome::Unchanged;
        }
        let rejection = self.check_publication(&document, parent, &content).err();
        self.decided.push(DecidedPublication {
            publish_id,
            offset,
            rejection: rejection.clone(),
        });
        if self.decided.len() > MAX_DECISIONS {
            self.decided.remove(0);
        }
        match rejection {
            Some(rejection) => FoldOutcome::Rejected(rejection),
            None => {
                self.documents.insert(document.clone(), (offset, content));
                FoldOutcome::Accepted(document)
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
        let checked = match document {
            Document::Base => check_base(content, self.overlays()),
            Document::Overlay(site) => {
                let absent = Value::Object(serde_json::Map::new());
                let base = self.content(&Document::Base).unwrap_or(&absent);
                // The other documents are valid with this base, by the fold's invariant.
                check_overlay(base, site, content)
            }
        };
        let checked = checked.and_then(|()| self.check_immutable_settings(document, content));
        checked.map_err(|problems| Rejection::Invalid { problems })
    }

    /// Checks that a valid document does not change settings that records on the log depend on.
    fn check_immutable_settings(
        &self,
        document: &Document,
        content: &Value,
    ) -> Result<(), Vec<ConfigProblem>> {
        let Some(base) = self.content(&Document::Base) else {
            return Ok(());
        };
        let problems: Vec<ConfigProblem> = match document {
            Document::Base => {
                let overlays = self.overlays().map(|(_, overlay)| Some(overlay));
                // `None` stands for sites without an overlay.
                let site_overlays = std::iter::once(None).chain(overlays);
                let problems = site_overlays.map(|overlay| {
                    immutable_setting_problem(document, (base, overlay), (content, overlay))
                });
                problems.flatten().take(1).collect()
            }
            Document::Overlay(_) => {
                let before = (base, self.content(document));
                let problem = immutable_setting_problem(document, before, (base, Some(content)));
                problem.into_iter().collect()
            }
        };
        if problems.is_empty() {
            Ok(())
        } else {
            Err(problems)
        }
    }

    fn overlays(&self) -> impl Iterator<Item = (&Name, &Value)> {
        self.documents
            .iter()
            .filter_map(|(document, (_, content))| match document {
                Document::Base => None,
                Document::Overlay(site) => Some((site, content)),
            })
    }
}
