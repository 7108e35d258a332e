//! The last outcomes of all workers together.

use std::collections::VecDeque;

use crate::{
    clock::Timestamp,
    id::WorkerId, //
};

use super::evidence::is_stale;

/// How many outcomes are remembered.
const MOST_OUTCOMES: usize = 64;
/// Fewer outcomes on other workers than this tell nothing.
const FEWEST_OUTCOMES: u32 = 4;

/// The last outcomes of all workers together, by which a fault is known that many share.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    outcomes: VecDeque<Outcome>,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    worker: WorkerId,
    failed: bool,
    at: Timestamp,
}

impl Recent {
    /// Adds an outcome; the oldest goes where there are too many.
    pub(super) fn add(&mut self, worker: WorkerId, failed: bool, at: Timestamp) {
        if self.outcomes.len() == MOST_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(Outcome { worker, failed, at });
    }

    /// Returns the share of failures on all workers but this one; zero where too few are known.
    pub(super) fn rate_elsewhere(&self, worker: WorkerId, now: Timestamp) -> f64 {
        let mut all = 0;
        let mut failed = 0;
        let others = self.outcomes.iter().filter(|o| o.worker != worker);
        for outcome in others.filter(|o| !is_stale(o.at, now)) {
            all += 1;
            failed += u32::from(outcome.failed);
        }
        match all < FEWEST_OUTCOMES {
            true => 0.0,
            false => f64::from(failed) / f64::from(all),
        }
    }
}
