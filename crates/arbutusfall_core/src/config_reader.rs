//! Reads the configuration stream and brings what it folds to into force.

mod peers;
mod snapshots;

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;

use crate::Counter;
use crate::Effect;
use crate::LogEvent;
use crate::LogRecord;
use crate::LogStream;
use crate::Notice;
use crate::config::ConfigFold;
use crate::config::FoldStep;
use crate::config::SiteConfig;
use crate::config::effective_site;
use crate::config::effective_site_like;
use crate::config::leaves_accounts;
use crate::context::Context;
use crate::timers::Timer;

use peers::CatchUp;
use snapshots::Snapshots;

/// Reads that may be in progress at once: the one that waits, and one that was asked for by a peer's news.
const MAX_READS: u32 = 2;

/// The configuration stream as this VM reads it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigReader {
    fold: ConfigFold,
    /// First offset of the next read; ahead of the fold while a snapshot is searched.
    read_from: Offset,
    /// Whether all that was read is folded, so that the log may wait for something new.
    at_end: bool,
    /// Whether the present was reached once, by the log or by a peer.
    caught_up: bool,
    /// Whether the log lost records that no snapshot covers.
    gap: bool,
    /// Whether the log failed to answer lately.
    down: bool,
    retries: u32,
    reads_in_progress: u32,
    in_force: Option<InForce>,
    catch_up: CatchUp,
    snapshots: Snapshots,
}

/// The configuration in force and the revisions that it was made from.
#[derive(Debug, Clone)]
struct InForce {
    site: Arc<SiteConfig>,
    base: Offset,
    overlay: Option<Offset>,
    /// Whether the overlay leaves the base's accounts alone.
    base_accounts: bool,
}

impl ConfigReader {
    /// This site's configuration, once the stream was read to its end.
    pub(crate) fn in_force(&self) -> Option<&Arc<SiteConfig>> {
        self.in_force.as_ref().map(|in_force| &in_force.site)
    }

    /// Whether later publications may be missing for good.
    pub(crate) fn has_gap(&self) -> bool {
        self.gap
    }

    pub(crate) fn base_revision(&self) -> Option<Offset> {
        self.fold.revision(&Document::Base)
    }

    pub(crate) fn overlay_revision(&self, site: &Name) -> Option<Offset> {
        self.fold.revision(&Document::Overlay(site.clone()))
    }

    /// Asks for the records that were not read yet, unless the log was asked already.
    pub(crate) fn read(&mut self, ctx: &mut Context<'_>) {
        if self.reads_in_progress > 0 {
            return;
        }
        let wait = if self.at_end {
            Duration::from_millis(ctx.site.timing.log_wait_ms)
        } else {
            Duration::ZERO
        };
        self.send_read(wait, ctx);
    }

    fn send_read(&mut self, wait: Duration, ctx: &mut Context<'_>) {
        self.reads_in_progress += 1;
        ctx.push(Effect::ReadLog {
            stream: LogStream::Config,
            from: self.read_from,
            wait,
        });
    }

    /// Handles the log's answer for the configuration stream.
    pub(crate) fn on_log(&mut self, event: LogEvent, ctx: &mut Context<'_>) {
        match event {
            LogEvent::Read {
                from,
                oldest,
                end,
                records,
                ..
            } => {
                self.reads_in_progress = self.reads_in_progress.saturating_sub(1);
                self.on_read(from, oldest, end, &records, ctx);
            }
            LogEvent::ReadFailed { .. } => {
                self.reads_in_progress = self.reads_in_progress.saturating_sub(1);
                self.on_failed(ctx);
            }
            LogEvent::Appended { .. } | LogEvent::AppendFailed { .. } => {}
        }
    }

    fn on_read(
        &mut self,
        from: Offset,
        oldest: Offset,
        end: Offset,
        records: &[LogRecord],
        ctx: &mut Context<'_>,
    ) {
        self.retries = 0;
        if self.down {
            self.down = false;
            ctx.note(Notice::LogUp(LogStream::Config));
        }
        if self.is_ahead_of_log(from, end) {
            self.start_over(ctx);
            return;
        }
        let before = self.fold.next();
        let seen = self.fold_records(records, ctx);
        let progressed = self.fold.next() > before;
        self.read_from = if progressed {
            self.fold.next()
        } else {
            seen.max(oldest).max(self.fold.next())
        };
        self.at_end = self.read_from >= end;
        self.set_gap(self.at_end && self.fold.next() < end, oldest, ctx);
        self.caught_up |= self.fold.next() >= end;
        self.bring_into_force(ctx);
        self.snapshots.check_coverage(oldest, ctx);
        self.read(ctx);
    }

