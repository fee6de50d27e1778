//! Records that VMs share through the platform's store: each VM reads all of them, and any VM may write or delete one.

use std::net::SocketAddr;

use arbutusfall_wire::Name;

use crate::config::Role;
use crate::relay::CrashCause;
use crate::relay::RequestHashKey;
use crate::relay::VmStrength;

/// Id of one crash of an endpoint: the same at all VMs that had requests there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashId(pub Name);

/// What one VM knows of a cause and a crash: a request with the cause was in progress when the endpoint ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEvidence {
    /// The endpoint.
    pub instance: Name,
    /// Other causes that all such requests of the VM had.
    pub with: Vec<CrashCause>,
    /// Whether it was recorded long after the crash: the endpoint may be back when other VMs read it.
    pub is_late: bool,
}

/// Block on a cause: requests with it crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CauseBlock {
    /// Causes that a request must have besides: what is known does not distinguish them from the cause.
    pub with: Vec<CrashCause>,
    /// Endpoints that ended under the cause.
    pub instances: Vec<Name>,
}

/// Id of one run of an endpoint's process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointRun(pub Name);

impl EndpointRun {
    /// Creates the id from a hash of the endpoint's instance and start.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self(format!("{incarnation:016x}").into())
    }
}

/// Limit that an endpoint named in an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedLimit {
    /// The endpoint.
    pub instance: Name,
    /// Requests a second that it takes from all VMs together.
    pub per_s: f64,
}

/// Where a VM takes requests of other VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Where it listens for them.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// What it can do for other VMs.
    pub strength: VmStrength,
}

/// Holder of a share of a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareHolder {
    /// Name of the VM, new in each run of its process.
    pub vm: Name,
    /// Number of the record among those of this VM for the share.
    pub renewal: u64,
}

/// A record, or its deletion.
#[derive(Debug, Clone, PartialEq)]
pub enum SharedRecord {
    /// Evidence that a cause crashes endpoints.
    Crash {
        /// The cause.
        cause: CrashCause,
        /// The crash.
        crash: CrashId,
        /// The evidence; `None` if the cause is cleared of it.
        evidence: Option<CrashEvidence>,
    },
    /// The block on a cause.
    Block {
        /// The cause.
        cause: CrashCause,
        /// The block; `None` if the cause is unblocked.
        block: Option<CauseBlock>,
    },
    /// The limit of an endpoint.
    Limit {
        /// The run of the endpoint's process.
        run: EndpointRun,
        /// The limit; `None` if it is lifted.
        limit: Option<NamedLimit>,
    },
    /// The key for hashes of requests.
    HashKey(Option<RequestHashKey>),
    /// A VM that takes requests of other VMs.
    Peer {
        /// Name of the VM.
        vm: Name,
        /// Where it does, if it still does.
        peer: Option<PeerAddress>,
    },
    /// A software version of a service that has endpoints, or had some of late.
    Version {
        /// The service.
        service: Name,
        /// The version.
        version: Name,
        /// Whether that still holds.
        is_recent: bool,
    },
    /// The newest role changes of a service's engines.
    RoleChanges {
        /// The service.
        service: Name,
        /// Engines that have accepted an order, with their new role.
        changes: Vec<(Name, Role)>,
    },
    /// A share of the limit of an endpoint.
    Share {
        /// The run of the endpoint's process.
        run: EndpointRun,
        /// Number of the share.
        number: usize,
        /// The VM that holds it, if any.
        holder: Option<ShareHolder>,
    },
    /// The newest era in which all that writes to the store has had time to write again what a return of the store lost.
    RestoredEra(u64),
}

/// Key of a record: a newer record replaces an older one with the same key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum SharedKey {
    /// Key of [`SharedRecord::Crash`].
    Crash(CrashCause, CrashId),
    /// Key of [`SharedRecord::Block`].
    Block(CrashCause),
    /// Key of [`SharedRecord::HashKey`].
    HashKey,
    /// Key of [`SharedRecord::Limit`].
    Limit(EndpointRun),
    /// Key of [`SharedRecord::Peer`].
    Peer(Name),
    /// Key of [`SharedRecord::Version`]: service and version.
    Version(Name, Name),
    /// Key of [`SharedRecord::RoleChanges`].
    RoleChanges(Name),
    /// Key of [`SharedRecord::Share`].
    Share(EndpointRun, usize),
    /// Key of [`SharedRecord::RestoredEra`]; the last of all, so that no append has it without records that wait as well.
    RestoredEra,
}

impl SharedRecord {
    /// Returns the record as it is when it is appended long after what it tells of.
    pub(crate) fn recorded_late(mut self) -> Self {
        if let Self::Crash {
            evidence: Some(evidence),
            ..
        } = &mut self
        {
            evidence.is_late = true;
        }
        self
    }

    /// Returns whether the record deletes its key.
    pub fn is_deletion(&self) -> bool {
        match self {
            Self::Crash { evidence, .. } => evidence.is_none(),
            Self::Block { block, .. } => block.is_none(),
            Self::HashKey(key) => key.is_none(),
            Self::Limit { limit, .. } => limit.is_none(),
            Self::Peer { peer, .. } => peer.is_none(),
            Self::Version { is_recent, .. } => !is_recent,
            Self::RoleChanges { changes, .. } => changes.is_empty(),
            Self::Share { holder, .. } => holder.is_none(),
            Self::RestoredEra(_) => false,
        }
    }

    /// Returns the record's key.
    pub fn key(&self) -> SharedKey {
        match self {
            Self::Crash { cause, crash, .. } => SharedKey::Crash(cause.clone(), crash.clone()),
            Self::Block { cause, .. } => SharedKey::Block(cause.clone()),
            Self::HashKey(_) => SharedKey::HashKey,
            Self::Limit { run, .. } => SharedKey::Limit(run.clone()),
            Self::Peer { vm, .. } => SharedKey::Peer(vm.clone()),
            Self::Version {
                service, version, ..
            } => SharedKey::Version(service.clone(), version.clone()),
            Self::RoleChanges { service, .. } => SharedKey::RoleChanges(service.clone()),
            Self::Share { run, number, .. } => SharedKey::Share(run.clone(), *number),
            Self::RestoredEra(_) => SharedKey::RestoredEra,
        }
    }
}
