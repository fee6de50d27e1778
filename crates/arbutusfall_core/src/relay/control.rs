//! What decides about the whole service: the configuration, the lease and the roles of engines.

pub(in crate::relay) mod configuration;
pub(in crate::relay) mod lease;
pub(in crate::relay) mod role_changes;
mod role_pressure;
mod role_split;
pub(in crate::relay) mod role_usage;
pub(in crate::relay) mod roles;
pub(in crate::relay) mod routes;
pub(in crate::relay) mod store_view;
