//! The other VMs, as they are recorded in the store, and which of them can take requests from this VM.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::PeerAddress;

/// Time for which a VM gets no requests of a service after it declined one; doubles with each consecutive time.
const DECLINED_BACKOFF: Duration = Duration::from_millis(500);

/// Upper limit of [`DECLINED_BACKOFF`] when doubled.
const MAX_DECLINED_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which a VM gets no requests after it failed one; doubles with each consecutive time.
const FAILED_BACKOFF: Duration = Duration::from_secs(2);

/// Upper limit of [`FAILED_BACKOFF`] when doubled: the entry may be of a VM that was removed.
const MAX_FAILED_BACKOFF: Duration = Duration::from_secs(60);

/// Why a VM did not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerRefusal {
    /// It can't take requests of the service now.
    Declined,
    /// It does not answer.
    Failed,
}

/// Time without requests after consecutive refusals.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    refusals: u32,
    until: Duration,
}

impl Backoff {
    /// Records a refusal; those during the backoff don't make it longer.
    fn on_refused(&mut self, least: Duration, most: Duration, now: Duration) {
        if now < self.until {
            return;
        }
        let doublings = self.refusals.min(8);
        self.refusals += 1;
        self.until = now + (least * (1 << doublings)).min(most);
    }
}

/// Another VM.
#[derive(Debug, Clone)]
struct Peer {
    listed: PeerAddress,
    /// Requests of this VM in progress there.
    in_flight: u32,
    /// Whether it took the newest request that was sent to it.
    is_proven: bool,
    failed: Backoff,
    /// By service: it may reach one and not another.
    declined: BTreeMap<Name, Backoff>,
}

impl Peer {
    fn new(listed: PeerAddress) -> Self {
        Self {
            listed,
            in_flight: 0,
            is_proven: false,
            failed: Backoff::default(),
            declined: BTreeMap::new(),
        }
    }

    fn is_usable(&self, service: &Name, now: Duration) -> bool {
        let declined = self.declined.get(service).copied().unwrap_or_default();
        now >= self.failed.until && now >= declined.until
    }
}

/// The other VMs by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    by_vm: BTreeMap<Name, Peer>,
}

impl Peers {
    /// Takes over the record of a VM, or its deletion.
    pub(crate) fn on_record(&mut self, vm: &Name, listed: Option<PeerAddress>) {
        let Some(listed) = listed else {
            self.by_vm.remove(vm);
            return;
        };
        let known = self.by_vm.get(vm).map(|peer| &peer.listed);
        if known != Some(&listed) {
            self.by_vm.insert(vm.clone(), Peer::new(listed));
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, &PeerAddress)> {
        self.by_vm.iter().map(|(vm, peer)| (vm, &peer.listed))
    }

    pub(crate) fn get(&self, vm: &Name) -> Option<&PeerAddress> {
        self.by_vm.get(vm).map(|peer| &peer.listed)
    }

    /// Returns the VM to which a request of a service is forwarded: in this VM's data centre if possible, then one that has taken a request, then
    /// the one with the fewest requests in progress.
    pub(crate) fn select(
        &self,
        service: &Name,
        data_centre: &Name,
        failed: &[Name],
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Option<Name> {
        let usable = self
            .by_vm
            .iter()
            .filter(|(vm, peer)| peer.is_usable(service, now) && !failed.contains(vm));
        let ranked = usable.map(|(vm, peer)| {
            let is_far = peer.listed.data_centre != *data_centre;
            ((is_far, !peer.is_proven, peer.in_flight, rng.u32(..)), vm)
        });
        let first = ranked.min_by_key(|(rank, _)| *rank);
        first.map(|(_, vm)| vm.clone())
    }

    pub(crate) fn on_sent(&mut self, vm: &Name) {
        if let Some(peer) = self.by_vm.get_mut(vm) {
            peer.in_flight += 1;
        }
    }

    /// Records the end of a request there, whatever its outcome.
    pub(crate) fn on_ended(&mut self, vm: &Name) {
        if let Some(peer) = self.by_vm.get_mut(vm) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
    }

    /// Records that a VM has taken a request of a service.
    pub(crate) fn on_taken(&mut self, vm: &Name, service: &Name) {
        if let Some(peer) = self.by_vm.get_mut(vm) {
            peer.is_proven = true;
            peer.failed = Backoff::default();
            peer.declined.remove(service);
        }
    }

    /// Records that a VM has not taken a request of a service.
    pub(crate) fn on_refused(
        &mut self,
        vm: &Name,
        service: &Name,
        refusal: PeerRefusal,
        now: Duration,
    ) {
        let Some(peer) = self.by_vm.get_mut(vm) else {
            return;
        };
        peer.is_proven = false;
        match refusal {
            PeerRefusal::Failed => peer
                .failed
                .on_refused(FAILED_BACKOFF, MAX_FAILED_BACKOFF, now),
            PeerRefusal::Declined => {
                let declined = peer.declined.entry(service.clone()).or_default();
                declined.on_refused(DECLINED_BACKOFF, MAX_DECLINED_BACKOFF, now);
            }
        }
    }
}
