//! The log is restored from an older copy: what it loses is neither run a second time nor replaced by an older
//! configuration.

use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::Notice;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::ConfigFold;
use arbutusfall_wire::ClaimRecord;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Probe;
use arbutusfall_wire::PushConfig;
use serde::Serialize;
use serde_json::json;
use uuid::Uuid;

use crate::claims_fixtures::FINGERPRINT;
use crate::claims_fixtures::OTHER;
use crate::claims_fixtures::OWN;
use crate::claims_fixtures::answered;
use crate::claims_fixtures::answered_calls;
use crate::claims_fixtures::append_effects;
use crate::claims_fixtures::appended;
use crate::claims_fixtures::booked_outcome;
use crate::claims_fixtures::call;
use crate::claims_fixtures::call_marked_first;
use crate::claims_fixtures::claim_record;
use crate::claims_fixtures::dispatched_calls;
use crate::claims_fixtures::from_other;
use crate::claims_fixtures::key_created_at;
use crate::claims_fixtures::outcome_record;
use crate::claims_fixtures::read_failed;
use crate::claims_fixtures::refused_calls;
use crate::claims_fixtures::request;
use crate::claims_fixtures::service_call;
use crate::claims_fixtures::wait;
use crate::claims_simulation::Budget;
use crate::claims_simulation::Simulation;
use crate::claims_simulation::Step;
use crate::claims_simulation::unmarked_call;
use crate::session::Session;
use crate::session::listed;
use crate::session::site_base;

const CLAIMS: LogStream = LogStream::Claims(0);

/// Age of records from before the last restore.
const BEFORE_RESTORE: Duration = Duration::from_secs(60);

/// Age of records from after the last restore.
const AFTER_RESTORE: Duration = Duration::from_millis(100);

/// Longer than a key may be ahead of the VM's clock.
const PAST_KEY_SKEW: Duration = Duration::from_secs(6);

/// A stream of the log, with the era that it states.
struct Log {
    stream: LogStream,
    era: LogEra,
    records: Vec<(Duration, String)>,
}

impl Log {
    fn new(stream: LogStream) -> Self {
        Self {
            stream,
            era: LogEra::default(),
            records: Vec::new(),
        }
    }

    /// Returns a stream that was restored a second ago, with its first `kept` records.
    fn restored(&self, kept: usize) -> Self {
        let kept = self.records[..kept].iter();
        Self {
            stream: self.stream,
            era: LogEra {
                number: self.era.number + 1,
                age: Duration::from_secs(1),
            },
            records: kept
                .map(|(_, text)| (BEFORE_RESTORE, text.clone()))
                .collect(),
        }
    }

    fn with(mut self, record: &impl Serialize) -> Self {
        let text = serde_json::to_string(record).expect("records are JSON");
        let age = match self.era.number {
            0 => BEFORE_RESTORE,
            _ => AFTER_RESTORE,
        };
        self.records.push((age, text));
        self
    }

    /// Answers a read.
    fn read(&self, from: u64) -> Event {
        let numbered = (0..).zip(&self.records).skip(from as usize);
        let records = numbered.map(|(offset, (age, text))| LogRecord {
            offset: Offset(offset),
            age: *age,
            text: text.as_str().into(),
        });
        Event::Log(LogEvent::Read {
            stream: self.stream,
            era: self.era,
            from: Offset(from),
            oldest: Offset(0),
            end: Offset(self.records.len() as u64),
            records: records.collect(),
        })
    }

    /// Applies an answer to a read at `from`, then answers the reads of this stream that follow, up to ten.
    fn serve(&self, session: &mut Session, from: u64) -> Vec<Effect> {
        let mut effects = session.apply(self.read(from));
        let mut next_reads = self.reads(&effects);
        for _ in 0..10 {
            let Some(from) = next_reads.pop() else {
                break;
            };
            let more = session.apply(self.read(from));
            next_reads.extend(self.reads(&more));
            effects.extend(more);
        }
        effects
    }

    /// Returns the offsets of the reads of this stream that are answered at once.
    fn reads(&self, effects: &[Effect]) -> Vec<u64> {
        let reads = effects.iter().filter_map(|effect| match effect {
            Effect::ReadLog { stream, from, wait }
                if *stream == self.stream && *wait == Duration::ZERO =>
            {
                Some(from.0)
            }
            _ => None,
        });
        reads.collect()
    }
}

