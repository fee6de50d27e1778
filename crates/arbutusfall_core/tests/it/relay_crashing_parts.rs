//! Parts of prompts that crash engines: which are blocked, which are not, and what it costs at many VMs.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::ProblemKind;
use arbutusfall_core::config::Role;
use arbutusfall_core::relay::CauseBlock;
use arbutusfall_core::relay::CrashCause;
use arbutusfall_core::relay::CrashEvidence;
use arbutusfall_core::relay::CrashId;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::PartId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;

use crate::relay_crash_fixtures::read;
use crate::relay_crashing_site::CrashingSite;
use crate::relay_crashing_site::LoadRequest;
use crate::relay_crashing_site::failed;
use crate::relay_crashing_site::parts;
use crate::relay_fleet::Fleet;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

/// Returns the prompt with this number; one in eight has the crashing part.
fn prompt(path: &str, number: u64) -> LoadRequest {
    let other = ["other-0", "other-1", "other-2", "other-3", "other-4"][number as usize % 5];
    let is_crashing = number % 8 == 3;
    let parts = if is_crashing {
        vec!["first", other, "crashing"]
    } else {
        vec!["first", other]
    };
    LoadRequest {
        path: path.to_owned(),
        parts,
        is_crashing,
    }
}

fn check_fleet(vm_count: u32, engine_count: usize, requests_per_s: u64, path: &str) {
    let seed = u64::from(vm_count);
    let mut site = CrashingSite::start(vm_count, engine_count, Role::Decode, seed);
    site.run_load(ms(12_000), requests_per_s, |number| prompt(path, number));
    assert!(site.crashes.len() >= 4, "{} crashes", site.crashes.len());
    if site.crashes.len() > 4 {
        let late = site.late_sends(5);
        assert!(late <= 3, "{late} late sends");
    }
    site.check_last_requests(|kind| kind == ProblemKind::CrashingPrompt);
}

// Guards against parts that are blocked at none or only at some VMs.
#[test]
fn crashing_part_is_blocked_at_one_vm() {
    check_fleet(1, 10, 20, "/stream/");
}

#[test]
fn crashing_part_is_blocked_at_6_vms() {
    check_fleet(6, 10, 20, "/resumable/");
}

// Guards against a memory in each VM alone: no VM sees a second crash.
#[test]
fn crashing_part_is_blocked_at_77_vms() {
    check_fleet(77, 40, 40, "/stream/");
}

#[test]
fn crashing_part_is_blocked_at_410_vms() {
    check_fleet(410, 100, 60, "/resumable/");
}

// Guards against a block that ends with the requests, or that VMs do not know that start later.
#[test]
fn block_outlasts_a_quiet_spell_and_the_vms_that_decided_it() {
    let mut site = CrashingSite::start(6, 10, Role::Decode, 4);
    site.run_load(ms(8_000), 20, |number| prompt("/stream/", number));
    let crashes = site.crashes.len();
    site.run(Duration::from_secs(1_200));
    let crashing = LoadRequest {
        path: "/stream/".to_owned(),
        parts: vec!["first", "crashing"],
        is_crashing: true,
    };
    for vm in 0..6 {
        site.send(vm, &crashing);
    }
    let mut new = Fleet::start(1, 99);
    let newest = site.fleet.newest();
    new.vms[0].harness.apply(RelayEvent::SharedRecords {
        records: newest,
        is_full: true,
    });
    site.run(ms(1_000));
    assert_eq!(site.crashes.len(), crashes);
    let harness = &mut new.vms[0].harness;
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
    let call = harness.submit_with_parts("/stream/", parts(&["crashing"]));
    let kind = harness.problem(call).map(|problem| problem.kind);
    assert_eq!(kind, Some(ProblemKind::CrashingPrompt));
}

fn cause(part: &str) -> CrashCause {
    CrashCause::Part(PartId(part.into()))
}

