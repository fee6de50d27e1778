//! Fleets whose VMs pass facts of the store on to each other, without a network: VMs that die, freeze, drain, restart or are cut
//! off, and outages of the store.

use std::time::Duration;

use arbutusfall_core::relay::FactLog;
use arbutusfall_core::relay::FactPosition;
use arbutusfall_core::relay::FactSource;
use arbutusfall_core::relay::FactTimes;
use arbutusfall_core::relay::FollowOutcome;
use arbutusfall_core::relay::NextFacts;
use arbutusfall_core::relay::VmStrength;
use arbutusfall_core::relay::WaitingQuestion;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;

use crate::relay_facts::KnownStrength;
use crate::relay_facts::peer_address;
use crate::relay_facts::span;
use crate::relay_facts::vm_name;
use crate::relay_harness::ms;

const STEP: Duration = Duration::from_millis(20);

/// Pause between two reads of the store by a VM that follows none.
pub(crate) const PAUSE: Duration = Duration::from_millis(2_200);

/// Longest age with which facts are passed on.
const MAX_AGE: Duration = Duration::from_millis(3_700);

/// Time from a change in the store until all VMs in touch must know it.
const BOUND: Duration = Duration::from_millis(4_000);

/// Time without a disturbance after which a VM is in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(5_000);

/// Mean time between two changes in the store.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// Chance that a step brings news of another topic.
const OTHER_NEWS_CHANCE: f64 = 0.02;

const TIMES: FactTimes = FactTimes { wait: PAUSE };

/// A question of a VM to another one.
#[derive(Debug, Clone, Copy)]
struct Question {
    to: usize,
    waiting: WaitingQuestion,
    deadline: Duration,
}

/// A read of the store that is not answered yet.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    asked_at: Duration,
    /// Number of records in the store then.
    end: u64,
}

/// What disturbs a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    /// It is not running and starts anew afterwards.
    Dead,
    /// It stands still.
    Frozen,
    /// It does not reach the store.
    CutFromStore,
    /// It does not reach other VMs.
    CutFromVms,
    /// It passes nothing on.
    Draining,
}

pub(crate) struct SimulatedVm {
    pub(crate) source: FactSource,
    log: FactLog,
    position: Option<FactPosition>,
    as_of: Duration,
    next_read: Duration,
    pending_read: Option<PendingRead>,
    fresh_until: Duration,
    question: Option<Question>,
    ask_from: Duration,
    pub(crate) trouble: Trouble,
    disturbed_at: Duration,
}

pub(crate) struct Fleet {
    pub(crate) vms: Vec<SimulatedVm>,
    known_strength: KnownStrength,
    data_centres: usize,
    now: Duration,
    /// When each record was written.
    written: Vec<Duration>,
    is_store_up: bool,
    /// Whether there are changes in the store and news of other topics; both let questions be answered between two reads.
    has_news: bool,
    /// Time that the store takes for an answer.
    store_delay: Duration,
    store_disturbed_at: Duration,
    pub(crate) reads: usize,
    /// Oldest list that any VM had.
    max_age: Duration,
    refused_reads: usize,
    questions: usize,
    pub(crate) rng: fastrand::Rng,
}

/// Returns the number of a VM by its name.
pub(crate) fn number_of(vm: &Name) -> usize {
    let number = vm
        .strip_prefix("front-")
        .and_then(|number| number.parse().ok());
    number.expect("a name of a VM has its number")
}

impl Fleet {
    fn new(count: usize, data_centres: usize, seed: u64) -> Self {
        Self::with_strengths(count, data_centres, seed, |_, _| VmStrength::default())
    }

