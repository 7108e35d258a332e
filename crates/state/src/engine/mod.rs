//! One shard's scheduler: events in, decisions out.
