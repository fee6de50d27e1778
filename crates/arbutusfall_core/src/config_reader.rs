//! Reads the configuration stream, folds it and applies the resulting configuration.

mod peers;
mod restores;
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
use crate::config::FoldOutcome;
use crate::config::SiteConfig;
use crate::config::effective_config;
use crate::config::effective_config_reusing_accounts;
use crate::config::inherits_accounts;
use crate::context::Context;
use crate::timers::Timer;

use peers::CatchUp;
use snapshots::Snapshots;

/// Concurrent reads: a long-polling one, and one started because a peer reported a later next offset.
const MAX_READS: u32 = 2;

/// This VM's reader of the configuration stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigReader {
    fold: ConfigFold,
    /// First offset of the next read; ahead of the fold while the reader looks for a snapshot.
    read_from: Offset,
    /// Whether the last read succeeded and reached the end of the stream, so that the next one may wait for new records.
    at_end: bool,
    /// Whether the fold reached the end of the stream at least once, through the log or a peer.
    caught_up: bool,
    /// Whether the log no longer has this fold's next record, nor a snapshot that covers it.
    gap: bool,
    /// Whether the last read failed.
    log_down: bool,
    /// Doublings of the retry delay, at most 4.
    backoff_doublings: u32,
    reads_in_progress: u32,
    in_force: Option<InForce>,
    catch_up: CatchUp,
    snapshots: Snapshots,
    /// Number of the newest era seen.
    era: u64,
    /// Offset of the first record read that was appended since the log's last restore.
    first_after_restore: Option<Offset>,
}

/// The configuration in force and the revisions of its documents.
#[derive(Debug, Clone)]
struct InForce {
    config: Arc<SiteConfig>,
    base_revision: Offset,
    overlay_revision: Option<Offset>,
    /// Whether the overlay does not change the base's accounts.
    inherits_accounts: bool,
    /// Whether the log was restored since, so that its revisions may name other documents now.
    is_from_earlier_era: bool,
    /// Whether an older configuration on the restored log was logged.
    is_older_noted: bool,
}

impl InForce {
    /// Returns whether the documents have these revisions in the log's current era.
    fn has_revisions(&self, base: Offset, overlay: Option<Offset>) -> bool {
        !self.is_from_earlier_era && (self.base_revision, self.overlay_revision) == (base, overlay)
    }
}

impl ConfigReader {
    /// Returns this site's configuration in force, or `None` before the first valid one.
    pub(crate) fn in_force(&self) -> Option<&Arc<SiteConfig>> {
        self.in_force.as_ref().map(|in_force| &in_force.config)
    }

    /// Returns whether the log no longer has this fold's next record, nor a snapshot that covers it.
    pub(crate) fn has_gap(&self) -> bool {
        self.gap
    }

    pub(crate) fn base_revision(&self) -> Option<Offset> {
        self.fold.revision(&Document::Base)
    }

    pub(crate) fn overlay_revision(&self, site: &Name) -> Option<Offset> {
        self.fold.revision(&Document::Overlay(site.clone()))
    }

