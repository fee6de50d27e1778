//! Selection of the next stage and endpoint of a call, and the queue of those that wait.

pub(in crate::relay) mod admission;
pub(in crate::relay) mod balance;
pub(in crate::relay) mod endpoint_query;
pub(in crate::relay) mod exclusion;
pub(in crate::relay) mod held_back;
pub(in crate::relay) mod pacing;
pub(in crate::relay) mod send_permission;
pub(in crate::relay) mod stages;
pub(in crate::relay) mod waiting;
