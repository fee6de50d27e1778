//! Control data: the configuration with its routes, the lease for orders to engines, the roles of engines, and how current the
//! data of the store is.

pub(in crate::relay) mod configuration;
pub(in crate::relay) mod lease;
pub(in crate::relay) mod role_changes;
mod role_pressure;
mod role_split;
pub(in crate::relay) mod role_usage;
pub(in crate::relay) mod roles;
pub(in crate::relay) mod routes;
pub(in crate::relay) mod store_restoration;
pub(in crate::relay) mod store_view;
