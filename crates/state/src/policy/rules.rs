//! The policy as a whole.

use serde::{
    Deserialize,
    Serialize, //
};

use super::Retry;
use crate::{
    job::{
        Priority,
        Spread, //
    },
    placement::Weights,
    quota,
    unit::Span, //
};

/// What is done with a job of a team that the configuration does not name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownTeam {
    /// It gets the default limit.
    #[default]
    Accept,
    /// It is refused.
    Refuse,
}

/// How many jobs may wait, by class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Urgent jobs.
    pub urgent: u32,
    /// Jobs of the usual priority.
    pub normal: u32,
    /// Jobs of low priority.
    pub low: u32,
    /// Tasks of one job.
    pub tasks: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            urgent: 2_000,
            normal: 20_000,
            low: 20_000,
            tasks: 100_000,
        }
    }
}

impl Bounds {
    /// Returns how many jobs of `priority` may wait.
    pub const fn class(&self, priority: Priority) -> u32 {
        match priority {
            Priority::Urgent => self.urgent,
            Priority::Normal => self.normal,
            Priority::Low => self.low,
        }
    }
}

/// How long jobs that have ended are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retention {
    /// At most this many.
    pub jobs: u32,
    /// At most this long.
    pub span: Span,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            jobs: 10_000,
            span: Span::from_secs(24 * 3_600),
        }
    }
}

/// What operators choose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// What counts how much.
    pub weights: Weights,
    /// Whether urgent work may stop other work.
    pub preemption: bool,
    /// Whether short tasks may use capacity that is held for a job.
    pub backfill: bool,
    /// Where the tasks of a service may be together, where the job does not say.
    pub spread: Spread,
    /// What is done with jobs of teams that are not configured.
    pub unknown_team: UnknownTeam,
    /// The limit of a team that is not configured.
    pub default_limit: quota::Limit,
    /// How much may wait.
    pub bounds: Bounds,
    /// How failed tasks are retried.
    pub retry: Retry,
    /// A job without a deadline competes as if it had to start within this span.
    pub patience: Span,
    /// Past this wait a job is placed ahead of the fair order, with a bounded share of the starts.
    pub starvation: Span,
    /// For how many gangs that are not urgent capacity is held at once.
    pub gang_reservations: u32,
    /// For how many single tasks that are not urgent capacity is held at once.
    pub task_reservations: u32,
    /// How long a task that is told to stop may take.
    pub grace: Span,
    /// How long jobs that have ended are remembered.
    pub retention: Retention,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            weights: Weights::default(),
            preemption: true,
            backfill: true,
            spread: Spread::Racks,
            unknown_team: UnknownTeam::default(),
            default_limit: quota::Limit::default(),
            bounds: Bounds::default(),
            retry: Retry::default(),
            patience: Span::from_secs(300),
            starvation: Span::from_secs(900),
            gang_reservations: 2,
            task_reservations: 4,
            grace: Span::from_secs(2),
            retention: Retention::default(),
        }
    }
}

impl Policy {
    /// Sets what counts how much.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_state::placement::Weights;
    /// use fulmarpier_state::policy::Policy;
    ///
    /// let policy = Policy::default().weights(Weights::new(8, 1, 1));
    /// assert_eq!(policy.weights.waiting, 8);
    /// ```
    ///
    /// See also [`Self::preemption`] and [`Self::backfill`].
    #[must_use]
    pub const fn weights(mut self, weights: Weights) -> Self {
        self.weights = weights;
        self
    }

    /// Sets whether urgent work may stop other work.
    ///
    /// See also [`Self::backfill`].
    #[must_use]
    pub const fn preemption(mut self, on: bool) -> Self {
        self.preemption = on;
        self
    }

    /// Sets whether short tasks may use capacity that is held for a job.
    ///
    /// See also [`Self::preemption`].
    #[must_use]
    pub const fn backfill(mut self, on: bool) -> Self {
        self.backfill = on;
        self
    }
}
