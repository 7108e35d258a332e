//! Retry budgets and backoff.
//!
//! A request is sent again only where that is safe ([`Class`]), where attempts and time are left
//! ([`Attempts`], [`Backoff`]) and where the traffic as a whole bears it ([`Budget`]). Only one layer
//! retries: what it sends on carries no further attempts.

mod attempts;
mod backoff;
mod budget;
mod class;
mod plan;

pub use self::{
    attempts::Attempts,
    backoff::Backoff,
    budget::Budget,
    class::Class,
    plan::{
        Denied,
        Plan, //
    },
};
