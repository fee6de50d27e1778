//! Attempts that engines hold for processes that are gone, as the owner of their shard finds them.

use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::Effect;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::Event;
use arbutusfall_core::Stage;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::MemberNews;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Probe;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::ShardId;

use crate::session::Session;
use crate::session::listed;
use crate::streams_play::ENTRY;
use crate::streams_play::Play;
use crate::streams_play::VMS;
use crate::streams_play::cancelled;
use crate::streams_play::incarnation;

/// The owner of the test's shard.
const OWNER: &str = "milano-a-2";

/// Time for which a grant lives without a report, by the default configuration.
const GRANT_LIFETIME: Duration = Duration::from_secs(4);

/// The interval at which engines are asked, by the default configuration.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

fn owner() -> Play {
    Play {
        session: Session::serving(OWNER, &VMS),
        unheard: None,
    }
}

/// A decode that entered by another VM.
fn held_for(vm: &str) -> AttemptId {
    AttemptId {
        request: RequestId {
            incarnation: incarnation(vm),
            sequence: 1,
        },
        placement: 1,
        stage: Stage::Decode,
    }
}

/// Lets time pass while one decode engine holds an attempt; returns what was cancelled, and when first.
fn hold(play: &mut Play, attempt: AttemptId, total: Duration) -> (Vec<AttemptId>, Duration) {
    let began = play.session.now.monotonic;
    let mut orphans = Vec::new();
    let mut first = Duration::MAX;
    while play.session.now.monotonic < began + total {
        let effects = play.wait_ms(100);
        let asked = effects.iter().filter_map(asked_endpoint);
        if asked.filter(|endpoint| &***endpoint == "decode-1").count() == 0 {
            continue;
        }
        let effects = play.engine(EngineEvent::Active {
            endpoint: "decode-1".into(),
            attempts: vec![attempt],
        });
        if orphans.is_empty() {
            first = play.session.now.monotonic - began;
        }
        orphans.extend(cancelled(&effects));
    }
    (orphans, first)
}

fn asked_endpoint(effect: &Effect) -> Option<&Name> {
    match effect {
        Effect::ListActive { endpoint, .. } => Some(endpoint),
        _ => None,
    }
}

fn report() -> PeerMessage {
    PeerMessage::GrantReport(GrantReport {
        shard: ShardId {
            model: "draft-models".into(),
            index: 0,
        },
        active: Vec::new(),
        ended: Vec::new(),
    })
}

/// Takes the entry VM off the platform's list.
fn unlist_entry(play: &mut Play) {
    let left = VMS.iter().filter(|vm| **vm != ENTRY);
    let list = left.map(|vm| listed(vm)).collect();
    play.session.apply(Event::VmList(list));
}

#[test]
fn attempt_of_a_process_that_is_gone_is_cancelled() {
    let mut play = owner();
    play.peer(ENTRY, report());
    play.peer("milano-a-3", report());
    unlist_entry(&mut play);
    let (orphans, first) = hold(&mut play, held_for(ENTRY), Duration::from_secs(8));
    assert_eq!(orphans.first(), Some(&held_for(ENTRY)));
    assert!(first >= GRANT_LIFETIME, "cancelled after {first:?}");
    assert!(first <= GRANT_LIFETIME + SWEEP_INTERVAL * 2, "{first:?}");
}

#[test]
fn attempt_of_a_live_process_is_left_alone() {
    let mut play = owner();
    play.peer(ENTRY, report());
    play.peer("milano-a-3", report());
    let (orphans, _) = hold(&mut play, held_for(ENTRY), Duration::from_secs(12));
    assert_eq!(orphans, []);
}

#[test]
fn attempt_of_a_live_process_that_only_others_hear_is_left_alone() {
    let mut play = owner();
    play.peer(ENTRY, report());
    play.peer("milano-a-3", report());
    play.unheard = Some(ENTRY);
    let (orphans, _) = hold(&mut play, held_for(ENTRY), Duration::from_secs(12));
    assert_eq!(orphans, []);
}

#[test]
fn attempt_of_a_process_that_the_list_does_not_name_yet_is_left_alone() {
    let mut play = owner();
    play.peer("milano-a-3", report());
    unlist_entry(&mut play);
    for _ in 0..6 {
        play.peer(ENTRY, report());
        let (orphans, _) = hold(&mut play, held_for(ENTRY), Duration::from_secs(2));
        assert_eq!(orphans, []);
    }
}

#[test]
fn attempt_of_a_new_process_is_left_alone_until_it_is_heard() {
    let mut play = owner();
    play.peer("milano-a-3", report());
    unlist_entry(&mut play);
    let (orphans, _) = hold(&mut play, held_for(ENTRY), Duration::from_secs(3));
    assert_eq!(orphans, []);
    play.peer(ENTRY, report());
    let (orphans, _) = hold(&mut play, held_for(ENTRY), Duration::from_secs(3));
    assert_eq!(orphans, []);
}

#[test]
fn late_news_of_a_process_that_is_gone_does_not_keep_its_attempts() {
    for state in [MemberState::Alive, MemberState::Dead] {
        let mut play = owner();
        play.peer(ENTRY, report());
        play.peer("milano-a-3", report());
        unlist_entry(&mut play);
        let news = MemberNews {
            vm: ENTRY.into(),
            incarnation: incarnation(ENTRY),
            state,
            refutation: 0,
        };
        let probe = Probe {
            sequence: 1,
            news: vec![news],
            config_next: Offset(1),
        };
        play.peer("milano-a-3", PeerMessage::Probe(probe));
        let mut orphans = Vec::new();
        for _ in 0..10 {
            orphans.extend(hold(&mut play, held_for(ENTRY), SWEEP_INTERVAL).0);
            unlist_entry(&mut play);
        }
        assert_eq!(orphans.first(), Some(&held_for(ENTRY)), "{state:?}");
    }
}

#[test]
fn own_attempt_that_is_not_in_progress_is_cancelled_at_once() {
    let mut play = owner();
    let own = RequestId {
        incarnation: arbutusfall_wire::Incarnation(7),
        sequence: 99,
    };
    let attempt = AttemptId {
        request: own,
        ..held_for(ENTRY)
    };
    let (orphans, _) = hold(&mut play, attempt, SWEEP_INTERVAL * 2);
    assert_eq!(orphans.first(), Some(&attempt));
}
