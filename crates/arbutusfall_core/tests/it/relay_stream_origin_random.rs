//! Property test: whatever becomes of an engine and its entry, a stream goes on only at the version that began it, and does so if that
//! process lived on and could be asked.

use std::time::Duration;

use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_wire::Name;

use crate::relay_harness::CLOSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::ms;
use crate::relay_run_fixtures::engine;
use crate::relay_run_fixtures::progress;
use crate::relay_run_fixtures::relay_with_engines;
use crate::relay_run_fixtures::take_questions;

/// Number of random runs.
const RUNS: u64 = 4_000;

/// Step of the clock.
const STEP: Duration = Duration::from_millis(10);

/// Length of a run.
const RUN_TIME: Duration = Duration::from_secs(4);

/// Time for which a process must live on after the first event so that it has certainly been asked.
const CERTAIN_TIME: Duration = Duration::from_millis(1_500);

/// A process of the engine; each has a version of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process(u64);

impl Process {
    fn version(self) -> String {
        format!("v{}", self.0)
    }

    fn entry(self) -> EndpointListChange {
        engine("decode-1", &self.version(), self.0)
    }
}

/// What the list says of the engine from some instant on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    Removed,
    Of(Process),
}

/// A question to the engine on its way.
#[derive(Debug, Clone, Copy)]
struct Question {
    asked_at: Duration,
    answered_at: Duration,
    is_lost: bool,
}

/// What happens in one run.
#[derive(Debug, Clone)]
struct Plan {
    /// Whether the engine is upgraded in place before the stream is sent, and its old entry is still listed.
    is_upgraded_before: bool,
    first_event_at: Duration,
    /// When the process ends that gets the request, if it does.
    ends_at: Option<Duration>,
    /// When the next process starts, if one does.
    next_at: Option<Duration>,
    entries: Vec<(Duration, Entry)>,
    loses_questions: bool,
}

impl Plan {
    fn random(rng: &mut fastrand::Rng) -> Self {
        let at = |rng: &mut fastrand::Rng, most: u64| ms(rng.u64(0..most / 10) * 10);
        let ends_at = rng.bool().then(|| at(rng, 3_500));
        let next_at = ends_at
            .filter(|_| rng.bool())
            .map(|ends_at| ends_at + at(rng, 600));
        let count = rng.usize(0..5);
        let mut entries: Vec<(Duration, Entry)> = (0..count)
            .map(|_| {
                let entry = match rng.u64(0..6) {
                    0..3 => Entry::Removed,
                    number => Entry::Of(Process(number - 2)),
                };
                (at(rng, 3_500), entry)
            })
            .collect();
        entries.sort_by_key(|(at, _)| *at);
        Self {
            is_upgraded_before: rng.u64(0..4) == 0,
            first_event_at: at(rng, 2_000),
            ends_at,
            next_at,
            entries,
            loses_questions: rng.bool(),
        }
    }

    /// Returns the process that gets the request.
    fn writer(&self) -> Process {
        Process(if self.is_upgraded_before { 2 } else { 1 })
    }

    /// Returns the process that runs at an instant.
    fn process_at(&self, now: Duration) -> Option<Process> {
        let writer = self.writer();
        if self.ends_at.is_none_or(|ends_at| now < ends_at) {
            return Some(writer);
        }
        let has_started = self.next_at.is_some_and(|next_at| next_at <= now);
        has_started.then_some(Process(writer.0 + 1))
    }

    /// Returns whether the first event is written.
    fn begins(&self) -> bool {
        self.ends_at
            .is_none_or(|ends_at| self.first_event_at < ends_at)
    }

    /// Returns whether the version of the stream must become known: its process was listed, no other one was, and it lived on.
    fn must_be_known(&self) -> bool {
        let lives_until = self.ends_at.unwrap_or(RUN_TIME);
        let is_writer = |entry: &Entry| matches!(entry, Entry::Removed | Entry::Of(Process(1)));
        !self.is_upgraded_before
            && self.first_event_at + CERTAIN_TIME <= lives_until
            && self.entries.iter().all(|(_, entry)| is_writer(entry))
    }
}

