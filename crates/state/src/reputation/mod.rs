//! Workers that fail everything, told from tasks that fail everywhere.
//!
//! [`Book`] sees each start and its end, and says when a worker should be quarantined or a job
//! held. A quarantined worker gets single probes at growing intervals until one succeeds.

mod book;
mod docket;
mod evidence;
mod quarantine;
mod recent;
mod record;
mod tally;
mod verdict;

pub use self::{
    book::Book,
    verdict::Verdict, //
};
