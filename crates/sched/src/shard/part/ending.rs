//! The end of jobs that run in more than one shard.

use fulmarpier_coordination::journal::{
    JobEnd,
    Record, //
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::{
        Counts,
        Outcome, //
    },
    id::JobId,
};

use super::{
    super::{
        Live,
        Scope,
        orders::job_end, //
    },
    home::FINISHED_MAX,
};

impl Live {
    /// Follows the end of all tasks that this shard runs of a job.
    pub(in crate::shard) fn job_ended(
        &mut self,
        job: JobId,
        outcome: Outcome,
        scope: &mut Scope<'_>,
    ) {
        let held = self.journal.image().jobs.get(&job);
        if let Some(of) = held.and_then(|held| held.of) {
            return self.close_ended(job, of, scope);
        }
        if held.is_some_and(|held| held.delegation.is_some()) {
            if let Some(view) = self.engine.job(job) {
                self.parts.own.insert(job, view.ended);
            }
            return self.end_divided(job, scope);
        }
        self.conclude(job, job_end(outcome), scope);
    }

    /// Ends a divided job once its tasks have ended here and everywhere else.
    pub(super) fn end_divided(&mut self, job: JobId, scope: &mut Scope<'_>) {
        if !self.parts.divided.contains(&job) {
            return;
        }
        let Some(held) = self.journal.image().jobs.get(&job) else {
            return;
        };
        let Some(delegation) = &held.delegation else {
            return;
        };
        if !delegation.is_over() || held.owed() > 0 {
            return;
        }
        let own = match held.share() {
            0 => Some(Counts::default()),
            _ => self.parts.own.get(&job).copied(),
        };
        let Some(own) = own else {
            return;
        };
        let ends = delegation.parts.values().filter_map(|part| part.ended);
        let mut total = own;
        // What came back and was placed again is counted where it ended.
        let returned = |end: Counts| match held.cancelled {
            true => end,
            false => Counts {
                cancelled: 0,
                ..end
            },
        };
        for end in ends.map(returned) {
            total = sum(total, end);
        }
        self.remember(job, scope.now);
        self.parts.divided.remove(&job);
        self.parts.own.remove(&job);
        self.conclude(job, end_of(total), scope);
    }

    fn conclude(&mut self, job: JobId, end: JobEnd, scope: &mut Scope<'_>) {
        self.keep(Record::JobEnded { job, end }, scope.now);
        self.wake_waiters(job, scope);
    }

    /// Keeps a divided job that has ended as callers see it.
    fn remember(&mut self, job: JobId, now: Timestamp) {
        if let Some(view) = self.view(job, now) {
            self.parts.finished.push_back((job, view));
        }
        while self.parts.finished.len() > FINISHED_MAX {
            self.parts.finished.pop_front();
        }
    }
}

/// Adds up how tasks ended.
pub(super) const fn sum(a: Counts, b: Counts) -> Counts {
    Counts {
        succeeded: a.succeeded + b.succeeded,
        failed: a.failed + b.failed,
        unknown: a.unknown + b.unknown,
        cancelled: a.cancelled + b.cancelled,
    }
}

const fn end_of(counts: Counts) -> JobEnd {
    if counts.unknown > 0 {
        JobEnd::Unknown
    } else if counts.failed > 0 {
        JobEnd::Failed
    } else if counts.cancelled > 0 {
        JobEnd::Cancelled
    } else {
        JobEnd::Succeeded
    }
}
