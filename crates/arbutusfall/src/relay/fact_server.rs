//! Passes facts of the store on to the VMs that follow this one.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::FactRecord;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_core::relay::WaitingQuestion;
use arbutusfall_core::relay::max_passed_bytes;
use arbutusfall_wire::FactsAnswer;
use arbutusfall_wire::FactsQuestion;
use arbutusfall_wire::NewestRecord;
use arbutusfall_wire::PassedRecord;
use arbutusfall_wire::TopicNewest;
use arbutusfall_wire::TopicNews;
use arbutusfall_wire::TopicPosition;
use arbutusfall_wire::UNKNOWN_AGE_MS;
use arbutusfall_wire::decode_facts;
use arbutusfall_wire::encode_facts;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::http::AnswerBody;
use crate::relay::driver::Driver;
use crate::relay::fact_board::FactBoard;
use crate::relay::fact_board::PassedFacts;
use crate::relay::fact_board::TOPICS;
use crate::relay::fact_snapshot::PassedNewest;
use crate::relay::handle::RelayHandle;
use crate::relay::newest_pace::NewestPace;
use crate::relay::peer_question::empty_answer;
use crate::relay::peer_question::read_question;

/// Longest question, in bytes.
const MAX_QUESTION_BYTES: usize = 4 * 1024;

/// Name of the counter of questions of other VMs for newest records.
const NEWEST_ASKED_EVENT: &str = "newest_asked";

/// Answers followers.
pub(super) struct FactServer {
    pub(super) driver: Arc<Driver>,
    pub(super) board: Arc<FactBoard>,
    /// Bandwidth of this VM's link, if known.
    pub(super) link_mbps: Option<u32>,
    /// Limits answers with all newest records.
    pub(super) pace: NewestPace,
}

impl FactServer {
    pub(super) async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let Some(_guard) = self.board.add_follower() else {
            return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
        };
        let Some(body) = read_question(request, MAX_QUESTION_BYTES).await else {
            log::info!("a question of another VM for facts could not be read");
            return empty_answer(StatusCode::BAD_REQUEST);
        };
        match decode_facts::<FactsQuestion>(&body) {
            Ok(question) if !question.newest.is_empty() => self.answer_newest(&question),
            Ok(question) => self.answer_question(&question).await,
            Err(error) => {
                log::warn!("a question of another VM for facts is refused: {error}");
                empty_answer(StatusCode::BAD_REQUEST)
            }
        }
    }

    /// Answers when there is news, when a read of the store has ended, or when the other VM wants no longer to wait and no read is
    /// due.
    async fn answer_question(&self, question: &FactsQuestion) -> Response<AnswerBody> {
        let times = &self.board.times;
        let waiting = WaitingQuestion {
            arrived_at: self.board.now(),
            wait: Duration::from_millis(question.wait_ms).min(times.wait),
            known_as_of: self.board.as_of(StoreTopic::Endpoints),
        };
        let longest_wait = times.longest_wait(waiting.wait);
        loop {
            let facts = self.facts_for(question);
            let Some(facts) = facts.filter(|_| self.driver.may_be_followed()) else {
                return empty_answer(StatusCode::CONFLICT);
            };
            let now = self.board.now();
            let waited = now.saturating_sub(waiting.arrived_at);
            let has_news = facts.iter().any(|facts| !facts.span.records.is_empty());
            let as_of = self.board.as_of(StoreTopic::Endpoints);
            if has_news || times.is_answer_due(&waiting, as_of, now) {
                let max_bytes = max_passed_bytes(self.link_mbps, self.board.followers());
                return answer_with(facts, waited, max_bytes);
            }
            self.board
                .changed(longest_wait.saturating_sub(waited))
                .await;
        }
    }

    /// Answers with all newest records of topics. A VM that follows another one may do so: their age is passed on with them.
    fn answer_newest(&self, question: &FactsQuestion) -> Response<AnswerBody> {
        let asked = question.newest.iter();
        let asked = asked.map(|name| TOPICS.into_iter().find(|topic| *topic.name() == **name));
        let newest = asked.map(|topic| self.board.newest(topic?));
        let newest: Option<Vec<PassedNewest>> = newest.collect();
        let metrics = &self.driver.io().metrics;
        let Some(newest) = newest.filter(|_| self.driver.is_ready()) else {
            metrics.count(NEWEST_ASKED_EVENT, "not_ready");
            return empty_answer(StatusCode::CONFLICT);
        };
        let bytes = newest.iter().map(newest_bytes).sum();
        if !self.pace.admit(bytes, self.board.now()) {
            metrics.count(NEWEST_ASKED_EVENT, "busy");
            return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
        }
        metrics.count(NEWEST_ASKED_EVENT, "passed");
        let now = self.board.now();
        let newest = newest.into_iter();
        let answer = FactsAnswer {
            waited_ms: 0,
            topics: Vec::new(),
            newest: newest.map(|newest| topic_newest(newest, now)).collect(),
        };
        Response::new(AnswerBody::whole(encode_facts(&answer)))
    }

    /// Returns what is new to another VM in each topic that this VM knows; none if that can't be said of one of them.
    fn facts_for(&self, question: &FactsQuestion) -> Option<Vec<PassedFacts>> {
        let asked = question.positions.iter().filter_map(|position| {
            let topic = TOPICS
                .into_iter()
                .find(|topic| *topic.name() == *position.topic)?;
            let from = FactPosition {
                offset: position.offset,
                era: position.era,
            };
            Some(self.board.since(topic, from))
        });
        asked.collect()
    }
}

