//! Property test of random interleavings of engine, owner and caller events, with a fixed seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::CallId;
use arbutusfall_core::Effect;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::EngineFailure;
use arbutusfall_core::Event;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceDecision;
use proptest::collection::vec;
use proptest::num::u32::ANY;
use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use crate::session::Session;
use crate::streams_harness::ENTRY;
use crate::streams_harness::TestVm;
use crate::streams_harness::VMS;
use crate::streams_harness::grant;

/// Seed of the generated interleavings.
const SEED: u64 = 0x5eed_0004;

/// Number of interleavings.
const CASES: u32 = 256;

/// Requests in one interleaving.
const REQUESTS: u64 = 3;

/// Tokens of each complete answer.
const ANSWER_TOKENS: u32 = 7;

/// State of a decode at its engine.
#[derive(Debug, Clone)]
struct Decoding {
    /// Tokens of the answer generated before this attempt.
    base: u32,
    generated: u32,
    /// Prefill whose result the decode fetches.
    source_prefill: AttemptId,
}

/// Simulated engines, owners and callers; the node under test sees only their events.
struct Simulation {
    entry: TestVm,
    /// Events with the instants at which they were applied, for the replay.
    applied: Vec<(Duration, Event)>,
    placing: Vec<(u64, u32)>,
    prefilling: Vec<AttemptId>,
    decoding: BTreeMap<AttemptId, Decoding>,
    unconfirmed_cancels: Vec<AttemptId>,
    /// Attempts for which a cancellation was sent.
    cancelled: BTreeSet<AttemptId>,
    /// Attempts that engines hold.
    held_by_engines: BTreeSet<AttemptId>,
    delivered: BTreeMap<CallId, Vec<Name>>,
    /// Calls with a final answer, and disconnected ones.
    ended_calls: BTreeSet<CallId>,
    disconnected: BTreeSet<CallId>,
    effects: Vec<Effect>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            entry: TestVm::new(),
            applied: Vec::new(),
            placing: Vec::new(),
            prefilling: Vec::new(),
            decoding: BTreeMap::new(),
            unconfirmed_cancels: Vec::new(),
            cancelled: BTreeSet::new(),
            held_by_engines: BTreeSet::new(),
            delivered: BTreeMap::new(),
            ended_calls: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            effects: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        self.applied
            .push((self.entry.session.now.monotonic, event.clone()));
        let effects = self.entry.session.apply(event);
        for effect in &effects {
            self.observe(effect);
        }
        self.effects.extend(effects);
    }

    fn engine(&mut self, event: EngineEvent) {
        self.apply(Event::Engine(event));
    }

    fn observe(&mut self, effect: &Effect) {
        match effect {
            Effect::Send {
                message: PeerMessage::Place(request),
                ..
            } => {
                let sequence = request.request.sequence;
                self.placing.push((sequence, request.placement));
            }
            Effect::Prefill(command) => {
                self.prefilling.push(command.attempt);
                self.held_by_engines.insert(command.attempt);
            }
            Effect::Decode(command) => {
                let decoding = Decoding {
                    base: command.delivered_tokens,
                    generated: 0,
                    source_prefill: command.transfer.parse().expect("transfers name a prefill"),
                };
                self.assert_other_decodes_are_cancelled(command.attempt);
                self.decoding.insert(command.attempt, decoding);
                self.held_by_engines.insert(command.attempt);
            }
            Effect::Cancel { attempt, .. } => {
                self.cancelled.insert(*attempt);
                self.unconfirmed_cancels.push(*attempt);
            }
            Effect::Deliver { call, texts } => {
                assert!(
                    !self.ended_calls.contains(call),
                    "no token may follow the final answer"
                );
                let delivered = self.delivered.entry(*call).or_default();
                delivered.extend(texts.iter().cloned());
                let expected = answer(call.0, 0..delivered.len() as u32);
                assert_eq!(
                    *delivered, expected,
                    "each token must be delivered once, in order"
                );
            }
            Effect::Finish { call, .. } => {
                let whole = self.delivered.get(call).map_or(0, Vec::len);
                assert_eq!(
                    whole, ANSWER_TOKENS as usize,
                    "a finished answer must be complete"
                );
                assert!(
                    self.ended_calls.insert(*call),
                    "a call must be answered only once"
                );
            }
            Effect::Abort { call, .. } | Effect::AnswerProblem { call, .. } => {
                assert!(
                    self.ended_calls.insert(*call),
                    "a call must be answered only once"
                );
            }
            _ => {}
        }
    }

    /// Checks that no other engine may write the stream of a decode that is sent.
    fn assert_other_decodes_are_cancelled(&self, sent: AttemptId) {
        let held = self.held_by_engines.iter();
        let mut others = held.filter(|attempt| {
            attempt.request == sent.request && attempt.stage == sent.stage && **attempt != sent
        });
        assert!(
            others.all(|attempt| self.cancelled.contains(attempt)),
            "other decodes must be cancelled"
        );
    }

    /// Performs the action selected by a random number.
    fn step(&mut self, choice: u32) {
        let pick = (choice >> 8) as usize;
        match choice % 16 {
            0 | 1 => self.reply_to_placement(pick),
            2 | 3 => self.end_prefill(pick),
            4..=8 => self.generate(pick),
            9 => self.fail_decode(pick),
            10 => self.reply_to_cancel(pick, choice & 0x80 != 0),
            11 => self.repeat_event(pick),
            12 if pick.is_multiple_of(8) => self.disconnect(pick as u64 % REQUESTS + 1),
            _ => self.advance_time(Duration::from_millis(pick as u64 % 300)),
        }
    }

    fn advance_time(&mut self, time: Duration) {
        let until = self.entry.session.now.monotonic + time;
        while let Some(due) = self.entry.session.wake_at.filter(|due| *due <= until) {
            let now = self.entry.session.now.monotonic;
            self.entry.session.advance(due.saturating_sub(now));
            self.apply(Event::Tick);
        }
        let now = self.entry.session.now.monotonic;
        self.entry.session.advance(until - now);
    }

    fn reply_to_placement(&mut self, pick: usize) {
        if self.placing.is_empty() {
            return;
        }
        let (sequence, placement) = self.placing.swap_remove(pick % self.placing.len());
        let start_after = Duration::from_millis((pick as u64 / 8) % 3 * 40);
        let granted = grant(1 + (pick % 2) as u8, 1 + (pick / 2 % 2) as u8, start_after);
        let decision = match pick % 13 {
            0 => PlaceDecision::Refused {
                retry_after: Duration::from_secs(1),
            },
            _ => PlaceDecision::Granted(granted),
        };
        let event = TestVm::reply_event("milano-a-2", sequence, placement, decision);
        self.apply(event);
    }

    fn end_prefill(&mut self, pick: usize) {
        if self.prefilling.is_empty() {
            return;
        }
        let attempt = self.prefilling.swap_remove(pick % self.prefilling.len());
        if !self.held_by_engines.contains(&attempt) {
            return;
        }
        if pick.is_multiple_of(5) {
            self.held_by_engines.remove(&attempt);
            let failure = EngineFailure::Closed;
            self.engine(EngineEvent::Failed { attempt, failure });
            return;
        }
        self.engine(EngineEvent::PrefillDone {
            attempt,
            transfer: attempt.to_string().into(),
            cached_tokens: None,
        });
    }

    fn pick_decode(&self, pick: usize) -> Option<(AttemptId, Decoding)> {
        let decodes = self.decoding.iter();
        let decodes: Vec<_> = decodes
            .filter(|(id, _)| self.held_by_engines.contains(id))
            .collect();
        let (attempt, decoding) = *decodes.get(pick % decodes.len().max(1))?;
        Some((*attempt, decoding.clone()))
    }

    /// Generates one token at a decode engine, which may send its last one to three tokens.
    ///
    /// Sends the end if all tokens were generated before.
    fn generate(&mut self, pick: usize) {
        let Some((attempt, before)) = self.pick_decode(pick) else {
            return;
        };
        let left = ANSWER_TOKENS - before.base;
        let generated = (before.generated + 1).min(left);
        self.held_by_engines.remove(&before.source_prefill);
        if let Some(decoding) = self.decoding.get_mut(&attempt) {
            decoding.generated = generated;
        }
        let first_index = generated.saturating_sub(1 + (pick / 4 % 3) as u32);
        let call = attempt.request.sequence;
        let texts = answer(call, before.base + first_index..before.base + generated);
        if !pick.is_multiple_of(7) {
            self.engine(EngineEvent::Tokens {
                attempt,
                first_index,
                texts,
            });
        }
        if before.generated == left {
            self.held_by_engines.remove(&attempt);
            self.engine(EngineEvent::DecodeDone {
                attempt,
                generated_tokens: left,
            });
        }
    }

    fn fail_decode(&mut self, pick: usize) {
        let Some((attempt, decoding)) = self.pick_decode(pick) else {
            return;
        };
        let failure = match pick / 2 % 3 {
            0 => EngineFailure::Unreachable,
            1 => EngineFailure::TransferLost,
            _ => EngineFailure::Closed,
        };
        if failure == EngineFailure::TransferLost {
            self.held_by_engines.remove(&decoding.source_prefill);
        }
        if failure != EngineFailure::Closed {
            self.held_by_engines.remove(&attempt);
        }
        self.engine(EngineEvent::Failed { attempt, failure });
    }

    fn reply_to_cancel(&mut self, pick: usize, confirm: bool) {
        if self.unconfirmed_cancels.is_empty() {
            return;
        }
        let attempt = self
            .unconfirmed_cancels
            .swap_remove(pick % self.unconfirmed_cancels.len());
        if confirm {
            self.held_by_engines.remove(&attempt);
            self.engine(EngineEvent::Cancelled { attempt });
        } else {
            self.engine(EngineEvent::CancelFailed { attempt });
        }
    }

    /// Applies an earlier message of an engine or an owner a second time.
    fn repeat_event(&mut self, pick: usize) {
        let repeatable = |event: &&Event| {
            let is_cancel_result = matches!(
                event,
                Event::Engine(EngineEvent::Cancelled { .. } | EngineEvent::CancelFailed { .. })
            );
            matches!(event, Event::Engine(_) | Event::Peer { .. }) && !is_cancel_result
        };
        let events = self.applied.iter().map(|(_, event)| event);
        let events: Vec<&Event> = events.filter(repeatable).collect();
        if let Some(event) = events.get(pick % events.len().max(1)) {
            let event = (*event).clone();
            self.apply(event);
        }
    }

    fn disconnect(&mut self, number: u64) {
        let call = CallId(number);
        if self.disconnected.insert(call) {
            self.ended_calls.insert(call);
            self.apply(Event::CallerGone { call });
        }
    }

    /// Disconnects all callers, confirms all cancellations and checks that engines hold nothing.
    fn assert_engines_are_released(&mut self) {
        for number in 1..=REQUESTS {
            self.disconnect(number);
        }
        while !self.unconfirmed_cancels.is_empty() {
            self.reply_to_cancel(0, true);
        }
        self.advance_time(Duration::from_secs(5));
        while !self.unconfirmed_cancels.is_empty() {
            self.reply_to_cancel(0, true);
        }
        assert_eq!(
            self.held_by_engines,
            BTreeSet::new(),
            "engines must hold nothing"
        );
    }
}

/// Returns tokens of a request's answer, whose texts are unique to the request.
fn answer(call: u64, indexes: std::ops::Range<u32>) -> Vec<Name> {
    indexes
        .map(|index| format!("r{call}.{index} ").into())
        .collect()
}

fn run_interleaving(choices: &[u32]) {
    let mut simulation = Simulation::new();
    for number in 1..=REQUESTS {
        let asked = crate::session::completion(number);
        simulation.apply(Event::Completion(asked));
    }
    for choice in choices {
        simulation.step(*choice);
    }
    simulation.assert_engines_are_released();
    assert_replay_is_identical(&simulation);
}

/// Checks that the same events give the same effects.
fn assert_replay_is_identical(simulation: &Simulation) {
    let mut session = Session::serving(ENTRY, &VMS);
    let mut effects = Vec::new();
    for (at, event) in &simulation.applied {
        session.advance(*at - session.now.monotonic);
        effects.extend(session.apply(event.clone()));
    }
    assert_eq!(effects, simulation.effects);
}

#[test]
fn random_interleavings_give_whole_answers_and_leave_no_attempts() {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let result = runner.run(&vec(ANY, 40..240), |choices| {
        run_interleaving(&choices);
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
