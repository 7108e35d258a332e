//! Why open steps wait: logs each change of the reason, and parks steps that no known worker can run.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    unit::Millicores, //
};

use super::{
    Engine,
    place::{
        Demand,
        fit_count, //
    },
    stage::Stage, //
};
use crate::{
    config::Queue,
    effect::LogRecord,
    id::StepId,
    job::{
        Spec,
        Step, //
    },
    worker::Worker,
};

/// The interval between two evaluations of why a step waits, and the delay before the first one.
///
/// Most steps are placed before that, and an evaluation examines every worker.
const WAIT_REASON_INTERVAL: Duration = Duration::from_secs(1);

/// Why tasks of a step that may start don't.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker of the step's pool has the label that the step requires.
    Label,
    /// No worker of the pool that has the label is large enough, even when empty.
    Size,
    /// None of the workers that could run the step accepts tasks: they are silent, leaving or have not answered yet.
    NotAccepting,
    /// The workers that could run the step are in evacuated data centres.
    Evacuated,
    /// There is no recent information about which data centres are evacuated.
    EvacuationUnknown,
    /// No node is free to ask the advice service about the step.
    AdviceNode,
    /// A call to the advice service is under way.
    Advice,
    /// The advice service allows none of the workers that it was asked about.
    NotAllowed,
    /// The workers that may run the step have no free capacity for its tasks.
    FreeCapacity,
    /// There is free capacity, but the tickets for those workers have expired.
    Ticket,
    /// Workers have crashed while running the step's tasks, which must run alone, and no worker is empty.
    EmptyWorker,
    /// There is free capacity, but too little for a whole gang, or it is reserved for another step.
    Reserved,
    /// The waiting tasks may have used all their attempts: runs on lost workers may yet be reported to have failed, or
    /// crashes are not settled.
    Attempts,
    /// The step's workspace is at its limit, or the rest of the limit is reserved for a step of higher rank.
    Limit,
}

impl WaitReason {
    /// Returns the reason as one word, for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Label => "label",
            Self::Size => "size",
            Self::NotAccepting => "closed",
            Self::Evacuated => "evacuated",
            Self::EvacuationUnknown => "evacuation-unknown",
            Self::AdviceNode => "desk",
            Self::Advice => "advice",
            Self::NotAllowed => "barred",
            Self::FreeCapacity => "room",
            Self::Ticket => "ticket",
            Self::EmptyWorker => "alone",
            Self::Reserved => "kept",
            Self::Attempts => "attempts",
            Self::Limit => "limit",
        }
    }
}

/// A requirement of a step that no worker meets.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnmetRequirement {
    /// No worker of the pool has the label.
    #[error("no worker has the label `{0}`")]
    Label(Arc<str>),
    /// No worker of the pool that has the label is large enough.
    #[error("no worker is large enough for a task of step {0}")]
    Size(usize),
}

/// Counts of the workers that were examined when the wait reason was evaluated, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitSurvey {
    /// Workers that the advice service was asked about.
    pub asked: usize,
    /// Workers that have the label, are large enough and may run the step, as far as is known.
    pub allowed: usize,
    /// The allowed workers that accept new tasks.
    pub available: usize,
    /// How many tasks of the step fit on the available workers.
    pub fitting_tasks: usize,
    /// How many of these tasks fit on workers for which there is a usable ticket.
    pub fitting_tasks_with_ticket: usize,
    /// The longest time since any of the allowed workers last answered.
    pub longest_silence: Option<Duration>,
}

/// Returns whether an empty worker could run tasks of a step.
fn fits_when_empty(step: &Step, queue: &Queue, worker: &Worker) -> bool {
    has_label(step, queue, worker)
        && super::place::worker_resources(step).fits(&worker.registration.capacity)
}

fn has_label(step: &Step, queue: &Queue, worker: &Worker) -> bool {
    let label = step.requires.as_deref();
    worker.registration.pool == queue.pool && label.is_none_or(|label| worker.has_label(label))
}

/// Returns when it is evaluated next why a step waits.
pub(super) fn next_wait_reason(stage: &Stage, now: Timestamp) -> Timestamp {
    let opened = stage.opened_at.unwrap_or(now);
    stage.wait_reason_at.max(opened) + WAIT_REASON_INTERVAL
}

impl From<&UnmetRequirement> for WaitReason {
    fn from(unmet: &UnmetRequirement) -> Self {
        match unmet {
            UnmetRequirement::Label(_) => Self::Label,
            UnmetRequirement::Size(_) => Self::Size,
        }
    }
}

impl Engine {
    /// Returns the first requirement of a job that no known worker of its queue's pool meets, even when empty.
    ///
    /// Returns `None` if no worker of the pool is known, since nothing can be concluded then.
    pub fn unmet_requirement(&self, queue: &Queue, spec: &Spec) -> Option<UnmetRequirement> {
        let mut steps = spec.steps.iter().enumerate();
        steps.find_map(|(index, step)| self.unmet_requirement_of(step, index, queue))
    }

    fn unmet_requirement_of(
        &self,
        step: &Step,
        index: usize,
        queue: &Queue,
    ) -> Option<UnmetRequirement> {
        if self.free_capacity.worker_count(&queue.pool) == 0 {
            return None;
        }
        let mut workers = self.workers.values();
        if workers.any(|worker| fits_when_empty(step, queue, worker)) {
            return None;
        }
        let mut workers = self.workers.values();
        let label = step.requires.as_ref();
        let is_missing = !workers.any(|worker| has_label(step, queue, worker));
        Some(match label.filter(|_| is_missing) {
            Some(label) => UnmetRequirement::Label(label.clone()),
            None => UnmetRequirement::Size(index),
        })
    }

