//! Leaving without cutting anything off.
//!
//! [`Drain`] is the life of a gate or sched that is told to stop: it takes nothing new, finishes what
//! is in flight and says when it is empty. [`Roster`] tells which workers are leaving, by the VM list
//! or by command, whichever comes first.

mod life;
mod roster;
mod work;

pub use self::{
    life::{
        Drain,
        Draining,
        Empty,
        Expired,
        Progress,
        Serving, //
    },
    roster::{
        Cause,
        Departure,
        Roster, //
    },
    work::{
        Load,
        Work, //
    },
};
