//! Checks that the operators' page lists every counter and every notice.

use arbutusfall_core::Counter;
use arbutusfall_core::LogStream;
use arbutusfall_core::Notice;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Offset;

const OPERATIONS_PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

#[test]
fn operations_page_lists_every_counter() {
    for counter in Counter::ALL {
        let entry = format!("| `{}` |", counter.name());
        assert!(OPERATIONS_PAGE.contains(&entry), "{entry}");
    }
}

/// Returns one notice of each kind. The match has no wildcard, so that a new kind fails to compile here; it must also
/// be added to the list.
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
        Notice::ConfigOlder {
            base: offset,
            overlay: None,
        },
        Notice::LogRestored { from: 0, to: 1 },
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
            | Notice::ConfigOlder { .. }
            | Notice::LogRestored { .. }
            | Notice::Member { .. }
            | Notice::Draining
            | Notice::Drained => {}
        }
    }
    all
}

#[test]
fn operations_page_lists_every_notice() {
    for notice in notices() {
        let value = serde_json::to_value(&notice).expect("a notice serializes to JSON");
        let name = match &value {
            serde_json::Value::String(name) => name.clone(),
            other => other
                .as_object()
                .and_then(|object| object.keys().next().cloned())
                .unwrap_or_default(),
        };
        let entry = format!("| `{name}` |");
        assert!(OPERATIONS_PAGE.contains(&entry), "{entry}");
    }
}
