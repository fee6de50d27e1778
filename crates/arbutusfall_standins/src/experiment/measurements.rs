//! Measurements of one run.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::Fleet;

/// Clock ticks per second, the unit of processor times in `/proc/PID/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Result of one run, as written to `results.json`.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RunResult {
    pub(crate) policy: String,
    pub(crate) site: String,
    pub(crate) vms: usize,
    pub(crate) load: f64,
    pub(crate) faults: String,
    pub(crate) seed: u64,
    /// Requests that arrived in the measured part, each counted once regardless of retries.
    pub(crate) offered: u64,
    /// Complete, correct answers that met both latency targets, timed from the last attempt.
    pub(crate) good: u64,
    /// Complete, correct answers that missed a target, and requests unanswered at the end of the run.
    pub(crate) late: u64,
    /// Requests whose last attempt was refused with a time to retry.
    pub(crate) refused: u64,
    /// Requests with no answer, an incomplete or wrong one, or a problem without a time to retry.
    pub(crate) failed: u64,
    /// Refused attempts.
    pub(crate) refusals: u64,
    /// Number of requests that ended with a problem, by its type.
    pub(crate) problems: BTreeMap<String, u64>,
    pub(crate) prefilled_tokens: u64,
    pub(crate) wasted_prefill_tokens: u64,
    /// Time from sending the last attempt to the first token.
    pub(crate) first_token_p95_ms: f64,
    pub(crate) between_tokens_p95_ms: f64,
    /// Bytes that each VM sent to other VMs per second of the measured part.
    pub(crate) control_bytes_per_vm_per_s: f64,
    pub(crate) cpu_seconds_per_vm: f64,
    /// Load average of the machine (mean number of runnable processes) when the last request had arrived.
    pub(crate) load_average: f64,
    /// Increase of each counter during the measured part, summed over all VMs.
    pub(crate) counters: BTreeMap<String, i64>,
}

impl RunResult {
    /// Returns the percentage of good answers among all requests.
    pub(crate) fn goodput_percent(&self) -> f64 {
        self.good as f64 * 100.0 / self.offered.max(1) as f64
    }

    /// Returns the label of the run's series in a plot: its parameters without load and seed.
    pub(crate) fn series(&self) -> String {
        let faults = match self.faults.as_str() {
            "none" => String::new(),
            faults => format!(", {faults}"),
        };
        let Self {
            site, policy, vms, ..
        } = self;
        format!("{site} {policy}, {vms} VMs{faults}")
    }

    /// Returns whether two runs have the same parameters apart from the policy.
    pub(crate) fn is_comparable(&self, other: &Self) -> bool {
        let key = |run: &Self| {
            let site = (run.site.clone(), run.vms, run.faults.clone());
            (site, run.seed, run.load.to_bits())
        };
        key(self) == key(other)
    }

    /// Returns the percentage of wasted tokens among all prefilled ones.
    pub(crate) fn wasted_percent(&self) -> f64 {
        self.wasted_prefill_tokens as f64 * 100.0 / self.prefilled_tokens.max(1) as f64
    }
}

/// Token counts summed over engines.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillTotals {
    pub(crate) prefilled_tokens: u64,
    pub(crate) wasted_tokens: u64,
}

impl PrefillTotals {
    /// Adds the counts that an engine reports. With `before_kill`, set when the engine is killed next, the tokens
    /// of the requests that it holds count as wasted too.
    pub(crate) fn add(&mut self, fleet: &Fleet, engine: &str, before_kill: bool) {
        let Some(process) = fleet.endpoints.get(engine) else {
            return;
        };
        let stats = fleet.get(process.address, "/stats").unwrap_or_default();
        let value = |name: &str| stats[name].as_u64().unwrap_or_default();
        self.prefilled_tokens += value("prefilled_tokens");
        self.wasted_tokens += value("wasted_tokens");
        if before_kill {
            self.wasted_tokens += value("unused_tokens");
        }
    }

    /// Adds the counts that all engines report now.
    pub(crate) fn plus_all_engines(mut self, fleet: &Fleet) -> Self {
        let engines = fleet.endpoints.keys();
        for engine in engines.filter(|name| !name.starts_with("plain")) {
            self.add(fleet, engine, false);
        }
        self
    }
}

/// Counters and processor time summed over all VMs.
#[derive(Debug, Clone, Default)]
pub(crate) struct VmTotals {
    pub(crate) counters: BTreeMap<String, i64>,
    pub(crate) cpu_s: f64,
}

impl VmTotals {
    pub(crate) fn read(fleet: &Fleet) -> Self {
        let mut totals = Self::default();
        for vm in &fleet.vms {
            let status = fleet.get(vm.settings.operator_address, "/status");
            let status = status.unwrap_or_default();
            for (name, count) in status["counters"].as_object().into_iter().flatten() {
                let total = totals.counters.entry(name.clone()).or_default();
                *total += count.as_i64().unwrap_or_default();
            }
            totals.cpu_s += cpu_s(vm.process.id());
        }
        totals
    }

    /// Returns the increase since an earlier reading.
    pub(crate) fn since(&self, before: &Self) -> Self {
        let earlier = |name: &str| before.counters.get(name).copied().unwrap_or_default();
        let counters = self.counters.iter();
        let counters = counters.map(|(name, count)| (name.clone(), count - earlier(name)));
        Self {
            counters: counters.collect(),
            cpu_s: self.cpu_s - before.cpu_s,
        }
    }
}

/// Returns the processor time of a process in seconds, read from `/proc/PID/stat`.
fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command's name, in parentheses, may contain spaces; the fields after it do not.
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |index: usize| -> f64 {
        let field = fields.get(index).and_then(|field| field.parse().ok());
        field.unwrap_or_default()
    };
    // User and system time are fields 14 and 15 of `proc_pid_stat(5)`; index 0 here is field 3.
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S
}

/// Returns the machine's load average over the last minute: the mean number of runnable processes.
pub(crate) fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next().and_then(|field| field.parse().ok());
    first.unwrap_or_default()
}
