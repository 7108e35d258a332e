//! Limits on the resources that a workspace uses over all workers.
//!
//! A run is charged to its workspace, as it is to its worker, from the decision to start it until it is known to be
//! gone. This includes runs whose start order waits for its record or is unanswered, runs that are being stopped, runs
//! on silent workers, and runs started by a former owner. Therefore no start exceeds the limit of a workspace, whatever
//! happens to the order.

use fulmarpier_state::resource::Resources;

use super::{
    Engine,
    job::Job,
    reserve::Reservations, //
};
use crate::{
    id::{
        JobId,
        StepId, //
    },
    job::Step,
    share::Share,
    worker::Charge,
    workspace::WorkspaceName,
};

/// The resource usage of a workspace, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The resources that its runs may use.
    pub used: Resources,
    /// The limit, if there is one.
    pub limit: Option<Resources>,
    /// Its share at the last evaluation, if it asked for capacity then.
    pub share: Option<Share>,
}

/// Returns the resources that a run of a step is charged with. Best-effort tasks are charged with their declared CPU
/// too.
const fn charged_resources(step: &Step) -> Resources {
    step.size
}

impl Engine {
    /// Opens the account of a job's workspace. Its limit is the configured one, or else the one at the job's
    /// acceptance.
    pub(super) fn open_account(&mut self, job: &mut Job) {
        let workspace = job.accepted.workspace.as_ref();
        job.account = workspace.map(|workspace| self.quotas.slot(&workspace.name, workspace.limit));
    }

    /// Applies the limits in the configuration. A workspace that was removed from it keeps its limit for its remaining
    /// jobs.
    pub(super) fn set_limits(&mut self) {
        let workspaces = self.config.directory.iter();
        for workspace in workspaces.flat_map(|directory| directory.workspaces()) {
            self.quotas.configure(&workspace.name, workspace.limit);
        }
    }

    /// Returns the charge for a run of a step, if its job belongs to a workspace.
    pub(super) fn charge(&self, id: StepId) -> Option<Charge> {
        let job = self.jobs.get(&id.job)?;
        Some(Charge {
            account: job.account?,
            size: charged_resources(job.step(id)?),
        })
    }

    /// Returns whether a run with this charge may be started.
    pub(super) fn admits(&self, charge: Option<Charge>) -> bool {
        charge.is_none_or(|charge| self.quotas.admits(charge.account, charge.size))
    }

    /// Returns whether the workspace of a job uses more than its limit, as after the limit was lowered.
    pub(super) fn is_over_limit(&self, id: JobId) -> bool {
        let account = self.jobs.get(&id).and_then(|job| job.account);
        account.is_some_and(|account| !self.quotas.admits(account, Resources::ZERO))
    }

    /// Returns whether the limit of its workspace, less what is reserved in this pass, holds a step back.
    ///
    /// If so, what the step needs is reserved from later steps of the same workspace. Otherwise smaller steps would use
    /// up each free part of the limit before there is enough for a wide gang. This costs other workspaces nothing, and
    /// no task is preempted for it. Nothing is reserved for a gang that is wider than the whole limit.
    pub(super) fn is_limited(&self, id: StepId, reserved: &mut Reservations) -> bool {
        let Some(charge) = self.charge(id) else {
            return false;
        };
        let account = charge.account;
        let needed = self.needed_quota(id, charge);
        let reserved_by_others = reserved.reserved_quota(account, id);
        let total = needed
            .zip(reserved_by_others)
            .and_then(|(needed, others)| needed.checked_add(others));
        if total.is_some_and(|size| self.quotas.admits(account, size)) {
            return false;
        }
        let limit = self.quotas.account(account).limit;
        if let Some(needed) = needed.filter(|size| limit.admits(Resources::ZERO, *size)) {
            reserved.reserve_quota(account, id, needed);
        }
        true
    }

    /// Reserves what a gang needs of its workspace's limit while advice on its workers is awaited.
    pub(super) fn reserve_quota(&self, id: StepId, reserved: &mut Reservations) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let is_asked = job
            .stage(id)
            .is_some_and(|stage| stage.advice.calls_in_flight > 0);
        let is_gang = job.step(id).is_some_and(|step| step.gang);
        let charge = self.charge(id).filter(|_| is_asked && is_gang);
        let reservation =
            charge.and_then(|charge| Some((charge.account, self.needed_quota(id, charge)?)));
        if let Some((account, needed)) = reservation {
            reserved.reserve_quota(account, id, needed);
        }
    }

    /// Returns the resources that a step needs to start: those of all members for a gang, otherwise those of one task;
    /// `None` on overflow or if the step is unknown.
    fn needed_quota(&self, id: StepId, charge: Charge) -> Option<Resources> {
        let job = self.jobs.get(&id.job)?;
        let (step, stage) = (job.step(id)?, job.stage(id)?);
        let count = match step.gang && stage.active_count() == 0 {
            true => u32::try_from(stage.waiting.len()).ok()?,
            false => 1,
        };
        charge.size.checked_mul(count)
    }

    /// Returns the resource usage of each workspace.
    pub fn usage(&self) -> Vec<Usage> {
        let accounts = self.quotas.accounts();
        let usage = accounts.map(|(slot, account)| Usage {
            workspace: account.team.clone(),
            used: account.used,
            limit: account.limit.resources,
            share: self.competition.share(slot),
        });
        usage.collect()
    }
}
