//! The ids of parts.

use fulmarpier_state::id::{
    JobId,
    ShardId, //
};
use uuid::{
    Builder,
    Variant,
    Version, //
};

use crate::topology::score;

/// How many bytes at the front are the time of the job.
const TIME_LEN: usize = 6;
/// Where the shard stands, in bytes.
const SHARD_AT: usize = 14;

/// Returns the id of the part that `shard` gets of `job` in a round of delegation.
///
/// It is a UUIDv8 (RFC 9562) with the time of the job in front and the shard at the end, as the
/// gates make them, so that whoever asks for it finds the shard. Rounds tell apart two parts that a
/// shard gets of one job, one after the other.
pub fn part_id(job: JobId, shard: ShardId, round: u32) -> JobId {
    let whole = job.0.as_u128();
    let (high, low) = job.0.as_u64_pair();
    let place = (u64::from(round) << 16) | u64::from(shard.0);
    let mixed = score(high ^ score(low, 0), place);
    let mut bytes = whole.to_be_bytes();
    bytes[TIME_LEN..SHARD_AT].copy_from_slice(&mixed.to_be_bytes());
    bytes[SHARD_AT..].copy_from_slice(&shard.0.to_be_bytes());
    let uuid = Builder::from_bytes(bytes)
        .with_variant(Variant::RFC4122)
        .with_version(Version::Custom)
        .into_uuid();
    JobId(uuid)
}
