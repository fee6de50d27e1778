//! Streams: their software version, their resumption and their standby exchanges.

pub(in crate::relay) mod recorded_versions;
pub(in crate::relay) mod restoration_waits;
pub(in crate::relay) mod resumptions;
pub(in crate::relay) mod standby;
pub(in crate::relay) mod stream_proofs;
pub(in crate::relay) mod stream_versions;
pub(in crate::relay) mod unproved_streams;
