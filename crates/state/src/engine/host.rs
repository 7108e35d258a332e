//! A worker as the engine keeps it.

use std::collections::BTreeSet;

use crate::worker::{
    Condition,
    Spec, //
};

/// A worker with what is held on it.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub(super) spec: Spec,
    /// What its owner or an operator says of it.
    pub(super) condition: Condition,
    /// Whether more runs on it than it offers, as can be found after a recovery.
    pub(super) overfull: bool,
    pub(super) reservations: BTreeSet<u64>,
}

impl Host {
    pub(super) const fn new(spec: Spec) -> Self {
        Self {
            spec,
            condition: Condition::Open,
            overfull: false,
            reservations: BTreeSet::new(),
        }
    }
}
