//! One shard that this node owns: from the won claim to placing work, and its end.
//!
//! A shard is first [`Opening`]: it announces its epoch in the journal and replays it. Then it is
//! [`Live`]: it takes its workers, adopts what runs, and places work while the ownership allows it.

mod checks;
mod commit;
mod fleet;
mod inventory;
mod jobs;
mod link;
mod live;
mod opening;
mod orders;
mod part;
mod requests;
mod settings;
mod steps;

pub use self::settings::Settings;
pub(crate) use self::{
    live::{
        Live,
        Report,
        Scope, //
    },
    opening::{
        Opening,
        Progress, //
    },
};
