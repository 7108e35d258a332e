//! What a placement has to heed.

use crate::{
    clock::Timestamp,
    id::WorkerId,
    job::Spread, //
};

use super::{
    Presence,
    Weights, //
};

/// What a placement has to heed besides the size of the task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rule<'a> {
    pub(super) weights: Weights,
    pub(super) spread: Spread,
    pub(super) presence: Option<&'a Presence>,
    pub(super) avoid: &'a [WorkerId],
    pub(super) runs: Option<Run>,
}

/// From when until when a task should run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) start: Timestamp,
    pub(super) end: Timestamp,
}

impl<'a> Rule<'a> {
    /// Makes a rule that weighs everything alike, spreads nothing and avoids nobody.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_state::id::WorkerId;
    /// use fulmarpier_state::job::Spread;
    /// use fulmarpier_state::placement::{Presence, Rule, Weights};
    ///
    /// let presence = Presence::new();
    /// let rule = Rule::new()
    ///     .weights(Weights::new(6, 3, 1))
    ///     .spread(Spread::Racks, &presence)
    ///     .avoid(&[WorkerId(4)]);
    /// ```
    ///
    /// See also [`super::Index::find`].
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weights.
    ///
    /// See also [`Weights`].
    #[must_use]
    pub const fn weights(mut self, weights: Weights) -> Self {
        self.weights = weights;
        self
    }

    /// Sets how the job's tasks spread, and where those that run are.
    ///
    /// See also [`Presence`].
    #[must_use]
    pub const fn spread(mut self, spread: Spread, presence: &'a Presence) -> Self {
        self.spread = spread;
        self.presence = Some(presence);
        self
    }

    /// Sets from when until when the task should run; a wrong guess costs packing, nothing else.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use fulmarpier_state::clock::Timestamp;
    /// use fulmarpier_state::placement::Rule;
    ///
    /// let now = Timestamp::from_millis(1_000);
    /// let rule = Rule::new().runs(now, now + Duration::from_secs(30));
    /// ```
    ///
    /// See also [`super::Index::set_busy_until`], which says the same of tasks that run.
    #[must_use]
    pub const fn runs(mut self, start: Timestamp, end: Timestamp) -> Self {
        self.runs = Some(Run { start, end });
        self
    }

    /// Sets the workers that are not to be used, a short list.
    ///
    /// See also [`super::Index::set_open`], which closes a worker for all tasks.
    #[must_use]
    pub const fn avoid(mut self, workers: &'a [WorkerId]) -> Self {
        self.avoid = workers;
        self
    }
}
