//! Calls: from a request's arrival to its answer, with the retries and the retry budget.

pub(in crate::relay) mod budget;
pub(in crate::relay) mod call;
pub(in crate::relay) mod exchange_end;
pub(in crate::relay) mod failures;
pub(in crate::relay) mod lifecycle;
pub(in crate::relay) mod outcomes;
pub(in crate::relay) mod request_key;
pub(in crate::relay) mod retries;
pub(in crate::relay) mod silence;
pub(in crate::relay) mod token_counts;
