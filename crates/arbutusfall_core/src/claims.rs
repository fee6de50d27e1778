//! Non-idempotent calls: executed at most once, by the order of the claims on the log.

mod execution;
mod partition;

pub(crate) use execution::Executions;
pub(crate) use partition::PartitionOwner;

use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::stable_hash;

use crate::config::ClaimSettings;

/// Partition of a key.
pub(crate) fn partition_of(key: IdempotencyKey, settings: &ClaimSettings) -> u16 {
    let index = stable_hash(&key) % u64::from(settings.partitions.max(1));
    u16::try_from(index).unwrap_or_default()
}
