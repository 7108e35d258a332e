//! Slots of targets: chosen in memory where the gate holds one, waited for where it doesn't.

mod held;
mod lane;
mod pool;
mod state;
mod waiting;

pub use self::{
    held::Held,
    pool::{
        Ask,
        Pool,
        Usage, //
    },
};
