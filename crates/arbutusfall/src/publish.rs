//! `arbutusfall publish`: offers a document to the log and answers from what the log holds.

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

/// Name of the configuration stream.
const CONFIG_STREAM: &str = "config";

/// Tries of an append whose answer was lost; each repeat is the same publication.
const MAX_TRIES: u32 = 5;

/// Delay between tries.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Uncertainty of the instant at which a record was appended, as told by its age when it was read.
const AGE_TOLERANCE: Duration = Duration::from_millis(20);

/// How a publication ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Published {
    /// The document is in force.
    Accepted {
        /// Its revision.
        revision: Offset,
    },
    /// The document was rejected.
    Rejected(Rejection),
}

/// A publication's outcome could not be learnt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishError {
    /// The log does not answer; the same publication can be repeated.
    LogUnavailable {
        /// Id by which a repeat is the same publication.
        publish_id: Uuid,
    },
    /// The publication was offered before, too long ago for the log to tell how it was decided.
    Forgotten {
        /// Its id.
        publish_id: Uuid,
    },
    /// The id does not hold the instant at which it was made.
    NotVersion7 {
        /// The id.
        publish_id: Uuid,
    },
    /// The log holds records that cannot be folded to the present.
    Gap,
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
            Self::Forgotten { publish_id } => {
                write!(
                    f,
                    "publication {publish_id} is too old to be repeated; \
                     see what is in force and publish anew"
                )
            }
            Self::NotVersion7 { publish_id } => {
                write!(f, "publish id {publish_id} is not a UUID of version 7")
            }
            Self::Gap => f.write_str(
                "configuration records are gone from the log and no snapshot covers them; \
                 a running VM writes one within seconds",
            ),
        }
    }
}

impl std::error::Error for PublishError {}

/// Publishes a document; a repeat with the same id is the same publication.
///
/// `edited_from` is the revision that the operator edited; without one it is taken to be the revision in force. Either
/// way, a document that was changed after the id was made is not replaced: the edit did not see that change.
///
/// # Errors
///
/// [`PublishError`] if the log does not tell how the publication was decided.
pub async fn publish(
    executor: &Executor,
    log_service: SocketAddr,
    publish_id: Uuid,
    document: Document,
    edited_from: Option<Offset>,
    content: Value,
) -> Result<Published, Report<PublishError>> {
    let log = LogClient {
        address: log_service,
    };
    let made_at = made_at(publish_id)?;
    let unavailable = PublishError::LogUnavailable { publish_id };
    let mut parent = edited_from.map(Some);
    for attempt in 0..MAX_TRIES {
        if attempt > 0 {
            async_io::Timer::after(RETRY_AFTER).await;
        }
        let Ok(present) = Present::read(executor, log, publish_id).await? else {
            continue;
        };
        if let Some(published) = present.published() {
            return Ok(published);
        }
        // The parent is read once: a repeat must not adopt somebody else's edit.
        let parent = match parent {
            Some(parent) => parent,
            None => match present.parent(&document, publish_id, made_at)? {
                Ok(read) => *parent.insert(read),
                Err(rejection) => return Ok(Published::Rejected(rejection)),
            },
        };
        let record = ConfigRecord::Publish {
            publish_id,
            document: document.clone(),
            parent,
            content: content.clone(),
        };
        let text = serde_json::to_string(&record).change_context_lazy(|| unavailable.clone())?;
        // Whether the append took effect is read back, whatever its answer.
        let _ = log
            .append(executor, CONFIG_STREAM, &[Name::from(text)])
            .await;
        if let Ok(present) = Present::read(executor, log, publish_id).await?
            && let Some(published) = present.published()
        {
            return Ok(published);
        }
    }
    Err(Report::new(unavailable))
}

/// When an id was made, since the Unix epoch.
fn made_at(publish_id: Uuid) -> Result<Duration, Report<PublishError>> {
    let timestamp = publish_id
        .get_timestamp()
        .filter(|_| publish_id.get_version_num() == 7);
    let timestamp = timestamp.ok_or(PublishError::NotVersion7 { publish_id })?;
    let (seconds, nanos) = timestamp.to_unix();
    Ok(Duration::new(seconds, nanos))
}

/// The stream folded to its end, and what it tells of one publication.
#[derive(Debug)]
struct Present {
    fold: ConfigFold,
    publish_id: Uuid,
    /// How the publication was decided, even if the fold no longer remembers it.
    decided: Option<DecidedPublication>,
    /// Whether the stream holds the publication.
    offered: bool,
    /// Offsets of the kept records with the instants at which they were appended, since the Unix epoch.
    appended_at: Vec<(Offset, Duration)>,
}

impl Present {
    /// Folds the whole stream; the inner error means that the log did not answer.
    async fn read(
        executor: &Executor,
        log: LogClient,
        publish_id: Uuid,
    ) -> Result<Result<Self, LogError>, Report<PublishError>> {
        let mut present = Self {
            fold: ConfigFold::default(),
            publish_id,
            decided: None,
            offered: false,
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
            let before = present.fold.next();
            from = from.max(page.oldest);
            for record in &page.records {
                from = record.offset.next();
                present.take(record);
            }
            if present.fold.next() > before {
                from = present.fold.next();
            }
            if present.fold.next() >= page.end {
                return Ok(Ok(present));
            }
            if from >= page.end {
                return Err(Report::new(PublishError::Gap));
            }
        }
    }

    fn take(&mut self, record: &PageRecord) {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let appended_at = now.saturating_sub(Duration::from_millis(record.age_ms));
        self.appended_at.push((record.offset, appended_at));
        self.fold.apply(record.offset, &record.text);
        if let Some(decided) = self.fold.decision(self.publish_id) {
            self.decided = Some(decided.clone());
        }
        if !self.offered && record.text.contains(&self.publish_id.to_string()) {
            self.offered = true;
        }
    }

    fn published(&self) -> Option<Published> {
        let decided = self.decided.as_ref()?;
        Some(match &decided.rejection {
            None => Published::Accepted {
                revision: decided.offset,
            },
            Some(rejection) => Published::Rejected(rejection.clone()),
        })
    }

    /// Revision that an edit made at an instant can have started from, or why there is none.
    fn parent(
        &self,
        document: &Document,
        publish_id: Uuid,
        made_at: Duration,
    ) -> Result<Result<Option<Offset>, Rejection>, Report<PublishError>> {
        if self.offered {
            return Err(Report::new(PublishError::Forgotten { publish_id }));
        }
        let Some(in_force) = self.fold.revision(document) else {
            return Ok(Ok(None));
        };
        let mut kept = self.appended_at.iter();
        match kept.find(|(offset, _)| *offset == in_force) {
            Some((_, appended_at)) if *appended_at > made_at + AGE_TOLERANCE => {
                Ok(Err(Rejection::StaleParent {
                    in_force: Some(in_force),
                }))
            }
            Some(_) => Ok(Ok(Some(in_force))),
            // The record is gone, so it is older than all that are kept.
            None if self.all_kept_came_after(made_at) => {
                Err(Report::new(PublishError::Forgotten { publish_id }))
            }
            None => Ok(Ok(Some(in_force))),
        }
    }

    fn all_kept_came_after(&self, made_at: Duration) -> bool {
        let mut kept = self.appended_at.iter();
        kept.all(|(_, appended_at)| *appended_at > made_at + AGE_TOLERANCE)
    }
}
