//! Asks stronger VMs for all newest records of topics that this VM lacks.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::NewestSearch;
use arbutusfall_core::relay::NextNewest;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_wire::FactsQuestion;
use arbutusfall_wire::TopicNewest;
use async_io::Timer;

use crate::relay::fact_board::FactBoard;
use crate::relay::fact_question::FactsError;
use crate::relay::fact_question::FactsRequest;
use crate::relay::fact_snapshot::PassedNewest;
use crate::relay::handle::RelayHandle;
use crate::relay::store_client::StoreClient;

/// Name of the counter of questions for newest records, and of searches that ended without.
const SOUGHT_EVENT: &str = "newest_sought";

/// Least time for which passed records replace reads of the store, however old they are: meanwhile this VM begins to follow another one.
const FOLLOW_TIME: Duration = Duration::from_secs(1);

/// Searches until all needed records are passed on or the search ends.
pub(super) async fn seek(
    relay: impl RelayHandle,
    board: Arc<FactBoard>,
    store: Arc<StoreClient>,
    mut search: NewestSearch,
) {
    if !board.begin_search() {
        return;
    }
    loop {
        let topics = board.needed_topics();
        if topics.is_empty() {
            return;
        }
        match search.next(board.now()) {
            NextNewest::ReadStore => {
                relay.io().metrics.count(SOUGHT_EVENT, "read_store");
                return board.end_search();
            }
            NextNewest::Wait { until } => {
                Timer::after(until.saturating_sub(board.now())).await;
            }
            NextNewest::Ask {
                vm,
                address,
                timeout,
            } => {
                let request = FactsRequest {
                    vm: &vm,
                    address,
                    question: &question(&topics),
                    answer_timeout: timeout,
                };
                let asked = ask(&relay, &board, &store, &topics, request).await;
                relay.io().metrics.count(SOUGHT_EVENT, outcome(&asked));
                if let Err(error) = asked {
                    log::debug!("VM {vm} passed no newest records on: {error}");
                    let has_answered = matches!(error, FactsError::Declined(_));
                    search.on_refused(&vm, has_answered, board.now());
                }
            }
        }
    }
}

fn outcome(asked: &Result<(), FactsError>) -> &'static str {
    match asked {
        Ok(()) => "passed",
        Err(FactsError::Declined(_)) => "declined",
        Err(FactsError::Failed(_)) => "failed",
    }
}

fn question(topics: &[StoreTopic]) -> FactsQuestion {
    FactsQuestion {
        wait_ms: 0,
        positions: Vec::new(),
        newest: topics.iter().map(|topic| topic.name().into()).collect(),
    }
}

/// Asks a VM for all newest records of topics, and hands them to the readers of the topics.
async fn ask(
    relay: &impl RelayHandle,
    board: &FactBoard,
    store: &StoreClient,
    topics: &[StoreTopic],
    request: FactsRequest<'_>,
) -> Result<(), FactsError> {
    let sent_at = board.now();
    let answer = request.send(&relay.io().executor, relay.shared_key());
    let answer = answer.await?;
    let mut passed = Vec::new();
    for topic in topics {
        let newest = answer
            .newest
            .iter()
            .find(|n| *n.position.topic == *topic.name());
        let newest = newest.ok_or(FactsError::Declined("a topic is missing"))?;
        if store
            .era
            .newest()
            .is_some_and(|era| Some(era) != newest.position.era)
        {
            return Err(FactsError::Declined("another era of the store"));
        }
        passed.push(passed_newest(*topic, newest, sent_at));
    }
    let list = passed.iter().find(|p| p.topic == StoreTopic::Endpoints);
    let list_until = list.map(|list| board.times.fresh_until(list.as_of));
    let fresh_until = list_until
        .unwrap_or_default()
        .max(board.now() + FOLLOW_TIME);
    if board.on_newest_passed(passed, fresh_until) {
        return Ok(());
    }
    Err(FactsError::Declined("this VM knows more"))
}

/// Returns what an answer has of a topic; its age counts from the question, as the answer may have been held up.
fn passed_newest(topic: StoreTopic, newest: &TopicNewest, sent_at: Duration) -> PassedNewest {
    let records = newest.records.iter();
    let records = records.map(|record| (record.key.clone(), record.value.as_bytes().into()));
    PassedNewest {
        topic,
        position: FactPosition {
            offset: newest.position.offset,
            era: newest.position.era,
        },
        as_of: sent_at.saturating_sub(Duration::from_millis(newest.age_ms)),
        records: records.collect(),
    }
}
