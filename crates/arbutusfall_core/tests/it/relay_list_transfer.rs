//! Fleets of 100 to 407 VMs with links of different bandwidth that read a long endpoint list, without a network: who transfers what over which
//! link, and how old the list of each VM is. Rates and sizes are assumptions that follow the measurements in `docs/CAPACITY.md`.

use std::fmt;
use std::time::Duration;

use arbutusfall_core::relay::BYTES_PER_S_PER_MBPS;
use arbutusfall_core::relay::FactSource;
use arbutusfall_core::relay::FactTimes;
use arbutusfall_core::relay::FollowOutcome;
use arbutusfall_core::relay::NewestSearch;
use arbutusfall_core::relay::NextFacts;
use arbutusfall_core::relay::NextNewest;
use arbutusfall_core::relay::TailCost;
use arbutusfall_core::relay::VmStrength;
use arbutusfall_core::relay::max_passed_bytes;

use crate::relay_facts::peer_address;
use crate::relay_facts::strength;
use crate::relay_facts::vm_name;
use crate::relay_facts_simulation::number_of;
use crate::relay_harness::ms;

const STEP: Duration = Duration::from_millis(10);
const DATA_CENTRES: usize = 6;

/// Bytes a second that the store sends to all VMs together.
const STORE_BYTES_PER_S: f64 = 80e6;

/// Bytes a second that a whole core receives and parses.
const CORE_BYTES_PER_S: f64 = 25e6;

/// Bytes of an entry of the list.
const ENTRY_BYTES: f64 = 250.0;

/// Bytes of an entry in a page of newest records, which is base64.
const NEWEST_ENTRY_BYTES: f64 = 290.0;

/// Time in which each endpoint writes its entry once.
const HEARTBEAT_S: f64 = 1.2;

/// Entries of a page of newest records.
const PAGE_ENTRIES: f64 = 500.0;

/// Most bytes of an answer with a topic's tail.
const TAIL_ANSWER_BYTES: f64 = 1e6;

/// Timeout of an answer of the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two reads: that of a leaving bound of 3 s.
const PAUSE: Duration = Duration::from_millis(1_650);

/// Longest age with which a VM serves by its list.
const MAX_SERVING_AGE: Duration = Duration::from_millis(2_700);

/// Longest age with which a list is passed on.
const MAX_PASSED_AGE: Duration = Duration::from_millis(3_150);

const TIMES: FactTimes = FactTimes { wait: PAUSE };

/// Time until the process of a weak VM runs and has read the records that VMs share.
const WEAK_START: Duration = Duration::from_millis(1_200);

/// Which of the rules of this build apply; none are the rules before it.
#[derive(Debug, Clone, Copy)]
struct Rules {
    by_strength: bool,
    limits_by_link: bool,
    seeks_newest: bool,
    jumps: bool,
    /// Whether each data centre has two strong VMs.
    has_strong_vms: bool,
}

const BEFORE: Rules = Rules {
    by_strength: false,
    limits_by_link: false,
    seeks_newest: false,
    jumps: false,
    has_strong_vms: true,
};

const NOW: Rules = Rules {
    by_strength: true,
    limits_by_link: true,
    seeks_newest: true,
    jumps: true,
    has_strong_vms: true,
};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Job {
    /// Nothing before a time.
    Pause(Duration),
    /// A page of newest records; how many follow.
    Page { further: u32, began: Duration },
    /// A part of the tail up to a time; whether more follows.
    Tail { to: Duration, has_more: bool },
    /// All newest records from another VM.
    Newest { from: usize, as_of: Duration },
}

struct ListVm {
    strength: VmStrength,
    link: f64,
    source: FactSource,
    search: Option<NewestSearch>,
    tail_cost: TailCost,
    job: Job,
    remaining_bytes: f64,
    deadline: Duration,
    /// When the store was asked for the list that is known.
    as_of: Option<Duration>,
    fresh_until: Duration,
    next_question: Duration,
    read_bytes: f64,
    paced_until: Duration,
}

struct ListFleet {
    rules: Rules,
    vms: Vec<ListVm>,
    entries: f64,
    /// Entries a second that change otherwise than by a heartbeat.
    changes_per_s: f64,
    now: Duration,
    oldest: Duration,
}

/// Two strong VMs in each data centre, every fifth of middle strength.
fn vm_strength(rules: Rules, number: usize) -> VmStrength {
    match number {
        0..12 if rules.has_strong_vms => strength(500, 200),
        number if number.is_multiple_of(5) => strength(300, 25),
        _ => strength(90, 10),
    }
}

