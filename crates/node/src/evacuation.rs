//! Which data centres the operator has evacuated, as this node has read it.

use fulmarpier_cell::{
    engine::Engine,
    evacuation::{
        Change,
        Evacuation, //
    },
};
use fulmarpier_state::clock::Timestamp;
use tokio::time::Instant;

use crate::{
    port::Platform,
    shared::Shared, //
};

/// What the store has told.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    /// The data centres.
    pub(crate) evacuation: Evacuation,
    /// When it last told that there is no change.
    pub(crate) at: Instant,
}

impl Reading {
    /// Tells the owner's engine.
    pub(crate) fn tell(self, engine: &mut Engine, now: Timestamp) {
        let read = now.saturating_sub(self.at.elapsed());
        engine.evacuate(self.evacuation, read, now);
    }
}

/// How much of the operator's records was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// The newest of each key: what isn't among them is taken back.
    Whole,
    /// Those since the last reading.
    More,
}

/// Takes in what was read just now; each change is told.
pub(crate) fn take<P: Platform>(shared: &Shared<P>, scope: Scope, changes: Vec<Change>) {
    let before = shared.evacuation.borrow().clone();
    let before = before.map(|reading| reading.evacuation).unwrap_or_default();
    let mut evacuation = match scope {
        Scope::Whole => Evacuation::default(),
        Scope::More => before.clone(),
    };
    for change in changes {
        evacuation.apply(change);
    }
    tell(shared, &before, &evacuation);
    shared.evacuation.send_replace(Some(Reading {
        evacuation,
        at: Instant::now(),
    }));
}

fn tell<P: Platform>(shared: &Shared<P>, before: &Evacuation, after: &Evacuation) {
    let outcomes = [(after, before, "evacuated"), (before, after, "taken-back")];
    for (these, others, outcome) in outcomes {
        for data_centre in these.data_centres() {
            if !others.covers(Some(data_centre)) {
                slog::info!(shared.log, "evacuation"; "data_centre" => data_centre.as_str(),
                    "outcome" => outcome);
            }
        }
    }
}