    /// Parks a step that no known worker could run; returns whether it did.
    ///
    /// The step is reopened when a worker is listed or changes. If steps that can't run stayed among the open ones,
    /// they would use up the cost limit of a scheduling pass: behind 400 of them, 40 quick jobs on idle workers
    /// are not done after 30 s; with parking they are done after 6 s (virtual time, 8 workers).
    pub(super) fn park_unschedulable(&mut self, id: StepId, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(demand) = self.demand(job, id) else {
            return false;
        };
        let index = usize::from(id.step);
        let Some(unmet) = self.unmet_requirement_of(demand.step, index, demand.queue) else {
            return false;
        };
        self.open_steps.remove(id);
        self.unschedulable.insert(id);
        self.set_wait_reason(id, WaitReason::from(&unmet), WaitSurvey::default(), now);
        true
    }

    /// Reopens all parked steps, because new or changed workers may run them.
    pub(super) fn reopen_unschedulable(&mut self) {
        for id in std::mem::take(&mut self.unschedulable) {
            let job = self.jobs.get(&id.job).filter(|job| !job.is_over());
            let account = job.and_then(|job| job.account);
            let stage = job.and_then(|job| job.stage(id));
            if stage.is_some_and(|stage| !stage.waiting.is_empty()) {
                self.open_steps.insert(id, account);
                self.needs_pass = true;
            }
        }
    }

    /// Evaluates periodically why a step waits, and logs the reason if it has changed.
    pub(super) fn update_wait_reason(&mut self, id: StepId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return;
        };
        if self.is_wait_reason_recent(id, now) {
            return;
        }
        let survey = self.survey(&demand, now);
        let is_asked = demand.queue.advice.is_none() || stage.advice.is_answered;
        let why = match survey {
            _ if !is_asked && stage.advice.calls_in_flight > 0 => WaitReason::Advice,
            _ if !is_asked && self.has_available_worker(&demand, now) => WaitReason::AdviceNode,
            WaitSurvey { available: 0, .. } if self.is_pool_evacuated(&demand) => {
                WaitReason::Evacuated
            }
            WaitSurvey { allowed: 0, .. } if is_asked => WaitReason::NotAllowed,
            WaitSurvey { available: 0, .. } => WaitReason::NotAccepting,
            _ if stage.are_all_suspects() => WaitReason::EmptyWorker,
            WaitSurvey {
                fitting_tasks: 0, ..
            } => WaitReason::FreeCapacity,
            WaitSurvey {
                fitting_tasks_with_ticket: 0,
                ..
            } => WaitReason::Ticket,
            _ => WaitReason::Reserved,
        };
        self.set_wait_reason(id, why, survey, now);
    }

    /// Logs a wait reason that is known without examining workers, at the same interval.
    pub(super) fn update_known_wait_reason(&mut self, id: StepId, why: WaitReason, now: Timestamp) {
        if !self.is_wait_reason_recent(id, now) {
            self.set_wait_reason(id, why, WaitSurvey::default(), now);
        }
    }

    /// Returns whether the wait reason of a step was evaluated recently.
    pub(super) fn is_wait_reason_recent(&self, id: StepId, now: Timestamp) -> bool {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        stage.is_none_or(|stage| now < next_wait_reason(stage, now))
    }

    /// Returns whether any worker accepts tasks of a step, regardless of free capacity and advice.
    fn has_available_worker(&self, demand: &Demand<'_>, now: Timestamp) -> bool {
        let slots = self
            .free_capacity
            .with_free_cpu(&demand.queue.pool, Millicores(0));
        let mut workers = slots.filter_map(|slot| self.workers.get(&slot));
        workers.any(|worker| demand.admits(worker, now))
    }

    /// Counts the workers that matter for a step's wait reason.
    fn survey(&self, demand: &Demand<'_>, now: Timestamp) -> WaitSurvey {
        let mut survey = WaitSurvey::default();
        let job = self.jobs.get(&demand.id.job);
        let Some(stage) = job.and_then(|job| job.stage(demand.id)) else {
            return survey;
        };
        survey.asked = stage.advice.asked.len();
        let needs_no_ticket = demand.queue.advice.is_none();
        let departure = self.expected_departure(now);
        let has_ticket = |slot, worker| {
            needs_no_ticket || stage.advice.ticket(slot, worker, departure).is_some()
        };
        for (slot, worker) in self.candidates(demand, stage) {
            if !fits_when_empty(demand.step, demand.queue, worker) {
                continue;
            }
            survey.allowed += 1;
            survey.longest_silence = survey
                .longest_silence
                .max(worker.heard.map(|heard| now.since(heard)));
            if !worker.is_available(now) {
                continue;
            }
            survey.available += 1;
            let count = fit_count(&worker.free, &demand.size);
            survey.fitting_tasks += count;
            survey.fitting_tasks_with_ticket += if has_ticket(slot, worker) { count } else { 0 };
        }
        survey
    }

    /// Stores the wait reason of a step, and logs it if it has changed.
    pub(super) fn set_wait_reason(
        &mut self,
        id: StepId,
        why: WaitReason,
        survey: WaitSurvey,
        now: Timestamp,
    ) {
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        let Some(stage) = stage else {
            return;
        };
        stage.wait_reason_at = now;
        if stage.wait_reason.replace(why) == Some(why) {
            return;
        }
        let tasks = stage.waiting.len();
        let waited = stage.opened_at.map(|opened| now.since(opened));
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let label = step.and_then(|step| step.requires.clone());
        self.log(LogRecord::Waiting {
            step: id,
            why,
            label,
            tasks,
            survey,
            waited: waited.unwrap_or_default(),
        });
    }
}
