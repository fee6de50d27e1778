//! Reads the configuration stream and brings what it folds to into force.

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
use crate::context::Context;
use crate::timers::Timer;

/// The configuration stream as this VM reads it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigReader {
    fold: ConfigFold,
    /// First offset of the next read; ahead of the fold while a snapshot is searched.
    read_from: Offset,
    /// Whether the end of the stream was reached without a gap.
    caught_up: bool,
    in_force: Option<Arc<SiteConfig>>,
    /// Whether the log failed to answer lately.
    down: bool,
    retries: u32,
}

impl ConfigReader {
    /// This site's configuration, once the stream was read to its end.
    pub(crate) fn in_force(&self) -> Option<&Arc<SiteConfig>> {
        self.in_force.as_ref()
    }

    pub(crate) fn base_revision(&self) -> Option<Offset> {
        self.fold.revision(&Document::Base)
    }

    pub(crate) fn overlay_revision(&self, site: &Name) -> Option<Offset> {
        self.fold.revision(&Document::Overlay(site.clone()))
    }

    /// Asks for the records that were not read yet.
    pub(crate) fn read(&mut self, ctx: &mut Context<'_>) {
        let wait = if self.caught_up {
            Duration::from_millis(ctx.site.timing.log_wait_ms)
        } else {
            Duration::ZERO
        };
        let stream = LogStream::Config;
        ctx.push(Effect::ReadLog {
            stream,
            from: self.read_from,
            wait,
        });
    }

    /// Handles the log's answer for the configuration stream.
    pub(crate) fn on_log(&mut self, event: LogEvent, ctx: &mut Context<'_>) {
        match event {
            LogEvent::Read {
                oldest,
                end,
                records,
                ..
            } => {
                self.on_read(oldest, end, &records, ctx);
            }
            LogEvent::ReadFailed { .. } => self.on_failed(ctx),
            LogEvent::Appended { .. } | LogEvent::AppendFailed { .. } => {}
        }
    }

    fn on_read(
        &mut self,
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
        let before = self.fold.next();
        let mut changed = false;
        let mut seen = self.read_from;
        for record in records {
            seen = record.offset.next();
            match self.fold.apply(record.offset, &record.text) {
                FoldStep::Accepted(_) | FoldStep::Restored => changed = true,
                FoldStep::Rejected(_) => ctx.count(Counter::ConfigRejected),
                FoldStep::Unchanged => {}
            }
        }
        let progressed = self.fold.next() > before;
        ctx.members.set_config_next(self.fold.next());
        self.read_from = if progressed {
            self.fold.next()
        } else {
            seen.max(oldest)
        };
        let at_end = self.fold.next() >= end;
        if self.read_from >= end && !at_end && self.caught_up {
            ctx.note(Notice::ConfigGap {
                next: self.fold.next(),
                oldest,
            });
        }
        if changed || (at_end && !self.caught_up) {
            self.caught_up |= at_end;
            self.bring_into_force(ctx);
        }
        self.read(ctx);
    }

    fn bring_into_force(&mut self, ctx: &mut Context<'_>) {
        if !self.caught_up {
            return;
        }
        let site = &ctx.identity.site;
        let Some(base) = self.fold.content(&Document::Base) else {
            return;
        };
        let overlay = self.fold.content(&Document::Overlay(site.clone()));
        let Ok(config) = effective_site(base, overlay, site) else {
            return;
        };
        if !config.sites.contains(site) {
            return;
        }
        let in_force = Arc::new(config);
        if self.in_force.as_ref() == Some(&in_force) {
            return;
        }
        if self.in_force.is_none() {
            ctx.push(Effect::SetReady(true));
        }
        self.in_force = Some(in_force);
        let base = self.base_revision().unwrap_or_default();
        let overlay = self.overlay_revision(site);
        ctx.count(Counter::ConfigAccepted);
        ctx.note(Notice::ConfigInForce { base, overlay });
        ctx.push(Effect::ConfigInForce { base, overlay });
    }

    /// Appends the folded state again at an interval, before retention removes its records.
    pub(crate) fn on_snapshot_timer(&mut self, ctx: &mut Context<'_>) {
        let interval = Duration::from_secs(ctx.site.timing.snapshot_interval_s);
        ctx.set_timer(interval, Timer::SnapshotConfig);
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
