//! Faults that a run goes through.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::Fleet;
use crate::experiment::measures::PrefillTotals;

/// Interval of faults that come again and again.
const FAULT_INTERVAL: Duration = Duration::from_secs(4);

/// Time after which a killed engine is started again.
const RESTART_AFTER: Duration = Duration::from_secs(2);

/// Transfers that stall at once.
const STALLED_TRANSFERS: u32 = 3;

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Faults {
    None,
    /// Engines of both pools are killed in turn and started again.
    Deaths,
    /// Transfers from one prefill engine after the other stall for ever.
    Stalls,
    /// The log is down for the middle third of the run.
    LogOutage,
    /// An engine of each pool leaves for the middle third of the run.
    Leaving,
}

impl Faults {
    /// Names on the command line.
    pub(crate) const NAMES: [(&'static str, Self); 5] = [
        ("none", Self::None),
        ("deaths", Self::Deaths),
        ("stalls", Self::Stalls),
        ("log-outage", Self::LogOutage),
        ("leaving", Self::Leaving),
    ];
}

/// Faults of one run, brought about as time passes.
#[derive(Debug)]
pub(crate) struct FaultScript {
    faults: Faults,
    seconds: f64,
    next_at: Duration,
    /// Engines that were hit so far.
    hits: usize,
    killed: Option<(String, Duration)>,
    /// Whether what holds for the middle third is in force.
    middle: bool,
    /// What killed engines had told.
    pub(crate) lost: PrefillTotals,
}

impl FaultScript {
    pub(crate) fn new(faults: Faults, seconds: f64) -> Self {
        Self {
            faults,
            seconds,
            next_at: FAULT_INTERVAL,
            hits: 0,
            killed: None,
            middle: false,
            lost: PrefillTotals::default(),
        }
    }

    /// Brings about what is due at a time since the measured part began.
    pub(crate) fn advance(&mut self, fleet: &mut Fleet, now: Duration) {
        match self.faults {
            Faults::None => {}
            Faults::Deaths => self.kill_engines(fleet, now),
            Faults::Stalls => self.stall_transfers(fleet, now),
            Faults::LogOutage | Faults::Leaving => self.switch_middle(fleet, now),
        }
    }

    fn kill_engines(&mut self, fleet: &mut Fleet, now: Duration) {
        if let Some((engine, killed_at)) = &self.killed
            && now >= *killed_at + RESTART_AFTER
        {
            // An engine that does not start again stays dead, as in life.
            let _ = fleet.restart_endpoint(engine);
            self.killed = None;
        }
        if now < self.next_at || now.as_secs_f64() >= self.seconds {
            return;
        }
        self.next_at += FAULT_INTERVAL;
        let role = ["decode", "prefill"][self.hits % 2];
        let engine = format!("{role}-{}", 1 + self.hits / 2 % 4);
        self.hits += 1;
        self.lost.add(fleet, &engine, true);
        if let Some(process) = fleet.endpoints.get_mut(&engine) {
            process.kill();
        }
        self.killed = Some((engine, now));
    }

    fn stall_transfers(&mut self, fleet: &Fleet, now: Duration) {
        if now < self.next_at {
            return;
        }
        self.next_at += FAULT_INTERVAL;
        let engine = format!("prefill-{}", 1 + self.hits % 4);
        self.hits += 1;
        if let Some(process) = fleet.endpoints.get(&engine) {
            let stalls = json!({ "stall_transfers": STALLED_TRANSFERS });
            // An engine that does not answer has faults enough.
            let _ = fleet.set_faults(process, &stalls);
        }
    }

    fn switch_middle(&mut self, fleet: &Fleet, now: Duration) {
        let part = now.as_secs_f64() / self.seconds;
        let middle = (1.0 / 3.0..2.0 / 3.0).contains(&part);
        if middle == self.middle {
            return;
        }
        self.middle = middle;
        if self.faults == Faults::LogOutage {
            // The stand-in always answers this.
            let _ = fleet.set_faults(&fleet.log, &json!({ "down": middle }));
            return;
        }
        let addresses = fleet.endpoints.iter();
        let addresses = addresses.map(|(name, process)| (name.clone(), process.address));
        let mut overlay: Value = fleet.site.overlay(&addresses.collect());
        for engine in ["prefill-1", "decode-1"] {
            overlay["endpoints"][engine]["leaving"] = json!(middle);
        }
        // A publication that fails shows in the result: the engine does not leave.
        let _ = fleet.publish(&["overlay", fleet.site.name], &overlay);
    }
}
