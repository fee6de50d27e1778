//! Tests of the configuration reader: outages, gaps, peers, unanswered reads and snapshots.

use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::LogEra;
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

/// Records that publish a base and nine edits of it.
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

/// The log's answer to a read at `from`, with all records that retention kept.
fn log_read(from: u64, oldest: usize, records: &[String]) -> Event {
    let all_records = records.iter().enumerate();
    let kept = all_records.skip(oldest.max(from as usize));
    Event::Log(LogEvent::Read {
        stream: LogStream::Config,
        era: LogEra::default(),
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

fn peer_next_offset(next: u64) -> Event {
    from_peer(PeerMessage::ProbeAck(Probe {
        sequence: 0,
        member_updates: Vec::new(),
        next_config_offset: Offset(next),
    }))
}

fn peer_push(snapshot_json: String) -> Event {
    from_peer(PeerMessage::PushConfig(PushConfig { snapshot_json }))
}

fn started() -> Session {
    let mut session = Session::new("a");
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed("a"), listed("b")]));
    session
}

fn max_connections(session: &Session) -> Option<u32> {
    session
        .node
        .site_config()
        .map(|site| site.limits.max_connections)
}

fn count_reads(effects: &[Effect]) -> usize {
    let all_effects = effects.iter();
    all_effects
        .filter(|effect| matches!(effect, Effect::ReadLog { .. }))
        .count()
}

fn sends_pull(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| {
        let Effect::Send { message, .. } = effect else {
            return false;
        };
        matches!(message, PeerMessage::PullConfig(_))
    })
}

fn count_appends(effects: &[Effect]) -> usize {
    let all_effects = effects.iter();
    all_effects
        .filter(|effect| matches!(effect, Effect::Append { .. }))
        .count()
}

#[test]
fn a_vm_that_starts_while_the_log_is_down_catches_up_from_a_peer() {
    let records = records();
    let mut session = started();
    assert!(
        !sends_pull(&session.apply(peer_next_offset(10))),
        "the log takes precedence"
    );
    session.apply(read_failed());
    assert!(sends_pull(&session.apply(peer_next_offset(10))));
    let effects = session.apply(peer_push(snapshot_of(&records)));
    assert!(effects.contains(&Effect::SetReady(true)));
    assert_eq!(max_connections(&session), Some(1_009));
    // The log answers again and confirms the peer's state.
    session.apply(log_read(10, 0, &records));
    assert_eq!(max_connections(&session), Some(1_009));
}

#[test]
fn an_older_peer_state_and_an_unrequested_push_change_nothing() {
    let records = records();
    let mut session = started();
    session.apply(peer_push(snapshot_of(&records)));
    assert_eq!(max_connections(&session), None);
    session.apply(log_read(0, 0, &records));
    session.apply(read_failed());
    assert!(!sends_pull(&session.apply(peer_next_offset(9))));
    session.apply(peer_next_offset(11));
    session.apply(peer_push(snapshot_of(&records[..3])));
    assert_eq!(max_connections(&session), Some(1_009));
    session.apply(peer_push("{".to_owned()));
    assert_eq!(max_connections(&session), Some(1_009));
}

#[test]
fn a_peers_state_beyond_the_end_of_the_log_is_discarded() {
    let records = records();
    let mut session = started();
    session.apply(read_failed());
    session.apply(peer_next_offset(10));
    session.apply(peer_push(snapshot_of(&records)));
    assert_eq!(max_connections(&session), Some(1_009));
    session.apply(log_read(10, 0, &records[..5]));
    session.apply(log_read(0, 0, &records[..5]));
    assert_eq!(max_connections(&session), Some(1_004));
}

#[test]
fn a_gap_clears_readiness_until_a_peers_state_closes_it() {
    let records = records();
    let mut session = started();
    session.apply(log_read(0, 0, &records[..3]));
    // Retention removed records 3 to 6 while this VM was frozen.
    let effects = session.apply(log_read(3, 7, &records));
    let effects = [effects, session.apply(log_read(10, 7, &records))].concat();
    let notice = Notice::ConfigGap {
        next: Offset(3),
        oldest: Offset(7),
    };
    assert!(effects.contains(&Effect::Note(notice)));
    assert!(effects.contains(&Effect::SetReady(false)));
    assert_eq!(max_connections(&session), Some(1_002));
    assert!(sends_pull(&session.apply(peer_next_offset(10))));
    let effects = session.apply(peer_push(snapshot_of(&records)));
    assert!(effects.contains(&Effect::SetReady(true)));
    assert_eq!(max_connections(&session), Some(1_009));
}

