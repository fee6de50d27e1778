//! Records that VMs share through the store, and requests that go through another VM.

pub(in crate::relay) mod forwarding;
pub(in crate::relay) mod peers;
pub(in crate::relay) mod shared_handling;
pub(in crate::relay) mod shared_outbox;
pub(in crate::relay) mod shared_record;