    /// Reads the next records unless a read is already in progress.
    pub(crate) fn read(&mut self, ctx: &mut Context<'_>) {
        if self.reads_in_progress > 0 {
            return;
        }
        let wait = if self.at_end {
            Duration::from_millis(ctx.site_config.timing.log_wait_ms)
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

    /// Handles an event of the log for the configuration stream.
    pub(crate) fn on_log(&mut self, event: LogEvent, ctx: &mut Context<'_>) {
        match event {
            LogEvent::Read {
                era,
                from,
                oldest,
                end,
                records,
                ..
            } => {
                self.reads_in_progress = self.reads_in_progress.saturating_sub(1);
                if self.catch_up.has_peer_state && !era.is_first() {
                    // The peer may not have noticed the last restore.
                    self.on_log_restored(era, ctx);
                }
                self.note_first_after_restore(era, &records);
                self.on_read(from, oldest, end, &records, ctx);
            }
            LogEvent::ReadFailed { .. } => {
                self.reads_in_progress = self.reads_in_progress.saturating_sub(1);
                self.on_read_failed(ctx);
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
        self.backoff_doublings = 0;
        if self.log_down {
            self.log_down = false;
            ctx.note(Notice::LogUp(LogStream::Config));
        }
        if from > self.read_from {
            // The read began at an offset of an earlier era, or of a peer's state that was discarded since.
            self.read(ctx);
            return;
        }
        if self.is_ahead_of_log(from, end) {
            self.discard_peer_state(ctx);
            return;
        }
        let before = self.fold.next_offset();
        let end_of_records = self.fold_records(records, ctx);
        let progressed = self.fold.next_offset() > before;
        self.read_from = if progressed {
            self.fold.next_offset()
        } else {
            end_of_records.max(oldest).max(self.fold.next_offset())
        };
        self.at_end = self.read_from >= end;
        self.set_gap(self.at_end && self.fold.next_offset() < end, oldest, ctx);
        self.caught_up |= self.fold.next_offset() >= end;
        self.apply_config(ctx);
        self.snapshots.check_coverage(oldest, ctx);
        self.read(ctx);
    }

    /// Folds records and returns the first offset after them.
    fn fold_records(&mut self, records: &[LogRecord], ctx: &mut Context<'_>) -> Offset {
        let mut end_of_records = self.read_from;
        for record in records {
            end_of_records = record.offset.next();
            self.snapshots.note_snapshot(record, ctx);
            if let FoldOutcome::Rejected(_) = self.fold.apply(record.offset, &record.text) {
                ctx.count(Counter::ConfigRejected);
            }
        }
        ctx.members.set_next_config_offset(self.fold.next_offset());
        end_of_records
    }

    /// Returns whether the fold holds a peer's state that the log does not have.
    fn is_ahead_of_log(&self, from: Offset, end: Offset) -> bool {
        self.catch_up.has_peer_state
            && from >= self.fold.next_offset()
            && end < self.fold.next_offset()
    }

    /// Discards a peer's state and rereads the log from its start; the configuration in force stays until the fold has
    /// caught up with the log.
    fn discard_peer_state(&mut self, ctx: &mut Context<'_>) {
        ctx.count(Counter::ConfigDiscarded);
        ctx.note(Notice::ConfigDiscarded {
            next: self.fold.next_offset(),
        });
        self.forget_stream(ctx);
        self.read(ctx);
    }

    /// Forgets what was read, so that the next read starts at the oldest record; the configuration in force stays.
    fn forget_stream(&mut self, ctx: &mut Context<'_>) {
        self.fold = ConfigFold::default();
        self.read_from = Offset::default();
        self.at_end = false;
        self.caught_up = false;
        self.catch_up = CatchUp::default();
        ctx.members.set_next_config_offset(self.fold.next_offset());
    }

    fn set_gap(&mut self, gap: bool, oldest: Offset, ctx: &mut Context<'_>) {
        if gap == self.gap {
            return;
        }
        self.gap = gap;
        if gap {
            ctx.note(Notice::ConfigGap {
                next: self.fold.next_offset(),
                oldest,
            });
        }
    }

    fn apply_config(&mut self, ctx: &mut Context<'_>) {
        let Some(base) = self.base_revision().filter(|_| self.caught_up) else {
            return;
        };
        let overlay = self.overlay_revision(&ctx.identity.site);
        if self.keeps_newer_config(base, overlay, ctx) {
            return;
        }
        let current = self.in_force.as_ref();
        if current.is_some_and(|current| current.has_revisions(base, overlay)) {
            return;
        }
        let Some(new) = self.build_in_force(base, overlay, &ctx.identity.site) else {
            return;
        };
        let unchanged = current.is_some_and(|current| current.config == new.config);
        self.in_force = Some(new);
        if unchanged {
            return;
        }
        ctx.count(Counter::ConfigAccepted);
        ctx.note(Notice::ConfigInForce { base, overlay });
        ctx.push(Effect::ConfigInForce { base, overlay });
    }

    /// Builds this site's configuration; `None` if it is invalid or the base does not name the site.
    fn build_in_force(
        &self,
        base_revision: Offset,
        overlay_revision: Option<Offset>,
        site: &Name,
    ) -> Option<InForce> {
        let base_content = self.fold.content(&Document::Base)?;
        let overlay_content = self.fold.content(&Document::Overlay(site.clone()));
        let inherits_accounts = inherits_accounts(overlay_content);
        let current = self.in_force.as_ref();
        let same_accounts = current.filter(|current| {
            !current.is_from_earlier_era
                && current.base_revision == base_revision
                && current.inherits_accounts
                && inherits_accounts
        });
        let result = match same_accounts {
            Some(current) => effective_config_reusing_accounts(
                &current.config,
                base_content,
                overlay_content,
                site,
            ),
            None => effective_config(base_content, overlay_content, site),
        };
        let config = result.ok().filter(|config| config.sites.contains(site))?;
        Some(InForce {
            config: Arc::new(config),
            base_revision,
            overlay_revision,
            inherits_accounts,
            is_from_earlier_era: false,
            is_older_noted: false,
        })
    }

    fn on_read_failed(&mut self, ctx: &mut Context<'_>) {
        if !self.log_down {
            self.log_down = true;
            ctx.note(Notice::LogDown(LogStream::Config));
        }
        // The next read must not wait for records, so that the log's recovery is noticed soon.
        self.at_end = false;
        let initial_delay = Duration::from_millis(ctx.site_config.timing.platform_retry_ms);
        ctx.set_timer(
            initial_delay * 2u32.pow(self.backoff_doublings),
            Timer::ReadConfig,
        );
        self.backoff_doublings = (self.backoff_doublings + 1).min(4);
    }
}
