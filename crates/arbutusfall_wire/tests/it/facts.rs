//! Messages about facts of the store, also those of VMs of other versions.

use arbutusfall_wire::*;
use assert_matches::assert_matches;
use proptest::collection::vec;
use proptest::prelude::*;

fn answer() -> FactsAnswer {
    let from = TopicPosition {
        topic: "config".into(),
        offset: Offset(7),
        era: Some(2),
    };
    let record = PassedRecord {
        offset: Offset(8),
        key: "config".into(),
        value: Some("{\"version\":4}".to_owned()),
    };
    FactsAnswer {
        waited_ms: 40,
        topics: vec![TopicNews {
            from,
            next: Offset(9),
            age_ms: 3,
            records: vec![record],
            is_in_store: false,
            has_more: false,
        }],
        newest: Vec::new(),
    }
}

// Guards against a message that a VM of a newer version can't send to this one, and the other way round.
#[test]
fn unknown_fields_are_passed_over_and_missing_ones_have_defaults() {
    let newer = r#"{"waited_ms":40,"mood":"calm","topics":[{"topic":"config","offset":7,"era":2,"next":9,"age_ms":3,
        "hops":1,"records":[{"offset":8,"key":"config","value":"{\"version\":4}","zone":"a"}]}]}"#;
    let decoded: FactsAnswer = decode_facts(newer.as_bytes()).expect("it is a message");
    assert_eq!(decoded, answer());
}

// Guards against a changed form of the messages: VMs of this version and of older ones pass facts on to each other.
#[test]
fn messages_keep_their_form() {
    let text = String::from_utf8(encode_facts(&answer())).expect("it is JSON");
    let expected = r#"{"waited_ms":40,"topics":[{"topic":"config","offset":7,"era":2,"next":9,"age_ms":3,"records":[{"offset":8,"key":"config","value":"{\"version\":4}"}],"is_in_store":false}]}"#;
    assert_eq!(text, expected);
}

// Guards against a question that VMs of older builds refuse, and newest records that VMs of this build don't understand.
#[test]
fn messages_with_newest_records_keep_their_form() {
    let question = FactsQuestion {
        wait_ms: 0,
        positions: Vec::new(),
        newest: vec!["config".into()],
    };
    let text = String::from_utf8(encode_facts(&question)).expect("it is JSON");
    assert_eq!(text, r#"{"wait_ms":0,"positions":[],"newest":["config"]}"#);
    let newest = TopicNewest {
        position: answer().topics[0].from.clone(),
        age_ms: 3,
        records: vec![NewestRecord {
            key: "config".into(),
            value: "{}".to_owned(),
        }],
    };
    let answer = FactsAnswer {
        waited_ms: 0,
        topics: Vec::new(),
        newest: vec![newest],
    };
    let text = String::from_utf8(encode_facts(&answer)).expect("it is JSON");
    let expected = r#"{"waited_ms":0,"topics":[],"newest":[{"topic":"config","offset":7,"era":2,"age_ms":3,"records":[{"key":"config","value":"{}"}]}]}"#;
    assert_eq!(text, expected);
    let decoded: FactsAnswer = decode_facts(text.as_bytes()).expect("it is a message");
    assert_eq!(decoded, answer);
}

// Guards against the part of a message that is taken for a whole one.
#[test]
fn truncated_messages_are_refused() {
    let bytes = encode_facts(&answer());
    for length in 0..bytes.len() {
        let decoded = decode_facts::<FactsAnswer>(&bytes[..length]);
        assert_matches!(decoded, Err(FactsError::Malformed(_)), "{length}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against bytes of another VM that end the process.
    #[test]
    fn any_bytes_are_refused_or_decoded(bytes in vec(any::<u8>(), 0..300)) {
        let _ = decode_facts::<FactsQuestion>(&bytes);
        let _ = decode_facts::<FactsAnswer>(&bytes);
    }
}

// Guards against configurations with API keys in log lines, when a VM of another version passes records on in another form.
#[test]
fn error_does_not_quote_the_message() {
    let message = r#"{"waited_ms":0,"topics":"sk-secret"}"#;
    let error = decode_facts::<FactsAnswer>(message.as_bytes()).expect_err("it is no message");
    assert!(
        !format!("{error} {error:?}").contains("sk-secret"),
        "{error}"
    );
}
