//! What one gate holds and wants.

use std::collections::BTreeMap;

use fulmarpier_state::{
    clock::Timestamp,
    id::Incarnation,
    name::Service, //
};

use super::Statement;
use crate::platform::target;

/// Why a statement was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Ignored {
    /// A later statement of the same life came first.
    #[error("statement {found} came after statement {last}")]
    Late {
        /// The sequence of the statement.
        found: u64,
        /// The sequence of the last statement taken in.
        last: u64,
    },
    /// The statement is from an earlier life of the gate's process.
    #[error("the statement is from life {found}, the gate is in life {last}")]
    Ended {
        /// The life that made the statement.
        found: Incarnation,
        /// The life that is known.
        last: Incarnation,
    },
}

/// What one gate holds and wants.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) incarnation: Incarnation,
    /// The sequence of the last statement taken in.
    pub(super) sequence: u64,
    /// When the gate has certainly stopped using what it holds.
    pub(super) expiry: Timestamp,
    /// The most slots that the gate may be using, by target; no zeros.
    pub(super) held: BTreeMap<target::Id, u16>,
    /// How many slots it wants, by service; no zeros.
    pub(super) wanted: BTreeMap<Service, u32>,
}

impl Account {
    pub(super) const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            expiry: Timestamp::ZERO,
            held: BTreeMap::new(),
            wanted: BTreeMap::new(),
        }
    }

    /// Checks that the statement is later than all that were taken in.
    pub(super) fn admit(&self, statement: &Statement) -> Result<(), Ignored> {
        if statement.incarnation < self.incarnation {
            return Err(Ignored::Ended {
                found: statement.incarnation,
                last: self.incarnation,
            });
        }
        let same_life = statement.incarnation == self.incarnation;
        if same_life && statement.sequence <= self.sequence {
            return Err(Ignored::Late {
                found: statement.sequence,
                last: self.sequence,
            });
        }
        Ok(())
    }

    pub(super) fn demand(&mut self, statement: &Statement) {
        self.wanted.clear();
        if statement.draining {
            return;
        }
        for demand in statement.demands.iter().filter(|demand| demand.wanted > 0) {
            self.wanted.insert(demand.service.clone(), demand.wanted);
        }
    }

    pub(super) fn held(&self, target: target::Id) -> u16 {
        self.held.get(&target).copied().unwrap_or(0)
    }

    pub(super) fn hold(&mut self, target: target::Id, slots: u16) {
        if slots > 0 {
            self.held.insert(target, slots);
        }
    }

    /// Raises what is held; it falls only by a statement, since the gate may not read the reply.
    pub(super) fn raise(&mut self, target: target::Id, slots: u16) {
        if slots > self.held(target) {
            self.held.insert(target, slots);
        }
    }
}
