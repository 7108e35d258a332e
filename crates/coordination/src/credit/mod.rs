//! Leased slots of targets: the owner's ledger and the gate's balance.
//!
//! The sched that owns a target's worker is the only one to give its slots away. It gives each gate
//! a few of them under a short lease, so that a gate places an ordinary request in memory, without a
//! round trip. [`Ledger`] is the owner's side, [`Balance`] the gate's; they talk in [`Statement`] and
//! [`Reply`].
//!
//! Slots never pass what a target has, whatever is lost, late, doubled or out of order:
//!
//! - A statement says in absolute numbers what the gate keeps, and the gate keeps no more from the
//!   moment it makes the statement until it applies the reply to that very statement.
//! - The gate's lease counts from when it made the statement; the owner's from when it answered, plus
//!   an allowance for drift. So the gate stops first.
//! - Slots that no live gate accounts for are in doubt. They come back only when an inventory that
//!   was asked for after the lapse shows them free.

mod balance;
mod ledger;
mod message;
mod terms;

pub use self::{
    balance::{
        Balance,
        End,
        Short,
        Ticket, //
    },
    ledger::{
        Ignored,
        Ledger, //
    },
    message::{
        Demand,
        Grant,
        Hold,
        Reply,
        Statement, //
    },
    terms::Terms,
};
