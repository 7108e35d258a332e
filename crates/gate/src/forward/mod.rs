//! The way of a request to a target, or to the owner of a shard, and back.

mod admission;
mod attempt;
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
    attempt::Envelope,
    keyed::{
        Order,
        keyed, //
    },
    ordinary::ordinary,
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
