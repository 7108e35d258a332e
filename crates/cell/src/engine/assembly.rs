//! The members of a gang that run, and those that are still to come.

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    job::Stage, //
};
use crate::{
    effect::LogRecord,
    id::{
        Run,
        StepId, //
    },
    worker::Phase,
};

/// The number of members of a gang in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// Members that their workers have confirmed or listed.
    pub running: usize,
    /// Members whose start order has no answer yet, or that a former owner has ordered and no worker has listed yet.
    pub ordered: usize,
    /// Members whose start order has not been sent yet.
    pub unsent: usize,
    /// Members that are being stopped.
    pub stopping: usize,
    /// Members without a run.
    pub waiting: usize,
}

impl Census {
    /// Returns whether a member is missing while another may run and would wait for it.
    const fn is_incomplete(&self) -> bool {
        self.waiting > 0 && self.running + self.ordered > 0 && self.stopping == 0
    }
}

impl Engine {
    /// Reports the gangs of which a member was found not to run, and which are not being stopped.
    pub(super) fn check_gangs(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.changed_gangs) {
            self.report_incomplete_gang(id, now);
        }
    }

    fn report_incomplete_gang(&mut self, id: StepId, now: Timestamp) {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let Some((run, reported)) =
            stage.and_then(|stage| Some((stage.gang_run()?, stage.reported_run)))
        else {
            return;
        };
        if reported == Some(run) || !self.census(id).is_incomplete() {
            return;
        }
        if let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) {
            stage.reported_run = Some(run);
        }
        self.log_gang(id, run, "incomplete", now);
    }

    /// Logs the state of a gang.
    pub(super) fn log_gang(&mut self, id: StepId, run: Run, state: &'static str, now: Timestamp) {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let is_own = run >= self.epoch.first_run();
        let age = stage
            .filter(|_| is_own)
            .map(|stage| now.since(stage.gang_since));
        let waits = stage.and_then(|stage| stage.wait_reason);
        self.log(LogRecord::Gang {
            step: id,
            run,
            state,
            members: self.census(id),
            age,
            waits,
        });
    }

    /// Returns how many members of a gang are in each state.
    fn census(&self, id: StepId) -> Census {
        let mut census = Census::default();
        let Some(stage) = self.jobs.get(&id.job).and_then(|job| job.stage(id)) else {
            return census;
        };
        for (index, task) in (0u16..).zip(&stage.tasks) {
            let Some((slot, run)) = task.active_run else {
                census.waiting += usize::from(!task.is_done);
                continue;
            };
            let worker = self.workers.get(&slot);
            let allocation =
                worker.and_then(|worker| worker.allocations.get(&(id.task(index), run)));
            let Some(allocation) = allocation else {
                continue;
            };
            match allocation.phase {
                Phase::Running { .. } if allocation.first_confirmed.is_some() => {
                    census.running += 1
                }
                Phase::Running { .. } | Phase::Starting => census.ordered += 1,
                Phase::Recording => census.unsent += 1,
                Phase::Stopping { .. } => census.stopping += 1,
            }
        }
        census
    }
}

impl Stage {
    /// Returns the run of the gang's members that may be under way.
    pub(super) fn gang_run(&self) -> Option<Run> {
        let runs = self.tasks.iter().filter_map(|task| task.active_run);
        runs.map(|(_, run)| run).max()
    }
}
