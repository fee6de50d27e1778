//! Liveness probes between VMs, based on SWIM (Das, Gupta and Motivala, 2002).
//!
//! Each VM probes a few peers per interval. A silent peer is probed through other peers before it is suspected, and
//! it counts as dead only if it does not refute the suspicion in time.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::IndirectProbe;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::MemberUpdate;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Probe;
use arbutusfall_wire::Sender;

use crate::context::Context;
use crate::timers::Timer;

/// Peers that are probed at each interval.
const PROBES_PER_INTERVAL: usize = 2;

/// Peers that are asked to probe a silent one.
const MAX_INDIRECT_PROBERS: usize = 3;

/// Unacknowledged probes and the next targets.
#[derive(Debug, Clone, Default)]
pub(super) struct Probes {
    sequence: u64,
    /// Peers not probed yet in this round; each peer is probed once a round.
    round: Vec<Name>,
    pending: BTreeMap<u64, PendingProbe>,
}

/// An unacknowledged probe.
#[derive(Debug, Clone)]
struct PendingProbe {
    target: Name,
    /// Monotonic time at which the acknowledgement is due.
    due: Duration,
    kind: ProbeKind,
}

/// How, and for whom, a peer is probed.
#[derive(Debug, Clone)]
enum ProbeKind {
    /// Own probe, sent directly to the target.
    Direct,
    /// Own probe, sent through other peers.
    ThroughPeers,
    /// Probe for a peer, acknowledged under the peer's sequence number.
    ForPeer { requester: Name, sequence: u64 },
}

/// Probes the next peers and restarts the timer.
pub(crate) fn on_probe_timer(ctx: &mut Context<'_>) {
    let interval = Duration::from_millis(ctx.site_config.timing.probe_interval_ms);
    ctx.set_timer(interval, Timer::ProbePeers);
    for _ in 0..PROBES_PER_INTERVAL.min(ctx.members.peers().count()) {
        if let Some(target) = next_target(ctx) {
            probe(target, ProbeKind::Direct, ctx);
        }
    }
}

fn next_target(ctx: &mut Context<'_>) -> Option<Name> {
    if ctx.members.probes.round.is_empty() {
        let peers = ctx.members.peers().map(|member| member.listed.vm.clone());
        let mut round: Vec<Name> = peers.collect();
        ctx.rng.shuffle(&mut round);
        ctx.members.probes.round = round;
    }
    let target = ctx.members.probes.round.pop()?;
    ctx.members.members.contains_key(&target).then_some(target)
}

fn probe(target: Name, kind: ProbeKind, ctx: &mut Context<'_>) {
    ctx.members.probes.sequence += 1;
    let sequence = ctx.members.probes.sequence;
    let message = PeerMessage::Probe(build_probe(&target, sequence, ctx));
    ctx.send(&target, message);
    await_ack(sequence, target, kind, 1, ctx);
}

/// Builds a probe or an acknowledgement.
fn build_probe(peer: &Name, sequence: u64, ctx: &mut Context<'_>) -> Probe {
    Probe {
        sequence,
        member_updates: ctx.members.updates_for(peer),
        next_config_offset: ctx.members.next_config_offset,
    }
}

fn await_ack(
    sequence: u64,
    target: Name,
    kind: ProbeKind,
    timeout_factor: u32,
    ctx: &mut Context<'_>,
) {
    let timeout = Duration::from_millis(ctx.site_config.timing.probe_timeout_ms) * timeout_factor;
    let pending = PendingProbe {
        target,
        due: ctx.now.monotonic + timeout,
        kind,
    };
    ctx.members.probes.pending.insert(sequence, pending);
    ctx.set_timer(timeout, Timer::ProbeOverdue { sequence });
}