impl ListFleet {
    fn start(rules: Rules, count: usize, entries: f64, changes_per_s: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(count as u64);
        let new = |number| new_vm(rules, number, count, &mut rng);
        Self {
            rules,
            vms: (0..count).map(new).collect(),
            entries,
            changes_per_s,
            now: Duration::ZERO,
            oldest: Duration::ZERO,
        }
    }

    fn tail_bytes(&self, time: Duration) -> f64 {
        self.entries * ENTRY_BYTES / HEARTBEAT_S * time.as_secs_f64()
    }

    fn is_serving(&self, vm: &ListVm) -> bool {
        vm.as_of
            .is_some_and(|as_of| self.now <= as_of + MAX_SERVING_AGE)
    }

    /// Runs until all VMs serve, at most for a time; returns the time.
    fn run_until_all_serve(&mut self, most: Duration) -> Option<Duration> {
        let until = self.now + most;
        while self.now < until {
            self.step();
            if self.vms.iter().all(|vm| self.is_serving(vm)) {
                return Some(self.now);
            }
        }
        None
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        self.oldest = Duration::ZERO;
        while self.now < until {
            self.step();
            let ages = self
                .vms
                .iter()
                .map(|vm| self.now - vm.as_of.unwrap_or_default());
            self.oldest = self.oldest.max(ages.max().unwrap_or_default());
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let is_store = |vm: &&ListVm| matches!(vm.job, Job::Page { .. } | Job::Tail { .. });
        let store_share =
            STORE_BYTES_PER_S / self.vms.iter().filter(is_store).count().max(1) as f64;
        let mut passing = vec![0.0_f64; self.vms.len()];
        for vm in &self.vms {
            if let Job::Newest { from, .. } = vm.job {
                passing[from] += 1.0;
            }
        }
        for number in 0..self.vms.len() {
            let vm = &self.vms[number];
            let rate = match vm.job {
                Job::Pause(_) => 0.0,
                Job::Newest { from, .. } => self.vms[from].link / passing[from],
                Job::Page { .. } | Job::Tail { .. } => store_share,
            };
            let core = f64::from(vm.strength.cpu_milli.unwrap_or(0)) / 1_000.0 * CORE_BYTES_PER_S;
            let bytes = rate.min(vm.link).min(core) * STEP.as_secs_f64();
            let vm = &mut self.vms[number];
            vm.remaining_bytes -= bytes;
            vm.read_bytes += bytes;
            self.review(number);
            self.ask(number);
        }
    }

    fn review(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        if let Job::Pause(until) = vm.job {
            if now >= until.max(vm.fresh_until) {
                self.begin_read(number);
            }
            return;
        }
        let is_late = now >= vm.deadline;
        if vm.remaining_bytes > 0.0 && !is_late {
            return;
        }
        let arrived = vm.remaining_bytes <= 0.0;
        match vm.job {
            Job::Page { further, began } if arrived && further == 0 => {
                vm.as_of = Some(began);
                vm.job = Job::Pause(began.max(now.saturating_sub(PAUSE)) + PAUSE);
            }
            Job::Page { further, began } => {
                let further = further - u32::from(arrived);
                self.begin_page(number, further, began);
            }
            Job::Tail { to, has_more } if arrived => {
                vm.as_of = Some(to);
                vm.job = Job::Pause(if has_more { now } else { to + PAUSE });
            }
            Job::Tail { .. } => vm.job = Job::Pause(now + ms(100)),
            Job::Newest { from, .. } if !arrived => {
                let search = vm.search.as_mut().expect("it searches");
                search.on_refused(&vm_name(from), false, now);
                vm.job = Job::Pause(now);
            }
            Job::Newest { as_of, .. } => {
                vm.as_of = Some(as_of);
                vm.search = None;
                vm.fresh_until = TIMES.fresh_until(as_of).max(now + Duration::from_secs(1));
                vm.job = Job::Pause(now);
            }
            Job::Pause(_) => {}
        }
    }

    fn begin_page(&mut self, number: usize, further: u32, began: Duration) {
        let page_bytes = PAGE_ENTRIES.min(self.entries) * NEWEST_ENTRY_BYTES;
        let vm = &mut self.vms[number];
        vm.job = Job::Page { further, began };
        vm.remaining_bytes = page_bytes;
        vm.deadline = self.now + ANSWER_TIMEOUT;
    }

    fn begin_read(&mut self, number: usize) {
        let now = self.now;
        let rules = self.rules;
        let random = fastrand::Rng::with_seed(number as u64).f64();
        let rate = self.tail_bytes(Duration::from_secs(1));
        let vm = &mut self.vms[number];
        let is_too_long =
            |vm: &ListVm, as_of| vm.tail_cost.is_too_long(now - as_of, ANSWER_TIMEOUT);
        vm.tail_cost.on_tail(rate as usize, Duration::from_secs(1));
        match vm.as_of {
            Some(as_of) if !(rules.jumps && is_too_long(vm, as_of)) => {
                let bytes = self.tail_bytes(now - as_of);
                let part = (TAIL_ANSWER_BYTES / bytes).min(1.0);
                let vm = &mut self.vms[number];
                vm.job = Job::Tail {
                    to: as_of + (now - as_of).mul_f64(part),
                    has_more: part < 1.0,
                };
                vm.remaining_bytes = bytes.min(TAIL_ANSWER_BYTES);
                vm.deadline = now + ANSWER_TIMEOUT;
            }
            _ if rules.seeks_newest => {
                let is_serving = vm.as_of.is_some();
                let stronger = vm.source.stronger();
                let search = NewestSearch::new(stronger, now, random, is_serving);
                let search = vm.search.get_or_insert(search).next(now);
                self.seek(number, search);
            }
            _ => self.begin_newest_pages(number),
        }
    }

    fn begin_newest_pages(&mut self, number: usize) {
        self.vms[number].search = None;
        let pages = (self.entries / PAGE_ENTRIES).ceil() as u32;
        self.begin_page(number, pages.saturating_sub(1), self.now);
    }

    fn seek(&mut self, number: usize, next: NextNewest) {
        let now = self.now;
        match next {
            NextNewest::ReadStore => self.begin_newest_pages(number),
            NextNewest::Wait { until } => self.vms[number].job = Job::Pause(until),
            NextNewest::Ask { vm, timeout, .. } => {
                let from = number_of(&vm);
                let bytes = self.entries * NEWEST_ENTRY_BYTES;
                let asked = &mut self.vms[from];
                let known = asked.as_of.filter(|as_of| now <= *as_of + MAX_PASSED_AGE);
                let is_free = asked.paced_until <= now + Duration::from_secs(1);
                let (Some(as_of), true) = (known, is_free) else {
                    let search = self.vms[number].search.as_mut().expect("it searches");
                    return search.on_refused(&vm, true, now);
                };
                let time = Duration::from_secs_f64(bytes / (asked.link * 0.7));
                asked.paced_until = asked.paced_until.max(now) + time;
                let vm = &mut self.vms[number];
                vm.job = Job::Newest { from, as_of };
                vm.remaining_bytes = bytes;
                vm.deadline = now + timeout;
            }
        }
    }

    /// Follows another VM; what it passes on is small beside the list, so its transfer takes no time.
    fn ask(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        let Some(known) = vm.as_of.filter(|_| now >= vm.next_question) else {
            return;
        };
        vm.next_question = now + ms(50);
        let NextFacts::Follow {
            vm: to, is_proven, ..
        } = vm.source.next(now)
        else {
            return;
        };
        let asked = &self.vms[number_of(&to)];
        let passed = asked.as_of.filter(|as_of| now <= *as_of + MAX_PASSED_AGE);
        let Some(as_of) = passed.filter(|_| asked.source.reads_store()) else {
            let vm = &mut self.vms[number];
            vm.source.on_outcome(&to, FollowOutcome::Declined, now);
            if is_proven {
                vm.fresh_until = Duration::ZERO;
            }
            return;
        };
        let link_mbps = asked
            .strength
            .link_mbps
            .filter(|_| self.rules.limits_by_link);
        let limit = max_passed_bytes(link_mbps, self.vms.len() / DATA_CENTRES);
        let news = self.changes_per_s * ENTRY_BYTES * as_of.saturating_sub(known).as_secs_f64();
        let vm = &mut self.vms[number];
        vm.source.on_outcome(&to, FollowOutcome::Passed, now);
        if news > limit as f64 {
            // It reads the store for it.
            vm.fresh_until = Duration::ZERO;
            vm.next_question = now + Duration::from_secs(1);
            if let Job::Pause(_) = vm.job {
                vm.job = Job::Pause(now);
            }
        } else if as_of > known {
            vm.as_of = Some(as_of);
            vm.fresh_until = TIMES.fresh_until(as_of);
            if matches!(vm.job, Job::Tail { .. } | Job::Page { .. }) {
                vm.job = Job::Pause(now);
            }
        }
    }
}

fn new_vm(rules: Rules, number: usize, count: usize, rng: &mut fastrand::Rng) -> ListVm {
    let data_centre = |number: usize| format!("data-centre-{}", number % DATA_CENTRES);
    let known = |number| {
        if rules.by_strength {
            vm_strength(rules, number)
        } else {
            VmStrength::default()
        }
    };
    let own = data_centre(number);
    let mut source = FactSource::new(vm_name(number), own.as_str().into(), known(number));
    for other in (0..count).filter(|other| *other != number) {
        let mut address = peer_address(other, &data_centre(other));
        address.strength = known(other);
        source.on_peer(&vm_name(other), Some(&address));
    }
    let strength = vm_strength(rules, number);
    let cpu = f64::from(strength.cpu_milli.unwrap_or(0));
    let start = WEAK_START.mul_f64(90.0 / cpu) + ms(rng.u64(..500));
    ListVm {
        strength,
        link: f64::from(strength.link_mbps.unwrap_or(0)) * BYTES_PER_S_PER_MBPS,
        source,
        search: None,
        tail_cost: TailCost::new(strength.link_mbps),
        job: Job::Pause(start),
        remaining_bytes: 0.0,
        deadline: Duration::ZERO,
        as_of: None,
        fresh_until: Duration::ZERO,
        next_question: Duration::ZERO,
        read_bytes: 0.0,
        paced_until: Duration::ZERO,
    }
}

struct Measured {
    serve: Option<Duration>,
    oldest: Duration,
    kb_per_s: f64,
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "all serve after {:?}, oldest list {:?}, {:.0} kB/s from the store or by newest records at each VM",
            self.serve, self.oldest, self.kb_per_s
        )
    }
}

