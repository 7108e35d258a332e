//! Pacing of tasks that fill, beside tasks that serve their own users.
//!
//! What fills takes the processor time that others leave, and disturbs those that serve by an amount that
//! nobody can foresee. Workers tell how close the serving ones are to their target; filling ones work at a
//! share that is cut at once and given back bit by bit.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    place::Demand, //
};
use crate::{
    effect::{
        Effect,
        Pace, //
    },
    event::{
        Running,
        StopAnswer, //
    },
    id::{
        Run,
        TaskId,
        WorkerId, //
    },
    worker::Worker,
};

/// The full share.
const FULL: u8 = 100;
/// The time until a change shows: it holds after 0.1 s, and a worker's figure covers half a second.
const SETTLES: Duration = Duration::from_millis(700);
/// From this part of its target on a serving task is too close to it, and the share is halved.
const CLOSE: f64 = 0.85;
/// Below this part of all targets the share is raised.
const CALM: f64 = 0.6;
/// By so much the share is raised; from nothing to the whole it takes 7 s.
const RAISE: u8 = 10;
/// A smaller share is none.
const LEAST: u8 = 10;

/// The share at which the filling tasks of a worker work.
#[derive(Clone, Debug)]
pub struct Pacing {
    share: u8,
    /// When it was changed last.
    changed: Timestamp,
    /// Whether filling and serving tasks run side by side.
    pub is_mixed: bool,
    /// What the worker has confirmed, where that isn't the whole.
    told: BTreeMap<(TaskId, Run), u8>,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            share: FULL,
            changed: Timestamp::ZERO,
            is_mixed: false,
            told: BTreeMap::new(),
        }
    }
}

impl Pacing {
    /// Takes in how close the serving tasks are to their target: one is on it; `None` without any.
    fn adjust(&mut self, strain: Option<f64>, now: Timestamp) {
        let Some(strain) = strain else {
            self.share = FULL;
            return;
        };
        if now.since(self.changed) < SETTLES {
            return;
        }
        let share = match strain {
            strain if strain >= 1.0 => 0,
            strain if strain >= CLOSE => self.share / 2,
            strain if strain <= CALM => (self.share + RAISE).min(FULL),
            _ => self.share,
        };
        let share = if share < LEAST { 0 } else { share };
        if share != self.share {
            self.share = share;
            self.changed = now;
        }
    }
}

impl Engine {
    /// Sets the pace of a worker's filling tasks by its inventory.
    pub(super) fn pace(&mut self, slot: Slot, running: &[Running], now: Timestamp) {
        let mut strain: Option<f64> = None;
        let mut fillers = Vec::new();
        for run in running {
            let job = self.jobs.get(&run.task.step.job);
            let Some(step) = job.and_then(|job| job.step(run.task.step)) else {
                continue;
            };
            if step.fills {
                fillers.push((run.task, run.run));
            }
            if let Some(target) = step.target.filter(|target| !target.is_zero()) {
                let close = f64::from(run.load) / (target.as_secs_f64() * 1_000.0);
                strain = Some(strain.map_or(close, |most| most.max(close)));
            }
        }
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let pacing = &mut worker.pacing;
        pacing.is_mixed = strain.is_some() && !fillers.is_empty();
        pacing.told.retain(|run, _| fillers.contains(run));
        pacing.adjust(strain, now);
        let share = pacing.share;
        fillers.retain(|run| pacing.told.get(run).copied().unwrap_or(FULL) != share);
        if fillers.is_empty() {
            return;
        }
        let to = worker.destination();
        self.outbox.extend(fillers.into_iter().map(|(task, run)| {
            Effect::Pace(Pace {
                to: to.clone(),
                task,
                run,
                percent: share,
            })
        }));
    }

    /// Takes the answer to an order to pace; one without an answer is given again with the next inventory.
    pub fn paced(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        run: Run,
        percent: u8,
        answer: StopAnswer,
        now: Timestamp,
    ) {
        let Some(slot) = self.slots.get(worker).copied() else {
            return;
        };
        match answer {
            StopAnswer::Confirmed => {
                if let Some(worker) = self.workers.get_mut(&slot) {
                    worker.pacing.told.insert((task, run), percent);
                }
            }
            StopAnswer::Silent => {}
            StopAnswer::Fenced if self.may_be_outdated(slot) => {}
            StopAnswer::Fenced => self.outbox.push(Effect::Deposed),
            StopAnswer::Gone => self.lose_worker(slot, "replaced", now),
        }
    }

    /// Returns how many tasks on a worker a step would disturb or be disturbed by, and how many fill there
    /// already that it would share with.
    pub(super) fn clashes(&self, demand: &Demand<'_>, worker: &Worker) -> usize {
        let (fills, serves) = (demand.step.fills, demand.step.target.is_some());
        if !fills && !serves {
            return 0;
        }
        let steps = worker.claims.keys().filter_map(|(task, _)| {
            let job = self.jobs.get(&task.step.job)?;
            job.step(task.step)
        });
        steps
            .filter(|step| step.fills || (fills && step.target.is_some()))
            .count()
    }
}
