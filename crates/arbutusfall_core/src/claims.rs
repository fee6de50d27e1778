//! Non-idempotent calls: the calls of one key are sent to the service at most once, by the request whose claim is first
//! on the log.

mod dispatch;
mod key_state;
mod keyed_calls;
mod outcome_requests;
mod outcomes;
mod owner;
mod partition;
mod replies;
mod restores;

pub(crate) use keyed_calls::KeyedCalls;
pub(crate) use owner::PartitionOwner;

use std::time::Duration;

use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::stable_hash;

use crate::config::ClaimSettings;
use crate::context::Context;
use crate::rendezvous::rank_owners;

/// Returns the index of a key's partition.
pub(crate) fn partition_of(key: IdempotencyKey, settings: &ClaimSettings) -> u16 {
    let index = stable_hash(&key) % u64::from(settings.partitions.max(1));
    u16::try_from(index).unwrap_or_default()
}

/// Returns the live VMs that may own a key's partition, highest rank first.
fn owners_of(key: IdempotencyKey, ctx: &Context<'_>) -> Vec<Name> {
    let partition = partition_of(key, &ctx.site_config.claims);
    let live = ctx.members.owner_candidates(&ctx.identity.site);
    rank_owners(&("claims", partition), &live)
}

/// Returns whether a key is older than the claim window.
fn is_expired(key: IdempotencyKey, ctx: &Context<'_>) -> bool {
    let window = Duration::from_secs(ctx.site_config.claims.window_s);
    key.created_at() + window < ctx.now.unix
}
