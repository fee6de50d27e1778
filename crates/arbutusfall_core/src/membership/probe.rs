//! Liveness probes between VMs in the manner of SWIM (Das, Gupta and Motivala, 2002): a few peers at a time,
//! an indirect probe through others before a suspicion, and a suspicion that can be refuted before a death.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberNews;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Probe;
use arbutusfall_wire::ProbeFor;
use arbutusfall_wire::Sender;

use crate::context::Context;
use crate::timers::Timer;

/// Peers that are probed at each interval.
const TARGETS: usize = 2;

/// Peers that are asked to probe a silent one.
const HELPERS: usize = 3;

/// Probes that were not acknowledged yet, and whom to probe next.
#[derive(Debug, Clone, Default)]
pub(super) struct Probes {
    sequence: u64,
    /// Peers of this round that were not probed yet, so that each is probed once a round.
    round: Vec<Name>,
    pending: BTreeMap<u64, Pending>,
}

/// A probe that was not acknowledged yet.
#[derive(Debug, Clone)]
struct Pending {
    target: Name,
    due: Duration,
    purpose: Purpose,
}

/// On whose behalf a peer is probed.
#[derive(Debug, Clone)]
enum Purpose {
    /// This VM's own, straight to the target.
    Direct,
    /// This VM's own, through others.
    Indirect,
    /// A peer's, under its sequence number.
    Relayed { asker: Name, sequence: u64 },
}