/// Handles a missing acknowledgement: asks other peers to probe the target, and suspects it if that fails too.
pub(crate) fn on_probe_overdue(sequence: u64, ctx: &mut Context<'_>) {
    let Some(pending) = ctx.members.probes.pending.remove(&sequence) else {
        return;
    };
    if was_stalled(pending.due, ctx) {
        return;
    }
    match pending.kind {
        ProbeKind::ForPeer { .. } => {}
        ProbeKind::ThroughPeers => suspect(&pending.target, ctx),
        ProbeKind::Direct => {
            let indirect_probers = indirect_probers(&pending.target, ctx);
            if indirect_probers.is_empty() {
                suspect(&pending.target, ctx);
                return;
            }
            for prober in indirect_probers {
                let target = pending.target.clone();
                ctx.send(
                    &prober,
                    PeerMessage::IndirectProbe(IndirectProbe { target, sequence }),
                );
            }
            // Two timeouts, because an indirect probe takes two round trips.
            await_ack(sequence, pending.target, ProbeKind::ThroughPeers, 2, ctx);
        }
    }
}

/// Returns whether this process itself was stalled, so that answers may have arrived but not been read.
fn was_stalled(due: Duration, ctx: &Context<'_>) -> bool {
    let tolerance = Duration::from_millis(ctx.site_config.timing.probe_timeout_ms);
    ctx.now.monotonic > due + tolerance
}

fn indirect_probers(target: &Name, ctx: &mut Context<'_>) -> Vec<Name> {
    let alive = ctx.members.peers().filter(|member| {
        member.liveness.state == MemberState::Alive && member.listed.vm != *target
    });
    let mut names: Vec<Name> = alive.map(|member| member.listed.vm.clone()).collect();
    ctx.rng.shuffle(&mut names);
    names.truncate(MAX_INDIRECT_PROBERS);
    names
}

fn suspect(target: &Name, ctx: &mut Context<'_>) {
    let Some(member) = ctx.members.members.get_mut(target) else {
        return;
    };
    match member.liveness.state {
        MemberState::Alive => {
            member.liveness.state = MemberState::Suspect;
            propagate_change(target, ctx);
        }
        MemberState::Leaving if !member.liveness.suspected_while_leaving => {
            member.liveness.suspected_while_leaving = true;
            await_refutation(target, ctx);
        }
        MemberState::Leaving | MemberState::Suspect | MemberState::Dead => {}
    }
}

/// Queues an update about a VM whose liveness changed, and starts the timeout of a suspicion.
fn propagate_change(vm: &Name, ctx: &mut Context<'_>) {
    ctx.members.queue_update(vm);
    let Some(member) = ctx.members.members.get_mut(vm) else {
        return;
    };
    let suspected = member.liveness.state == MemberState::Suspect;
    if let Some(notice) = member.recompute_state() {
        ctx.note(notice);
    }
    if suspected {
        await_refutation(vm, ctx);
    }
}

fn await_refutation(vm: &Name, ctx: &mut Context<'_>) {
    let Some(member) = ctx.members.members.get(vm) else {
        return;
    };
    let incarnation = member.liveness.incarnation;
    let update_version = member.liveness.update_version;
    let timeout = Duration::from_millis(ctx.site_config.timing.suspect_timeout_ms);
    let timer = Timer::SuspicionTimeout {
        vm: vm.clone(),
        incarnation,
        update_version,
        due: ctx.now.monotonic + timeout,
    };
    ctx.set_timer(timeout, timer);
}

/// Declares a VM dead whose suspicion was not refuted in time.
pub(crate) fn on_suspicion_timeout(
    vm: &Name,
    incarnation: Option<Incarnation>,
    update_version: u32,
    due: Duration,
    ctx: &mut Context<'_>,
) {
    let stalled = was_stalled(due, ctx);
    let Some(member) = ctx.members.members.get_mut(vm) else {
        return;
    };
    let liveness = &mut member.liveness;
    let suspected = match liveness.state {
        MemberState::Suspect => true,
        MemberState::Leaving => liveness.suspected_while_leaving,
        MemberState::Alive | MemberState::Dead => false,
    };
    if !suspected
        || (liveness.incarnation, liveness.update_version) != (incarnation, update_version)
    {
        return;
    }
    if stalled {
        await_refutation(vm, ctx);
        return;
    }
    liveness.state = MemberState::Dead;
    propagate_change(vm, ctx);
}

