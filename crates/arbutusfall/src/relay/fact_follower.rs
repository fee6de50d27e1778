//! Asks another VM for facts of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::FactRecord;
use arbutusfall_core::relay::FactSpan;
use arbutusfall_core::relay::FollowOutcome;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_wire::FactsAnswer;
use arbutusfall_wire::FactsQuestion;
use arbutusfall_wire::Name;
use arbutusfall_wire::PassedRecord;
use arbutusfall_wire::TopicNews;
use arbutusfall_wire::TopicPosition;

use crate::relay::fact_board::FactBoard;
use crate::relay::fact_board::PassedFacts;
use crate::relay::fact_board::TOPICS;
use crate::relay::fact_question::FactsError;
use crate::relay::fact_question::FactsRequest;
use crate::relay::handle::RelayHandle;

/// Time for reading from the store what is not passed on, before the next question.
const IN_STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// A VM to ask.
#[derive(Debug, Clone)]
pub(super) struct FactsFrom {
    pub(super) vm: Name,
    pub(super) address: SocketAddr,
    /// Whether it may wait for news.
    pub(super) waits: bool,
}

/// Asks a VM, hands what it passes on to the readers of the topics and reports the outcome to the relay.
pub(super) async fn follow(relay: impl RelayHandle, board: Arc<FactBoard>, from: FactsFrom) {
    let outcome = match ask(&relay, &board, &from).await {
        Ok(()) => FollowOutcome::Passed,
        Err(FactsError::Failed(error)) => {
            log::info!("VM {} passed no facts on: {error}", from.vm);
            FollowOutcome::Failed
        }
        Err(FactsError::Declined(reason)) => {
            log::debug!("VM {} passed no facts on: {reason}", from.vm);
            FollowOutcome::Declined
        }
    };
    // One that was only tried is not the one that is followed.
    if outcome != FollowOutcome::Passed && from.waits {
        board.on_not_passed();
    }
    let vm = from.vm;
    relay.submit(RelayEvent::FactsFollowed { vm, outcome });
}

async fn ask(
    relay: &impl RelayHandle,
    board: &FactBoard,
    from: &FactsFrom,
) -> Result<(), FactsError> {
    let positions = board.positions();
    let positions = positions.ok_or(FactsError::Declined("not all topics have been read"))?;
    let wait = if from.waits {
        board.times.wait
    } else {
        Duration::ZERO
    };
    let sent_at = board.now();
    let request = FactsRequest {
        vm: &from.vm,
        address: from.address,
        question: &question(positions, wait),
        answer_timeout: board.times.answer_timeout(wait, fastrand::f64()),
    };
    let answer = request.send(&relay.io().executor, relay.shared_key());
    let answer = answer.await?;
    // The answer may have been held up: what it says is as old as its question at least.
    let longest_wait = board.times.longest_wait(wait);
    let answered_at = sent_at + Duration::from_millis(answer.waited_ms).min(longest_wait);
    let elapsed = board.now().saturating_sub(answered_at);
    let facts = parse_answer(answer, elapsed).ok_or(FactsError::Declined("malformed answer"))?;
    let fresh_until = fresh_until(board, &facts);
    // Otherwise this VM has read the store meanwhile, and the next question begins where it is now.
    if board.on_passed(facts, fresh_until) {
        board.in_store_read(IN_STORE_TIMEOUT).await;
    }
    Ok(())
}

/// Returns until when facts replace reads of the store: the endpoint list is the topic that must be newest.
fn fresh_until(board: &FactBoard, facts: &[PassedFacts]) -> Duration {
    let now = board.now();
    let list = facts.iter().find(|f| f.topic == StoreTopic::Endpoints);
    if list.is_some_and(|list| list.has_more) {
        let as_of = board.as_of(StoreTopic::Endpoints);
        return board.times.fresh_until_next_part(as_of, now);
    }
    let list_age = list.map_or(Duration::MAX, |list| list.age);
    board.times.fresh_until(now.saturating_sub(list_age))
}

fn question(positions: [FactPosition; 3], wait: Duration) -> FactsQuestion {
    let positions = TOPICS.into_iter().zip(positions);
    let positions = positions.map(|(topic, position)| TopicPosition {
        topic: topic.name().into(),
        offset: position.offset,
        era: position.era,
    });
    FactsQuestion {
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        positions: positions.collect(),
        newest: Vec::new(),
    }
}

/// Returns what an answer says of each topic; none if a topic is missing or twice.
fn parse_answer(answer: FactsAnswer, elapsed: Duration) -> Option<Vec<PassedFacts>> {
    let mut facts = Vec::new();
    for topic in TOPICS {
        let mut news = answer
            .topics
            .iter()
            .filter(|n| *n.from.topic == *topic.name());
        let (Some(news), None) = (news.next(), news.next()) else {
            return None;
        };
        facts.push(passed_facts(topic, news, elapsed)?);
    }
    Some(facts)
}

/// Returns what is new in a topic; none if its offsets do not fit together.
fn passed_facts(topic: StoreTopic, news: &TopicNews, elapsed: Duration) -> Option<PassedFacts> {
    let within = news.from.offset..news.next;
    let are_offsets_valid = within.start <= within.end
        && news
            .records
            .iter()
            .all(|record| within.contains(&record.offset))
        && news.records.is_sorted_by_key(|record| record.offset);
    let records = news.records.iter().map(fact_record);
    let span = FactSpan {
        from: FactPosition {
            offset: news.from.offset,
            era: news.from.era,
        },
        next: news.next,
        records: records.collect(),
    };
    let age = elapsed.saturating_add(Duration::from_millis(news.age_ms));
    are_offsets_valid.then_some(PassedFacts {
        topic,
        span,
        age,
        is_in_store: news.is_in_store,
        has_more: news.has_more,
    })
}

fn fact_record(passed: &PassedRecord) -> FactRecord {
    FactRecord {
        offset: passed.offset,
        key: passed.key.clone(),
        value: passed.value.as_ref().map(|text| text.as_bytes().into()),
    }
}