#[test]
fn a_new_vm_is_not_ready_at_a_gap_until_a_snapshot_closes_it() {
    let mut records = records();
    let snapshot = snapshot_of(&records[..8]);
    let mut session = started();
    session.apply(log_read(0, 5, &records));
    let effects = session.apply(log_read(10, 5, &records));
    assert_eq!(max_connections(&session), None);
    assert_eq!(count_reads(&effects), 1);
    // The snapshot covers records 0 to 7 and has offset 10, so records 8 and 9 must be read again.
    records.push(snapshot);
    session.apply(log_read(10, 5, &records));
    let effects = session.apply(log_read(8, 5, &records));
    assert!(effects.contains(&Effect::SetReady(true)));
    assert_eq!(max_connections(&session), Some(1_009));
}

#[test]
fn a_peer_that_is_ahead_starts_one_more_read_while_one_is_unanswered() {
    let records = records();
    let mut session = started();
    session.apply(log_read(0, 0, &records[..9]));
    assert_eq!(count_reads(&session.apply(peer_next_offset(10))), 1);
    assert_eq!(
        count_reads(&session.apply(peer_next_offset(10))),
        0,
        "only one additional read"
    );
    let effects = session.apply(log_read(9, 0, &records));
    assert_eq!(max_connections(&session), Some(1_009));
    assert_eq!(
        count_reads(&effects),
        0,
        "the unanswered read is still in progress"
    );
    session.apply(read_failed());
    session.advance(Duration::from_secs(1));
    let effects = session.apply(Event::Tick);
    assert_eq!(count_reads(&effects), 1, "the failed read is retried");
}

// Guards against a reader that asks a silent log to wait for new records again and again, so that it notices the log's
// recovery only when that wait has passed.
#[test]
fn a_read_after_a_failed_one_does_not_wait_for_records() {
    let records = records();
    let mut session = started();
    let waits: Vec<Duration> = read_waits(&session.apply(log_read(0, 0, &records)));
    assert_eq!(waits, [Duration::from_secs(5)]);
    session.apply(read_failed());
    session.advance(Duration::from_secs(1));
    let waits = read_waits(&session.apply(Event::Tick));
    assert_eq!(waits, [Duration::ZERO]);
}

fn read_waits(effects: &[Effect]) -> Vec<Duration> {
    let waits = effects.iter().filter_map(|effect| match effect {
        Effect::ReadLog { wait, .. } => Some(*wait),
        _ => None,
    });
    waits.collect()
}

#[test]
fn a_snapshot_is_written_when_due_unless_a_recent_one_exists() {
    let mut records = records();
    let mut session = started();
    session.apply(log_read(0, 0, &records));
    let hour = Duration::from_secs(3_600);
    session.advance(hour);
    let effects = session.apply(Event::Tick);
    assert_eq!(count_appends(&effects), 1);
    records.push(snapshot_of(&records));
    session.apply(log_read(10, 0, &records));
    session.advance(hour / 4);
    assert_eq!(count_appends(&session.apply(Event::Tick)), 0);
}

#[test]
fn a_stream_that_a_new_vm_cannot_fold_gets_an_urgent_snapshot() {
    let mut records = records();
    records.push(snapshot_of(&records));
    let mut session = started();
    session.apply(log_read(0, 0, &records));
    records.push("{}".to_owned());
    // The snapshot is recent, but retention has removed it.
    session.apply(log_read(11, 11, &records));
    session.advance(Duration::from_secs(5));
    let effects = session.apply(Event::Tick);
    assert_eq!(count_appends(&effects), 1);
}

#[test]
fn a_draining_vm_does_not_become_ready() {
    let mut session = started();
    session.apply(Event::Terminate);
    let effects = session.apply(config_read(site_base()));
    assert!(!effects.contains(&Effect::SetReady(true)));
}

#[test]
fn readiness_is_reported_after_the_configuration_is_in_force() {
    let mut session = Session::new("plovdiv-a-1");
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed("plovdiv-a-1")]));
    let effects = session.apply(config_read(crate::session::site_base()));
    let position = |wanted: fn(&Effect) -> bool| effects.iter().position(wanted);
    let in_force = position(|effect| matches!(effect, Effect::ConfigInForce { .. }));
    let ready = position(|effect| *effect == Effect::SetReady(true));
    assert!(in_force.is_some() && in_force < ready, "{effects:?}");
}

// Guards against a VM that is ready before it has read the VM list: it knows no owner and refuses every model request.
#[test]
fn readiness_is_reported_after_the_vm_list_is_read() {
    let mut session = Session::new("plovdiv-a-1");
    session.apply(Event::Started);
    let effects = session.apply(config_read(site_base()));
    assert!(!effects.contains(&Effect::SetReady(true)), "{effects:?}");
    let effects = session.apply(Event::VmList(vec![listed("plovdiv-a-1")]));
    assert!(effects.contains(&Effect::SetReady(true)), "{effects:?}");
}
