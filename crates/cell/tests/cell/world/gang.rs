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
    /// Whether the members of gangs wait for each other.
    pub(super) are_simulated: bool,
    /// How each run of a gang ends once all its members have started, and after how long.
    ends: BTreeMap<(StepId, Run), (ExitReason, Duration)>,
    /// The runs of members that ended because the others did not start.
    alone: BTreeSet<(TaskId, Run)>,
}

impl World {
    /// Makes the members of gangs wait for each other from now on.
    pub(crate) fn simulate_gangs(&mut self) {
        self.gangs.are_simulated = true;
    }

    /// Returns the runs of members that ended because the others did not start.
    pub(crate) fn ended_alone(&self) -> Vec<(TaskId, Run)> {
        self.gangs.alone.iter().copied().collect()
    }

    pub(super) fn is_simulated_gang(&self, id: StepId) -> bool {
        self.gangs.are_simulated && self.step(id).is_some_and(|step| step.gang)
    }

    /// Notes how a gang's run ends, by the first of its members that starts.
    pub(super) fn plan_gang_end(&mut self, id: StepId, run: Run, end: (ExitReason, Duration)) {
        self.gangs.ends.entry((id, run)).or_insert(end);
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
        let end = self.gangs.ends.get(&(id, run)).copied();
        if let Some((reason, duration)) = end.filter(|_| started == count) {
            for worker in self.workers.values_mut() {
                worker.end_members(id, run, reason, now + duration);
            }
        }
    }

    /// Ends the other members of each gang of which one has ended without success.
    pub(super) fn break_gangs(&mut self) {
        if !self.gangs.are_simulated {
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
