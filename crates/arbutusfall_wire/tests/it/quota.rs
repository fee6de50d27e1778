//! Messages about quotas, also those of VMs of other builds.

use arbutusfall_wire::*;

fn ask() -> QuotaAsk {
    QuotaAsk {
        account: "museum".into(),
        needed: 2.0,
        wanted: 3.0,
        first: 1.0,
        rank: 0,
    }
}

// Guards against questions that owners of earlier builds refuse: they require the field.
#[test]
fn rank_is_sent() {
    let question = serde_json::to_value(ask()).expect("a question is JSON");
    assert_eq!(question["rank"], 0);
}

// Guards against a later build that cannot leave the field out.
#[test]
fn rank_may_be_missing() {
    let question = r#"{"account":"museum","needed":2.0,"wanted":3.0,"first":1.0}"#;
    let read: QuotaAsk = serde_json::from_str(question).expect("the question is complete");
    assert_eq!(read, ask());
}