    pub(crate) fn with_strengths(
        count: usize,
        data_centres: usize,
        seed: u64,
        known_strength: KnownStrength,
    ) -> Self {
        let mut fleet = Self {
            vms: Vec::new(),
            known_strength,
            data_centres,
            now: Duration::from_secs(10),
            written: Vec::new(),
            is_store_up: true,
            has_news: true,
            store_delay: Duration::ZERO,
            store_disturbed_at: Duration::ZERO,
            reads: 0,
            max_age: Duration::ZERO,
            refused_reads: 0,
            questions: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        for number in 0..count {
            let vm = fleet.new_vm(number, count);
            fleet.vms.push(vm);
        }
        fleet
    }

    fn data_centre(&self, number: usize) -> String {
        format!("data-centre-{}", number % self.data_centres)
    }

    fn new_vm(&mut self, number: usize, count: usize) -> SimulatedVm {
        let own = self.data_centre(number);
        let known_strength = self.known_strength;
        let own_strength = known_strength(number, number);
        let mut source = FactSource::new(vm_name(number), own.as_str().into(), own_strength);
        for other in (0..count).filter(|other| *other != number) {
            let mut address = peer_address(other, &self.data_centre(other));
            address.strength = known_strength(number, other);
            source.on_peer(&vm_name(other), Some(&address));
        }
        SimulatedVm {
            source,
            log: FactLog::default(),
            position: None,
            as_of: Duration::ZERO,
            next_read: self.now + PAUSE.mul_f64(self.rng.f64()),
            pending_read: None,
            fresh_until: Duration::ZERO,
            question: None,
            ask_from: Duration::ZERO,
            trouble: Trouble::None,
            disturbed_at: Duration::ZERO,
        }
    }

    pub(crate) fn set_trouble(&mut self, number: usize, trouble: Trouble) {
        if self.vms[number].trouble == Trouble::Dead && trouble != Trouble::Dead {
            self.vms[number] = self.new_vm(number, self.vms.len());
        }
        self.vms[number].trouble = trouble;
        self.vms[number].disturbed_at = self.now;
    }

    fn set_store_up(&mut self, is_up: bool) {
        self.is_store_up = is_up;
        self.store_disturbed_at = self.now;
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let chance = STEP.as_secs_f64() / CHANGE_INTERVAL.as_secs_f64();
            if self.has_news && self.rng.f64() < chance {
                self.written.push(self.now);
            }
            for number in 0..self.vms.len() {
                self.step(number);
            }
            self.check();
        }
    }

    fn step(&mut self, number: usize) {
        let vm = &self.vms[number];
        if matches!(vm.trouble, Trouble::Dead | Trouble::Frozen) {
            return;
        }
        if vm.pending_read.is_none() && self.now >= vm.fresh_until && self.now >= vm.next_read {
            self.read_store(number);
        }
        let pending = self.vms[number].pending_read;
        if let Some(read) = pending.filter(|read| self.now >= read.asked_at + self.store_delay) {
            self.end_read(number, read);
        }
        let age = self.now.saturating_sub(self.vms[number].as_of);
        self.max_age = self.max_age.max(age);
        match self.vms[number].question {
            Some(question) => self.review_question(number, question),
            None if self.now >= self.vms[number].ask_from => self.ask(number),
            None => {}
        }
    }

    fn read_store(&mut self, number: usize) {
        let now = self.now;
        if !self.is_store_up || self.vms[number].trouble == Trouble::CutFromStore {
            self.refused_reads += usize::from(!self.is_store_up);
            self.vms[number].next_read = now + ms(500);
            return;
        }
        self.reads += 1;
        self.vms[number].next_read = now + PAUSE;
        self.vms[number].pending_read = Some(PendingRead {
            asked_at: now,
            end: self.written.len() as u64,
        });
    }

    fn end_read(&mut self, number: usize, read: PendingRead) {
        let end = read.end;
        let vm = &mut self.vms[number];
        vm.pending_read = None;
        if vm.position.is_some_and(|from| from.offset.0 > end) {
            // What was passed on meanwhile is newer.
            return;
        }
        let at = |offset| FactPosition {
            offset: Offset(offset),
            era: Some(1),
        };
        match vm.position {
            None => vm.log.restart(at(end)),
            Some(from) => {
                let keys: Vec<(u64, String)> = (from.offset.0..end)
                    .map(|offset| (offset, format!("key-{}", offset % 7)))
                    .collect();
                let records: Vec<(u64, &str)> = keys
                    .iter()
                    .map(|(offset, key)| (*offset, key.as_str()))
                    .collect();
                vm.log.append(span(from, end, &records));
            }
        }
        vm.position = Some(at(end));
        vm.as_of = vm.as_of.max(read.asked_at);
    }

