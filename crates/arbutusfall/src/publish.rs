//! `arbutusfall publish`: appends a publication to the log and reads its outcome back from the log.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use arbutusfall_core::config::ConfigFold;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::DecidedPublication;
use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Rejection;
use error_stack::Report;
use error_stack::ResultExt;
use serde_json::Value;
use uuid::Uuid;

use crate::Executor;
use crate::LogClient;
use crate::LogError;
use crate::log_client::PageRecord;

const CONFIG_STREAM: &str = "config";

/// Largest number of attempts to append a publication and read back its outcome; all use the same publish id.
const MAX_ATTEMPTS: u32 = 5;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Uncertainty of a record's append time, which is computed from the record's age when it was read.
const AGE_TOLERANCE: Duration = Duration::from_millis(20);

/// Outcome of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The document is in force.
    Accepted {
        /// Revision of the document.
        revision: Offset,
    },
    /// The document was rejected and the revision in force stays.
    Rejected(Rejection),
}

/// Reason why the outcome of a publication is unknown, or why nothing was published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishError {
    /// The log service does not answer; the publication can be repeated with the same id.
    LogUnavailable {
        /// Id of the publication.
        publish_id: Uuid,
    },
    /// The id is so old that the log no longer shows the outcome of its publication, or whether the document changed
    /// after the id was created.
    TooOld {
        /// Id of the publication.
        publish_id: Uuid,
    },
    /// The id is not a UUID of version 7, so it does not contain its creation time.
    InvalidPublishId {
        /// The rejected id.
        publish_id: Uuid,
    },
    /// Configuration records were removed from the log, and no snapshot covers them.
    MissingRecords,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LogUnavailable { publish_id } => {
                write!(
                    f,
                    "the log does not answer, so the outcome is not known; \
                     repeat with --publish-id {publish_id}"
                )
            }
            Self::TooOld { publish_id } => {
                write!(
                    f,
                    "publication {publish_id} is too old to be repeated; \
                     check what is in force and publish again with a new id"
                )
            }
            Self::InvalidPublishId { publish_id } => {
                write!(f, "publish id {publish_id} is not a UUID of version 7")
            }
            Self::MissingRecords => f.write_str(
                "configuration records were removed from the log and no snapshot covers them; \
                 a running VM writes a snapshot within seconds, so retry then",
            ),
        }
    }
}

impl std::error::Error for PublishError {}

/// Publishes a document; idempotent per `publish_id`.
///
/// `edited_from` is the revision on which the edit is based; the publication is rejected if it is no longer in force.
/// `None` stands for the revision that was in force when `publish_id` was created, so that a change made after that,
/// which the edit does not include, is not overwritten.
///
/// # Errors
///
/// Returns [`PublishError`] if the id is invalid or too old, or if the outcome cannot be read from the log.
pub async fn publish(
    executor: &Executor,
    log_service_address: SocketAddr,
    publish_id: Uuid,
    document: Document,
    edited_from: Option<Offset>,
    content: Value,
) -> Result<PublishOutcome, Report<PublishError>> {
    let log = LogClient {
        address: log_service_address,
    };
    let id_created_at = id_created_at(publish_id)?;
    let unavailable = PublishError::LogUnavailable { publish_id };
    // `None` until determined; the inner `None` stands for a document without a revision.
    let mut fixed_parent = edited_from.map(Some);
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            async_io::Timer::after(RETRY_DELAY).await;
        }
        let Ok(stream) = FoldedStream::read(executor, log, publish_id).await? else {
            continue;
        };
        if let Some(outcome) = stream.outcome() {
            return Ok(outcome);
        }
        // The parent is determined once: a retry must not take another operator's edit as its parent.
        let parent = match fixed_parent {
            Some(parent) => parent,
            None => match stream.parent_in_force(&document, publish_id, id_created_at)? {
                Ok(in_force) => *fixed_parent.insert(in_force),
                Err(rejection) => return Ok(PublishOutcome::Rejected(rejection)),
            },
        };
        let record = ConfigRecord::Publish {
            publish_id,
            document: document.clone(),
            parent,
            content: content.clone(),
        };
        let text = serde_json::to_string(&record).change_context_lazy(|| unavailable.clone())?;
        // The result is ignored: the log is read back to see whether the append took effect.
        let _ = log
            .append(executor, CONFIG_STREAM, stream.era, &[Name::from(text)])
            .await;
        if let Ok(stream) = FoldedStream::read(executor, log, publish_id).await?
            && let Some(outcome) = stream.outcome()
        {
            return Ok(outcome);
        }
    }
    Err(Report::new(unavailable))
}

