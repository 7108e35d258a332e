//! Fair sharing between workspaces: which of them are over their share, and which of their jobs lie beyond their rate.
//!
//! Both only change the order in which steps are placed. A step of a workspace that is over its share, or of a job that
//! lies beyond the rate, starts whenever no other step takes the capacity.

use std::{
    num::NonZeroU32,
    time::Duration, //
};

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    quota,
    resource::Resources, //
};

use super::{
    Engine,
    Slot,
    job::Job, //
};
use crate::{
    effect::LogRecord,
    id::{
        JobId,
        StepId, //
    },
    rate::Bucket,
    record::Accepted,
    share::{
        Share,
        Shares, //
    },
    worker::Worker,
};

/// How long a step of a workspace that is over its share may wait without a start before the share no longer affects its
/// rank. It has to exceed the length of a surge, or the steps of the surge would overtake those of other workspaces
/// before it is over.
const MAX_PASSED_OVER: Duration = Duration::from_secs(10);

/// The claim of a step to capacity, compared with the steps of other workspaces; the strongest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Claim {
    /// The job lies within the rate of its workspace, which is within its share; also any job without a workspace.
    WithinShare,
    /// The job lies within the rate of its workspace, which is over its share.
    OverShare,
    /// The job lies beyond the rate of its workspace.
    BeyondRate,
}

/// The state of the competition between workspaces.
#[derive(Clone, Debug, Default)]
pub(super) struct Competition {
    shares: Shares,
    rates: HashMap<quota::Slot, Bucket>,
    /// The capacity of each worker that the ledger counts, by slot.
    capacities: Vec<Resources>,
}

impl Competition {
    /// Makes an evaluation of the shares due at once.
    pub(super) const fn expire_shares(&mut self) {
        self.shares.expire();
    }

    /// Returns the share of a workspace at the last evaluation, if it asked for capacity.
    pub(super) fn share(&self, account: quota::Slot) -> Option<Share> {
        self.shares.share(account)
    }

    /// Updates the capacity of a worker in the ledger; `None` if the worker is gone.
    pub(super) fn set_capacity(
        &mut self,
        slot: Slot,
        worker: Option<&Worker>,
        ledger: &mut quota::Ledger,
    ) {
        let capacity = worker.map_or(Resources::ZERO, |worker| worker.registration.capacity);
        if self.capacities.len() <= slot.index() {
            self.capacities.resize(slot.index() + 1, Resources::ZERO);
        }
        let counted = &mut self.capacities[slot.index()];
        if *counted == capacity {
            return;
        }
        ledger.shrink(*counted);
        ledger.grow(capacity);
        *counted = capacity;
    }
}

/// Returns the number of jobs per second that a job's workspace can rely on; `None` if it has no weight.
///
/// It is the weight at the job's acceptance, not the one in the configuration: it is on record with the job, so every
/// owner decides by the same one.
fn rate_of(accepted: &Accepted) -> Option<NonZeroU32> {
    let workspace = accepted.workspace.as_ref()?;
    NonZeroU32::new(workspace.limit.weight)
}

impl Engine {
    /// Returns whether workspaces compete: whether the configuration names any.
    pub(super) fn has_workspaces(&self) -> bool {
        let directory = self.config.directory.as_ref();
        directory.is_some_and(|directory| directory.workspaces().next().is_some())
    }

    /// Evaluates the shares if that is due, and marks the steps of workspaces whose standing has changed for ranking.
    pub(super) fn update_shares(&mut self, now: Timestamp) {
        if !self.competition.shares.is_due(now) || !self.has_workspaces() {
            return;
        }
        let asking = self.open_steps.accounts();
        let shares = &mut self.competition.shares;
        for (account, share) in shares.evaluate(&self.quotas, asking, now) {
            self.open_steps.mark_account_unranked(account);
            self.log(LogRecord::Share {
                workspace: self.quotas.account(account).team.clone(),
                share,
            });
        }
    }

    /// Counts a job against the rate of its workspace, when the engine first learns of the job.
    ///
    /// A time of receipt that is in the future by this node's clock counts as now. Otherwise a single clock that is
    /// ahead would take the rate away for as long.
    pub(super) fn count_job(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some((account, rate)) = job.account.zip(rate_of(&job.accepted)) else {
            return;
        };
        let received = job.accepted.received;
        let bucket = self.competition.rates.entry(account).or_default();
        job.is_beyond_rate = !bucket.take(rate, received.min(now));
        if job.is_beyond_rate {
            self.log(LogRecord::BeyondRate {
                job: id,
                workspace: self.quotas.account(account).team.clone(),
                rate,
                age: now.since(received),
            });
        }
    }

    /// Counts the restored jobs against the rates of their workspaces, in the order of their receipt.
    ///
    /// Former owners counted them in the order in which they learnt of them. Jobs that are over and removed are not
    /// counted again, so some of the others may be within the rate now.
    pub(super) fn count_restored_jobs(&mut self, now: Timestamp) {
        let jobs = self.jobs.values();
        let counted = jobs.filter(|job| job.account.is_some());
        let mut received: Vec<(Timestamp, JobId)> = counted
            .map(|job| (job.accepted.received, job.accepted.job))
            .collect();
        received.sort_unstable();
        for (_, id) in received {
            self.count_job(id, now);
        }
    }

    /// Takes back that a job was counted, since it is not accepted.
    pub(super) fn uncount_job(&mut self, job: &Job) {
        let Some((account, rate)) = job.account.zip(rate_of(&job.accepted)) else {
            return;
        };
        let bucket = self.competition.rates.get_mut(&account);
        if let Some(bucket) = bucket.filter(|_| !job.is_beyond_rate) {
            bucket.give_back(rate);
        }
    }

    /// Returns the claim of a step and, if it changes over time, when it changes next.
    pub(super) fn claim(
        &self,
        job: &Job,
        id: StepId,
        now: Timestamp,
    ) -> (Claim, Option<Timestamp>) {
        let Some(account) = job.account.filter(|_| self.has_workspaces()) else {
            return (Claim::WithinShare, None);
        };
        if job.is_beyond_rate {
            return (Claim::BeyondRate, None);
        }
        if !self.competition.shares.is_over(account) {
            return (Claim::WithinShare, None);
        }
        let stage = job.stage(id);
        let since = stage.and_then(|stage| stage.opened_at.max(stage.last_start));
        let until = since.unwrap_or(now) + MAX_PASSED_OVER;
        match now < until {
            true => (Claim::OverShare, Some(until)),
            false => (Claim::WithinShare, None),
        }
    }

    /// Returns how many tasks of a step wait to be started, if its job belongs to a workspace.
    pub(super) fn waiting_count(&self, id: StepId) -> Option<usize> {
        let job = self.jobs.get(&id.job)?;
        job.account?;
        job.stage(id).map(|stage| stage.waiting.len())
    }

    /// Notes that tasks of a step were started, so that the step doesn't count as passed over.
    pub(super) fn note_start(&mut self, id: StepId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let is_over = job
            .account
            .is_some_and(|account| self.competition.shares.is_over(account));
        if let Some(stage) = job.stage_mut(id) {
            stage.last_start = Some(now);
        }
        if is_over {
            self.open_steps.mark_unranked(id);
        }
    }
}
