//! The shard that a job is submitted to, worked out from its id.
//!
//! An id of the gate's own making holds its shard, which was chosen by load. An id that the caller
//! chose has its shard by rendezvous hashing, so that a repeated submission reaches the same shard
//! through whatever gate it comes.

use std::time::Duration;

use fulmarpier_coordination::request::{
    Key,
    shard_of, //
};
use fulmarpier_state::id::{
    JobId,
    ShardId, //
};
use uuid::{
    Builder,
    Variant,
    Version, //
};

/// The length of the time at the front of an id, in bytes.
const TIME_LEN: usize = 6;
/// Where the shard stands in an id of the gate's own making, in bytes.
const SHARD_AT: usize = 14;

/// Makes the id of a job that goes to `shard`: a UUIDv8 laid out as a UUIDv7 (RFC 9562) but for its
/// last two bytes, which hold the shard.
///
/// `since_epoch` is the wall clock, and `noise` what tells ids of one millisecond apart.
pub fn fresh(shard: ShardId, since_epoch: Duration, noise: [u8; 8]) -> JobId {
    let mut bytes = [0; 16];
    let millis = since_epoch.as_millis().to_be_bytes();
    bytes[..TIME_LEN].copy_from_slice(&millis[millis.len() - TIME_LEN..]);
    bytes[TIME_LEN..SHARD_AT].copy_from_slice(&noise);
    bytes[SHARD_AT..].copy_from_slice(&shard.0.to_be_bytes());
    let uuid = Builder::from_bytes(bytes)
        .with_variant(Variant::RFC4122)
        .with_version(Version::Custom)
        .into_uuid();
    JobId(uuid)
}

/// Returns the shard that a job is submitted to; `None` where there are no shards.
///
/// See also [`fresh`].
pub fn home(id: JobId, shards: &[ShardId]) -> Option<ShardId> {
    if id.0.get_version() == Some(Version::Custom) {
        let [.., high, low] = *id.0.as_bytes();
        let named = ShardId(u16::from_be_bytes([high, low]));
        if shards.contains(&named) {
            return Some(named);
        }
    }
    let key: Key = id.to_string().parse().ok()?;
    shard_of(&key, shards)
}
