//! From snapshot, tail and inventories to a shard that places again.
