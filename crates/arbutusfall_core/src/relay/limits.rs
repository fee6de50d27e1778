//! Limits on the request rate that endpoints name, and this VM's shares of them.

pub(in crate::relay) mod endpoint_limit;
pub(in crate::relay) mod endpoint_limits;
pub(in crate::relay) mod limit_handling;
pub(in crate::relay) mod limit_review;
pub(in crate::relay) mod limit_share;
pub(in crate::relay) mod limit_tokens;
pub(in crate::relay) mod limit_waiting;
pub(in crate::relay) mod limited_queue;
