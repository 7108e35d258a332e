//! Jobs and cancellations that come in, and steps whose turn comes.

use fulmarpier_state::clock::Timestamp;

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
        Cancellation,
        Progress, //
    },
};

impl Engine {
    /// Takes a job whose acceptance is on record; false where it is known already.
    pub fn submit(&mut self, accepted: Accepted, now: Timestamp) -> bool {
        if self.jobs.contains_key(&accepted.job) {
            return self.confirm_announced(accepted.job, now);
        }
        if self.ended.contains_key(&accepted.job) {
            // It was handed in again after its end, and stands on record again.
            self.forgotten.push(Forgotten {
                job: accepted.job,
                partition: accepted.partition,
                cancellation: None,
            });
            return false;
        }
        self.insert(Job::new(accepted, &Progress::default()), now);
        true
    }

    /// Takes a job that a former owner may have begun.
    ///
    /// A job that was handed in at two nodes is on record twice; it is one job.
    pub(super) fn inherit(&mut self, accepted: Accepted, progress: Progress, now: Timestamp) {
        if self.jobs.contains_key(&accepted.job) {
            return;
        }
        self.inherit_crashes(accepted.job, &progress);
        self.insert(Job::new(accepted, &progress), now);
    }

    pub(super) fn insert(&mut self, mut job: Job, now: Timestamp) {
        let id = job.accepted.job;
        job.is_cancelled = self.cancelled.contains_key(&id);
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
    pub fn cancel(&mut self, id: JobId, cancellation: Cancellation, now: Timestamp) -> bool {
        self.note_cancelled(id, cancellation);
        let Some(job) = self.jobs.get_mut(&id) else {
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
    pub(super) fn note_cancelled(&mut self, id: JobId, cancellation: Cancellation) {
        let noted = self.cancelled.entry(id).or_insert(cancellation);
        *noted = cancellation.max(*noted);
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
