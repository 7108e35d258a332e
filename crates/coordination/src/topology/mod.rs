//! Shards of workers, worked out from the VM list.
