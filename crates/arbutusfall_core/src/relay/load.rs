//! Limits of the plain requests that this VM sends to services whose endpoints reject them. Limits that endpoints name
//! themselves are in [`limits`](crate::relay::limits).

pub(in crate::relay) mod handling;
pub(in crate::relay) mod load_queue;
pub(in crate::relay) mod load_state;
pub(in crate::relay) mod service_limiter;
#[cfg(test)]
mod tests;
