//! Tests of the configuration fold: all interleavings of small cases, and random histories with expired records.

use std::collections::BTreeMap;

use arbutusfall_core::config::ConfigFold;
use arbutusfall_core::config::FoldOutcome;
use arbutusfall_core::config::check_documents;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Rejection;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

/// Revisions of the documents in force.
type RevisionsInForce = BTreeMap<Document, Offset>;

fn overlay_document() -> Document {
    Document::Overlay("rinnovo".into())
}

fn record(record: &ConfigRecord) -> String {
    serde_json::to_string(record).expect("records are JSON")
}

fn publish(id: u128, document: Document, parent: Option<Offset>, content: Value) -> String {
    record(&ConfigRecord::Publish {
        publish_id: Uuid::from_u128(id),
        document,
        parent,
        content,
    })
}

fn base(max_connections: u64) -> Value {
    json!({ "sites": ["rinnovo"], "limits": { "max_connections": max_connections } })
}

fn overlay(max_body_bytes: u64) -> Value {
    json!({ "limits": { "max_body_bytes": max_body_bytes } })
}

fn revisions_in_force(fold: &ConfigFold) -> RevisionsInForce {
    let documents = [Document::Base, overlay_document()];
    let revisions = documents
        .into_iter()
        .filter_map(|document| Some((document.clone(), fold.revision(&document)?)));
    revisions.collect()
}

/// Folds a log's records from an offset on.
fn fold_from(log: &[String], oldest: usize) -> ConfigFold {
    let mut fold = ConfigFold::default();
    catch_up(&mut fold, log, oldest);
    fold
}

/// Reads the log like the configuration reader, which returns to the fold's position after restoring a snapshot.
fn catch_up(fold: &mut ConfigFold, log: &[String], oldest: usize) {
    let mut at = oldest.max(fold.next_offset().0 as usize);
    while at < log.len() {
        let before = fold.next_offset();
        fold.apply(Offset(at as u64), &log[at]);
        let progressed = fold.next_offset() > before;
        at = if progressed {
            oldest.max(fold.next_offset().0 as usize).min(at + 1)
        } else {
            at + 1
        };
    }
}

/// One step of an operator or a VM.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    /// An operator reads the revision in force.
    Read(usize),
    /// An operator's append reaches the log.
    Append(usize),
    /// A VM reads the log.
    Fold(usize),
    /// A VM's snapshot reaches the log, possibly delayed.
    Snapshot(usize),
}

/// Two operators that each edit one document based on the revision they last read, and two VMs.
#[derive(Debug, Clone)]
struct Simulation {
    log: Vec<String>,
    documents: [Document; 2],
    /// Revision that each operator last read; the outer `None` stands for no read yet.
    parents: [Option<Option<Offset>>; 2],
    vms: [ConfigFold; 2],
    last_observed: [RevisionsInForce; 2],
}

impl Simulation {
    fn new(documents: [Document; 2]) -> Self {
        let log = vec![publish(1, Document::Base, None, base(1))];
        Self {
            vms: [fold_from(&log, 0), ConfigFold::default()],
            log,
            documents,
            parents: [None, None],
            last_observed: Default::default(),
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Read(operator) => {
                let fold = fold_from(&self.log, 0);
                self.parents[operator] = Some(fold.revision(&self.documents[operator]));
            }
            Step::Append(operator) => {
                let document = self.documents[operator].clone();
                let content = match document {
                    Document::Base => base(10 + operator as u64),
                    Document::Overlay(_) => overlay(10 + operator as u64),
                };
                let parent = self.parents[operator].unwrap_or_default();
                let id = 10 + operator as u128;
                self.log.push(publish(id, document, parent, content));
            }
            Step::Fold(vm) => {
                let oldest = 0;
                catch_up(&mut self.vms[vm], &self.log, oldest);
                self.check(vm);
            }
            Step::Snapshot(vm) => {
                if let Some(snapshot) = self.vms[vm].snapshot() {
                    self.log.push(record(&snapshot));
                }
            }
        }
    }

    fn check(&mut self, vm: usize) {
        let now = revisions_in_force(&self.vms[vm]);
        for (document, revision) in &self.last_observed[vm] {
            assert!(now.get(document) >= Some(revision), "{document:?} reverted");
        }
        self.last_observed[vm] = now;
    }

    /// Checks that all folds agree, including those that start later if a snapshot covers the missing records.
    fn check_end(mut self) {
        for vm in 0..2 {
            self.run_step(Step::Fold(vm));
        }
        let full = fold_from(&self.log, 0);
        assert_eq!(revisions_in_force(&self.vms[0]), revisions_in_force(&full));
        assert_eq!(revisions_in_force(&self.vms[1]), revisions_in_force(&full));
        for oldest in 1..self.log.len() {
            let fold = fold_from(&self.log, oldest);
            if fold.next_offset() == full.next_offset() {
                assert_eq!(
                    revisions_in_force(&fold),
                    revisions_in_force(&full),
                    "from {oldest}"
                );
            } else {
                assert!(fold.next_offset() < full.next_offset());
            }
        }
        let overlays: BTreeMap<Name, Value> = full
            .content(&overlay_document())
            .map(|overlay| (Name::from("rinnovo"), overlay.clone()))
            .into_iter()
            .collect();
        let base = full.content(&Document::Base).expect("a base is in force");
        assert!(check_documents(base, &overlays).is_ok());
    }
}

