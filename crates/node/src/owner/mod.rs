//! The owner of the cell: its actor, the takeover, and what it reads from and writes to the store.

mod delegated;
mod engine_actor;
mod jobs;
mod listing;
mod orders;
mod read_progress;
mod recorder;
mod removal;
mod requests;
mod split;
mod takeover;
mod workers;

pub(crate) use self::{
    engine_actor::{
        EngineActor,
        Event, //
    },
    read_progress::ReadProgress,
    requests::handle_request,
    takeover::take_over, //
};
