//! Throttling of best-effort tasks that share a worker with latency-sensitive tasks.
//!
//! Best-effort tasks (steps with `is_best_effort`) use the CPU that others leave. They slow latency-sensitive tasks
//! (steps with a `target`) down by an amount that can't be predicted. Workers report how close the latency-sensitive
//! tasks are to their target, and the CPU share of the best-effort tasks is reduced at once and raised again in small
//! increments.

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
        Throttle, //
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

/// The share without throttling.
const FULL_SHARE_PERCENT: u8 = 100;
/// The time until the effect of a change is visible: the change takes 0.1 s, and a worker's load figure covers half a
/// second.
const SETTLING_TIME: Duration = Duration::from_millis(700);
/// The share is halved if any latency-sensitive task is at or above this fraction of its target.
const REDUCE_AT_LOAD_RATIO: f64 = 0.85;
/// The share is raised if all latency-sensitive tasks are at or below this fraction of their targets.
const RAISE_AT_LOAD_RATIO: f64 = 0.6;
/// The increment by which the share is raised. It takes 7 s from zero to the full share.
const SHARE_INCREMENT_PERCENT: u8 = 10;
/// A smaller share is rounded down to zero.
const MIN_SHARE_PERCENT: u8 = 10;

/// The CPU share of the best-effort tasks on a worker.
#[derive(Clone, Debug)]
pub struct Throttling {
    share: u8,
    /// When the share was last changed.
    last_change: Timestamp,
    /// Whether best-effort and latency-sensitive tasks share the worker.
    pub is_shared: bool,
    /// The share that the worker has confirmed for each run; a run without an entry has the full share.
    confirmed_shares: BTreeMap<(TaskId, Run), u8>,
}

impl Default for Throttling {
    fn default() -> Self {
        Self {
            share: FULL_SHARE_PERCENT,
            last_change: Timestamp::ZERO,
            is_shared: false,
            confirmed_shares: BTreeMap::new(),
        }
    }
}

impl Throttling {
    /// Adjusts the share to the highest ratio of load to target among the latency-sensitive tasks; `None` if there are
    /// no such tasks. A ratio of 1 means that the target is reached.
    fn adjust(&mut self, load_ratio: Option<f64>, now: Timestamp) {
        let Some(load_ratio) = load_ratio else {
            self.share = FULL_SHARE_PERCENT;
            return;
        };
        if now.since(self.last_change) < SETTLING_TIME {
            return;
        }
        let share = match load_ratio {
            load_ratio if load_ratio >= 1.0 => 0,
            load_ratio if load_ratio >= REDUCE_AT_LOAD_RATIO => self.share / 2,
            load_ratio if load_ratio <= RAISE_AT_LOAD_RATIO => {
                (self.share + SHARE_INCREMENT_PERCENT).min(FULL_SHARE_PERCENT)
            }
            _ => self.share,
        };
        let share = if share < MIN_SHARE_PERCENT { 0 } else { share };
        if share != self.share {
            self.share = share;
            self.last_change = now;
        }
    }
}

impl Engine {
    /// Sets the share of a worker's best-effort tasks according to its inventory.
    pub(super) fn throttle(&mut self, slot: Slot, running: &[Running], now: Timestamp) {
        let mut load_ratio: Option<f64> = None;
        let mut best_effort_runs = Vec::new();
        for run in running {
            let job = self.jobs.get(&run.task.step.job);
            let Some(step) = job.and_then(|job| job.step(run.task.step)) else {
                continue;
            };
            if step.is_best_effort {
                best_effort_runs.push((run.task, run.run));
            }
            if let Some(target) = step.target.filter(|target| !target.is_zero()) {
                let ratio = f64::from(run.load) / (target.as_secs_f64() * 1_000.0);
                load_ratio = Some(load_ratio.map_or(ratio, |highest| highest.max(ratio)));
            }
        }
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let throttling = &mut worker.throttling;
        throttling.is_shared = load_ratio.is_some() && !best_effort_runs.is_empty();
        throttling
            .confirmed_shares
            .retain(|run, _| best_effort_runs.contains(run));
        throttling.adjust(load_ratio, now);
        let share = throttling.share;
        best_effort_runs.retain(|run| {
            throttling
                .confirmed_shares
                .get(run)
                .copied()
                .unwrap_or(FULL_SHARE_PERCENT)
                != share
        });
        if best_effort_runs.is_empty() {
            return;
        }
        let to = worker.destination();
        self.outbox
            .extend(best_effort_runs.into_iter().map(|(task, run)| {
                Effect::Throttle(Throttle {
                    to: to.clone(),
                    task,
                    run,
                    percent: share,
                })
            }));
    }

    /// Handles the answer to an order that sets a share. An unanswered order is sent again with the next inventory.
    pub fn handle_throttle_answer(
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
                    worker
                        .throttling
                        .confirmed_shares
                        .insert((task, run), percent);
                }
            }
            StopAnswer::NoAnswer => {}
            StopAnswer::Fenced if self.may_have_stale_orders(slot) => {}
            StopAnswer::Fenced => self.end_fenced(worker, "throttle", now),
            StopAnswer::Replaced if self.was_ordered_elsewhere(slot, task, run) => {}
            StopAnswer::Replaced => self.remove_lost_worker(slot, "replaced", now),
        }
    }

    /// Returns the number of tasks on a worker that would interfere with tasks of a step: best-effort tasks and, if the
    /// step is best-effort itself, latency-sensitive ones.
    pub(super) fn interference_count(&self, demand: &Demand<'_>, worker: &Worker) -> usize {
        let (is_best_effort, is_latency_sensitive) =
            (demand.step.is_best_effort, demand.step.target.is_some());
        if !is_best_effort && !is_latency_sensitive {
            return 0;
        }
        let steps = worker.allocations.keys().filter_map(|(task, _)| {
            let job = self.jobs.get(&task.step.job)?;
            job.step(task.step)
        });
        steps
            .filter(|step| step.is_best_effort || (is_best_effort && step.target.is_some()))
            .count()
    }
}
