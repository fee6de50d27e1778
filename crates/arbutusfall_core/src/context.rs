//! State and effect buffers that all components of the reducer share while they handle an event.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Name;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Sender;
use serde::Deserialize;
use serde::Serialize;

use crate::Counter;
use crate::Effect;
use crate::Notice;
use crate::config::SiteConfig;
use crate::membership::Membership;
use crate::timers::Timer;
use crate::timers::Timers;

/// Time of an event, read from the clock by the reducer's driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// Time since an arbitrary instant; never decreases.
    pub monotonic: Duration,
    /// Time since the Unix epoch by the VM's clock; may jump.
    pub unix: Duration,
}

/// Identity of this process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the VM, as in the platform's list.
    pub vm: Name,
    /// Incarnation of this process, which differs from that of earlier processes on the VM.
    pub incarnation: Incarnation,
    /// Data centre in which the VM runs.
    pub data_centre: Name,
    /// Name of the site that the VM serves.
    pub site: Name,
}

impl Identity {
    /// Returns the sender that this process's peer messages carry.
    pub fn sender(&self) -> Sender {
        Sender {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Context of one event: state that the components share, and buffers for their effects.
pub(crate) struct Context<'a> {
    pub(crate) now: Now,
    pub(crate) identity: &'a Identity,
    /// Configuration in force for the VM's site, or the default configuration.
    pub(crate) site_config: &'a Arc<SiteConfig>,
    pub(crate) members: &'a mut Membership,
    pub(crate) timers: &'a mut Timers,
    pub(crate) rng: &'a mut fastrand::Rng,
    pub(crate) effects: &'a mut Vec<Effect>,
    pub(crate) loopback: &'a mut VecDeque<PeerMessage>,
}

impl Context<'_> {
    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn count(&mut self, counter: Counter) {
        self.effects.push(Effect::Count(counter));
    }

    pub(crate) fn note(&mut self, notice: Notice) {
        self.effects.push(Effect::Note(notice));
    }

    /// Sends a message to a VM. A message to this VM itself is handled within the same event.
    pub(crate) fn send(&mut self, to: &Name, message: PeerMessage) {
        if *to == self.identity.vm {
            self.loopback.push_back(message);
            return;
        }
        self.effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    pub(crate) fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.set(self.now.monotonic + after, timer);
    }
}
