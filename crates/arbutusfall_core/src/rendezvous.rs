//! Rendezvous hashing: every VM with the same list picks the same owner.

use arbutusfall_wire::Name;
use arbutusfall_wire::stable_hash;

/// Sorts candidates by preference as the key's owner, most preferred first.
pub(crate) fn rank_owners<K: std::hash::Hash>(key: &K, candidates: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<(u64, Name)> = candidates
        .iter()
        .map(|candidate| (stable_hash(&(key, candidate)), candidate.clone()))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
