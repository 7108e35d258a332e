//! Run times and sizes learned from lagging usage reports.
//!
//! What operators declare is often far off. [`Estimator`] keeps the last few runs of each program of
//! each team and gives the [quantiles](Estimate) to expect. Its estimates order work and guide backfill; they never
//! lower what a task reserves, so a wrong one can't overfill a worker.

mod estimate;
mod estimator;
mod history;
mod key;
mod shelf;
mod window;

pub use self::{
    estimate::{
        Basis,
        Estimate, //
    },
    estimator::Estimator,
    key::Key, //
};
