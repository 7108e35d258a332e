//! What each team may use, what it uses, and its weighted dominant share.

mod ledger;
mod limit;

pub use self::{
    ledger::{
        Account,
        Ledger,
        Slot, //
    },
    limit::Limit,
};
