//! Memory for bodies on their way: of requests, of answers to callers, and of requests to endpoints.

pub(in crate::relay) mod answer_pace;
pub(in crate::relay) mod buffer_budget;
pub(in crate::relay) mod buffer_limits;
#[cfg(test)]
mod tests;
