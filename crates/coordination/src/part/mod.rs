//! Parts: tasks of one job that run in other shards.
//!
//! The shard that accepted a job is its home. It may delegate tasks: it keeps
//! [`Record::Delegated`](crate::journal::Record::Delegated), and only then orders the other shards
//! to take their parts. Each part is a job of its own there, with an id that follows from the job,
//! the shard and the round, so that an order may be sent any number of times. The home says in each
//! order what it wants of the part, and the shard reports what is so; nothing depends on an answer
//! arriving. Tasks come back to the home only when the part has ended for good without running them.
//!
//! See `docs/design/14-one-cell.md`.

mod home;
mod host;
mod id;
mod ledger;
mod plan;
mod room;
mod site;

pub use self::{
    home::Home,
    host::{
        Local,
        Step,
        step, //
    },
    id::part_id,
    ledger::{
        Closed,
        Delegation,
        Origin,
        Part,
        Share, //
    },
    plan::{
        elsewhere,
        spread, //
    },
    room::{
        Room,
        Rooms, //
    },
    site::{
        Site,
        Sites, //
    },
};
