//! What each workspace has running over all workers, against its limit.
//!
//! A run counts from the decision to start it until it is proved to be gone, for its workspace as for its worker: while its
//! order waits for its record or has got no answer, while it is being stopped, on workers that are silent, and by order of a
//! former owner. So whatever becomes of an order, no start brings a workspace above its limit.

use fulmarpier_state::resource::Resources;

use super::{
    Engine,
    job::Job,
    reserve::Reserved, //
};
use crate::{
    id::{
        JobId,
        StepId, //
    },
    job::Step,
    worker::Charge,
    workspace::WorkspaceName,
};

/// What a workspace has running, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What its runs may hold.
    pub used: Resources,
    /// What it may have, where that is limited.
    pub limit: Option<Resources>,
}

/// Returns what a run of a step counts for, work that fills what others leave included: callers declare it.
const fn charged(step: &Step) -> Resources {
    step.size
}

impl Engine {
    /// Opens the account of the workspace that a job belongs to, with the limit that the job was accepted under unless the
    /// configuration has another.
    pub(super) fn open_account(&mut self, job: &mut Job) {
        let workspace = job.accepted.workspace.as_ref();
        job.account = workspace.map(|workspace| self.quotas.slot(&workspace.name, workspace.limit));
    }

    /// Sets the limits that the configuration has. That of a workspace which it doesn't name any more stays for the jobs that
    /// are left.
    pub(super) fn set_limits(&mut self) {
        let workspaces = self.config.directory.iter();
        for workspace in workspaces.flat_map(|directory| directory.workspaces()) {
            self.quotas.configure(&workspace.name, workspace.limit);
        }
    }

    /// Returns what a run of a step counts for against the limit of its workspace.
    pub(super) fn charge(&self, id: StepId) -> Option<Charge> {
        let job = self.jobs.get(&id.job)?;
        Some(Charge {
            account: job.account?,
            size: charged(job.step(id)?),
        })
    }

    /// Returns whether a run that counts for so much may be started.
    pub(super) fn admits(&self, charge: Option<Charge>) -> bool {
        charge.is_none_or(|charge| self.quotas.admits(charge.account, charge.size))
    }

    /// Returns whether the workspace of a job has more running than its limit, which was lowered, allows.
    pub(super) fn is_over_limit(&self, id: JobId) -> bool {
        let account = self.jobs.get(&id).and_then(|job| job.account);
        account.is_some_and(|account| !self.quotas.admits(account, Resources::ZERO))
    }

    /// Returns whether the limit of its workspace holds a step back, now or in this pass.
    ///
    /// What it needs is kept from others of its workspace that come after it: smaller ones would take each piece of the limit
    /// before there is enough for a wide gang. That costs other workspaces nothing, and nobody makes way for it. A gang that
    /// is too wide for the limit holds up none.
    pub(super) fn is_limited(&self, id: StepId, reserved: &mut Reserved) -> bool {
        let Some(charge) = self.charge(id) else {
            return false;
        };
        let account = charge.account;
        let needed = self.needed(id, charge);
        let kept = reserved.of_limit(account, id);
        let beside = needed
            .zip(kept)
            .and_then(|(needed, kept)| needed.checked_add(kept));
        if beside.is_some_and(|size| self.quotas.admits(account, size)) {
            return false;
        }
        let limit = self.quotas.account(account).limit;
        if let Some(needed) = needed.filter(|size| limit.admits(Resources::ZERO, *size)) {
            reserved.keep_of_limit(account, id, needed);
        }
        true
    }

    /// Keeps what a gang needs of its workspace's limit while it is asked which workers may run it.
    pub(super) fn keep_of_limit(&self, id: StepId, reserved: &mut Reserved) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let is_asked = job.stage(id).is_some_and(|stage| stage.advice.asking > 0);
        let is_gang = job.step(id).is_some_and(|step| step.gang);
        let charge = self.charge(id).filter(|_| is_asked && is_gang);
        let kept = charge.and_then(|charge| Some((charge.account, self.needed(id, charge)?)));
        if let Some((account, needed)) = kept {
            reserved.keep_of_limit(account, id, needed);
        }
    }

    /// Returns what a step has to start at once: all members of a gang, one task of another; `None` where that can't be
    /// counted.
    fn needed(&self, id: StepId, charge: Charge) -> Option<Resources> {
        let job = self.jobs.get(&id.job)?;
        let (step, stage) = (job.step(id)?, job.stage(id)?);
        let count = match step.gang && stage.active() == 0 {
            true => u32::try_from(stage.waiting.len()).ok()?,
            false => 1,
        };
        charge.size.checked_mul(count)
    }

    /// Returns what each workspace has running.
    pub fn usage(&self) -> Vec<Usage> {
        let accounts = self.quotas.accounts();
        let usage = accounts.map(|(_, account)| Usage {
            workspace: account.team.clone(),
            used: account.used,
            limit: account.limit.resources,
        });
        usage.collect()
    }
}