fn claims() -> Log {
    Log::new(CLAIMS)
}

/// Returns a call with a key that is created now.
fn call_with_new_key(session: &Session, call: u64) -> Event {
    let key = key_created_at(session.now.unix, 9).to_string();
    Event::ServiceCall(service_call(call, &key, Some(1)))
}

/// Returns a VM that owns the partition and has run the call of the key, and the log with its claim.
fn vm_that_ran_the_call() -> (Session, Log) {
    let mut session = Session::serving(OWN, &[OWN]);
    session.apply(call(1));
    session.apply(appended(1));
    let log = claims().with(&claim_record(OWN, request(7, 1)));
    let effects = log.serve(&mut session, 0);
    assert_eq!(dispatched_calls(&effects), [(1, 1)]);
    session.apply(answered(1, 1));
    (session, log)
}

/// Returns a VM that owns the partition, and has learned of a restore through the configuration stream.
fn new_vm_after_restore() -> Session {
    let mut session = Session::new(OWN);
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed(OWN)]));
    let log = config_log(1).restored(1);
    log.serve(&mut session, 0);
    session
}

#[test]
fn key_whose_claim_was_lost_is_not_run_by_a_vm_that_starts_later() {
    let mut session = new_vm_after_restore();
    let effects = session.apply(call(1));
    assert_eq!(append_effects(&effects), []);
    let effects = claims().restored(0).serve(&mut session, 0);
    assert_eq!(dispatched_calls(&effects), []);
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

#[test]
fn key_whose_claim_was_lost_is_answered_by_the_vm_that_ran_it() {
    let (mut session, log) = vm_that_ran_the_call();
    log.restored(0).serve(&mut session, 1);
    let effects = session.apply(call(2));
    assert_eq!(answered_calls(&effects), [2]);
    assert_eq!(dispatched_calls(&effects), []);
}

#[test]
fn owner_that_read_a_lost_claim_does_not_let_another_request_win() {
    let mut session = Session::serving(OWN, &[OWN]);
    let log = claims().with(&claim_record(OTHER, request(8, 1)));
    let log = log.with(&outcome_record(request(8, 1), booked_outcome()));
    // A call with another key makes this VM read the partition.
    let event = call_with_new_key(&session, 1);
    session.apply(event);
    session.apply(appended(1));
    log.serve(&mut session, 0);
    let restored = log.restored(0);
    wait(&mut session, Duration::from_millis(300));
    restored.serve(&mut session, 2);
    let effects = session.apply(call(2));
    assert_eq!(dispatched_calls(&effects), []);
    assert_eq!(append_effects(&effects), []);
    assert_eq!(answered_calls(&effects), [2], "the outcome is remembered");
}

#[test]
fn claim_lost_between_its_append_and_its_read_is_answered_unknown() {
    let mut session = Session::serving(OWN, &[OWN]);
    session.apply(call_marked_first(1));
    session.apply(appended(1));
    let effects = claims().restored(0).serve(&mut session, 0);
    assert_eq!(dispatched_calls(&effects), []);
    assert_eq!(append_effects(&effects), []);
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

#[test]
fn claim_that_was_never_appended_is_refused_as_not_run() {
    let mut session = new_vm_after_restore();
    session.apply(call_marked_first(1));
    let effects = claims().restored(0).serve(&mut session, 0);
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::NotRun)]);
    let mut session = new_vm_after_restore();
    session.apply(call_marked_first(1));
    let effects = session.apply(read_failed());
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::NotRun)]);
}

