//! Which worker takes a task: the capacity index.
//!
//! [`Index`] knows what each worker has left and answers which one a task of a given size should
//! go to under a [`Rule`]. It is the only holder of free capacity, and every change is checked, so
//! a worker can't be filled beyond what it offers.

mod entry;
mod error;
mod gang;
mod index;
mod orders;
mod presence;
mod rule;
mod score;
mod search;
mod shapes;
mod spread;
mod total;
mod tree;
mod visits;
mod weights;

pub use self::{
    error::Error,
    index::Index,
    presence::Presence,
    rule::Rule,
    total::Total,
    visits::Visits,
    weights::Weights, //
};