/// Share of the endpoints whose entries change each second in the rollout of a release.
const ROLLOUT_SHARE: f64 = 1.0 / 40.0;

/// Share of the endpoints whose entries change each second on a quiet day.
const QUIET_SHARE: f64 = 1.0 / 3_000.0;

fn measure(rules: Rules, count: usize, entries: f64, changed_share: f64) -> Measured {
    let mut fleet = ListFleet::start(rules, count, entries, entries * changed_share);
    let serve = fleet.run_until_all_serve(Duration::from_secs(60));
    fleet.run(Duration::from_secs(10));
    for vm in &mut fleet.vms {
        vm.read_bytes = 0.0;
    }
    fleet.run(Duration::from_secs(30));
    let bytes: f64 = fleet.vms.iter().map(|vm| vm.read_bytes).sum();
    Measured {
        serve,
        oldest: fleet.oldest,
        kb_per_s: bytes / 30.0 / 1_000.0 / count as f64,
    }
}

// Guards against a collapse where no VM is strong, so that readers with narrow links must not wait for tails that never arrive.
#[test]
fn lists_stay_usable_without_strong_vms() {
    let rules = Rules {
        has_strong_vms: false,
        ..NOW
    };
    for (count, entries) in [(100, 1_000.0), (300, 3_000.0)] {
        let now = measure(rules, count, entries, ROLLOUT_SHARE);
        println!("{count} VMs, {entries} entries, no strong VM: {now}");
        let is_in_time = now.serve.is_some_and(|time| time < Duration::from_secs(15));
        assert!(is_in_time, "{count}: {now}");
    }
}

// Guards against lists that become too old, and VMs that do not serve again, because too many VMs read a long list over narrow links.
#[test]
fn long_lists_reach_vms_with_narrow_links_in_time() {
    for (count, entries) in [
        (100, 1_000.0),
        (300, 3_000.0),
        (407, 4_070.0),
        (407, 12_000.0),
    ] {
        for (name, changed_share) in [("quiet", QUIET_SHARE), ("rollout", ROLLOUT_SHARE)] {
            let before = measure(BEFORE, count, entries, changed_share);
            println!("{count} VMs, {entries} entries, {name}, before: {before}");
            let now = measure(NOW, count, entries, changed_share);
            println!("{count} VMs, {entries} entries, {name}, now: {now}");
            if entries < 12_000.0 {
                let is_in_time = now.serve.is_some_and(|time| time < Duration::from_secs(15));
                assert!(
                    is_in_time && now.oldest <= Duration::from_secs(3),
                    "{count}: {now}"
                );
            }
        }
    }
}
