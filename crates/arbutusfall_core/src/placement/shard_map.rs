//! Partition of a model's endpoints into shards.

use arbutusfall_wire::Name;
use arbutusfall_wire::ShardId;

use crate::config::Endpoint;
use crate::config::Role;
use crate::config::SiteConfig;

/// Returns the number of shards of a model; at least one.
pub(crate) fn shard_count(site: &SiteConfig, model: &Name) -> u16 {
    let limit = site
        .models
        .get(model)
        .map_or(1, |model| model.max_endpoints_per_shard.max(1));
    let of_role = |role: Role| {
        let serving = site
            .endpoints
            .values()
            .filter(|endpoint| endpoint.role == role);
        serving.filter(|endpoint| endpoint.serves == *model).count()
    };
    let largest = of_role(Role::Prefill).max(of_role(Role::Decode));
    u16::try_from(largest.div_ceil(limit as usize))
        .unwrap_or(u16::MAX)
        .max(1)
}

/// Returns a shard's endpoints of one role, sorted by name.
pub(crate) fn shard_endpoints<'a>(
    site: &'a SiteConfig,
    shard: &'a ShardId,
    role: Role,
) -> impl Iterator<Item = (&'a Name, &'a Endpoint)> {
    let count = usize::from(shard_count(site, &shard.model));
    let serving = site
        .endpoints
        .iter()
        .filter(move |(_, endpoint)| endpoint.role == role && endpoint.serves == shard.model);
    serving
        .enumerate()
        .filter(move |(position, _)| position % count == usize::from(shard.index))
        .map(|(_, entry)| entry)
}
