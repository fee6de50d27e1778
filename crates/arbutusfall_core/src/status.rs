//! A node's state as operators see it.

use arbutusfall_wire::Incarnation;
use arbutusfall_wire::MemberState;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::Identity;

/// What `arbutusfall status` shows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Who the process is.
    pub identity: Identity,
    /// Whether the readiness path answers.
    pub ready: bool,
    /// Whether the VM drains.
    pub draining: bool,
    /// Revision of the base in force.
    pub base_revision: Option<Offset>,
    /// Revision of the site's overlay in force.
    pub overlay_revision: Option<Offset>,
    /// VMs seen.
    pub vms: Vec<VmStatus>,
    /// Endpoints of the shards that this VM owns.
    pub endpoints: Vec<EndpointStatus>,
    /// Model requests in progress that entered here.
    pub streams: usize,
    /// Plain calls in progress that entered here.
    pub calls: usize,
    /// Claimed keys whose calls entered here and whose outcome is kept.
    pub claims: usize,
}

/// A VM as this one sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Its name.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its state.
    pub state: MemberState,
    /// Life of its process, once it was heard of.
    pub incarnation: Option<Incarnation>,
}

/// An endpoint as its shard's owner sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub endpoint: Name,
    /// Model that it serves.
    pub serves: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Grants that use it.
    pub grants: usize,
}
