//! `arbutusfall publish`: offers a document to the log and answers from what the log holds.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::config::ConfigFold;
use arbutusfall_wire::ConfigRecord;
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

/// Name of the configuration stream.
const CONFIG_STREAM: &str = "config";

/// Tries of an append whose answer was lost; each repeat is the same publication.
const MAX_TRIES: u32 = 5;

/// Delay between tries.
const RETRY_AFTER: Duration = Duration::from_millis(300);

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
    /// The log holds records that cannot be folded to the present.
    Gap,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LogUnavailable { publish_id } => {
                write!(
                    f,
                    "the log does not answer; repeat with --publish-id {publish_id}"
                )
            }
            Self::Gap => f.write_str("configuration records are gone from the log"),
        }
    }
}

impl std::error::Error for PublishError {}

/// Publishes a document; a repeat with the same id is the same publication.
///
/// # Errors
///
/// [`PublishError`] if the log does not tell how the publication was decided.
pub async fn publish(
    executor: &Executor,
    log_service: SocketAddr,
    publish_id: Uuid,
    document: Document,
    content: Value,
) -> Result<Published, Report<PublishError>> {
    let log = LogClient {
        address: log_service,
    };
    let unavailable = PublishError::LogUnavailable { publish_id };
    let mut parent = None;
    for attempt in 0..MAX_TRIES {
        if attempt > 0 {
            async_io::Timer::after(RETRY_AFTER).await;
        }
        let Ok(fold) = read_fold(executor, log).await? else {
            continue;
        };
        if let Some(published) = decided(&fold, publish_id) {
            return Ok(published);
        }
        // The parent is read once: a repeat must not adopt somebody else's edit.
        let parent = *parent.get_or_insert_with(|| fold.revision(&document));
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
        if let Ok(fold) = read_fold(executor, log).await?
            && let Some(published) = decided(&fold, publish_id)
        {
            return Ok(published);
        }
    }
    Err(Report::new(unavailable))
}

fn decided(fold: &ConfigFold, publish_id: Uuid) -> Option<Published> {
    let decided = fold.decision(publish_id)?;
    Some(match &decided.rejection {
        None => Published::Accepted {
            revision: decided.offset,
        },
        Some(rejection) => Published::Rejected(rejection.clone()),
    })
}

/// Folds the whole stream; the inner error means that the log did not answer.
async fn read_fold(
    executor: &Executor,
    log: LogClient,
) -> Result<Result<ConfigFold, crate::LogError>, Report<PublishError>> {
    let mut fold = ConfigFold::default();
    let mut from = Offset(0);
    loop {
        let page = match log
            .read(executor, CONFIG_STREAM, from, Duration::ZERO)
            .await
        {
            Ok(page) => page,
            Err(error) => return Ok(Err(error)),
        };
        let before = fold.next();
        from = from.max(page.oldest);
        for record in &page.records {
            from = record.offset.next();
            fold.apply(record.offset, &record.text);
        }
        if fold.next() > before {
            from = fold.next();
        }
        if fold.next() >= page.end {
            return Ok(Ok(fold));
        }
        if from >= page.end {
            return Err(Report::new(PublishError::Gap));
        }
    }
}
