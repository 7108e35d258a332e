//! The way of a request to a target, or to the owner of a shard, and back.

mod admission;
mod deliver;
mod finish;
mod keyed;
mod ordinary;
mod owner;
mod upload;

pub use self::{
    admission::{
        Admission,
        admit, //
    },
    keyed::{
        Order,
        keyed, //
    },
    ordinary::{
        Envelope,
        ordinary, //
    },
    owner::{
        Miss,
        ask_owner, //
    },
    upload::{
        Kept,
        Limits,
        Upload, //
    },
};
