//! One run: starts a site, sends the requests of a workload and counts their outcomes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::future;
use hdrhistogram::Histogram;

use crate::Caller;
use crate::Completion;
use crate::Fleet;
use crate::FleetError;
use crate::SiteSpec;
use crate::demo::meets_targets;
use crate::expected_text;
use crate::experiment::faults::FaultInjector;
use crate::experiment::faults::Faults;
use crate::experiment::measurements::PrefillTotals;
use crate::experiment::measurements::RunResult;
use crate::experiment::measurements::VmTotals;
use crate::experiment::measurements::load_average;
use crate::experiment::workload::PlannedRequest;
use crate::experiment::workload::Workload;

/// Part of a run before the measured part, in which caches and slots fill.
const WARM_UP: Duration = Duration::from_secs(8);

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Longest time before a retry that a caller accepts.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Time to wait for unfinished requests after the last request was sent.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which all prefill results that were not fetched have expired and count as wasted.
const RESULT_EXPIRY_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which faults are injected and progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Parameters of a run.
#[derive(Debug, Clone)]
pub(crate) struct RunPlan {
    pub(crate) policy: String,
    pub(crate) site: SiteSpec,
    pub(crate) vms: usize,
    /// Rate of requests as a fraction of the site's full load.
    pub(crate) load: f64,
    pub(crate) faults: (&'static str, Faults),
    /// Length of the measured part.
    pub(crate) measured_s: f64,
    pub(crate) seed: u64,
}

/// Outcomes of the requests that are sent in the measured part.
#[derive(Debug)]
struct Tally {
    offered: u64,
    good: u64,
    late: u64,
    refused: u64,
    failed: u64,
    refusals: u64,
    unfinished: u64,
    problems: BTreeMap<String, u64>,
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
}

/// Sends the requests of one run and counts their outcomes.
struct LoadGenerator {
    caller: Caller,
    addresses: Vec<SocketAddr>,
    model: &'static str,
    workload: Workload,
    tally: Mutex<Tally>,
}

/// Runs a plan once.
pub(crate) fn run(plan: &RunPlan) -> Result<RunResult, Report<FleetError>> {
    let program = std::env::current_exe().change_context(FleetError::Setup)?;
    let mut fleet = Fleet::start_stand_ins(&program, &plan.site)?;
    fleet.publish_site(&plan.policy)?;
    fleet.start_vms(plan.vms)?;
    let run_s = plan.measured_s + WARM_UP.as_secs_f64();
    let generator = Arc::new(LoadGenerator {
        caller: Caller {
            executor: fleet.executor.clone(),
            key: plan.site.key.to_owned(),
        },
        addresses: fleet.vms.iter().map(|vm| vm.caller_address).collect(),
        model: plan.site.model,
        workload: Workload::new(&plan.site, plan.load, run_s, plan.seed),
        tally: Mutex::new(Tally::new()?),
    });
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let executor = fleet.executor.clone();
    let background =
        std::thread::spawn(move || future::block_on(executor.run(stopped.recv())).is_ok());
    let measured = measure(&mut fleet, plan, &generator);
    drop(stop);
    // The thread only drives the executor; its result is not needed.
    let _ = background.join();
    measured
}

fn measure(
    fleet: &mut Fleet,
    plan: &RunPlan,
    generator: &Arc<LoadGenerator>,
) -> Result<RunResult, Report<FleetError>> {
    let started = Instant::now();
    let executor = fleet.executor.clone();
    let sender_task = executor.spawn(generator.clone().start_requests(started));
    future::block_on(Timer::after(WARM_UP));
    let tokens_before = PrefillTotals::default().plus_all_engines(fleet);
    let totals_before = VmTotals::read(fleet);
    let mut injector = FaultInjector::new(plan.faults.1, plan.measured_s);
    let measured_from = Instant::now();
    while !sender_task.is_finished() {
        injector.inject_due(fleet, measured_from.elapsed());
        future::block_on(Timer::after(POLL_INTERVAL));
    }
    let mut deadline = Instant::now() + LAST_ANSWERS_TIMEOUT;
    let vm_totals = VmTotals::read(fleet).since(&totals_before);
    let elapsed_s = measured_from.elapsed().as_secs_f64();
    let machine_load = load_average();
    while generator.unfinished() > 0 && Instant::now() < deadline {
        injector.inject_due(fleet, measured_from.elapsed());
        future::block_on(Timer::after(POLL_INTERVAL));
    }
    deadline = Instant::now() + RESULT_EXPIRY_DELAY;
    while Instant::now() < deadline {
        future::block_on(Timer::after(POLL_INTERVAL));
    }
    let tokens = injector.killed_totals.plus_all_engines(fleet);
    let tally = generator.lock_tally();
    let p95_ms = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.95) as f64 / 1_000.0;
    let bytes = vm_totals.counters.get("peers.bytes_sent").copied();
    Ok(RunResult {
        policy: plan.policy.clone(),
        site: plan.site.name.to_owned(),
        vms: plan.vms,
        load: plan.load,
        faults: plan.faults.0.to_owned(),
        seed: plan.seed,
        offered: tally.offered,
        good: tally.good,
        late: tally.late + tally.unfinished,
        refused: tally.refused,
        failed: tally.failed,
        refusals: tally.refusals,
        problems: tally.problems.clone(),
        prefilled_tokens: tokens.prefilled_tokens - tokens_before.prefilled_tokens,
        wasted_prefill_tokens: tokens.wasted_tokens - tokens_before.wasted_tokens,
        first_token_p95_ms: p95_ms(&tally.first_token_us),
        between_tokens_p95_ms: p95_ms(&tally.between_tokens_us),
        control_bytes_per_vm_per_s: bytes.unwrap_or(0) as f64 / plan.vms as f64 / elapsed_s,
        cpu_seconds_per_vm: vm_totals.cpu_s / plan.vms as f64,
        load_average: machine_load,
        counters: vm_totals.counters,
    })
}

