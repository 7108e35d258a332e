//! The jobs in the book, up to a bound.

use std::collections::BTreeMap;

use crate::{
    alias::HashMap,
    id::{
        JobId,
        WorkerId, //
    }, //
};

use super::tally::Tally;

/// How many jobs are remembered; the one not heard of for longest goes first.
const MOST_JOBS: usize = 8_192;

/// The tallies of the jobs last heard of.
#[derive(Clone, Debug, Default)]
pub(super) struct Docket {
    tallies: HashMap<JobId, Entry>,
    order: BTreeMap<u64, JobId>,
    clock: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    tally: Tally,
    heard: u64,
}

impl Docket {
    /// Returns the tally of a job that is heard of now.
    pub(super) fn tally(&mut self, job: JobId) -> &mut Tally {
        self.clock += 1;
        if !self.tallies.contains_key(&job) && self.tallies.len() >= MOST_JOBS {
            self.evict();
        }
        let entry = self.tallies.entry(job).or_default();
        self.order.remove(&entry.heard);
        self.order.insert(self.clock, job);
        entry.heard = self.clock;
        &mut entry.tally
    }

    /// Notes that a task of a job no longer runs on the worker, if the job is known.
    pub(super) fn stop(&mut self, job: JobId, worker: WorkerId) {
        if let Some(entry) = self.tallies.get_mut(&job) {
            entry.tally.stop(worker);
        }
    }

    /// Returns the tally of a job, if there is one.
    pub(super) fn get(&self, job: JobId) -> Option<&Tally> {
        self.tallies.get(&job).map(|entry| &entry.tally)
    }

    /// Forgets a job.
    pub(super) fn remove(&mut self, job: JobId) {
        if let Some(entry) = self.tallies.remove(&job) {
            self.order.remove(&entry.heard);
        }
    }

    fn evict(&mut self) {
        if let Some((_, job)) = self.order.pop_first() {
            self.tallies.remove(&job);
        }
    }
}