/// Runs every interleaving of the actors' steps and returns the number of interleavings.
fn explore(simulation: &Simulation, remaining: &[Vec<Step>]) -> u64 {
    if remaining.iter().all(Vec::is_empty) {
        simulation.clone().check_end();
        return 1;
    }
    let mut interleavings = 0;
    for actor in 0..remaining.len() {
        let Some((step, rest)) = remaining[actor].split_first() else {
            continue;
        };
        let mut simulation = simulation.clone();
        simulation.run_step(*step);
        let mut remaining = remaining.to_vec();
        remaining[actor] = rest.to_vec();
        interleavings += explore(&simulation, &remaining);
    }
    interleavings
}

#[test]
fn all_interleavings_of_two_operators_and_two_vms_give_one_configuration() {
    let pairs = [
        [Document::Base, Document::Base],
        [Document::Base, overlay_document()],
        [overlay_document(), overlay_document()],
    ];
    let mut interleavings = 0;
    for documents in pairs {
        // Each operator repeats its append, as after a lost response.
        let operator = |index| vec![Step::Read(index), Step::Append(index), Step::Append(index)];
        let snapshotting_vm = vec![Step::Fold(0), Step::Snapshot(0)];
        let reading_vm = vec![Step::Fold(1)];
        let actors = vec![operator(0), operator(1), snapshotting_vm, reading_vm];
        interleavings += explore(&Simulation::new(documents), &actors);
    }
    println!("{interleavings} interleavings");
}

#[test]
fn a_delayed_snapshot_reverts_nothing() {
    let mut log = vec![publish(1, Document::Base, None, base(1))];
    let old = fold_from(&log, 0).snapshot().expect("a record was folded");
    let parent = Some(Offset(0));
    log.push(publish(2, Document::Base, parent, base(2)));
    log.push(record(&old));
    let mut fold = fold_from(&log, 0);
    assert_eq!(fold.revision(&Document::Base), Some(Offset(1)));
    assert_eq!(fold.apply(Offset(3), &record(&old)), FoldOutcome::Unchanged);
    assert_eq!(fold.revision(&Document::Base), Some(Offset(1)));
    // If the log lost the record that the delayed snapshot does not cover, the fold stops before that record.
    assert_eq!(fold_from(&log, 2).next_offset(), Offset(1));
}

#[test]
fn a_snapshot_that_covers_later_offsets_than_its_own_is_ignored() {
    let log = vec![publish(1, Document::Base, None, base(1))];
    let mut fold = fold_from(&log, 0);
    let forged = ConfigRecord::Snapshot {
        through: Offset(9),
        documents: Vec::new(),
        decided: Vec::new(),
    };
    fold.apply(Offset(1), &record(&forged));
    assert_eq!(fold.next_offset(), Offset(2));
    assert_eq!(fold.revision(&Document::Base), Some(Offset(0)));
    let mut fresh = ConfigFold::default();
    fresh.apply(Offset(4), &record(&forged));
    assert_eq!(fresh.next_offset(), Offset(0));
}

#[test]
fn a_peers_state_never_reverts_a_document() {
    let log = vec![
        publish(1, Document::Base, None, base(1)),
        publish(2, Document::Base, Some(Offset(0)), base(2)),
    ];
    let mut fold = fold_from(&log, 0);
    let old = fold_from(&log[..1], 0).snapshot();
    let Some(ConfigRecord::Snapshot {
        documents, decided, ..
    }) = old
    else {
        panic!("a record was folded");
    };
    let outcome = fold.restore(Offset(50), documents, decided);
    assert_eq!(outcome, FoldOutcome::Unchanged);
    assert_eq!(fold.revision(&Document::Base), Some(Offset(1)));
}

#[test]
fn a_repeated_publication_is_rejected_after_its_decision_was_evicted() {
    let mut log = vec![
        publish(1, Document::Base, None, base(1)),
        publish(2, Document::Base, Some(Offset(0)), base(2)),
    ];
    for number in 0..300 {
        let parent = Some(Offset(log.len() as u64 - 1));
        log.push(publish(1_000 + number, Document::Base, parent, base(3)));
    }
    let mut fold = fold_from(&log, 0);
    assert!(fold.decision(Uuid::from_u128(2)).is_none());
    let outcome = fold.apply(fold.next_offset(), &log[1]);
    assert!(matches!(outcome, FoldOutcome::Rejected(_)));
    assert_eq!(fold.revision(&Document::Base), Some(Offset(301)));
}

