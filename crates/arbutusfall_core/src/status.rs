//! State of a VM as shown to operators.

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::Identity;

/// State that `arbutusfall status` shows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the process.
    pub identity: Identity,
    /// Whether the readiness path reports the VM as ready.
    pub ready: bool,
    /// Whether the VM is draining or drained.
    pub draining: bool,
    /// Revision of the newest accepted base, from the log or a peer; not necessarily in force here.
    pub base_revision: Option<Offset>,
    /// Revision of the newest accepted overlay of the site, from the log or a peer; not necessarily in force here.
    pub overlay_revision: Option<Offset>,
    /// VMs on the platform's list.
    pub vms: Vec<VmStatus>,
    /// Decode endpoints of the shards for which this VM received placement requests or grant reports.
    pub endpoints: Vec<EndpointStatus>,
    /// Model requests in progress that entered through this VM.
    pub streams: usize,
    /// Idempotent calls to plain services in progress that entered through this VM.
    pub calls: usize,
    /// Idempotency keys of non-idempotent calls that entered through this VM and are in progress or have an outcome
    /// that is kept.
    pub claims: usize,
}

/// State of a VM as seen by this one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Its name.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its state.
    pub state: MemberState,
    /// Incarnation of its process; `None` until it is known.
    pub incarnation: Option<Incarnation>,
}

/// State of an endpoint as seen by its shard's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub endpoint: Name,
    /// Model that it serves.
    pub serves: Name,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Number of grants that use it.
    pub grants: usize,
}
