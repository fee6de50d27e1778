//! The configuration after the log was restored from an older copy: the stream is read again from its start, and an older
//! configuration than the one in force is not adopted.

use std::time::Duration;

use arbutusfall_wire::Offset;

use crate::LogEra;
use crate::LogRecord;
use crate::Notice;
use crate::config_reader::ConfigReader;
use crate::config_reader::MAX_READS;
use crate::context::Context;

impl ConfigReader {
    /// Reads the stream again from its start.
    pub(crate) fn on_log_restored(&mut self, era: LogEra, ctx: &mut Context<'_>) {
        if let Some(in_force) = &mut self.in_force {
            in_force.is_from_earlier_era = true;
            in_force.is_older_noted = false;
        }
        self.era = era.number;
        self.first_after_restore = None;
        self.snapshots.on_log_restored();
        if self.read_from == Offset::default() {
            return;
        }
        self.forget_stream(ctx);
        // The long-polling read may still wait at an offset of the earlier era.
        if self.reads_in_progress < MAX_READS {
            self.send_read(Duration::ZERO, ctx);
        }
    }

    /// Remembers the first of the records that was appended since the log's last restore.
    pub(super) fn note_first_after_restore(&mut self, era: LogEra, records: &[LogRecord]) {
        let mut records = records.iter();
        let first = records.find(|record| era.is_after_restore(record));
        let offsets = self.first_after_restore.into_iter();
        self.first_after_restore = offsets.chain(first.map(|record| record.offset)).min();
    }

    /// Returns whether the configuration in force stays because a document of the restored log is older, and logs it
    /// once.
    pub(super) fn keeps_newer_config(
        &mut self,
        base: Offset,
        overlay: Option<Offset>,
        ctx: &mut Context<'_>,
    ) -> bool {
        let first_after_restore = self.first_after_restore;
        let in_force = self.in_force.as_mut();
        let Some(in_force) = in_force.filter(|in_force| in_force.is_from_earlier_era) else {
            return false;
        };
        let is_older = |revision: Offset, revision_in_force: Offset| {
            let is_from_copy = first_after_restore.is_none_or(|first| revision < first);
            is_from_copy && revision < revision_in_force
        };
        let is_overlay_older = in_force.overlay_revision.is_some_and(|in_force| {
            // An overlay can't be withdrawn, so a missing one was lost.
            overlay.is_none_or(|overlay| is_older(overlay, in_force))
        });
        if !is_older(base, in_force.base_revision) && !is_overlay_older {
            return false;
        }
        if !in_force.is_older_noted {
            in_force.is_older_noted = true;
            ctx.note(Notice::ConfigOlder { base, overlay });
        }
        true
    }
}
