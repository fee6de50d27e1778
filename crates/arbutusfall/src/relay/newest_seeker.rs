//! Asks stronger VMs for all newest records of topics that this VM lacks.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::NewestSearch;
use arbutusfall_core::relay::NextNewest;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_wire::FactsAnswer;
use arbutusfall_wire::FactsQuestion;
use arbutusfall_wire::MAX_FACTS_BYTES;
use arbutusfall_wire::TopicNewest;
use arbutusfall_wire::decode_facts;
use arbutusfall_wire::encode_facts;
use async_io::Timer;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::header::HOST;

use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::relay::fact_board::FactBoard;
use crate::relay::fact_snapshot::PassedNewest;
use crate::relay::handle::RelayHandle;
use crate::relay::peer_client;
use crate::relay::peer_client::FACTS_PATH;
use crate::relay::store_client::StoreClient;

/// Name of the counter of questions for newest records, and of searches that ended without.
const SOUGHT_EVENT: &str = "newest_sought";

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Least time for which passed records replace reads of the store, however old they are: meanwhile this VM begins to follow another one.
const FOLLOW_TIME: Duration = Duration::from_secs(1);

/// Why a VM passed no newest records on.
#[derive(Debug)]
enum SeekError {
    /// It did not answer.
    Failed(ClientError),
    /// It answered without records that this VM can use.
    Declined(&'static str),
}

impl fmt::Display for SeekError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(error) => error.fmt(f),
            Self::Declined(reason) => f.write_str(reason),
        }
    }
}

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
                let asked = ask(&relay, &board, &store, address, &topics, timeout).await;
                relay.io().metrics.count(SOUGHT_EVENT, outcome(&asked));
                if let Err(error) = asked {
                    log::debug!("VM {vm} passed no newest records on: {error}");
                    let has_answered = matches!(error, SeekError::Declined(_));
                    search.on_refused(&vm, has_answered, board.now());
                }
            }
        }
    }
}

fn outcome(asked: &Result<(), SeekError>) -> &'static str {
    match asked {
        Ok(()) => "passed",
        Err(SeekError::Declined(_)) => "declined",
        Err(SeekError::Failed(_)) => "failed",
    }
}

/// Asks a VM for all newest records of topics, and hands them to the readers of the topics.
async fn ask(
    relay: &impl RelayHandle,
    board: &FactBoard,
    store: &StoreClient,
    address: SocketAddr,
    topics: &[StoreTopic],
    timeout: Duration,
) -> Result<(), SeekError> {
    let sent_at = board.now();
    let answer = exchange(relay, address, topics, timeout).await?;
    let mut passed = Vec::new();
    for topic in topics {
        let newest = answer
            .newest
            .iter()
            .find(|n| *n.position.topic == *topic.name());
        let newest = newest.ok_or(SeekError::Declined("a topic is missing"))?;
        if store
            .era
            .newest()
            .is_some_and(|era| Some(era) != newest.position.era)
        {
            return Err(SeekError::Declined("another era of the store"));
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
    Err(SeekError::Declined("this VM knows more"))
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

async fn exchange(
    relay: &impl RelayHandle,
    address: SocketAddr,
    topics: &[StoreTopic],
    timeout: Duration,
) -> Result<FactsAnswer, SeekError> {
    let question = FactsQuestion {
        wait_ms: 0,
        positions: Vec::new(),
        newest: topics.iter().map(|topic| topic.name().into()).collect(),
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(FACTS_PATH)
        .header(HOST, address.to_string())
        .body(Full::new(encode_facts(&question).into()));
    let request = request.map_err(|_| SeekError::Failed(ClientError::Malformed))?;
    let until = relay.io().now() + timeout;
    let outgoing = OutgoingRequest {
        address,
        request,
        connect_timeout: CONNECT_TIMEOUT,
        answer_timeout: timeout,
    };
    let sent = peer_client::send(&relay.io().executor, outgoing, relay.shared_key()).await;
    let answer = sent.map_err(SeekError::Failed)?;
    if !answer.status().is_success() {
        return Err(SeekError::Declined("it passes none on now"));
    }
    let time_left = until.saturating_sub(relay.io().now());
    let body = http::read_control_body(answer.into_body(), time_left, MAX_FACTS_BYTES).await;
    let body = body.map_err(SeekError::Failed)?;
    decode_facts(&body).map_err(|error| {
        log::warn!("the VM at {address} passed on what cannot be read: {error}");
        SeekError::Declined("malformed answer")
    })
}
