//! The engine's jobs as they are written into a snapshot.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    core::Engine,
    job::{
        Counts,
        Job,
        Stage, //
    },
    task::Phase,
    timer::Timer,
};
use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        JobId,
        ShardId,
        TaskId,
        WorkerId, //
    },
    job::Spec,
    resource::Resources,
};

/// All jobs of a shard, without the workers, which inventories show.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Image {
    shard: ShardId,
    jobs: Vec<JobImage>,
    ended: Vec<(Timestamp, JobId)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct JobImage {
    id: JobId,
    spec: Spec,
    submitted: Timestamp,
    stage: Stage,
    size: u32,
    next: u32,
    again: Vec<(u32, Attempt)>,
    delayed: Vec<(u32, Timestamp, Attempt)>,
    active: Vec<TaskImage>,
    counts: Counts,
    failures: u32,
    crashes: Vec<(u32, u32)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TaskImage {
    index: u32,
    attempt: Attempt,
    worker: WorkerId,
    size: Resources,
    begun: Timestamp,
}

impl Image {
    /// Returns the shard that the image was made of.
    pub const fn shard(&self) -> ShardId {
        self.shard
    }

    /// Returns how many jobs it holds, those that have ended included.
    pub const fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether it holds no jobs.
    pub const fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

impl Engine {
    /// Writes down all jobs.
    pub fn export(&self) -> Image {
        let mut jobs: Vec<JobImage> = self.jobs.iter().map(job_image).collect();
        jobs.sort_unstable_by_key(|job| job.id);
        Image {
            shard: self.shard,
            jobs,
            ended: self.ended.iter().copied().collect(),
        }
    }

    /// Takes in the jobs of a snapshot; jobs that are known already are left as they are.
    ///
    /// Starts on record are taken for ones whose answer was lost, until an inventory shows them.
    pub fn import(&mut self, image: Image, now: Timestamp) {
        for job in image.jobs {
            if !self.jobs.contains_key(&job.id) {
                self.import_job(job, now);
            }
        }
        let known = |(_, id): &(Timestamp, JobId)| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| matches!(job.stage, Stage::Ended(_)))
        };
        self.ended = image.ended.into_iter().filter(known).collect();
    }

    fn import_job(&mut self, image: JobImage, now: Timestamp) {
        let id = image.id;
        let slot = self
            .ledger
            .slot(&image.spec.team, self.policy.default_limit);
        let mut job = Job::new(image.spec, slot, image.submitted);
        job.stage = image.stage;
        job.size = image.size;
        job.next = image.next;
        job.again = image.again;
        job.counts = image.counts;
        job.failures = image.failures;
        job.crashes = image.crashes.into_iter().collect();
        for (index, at, attempt) in image.delayed {
            job.delayed.insert(index, (at, attempt));
            self.set_timer(at, Timer::Retry(TaskId::new(id, index)));
        }
        if let Stage::Held(until) = image.stage {
            self.set_timer(until, Timer::Unhold(id));
        }
        self.jobs.insert(id, job);
        for task in image.active {
            let begun = task.begun;
            let index = TaskId::new(id, task.index);
            self.place(index, task.attempt, task.worker, Phase::Suspect, begun);
            let reserved = self.index.reserve(task.worker, task.size).is_ok();
            self.resize(index, task.size, reserved);
        }
        self.enqueue(id, now);
    }
}

fn job_image((id, job): (&JobId, &Job)) -> JobImage {
    let delayed = job.delayed.iter();
    let active = job.active.iter().map(|(index, task)| TaskImage {
        index: *index,
        attempt: task.attempt,
        worker: task.worker,
        size: task.size,
        begun: task.begun,
    });
    JobImage {
        id: *id,
        spec: job.spec.as_ref().clone(),
        submitted: job.submitted,
        stage: job.stage,
        size: job.size,
        next: job.next,
        again: job.again.clone(),
        delayed: delayed.map(|(i, (at, n))| (*i, *at, *n)).collect(),
        active: active.collect(),
        counts: job.counts,
        failures: job.failures,
        crashes: job.crashes.iter().map(|(i, n)| (*i, *n)).collect(),
    }
}
