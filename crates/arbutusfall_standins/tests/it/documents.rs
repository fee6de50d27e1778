//! Pages for operators name everything that the program can show.

use arbutusfall_core::Counter;
use arbutusfall_core::LogStream;
use arbutusfall_core::Notice;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Offset;

const OPERATING: &str = include_str!("../../../../docs/OPERATIONS.md");

#[test]
fn every_counter_is_on_the_operators_page() {
    for counter in Counter::ALL {
        let entry = format!("| `{}` |", counter.name());
        assert!(OPERATING.contains(&entry), "{entry}");
    }
}

/// One notice of each kind; the match makes the compiler ask for those that are added later.
fn notices() -> Vec<Notice> {
    let offset = Offset(1);
    let all = vec![
        Notice::ConfigInForce {
            base: offset,
            overlay: None,
        },
        Notice::ConfigGap {
            next: offset,
            oldest: offset,
        },
        Notice::ConfigDiscarded { next: offset },
        Notice::LogDown(LogStream::Config),
        Notice::LogUp(LogStream::Config),
        Notice::Member {
            vm: "milano-a-1".into(),
            state: MemberState::Dead,
        },
        Notice::Draining,
        Notice::Drained,
    ];
    for notice in &all {
        match notice {
            Notice::ConfigInForce { .. }
            | Notice::ConfigGap { .. }
            | Notice::ConfigDiscarded { .. }
            | Notice::LogDown(_)
            | Notice::LogUp(_)
            | Notice::Member { .. }
            | Notice::Draining
            | Notice::Drained => {}
        }
    }
    all
}

#[test]
fn every_notice_is_on_the_operators_page() {
    for notice in notices() {
        let value = serde_json::to_value(&notice).expect("notices are JSON");
        let name = match &value {
            serde_json::Value::String(name) => name.clone(),
            other => other
                .as_object()
                .and_then(|object| object.keys().next().cloned())
                .unwrap_or_default(),
        };
        let entry = format!("| `{name}` |");
        assert!(OPERATING.contains(&entry), "{entry}");
    }
}