/// One event of a random history.
#[derive(Debug, Clone)]
enum Event {
    Publish {
        is_base: bool,
        stale: bool,
        invalid: bool,
    },
    Repeat {
        age: usize,
    },
    Snapshot {
        vm: usize,
    },
    DelayedSnapshot,
    Unreadable,
    Fold {
        vm: usize,
    },
    Expire {
        keep: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (any::<bool>(), any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(is_base, stale, invalid)| Event::Publish { is_base, stale, invalid }),
        1 => (0..8usize).prop_map(|age| Event::Repeat { age }),
        2 => (0..3usize).prop_map(|vm| Event::Snapshot { vm }),
        1 => Just(Event::DelayedSnapshot),
        1 => Just(Event::Unreadable),
        4 => (0..3usize).prop_map(|vm| Event::Fold { vm }),
        1 => (0..12usize).prop_map(|keep| Event::Expire { keep }),
    ]
}

/// Runs a history; a VM that meets a gap stays behind, but its state must match the log up to its position.
fn run_history(history: &[Event]) {
    let mut log = vec![publish(1, Document::Base, None, base(1))];
    let mut oldest = 0;
    let mut vms = vec![ConfigFold::default(); 3];
    let mut last_observed = vec![RevisionsInForce::new(); 3];
    let mut delayed_snapshot = None;
    for (number, event) in history.iter().enumerate() {
        let reference = fold_from(&log, 0);
        let unique = 100 + number as u64;
        match event {
            Event::Publish {
                is_base,
                stale,
                invalid,
            } => {
                let document = if *is_base {
                    Document::Base
                } else {
                    overlay_document()
                };
                let parent = if *stale {
                    Some(Offset(0))
                } else {
                    reference.revision(&document)
                };
                let content = match (&document, invalid) {
                    (_, true) => json!({ "limits": { "max_connections": 0 } }),
                    (Document::Base, false) => base(unique),
                    (Document::Overlay(_), false) => overlay(unique),
                };
                log.push(publish(unique.into(), document, parent, content));
            }
            Event::Repeat { age } => {
                let from = log.len().saturating_sub(age + 1);
                log.push(log[from].clone());
            }
            Event::Snapshot { vm } => log.extend(vms[*vm].snapshot().as_ref().map(record)),
            Event::DelayedSnapshot => {
                log.extend(delayed_snapshot.take());
                delayed_snapshot = vms[0].snapshot().as_ref().map(record);
            }
            Event::Unreadable => log.push("{\"publish\":1}".to_owned()),
            Event::Fold { vm } => catch_up(&mut vms[*vm], &log, oldest),
            Event::Expire { keep } => oldest = oldest.max(log.len().saturating_sub(*keep)),
        }
        for (vm, fold) in vms.iter().enumerate() {
            let now = revisions_in_force(fold);
            let expected = fold_from(&log[..fold.next_offset().0 as usize], 0);
            assert_eq!(
                now,
                revisions_in_force(&expected),
                "VM {vm} differs from a fold of the log up to its position"
            );
            for (document, revision) in &last_observed[vm] {
                assert!(now.get(document) >= Some(revision), "{document:?} reverted");
            }
            last_observed[vm] = now;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_vm_matches_the_log_up_to_its_position_in_random_histories(
        history in prop::collection::vec(event(), 1..40)
    ) {
        run_history(&history);
    }
}

#[test]
fn a_publication_that_changes_the_claim_partitions_is_rejected() {
    let with_partitions = |partitions: u16| json!({ "claims": { "partitions": partitions } });
    let mut base_content = with_partitions(4);
    base_content["sites"] = json!(["rinnovo"]);
    let mut fold = ConfigFold::default();
    let first = publish(1, Document::Base, None, base_content.clone());
    assert_eq!(
        fold.apply(Offset(0), &first),
        FoldOutcome::Accepted(Document::Base)
    );
    let rejected = |outcome: &FoldOutcome| {
        matches!(outcome, FoldOutcome::Rejected(Rejection::Invalid { problems })
            if problems.iter().any(|problem| problem.path == "claims.partitions"))
    };
    let overlay = publish(2, overlay_document(), None, with_partitions(8));
    assert!(
        rejected(&fold.apply(Offset(1), &overlay)),
        "an overlay that changes the partitions is rejected"
    );
    base_content["claims"] = json!({ "partitions": 8 });
    let base = publish(3, Document::Base, Some(Offset(0)), base_content.clone());
    assert!(
        rejected(&fold.apply(Offset(2), &base)),
        "a base that changes the partitions is rejected"
    );
    base_content["claims"] = json!({ "partitions": 4, "window_s": 3_600 });
    let base = publish(4, Document::Base, Some(Offset(0)), base_content);
    let outcome = fold.apply(Offset(3), &base);
    assert_eq!(
        outcome,
        FoldOutcome::Accepted(Document::Base),
        "a base that keeps the partitions is accepted"
    );
}