/// Returns a record of evidence on a part.
fn evidence(part: &str, crash: u32, with: &[&str]) -> SharedRecord {
    SharedRecord::Crash {
        cause: cause(part),
        crash: CrashId(format!("{crash:016x}.0").into()),
        evidence: Some(CrashEvidence {
            instance: format!("decode-{crash}").into(),
            with: with.iter().map(|part| cause(part)).collect(),
            is_late: false,
        }),
    }
}

/// Returns whether a prompt with these parts is refused.
pub(crate) fn is_refused(harness: &mut RelayHarness, ids: &[&str]) -> bool {
    let call = harness.submit_with_parts("/stream/", parts(ids));
    let problem = harness.problem(call).map(|problem| problem.kind);
    harness.apply(RelayEvent::CallerGone { call });
    harness.take_sends();
    problem == Some(ProblemKind::CrashingPrompt)
}

/// Completes a prompt with these parts at this VM.
fn answer_prompt(harness: &mut RelayHarness, ids: &[&str]) {
    harness.take_sends();
    harness.submit_with_parts("/stream/", parts(ids));
    let decode = harness.advance_to_decode();
    harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
    let end = ExchangeEvent::Complete { status: 200 };
    harness.deliver(decode.exchange, end);
}

fn blocked_harness(with: &[&str]) -> RelayHarness {
    let mut harness = RelayHarness::configured(1);
    let records = (1..=4).map(|crash| evidence("bad", crash, with));
    read(&mut harness, records.collect());
    harness.advance(ms(2_000));
    harness
}

// Guards against popular parts that are blocked because engines crash for other reasons.
#[test]
fn answered_prompt_clears_its_parts() {
    let mut harness = RelayHarness::configured(1);
    read(
        &mut harness,
        (1..=4)
            .map(|crash| evidence("popular", crash, &[]))
            .collect(),
    );
    harness.advance(ms(1_000));
    answer_prompt(&mut harness, &["popular"]);
    harness.advance(ms(3_000));
    assert!(!is_refused(&mut harness, &["popular"]));
    let appended = harness.effects.iter().any(|effect| match effect {
        RelayEffect::AppendShared(records) => records.iter().all(SharedRecord::is_deletion),
        _ => false,
    });
    assert!(appended, "the other VMs do not learn of it");
}

// Guards against evidence on parts that this VM knows to be sound.
#[test]
fn part_answered_just_before_is_not_blocked() {
    let mut harness = RelayHarness::configured(1);
    answer_prompt(&mut harness, &["popular"]);
    read(
        &mut harness,
        (1..=6)
            .map(|crash| evidence("popular", crash, &[]))
            .collect(),
    );
    harness.advance(ms(3_000));
    assert!(!is_refused(&mut harness, &["popular"]));
}

// Guards against a caller that gets another caller's part blocked by sending it along with its own.
#[test]
fn part_that_was_only_sent_along_is_served_and_cleared() {
    let mut harness = RelayHarness::configured(1);
    for crash in 1..=4 {
        read(
            &mut harness,
            vec![
                evidence("bad", crash, &["victim"]),
                evidence("victim", crash, &["bad"]),
            ],
        );
    }
    harness.advance(ms(2_000));
    assert!(is_refused(&mut harness, &["bad", "victim"]));
    assert!(!is_refused(&mut harness, &["victim"]));
    answer_prompt(&mut harness, &["victim"]);
    assert!(is_refused(&mut harness, &["bad"]));
    assert!(is_refused(&mut harness, &["bad", "victim"]));
    assert!(!is_refused(&mut harness, &["victim"]));
}

// Guards against prompts that evade a block by leaving out a part that was only sent along.
#[test]
fn crash_without_the_parts_sent_along_narrows_the_block() {
    let mut harness = RelayHarness::configured(1);
    for crash in 1..=4 {
        read(
            &mut harness,
            vec![
                evidence("bad", crash, &["along"]),
                evidence("along", crash, &["bad"]),
            ],
        );
    }
    harness.advance(ms(2_000));
    assert!(!is_refused(&mut harness, &["bad"]));
    read(&mut harness, vec![evidence("bad", 5, &[])]);
    assert!(is_refused(&mut harness, &["bad"]));
}

