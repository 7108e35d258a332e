//! The home shard of a key.

use fulmarpier_state::id::ShardId;

use super::Key;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the shard whose ledger answers for a key, by rendezvous hashing.
///
/// The result depends on the key and the set of shards only, never on who owns them or is up, and
/// is fixed for good: the hash is written out here and not taken from a library. When a shard is
/// added, only the keys that it wins move; the ledgers that gain keys then have to refuse what was
/// begun before, see [`super::Ledger::suspect`].
///
/// Returns `None` if there are no shards.
pub fn shard_of(key: &Key, shards: &[ShardId]) -> Option<ShardId> {
    shards
        .iter()
        .copied()
        .max_by_key(|shard| (weight(key, *shard), *shard))
}

/// Hashes key and shard by FNV-1a, then mixes as splitmix64 does.
fn weight(key: &Key, shard: ShardId) -> u64 {
    let bytes = key.as_str().bytes().chain(shard.0.to_le_bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

const fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
