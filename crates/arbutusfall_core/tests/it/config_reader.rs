//! Reading of the configuration stream: outages, gaps, peers, silent reads and snapshots.

use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::Notice;
use arbutusfall_core::config::ConfigFold;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Probe;
use arbutusfall_wire::PushConfig;
use arbutusfall_wire::Sender;
use serde_json::json;
use uuid::Uuid;

use crate::session::Session;
use crate::session::config_read;
use crate::session::listed;
use crate::session::site_base;

/// A base and nine edits of it, as records.
fn records() -> Vec<String> {
    let edits = (0..10u64).map(|number| {
        let mut base = site_base();
        base["limits"] = json!({ "max_connections": 1_000 + number });
        let record = ConfigRecord::Publish {
            publish_id: Uuid::from_u128(u128::from(number) + 1),
            document: Document::Base,
            parent: number.checked_sub(1).map(Offset),
            content: base,
        };
        serde_json::to_string(&record).expect("records are JSON")
    });
    edits.collect()
}

fn snapshot_of(records: &[String]) -> String {
    let mut fold = ConfigFold::default();
    for (offset, text) in records.iter().enumerate() {
        fold.apply(Offset(offset as u64), text);
    }
    let snapshot = fold.snapshot().expect("records were folded");
    serde_json::to_string(&snapshot).expect("records are JSON")
}

/// The log's answer with all records from the oldest kept one on.
fn page(from: u64, oldest: usize, records: &[String]) -> Event {
    let kept = records.iter().enumerate();
    let kept = kept.skip(oldest.max(from as usize));
    Event::Log(LogEvent::Read {
        stream: LogStream::Config,
        from: Offset(from),
        oldest: Offset(oldest as u64),
        end: Offset(records.len() as u64),
        records: kept
            .map(|(offset, text)| LogRecord {
                offset: Offset(offset as u64),
                age: Duration::from_secs(10),
                text: text.as_str().into(),
            })
            .collect(),
    })
}

fn read_failed() -> Event {
    Event::Log(LogEvent::ReadFailed {
        stream: LogStream::Config,
    })
}

fn from_peer(message: PeerMessage) -> Event {
    let from = Sender {
        vm: "b".into(),
        incarnation: Incarnation(8),
    };
    Event::Peer { from, message }
}

fn position(next: u64) -> Event {
    from_peer(PeerMessage::ProbeAck(Probe {
        sequence: 0,
        news: Vec::new(),
        config_next: Offset(next),
    }))
}

fn push(snapshot_json: String) -> Event {
    from_peer(PeerMessage::PushConfig(PushConfig { snapshot_json }))
}

fn started() -> Session {
    let mut session = Session::new("a");
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed("a"), listed("b")]));
    session
}

fn connections(session: &Session) -> Option<u32> {
    session.node.site().map(|site| site.limits.max_connections)
}

fn reads(effects: &[Effect]) -> usize {
    let reads = effects.iter();
    reads
        .filter(|effect| matches!(effect, Effect::ReadLog { .. }))
        .count()
}

fn pulls(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| {
        let Effect::Send { message, .. } = effect else {
            return false;
        };
        matches!(message, PeerMessage::PullConfig(_))
    })
}

fn appends(effects: &[Effect]) -> usize {
    let appends = effects.iter();
    appends
        .filter(|effect| matches!(effect, Effect::Append { .. }))
        .count()
}

#[test]
fn a_vm_that_starts_while_the_log_is_down_catches_up_from_a_peer() {
    let records = records();
    let mut session = started();
    assert!(!pulls(&session.apply(position(10))), "the log goes first");
    session.apply(read_failed());
    assert!(pulls(&session.apply(position(10))));
    let effects = session.apply(push(snapshot_of(&records)));
    assert!(effects.contains(&Effect::SetReady(true)));
    assert_eq!(connections(&session), Some(1_009));
    // The log comes back with what the peer told.
    session.apply(page(10, 0, &records));
    assert_eq!(connections(&session), Some(1_009));
}

#[test]
fn a_peers_older_state_and_a_push_nobody_asked_for_change_nothing() {
    let records = records();
    let mut session = started();
    session.apply(push(snapshot_of(&records)));
    assert_eq!(connections(&session), None);
    session.apply(page(0, 0, &records));
    session.apply(read_failed());
    assert!(!pulls(&session.apply(position(9))));
    session.apply(position(11));
    session.apply(push(snapshot_of(&records[..3])));
    assert_eq!(connections(&session), Some(1_009));
    session.apply(push("{".to_owned()));
    assert_eq!(connections(&session), Some(1_009));
}

