//! Detection and cancellation of attempts whose process is gone, by the owner of their shard.

use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::Effect;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::Event;
use arbutusfall_core::Stage;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::MemberUpdate;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Probe;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::ShardId;

use crate::session::Session;
use crate::session::listed;
use crate::streams_harness::ENTRY;
use crate::streams_harness::TestVm;
use crate::streams_harness::VMS;
use crate::streams_harness::cancelled;
use crate::streams_harness::decode;
use crate::streams_harness::has_effect;
use crate::streams_harness::incarnation;

/// Owner of the test's shard.
const OWNER: &str = "milano-a-2";

/// Lifetime of a grant that is not reported, by the default configuration.
const GRANT_LIFETIME: Duration = Duration::from_secs(4);

/// Interval between sweeps, by the default configuration.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

fn shard_owner() -> TestVm {
    TestVm {
        session: Session::serving(OWNER, &VMS),
        unheard_vm: None,
    }
}

/// Returns a decode attempt of a request that entered through the given VM.
fn decode_attempt(vm: &str) -> AttemptId {
    AttemptId {
        request: RequestId {
            incarnation: incarnation(vm),
            sequence: 1,
        },
        placement: 1,
        stage: Stage::Decode,
    }
}

/// Advances time while one decode engine lists an attempt in each sweep. Returns the cancelled attempts, and the time
/// until the first cancellation; without one, the time of the last sweep.
fn sweep_for(
    owner: &mut TestVm,
    attempt: AttemptId,
    total: Duration,
) -> (Vec<AttemptId>, Duration) {
    let started = owner.session.now.monotonic;
    let mut orphans = Vec::new();
    let mut first_after = Duration::MAX;
    while owner.session.now.monotonic < started + total {
        let effects = owner.wait_ms(100);
        let endpoints = effects.iter().filter_map(listed_endpoint);
        if endpoints
            .filter(|endpoint| &***endpoint == "decode-1")
            .count()
            == 0
        {
            continue;
        }
        let effects = owner.engine(EngineEvent::AttemptsListed {
            endpoint: "decode-1".into(),
            attempts: vec![attempt],
        });
        if orphans.is_empty() {
            first_after = owner.session.now.monotonic - started;
        }
        orphans.extend(cancelled(&effects));
    }
    (orphans, first_after)
}

fn listed_endpoint(effect: &Effect) -> Option<&Name> {
    match effect {
        Effect::ListAttempts { endpoint, .. } => Some(endpoint),
        _ => None,
    }
}

/// Returns a report without grants, by which the owner learns its sender's incarnation.
fn empty_report() -> PeerMessage {
    PeerMessage::GrantReport(GrantReport {
        shard: ShardId {
            model: "draft-models".into(),
            index: 0,
        },
        active: Vec::new(),
        ended: Vec::new(),
    })
}

/// Applies the platform's list without the entry VM.
fn unlist_entry(owner: &mut TestVm) {
    let remaining = VMS.iter().filter(|vm| **vm != ENTRY);
    let list = remaining.map(|vm| listed(vm)).collect();
    owner.session.apply(Event::VmList(list));
}

#[test]
fn attempt_of_a_process_that_is_gone_is_cancelled() {
    let mut owner = shard_owner();
    owner.peer(ENTRY, empty_report());
    owner.peer("milano-a-3", empty_report());
    unlist_entry(&mut owner);
    let (orphans, first_after) =
        sweep_for(&mut owner, decode_attempt(ENTRY), Duration::from_secs(8));
    assert_eq!(orphans.first(), Some(&decode_attempt(ENTRY)));
    assert!(
        first_after >= GRANT_LIFETIME,
        "cancelled after {first_after:?}"
    );
    assert!(
        first_after <= GRANT_LIFETIME + SWEEP_INTERVAL * 2,
        "cancelled after {first_after:?}"
    );
}

#[test]
fn attempt_of_a_live_process_is_not_cancelled() {
    let mut owner = shard_owner();
    owner.peer(ENTRY, empty_report());
    owner.peer("milano-a-3", empty_report());
    let (orphans, _) = sweep_for(&mut owner, decode_attempt(ENTRY), Duration::from_secs(12));
    assert_eq!(orphans, []);
}