#[test]
fn claim_of_an_old_key_that_was_appended_after_the_restore_does_not_win() {
    // A VM that has not noticed the restore appended its claim.
    let mut session = Session::serving(OWN, &[OWN]);
    session.apply(call(1));
    session.apply(appended(1));
    let log = claims().restored(0).with(&claim_record(OWN, request(7, 1)));
    let effects = log.serve(&mut session, 0);
    assert_eq!(dispatched_calls(&effects), []);
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

#[test]
fn claim_that_the_copy_holds_still_wins() {
    let mut session = Session::serving(OWN, &[OWN]);
    session.apply(call(1));
    session.apply(appended(1));
    let log = claims().with(&claim_record(OWN, request(7, 1)));
    let effects = log.restored(1).serve(&mut session, 0);
    assert_eq!(dispatched_calls(&effects), [(1, 1)]);
}

#[test]
fn first_claim_at_an_offset_given_out_again_is_read() {
    let (mut session, log) = vm_that_ran_the_call();
    let mut restored = log.restored(0);
    restored.era.age = Duration::from_secs(30);
    let event = call_with_new_key(&session, 2);
    let key = key_created_at(session.now.unix, 9);
    session.apply(event);
    session.apply(appended(2));
    let claim = |vm: &str, request| ClaimRecord::Claim {
        key,
        vm: vm.into(),
        request,
        fingerprint: FINGERPRINT,
    };
    // Another VM's claim is first, at the offset that this VM has read in the old era.
    let restored = restored
        .with(&claim(OTHER, request(8, 1)))
        .with(&claim(OWN, request(7, 2)));
    let effects = restored.serve(&mut session, 1);
    assert_eq!(dispatched_calls(&effects), []);
}

#[test]
fn new_key_is_claimed_after_a_restore() {
    let mut session = new_vm_after_restore();
    wait(&mut session, PAST_KEY_SKEW);
    let event = call_with_new_key(&session, 1);
    let effects = session.apply(event);
    assert_eq!(append_effects(&effects), [(1, 1)]);
}

#[test]
fn answer_of_an_earlier_era_that_arrives_late_is_dropped() {
    let mut session = new_vm_after_restore();
    session.apply(call(1));
    let late = claims().with(&claim_record(OWN, request(7, 1)));
    let late_effects = session.apply(late.read(0));
    let effects = claims().restored(0).serve(&mut session, 0);
    let effects = [late_effects, effects].concat();
    assert_eq!(dispatched_calls(&effects), []);
    assert_eq!(refused_calls(&effects), [(1, ProblemKind::OutcomeUnknown)]);
}

/// Returns a configuration stream with a base that allows 1,000 connections and `count - 1` edits of it, each with one
/// connection more.
fn config_log(count: u64) -> Log {
    let edits = (0..count).map(|number| edit(number, number.checked_sub(1), 1_000 + number));
    edits.fold(Log::new(LogStream::Config), |log, edit| log.with(&edit))
}

fn edit(id: u64, parent: Option<u64>, max_connections: u64) -> ConfigRecord {
    let mut base = site_base();
    base["limits"] = json!({ "max_connections": max_connections });
    ConfigRecord::Publish {
        publish_id: Uuid::from_u128(u128::from(id) + 1),
        document: Document::Base,
        parent: parent.map(Offset),
        content: base,
    }
}

fn max_connections(session: &Session) -> Option<u32> {
    let site = session.node.site_config();
    site.map(|site| site.limits.max_connections)
}

/// Returns a VM with the configuration of `config_log(3)` in force.
fn vm_with_three_revisions() -> Session {
    let mut session = Session::new("a");
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed("a"), listed(OTHER)]));
    config_log(3).serve(&mut session, 0);
    assert_eq!(max_connections(&session), Some(1_002));
    session
}

#[test]
fn older_configuration_of_the_copy_is_not_adopted() {
    let mut session = vm_with_three_revisions();
    let effects = config_log(3).restored(1).serve(&mut session, 3);
    assert_eq!(max_connections(&session), Some(1_002));
    let notice = Notice::LogRestored { from: 0, to: 1 };
    assert!(effects.contains(&Effect::Note(notice)));
}

#[test]
fn publication_at_an_offset_given_out_again_comes_into_force() {
    let mut session = vm_with_three_revisions();
    let restored = config_log(3).restored(1).with(&edit(20, Some(0), 2_000));
    restored.serve(&mut session, 3);
    assert_eq!(max_connections(&session), Some(2_000));
}

#[test]
fn publication_with_the_revision_number_in_force_comes_into_force() {
    let mut session = vm_with_three_revisions();
    let restored = config_log(3)
        .restored(1)
        .with(&edit(20, Some(0), 2_000))
        .with(&edit(21, Some(1), 2_001));
    restored.serve(&mut session, 3);
    assert_eq!(max_connections(&session), Some(2_001));
}

#[test]
fn publication_below_the_read_position_comes_into_force_if_the_log_has_grown_past_it() {
    let mut session = vm_with_three_revisions();
    let mut restored = config_log(3).restored(1).with(&edit(20, Some(0), 2_000));
    for _ in 0..3 {
        restored = restored.with(&json!({}));
    }
    restored.serve(&mut session, 3);
    assert_eq!(max_connections(&session), Some(2_000));
}