/// Records that a process sent a message.
pub(crate) fn record_contact(from: &Sender, ctx: &mut Context<'_>) {
    if from.vm == ctx.identity.vm {
        return;
    }
    let Some(member) = ctx.members.members.get_mut(&from.vm) else {
        ctx.members.remember_unlisted(&from.vm, from.incarnation);
        return;
    };
    if member.liveness.record_message(from.incarnation) {
        propagate_change(&from.vm, ctx);
    }
}

/// Acknowledges a probe.
pub(crate) fn on_probe(from: &Name, probe: Probe, ctx: &mut Context<'_>) {
    apply_updates(probe.member_updates, ctx);
    let ack = build_probe(from, probe.sequence, ctx);
    ctx.send(from, PeerMessage::ProbeAck(ack));
}

/// Handles an acknowledgement, and forwards it if the probe was sent for a peer.
pub(crate) fn on_ack(from: &Name, ack: Probe, ctx: &mut Context<'_>) {
    apply_updates(ack.member_updates, ctx);
    let Some(pending) = ctx.members.probes.pending.get(&ack.sequence) else {
        return;
    };
    let direct = matches!(pending.kind, ProbeKind::Direct | ProbeKind::ForPeer { .. });
    if direct && pending.target != *from {
        return;
    }
    let kind = pending.kind.clone();
    ctx.members.probes.pending.remove(&ack.sequence);
    if let ProbeKind::ForPeer {
        requester,
        sequence,
    } = kind
    {
        let ack = build_probe(&requester, sequence, ctx);
        ctx.send(&requester, PeerMessage::ProbeAck(ack));
    }
}

/// Probes a VM on a peer's behalf.
pub(crate) fn on_indirect_probe(from: &Name, request: IndirectProbe, ctx: &mut Context<'_>) {
    if ctx.members.members.contains_key(&request.target) {
        let kind = ProbeKind::ForPeer {
            requester: from.clone(),
            sequence: request.sequence,
        };
        probe(request.target, kind, ctx);
    }
}

fn apply_updates(updates: Vec<MemberUpdate>, ctx: &mut Context<'_>) {
    for update in updates {
        if update.vm == ctx.identity.vm {
            if ctx.members.own_liveness.refute_if_wrong(&update) {
                ctx.members.queue_update(&update.vm);
                ctx.members.copy_own_liveness();
            }
            continue;
        }
        let Some(member) = ctx.members.members.get_mut(&update.vm) else {
            if update.state < MemberState::Dead {
                ctx.members
                    .remember_unlisted(&update.vm, update.incarnation);
            }
            continue;
        };
        if member.liveness.apply_update(&update) {
            propagate_change(&update.vm, ctx);
        }
    }
}

/// Announces to the site's peers, without waiting for the next interval, that this VM takes no new work.
pub(crate) fn announce_draining(ctx: &mut Context<'_>) {
    ctx.members.own_liveness.state = MemberState::Leaving;
    let own_vm = ctx.identity.vm.clone();
    ctx.members.queue_update(&own_vm);
    if let Some(notice) = ctx.members.copy_own_liveness() {
        ctx.note(notice);
    }
    let site = &ctx.identity.site;
    let peers = ctx
        .members
        .peers()
        .filter(|member| member.listed.site == *site && member.state < MemberState::Dead);
    let peers: Vec<Name> = peers.map(|member| member.listed.vm.clone()).collect();
    for peer in peers {
        probe(peer, ProbeKind::Direct, ctx);
    }
}
