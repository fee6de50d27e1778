//! Faults injected during a run.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::Fleet;
use crate::experiment::measurements::PrefillTotals;

/// Interval between repeated faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);

/// Delay before a killed engine is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Number of transfers stalled by each fault.
const STALLED_TRANSFERS: u32 = 3;

/// Kind of fault injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Faults {
    None,
    /// The first four engines of each pool are killed in turn and restarted.
    Deaths,
    /// Transfers from the first four prefill engines stall, one engine after another.
    Stalls,
    /// The log service is down for the middle third of the measured part.
    LogOutage,
    /// One engine of each pool is marked as leaving for the middle third of the measured part.
    Leaving,
}

impl Faults {
    /// Faults by their names on the command line, beginning with no fault.
    pub(crate) const NAMED: [(&'static str, Self); 5] = [
        ("none", Self::None),
        ("deaths", Self::Deaths),
        ("stalls", Self::Stalls),
        ("log-outage", Self::LogOutage),
        ("leaving", Self::Leaving),
    ];
}

/// Injects the faults of one run.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    faults: Faults,
    /// Length of the measured part of the run.
    measured_s: f64,
    /// Time of the next repeated fault since the start of the measured part.
    next_at: Duration,
    /// Number of repeated faults injected so far; selects the next engine.
    injected_faults: usize,
    /// Engine to restart, with the time at which it was killed.
    killed: Option<(String, Duration)>,
    /// Whether the fault of the middle third is in effect.
    in_middle_third: bool,
    /// Token counts of killed engines, read just before each was killed.
    pub(crate) killed_totals: PrefillTotals,
}

impl FaultInjector {
    pub(crate) fn new(faults: Faults, measured_s: f64) -> Self {
        Self {
            faults,
            measured_s,
            next_at: FAULT_INTERVAL,
            injected_faults: 0,
            killed: None,
            in_middle_third: false,
            killed_totals: PrefillTotals::default(),
        }
    }

    /// Injects the faults that are due; `elapsed` is the time since the start of the measured part.
    pub(crate) fn inject_due(&mut self, fleet: &mut Fleet, elapsed: Duration) {
        match self.faults {
            Faults::None => {}
            Faults::Deaths => self.kill_engines(fleet, elapsed),
            Faults::Stalls => self.stall_transfers(fleet, elapsed),
            Faults::LogOutage | Faults::Leaving => self.switch_middle_third(fleet, elapsed),
        }
    }

    fn kill_engines(&mut self, fleet: &mut Fleet, elapsed: Duration) {
        if let Some((engine, killed_at)) = &self.killed
            && elapsed >= *killed_at + RESTART_DELAY
        {
            // An engine that cannot be restarted stays down, as on a real site.
            let _ = fleet.restart_engine(engine);
            self.killed = None;
        }
        if elapsed < self.next_at || elapsed.as_secs_f64() >= self.measured_s {
            return;
        }
        self.next_at += FAULT_INTERVAL;
        let role = ["decode", "prefill"][self.injected_faults % 2];
        let engine = format!("{role}-{}", 1 + self.injected_faults / 2 % 4);
        self.injected_faults += 1;
        self.killed_totals.add(fleet, &engine, true);
        if let Some(process) = fleet.endpoints.get_mut(&engine) {
            process.kill();
        }
        self.killed = Some((engine, elapsed));
    }

    fn stall_transfers(&mut self, fleet: &Fleet, elapsed: Duration) {
        if elapsed < self.next_at {
            return;
        }
        self.next_at += FAULT_INTERVAL;
        let engine = format!("prefill-{}", 1 + self.injected_faults % 4);
        self.injected_faults += 1;
        if let Some(process) = fleet.endpoints.get(&engine) {
            let stalls = json!({ "stall_transfers": STALLED_TRANSFERS });
            // An engine that does not answer is faulty already.
            let _ = fleet.set_faults(process, &stalls);
        }
    }

    fn switch_middle_third(&mut self, fleet: &Fleet, elapsed: Duration) {
        let elapsed_share = elapsed.as_secs_f64() / self.measured_s;
        let in_middle_third = (1.0 / 3.0..2.0 / 3.0).contains(&elapsed_share);
        if in_middle_third == self.in_middle_third {
            return;
        }
        self.in_middle_third = in_middle_third;
        if self.faults == Faults::LogOutage {
            // The stand-in accepts faults even while it is down.
            let _ = fleet.set_faults(&fleet.log, &json!({ "down": in_middle_third }));
            return;
        }
        let addresses = fleet.endpoints.iter();
        let addresses = addresses.map(|(name, process)| (name.clone(), process.address));
        let mut overlay: Value = fleet.site.overlay(&addresses.collect());
        for engine in ["prefill-1", "decode-1"] {
            overlay["endpoints"][engine]["leaving"] = json!(in_middle_third);
        }
        // A failed publication shows in the results: the engine does not leave.
        let _ = fleet.publish(&["overlay", fleet.site.name], &overlay);
    }
}