    fn ask(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        if vm.position.is_none() || vm.trouble == Trouble::Draining {
            return;
        }
        match vm.source.next(now) {
            NextFacts::Follow {
                vm: to, is_proven, ..
            } => {
                self.questions += 1;
                let wait = if is_proven {
                    TIMES.wait
                } else {
                    Duration::ZERO
                };
                let deadline = now + TIMES.answer_timeout(wait, self.rng.f64());
                let to = number_of(&to);
                let waiting = WaitingQuestion {
                    arrived_at: now,
                    wait,
                    known_as_of: self.vms[to].as_of,
                };
                self.vms[number].question = Some(Question {
                    to,
                    waiting,
                    deadline,
                });
            }
            NextFacts::ReadStore { until } => {
                vm.ask_from = until.unwrap_or(Duration::MAX);
            }
        }
    }

    fn review_question(&mut self, number: usize, question: Question) {
        let reaches = |vm: &SimulatedVm| !matches!(vm.trouble, Trouble::CutFromVms | Trouble::Dead);
        let is_reached = reaches(&self.vms[number]) && reaches(&self.vms[question.to]);
        let is_answering = is_reached && self.vms[question.to].trouble != Trouble::Frozen;
        if !is_answering {
            if self.now >= question.deadline {
                self.end_question(number, question, FollowOutcome::Failed);
            }
            return;
        }
        let asked = &self.vms[question.to];
        let from = self.vms[number].position.expect("it has read the store");
        let age = self.now.saturating_sub(asked.as_of);
        let passes = asked.source.reads_store()
            && asked.trouble != Trouble::Draining
            && asked.position.is_some()
            && age <= MAX_AGE;
        let Some(news) = asked.log.since(from).filter(|_| passes) else {
            self.end_question(number, question, FollowOutcome::Declined);
            return;
        };
        // News of another topic, which comes between two reads of this one.
        let has_other_news = self.has_news && self.rng.f64() < OTHER_NEWS_CHANCE;
        let is_due = TIMES.is_answer_due(&question.waiting, asked.as_of, self.now)
            || has_other_news
            || !news.records.is_empty();
        if !is_due {
            return;
        }
        let as_of = asked.as_of;
        let vm = &mut self.vms[number];
        let next = FactPosition {
            offset: news.next,
            era: news.from.era,
        };
        assert!(next.offset >= from.offset, "an older fact was taken");
        vm.log.append(news);
        vm.position = Some(next);
        vm.as_of = vm.as_of.max(as_of);
        vm.fresh_until = TIMES.fresh_until(as_of);
        self.end_question(number, question, FollowOutcome::Passed);
    }

    fn end_question(&mut self, number: usize, question: Question, outcome: FollowOutcome) {
        let now = self.now;
        let vm = &mut self.vms[number];
        vm.question = None;
        vm.ask_from = now;
        vm.source.on_outcome(&vm_name(question.to), outcome, now);
        let was_followed = !question.waiting.wait.is_zero();
        if outcome != FollowOutcome::Passed && was_followed && now < vm.fresh_until {
            vm.fresh_until = Duration::ZERO;
            vm.next_read = now;
        }
    }

    /// Checks that all VMs in touch know what was written before the bound.
    fn check(&self) {
        if self.now < self.store_disturbed_at + STABLE_WINDOW || !self.is_store_up {
            return;
        }
        let due = self
            .written
            .iter()
            .filter(|at| **at + BOUND <= self.now)
            .count();
        for (number, vm) in self.vms.iter().enumerate() {
            let is_in_touch = !matches!(
                vm.trouble,
                Trouble::Dead | Trouble::Frozen | Trouble::CutFromStore
            ) && self.now >= vm.disturbed_at + STABLE_WINDOW;
            let known = vm.position.map_or(0, |position| position.offset.0) as usize;
            assert!(
                !is_in_touch || known >= due,
                "VM {number} knows {known} of {due} at {:?}: {:?}",
                self.now,
                vm.trouble
            );
        }
    }
}