// Guards against a service that is refused as a whole: all its prompts share a part, and all engines ended under prompts with another
// one before any prompt was answered.
#[test]
fn part_of_all_prompts_is_not_blocked_while_a_rarer_one_explains_its_crashes() {
    for is_rarer_known_first in [false, true] {
        let mut harness = RelayHarness::configured(1);
        for crash in 1..=4 {
            let records = vec![
                evidence("along", crash, &[]),
                evidence("bad", crash, &["along"]),
            ];
            read(&mut harness, records);
            if is_rarer_known_first && crash == 4 {
                // The block on the rarer part comes first.
                harness.advance(ms(2_000));
            }
        }
        harness.advance(ms(2_000));
        assert!(!is_refused(&mut harness, &["along"]));
        assert!(is_refused(&mut harness, &["bad", "along"]));
        read(&mut harness, vec![evidence("along", 5, &[])]);
        harness.advance(ms(2_000));
        assert!(!is_refused(&mut harness, &["along"]));
        read(&mut harness, vec![evidence("along", 6, &[])]);
        harness.advance(ms(1_300));
        assert!(!is_refused(&mut harness, &["along"]));
        harness.advance(ms(700));
        assert!(is_refused(&mut harness, &["along"]));
    }
}

// Guards against a part of all prompts that is blocked because one engine ended for another reason, just before the rarer part that
// crashes engines has enough crashes for its own block.
#[test]
fn part_of_all_prompts_is_not_blocked_one_crash_before_the_rarer_one() {
    for other_reason in 1..=4 {
        let mut harness = RelayHarness::configured(1);
        for crash in 1..=4 {
            let mut records = vec![evidence("along", crash, &[])];
            if crash != other_reason {
                records.push(evidence("bad", crash, &["along"]));
            }
            read(&mut harness, records);
        }
        harness.advance(ms(2_000));
        assert!(!is_refused(&mut harness, &["along"]), "{other_reason}");
        assert!(!is_refused(&mut harness, &["bad", "along"]));
        let records = vec![evidence("along", 5, &[]), evidence("bad", 5, &["along"])];
        read(&mut harness, records);
        harness.advance(ms(2_000));
        assert!(!is_refused(&mut harness, &["along"]), "{other_reason}");
        assert!(is_refused(&mut harness, &["bad", "along"]));
    }
}

// Guards against engines that all end at once, for example because of the VM's own link.
#[test]
fn engines_that_end_together_count_as_one_crash() {
    let mut harness = RelayHarness::configured(1);
    let engines = (3..=8).map(|number| listed(&format!("decode-{number}"), "model", Role::Decode));
    let changes = engines.map(EndpointListChange::Listed).collect();
    harness.apply(RelayEvent::EndpointChanges(changes));
    let mut exchanges = Vec::new();
    let mut instances = Vec::new();
    for _ in 0..24 {
        harness.submit_with_parts("/stream/", parts(&["rare"]));
        let decode = harness.advance_to_decode();
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        exchanges.push(decode.exchange);
        instances.push(decode.instance);
    }
    instances.sort();
    instances.dedup();
    assert!(instances.len() >= 5, "{instances:?}");
    harness.advance(ms(10));
    for exchange in exchanges {
        harness.deliver(exchange, failed());
    }
    harness.advance(ms(3_000));
    assert!(!is_refused(&mut harness, &["rare"]));
}

// Guards against a stream without a marked end that is taken for an answer although its engine crashed.
#[test]
fn unmarked_end_clears_a_part_only_if_the_engine_runs_on() {
    for runs_on in [false, true] {
        let mut harness = blocked_harness(&[]);
        assert!(is_refused(&mut harness, &["bad"]));
        let unblock = SharedRecord::Block {
            cause: cause("bad"),
            block: None,
        };
        read(&mut harness, vec![unblock]);
        harness.submit_with_parts("/stream/", parts(&["bad"]));
        let decode = harness.advance_to_decode();
        harness.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        harness.deliver(decode.exchange, ExchangeEvent::EndUnmarked);
        let end = ExchangeEvent::Complete { status: 200 };
        harness.deliver(decode.exchange, end);
        harness.advance(ms(20));
        if runs_on {
            // Both engines get a request, so that the one of the stream does.
            for _ in 0..8 {
                harness.submit("/stream/");
                harness.advance_to_decode();
            }
        }
        let records = (11..=14).map(|crash| evidence("bad", crash, &[]));
        read(&mut harness, records.collect());
        harness.advance(ms(2_000));
        assert_eq!(is_refused(&mut harness, &["bad"]), !runs_on);
    }
}