#[test]
fn attempt_of_a_live_process_reachable_only_by_other_vms_is_not_cancelled() {
    let mut owner = shard_owner();
    owner.peer(ENTRY, empty_report());
    owner.peer("milano-a-3", empty_report());
    owner.unheard_vm = Some(ENTRY);
    let (orphans, _) = sweep_for(&mut owner, decode_attempt(ENTRY), Duration::from_secs(12));
    assert_eq!(orphans, []);
}

#[test]
fn attempt_of_an_unlisted_process_that_sends_reports_is_not_cancelled() {
    let mut owner = shard_owner();
    owner.peer("milano-a-3", empty_report());
    unlist_entry(&mut owner);
    for _ in 0..6 {
        owner.peer(ENTRY, empty_report());
        let (orphans, _) = sweep_for(&mut owner, decode_attempt(ENTRY), Duration::from_secs(2));
        assert_eq!(orphans, []);
    }
}

#[test]
fn first_report_of_an_unlisted_process_keeps_its_attempt() {
    let mut owner = shard_owner();
    owner.peer("milano-a-3", empty_report());
    unlist_entry(&mut owner);
    let (orphans, _) = sweep_for(&mut owner, decode_attempt(ENTRY), Duration::from_secs(3));
    assert_eq!(orphans, []);
    owner.peer(ENTRY, empty_report());
    let (orphans, _) = sweep_for(&mut owner, decode_attempt(ENTRY), Duration::from_secs(3));
    assert_eq!(orphans, []);
}

#[test]
fn late_membership_update_does_not_keep_attempts_of_a_gone_process() {
    for state in [MemberState::Alive, MemberState::Dead] {
        let mut owner = shard_owner();
        owner.peer(ENTRY, empty_report());
        owner.peer("milano-a-3", empty_report());
        unlist_entry(&mut owner);
        let update = MemberUpdate {
            vm: ENTRY.into(),
            incarnation: incarnation(ENTRY),
            state,
            update_version: 0,
        };
        let probe = Probe {
            sequence: 1,
            member_updates: vec![update],
            next_config_offset: Offset(1),
        };
        owner.peer("milano-a-3", PeerMessage::Probe(probe));
        let mut orphans = Vec::new();
        for _ in 0..10 {
            orphans.extend(sweep_for(&mut owner, decode_attempt(ENTRY), SWEEP_INTERVAL).0);
            unlist_entry(&mut owner);
        }
        assert_eq!(orphans.first(), Some(&decode_attempt(ENTRY)), "{state:?}");
    }
}

#[test]
fn own_attempt_that_is_not_in_progress_is_cancelled_without_waiting_for_the_grant_lifetime() {
    let mut owner = shard_owner();
    let own_request = RequestId {
        incarnation: arbutusfall_wire::Incarnation(7),
        sequence: 99,
    };
    let attempt = AttemptId {
        request: own_request,
        ..decode_attempt(ENTRY)
    };
    let (orphans, _) = sweep_for(&mut owner, attempt, SWEEP_INTERVAL * 2);
    assert_eq!(orphans.first(), Some(&attempt));
}

// Guards against a sweep that cancels the attempt of a silent engine before another engine takes its stream over.
#[test]
fn attempt_of_a_silent_engine_is_kept_during_the_move_of_its_stream() {
    let mut owner = shard_owner();
    let started = owner.start_request(1);
    assert!(has_effect(&started, "prefill"), "{started:?}");
    owner.prefill_done(1);
    owner.receive_tokens(1, 0, 0..2);
    let mut effects = owner.wait_ms(1_050);
    assert!(has_effect(&effects, "prefill"), "{effects:?}");
    let attempts = vec![decode(1, 1)];
    for endpoint in ["decode-1", "decode-2"] {
        effects.extend(owner.engine(EngineEvent::AttemptsListed {
            endpoint: endpoint.into(),
            attempts: attempts.clone(),
        }));
    }
    assert_eq!(cancelled(&effects), []);
    assert!(has_effect(&owner.prefill_done(2), "decode"));
}
