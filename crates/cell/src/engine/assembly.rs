//! The assembly of gangs: the members that run wait for the others, and end if these don't come in time.
//!
//! A scheduling pass places missing members, if it gets to the gang. Whether members wait in vain is checked apart from
//! the passes, since the limit of the workspace, missing advice or the cost limit may keep a pass from a gang for longer
//! than its members wait.

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
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

/// The time that the members of a gang wait for each other, divided by this, is how long missing members may still be
/// placed. After that the gang is stopped, while there is time left for the stop orders to arrive.
const REPAIR_DIVISOR: u32 = 2;

/// The current run of a gang, from its first start order on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Assembly {
    run: Run,
    /// When the first start order was sent; no member has waited for longer.
    since: Timestamp,
}

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
    /// Returns whether a member may run, so that it waits for those that don't.
    const fn has_begun(&self) -> bool {
        self.running + self.ordered > 0
    }

    /// Returns whether a member may run and waits for one that doesn't.
    const fn is_incomplete(&self) -> bool {
        self.waiting > 0 && self.has_begun()
    }
}

impl Engine {
    /// Notes that a member of a gang has no run any more, so that the others may wait for it.
    pub(super) fn note_missing_member(&mut self, id: StepId, now: Timestamp) {
        self.assemblies.set(id, Some(now));
    }

    /// Notes that a start order for a task is sent, which begins the assembly of its gang if it is the first one.
    pub(super) fn note_order(&mut self, id: StepId, run: Run, now: Timestamp) {
        let job = self.jobs.get_mut(&id.job);
        let job = job.filter(|job| job.step(id).is_some_and(|step| step.gang));
        let Some(stage) = job.and_then(|job| job.stage_mut(id)) else {
            return;
        };
        if stage.assembly.is_none_or(|assembly| assembly.run != run) {
            stage.assembly = Some(Assembly { run, since: now });
        }
    }

    /// Returns until when missing members of a gang's run are placed; `None` if no order of the run was sent, or if a
    /// former owner has sent it.
    fn end_of_repair(&self, id: StepId, run: Run) -> Option<Timestamp> {
        let stage = self.jobs.get(&id.job)?.stage(id)?;
        let assembly = stage.assembly.filter(|assembly| assembly.run == run)?;
        Some(assembly.since + self.bounds.gang_wait / REPAIR_DIVISOR)
    }

    /// Returns whether missing members of a partly started gang may be placed.
    pub(super) fn may_repair_gang(&self, id: StepId, run: Run, now: Timestamp) -> bool {
        let census = self.census(id);
        let is_in_time = match self.end_of_repair(id, run) {
            Some(end) => now < end,
            None => !census.has_begun(),
        };
        is_in_time && census.stopping == 0
    }

    /// Stops the gangs of which members wait in vain for the others.
    pub(super) fn check_gangs(&mut self, now: Timestamp) {
        for id in self.assemblies.take_due(now) {
            let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
            if let Some(run) = stage.and_then(Stage::gang_run) {
                self.check_gang(id, run, now);
            }
        }
    }

    fn check_gang(&mut self, id: StepId, run: Run, now: Timestamp) {
        let census = self.census(id);
        if !census.is_incomplete() {
            return;
        }
        if census.stopping == 0 {
            self.report_incomplete_gang(id, run, now);
            if let Some(end) = self.end_of_repair(id, run).filter(|end| now < *end) {
                self.assemblies.set(id, Some(end));
                return;
            }
        }
        for (index, slot, run) in self.gang_members(id) {
            self.stop(slot, id.task(index), run, "incomplete", now);
        }
    }

    /// Returns the members of a gang that may be under way, each with its worker and its run.
    fn gang_members(&self, id: StepId) -> Vec<(u16, Slot, Run)> {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let tasks = stage
            .into_iter()
            .flat_map(|stage| (0u16..).zip(&stage.tasks));
        let members = tasks.filter_map(|(index, task)| {
            let (slot, run) = task.active_run?;
            Some((index, slot, run))
        });
        members.collect()
    }

    /// Logs that a gang lacks members, once a run.
    fn report_incomplete_gang(&mut self, id: StepId, run: Run, now: Timestamp) {
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        let is_new = stage.is_some_and(|stage| stage.reported_run.replace(run) != Some(run));
        if is_new {
            self.log_gang(id, run, "incomplete", now);
        }
    }

    /// Logs the state of a gang.
    pub(super) fn log_gang(&mut self, id: StepId, run: Run, state: &'static str, now: Timestamp) {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let assembly = stage.and_then(|stage| stage.assembly);
        let assembly = assembly.filter(|assembly| assembly.run == run);
        let waits = stage.and_then(|stage| stage.wait_reason);
        self.log(LogRecord::Gang {
            step: id,
            run,
            state,
            members: self.census(id),
            age: assembly.map(|assembly| now.since(assembly.since)),
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
                    census.running += 1;
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
