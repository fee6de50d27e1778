//! Catching up from a peer while the log does not tell what is in force.
//!
//! The log goes first: a peer is asked only while the log does not answer or has lost records, and only a peer
//! that was asked is listened to. Peers are authenticated by TLS. Once the log answers, its end must reach what
//! the peer brought in.

use std::time::Duration;

use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PullConfig;
use arbutusfall_wire::PushConfig;

use crate::Counter;
use crate::config::FoldStep;
use crate::config_reader::ConfigReader;
use crate::config_reader::MAX_READS;
use crate::context::Context;

/// Time that an asked peer has to answer before another is asked.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// What was asked of peers.
#[derive(Debug, Clone, Default)]
pub(super) struct CatchUp {
    /// Peer that was asked last, and until when its answer is waited for.
    asked: Option<(Name, Duration)>,
    /// Whether the fold holds a peer's state that the log did not reach yet.
    pub(super) unconfirmed: bool,
}

impl ConfigReader {
    /// A peer told its position in the stream: what it has more must be read or asked for.
    pub(crate) fn on_peer_position(&mut self, peer: &Name, next: Offset, ctx: &mut Context<'_>) {
        if next <= self.fold.next() {
            return;
        }
        if self.down || self.gap {
            self.pull(peer, ctx);
        } else if self.caught_up && self.reads_in_progress < MAX_READS {
            // The read that waits should have returned; its connection may be silent.
            self.send_read(Duration::ZERO, ctx);
        }
    }

    fn pull(&mut self, peer: &Name, ctx: &mut Context<'_>) {
        let now = ctx.now.monotonic;
        let asked = self.catch_up.asked.as_ref();
        if asked.is_some_and(|(_, until)| *until > now) {
            return;
        }
        self.catch_up.asked = Some((peer.clone(), now + PULL_TIMEOUT));
        let next = Some(self.fold.next());
        ctx.count(Counter::ConfigPulled);
        ctx.send(peer, PeerMessage::PullConfig(PullConfig { next }));
    }

    /// Tells a peer what is folded here, if it is more than the peer has.
    pub(crate) fn on_pull(&mut self, peer: &Name, asked: &PullConfig, ctx: &mut Context<'_>) {
        let further = asked.next.is_none_or(|next| next < self.fold.next());
        if !further || !self.caught_up {
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

    /// The folded state as the text of a record.
    pub(super) fn snapshot_text(&self) -> Option<String> {
        serde_json::to_string(&self.fold.snapshot()?).ok()
    }

    /// Takes over a peer's state if it was asked for and is further than this VM's.
    pub(crate) fn on_push(&mut self, peer: &Name, pushed: &PushConfig, ctx: &mut Context<'_>) {
        let asked = self.catch_up.asked.take();
        if asked.is_none_or(|(asked, _)| asked != *peer) || !(self.down || self.gap) {
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
        if self.fold.restore(through, documents, decided) != FoldStep::Restored {
            return;
        }
        self.catch_up.unconfirmed = true;
        self.caught_up = true;
        self.at_end = false;
        self.read_from = self.fold.next();
        ctx.members.set_config_next(self.fold.next());
        self.set_gap(false, self.fold.next(), ctx);
        self.bring_into_force(ctx);
    }
}