/// The run of a plan.
struct Play {
    plan: Plan,
    harness: RelayHarness,
    rng: fastrand::Rng,
    started_at: Duration,
    exchange: ExchangeId,
    questions: Vec<Question>,
    has_begun: bool,
    has_ended: bool,
}

impl Play {
    fn new(plan: Plan, rng: fastrand::Rng) -> Self {
        let mut harness = relay_with_engines(&["decode-1"]);
        let (_, decode) = harness.start_stream("/resumable/1");
        Self {
            plan,
            started_at: harness.now,
            harness,
            rng,
            exchange: decode.exchange,
            questions: Vec::new(),
            has_begun: false,
            has_ended: false,
        }
    }

    fn step(&mut self) {
        let now = self.harness.now - self.started_at;
        while let Some((at, entry)) = self.plan.entries.first().copied()
            && at <= now
        {
            self.plan.entries.remove(0);
            let change = match entry {
                Entry::Removed => EndpointListChange::Removed {
                    instance: "decode-1".into(),
                },
                Entry::Of(process) => process.entry(),
            };
            self.harness
                .apply(RelayEvent::EndpointChanges(vec![change]));
        }
        if !self.has_begun && self.plan.begins() && self.plan.first_event_at <= now {
            self.has_begun = true;
            self.harness.deliver(self.exchange, progress(1));
        }
        if !self.has_ended && self.plan.ends_at.is_some_and(|ends_at| ends_at <= now) {
            self.has_ended = true;
            self.harness.deliver(self.exchange, CLOSED);
        }
        self.answer_questions(now);
        self.harness.advance(STEP);
    }

    fn answer_questions(&mut self, now: Duration) {
        for _ in take_questions(&mut self.harness) {
            let question = Question {
                asked_at: now,
                answered_at: now + ms(self.rng.u64(0..15) * 10),
                is_lost: self.plan.loses_questions && self.rng.u64(0..3) == 0,
            };
            self.questions.push(question);
        }
        let due = |question: &mut Question| question.answered_at <= now;
        let answered: Vec<Question> = self.questions.extract_if(.., due).collect();
        for question in answered {
            let process = self.plan.process_at(now);
            let answer = match process {
                _ if question.is_lost => RunAnswer::Failed,
                Some(process) => RunAnswer::Started(process.0),
                None => RunAnswer::Refused,
            };
            self.harness.apply(RelayEvent::RunChecked {
                instance: "decode-1".into(),
                asked_at: self.started_at + question.asked_at,
                answer,
            });
        }
    }

    /// Returns all versions at which the stream was recorded or went on, the empty one not counted.
    fn versions(&self) -> Vec<Name> {
        let mut versions = Vec::new();
        for effect in &self.harness.effects {
            match effect {
                RelayEffect::RecordStreams(records) => {
                    let origins = records.iter().filter_map(|record| record.origin.as_ref());
                    versions.extend(origins.map(|origin| origin.version.clone()));
                }
                RelayEffect::Note(RelayNotice::GoesOn { version, .. }) => {
                    versions.push(version.clone());
                }
                RelayEffect::Send(command) if self.has_begun => {
                    versions.push(command.version.clone());
                }
                _ => {}
            }
        }
        versions.retain(|version| !version.is_empty());
        versions
    }
}

// Guards against streams of two versions, and against streams of a known process that go on nowhere, in any order of events.
#[test]
fn stream_goes_on_at_the_version_that_began_it_or_nowhere() {
    let mut known = 0;
    for seed in 0..RUNS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let plan = Plan::random(&mut rng);
        let mut play = Play::new(plan.clone(), rng);
        while play.harness.now < play.started_at + RUN_TIME {
            play.step();
        }
        let attempt = "request-1";
        play.harness
            .submit_resumption("/resumable/1", Some(attempt));
        play.harness.advance(ms(500));
        if !plan.begins() {
            continue;
        }
        let versions = play.versions();
        let expected = plan.writer().version();
        let is_other = |version: &Name| **version != *expected;
        assert!(
            !versions.iter().any(is_other),
            "seed {seed}: {versions:?} instead of {expected}: {plan:?}"
        );
        if plan.must_be_known() {
            known += 1;
            assert!(!versions.is_empty(), "seed {seed}: unknown: {plan:?}");
        }
    }
    assert!(known > RUNS / 20, "too few streams of known processes");
}
