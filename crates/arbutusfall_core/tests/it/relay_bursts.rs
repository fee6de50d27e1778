//! Many requests at once while all engines are sound and have room.

use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::Work;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::ms;

/// Requests that come at once.
const BURST: usize = 40;

/// Answers what was sent as sound engines do, prefills only with `completes_prefills`; returns the number of requests that were
/// served and refused.
fn answer_sends(harness: &mut RelayHarness, completes_prefills: bool) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    for effect in std::mem::take(&mut harness.effects) {
        match effect {
            RelayEffect::Send(command) if command.work == Work::Prefill && !completes_prefills => {
                harness.effects.push(RelayEffect::Send(command));
            }
            RelayEffect::Send(command) => {
                let events = match command.work {
                    Work::Reserve { .. } => vec![ExchangeEvent::Reserved {
                        reservation: "reservation".into(),
                    }],
                    Work::Prefill => vec![ExchangeEvent::PrefillDone {
                        handle: "handle".into(),
                    }],
                    _ => vec![
                        ExchangeEvent::StreamBegan,
                        ExchangeEvent::Progress {
                            last_event_id: Some(1),
                        },
                        ExchangeEvent::Complete { status: 200 },
                    ],
                };
                for event in events {
                    harness.deliver(command.exchange, event);
                }
            }
            RelayEffect::Finish { .. } => served += 1,
            RelayEffect::AnswerProblem { .. } => refused += 1,
            _ => {}
        }
    }
    (served, refused)
}

// Guards against requests that are refused as if memory were scarce although they only wait for a moment for a prefill engine.
#[test]
fn burst_is_served_by_engines_that_have_room() {
    for path in ["/stream/1", "/resumable/1"] {
        let mut harness = RelayHarness::configured(1);
        let (mut served, mut refused) = (0, 0);
        // The times of some prefills are known.
        for requests in [1, 1, 1, 1, BURST] {
            let mut answer = |harness: &mut RelayHarness, completes_prefills| {
                let (now_served, now_refused) = answer_sends(harness, completes_prefills);
                served += now_served;
                refused += now_refused;
            };
            for _ in 0..requests {
                harness.submit_with_parts(path, Vec::new());
                answer(&mut harness, false);
            }
            for _ in 0..100 {
                harness.advance(ms(4));
                answer(&mut harness, true);
            }
        }
        assert_eq!((served, refused), (BURST + 4, 0), "{path}");
    }
}