// Guards against control whose cost grows with the number of VMs.
#[test]
fn reads_of_the_store_do_not_grow_with_the_vms() {
    for (count, data_centres) in [(8, 3), (64, 3), (195, 6), (407, 6)] {
        let mut fleet = Fleet::new(count, data_centres, 1);
        fleet.run(Duration::from_secs(5));
        fleet.reads = 0;
        let time = Duration::from_secs(40);
        fleet.run(time);
        let alone = time.as_secs_f64() / PAUSE.as_secs_f64();
        let expected = alone * data_centres as f64;
        println!(
            "{count} VMs in {data_centres} data centres: {} reads, {} questions in 40 s; {:.0} reads if each reads alone",
            fleet.reads,
            fleet.questions,
            alone * count as f64
        );
        assert!(
            fleet.reads as f64 <= expected * 1.1,
            "{count} VMs: {} reads, {expected:.0} expected",
            fleet.reads
        );
    }
}

// Guards against followers that all read the store because the end of their wait and the next read of the VM that they follow fall
// on the same instant: which comes first depends on the time that the store takes.
#[test]
fn reads_of_the_store_do_not_depend_on_the_time_that_it_takes() {
    for (count, data_centres) in [(8, 3), (64, 3), (195, 6), (407, 6)] {
        for delay_ms in [0, 20, 40, 100, 200, 300] {
            let mut fleet = Fleet::new(count, data_centres, 1);
            fleet.store_delay = ms(delay_ms);
            fleet.has_news = false;
            fleet.run(Duration::from_secs(8));
            (fleet.reads, fleet.max_age) = (0, Duration::ZERO);
            let time = Duration::from_secs(40);
            fleet.run(time);
            let expected = time.as_secs_f64() / PAUSE.as_secs_f64() * data_centres as f64;
            println!(
                "{count} VMs, store that takes {delay_ms} ms: {} reads, list at most {:?} old",
                fleet.reads, fleet.max_age
            );
            assert!(
                fleet.reads as f64 <= expected * 1.1,
                "{count} VMs, {delay_ms} ms: {} reads, {expected:.0} expected",
                fleet.reads
            );
        }
    }
}

// Guards against a change that VMs in touch learn of too late, or facts that go back, whatever becomes of those that they follow.
#[test]
fn vms_in_touch_know_changes_in_time_whatever_becomes_of_others() {
    for seed in 0..12 {
        let mut fleet = Fleet::new(24, 2, seed);
        for _ in 0..60 {
            let number = fleet.rng.usize(..24);
            let trouble = match fleet.rng.usize(..10) {
                0 => Trouble::Dead,
                1 => Trouble::Frozen,
                2 => Trouble::CutFromStore,
                3 => Trouble::CutFromVms,
                4 => Trouble::Draining,
                _ => Trouble::None,
            };
            fleet.set_trouble(number, trouble);
            match fleet.rng.usize(..12) {
                0 => fleet.set_store_up(false),
                1..6 => fleet.set_store_up(true),
                _ => {}
            }
            let time = ms(fleet.rng.u64(100..3_000));
            fleet.run(time);
        }
    }
}

// Guards against a herd: when the VM dies that all others follow, each reads the store once and then follows another.
#[test]
fn death_of_the_followed_vm_costs_each_follower_few_reads() {
    let mut fleet = Fleet::new(68, 1, 3);
    fleet.run(Duration::from_secs(10));
    let reader = (0..68).find(|number| fleet.vms[*number].source.reads_store());
    let reader = reader.expect("one VM reads the store");
    fleet.reads = 0;
    fleet.set_trouble(reader, Trouble::Dead);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.reads <= 68 * 3, "{} reads", fleet.reads);
    fleet.reads = 0;
    fleet.run(Duration::from_secs(10));
    // The one that follows none reads the store five times.
    assert!(fleet.reads <= 6, "{} reads", fleet.reads);
}

// Guards against calls that grow in an outage: VMs ask a store that refuses no more often than they would alone.
#[test]
fn outage_of_the_store_does_not_multiply_reads() {
    let mut fleet = Fleet::new(64, 3, 4);
    fleet.run(Duration::from_secs(10));
    fleet.set_store_up(false);
    fleet.run(Duration::from_secs(20));
    let alone = 20.0 / 0.5 * 64.0;
    let refused = fleet.refused_reads as f64;
    assert!(refused <= alone * 1.05, "{refused} reads, {alone} alone");
}
