//! Tests of the configuration at its maximum size: 27,000 accounts and 39 models in one base, overlays for six sites.

use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::config::ConfigFold;
use arbutusfall_core::config::FoldOutcome;
use arbutusfall_core::config::effective_config;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::MAX_FRAME_BYTES;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::session::site_base;

const ACCOUNTS: usize = 27_000;
const MODELS: usize = 39;
const SITES: usize = 6;

fn large_base() -> Value {
    let mut base = site_base();
    let account = base["accounts"]["school"].clone();
    let model = base["models"]["draft-models"].clone();
    for number in 1..=ACCOUNTS {
        let mut account = account.clone();
        account["key_sha256"] = json!(format!("{number:064x}"));
        base["accounts"][format!("account-{number}")] = account;
    }
    for number in 0..MODELS {
        base["models"][format!("model-{number}")] = model.clone();
    }
    let sites: Vec<String> = (0..SITES).map(|site| format!("site-{site}")).collect();
    base["sites"] = json!(sites);
    base
}

fn publish(document: Document, parent: Option<Offset>, content: Value) -> String {
    let record = ConfigRecord::Publish {
        publish_id: Uuid::now_v7(),
        document,
        parent,
        content,
    };
    serde_json::to_string(&record).expect("records are JSON")
}

/// Folds the base and an overlay for each site.
fn large_fold() -> ConfigFold {
    let mut fold = ConfigFold::default();
    let text = publish(Document::Base, None, large_base());
    assert_eq!(
        fold.apply(Offset(0), &text),
        FoldOutcome::Accepted(Document::Base)
    );
    for site in 0..SITES {
        let document = Document::Overlay(format!("site-{site}").into());
        let content = json!({ "limits": { "max_connections": 1_000 + site } });
        let text = publish(document.clone(), None, content);
        let outcome = fold.apply(fold.next_offset(), &text);
        assert_eq!(outcome, FoldOutcome::Accepted(document));
    }
    fold
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

#[test]
fn a_snapshot_of_the_largest_configuration_fits_a_frame() {
    let snapshot = large_fold().snapshot().expect("records were folded");
    let text = serde_json::to_string(&snapshot).expect("records are JSON");
    println!("snapshot of {ACCOUNTS} accounts: {} bytes", text.len());
    assert!(text.len() < MAX_FRAME_BYTES);
}

#[test]
fn publications_to_the_largest_configuration_are_accepted() {
    let mut fold = large_fold();
    let mut overlay_times = Vec::new();
    let mut base_times = Vec::new();
    for number in 0..5 {
        let document = Document::Overlay("site-1".into());
        let content = json!({ "limits": { "max_connections": 2_000 + number } });
        let text = publish(document.clone(), fold.revision(&document), content);
        let started_at = Instant::now();
        assert_eq!(
            fold.apply(fold.next_offset(), &text),
            FoldOutcome::Accepted(document)
        );
        overlay_times.push(started_at.elapsed());
        let mut base = large_base();
        base["limits"] = json!({ "max_connections": 3_000 + number });
        let text = publish(Document::Base, fold.revision(&Document::Base), base);
        let started_at = Instant::now();
        let outcome = fold.apply(fold.next_offset(), &text);
        assert_eq!(outcome, FoldOutcome::Accepted(Document::Base));
        base_times.push(started_at.elapsed());
    }
    let overlay = fold.content(&Document::Overlay("site-1".into()));
    let base = fold.content(&Document::Base).expect("a base is in force");
    let started_at = Instant::now();
    let config = effective_config(base, overlay, &Name::from("site-1"));
    let effective = started_at.elapsed();
    assert!(config.is_ok());
    println!(
        "median time to apply an overlay {:?}, a base {:?}; effective configuration computed in {effective:?}",
        median(overlay_times),
        median(base_times)
    );
}
