//! The owner of the cell: its actor, its takeover, and what it reads and writes.

mod control;
mod forget;
mod given;
mod jobs;
mod listing;
mod orders;
mod recorder;
mod share;
mod tail;
mod takeover;
mod view;

pub(crate) use self::{
    control::{
        Control,
        Event,
        accept, //
    },
    share::Peer,
    takeover::take_over,
    view::View, //
};
