//! What is known of one worker during a recovery.

use fulmarpier_state::clock::Timestamp;

use super::Settings;

/// How a worker stands to the new epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contact {
    /// It has not answered.
    Silent {
        /// When it was first missed by the VM list, by this node's clock.
        unlisted: Option<Timestamp>,
    },
    /// It answered, so it is taken at the epoch and its inventory is known.
    Open,
    /// It has not answered, and nothing that an earlier owner started runs there.
    Gone,
}

impl Contact {
    /// Returns whether the worker may still hold something unseen.
    pub(super) const fn is_silent(self) -> bool {
        matches!(self, Self::Silent { .. })
    }

    /// Returns when everything on a silent worker has lapsed, if that can be told.
    ///
    /// The last renewal left before the earlier owners ended, or before the VM was gone.
    pub(super) fn lapse(
        self,
        renewals_end: Option<Timestamp>,
        settings: &Settings,
    ) -> Option<Timestamp> {
        let Self::Silent { unlisted } = self else {
            return None;
        };
        let last = match (renewals_end, unlisted) {
            (Some(ended), Some(gone)) => Some(ended.min(gone)),
            (ended, gone) => ended.or(gone),
        };
        last.map(|last| last + settings.lapse())
    }
}
