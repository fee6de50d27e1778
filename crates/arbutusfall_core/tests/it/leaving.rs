//! Tests of leaving endpoints: requests with an earlier grant finish, and new work is refused immediately.

use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::CallId;
use arbutusfall_core::Effect;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::Event;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::Stage;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Offset;
use arbutusfall_wire::RequestId;
use serde_json::json;
use uuid::Uuid;

use crate::session::Session;
use crate::session::completion;
use crate::session::site_base;

/// The log's answer with a base that marks every engine as leaving.
fn all_engines_leave() -> Event {
    let mut base = site_base();
    for engine in ["prefill-1", "prefill-2", "decode-1", "decode-2"] {
        base["endpoints"][engine]["leaving"] = json!(true);
    }
    let record = ConfigRecord::Publish {
        publish_id: Uuid::from_u128(2),
        document: Document::Base,
        parent: Some(Offset(0)),
        content: base,
    };
    let text = serde_json::to_string(&record).expect("records are JSON");
    Event::Log(LogEvent::Read {
        stream: LogStream::Config,
        era: LogEra::default(),
        from: Offset(1),
        oldest: Offset(0),
        end: Offset(2),
        records: vec![LogRecord {
            offset: Offset(1),
            age: Duration::ZERO,
            text: text.into(),
        }],
    })
}

#[test]
fn a_grant_from_before_the_endpoint_was_leaving_remains_valid() {
    let mut session = Session::serving("milano-a-1", &["milano-a-1"]);
    let attempt = |stage| AttemptId {
        request: RequestId {
            incarnation: Incarnation(7),
            sequence: 1,
        },
        placement: 1,
        stage,
    };
    session.apply(Event::Completion(completion(1)));
    session.advance(Duration::from_millis(100));
    session.apply(all_engines_leave());
    let second = session.apply(Event::Completion(completion(2)));
    let refused = second.iter().any(|effect| {
        matches!(effect, Effect::AnswerProblem { call: CallId(2), problem } if problem.retry_after.is_some())
    });
    assert!(refused, "{second:?}");
    session.advance(Duration::from_millis(100));
    session.apply(Event::Engine(EngineEvent::PrefillDone {
        attempt: attempt(Stage::Prefill),
        transfer: "{}".into(),
        cached_tokens: Some(0),
    }));
    session.advance(Duration::from_millis(65));
    session.apply(Event::Engine(EngineEvent::Tokens {
        attempt: attempt(Stage::Decode),
        first_index: 0,
        texts: vec!["a ".into(), "b ".into()],
    }));
    session.advance(Duration::from_millis(25));
    let effects = session.apply(Event::Engine(EngineEvent::DecodeDone {
        attempt: attempt(Stage::Decode),
        generated_tokens: 2,
    }));
    let finished = Effect::Finish {
        call: CallId(1),
        generated_tokens: 2,
    };
    assert!(effects.contains(&finished), "{effects:?}");
}