fn answer_with(
    facts: Vec<PassedFacts>,
    waited: Duration,
    max_bytes: usize,
) -> Response<AnswerBody> {
    let facts = facts.into_iter();
    let answer = FactsAnswer {
        waited_ms: millis(waited),
        topics: facts.map(|facts| topic_news(facts, max_bytes)).collect(),
        newest: Vec::new(),
    };
    Response::new(AnswerBody::whole(encode_facts(&answer)))
}

/// Returns all newest records of a topic as they are passed on.
fn topic_newest(newest: PassedNewest, now: Duration) -> TopicNewest {
    let records = newest.records.iter().map(|(key, value)| NewestRecord {
        key: key.clone(),
        // A value that is no text can be read at no VM.
        value: String::from_utf8_lossy(value).into_owned(),
    });
    TopicNewest {
        position: TopicPosition {
            topic: newest.topic.name().into(),
            offset: newest.position.offset,
            era: newest.position.era,
        },
        age_ms: millis(now.saturating_sub(newest.as_of)),
        records: records.collect(),
    }
}

/// Returns the size of keys and values.
fn newest_bytes(newest: &PassedNewest) -> usize {
    let records = newest.records.iter();
    records.map(|(key, value)| key.len() + value.len()).sum()
}

/// Returns news as it is passed on: the first part of news of more than `max_bytes`. The follower reads a record that is longer by
/// itself from the store.
fn topic_news(mut facts: PassedFacts, max_bytes: usize) -> TopicNews {
    let from = facts.span.from;
    let first = facts.span.records.first();
    let is_in_store = first.is_some_and(|first| first.bytes() > max_bytes);
    let has_more = facts.span.truncate(max_bytes) && !is_in_store;
    TopicNews {
        from: TopicPosition {
            topic: facts.topic.name().into(),
            offset: from.offset,
            era: from.era,
        },
        next: if is_in_store {
            from.offset
        } else {
            facts.span.next
        },
        age_ms: if has_more {
            UNKNOWN_AGE_MS
        } else {
            millis(facts.age)
        },
        records: facts.span.records.iter().map(passed_record).collect(),
        is_in_store,
        has_more,
    }
}

fn passed_record(record: &FactRecord) -> PassedRecord {
    let value = record.value.as_ref();
    PassedRecord {
        offset: record.offset,
        key: record.key.clone(),
        // A value that is no text can be read at no VM.
        value: value.map(|value| String::from_utf8_lossy(value).into_owned()),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
