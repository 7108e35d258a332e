//! The assembly of gangs: stops the members that run before they have waited too long for the others.
//!
//! On their workers, the members of a gang wait for each other for [`Bounds::gang_wait`] and then end. A scheduling pass
//! places missing members, if it gets to the gang. Whether members wait in vain is checked apart from the passes, since the
//! limit of the workspace, missing advice or the cost limit may keep a pass from a gang for longer than its members wait.
//!
//! [`Bounds::gang_wait`]: crate::bounds::Bounds::gang_wait

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    stage::Stage, //
};
use crate::{
    effect::LogRecord,
    id::{
        Run,
        StepId,
        TaskId, //
    },
    worker::Phase,
};

/// The time that the members of a gang wait for each other, divided by this, is how long missing members may still be
/// placed. After that the gang is stopped, while there is time left for the stop orders to arrive.
const REPAIR_DIVISOR: u32 = 2;
/// How long the start orders of members may go without an answer before the gang is stopped, in quarters of the time that
/// the members wait for each other. This is longer than for missing members, since a member without an answer may run.
const CONFIRMATION_QUARTERS: u32 = 3;

/// The current run of a gang, from its first start order or from the takeover on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Assembly {
    run: Run,
    /// When the first start order was sent; no member has waited for longer. For a run of a former owner, when it was
    /// taken over; members may have waited before.
    since: Timestamp,
    /// Whether all members were seen to run. From then on none of them waits for the others.
    is_whole: bool,
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
    /// Members that a former owner has ordered and that their workers don't list.
    pub unlisted: usize,
    /// Members that are being stopped.
    pub stopping: usize,
    /// Members without a run, or with another run than the others.
    pub waiting: usize,
}

impl Census {
    /// Returns whether all members run.
    const fn is_whole(&self) -> bool {
        self.ordered + self.unsent + self.stopping + self.missing() == 0
    }

    /// Returns the number of members that don't run and for which no order to start is under way.
    const fn missing(&self) -> usize {
        self.waiting + self.unlisted
    }
}

impl Engine {
    /// Notes that a task doesn't run, so that the other members of its gang may wait for it.
    pub(super) fn note_missing(&mut self, id: StepId, now: Timestamp) {
        if self.is_gang(id) {
            self.assemblies.set(id, Some(now));
        }
    }

    fn is_gang(&self, id: StepId) -> bool {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        step.is_some_and(|step| step.gang)
    }

    /// Notes that a run of a task may be under way from now on. The first one begins the assembly of its gang.
    pub(super) fn note_ordered(&mut self, id: StepId, run: Run, now: Timestamp) {
        if !self.is_gang(id) {
            return;
        }
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        let Some(stage) = stage else {
            return;
        };
        // An order of a former run may be carried out late.
        if stage.assembly.is_none_or(|assembly| assembly.run < run) {
            stage.assembly = Some(Assembly {
                run,
                since: now,
                is_whole: false,
            });
        }
        if stage.assembly.is_some_and(|assembly| !assembly.is_whole) {
            self.assemblies.set(id, Some(now));
        }
    }

    /// Notes that a worker lists a run for the first time, which may wait for other members of its gang.
    pub(super) fn note_listed(&mut self, id: StepId, run: Run, now: Timestamp) {
        let assembly = self.assembly(id, run);
        if assembly.is_some_and(|assembly| !assembly.is_whole) && !self.is_own(run) {
            self.assemblies.set(id, Some(now));
        }
    }

    /// Notes that a run is being stopped, so that the other members of its gang may wait for it.
    pub(super) fn note_stop(&mut self, id: StepId, now: Timestamp) {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let assembly = stage.and_then(|stage| stage.assembly);
        if assembly.is_some_and(|assembly| !assembly.is_whole) {
            self.assemblies.set(id, Some(now));
        }
    }

    /// Notes that all members of a gang's run seem to run: they are confirmed, or one of them is at work, which they are
    /// only together.
    ///
    /// Progress is not relied on for more than that: a member without an answer stays unconfirmed.
    pub(super) fn mark_whole(&mut self, id: StepId, run: Run) {
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        let assembly = stage.and_then(|stage| stage.assembly.as_mut());
        if let Some(assembly) = assembly.filter(|assembly| assembly.run == run) {
            assembly.is_whole = true;
        }
    }

