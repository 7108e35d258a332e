//! What a worker understands: fenced orders, batched lease renewal and inventories.
//!
//! Every call carries an epoch. A worker remembers the highest epoch that it has seen and refuses a
//! call with a lower one. A task whose lease lapses is stopped by the worker itself.

mod message;
mod view;

pub use self::{
    message::{
        Act,
        Answer,
        End,
        Ended,
        Error,
        Inventory,
        Known,
        Reply,
        Running,
        Start,
        Sync, //
    },
    view::{
        Gap,
        View, //
    },
};