// Guards against a block that the store has lost with its newest records.
#[test]
fn block_is_written_again_after_the_store_returned_from_an_older_copy() {
    let mut harness = blocked_harness(&[]);
    harness.advance(ms(5_000));
    harness.apply(RelayEvent::SharedAppended { succeeded: true });
    harness.effects.clear();
    harness.apply(RelayEvent::StoreReturned {
        previous: 0,
        era: 1,
    });
    harness.apply(RelayEvent::SharedRecords {
        records: Vec::new(),
        is_full: true,
    });
    harness.advance(ms(2_000));
    assert!(is_refused(&mut harness, &["bad"]));
    let is_block =
        |record: &SharedRecord| matches!(record, SharedRecord::Block { block: Some(_), .. });
    let appended = harness.effects.iter().any(|effect| match effect {
        RelayEffect::AppendShared(records) => records.iter().any(is_block),
        _ => false,
    });
    assert!(appended);
}

// Guards against a block that an operator cannot end.
#[test]
fn unblocked_part_is_served_at_all_vms_and_can_be_blocked_again() {
    let mut harness = blocked_harness(&[]);
    harness.apply(RelayEvent::Unblock {
        cause: cause("bad"),
    });
    assert!(!is_refused(&mut harness, &["bad"]));
    let mut other = blocked_harness(&[]);
    let block = None;
    let unblock = SharedRecord::Block {
        cause: cause("bad"),
        block,
    };
    read(&mut other, vec![unblock]);
    assert!(!is_refused(&mut other, &["bad"]));
    let records = (21..=24).map(|crash| evidence("bad", crash, &[]));
    read(&mut other, records.collect());
    other.advance(ms(2_000));
    assert!(is_refused(&mut other, &["bad"]));
}

// Guards against parts of many callers that push out those that crash engines.
#[test]
fn many_parts_do_not_push_out_a_suspect() {
    let mut harness = RelayHarness::configured(1);
    let records = (1..=3).map(|crash| evidence("bad", crash, &[]));
    read(&mut harness, records.collect());
    for number in 0..20_000 {
        read(&mut harness, vec![evidence(&format!("p{number}"), 9, &[])]);
    }
    read(&mut harness, vec![evidence("bad", 4, &[])]);
    harness.advance(ms(2_000));
    assert!(is_refused(&mut harness, &["bad"]));
}

// Guards against a VM that serves before it knows what others refuse, and one that never serves because it can't know.
#[test]
fn vm_is_ready_once_shared_records_are_read_or_cannot_be() {
    for failure in [None, Some(StoreReadFailure::Silent)] {
        let mut harness = RelayHarness::before_shared_records(1);
        harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
        let engine = listed("decode-1", "model", Role::Decode);
        let changes = vec![EndpointListChange::Listed(engine)];
        harness.apply(RelayEvent::EndpointChanges(changes));
        assert!(!harness.effects.contains(&RelayEffect::SetReady(true)));
        match failure {
            None => harness.apply(RelayEvent::SharedRecords {
                records: vec![
                    SharedRecord::Block {
                        cause: cause("bad"),
                        block: Some(CauseBlock {
                            with: Vec::new(),
                            instances: Vec::new(),
                        }),
                    },
                    SharedRecord::HashKey(Some(RequestHashKey(7))),
                ],
                is_full: true,
            }),
            Some(_) => harness.apply(RelayEvent::StoreRead {
                topic: StoreTopic::Shared,
                failure,
            }),
        }
        assert!(harness.effects.contains(&RelayEffect::SetReady(true)));
        assert_eq!(is_refused(&mut harness, &["bad"]), failure.is_none());
    }
}
