//! Claims of shards, folded from the log.
