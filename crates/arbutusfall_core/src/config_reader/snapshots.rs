//! Snapshots of the folded state on the log, written again before retention removes what they cover.
//!
//! Any VM may write one: the fold is the same everywhere, so doubles are harmless. VMs look at random instants
//! and skip what another wrote lately.

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

/// Time over which VMs spread a snapshot that is needed at once.
const URGENT_SPREAD: Duration = Duration::from_secs(5);

/// Snapshots seen on the stream, and when to look again.
#[derive(Debug, Clone, Default)]
pub(super) struct Snapshots {
    latest: Option<Seen>,
    /// Instant of the next regular look.
    look_at: Duration,
    /// Whether the log lost records that no snapshot of it covers, so that a new VM could not start from it.
    uncovered: bool,
    appends: u64,
}

/// The latest snapshot on the stream.
#[derive(Debug, Clone)]
struct Seen {
    offset: Offset,
    through: Offset,
    /// When it was appended, by this VM's clock.
    appended_at: Duration,
}

impl Snapshots {
    /// Takes note of a record that may be a snapshot.
    pub(super) fn see(&mut self, record: &LogRecord, ctx: &Context<'_>) {
        // Only snapshots begin like this, so publications need not be parsed twice.
        if !record.text.starts_with("{\"snapshot\"") {
            return;
        }
        let Ok(ConfigRecord::Snapshot { through, .. }) = serde_json::from_str(&record.text) else {
            return;
        };
        self.latest = Some(Seen {
            offset: record.offset,
            through,
            appended_at: ctx.now.monotonic.saturating_sub(record.age),
        });
    }

    /// Sees whether a new VM could fold the stream from its oldest record on.
    pub(super) fn check_coverage(&mut self, oldest: Offset, ctx: &mut Context<'_>) {
        let covered = oldest == Offset(0)
            || self
                .latest
                .as_ref()
                .is_some_and(|seen| seen.offset >= oldest && seen.through.next() >= oldest);
        if !covered && !self.uncovered {
            let delay = URGENT_SPREAD.mul_f64(ctx.rng.f64());
            ctx.set_timer(delay, Timer::SnapshotConfig);
        }
        self.uncovered = !covered;
    }

    fn is_needed(&self, interval: Duration, now: Duration) -> bool {
        let recent = |seen: &Seen| now.saturating_sub(seen.appended_at) < interval / 2;
        self.uncovered || !self.latest.as_ref().is_some_and(recent)
    }
}

impl ConfigReader {
    /// Appends the folded state again unless another VM did so lately.
    pub(crate) fn on_snapshot_timer(&mut self, ctx: &mut Context<'_>) {
        let interval = Duration::from_secs(ctx.site.timing.snapshot_interval_s);
        let now = ctx.now.monotonic;
        let first = self.snapshots.look_at == Duration::ZERO;
        if now >= self.snapshots.look_at {
            let delay = interval.mul_f64(0.5 + ctx.rng.f64() / 2.0);
            self.snapshots.look_at = now + delay;
            ctx.set_timer(delay, Timer::SnapshotConfig);
        }
        let knows_present = self.caught_up && !self.gap && !self.down;
        if first || !knows_present || !self.snapshots.is_needed(interval, now) {
            return;
        }
        let Some(text) = self.snapshot_text() else {
            return;
        };
        self.snapshots.appends += 1;
        ctx.count(Counter::ConfigSnapshots);
        ctx.push(Effect::Append {
            stream: LogStream::Config,
            append: self.snapshots.appends,
            records: vec![Name::from(text)],
        });
    }
}