impl LoadGenerator {
    fn lock_tally(&self) -> std::sync::MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unfinished(&self) -> u64 {
        self.lock_tally().unfinished
    }

    /// Starts each request at its arrival time.
    async fn start_requests(self: Arc<Self>, started: Instant) {
        for (number, request) in self.workload.requests.iter().enumerate() {
            Timer::at(started + request.arrives_at).await;
            let is_measured = request.arrives_at >= WARM_UP;
            if is_measured {
                let mut tally = self.lock_tally();
                tally.offered += 1;
                tally.unfinished += 1;
            }
            let generator = self.clone();
            let request = request.clone();
            let task = async move { generator.run_request(number, &request, is_measured).await };
            self.caller.executor.spawn(task).detach();
        }
    }

    /// Sends one request, and retries it at the next VM after each refusal that allows a retry.
    async fn run_request(&self, number: usize, request: &PlannedRequest, is_measured: bool) {
        let prompt = self.workload.prompt(request);
        let mut attempts = 0;
        loop {
            let vm = self.addresses[(number + attempts as usize) % self.addresses.len()];
            attempts += 1;
            let max_tokens = request.max_tokens;
            let attempt = self
                .caller
                .complete(vm, self.model, &prompt, max_tokens, None);
            let completion = attempt.await.ok();
            let retry_after = completion.as_ref().and_then(retry_delay);
            if let Some(after) = retry_after {
                self.lock_tally().refusals += u64::from(is_measured);
                if attempts < MAX_ATTEMPTS && after <= MAX_RETRY_AFTER {
                    Timer::after(after).await;
                    continue;
                }
            }
            if is_measured {
                let expected = expected_text(&prompt, max_tokens);
                self.lock_tally()
                    .count(completion.as_ref(), retry_after, &expected);
            }
            return;
        }
    }
}

/// Returns the time after which to retry a refused request, if the answer gives one.
fn retry_delay(answer: &Completion) -> Option<Duration> {
    if answer.status == 200 {
        return None;
    }
    let exact_ms = answer.problem.as_ref()?["retry_after_ms"].as_u64();
    exact_ms.map(Duration::from_millis).or(answer.retry_after)
}

impl Tally {
    fn new() -> Result<Self, Report<FleetError>> {
        let histogram = || Histogram::new(3).change_context(FleetError::Setup);
        Ok(Self {
            offered: 0,
            good: 0,
            late: 0,
            refused: 0,
            failed: 0,
            refusals: 0,
            unfinished: 0,
            problems: BTreeMap::new(),
            first_token_us: histogram()?,
            between_tokens_us: histogram()?,
        })
    }

    /// Counts the outcome of one request; `expected` is the text of a complete answer.
    fn count(
        &mut self,
        answer: Option<&Completion>,
        retry_after: Option<Duration>,
        expected: &str,
    ) {
        self.unfinished -= 1;
        let problem = answer.and_then(|answer| answer.problem.as_ref());
        if let Some(problem) = problem {
            let kind = problem["type"].as_str().unwrap_or_default();
            *self.problems.entry(kind.to_owned()).or_default() += 1;
        }
        if retry_after.is_some() {
            self.refused += 1;
            return;
        }
        let Some(answer) = answer.filter(|answer| answer.text == expected) else {
            self.failed += 1;
            return;
        };
        if meets_targets(answer) {
            self.good += 1;
        } else {
            self.late += 1;
        }
        let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        // Recording cannot fail: both histograms resize automatically.
        if let Some(first) = answer.token_times.first() {
            let _ = self.first_token_us.record(us(*first));
        }
        for pair in answer.token_times.windows(2) {
            let _ = self.between_tokens_us.record(us(pair[1] - pair[0]));
        }
    }
}
