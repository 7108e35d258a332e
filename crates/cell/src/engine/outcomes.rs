//! The outcomes of jobs that are over, in memory and on record.
//!
//! Each outcome is first on record with the progress of its job, in a record of its own. Once there are enough of these,
//! they are replaced by one record. It precedes the removals in the same write, so each outcome is on record at any time,
//! wherever the owner stops.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use fulmarpier_state::alias::HashMap;

use super::Engine;
use crate::{
    id::JobId,
    record::{
        Ended,
        Entry,
        Outcome,
        OutcomesId, //
    },
    workspace::WorkspaceName,
};

/// What jobs that ended alike have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ending {
    pub(super) outcome: Outcome,
    pub(super) workspace: Option<WorkspaceName>,
}

/// The outcomes of jobs of which nothing else is left in memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcomes {
    endings: HashMap<JobId, Arc<Ending>>,
    /// The jobs whose outcome has a record of its own, in the order in which they were added.
    single: VecDeque<JobId>,
    /// The number of the last record of outcomes.
    last_number: u32,
}

impl Outcomes {
    pub(super) fn get(&self, job: JobId) -> Option<&Ending> {
        self.endings.get(&job).map(Arc::as_ref)
    }

    pub(super) fn contains(&self, job: JobId) -> bool {
        self.endings.contains_key(&job)
    }

    pub(super) fn len(&self) -> usize {
        self.endings.len()
    }

    /// Adds the outcome of a job that has a record of its own.
    pub(super) fn add(&mut self, job: JobId, ending: Ending) {
        self.endings.insert(job, ending.into());
        self.single.push_back(job);
    }

    /// Adds outcomes from a record of outcomes.
    pub(super) fn add_packed(&mut self, ended: Ended) {
        let Ended {
            outcome,
            workspace,
            jobs,
        } = ended;
        let ending = Arc::new(Ending { outcome, workspace });
        let endings = jobs.into_iter().map(|job| (job, ending.clone()));
        self.endings.extend(endings);
    }

    /// Adds a job whose progress is still on record, although its outcome is in a record of outcomes.
    pub(super) fn add_unremoved(&mut self, job: JobId) {
        self.single.push_back(job);
    }

    /// Returns jobs whose outcomes take one record, if there are so many.
    fn take_single(&mut self, count: usize) -> Option<Vec<JobId>> {
        let count = count.max(1);
        (self.single.len() >= count).then(|| self.single.drain(..count).collect())
    }

    /// Groups jobs by how they ended.
    fn group(&self, jobs: &[JobId]) -> Vec<Ended> {
        let mut groups: Vec<Ended> = Vec::new();
        for job in jobs {
            let Some(ending) = self.get(*job) else {
                continue;
            };
            let alike = groups.iter_mut().find(|group| {
                group.outcome == ending.outcome && group.workspace == ending.workspace
            });
            match alike {
                Some(group) => group.jobs.push(*job),
                None => groups.push(Ended {
                    outcome: ending.outcome,
                    workspace: ending.workspace.clone(),
                    jobs: vec![*job],
                }),
            }
        }
        groups
    }
}

impl Engine {
    /// Queues the outcomes that fill a record. Only one record is queued at a time: each comes with as many removals,
    /// and starts wait for the same write.
    pub(super) fn pack_outcomes(&mut self) {
        if self.record_queue.has_outcomes() {
            return;
        }
        if let Some(jobs) = self.outcomes.take_single(self.bounds.outcomes_per_record) {
            self.record_queue.set_outcomes(jobs);
        }
    }

    /// Returns the record of the outcomes of jobs, followed by the removals of the records that it replaces.
    pub(super) fn packed_outcomes(&mut self, jobs: &[JobId]) -> Vec<Entry> {
        if jobs.is_empty() {
            return Vec::new();
        }
        self.outcomes.last_number += 1;
        let id = OutcomesId {
            epoch: self.epoch,
            number: self.outcomes.last_number,
        };
        let packed = Entry::Outcomes(id, self.outcomes.group(jobs));
        let removed = jobs.iter().copied().map(Entry::PackedJob);
        [packed].into_iter().chain(removed).collect()
    }
}
