//! Ends of runs: tries, checkpoints and the ends of jobs.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::Note,
    event::{
        Ended,
        How, //
    },
    id::{
        Run,
        TaskId, //
    },
    record::Outcome,
};

/// After this many failures in a row a worker is suspected of failing whatever it starts.
const SUSPICIOUS: u32 = 3;
/// How long a suspected worker gets nothing; then one more failure rests it again.
const SUSPECT_REST: Duration = Duration::from_secs(3);

impl Engine {
    /// Takes an end that a worker lists for the first time.
    pub(super) fn take_end(&mut self, slot: Slot, ended: Ended, now: Timestamp) {
        let Ended { task, run, how, .. } = ended;
        if let Some(worker) = self.workers.get(&slot) {
            let worker = worker.registration.id.clone();
            self.note(Note::Ended {
                task,
                run,
                worker,
                how,
            });
        }
        self.mark_begun(task.step.job);
        self.save(task, ended.checkpoint.as_ref());
        match how {
            How::Done => self.take_done(slot, task, run, now),
            How::Failed => {
                self.clear(task);
                self.take_failure(slot, task, run, now);
            }
            How::Lapsed | How::Alone => self.clear(task),
            How::Stopped | How::Broken => {}
        }
        self.release(slot, task, run, now);
        if how != How::Done {
            self.break_gang(task, run, now);
        }
    }

    /// Remembers the newest checkpoint of a task; any member's is good for its whole gang.
    pub(super) fn save(&mut self, task: TaskId, checkpoint: Option<&Arc<str>>) {
        let Some(checkpoint) = checkpoint else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let is_gang = job.step(task.step).is_some_and(|step| step.gang);
        let Some(stage) = job.stage_mut(task.step) else {
            return;
        };
        if is_gang {
            for member in &mut stage.tasks {
                member.checkpoint = Some(checkpoint.clone());
            }
        } else if let Some(own) = stage.task_mut(task.index) {
            own.checkpoint = Some(checkpoint.clone());
        }
    }

    fn take_done(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(&slot) {
            worker.failures = 0;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(step) = job.step(task.step) else {
            return;
        };
        let (is_gang, is_lasting) = (step.gang, step.lasting);
        if job.is_over() || is_lasting {
            return;
        }
        let Some(stage) = job.stage_mut(task.step) else {
            return;
        };
        let indices: Vec<u16> = match is_gang {
            true => (0u16..).zip(&stage.tasks).map(|(index, _)| index).collect(),
            false => vec![task.index],
        };
        let mut others = Vec::new();
        for index in indices {
            let Some(own) = stage.task_mut(index) else {
                continue;
            };
            // The members of one run of a gang end together; other runs of a task are not needed.
            let other = own.active.filter(|(_, active)| *active != run);
            others.extend(other.map(|(slot, run)| (slot, index, run)));
            if !std::mem::replace(&mut own.is_done, true) {
                stage.done += 1;
                stage.waiting.remove(&index);
            }
        }
        if stage.waiting.is_empty() {
            self.agenda.remove(task.step);
        }
        if job.is_done() {
            job.outcome = Some(Outcome::Completed);
        }
        self.ledger.add_job(task.step.job);
        for (slot, index, run) in others {
            self.stop(slot, task.step.task(index), run, "done-elsewhere", now);
        }
    }

    fn take_failure(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(&slot) {
            worker.failures += 1;
            if worker.failures >= SUSPICIOUS {
                worker.rests = now + SUSPECT_REST;
            }
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if job.is_over() {
            return;
        }
        let accepted = &job.accepted.queue;
        let queue = self.config.queues.get(&accepted.name);
        let tries = queue.unwrap_or(accepted).tries;
        let Some(step) = job.step(task.step) else {
            return;
        };
        let (is_gang, is_lasting) = (step.gang, step.lasting);
        let Some(stage) = job.stage_mut(task.step) else {
            return;
        };
        // The tries of a gang are those of its first member.
        let counted = if is_gang { 0 } else { task.index };
        let Some(own) = stage.task_mut(counted) else {
            return;
        };
        own.avoid = Some(slot);
        // All members of a gang report its failure, and a new owner hears of one that is on record.
        if is_lasting || own.failures.contains(&run) {
            return;
        }
        own.failures.push(run);
        let failures = u32::try_from(own.failures.len()).unwrap_or(u32::MAX);
        let is_spent = failures >= tries.max(1);
        self.ledger.add_job(task.step.job);
        if is_spent {
            job.outcome = Some(Outcome::Failed);
            self.close(task.step.job, "job-failed", now);
        }
    }

    /// Stops the members of a gang of which one has ended without success.
    fn break_gang(&mut self, task: TaskId, run: Run, now: Timestamp) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        if !job.step(task.step).is_some_and(|step| step.gang) {
            return;
        }
        let Some(stage) = job.stage(task.step) else {
            return;
        };
        let members = (0u16..).zip(&stage.tasks);
        let members: Vec<(u16, Slot)> = members
            .filter_map(|(index, member)| {
                let (slot, active) = member.active?;
                (active == run && !member.is_done).then_some((index, slot))
            })
            .collect();
        for (index, slot) in members {
            self.stop(slot, task.step.task(index), run, "gang-broken", now);
        }
    }
}