    /// Folds records and returns the first offset that was not among them.
    fn fold_records(&mut self, records: &[LogRecord], ctx: &mut Context<'_>) -> Offset {
        let mut seen = self.read_from;
        for record in records {
            seen = record.offset.next();
            self.snapshots.see(record, ctx);
            if let FoldStep::Rejected(_) = self.fold.apply(record.offset, &record.text) {
                ctx.count(Counter::ConfigRejected);
            }
        }
        ctx.members.set_config_next(self.fold.next());
        seen
    }

    /// Whether a peer brought in a state that the log does not have.
    fn is_ahead_of_log(&self, from: Offset, end: Offset) -> bool {
        self.catch_up.unconfirmed && from >= self.fold.next() && end < self.fold.next()
    }

    /// Forgets what a peer brought in; the configuration in force stays until the log was read.
    fn start_over(&mut self, ctx: &mut Context<'_>) {
        ctx.count(Counter::ConfigDiscarded);
        ctx.note(Notice::ConfigDiscarded {
            next: self.fold.next(),
        });
        self.fold = ConfigFold::default();
        self.read_from = Offset::default();
        self.at_end = false;
        self.caught_up = false;
        self.catch_up = CatchUp::default();
        ctx.members.set_config_next(self.fold.next());
        self.read(ctx);
    }

    fn set_gap(&mut self, gap: bool, oldest: Offset, ctx: &mut Context<'_>) {
        if gap == self.gap {
            return;
        }
        self.gap = gap;
        if gap {
            ctx.note(Notice::ConfigGap {
                next: self.fold.next(),
                oldest,
            });
        }
        if self.in_force.is_some() {
            ctx.push(Effect::SetReady(!gap));
        }
    }

    fn bring_into_force(&mut self, ctx: &mut Context<'_>) {
        let Some(base) = self.base_revision().filter(|_| self.caught_up) else {
            return;
        };
        let overlay = self.overlay_revision(&ctx.identity.site);
        let known = self.in_force.as_ref();
        if known.is_some_and(|known| (known.base, known.overlay) == (base, overlay)) {
            return;
        }
        let Some(next) = self.make_in_force(base, overlay, &ctx.identity.site) else {
            return;
        };
        let is_first = self.in_force.is_none();
        let unchanged = known.is_some_and(|known| known.site == next.site);
        self.in_force = Some(next);
        if unchanged {
            return;
        }
        ctx.count(Counter::ConfigAccepted);
        ctx.note(Notice::ConfigInForce { base, overlay });
        ctx.push(Effect::ConfigInForce { base, overlay });
        if is_first && !self.gap {
            // Last, so that who is told ready finds the configuration in force.
            ctx.push(Effect::SetReady(true));
        }
    }

    /// Makes this site's configuration; none if the base does not name the site.
    fn make_in_force(&self, base: Offset, overlay: Option<Offset>, site: &Name) -> Option<InForce> {
        let base_content = self.fold.content(&Document::Base)?;
        let overlay_content = self.fold.content(&Document::Overlay(site.clone()));
        let base_accounts = leaves_accounts(overlay_content);
        let known = self.in_force.as_ref();
        let same_accounts =
            known.filter(|known| known.base == base && known.base_accounts && base_accounts);
        let made = match same_accounts {
            Some(known) => effective_site_like(&known.site, base_content, overlay_content, site),
            None => effective_site(base_content, overlay_content, site),
        };
        let config = made.ok().filter(|config| config.sites.contains(site))?;
        Some(InForce {
            site: Arc::new(config),
            base,
            overlay,
            base_accounts,
        })
    }

    fn on_failed(&mut self, ctx: &mut Context<'_>) {
        if !self.down {
            self.down = true;
            ctx.note(Notice::LogDown(LogStream::Config));
        }
        let first = Duration::from_millis(ctx.site.timing.platform_retry_ms);
        ctx.set_timer(first * 2u32.pow(self.retries), Timer::ReadConfig);
        self.retries = (self.retries + 1).min(4);
    }
}
