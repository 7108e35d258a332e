//! Shards of workers, worked out from the VM list.
//!
//! The shard of a worker depends only on its data centre, its rack and the count of shards, never
//! on what else is listed. Two nodes with lists of different age therefore never place one worker
//! in two shards, and churn moves no worker. See `docs/design/01-ownership.md`.

mod map;
mod rendezvous;
mod shards;

pub use self::{
    map::{
        Change,
        Error,
        Map,
        Node,
        Worker, //
    },
    rendezvous::score,
    shards::{
        Count,
        CountError,
        data_centre_of, //
    },
};
