//! Claims of shards, folded from the log.
//!
//! Every node folds the records of its region's claims stream in the log's order and so comes to
//! the same owners. See `docs/design/01-ownership.md`.

mod record;
mod register;
mod seat;

pub use self::{
    record::{
        DecodeError,
        Holder,
        Holding,
        Record,
        Standing, //
    },
    register::{
        Outcome,
        Presence,
        Register, //
    },
    seat::{
        Owner,
        Seat, //
    },
};

use fulmarpier_state::id::RegionId;

use crate::platform::log::Stream;

/// Returns the name of the claims stream of `region`.
pub fn stream(region: RegionId) -> Stream {
    Stream(format!("claims.{region}"))
}
