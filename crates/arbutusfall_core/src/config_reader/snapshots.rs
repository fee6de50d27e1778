//! Writes snapshots of the folded state to the log, so that it always holds one that covers the records removed by
//! retention.
//!
//! Any VM may write one: the fold is deterministic, so duplicates are harmless. VMs check at random times and skip
//! a snapshot if a recent one exists and a new VM can fold the stream from its oldest record.

use std::time::Duration;

use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;

use crate::Counter;
use crate::Effect;
use crate::LogRecord;
use crate::LogStream;
use crate::config_reader::ConfigReader;
use crate::context::Context;
use crate::timers::Timer;

/// Upper bound of the random delay of an urgent snapshot, so that VMs do not all write one at the same time.
const MAX_URGENT_DELAY: Duration = Duration::from_secs(5);

/// Snapshots seen on the stream, and the time of the next check.
#[derive(Debug, Clone, Default)]
pub(super) struct Snapshots {
    latest: Option<LatestSnapshot>,
    /// Monotonic time of the next regular check; zero before the first.
    next_check_at: Duration,
    /// Whether a newly started VM could not build the configuration from the log alone.
    uncovered: bool,
    last_append_id: u64,
}

/// The latest snapshot on the stream.
#[derive(Debug, Clone)]
struct LatestSnapshot {
    offset: Offset,
    through: Offset,
    /// Time of the append on this VM's monotonic clock.
    appended_at: Duration,
}

impl Snapshots {
    /// Remembers the latest snapshot; does nothing for other records.
    pub(super) fn note_snapshot(&mut self, record: &LogRecord, ctx: &Context<'_>) {
        // Only snapshots begin like this; the check avoids parsing publications twice.
        if !record.text.starts_with("{\"snapshot\"") {
            return;
        }
        let Ok(ConfigRecord::Snapshot { through, .. }) = serde_json::from_str(&record.text) else {
            return;
        };
        self.latest = Some(LatestSnapshot {
            offset: record.offset,
            through,
            appended_at: ctx.now.monotonic.saturating_sub(record.age),
        });
    }

    /// Checks whether a new VM can fold the stream from its oldest record, and schedules a snapshot if not.
    pub(super) fn check_coverage(&mut self, oldest: Offset, ctx: &mut Context<'_>) {
        let covered = oldest == Offset(0)
            || self
                .latest
                .as_ref()
                .is_some_and(|latest| latest.offset >= oldest && latest.through.next() >= oldest);
        if !covered && !self.uncovered {
            let delay = MAX_URGENT_DELAY.mul_f64(ctx.rng.f64());
            ctx.set_timer(delay, Timer::SnapshotConfig);
        }
        self.uncovered = !covered;
    }

    /// Forgets the latest snapshot, which the log may have lost.
    pub(super) fn on_log_restored(&mut self) {
        self.latest = None;
    }

    fn is_needed(&self, interval: Duration, now: Duration) -> bool {
        let recent =
            |latest: &LatestSnapshot| now.saturating_sub(latest.appended_at) < interval / 2;
        self.uncovered || !self.latest.as_ref().is_some_and(recent)
    }
}

impl ConfigReader {
    /// Appends a snapshot if the fold is up to date and the stream is not covered or has no recent snapshot; the first
    /// call only schedules the next check.
    pub(crate) fn on_snapshot_timer(&mut self, ctx: &mut Context<'_>) {
        let interval = Duration::from_secs(ctx.site_config.timing.snapshot_interval_s);
        let now = ctx.now.monotonic;
        let is_first = self.snapshots.next_check_at == Duration::ZERO;
        if now >= self.snapshots.next_check_at {
            let delay = interval.mul_f64(0.5 + ctx.rng.f64() / 2.0);
            self.snapshots.next_check_at = now + delay;
            ctx.set_timer(delay, Timer::SnapshotConfig);
        }
        let up_to_date = self.caught_up && !self.gap && !self.log_down;
        if is_first || !up_to_date || !self.snapshots.is_needed(interval, now) {
            return;
        }
        let Some(text) = self.snapshot_text() else {
            return;
        };
        self.snapshots.last_append_id += 1;
        ctx.count(Counter::ConfigSnapshots);
        ctx.push(Effect::Append {
            stream: LogStream::Config,
            append: self.snapshots.last_append_id,
            era: self.era,
            records: vec![Name::from(text)],
        });
    }
}
