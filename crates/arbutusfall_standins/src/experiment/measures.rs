//! What one run measured.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::Fleet;

/// Processor time is counted in hundredths of a second.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// One run, as in `results.json`.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RunResult {
    pub(crate) policy: String,
    pub(crate) site: String,
    pub(crate) vms: usize,
    pub(crate) load: f64,
    pub(crate) faults: String,
    pub(crate) seed: u64,
    /// Requests, however often they were tried.
    pub(crate) offered: u64,
    /// Whole, right answers that met both latency targets.
    pub(crate) good: u64,
    /// Whole, right answers that missed a target, and answers that had not come when the run ended.
    pub(crate) late: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    /// Refusals of single tries.
    pub(crate) refusals: u64,
    /// Last problems of requests that were not answered whole, by type.
    pub(crate) problems: BTreeMap<String, u64>,
    pub(crate) prefilled_tokens: u64,
    pub(crate) wasted_prefill_tokens: u64,
    pub(crate) first_token_p95_ms: f64,
    pub(crate) between_tokens_p95_ms: f64,
    pub(crate) control_bytes_per_vm_per_s: f64,
    pub(crate) cpu_seconds_per_vm: f64,
    /// Mean number of runnable processes while the run went on, as the machine reports it.
    pub(crate) load_average: f64,
    /// Sums of some counters of all VMs.
    pub(crate) counters: BTreeMap<String, i64>,
}

impl RunResult {
    /// Good answers in a hundred requests.
    pub(crate) fn goodput_percent(&self) -> f64 {
        self.good as f64 * 100.0 / self.offered.max(1) as f64
    }

    /// What was run, without load and seed.
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

    /// Whether two runs differ in their policy only.
    pub(crate) fn is_comparable(&self, other: &Self) -> bool {
        let key = |run: &Self| {
            let site = (run.site.clone(), run.vms, run.faults.clone());
            (site, run.seed, run.load.to_bits())
        };
        key(self) == key(other)
    }

    /// Wasted tokens in a hundred prefilled ones.
    pub(crate) fn wasted_percent(&self) -> f64 {
        self.wasted_prefill_tokens as f64 * 100.0 / self.prefilled_tokens.max(1) as f64
    }
}

/// Tokens of all engines, also of those that were killed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillTotals {
    pub(crate) prefilled_tokens: u64,
    pub(crate) wasted_tokens: u64,
}

impl PrefillTotals {
    /// Adds what an engine tells; `lost` when it is about to be killed with all that it holds.
    pub(crate) fn add(&mut self, fleet: &Fleet, engine: &str, lost: bool) {
        let Some(process) = fleet.endpoints.get(engine) else {
            return;
        };
        let stats = fleet.get(process.address, "/stats").unwrap_or_default();
        let value = |name: &str| stats[name].as_u64().unwrap_or_default();
        self.prefilled_tokens += value("prefilled_tokens");
        self.wasted_tokens += value("wasted_tokens");
        if lost {
            self.wasted_tokens += value("unused_tokens");
        }
    }

    /// Adds what all engines tell.
    pub(crate) fn with_all(mut self, fleet: &Fleet) -> Self {
        let engines = fleet.endpoints.keys();
        for engine in engines.filter(|name| !name.starts_with("plain")) {
            self.add(fleet, engine, false);
        }
        self
    }
}

/// Counters and processor time of the VMs.
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

    /// What was added since an earlier reading.
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

/// Processor time of a process, from `/proc/PID/stat`.
fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command's name may hold spaces; the fields after it do not.
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |index: usize| -> f64 {
        let field = fields.get(index).and_then(|field| field.parse().ok());
        field.unwrap_or_default()
    };
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S
}

/// The machine's load average over the last minute.
pub(crate) fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next().and_then(|field| field.parse().ok());
    first.unwrap_or_default()
}
