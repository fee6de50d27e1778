//! Golden session of one completion, from the caller's request to the last token.

use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::Effect;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::Event;
use arbutusfall_core::Stage;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::RequestId;

use crate::session::Session;
use crate::session::completion;

#[test]
fn completion_is_prefilled_decoded_and_answered() {
    let mut session = Session::serving("milano-a-1", &["milano-a-1"]);
    let request = RequestId {
        incarnation: Incarnation(7),
        sequence: 1,
    };
    let prefill = AttemptId {
        request,
        placement: 1,
        stage: Stage::Prefill,
    };
    let decode = AttemptId {
        stage: Stage::Decode,
        ..prefill
    };
    session.apply(Event::Completion(completion(1)));
    session.advance(Duration::from_millis(200));
    session.apply(Event::Engine(EngineEvent::PrefillDone {
        attempt: prefill,
        transfer: "{}".into(),
        cached_tokens: Some(0),
    }));
    session.advance(Duration::from_millis(65));
    session.apply(Event::Engine(EngineEvent::Tokens {
        attempt: decode,
        first_index: 0,
        texts: vec!["a ".into(), "b ".into()],
    }));
    session.advance(Duration::from_millis(25));
    let effects = session.apply(Event::Engine(EngineEvent::DecodeDone {
        attempt: decode,
        generated_tokens: 2,
    }));
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Finish { .. }))
    );
    insta::assert_snapshot!(session.golden());
}