/// Returns the creation time of a UUID of version 7, since the Unix epoch.
fn id_created_at(publish_id: Uuid) -> Result<Duration, Report<PublishError>> {
    let timestamp = publish_id
        .get_timestamp()
        .filter(|_| publish_id.get_version_num() == 7);
    let timestamp = timestamp.ok_or(PublishError::InvalidPublishId { publish_id })?;
    let (seconds, nanos) = timestamp.to_unix();
    Ok(Duration::new(seconds, nanos))
}

/// The configuration stream folded to its end, with the outcome of one publication.
#[derive(Debug)]
struct FoldedStream {
    fold: ConfigFold,
    /// Number of the log's era when it was read.
    era: u64,
    publish_id: Uuid,
    /// Decision on the publication, kept even if the fold evicts it.
    decided: Option<DecidedPublication>,
    /// Whether the log holds a record with the publication's id.
    recorded: bool,
    /// Offset and append time, since the Unix epoch, of each record that the log retains.
    appended_at: Vec<(Offset, Duration)>,
}

impl FoldedStream {
    /// Reads and folds the whole stream; the inner error means that the log service did not answer.
    async fn read(
        executor: &Executor,
        log: LogClient,
        publish_id: Uuid,
    ) -> Result<Result<Self, LogError>, Report<PublishError>> {
        let mut stream = Self {
            fold: ConfigFold::default(),
            era: 0,
            publish_id,
            decided: None,
            recorded: false,
            appended_at: Vec::new(),
        };
        let mut from = Offset(0);
        loop {
            let page = match log
                .read(executor, CONFIG_STREAM, from, Duration::ZERO)
                .await
            {
                Ok(page) => page,
                Err(error) => return Ok(Err(error)),
            };
            if page.era != stream.era && from > Offset(0) {
                // The log was restored between two pages.
                return Err(Report::new(PublishError::MissingRecords));
            }
            stream.era = page.era;
            let next_before_page = stream.fold.next_offset();
            from = from.max(page.oldest);
            for record in &page.records {
                from = record.offset.next();
                stream.apply(record);
            }
            if stream.fold.next_offset() > next_before_page {
                // A snapshot may cover offsets that were not read; they are skipped.
                from = stream.fold.next_offset();
            }
            if stream.fold.next_offset() >= page.end {
                return Ok(Ok(stream));
            }
            if from >= page.end {
                return Err(Report::new(PublishError::MissingRecords));
            }
        }
    }

    fn apply(&mut self, record: &PageRecord) {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let appended_at = now.saturating_sub(Duration::from_millis(record.age_ms));
        self.appended_at.push((record.offset, appended_at));
        self.fold.apply(record.offset, &record.text);
        if let Some(decided) = self.fold.decision(self.publish_id) {
            self.decided = Some(decided.clone());
        }
        if !self.recorded && record.text.contains(&self.publish_id.to_string()) {
            self.recorded = true;
        }
    }

    fn outcome(&self) -> Option<PublishOutcome> {
        let decided = self.decided.as_ref()?;
        Some(match &decided.rejection {
            None => PublishOutcome::Accepted {
                revision: decided.offset,
            },
            Some(rejection) => PublishOutcome::Rejected(rejection.clone()),
        })
    }

    /// Returns the revision in force, if there is one; the inner error is the rejection if that revision is newer than
    /// the publish id, the outer error means that the records no longer show which is newer.
    ///
    /// An edit can be based only on a revision that was in force when its id was created.
    fn parent_in_force(
        &self,
        document: &Document,
        publish_id: Uuid,
        id_created_at: Duration,
    ) -> Result<Result<Option<Offset>, Rejection>, Report<PublishError>> {
        if self.recorded {
            return Err(Report::new(PublishError::TooOld { publish_id }));
        }
        let Some(in_force) = self.fold.revision(document) else {
            return Ok(Ok(None));
        };
        let mut retained = self.appended_at.iter();
        match retained.find(|(offset, _)| *offset == in_force) {
            Some((_, appended_at)) if *appended_at > id_created_at + AGE_TOLERANCE => {
                Ok(Err(Rejection::StaleParent {
                    in_force: Some(in_force),
                }))
            }
            Some(_) => Ok(Ok(Some(in_force))),
            // The record was removed, so it is older than all retained records. If the id is older than them too, it is
            // unknown which of the two came first.
            None if self.all_retained_are_newer(id_created_at) => {
                Err(Report::new(PublishError::TooOld { publish_id }))
            }
            None => Ok(Ok(Some(in_force))),
        }
    }

    fn all_retained_are_newer(&self, id_created_at: Duration) -> bool {
        let mut retained = self.appended_at.iter();
        retained.all(|(_, appended_at)| *appended_at > id_created_at + AGE_TOLERANCE)
    }
}
