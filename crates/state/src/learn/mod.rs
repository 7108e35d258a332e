//! Run times and sizes learned from lagging usage reports.
//!
//! What operators declare is often far off. [`Estimator`] keeps a small [sketch](Estimate) of what
//! each program of each team really took. Its estimates order work and guide backfill; they never
//! lower what a task reserves, so a wrong one can't overfill a worker.

mod estimate;
mod estimator;
mod key;
mod sketch;

pub use self::{
    estimate::Estimate,
    estimator::Estimator,
    key::Key, //
};
