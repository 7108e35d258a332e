//! Workers that fail everything, told from tasks that fail everywhere.
//!
//! [`Book`] sees each start that worked or failed, and says when a worker should be quarantined or
//! a job held. A quarantined worker gets single probes at growing intervals until one succeeds.

mod book;
mod verdict;

pub use self::{
    book::Book,
    verdict::Verdict, //
};
