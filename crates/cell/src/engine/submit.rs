//! Acceptance and cancellation of jobs, and opening of steps that are ready.

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};

use super::{
    Engine,
    job::Job, //
};
use crate::{
    effect::Removal,
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
    /// Adds a job whose acceptance is on record. Returns false if the job is known already.
    pub fn submit(&mut self, accepted: Accepted, now: Timestamp) -> bool {
        let known = self.jobs.get(&accepted.job);
        if known.is_some_and(|job| job.workspace() == accepted.workspace_name()) {
            return self.confirm_announced(accepted.job, now);
        }
        if known.is_some() || self.outcomes.contains(accepted.job) {
            // The job was submitted again after its end, which put it on record again, or its id belongs to a job of
            // another workspace.
            self.reject(&accepted);
            return false;
        }
        let id = accepted.job;
        self.add_job(Job::new(accepted, &Progress::default()), now);
        self.count_job(id, now);
        true
    }

    /// Schedules the deletion of a recorded acceptance whose job must not run.
    fn reject(&mut self, accepted: &Accepted) {
        self.pending_removals.push(Removal {
            job: accepted.job,
            workspace: accepted.workspace_name().cloned(),
            partition: accepted.partition,
            cancellation: None,
        });
    }

    /// Restores a job that a former owner may have started.
    ///
    /// A job that was submitted at two nodes is on record twice but is one job. If jobs of two workspaces have the same
    /// id, the one that has recorded progress keeps it, otherwise the one that is restored first.
    pub(super) fn restore_job(
        &mut self,
        accepted: Accepted,
        progress: &mut HashMap<JobId, Progress>,
        now: Timestamp,
    ) {
        let id = accepted.job;
        if self.outcomes.contains(id) {
            // The former owner stopped before it removed the acceptance.
            self.reject(&accepted);
            return;
        }
        let known = self.jobs.get(&id).map(Job::workspace);
        let recorded_holder = progress
            .get(&id)
            .map(|progress| progress.workspace.as_ref());
        match known.or(recorded_holder) {
            Some(holder) if holder != accepted.workspace_name() => self.reject(&accepted),
            _ if known.is_some() => {}
            _ => {
                let progress = progress.remove(&id).unwrap_or_default();
                self.index_recorded_crashes(id, &progress);
                self.add_job(Job::new(accepted, &progress), now);
            }
        }
    }

    /// Adds a job and begins its occurrences that are due, as far as they may be open.
    pub(super) fn add_job(&mut self, mut job: Job, now: Timestamp) {
        let id = job.accepted.job;
        job.is_cancelled = self.is_cancelled(&job);
        self.open_account(&mut job);
        let is_over = job.is_over();
        self.jobs.insert(id, job);
        if is_over {
            self.schedule_removal(id, now);
            return;
        }
        self.begin_next_occurrences(id, now);
        // Occurrences that a former owner began are open too.
        self.open_occurrences(id, now);
    }

    /// Begins the occurrences of scheduled jobs that are due.
    pub(super) fn begin_due_occurrences(&mut self, now: Timestamp) {
        while let Some((at, job)) = self.due.first().copied() {
            if at > now {
                return;
            }
            self.due.pop_first();
            self.begin_occurrences(job, now);
        }
    }

    /// Begins the occurrences of a job that are due, as far as they may be open, and notes when the next one is due.
    pub(super) fn begin_occurrences(&mut self, id: JobId, now: Timestamp) {
        if self.begin_next_occurrences(id, now) {
            self.open_occurrences(id, now);
        }
    }

    /// Begins them without opening their steps; returns whether one has begun.
    fn begin_next_occurrences(&mut self, id: JobId, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_over()) else {
            return false;
        };
        let mut has_begun = false;
        while let Some((occurrence, at)) = job.next_occurrence() {
            if at > now {
                self.due.insert((at, id));
                break;
            }
            job.begin_occurrence(occurrence, &[]);
            has_begun = true;
        }
        has_begun
    }

    /// Opens the steps of the occurrences that have begun. After a takeover, workers may be running them on orders of a
    /// former owner.
    fn open_occurrences(&mut self, id: JobId, now: Timestamp) {
        self.assign_unknown_runs(id);
        self.open_steps(id, now);
    }

    /// Begins an occurrence that is due because a worker lists a run of it: a former owner may have had more of them
    /// open.
    pub(super) fn begin_listed_occurrence(&mut self, step: StepId, now: Timestamp) {
        let job = self.jobs.get_mut(&step.job);
        let job = job.filter(|job| !job.is_over() && job.may_begin(step.occurrence, now));
        if let Some(job) = job {
            job.begin_occurrence(step.occurrence, &[]);
            self.open_occurrences(step.job, now);
        }
    }

    /// Opens the steps of a job whose preceding steps are all done according to the record.
    pub(super) fn open_steps(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_over()) else {
            return;
        };
        let spec = job.spec().clone();
        let account = job.account;
        let started = self.gangs_started.get(&job.accepted.queue.name);
        let started = started.copied().unwrap_or_default();
        for (occurrence, stages) in &mut job.occurrences {
            for (index, step) in spec.steps.iter().enumerate() {
                let is_ready = step.after.iter().all(|after| {
                    let earlier = &stages[usize::from(*after)];
                    usize::from(earlier.recorded_done) == earlier.tasks.len()
                });
                let stage = &mut stages[index];
                if !is_ready || stage.waiting.is_empty() {
                    continue;
                }
                if stage.opened_at.is_none() {
                    stage.opened_at = Some(now);
                    stage.gangs_started_before = started;
                }
                let step = StepId {
                    job: id,
                    occurrence: *occurrence,
                    step: u16::try_from(index).unwrap_or(u16::MAX),
                };
                self.open_steps.insert(step, account);
                self.needs_pass = true;
            }
        }
    }

    /// Cancels a job whose cancellation is on record. Returns whether the job is known.
    ///
    /// A job that is not known yet is cancelled when it becomes known: its acceptance may be on record already, or may
    /// still be on its way there.
    pub fn cancel(&mut self, cancelled: &Cancelled, now: Timestamp) -> bool {
        self.note_cancelled(cancelled);
        let id = cancelled.job;
        let job = self.jobs.get_mut(&id);
        let visible = job.filter(|job| is_seen_by(cancelled.workspace.as_ref(), job.workspace()));
        let Some(job) = visible else {
            return false;
        };
        if job.is_over() {
            return true;
        }
        job.is_cancelled = true;
        self.schedule_removal(id, now);
        self.stop_job(id, "cancelled", now);
        true
    }

    /// Notes a cancellation. Of several for the same job, the one that implies that the job was on record applies.
    pub(super) fn note_cancelled(&mut self, cancelled: &Cancelled) {
        let key = (cancelled.job, cancelled.workspace.clone());
        let noted = self.cancelled.entry(key).or_insert(cancelled.cancellation);
        *noted = cancelled.cancellation.max(*noted);
    }

    /// Returns whether a job was cancelled by a caller who is allowed to see it.
    fn is_cancelled(&self, job: &Job) -> bool {
        let mut cancelled = self.cancellations(job.accepted.job);
        cancelled.any(|(by, _)| is_seen_by(by, job.workspace()))
    }

    /// Removes a job that is over from the open steps and stops its runs.
    pub(super) fn stop_job(&mut self, id: JobId, why: &'static str, now: Timestamp) {
        self.open_steps.remove_job(id);
        self.unschedulable.retain(|step| step.job != id);
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
                        task.active_run
                            .map(|(slot, run)| (slot, step.task(index), run))
                    }));
                }
            }
        }
        for (slot, task, run) in active {
            self.stop(slot, task, run, why, now);
        }
    }

    /// Marks a job as begun because a worker has confirmed or listed one of its tasks.
    ///
    /// The decision to start a task doesn't count, since its order may fail.
    pub(super) fn mark_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_begun = true;
        }
    }
}
