//! What operators choose: how kinds of work compete, and what the scheduler spends on control.

mod retry;
mod rules;
mod tuning;

pub use self::{
    retry::Retry,
    rules::{
        Bounds,
        Policy,
        Retention,
        UnknownTeam, //
    },
    tuning::Tuning,
};
