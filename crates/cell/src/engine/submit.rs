//! Jobs and cancellations that come in, and steps whose turn comes.

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};

use super::{
    Engine,
    job::Job, //
};
use crate::{
    effect::Forgotten,
    id::{
        JobId,
        StepId, //
    },
    record::{
        Accepted,
        Cancelled,
        Progress, //
    },
    workspace::is_seen_by,
};

impl Engine {
    /// Takes a job whose acceptance is on record; false where it is known already.
    pub fn submit(&mut self, accepted: Accepted, now: Timestamp) -> bool {
        let known = self.jobs.get(&accepted.job);
        if known.is_some_and(|job| job.workspace() == accepted.workspace_name()) {
            return self.confirm_announced(accepted.job, now);
        }
        if known.is_some() || self.ended.contains_key(&accepted.job) {
            // It was handed in again after its end and stands on record again, or its id is that of another workspace's job.
            self.turn_down(&accepted);
            return false;
        }
        self.insert(Job::new(accepted, &Progress::default()), now);
        true
    }

    /// Has the acceptance of a job that isn't to run taken off the record.
    fn turn_down(&mut self, accepted: &Accepted) {
        self.forgotten.push(Forgotten {
            job: accepted.job,
            workspace: accepted.workspace_name().cloned(),
            partition: accepted.partition,
            cancellation: None,
        });
    }

    /// Takes a job that a former owner may have begun.
    ///
    /// A job that was handed in at two nodes is on record twice; it is one job. The id of one workspace's job is no other
    /// one's: whose has come some way has it, else whose is known first.
    pub(super) fn inherit(
        &mut self,
        accepted: Accepted,
        progress: &mut HashMap<JobId, Progress>,
        now: Timestamp,
    ) {
        let id = accepted.job;
        let known = self.jobs.get(&id).map(Job::workspace);
        let come = progress.get(&id).map(|come| come.workspace.as_ref());
        match known.or(come) {
            Some(holder) if holder != accepted.workspace_name() => self.turn_down(&accepted),
            _ if known.is_some() => {}
            _ => {
                let progress = progress.remove(&id).unwrap_or_default();
                self.inherit_crashes(id, &progress);
                self.insert(Job::new(accepted, &progress), now);
            }
        }
    }

    pub(super) fn insert(&mut self, mut job: Job, now: Timestamp) {
        let id = job.accepted.job;
        job.is_cancelled = self.is_cancelled(&job);
        self.open_account(&mut job);
        let is_over = job.is_over();
        let schedule = job.spec().schedule;
        self.jobs.insert(id, job);
        if is_over {
            self.note_over(id, now);
            return;
        }
        match schedule {
            Some(schedule) => {
                for occurrence in 0..schedule.times {
                    let at = Timestamp::ZERO + schedule.first + schedule.period * occurrence;
                    match at <= now {
                        // A worker may run it by order of a former owner.
                        true => self.begin_occurrence(id, occurrence, now),
                        false => drop(self.due.insert((at, id, occurrence))),
                    }
                }
            }
            None => self.begin_occurrence(id, 0, now),
        }
    }

    /// Begins the occurrences whose time has come.
    pub(super) fn open_due(&mut self, now: Timestamp) {
        while let Some((at, job, occurrence)) = self.due.first().copied() {
            if at > now {
                return;
            }
            self.due.pop_first();
            self.begin_occurrence(job, occurrence, now);
        }
    }

    fn begin_occurrence(&mut self, id: JobId, occurrence: u32, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_over()) else {
            return;
        };
        job.begin_occurrence(occurrence, &[]);
        self.claim_strangers(id);
        self.open_steps(id, now);
    }

    /// Opens the steps of a job that wait for nothing, by what is on record.
    pub(super) fn open_steps(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_over()) else {
            return;
        };
        let spec = job.spec().clone();
        let started = self.gangs_started.get(&job.accepted.queue.name);
        let started = started.copied().unwrap_or_default();
        for (occurrence, stages) in &mut job.occurrences {
            for (index, step) in spec.steps.iter().enumerate() {
                let is_ready = step.after.iter().all(|after| {
                    let earlier = &stages[usize::from(*after)];
                    usize::from(earlier.kept) == earlier.tasks.len()
                });
                let stage = &mut stages[index];
                if !is_ready || stage.waiting.is_empty() {
                    continue;
                }
                if stage.opened.is_none() {
                    stage.opened = Some(now);
                    stage.started_before = started;
                }
                self.agenda.insert(StepId {
                    job: id,
                    occurrence: *occurrence,
                    step: u16::try_from(index).unwrap_or(u16::MAX),
                });
                self.is_stirred = true;
            }
        }
    }

    /// Cancels a job, whose cancellation is on record; returns whether the job is known.
    ///
    /// One that is not known yet is cancelled once it is: its acceptance may be on record already, or on its way.
    pub fn cancel(&mut self, cancelled: &Cancelled, now: Timestamp) -> bool {
        self.note_cancelled(cancelled);
        let id = cancelled.job;
        let job = self.jobs.get_mut(&id);
        let own = job.filter(|job| is_seen_by(cancelled.workspace.as_ref(), job.workspace()));
        let Some(job) = own else {
            return false;
        };
        if job.is_over() {
            return true;
        }
        job.is_cancelled = true;
        self.note_over(id, now);
        self.close(id, "cancelled", now);
        true
    }

    /// Notes a cancellation; that a job was on record stays known.
    pub(super) fn note_cancelled(&mut self, cancelled: &Cancelled) {
        let key = (cancelled.job, cancelled.workspace.clone());
        let noted = self.cancelled.entry(key).or_insert(cancelled.cancellation);
        *noted = cancelled.cancellation.max(*noted);
    }

    /// Returns whether a job was cancelled by somebody who may.
    fn is_cancelled(&self, job: &Job) -> bool {
        let mut cancelled = self.cancellations(job.accepted.job);
        cancelled.any(|(by, _)| is_seen_by(by, job.workspace()))
    }

    /// Takes a job that is over out of all queues and stops what runs of it.
    pub(super) fn close(&mut self, id: JobId, why: &'static str, now: Timestamp) {
        self.agenda.remove_job(id);
        self.aside.retain(|step| step.job != id);
        let mut active = Vec::new();
        if let Some(job) = self.jobs.get(&id) {
            for (occurrence, stages) in &job.occurrences {
                for (index, stage) in (0u16..).zip(stages) {
                    let step = StepId {
                        job: id,
                        occurrence: *occurrence,
                        step: index,
                    };
                    let tasks = (0u16..).zip(&stage.tasks);
                    active.extend(tasks.filter_map(|(index, task)| {
                        task.active.map(|(slot, run)| (slot, step.task(index), run))
                    }));
                }
            }
        }
        for (slot, task, run) in active {
            self.stop(slot, task, run, why, now);
        }
    }

    /// Notes that a task of a job was seen on a worker.
    ///
    /// A decision to start one is not enough: its order may come to nothing.
    pub(super) fn mark_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_begun = true;
        }
    }
}
