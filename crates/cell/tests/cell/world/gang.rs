//! Gangs as the platform runs them: the members of a run wait for each other, work together and end together.
//!
//! Histories from before keep members that run by themselves, so that their seeds still give the same histories.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use fulmarpier_cell::{
    bounds::Bounds,
    event::ExitReason,
    id::{
        Run,
        StepId,
        TaskId, //
    },
};

use super::World;

/// What the world remembers of gangs.
#[derive(Debug, Default)]
pub(super) struct Gangs {
    /// How long gangs work once all their members have started, if members wait for each other.
    work: Option<Duration>,
    /// How each run of a gang ends.
    ends: BTreeMap<(StepId, Run), ExitReason>,
    /// The runs of members that ended because the others did not start.
    alone: BTreeSet<(TaskId, Run)>,
}

impl World {
    /// Makes the members of gangs wait for each other from now on, and then work for some time.
    pub(crate) fn simulate_gangs(&mut self, work: Duration) {
        self.gangs.work = Some(work);
    }

    /// Returns the runs of members that ended because the others did not start.
    pub(crate) fn ended_alone(&self) -> Vec<(TaskId, Run)> {
        self.gangs.alone.iter().copied().collect()
    }

    pub(super) fn is_simulated_gang(&self, id: StepId) -> bool {
        self.gangs.work.is_some() && self.step(id).is_some_and(|step| step.gang)
    }

    /// Notes how a gang's run ends, by the first of its members that starts.
    pub(super) fn plan_gang_end(&mut self, id: StepId, run: Run, reason: ExitReason) {
        self.gangs.ends.entry((id, run)).or_insert(reason);
    }

    /// Lets a gang's run begin to work if all its members have started.
    pub(super) fn assemble_gang(&mut self, id: StepId, run: Run) {
        let now = self.now;
        let count = self.step(id).map_or(0, |step| usize::from(step.count));
        let started: usize = self
            .workers
            .values()
            .map(|worker| worker.members(id, run))
            .sum();
        let reason = self.gangs.ends.get(&(id, run)).copied();
        if let Some((reason, work)) = reason.zip(self.gangs.work).filter(|_| started == count) {
            for worker in self.workers.values_mut() {
                worker.end_members(id, run, reason, now + work);
                worker.begin_work(id, run, now);
            }
        }
    }

    /// Ends the other members of each gang of which one has ended without success.
    pub(super) fn break_gangs(&mut self) {
        if self.gangs.work.is_none() {
            return;
        }
        let ended = self.workers.values().flat_map(|worker| worker.ends());
        let ended: Vec<(TaskId, Run, ExitReason)> = ended.collect();
        for (task, run, reason) in ended {
            if reason == ExitReason::GangTimeout {
                self.gangs.alone.insert((task, run));
            }
            let is_whole = reason == ExitReason::Done;
            if is_whole || !self.gangs.ends.contains_key(&(task.step, run)) {
                continue;
            }
            for worker in self.workers.values_mut() {
                worker.end_members(task.step, run, ExitReason::GangBroken, self.now);
            }
        }
    }
}

/// Returns how long a member waits for the others.
pub(super) fn wait() -> Duration {
    Bounds::default().gang_wait
}
