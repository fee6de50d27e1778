//! Hash collections with a fast hasher, and the hash function that is the same on all VMs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::BuildHasher;

use foldhash::fast::FixedState;
use foldhash::fast::RandomState;

/// Hash map with a fast hasher, seeded per process because callers choose some of the keys.
///
/// Iteration order is random; use an ordered map wherever the order could affect the output.
pub type FastMap<K, V> = HashMap<K, V, RandomState>;

/// Hash set with the hasher of [`FastMap`].
pub type FastSet<K> = HashSet<K, RandomState>;

/// Seed of [`stable_hash`].
///
/// Changing it changes all piece hashes, the owners of shards and partitions, and the partition of each key, so that
/// earlier claims are not found.
const STABLE_SEED: u64 = 0x61_72_62_75_74_75_73;

/// Returns a hash that is the same on every VM that runs the same version.
pub fn stable_hash<T: std::hash::Hash>(value: &T) -> u64 {
    FixedState::with_seed(STABLE_SEED).hash_one(value)
}

/// Returns the chained hashes of a prompt's complete pieces, which are the blocks in which engines cache prefixes.
///
/// Hash `i` covers the prompt up to the end of piece `i`, so equal hashes mean equal prefixes. An incomplete last
/// piece has no hash.
pub fn piece_hashes(prompt: &[u8], piece_bytes: usize) -> Vec<u64> {
    let mut previous = 0u64;
    let chained = prompt.chunks_exact(piece_bytes.max(1)).map(|piece| {
        previous = stable_hash(&(previous, piece));
        previous
    });
    chained.collect()
}
