//! From snapshot, tail and inventories to a shard that places again.
//!
//! An [`Image`] says what the journal knows; a [`Machine`] takes each worker at the new epoch and
//! lets what the workers hold win over the record.

mod contact;
mod image;
mod machine;
mod settings;
mod step;

pub use self::{
    image::{
        Gap,
        Gone,
        Image,
        Job,
        Past,
        Request,
        Settled,
        TaskState, //
    },
    machine::{
        Fenced,
        Machine,
        Takeover, //
    },
    settings::Settings,
    step::{
        Effect,
        Step, //
    },
};