#[test]
fn a_peers_state_that_the_log_does_not_reach_is_dropped() {
    let records = records();
    let mut session = started();
    session.apply(read_failed());
    session.apply(position(10));
    session.apply(push(snapshot_of(&records)));
    assert_eq!(connections(&session), Some(1_009));
    session.apply(page(10, 0, &records[..5]));
    session.apply(page(0, 0, &records[..5]));
    assert_eq!(connections(&session), Some(1_004));
}

#[test]
fn a_gap_takes_readiness_until_a_peer_heals_it() {
    let records = records();
    let mut session = started();
    session.apply(page(0, 0, &records[..3]));
    // Retention removed records 3 to 6 while this VM was frozen.
    let effects = session.apply(page(3, 7, &records));
    let effects = [effects, session.apply(page(10, 7, &records))].concat();
    let notice = Notice::ConfigGap {
        next: Offset(3),
        oldest: Offset(7),
    };
    assert!(effects.contains(&Effect::Note(notice)));
    assert!(effects.contains(&Effect::SetReady(false)));
    assert_eq!(connections(&session), Some(1_002));
    assert!(pulls(&session.apply(position(10))));
    let effects = session.apply(push(snapshot_of(&records)));
    assert!(effects.contains(&Effect::SetReady(true)));
    assert_eq!(connections(&session), Some(1_009));
}

#[test]
fn a_new_vm_is_not_ready_at_a_gap_and_a_snapshot_heals_it() {
    let mut records = records();
    let snapshot = snapshot_of(&records[..8]);
    let mut session = started();
    session.apply(page(0, 5, &records));
    let effects = session.apply(page(10, 5, &records));
    assert_eq!(connections(&session), None);
    assert_eq!(reads(&effects), 1);
    // The snapshot lags its own offset: records 8 and 9 stand between.
    records.push(snapshot);
    session.apply(page(10, 5, &records));
    let effects = session.apply(page(8, 5, &records));
    assert!(effects.contains(&Effect::SetReady(true)));
    assert_eq!(connections(&session), Some(1_009));
}

#[test]
fn a_peers_position_starts_one_read_beside_a_silent_one() {
    let records = records();
    let mut session = started();
    session.apply(page(0, 0, &records[..9]));
    assert_eq!(reads(&session.apply(position(10))), 1);
    assert_eq!(reads(&session.apply(position(10))), 0, "one at a time");
    let effects = session.apply(page(9, 0, &records));
    assert_eq!(connections(&session), Some(1_009));
    assert_eq!(reads(&effects), 0, "the silent read is still in progress");
    session.apply(read_failed());
    session.advance(Duration::from_secs(1));
    let effects = session.apply(Event::Tick);
    assert_eq!(reads(&effects), 1, "its place is taken");
}

#[test]
fn a_snapshot_is_written_when_due_and_not_after_another_vms() {
    let mut records = records();
    let mut session = started();
    session.apply(page(0, 0, &records));
    let hour = Duration::from_secs(3_600);
    session.advance(hour);
    let effects = session.apply(Event::Tick);
    assert_eq!(appends(&effects), 1);
    records.push(snapshot_of(&records));
    session.apply(page(10, 0, &records));
    session.advance(hour / 4);
    assert_eq!(appends(&session.apply(Event::Tick)), 0);
}

#[test]
fn a_stream_that_no_new_vm_could_read_gets_a_snapshot_at_once() {
    let mut records = records();
    records.push(snapshot_of(&records));
    let mut session = started();
    session.apply(page(0, 0, &records));
    records.push("{}".to_owned());
    // The snapshot is recent, and gone.
    session.apply(page(11, 11, &records));
    session.advance(Duration::from_secs(5));
    let effects = session.apply(Event::Tick);
    assert_eq!(appends(&effects), 1);
}

#[test]
fn a_draining_vm_does_not_become_ready() {
    let mut session = started();
    session.apply(Event::Terminate);
    let effects = session.apply(config_read(site_base()));
    assert!(!effects.contains(&Effect::SetReady(true)));
}

#[test]
fn ready_is_told_after_the_configuration() {
    let mut session = Session::new("plovdiv-a-1");
    session.apply(Event::Started);
    let effects = session.apply(config_read(crate::session::site_base()));
    let position = |wanted: fn(&Effect) -> bool| effects.iter().position(wanted);
    let in_force = position(|effect| matches!(effect, Effect::ConfigInForce { .. }));
    let ready = position(|effect| *effect == Effect::SetReady(true));
    assert!(in_force.is_some() && in_force < ready, "{effects:?}");
}
