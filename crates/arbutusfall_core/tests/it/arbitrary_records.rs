//! Property tests with arbitrary documents and log records: no panic, and only an accepted document or record
//! changes the state.

use arbutusfall_core::config::ConfigFold;
use arbutusfall_core::config::FoldOutcome;
use arbutusfall_core::config::check_documents;
use arbutusfall_core::config::parse_document;
use arbutusfall_wire::ClaimRecord;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::Offset;
use proptest::collection::btree_map;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::session::site_base;

/// Seed of the property tests in this file.
const SEED: u64 = 21;

fn property_test_config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    let names = prop_oneof![
        ".{0,8}",
        Just("publish".to_owned()),
        Just("snapshot".to_owned()),
        Just("claim".to_owned()),
        Just("sites".to_owned()),
        Just("models".to_owned()),
    ];
    leaf.prop_recursive(4, 30, 5, move |inner| {
        prop_oneof![
            vec(inner.clone(), 0..5).prop_map(Value::from),
            btree_map(names.clone(), inner, 0..5)
                .prop_map(|entries| Value::Object(entries.into_iter().collect())),
        ]
    })
}

/// Replaces the value that `path` selects; each step is taken modulo the number of entries.
fn replace(value: &mut Value, path: &[usize], with: Value) {
    let Some((step, rest)) = path.split_first() else {
        *value = with;
        return;
    };
    match value {
        Value::Object(entries) if !entries.is_empty() => {
            let index = step % entries.len();
            if let Some(inner) = entries.values_mut().nth(index) {
                replace(inner, rest, with);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            let index = step % items.len();
            replace(&mut items[index], rest, with);
        }
        other => *other = with,
    }
}

fn publication(content: Value) -> ConfigRecord {
    ConfigRecord::Publish {
        publish_id: Uuid::from_u128(9),
        document: Document::Base,
        parent: Some(Offset(0)),
        content,
    }
}

fn fold_with_base() -> ConfigFold {
    let mut fold = ConfigFold::default();
    let record = ConfigRecord::Publish {
        publish_id: Uuid::from_u128(1),
        document: Document::Base,
        parent: None,
        content: site_base(),
    };
    let text = serde_json::to_string(&record).expect("records are JSON");
    assert_eq!(
        fold.apply(Offset(0), &text),
        FoldOutcome::Accepted(Document::Base)
    );
    fold
}

/// Applies a record and checks that only an accepted one changed the base.
fn apply_checked(text: &str) -> Result<(), TestCaseError> {
    let mut fold = fold_with_base();
    let before = fold.content(&Document::Base).cloned();
    let outcome = fold.apply(Offset(1), text);
    let after = fold.content(&Document::Base).cloned();
    if !matches!(outcome, FoldOutcome::Accepted(_) | FoldOutcome::Restored) {
        prop_assert_eq!(before, after);
    }
    if let (FoldOutcome::Accepted(_), Some(base)) = (outcome, fold.content(&Document::Base)) {
        prop_assert!(check_documents(base, &Default::default()).is_ok());
    }
    prop_assert_eq!(fold.next_offset(), Offset(2));
    Ok(())
}

proptest! {
    #![proptest_config(property_test_config())]

    #[test]
    fn any_text_parses_or_gives_an_error_with_a_message(text in ".{0,200}") {
        if let Err(error) = parse_document(&text) {
            prop_assert!(!error.to_string().is_empty());
        }
        let _ = serde_json::from_str::<ClaimRecord>(&text);
        apply_checked(&text)?;
    }

    #[test]
    fn any_json_changes_nothing_unless_accepted(value in any_json()) {
        let text = value.to_string();
        let _ = serde_json::from_str::<ClaimRecord>(&text);
        let _ = check_documents(&value, &Default::default());
        apply_checked(&text)?;
        let record = serde_json::to_string(&publication(value)).expect("records are JSON");
        apply_checked(&record)?;
    }

    #[test]
    fn damaged_bases_are_valid_or_rejected_with_reported_problems(
        path in vec(any::<usize>(), 1..6),
        with in any_json(),
    ) {
        let mut base = site_base();
        replace(&mut base, &path, with);
        if let Err(problems) = check_documents(&base, &Default::default()) {
            prop_assert!(!problems.is_empty());
            for problem in problems {
                prop_assert!(!problem.found.is_empty() && !problem.allowed.is_empty());
            }
        }
        let record = serde_json::to_string(&publication(base)).expect("records are JSON");
        apply_checked(&record)?;
    }

    #[test]
    fn damaged_records_change_nothing_unless_accepted(
        path in vec(any::<usize>(), 1..6),
        with in any_json(),
    ) {
        let mut record = json!(publication(site_base()));
        replace(&mut record, &path, with);
        apply_checked(&record.to_string())?;
    }
}
