//! The stand-ins' own record of what ran, and what in it must not be.

mod entry;
mod ledger;
mod summary;

pub(crate) use self::ledger::Place;
pub use self::{
    entry::{
        Ending,
        Request,
        Run, //
    },
    ledger::Record,
    summary::{
        Declined,
        Summary,
        Violations, //
    },
};