#[test]
fn newer_configuration_stays_through_two_restores() {
    let mut session = vm_with_three_revisions();
    let first = config_log(3).restored(1).with(&edit(20, Some(0), 2_000));
    first.serve(&mut session, 3);
    let second = first.restored(1);
    second.serve(&mut session, 2);
    assert_eq!(max_connections(&session), Some(2_000));
    let second = second.with(&edit(21, Some(0), 3_000));
    second.serve(&mut session, 1);
    assert_eq!(max_connections(&session), Some(3_000));
}

#[test]
fn vm_that_starts_after_the_restore_adopts_what_the_log_holds() {
    let session = new_vm_after_restore();
    assert_eq!(max_connections(&session), Some(1_000));
}

#[test]
fn lost_overlay_keeps_the_configuration_in_force() {
    let overlay = |parent: Option<u64>, max_connections: u64| ConfigRecord::Publish {
        publish_id: Uuid::from_u128(u128::from(max_connections)),
        document: Document::Overlay("rinnovo".into()),
        parent: parent.map(Offset),
        content: json!({ "limits": { "max_connections": max_connections } }),
    };
    let mut session = Session::new("a");
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed("a")]));
    let log = config_log(1)
        .with(&overlay(None, 500))
        .with(&overlay(Some(1), 600));
    log.serve(&mut session, 0);
    assert_eq!(max_connections(&session), Some(600));
    // A new base alone doesn't bring the older overlay into force.
    let restored = log.restored(1).with(&edit(20, Some(0), 2_000));
    restored.serve(&mut session, 3);
    assert_eq!(max_connections(&session), Some(600));
    let mut restored = log.restored(2).with(&edit(20, Some(0), 2_000));
    restored.era.number = 2;
    restored.serve(&mut session, 2);
    assert_eq!(max_connections(&session), Some(600));
    let restored = restored.with(&overlay(Some(1), 700));
    restored.serve(&mut session, 3);
    assert_eq!(max_connections(&session), Some(700));
}

#[test]
fn peers_state_of_an_earlier_era_is_replaced_once_the_log_answers() {
    let mut session = Session::new("a");
    session.apply(Event::Started);
    session.apply(Event::VmList(vec![listed("a"), listed(OTHER)]));
    let restored = config_log(1).restored(1);
    restored.serve(&mut session, 0);
    session.apply(Event::Log(LogEvent::ReadFailed {
        stream: LogStream::Config,
    }));
    // The peer has not noticed the restore and pushes a publication that the log lost.
    session.apply(from_other(PeerMessage::ProbeAck(Probe {
        sequence: 0,
        member_updates: Vec::new(),
        next_config_offset: Offset(2),
    })));
    session.apply(from_other(PeerMessage::PushConfig(PushConfig {
        snapshot_json: snapshot(&config_log(2)),
    })));
    assert_eq!(max_connections(&session), Some(1_001));
    restored
        .with(&edit(20, Some(0), 2_000))
        .serve(&mut session, 2);
    assert_eq!(max_connections(&session), Some(2_000));
}

/// Returns a stream's folded state as a peer pushes it.
fn snapshot(log: &Log) -> String {
    let mut fold = ConfigFold::default();
    for (offset, (_, text)) in (0..).zip(&log.records) {
        fold.apply(Offset(offset), text);
    }
    let snapshot = fold.snapshot().expect("records were folded");
    serde_json::to_string(&snapshot).expect("records are JSON")
}

#[test]
fn claim_appended_between_two_restores_by_a_vm_that_noticed_neither_does_not_win() {
    let calls = vec![unmarked_call(0, 0), unmarked_call(1, 0)];
    let budget = Budget {
        time_steps: 0,
        faults: 0,
        kills: 1,
        clock_jumps: 0,
        restores: 2,
    };
    let mut simulation = Simulation::new(vec![vec![0], vec![1]], calls, budget);
    simulation.apply_step(Step::Start(0));
    while !simulation.has_dispatch() {
        simulation.apply_step(Step::Advance(0));
    }
    simulation.apply_step(Step::Restore(0));
    simulation.apply_step(Step::Kill(0));
    simulation.apply_step(Step::Start(1));
    // The log handles the append of VM 1 and is restored from a copy that was made afterwards.
    simulation.apply_step(Step::Advance(0));
    simulation.restore_from_newest_copy();
    simulation.finish_and_check();
}
