//! The data centres that the operator has evacuated, as this node has read them from the store.

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
    platform::Platform,
    shared::Shared, //
};

/// The evacuated data centres as last read from the store.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// The evacuated data centres.
    pub(crate) evacuation: Evacuation,
    /// When the store last confirmed that this is the newest state.
    pub(crate) confirmed_at: Instant,
}

impl Snapshot {
    /// Applies the snapshot to the owner's engine.
    pub(crate) fn apply(self, engine: &mut Engine, now: Timestamp) {
        let read = now.saturating_sub(self.confirmed_at.elapsed());
        engine.set_evacuation(self.evacuation, read, now);
    }
}

/// The part of the operator's records that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// The newest record of each key. An evacuation that isn't among them has been revoked.
    Full,
    /// The records since the last read.
    Incremental,
}

/// Applies changes that were read just now and logs each data centre whose evacuation begins or ends.
pub(crate) fn update<P: Platform>(shared: &Shared<P>, scope: Scope, changes: Vec<Change>) {
    let before = shared.evacuation.borrow().clone();
    let before = before
        .map(|snapshot| snapshot.evacuation)
        .unwrap_or_default();
    let mut evacuation = match scope {
        Scope::Full => Evacuation::default(),
        Scope::Incremental => before.clone(),
    };
    for change in changes {
        evacuation.apply(change);
    }
    log_changes(shared, &before, &evacuation);
    shared.evacuation.send_replace(Some(Snapshot {
        evacuation,
        confirmed_at: Instant::now(),
    }));
}

fn log_changes<P: Platform>(shared: &Shared<P>, before: &Evacuation, after: &Evacuation) {
    let outcomes = [(after, before, "evacuated"), (before, after, "taken-back")];
    for (present, absent, outcome) in outcomes {
        for data_centre in present.data_centres() {
            if !absent.covers(Some(data_centre)) {
                slog::info!(shared.log, "evacuation"; "data_centre" => data_centre.as_str(),
                    "outcome" => outcome);
            }
        }
    }
}
