//! The call by which a gate and a sched exchange demand, slots, load and configuration.

mod reply;
mod request;

pub use self::{
    reply::{
        Grant,
        Reply,
        Shard, //
    },
    request::{
        Demand,
        Hold,
        Request, //
    },
};
