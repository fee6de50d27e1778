//! Catch-up from a peer while the log cannot provide the configuration.
//!
//! The log takes precedence: a peer is asked only while the log does not answer or has lost records, and only the
//! answer of the peer that was asked is accepted. Peers are authenticated by TLS. Once the log answers again, its end
//! must reach the peer's state, otherwise that state is discarded.

use std::time::Duration;

use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PullConfig;
use arbutusfall_wire::PushConfig;

use crate::Counter;
use crate::config::FoldOutcome;
use crate::config_reader::ConfigReader;
use crate::config_reader::MAX_READS;
use crate::context::Context;

/// Time for which a peer may delay its answer before another one is asked.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the catch-up from peers.
#[derive(Debug, Clone, Default)]
pub(super) struct CatchUp {
    /// Peer that was asked last, and the monotonic time at which its answer is due.
    pending_pull: Option<(Name, Duration)>,
    /// Whether the fold was replaced with a peer's state that has not been discarded since.
    pub(super) has_peer_state: bool,
}

impl ConfigReader {
    /// Handles a peer's next offset: if it is ahead of this VM, reads the log, or asks the peer for its state if the
    /// log cannot provide it.
    pub(crate) fn on_peer_next_offset(&mut self, peer: &Name, next: Offset, ctx: &mut Context<'_>) {
        if next <= self.fold.next_offset() {
            return;
        }
        if self.log_down || self.gap {
            self.pull(peer, ctx);
        } else if self.caught_up && self.reads_in_progress < MAX_READS {
            // The long-polling read should have returned; its connection may be dead.
            self.send_read(Duration::ZERO, ctx);
        }
    }

    fn pull(&mut self, peer: &Name, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        let pending_pull = self.catch_up.pending_pull.as_ref();
        if pending_pull.is_some_and(|(_, deadline)| *deadline > now) {
            return;
        }
        self.catch_up.pending_pull = Some((peer.clone(), now + PULL_TIMEOUT));
        let next = Some(self.fold.next_offset());
        ctx.count(Counter::ConfigPulled);
        ctx.send(peer, PeerMessage::PullConfig(PullConfig { next }));
    }

    /// Sends the folded state to a peer that is behind it.
    pub(crate) fn on_pull(&mut self, peer: &Name, request: &PullConfig, ctx: &mut Context<'_>) {
        let peer_is_behind = request
            .next
            .is_none_or(|next| next < self.fold.next_offset());
        if !peer_is_behind || !self.caught_up {
            return;
        }
        let Some(text) = self.snapshot_text() else {
            return;
        };
        let push = PushConfig {
            snapshot_json: text,
        };
        ctx.send(peer, PeerMessage::PushConfig(push));
    }

    /// Returns the folded state as the text of a record.
    pub(super) fn snapshot_text(&self) -> Option<String> {
        serde_json::to_string(&self.fold.snapshot()?).ok()
    }

    /// Restores a peer's state if it was requested and is newer than this VM's.
    pub(crate) fn on_push(&mut self, peer: &Name, pushed: &PushConfig, ctx: &mut Context<'_>) {
        let pending_pull = self.catch_up.pending_pull.take();
        if pending_pull.is_none_or(|(pulled, _)| pulled != *peer) || !(self.log_down || self.gap) {
            ctx.count(Counter::StaleMessages);
            return;
        }
        let Ok(ConfigRecord::Snapshot {
            through,
            documents,
            decided,
        }) = serde_json::from_str(&pushed.snapshot_json)
        else {
            ctx.count(Counter::StaleMessages);
            return;
        };
        if self.fold.restore(through, documents, decided) != FoldOutcome::Restored {
            return;
        }
        self.catch_up.has_peer_state = true;
        self.caught_up = true;
        self.at_end = false;
        self.read_from = self.fold.next_offset();
        ctx.members.set_next_config_offset(self.fold.next_offset());
        self.set_gap(false, self.fold.next_offset(), ctx);
        self.apply_config(ctx);
    }
}
