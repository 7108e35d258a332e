//! Which tasks of a new job go to other shards.

use fulmarpier_coordination::{
    journal::Record,
    part::{
        self,
        Share, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        JobId,
        ShardId, //
    },
    job::{
        Kind,
        Spec,
        Spread, //
    },
    refusal::{
        Reason,
        Refusal, //
    },
};

use super::super::{
    Live,
    Scope,
    commit::Pending,
    jobs::RETRY, //
};

impl Live {
    /// Returns whether a job may be accepted, with the workers of all shards in view.
    pub(crate) fn check(&mut self, spec: &Spec, now: Timestamp) -> Result<(), Refusal> {
        let sites = &self.parts.sites;
        if sites.is_empty() {
            let detail = "the VM list shows no worker in the region";
            return Err(Refusal::new(Reason::NoOwner, detail).retry_after(RETRY));
        }
        let room = match spec.kind {
            // A gang starts in one shard.
            Kind::Gang => sites.largest(&spec.size).map_or(0, |(room, _)| room),
            Kind::Batch | Kind::Service { .. } => sites.fits(&spec.size),
        };
        self.engine.check_in(spec, Some(room), now)
    }

    /// Brings a job whose record is kept into the queue, here and where its other tasks go.
    pub(in crate::shard) fn begin_job(&mut self, job: JobId, spec: Spec, scope: &mut Scope<'_>) {
        let (home, parts) = self.division(job, &spec);
        if parts.is_empty() {
            self.engine.submit(job, spec, scope.now);
            return;
        }
        let record = Record::Delegated { job, home, parts };
        if self
            .push(record, Pending::Delegate { job }, scope.now)
            .is_err()
        {
            // Nothing was delegated, so all of it is at home.
            self.engine.submit(job, spec, scope.now);
        }
    }

    /// Divides jobs that an earlier owner accepted and certainly neither divided nor started.
    pub(in crate::shard) fn divide_late(&mut self, jobs: &[JobId], scope: &mut Scope<'_>) {
        for job in jobs {
            let Some(held) = self.journal.image().jobs.get(job) else {
                continue;
            };
            let whole = held.delegation.is_none() && held.of.is_none() && !held.cancelled;
            let new = whole && held.tasks.is_empty() && self.engine.may_withdraw(*job);
            if !new {
                continue;
            }
            let (home, parts) = self.division(*job, &held.spec);
            if parts.is_empty() {
                continue;
            }
            let record = Record::Delegated {
                job: *job,
                home,
                parts,
            };
            let pending = Pending::Delegate { job: *job };
            if self.push(record, pending, scope.now).is_ok() {
                self.engine.withdraw(*job, scope.now);
            }
        }
    }

    /// Follows a delegation that is kept: what stays may start, and the orders may leave.
    pub(in crate::shard) fn delegated(&mut self, job: JobId, scope: &mut Scope<'_>) {
        self.parts.divided.insert(job);
        self.queue_own(job, scope);
        self.follow_parts(job, scope);
    }

    /// Lets a job start here after all, because its delegation is certainly not kept.
    pub(in crate::shard) fn undelegated(&mut self, job: JobId, scope: &Scope<'_>) {
        if self.report.fenced.is_none() {
            self.queue_own(job, scope);
        }
    }

    /// Puts into the queue what this shard itself runs of a job, by the journal.
    fn queue_own(&mut self, job: JobId, scope: &Scope<'_>) {
        // One that is cancelled already is cancelled by what comes next in the journal.
        let held = self.journal.image().jobs.get(&job);
        if let Some((own, at)) = held.and_then(|held| Some((held.own()?, held.accepted))) {
            self.engine
                .submit(job, own.as_ref().clone(), at.min(scope.now));
        }
    }

    /// Returns how many tasks of a new job stay here, and the shares of the others.
    fn division(&self, job: JobId, spec: &Spec) -> (u32, Vec<Share>) {
        let spread = match (spec.spread, &spec.kind) {
            (Spread::Any, Kind::Service { .. }) => self.engine.policy().spread,
            (spread, _) => spread,
        };
        let sites = &self.parts.sites;
        let here = sites.iter().find(|(shard, _)| *shard == self.shard);
        let fits = here.map_or(0, |(_, site)| site.fits(&spec.size));
        let divides = matches!(spec.kind, Kind::Service { .. }) && spread != Spread::Any;
        if divides {
            let mut tasks = part::spread(sites, self.shard, spec, spread);
            let home = tasks.remove(&self.shard).unwrap_or_default();
            let shares = tasks
                .into_iter()
                .map(|(shard, n)| self.share(job, shard, n));
            return (home, shares.collect());
        }
        let least = match spec.kind {
            Kind::Gang => spec.tasks.into(),
            Kind::Batch | Kind::Service { .. } => 1,
        };
        if fits >= least {
            return (spec.tasks, Vec::new());
        }
        // A shard whose workers can't hold it passes it on whole.
        let largest = sites.largest(&spec.size);
        match largest.filter(|(fits, _)| *fits >= least) {
            Some((_, shard)) => (0, vec![self.share(job, shard, spec.tasks)]),
            None => (spec.tasks, Vec::new()),
        }
    }

    /// Names a new part of a job.
    pub(super) fn share(&self, job: JobId, shard: ShardId, tasks: u32) -> Share {
        let held = self.journal.image().jobs.get(&job);
        let delegation = held.and_then(|held| held.delegation.as_ref());
        let round = delegation.map_or(0, part::Delegation::round);
        Share {
            part: part::part_id(job, shard, round),
            shard,
            tasks,
        }
    }
}
