//! The owner of the cell: its actor, its takeover, and what it reads and writes.

mod control;
mod recorder;
mod tail;
mod takeover;

pub(crate) use self::{
    control::{
        Control,
        Event,
        Look,
        Pending,
        accept, //
    },
    takeover::take_over,
};
