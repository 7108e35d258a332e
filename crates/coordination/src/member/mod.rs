//! One node's part in ownership: renewal, takeover, handover, suspension.
//!
//! A [`Machine`] takes an event and the time and returns effects. It asks for no thread, socket or
//! clock. See `docs/design/01-ownership.md` for what its safety rests on.

mod balance;
mod effect;
mod event;
mod health;
mod held;
mod inquiry;
mod machine;
pub mod tenure;
mod timing;
mod vouch;
mod watch;

pub use self::{
    effect::{
        Cause,
        Effect, //
    },
    event::{
        Event,
        Token,
        Unreachable, //
    },
    machine::Machine,
    timing::{
        Timing,
        TimingError, //
    },
};