    /// Returns whether all members of a gang's run seem to run.
    pub(super) fn is_gang_whole(&self, id: StepId, run: Run) -> bool {
        let assembly = self.assembly(id, run);
        assembly.is_some_and(|assembly| assembly.is_whole)
    }

    /// Returns what is known of the assembly of a gang's run; `None` if no order of it was sent.
    fn assembly(&self, id: StepId, run: Run) -> Option<Assembly> {
        let stage = self.jobs.get(&id.job)?.stage(id)?;
        stage.assembly.filter(|assembly| assembly.run == run)
    }

    /// Returns until when the members of a gang's run may wait for those that don't run; `None` if they must not wait.
    fn end_of_wait(&self, id: StepId, run: Run, census: &Census) -> Option<Timestamp> {
        let assembly = self.assembly(id, run)?;
        let wait = match (census.missing(), self.is_own(run)) {
            _ if assembly.is_whole || census.stopping > 0 => return None,
            (0, true) => self.bounds.gang_wait * CONFIRMATION_QUARTERS / 4,
            (0, false) | (_, true) => self.bounds.gang_wait / REPAIR_DIVISOR,
            // It isn't known for how long the others have waited.
            (_, false) => return None,
        };
        Some(assembly.since + wait)
    }

    /// Returns whether missing members of a partly started gang may be placed.
    pub(super) fn may_repair_gang(&self, id: StepId, run: Run, now: Timestamp) -> bool {
        let census = self.census(id, run);
        match self.end_of_wait(id, run, &census) {
            Some(end) => now < end,
            None => self.is_own(run) && self.assembly(id, run).is_none() && census.stopping == 0,
        }
    }

    /// Returns whether this owner has decided a run.
    fn is_own(&self, run: Run) -> bool {
        run >= self.epoch.first_run()
    }

    /// Returns whether members of a gang's run may wait for others. Of the members that a former owner has ordered, only
    /// those that their workers list may: stopping all others would be a call to each of their workers at a takeover.
    fn has_begun(&self, run: Run, census: &Census) -> bool {
        census.running > 0 || (census.ordered > 0 && self.is_own(run))
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
        let census = self.census(id, run);
        if census.is_whole() {
            return self.mark_whole(id, run);
        }
        let is_whole = self
            .assembly(id, run)
            .is_none_or(|assembly| assembly.is_whole);
        if !self.has_begun(run, &census) || (is_whole && census.missing() == 0) {
            return;
        }
        let end = self.end_of_wait(id, run, &census);
        let end = end.filter(|end| now < *end);
        if census.stopping == 0 && (end.is_none() || census.missing() > 0) {
            self.report_incomplete_gang(id, run, now);
        }
        if end.is_some() {
            return self.assemblies.set(id, end);
        }
        let is_own = self.is_own(run);
        for (index, slot, run) in self.gang_members(id) {
            if is_own || self.is_confirmed(slot, id.task(index), run) {
                self.stop(slot, id.task(index), run, "incomplete", now);
            }
        }
    }

    /// Returns whether a worker has confirmed or listed a run.
    fn is_confirmed(&self, slot: Slot, task: TaskId, run: Run) -> bool {
        let allocation = self.workers.get(&slot);
        let allocation = allocation.and_then(|worker| worker.allocations.get(&(task, run)));
        allocation.is_some_and(|allocation| allocation.first_confirmed.is_some())
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
        let assembly = self.assembly(id, run);
        let waits = stage.and_then(|stage| stage.wait_reason);
        self.log(LogRecord::Gang {
            step: id,
            run,
            state,
            members: self.census(id, run),
            age: assembly.map(|assembly| now.since(assembly.since)),
            waits,
        });
    }

    /// Returns how many members of a gang's run are in each state.
    fn census(&self, id: StepId, run: Run) -> Census {
        let mut census = Census::default();
        let Some(stage) = self.jobs.get(&id.job).and_then(|job| job.stage(id)) else {
            return census;
        };
        for (index, task) in (0u16..).zip(&stage.tasks) {
            let active = task.active_run.filter(|(_, active)| *active == run);
            let Some((slot, run)) = active else {
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
                Phase::Running { .. } if allocation.is_unlisted => census.unlisted += 1,
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
