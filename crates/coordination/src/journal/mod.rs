//! A shard's journal: group append, read-back, snapshots and replay.
