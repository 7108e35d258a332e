//! Admission and submission of jobs.

use super::{
    core::Engine,
    job::Job, //
};
use crate::{
    admission,
    clock::Timestamp,
    id::JobId,
    job::Spec,
    refusal::Refusal, //
};

/// What a submission did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The job is new and waits.
    New,
    /// The job was known; nothing changed.
    Known,
}

impl Engine {
    /// Returns whether a job may be accepted; called before the job is journalled.
    ///
    /// # Errors
    ///
    /// The [`Refusal`] to give to the caller; nothing was run. It is counted.
    pub fn check(&mut self, spec: &Spec, now: Timestamp) -> Result<(), Refusal> {
        self.check_in(spec, None, now)
    }

    /// As [`Self::check`], where the whole cell takes `room` tasks of the size while it is empty.
    ///
    /// # Errors
    ///
    /// As [`Self::check`].
    pub fn check_in(
        &mut self,
        spec: &Spec,
        room: Option<u64>,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let desk = admission::Desk {
            policy: &self.policy,
            ledger: &self.ledger,
            queue: &self.queue,
            index: &self.index,
            shapes: &self.shapes,
            estimator: &self.estimator,
            pace: self.pace,
            room,
        };
        let result = desk.check(spec, now);
        if let Err(refusal) = &result {
            self.counters.refuse(refusal.reason);
        }
        result
    }

    /// Takes in a job that has been journalled.
    ///
    /// What [`Self::check`] refuses is not checked again: a journalled job was promised.
    pub fn submit(&mut self, id: JobId, spec: Spec, now: Timestamp) -> Submitted {
        if self.jobs.contains_key(&id) {
            return Submitted::Known;
        }
        let slot = self.ledger.slot(&spec.team, self.policy.default_limit);
        self.jobs.insert(id, Job::new(spec, slot, now));
        self.enqueue(id, now);
        Submitted::New
    }
}