/// Probes a few peers at an interval.
pub(crate) fn on_probe_timer(ctx: &mut Context<'_>) {
    let interval = Duration::from_millis(ctx.site.timing.probe_interval_ms);
    ctx.set_timer(interval, Timer::ProbePeers);
    for _ in 0..TARGETS.min(ctx.members.peers().count()) {
        if let Some(target) = next_target(ctx) {
            probe(target, Purpose::Direct, ctx);
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

fn probe(target: Name, purpose: Purpose, ctx: &mut Context<'_>) {
    ctx.members.probes.sequence += 1;
    let sequence = ctx.members.probes.sequence;
    let message = PeerMessage::Probe(own_probe(&target, sequence, ctx));
    ctx.send(&target, message);
    await_ack(sequence, target, purpose, 1, ctx);
}

/// A probe or an acknowledgement from this VM.
fn own_probe(peer: &Name, sequence: u64, ctx: &mut Context<'_>) -> Probe {
    Probe {
        sequence,
        news: ctx.members.news_for(peer),
        config_next: ctx.members.config_next,
    }
}

fn await_ack(sequence: u64, target: Name, purpose: Purpose, timeouts: u32, ctx: &mut Context<'_>) {
    let timeout = Duration::from_millis(ctx.site.timing.probe_timeout_ms) * timeouts;
    let pending = Pending {
        target,
        due: ctx.now.monotonic + timeout,
        purpose,
    };
    ctx.members.probes.pending.insert(sequence, pending);
    ctx.set_timer(timeout, Timer::ProbeOverdue { sequence });
}

/// A probe was not acknowledged in time: first others are asked, then the target is suspected.
pub(crate) fn on_probe_overdue(sequence: u64, ctx: &mut Context<'_>) {
    let Some(pending) = ctx.members.probes.pending.remove(&sequence) else {
        return;
    };
    if is_late(pending.due, ctx) {
        return;
    }
    match pending.purpose {
        Purpose::Relayed { .. } => {}
        Purpose::Indirect => suspect(&pending.target, ctx),
        Purpose::Direct => {
            let helpers = helpers(&pending.target, ctx);
            if helpers.is_empty() {
                suspect(&pending.target, ctx);
                return;
            }
            for helper in helpers {
                let target = pending.target.clone();
                ctx.send(
                    &helper,
                    PeerMessage::ProbeFor(ProbeFor { target, sequence }),
                );
            }
            await_ack(sequence, pending.target, Purpose::Indirect, 2, ctx);
        }
    }
}

/// Whether this process itself was held up, so that answers may wait unread.
fn is_late(due: Duration, ctx: &Context<'_>) -> bool {
    let tolerance = Duration::from_millis(ctx.site.timing.probe_timeout_ms);
    ctx.now.monotonic > due + tolerance
}

fn helpers(target: &Name, ctx: &mut Context<'_>) -> Vec<Name> {
    let alive = ctx
        .members
        .peers()
        .filter(|member| member.life.state == MemberState::Alive && member.listed.vm != *target);
    let mut names: Vec<Name> = alive.map(|member| member.listed.vm.clone()).collect();
    ctx.rng.shuffle(&mut names);
    names.truncate(HELPERS);
    names
}

fn suspect(target: &Name, ctx: &mut Context<'_>) {
    let Some(member) = ctx.members.members.get_mut(target) else {
        return;
    };
    match member.life.state {
        MemberState::Alive => {
            member.life.state = MemberState::Suspect;
            changed(target, ctx);
        }
        MemberState::Leaving if !member.life.silent => {
            member.life.silent = true;
            await_refutation(target, ctx);
        }
        MemberState::Leaving | MemberState::Suspect | MemberState::Dead => {}
    }
}

/// Passes on that a VM's life changed.
fn changed(vm: &Name, ctx: &mut Context<'_>) {
    ctx.members.spread(vm);
    let Some(member) = ctx.members.members.get_mut(vm) else {
        return;
    };
    let suspected = member.life.state == MemberState::Suspect;
    if let Some(notice) = member.refresh() {
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
    let incarnation = member.life.incarnation;
    let refutation = member.life.refutation;
    let timeout = Duration::from_millis(ctx.site.timing.suspect_timeout_ms);
    let timer = Timer::SuspectOverdue {
        vm: vm.clone(),
        incarnation,
        refutation,
        due: ctx.now.monotonic + timeout,
    };
    ctx.set_timer(timeout, timer);
}

/// A suspicion was not refuted in time.
pub(crate) fn on_suspect_overdue(
    vm: &Name,
    incarnation: Option<Incarnation>,
    refutation: u32,
    due: Duration,
    ctx: &mut Context<'_>,
) {
    let late = is_late(due, ctx);
    let Some(member) = ctx.members.members.get_mut(vm) else {
        return;
    };
    let life = &mut member.life;
    let suspected = match life.state {
        MemberState::Suspect => true,
        MemberState::Leaving => life.silent,
        MemberState::Alive | MemberState::Dead => false,
    };
    if !suspected || (life.incarnation, life.refutation) != (incarnation, refutation) {
        return;
    }
    if late {
        await_refutation(vm, ctx);
        return;
    }
    life.state = MemberState::Dead;
    changed(vm, ctx);
}

/// Takes note that a process sent a message.
pub(crate) fn on_heard(from: &Sender, ctx: &mut Context<'_>) {
    if from.vm == ctx.identity.vm {
        return;
    }
    let Some(member) = ctx.members.members.get_mut(&from.vm) else {
        ctx.members.remember_unlisted(&from.vm, from.incarnation);
        return;
    };
    if member.life.hear(from.incarnation) {
        changed(&from.vm, ctx);
    }
}

/// Acknowledges a probe.
pub(crate) fn on_probe(from: &Name, probe: Probe, ctx: &mut Context<'_>) {
    learn(probe.news, ctx);
    let ack = own_probe(from, probe.sequence, ctx);
    ctx.send(from, PeerMessage::ProbeAck(ack));
}

/// Takes note of an acknowledgement, and passes it on if the probe was a peer's.
pub(crate) fn on_ack(from: &Name, ack: Probe, ctx: &mut Context<'_>) {
    learn(ack.news, ctx);
    let Some(pending) = ctx.members.probes.pending.get(&ack.sequence) else {
        return;
    };
    let direct = matches!(pending.purpose, Purpose::Direct | Purpose::Relayed { .. });
    if direct && pending.target != *from {
        return;
    }
    let purpose = pending.purpose.clone();
    ctx.members.probes.pending.remove(&ack.sequence);
    if let Purpose::Relayed { asker, sequence } = purpose {
        let ack = own_probe(&asker, sequence, ctx);
        ctx.send(&asker, PeerMessage::ProbeAck(ack));
    }
}

/// Probes a VM on a peer's behalf.
pub(crate) fn on_probe_for(from: &Name, asked: ProbeFor, ctx: &mut Context<'_>) {
    if ctx.members.members.contains_key(&asked.target) {
        let purpose = Purpose::Relayed {
            asker: from.clone(),
            sequence: asked.sequence,
        };
        probe(asked.target, purpose, ctx);
    }
}

fn learn(news: Vec<MemberNews>, ctx: &mut Context<'_>) {
    for piece in news {
        if piece.vm == ctx.identity.vm {
            if ctx.members.own.refute(&piece) {
                ctx.members.spread(&piece.vm);
                ctx.members.refresh_own();
            }
            continue;
        }
        let Some(member) = ctx.members.members.get_mut(&piece.vm) else {
            if piece.state < MemberState::Dead {
                ctx.members.remember_unlisted(&piece.vm, piece.incarnation);
            }
            continue;
        };
        if member.life.learn(&piece) {
            changed(&piece.vm, ctx);
        }
    }
}

/// Tells peers of the site at once that this VM takes no new work.
pub(crate) fn announce_leaving(ctx: &mut Context<'_>) {
    ctx.members.own.state = MemberState::Leaving;
    let own = ctx.identity.vm.clone();
    ctx.members.spread(&own);
    if let Some(notice) = ctx.members.refresh_own() {
        ctx.note(notice);
    }
    let site = &ctx.identity.site;
    let peers = ctx
        .members
        .peers()
        .filter(|member| member.listed.site == *site && member.state < MemberState::Dead);
    let peers: Vec<Name> = peers.map(|member| member.listed.vm.clone()).collect();
    for peer in peers {
        probe(peer, Purpose::Direct, ctx);
    }
}
