//! This shard as the home of jobs that run in others too.

use std::{
    collections::{
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
    time::Duration,
};

use fulmarpier_coordination::{
    journal::Record,
    part::{
        self,
        Home,
        Sites, //
    },
    peer::part::{
        Order,
        Report, //
    },
    recovery::Image,
};
use fulmarpier_protocol::http::job::View;
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    engine::Counts,
    explain::Explanation,
    id::{
        JobId,
        ShardId, //
    },
    job::Spec,
    worker::Condition,
};

use super::super::{
    Live,
    Scope,
    commit::Pending, //
};

/// How often it is looked for jobs that could start elsewhere.
const REVIEW: Duration = Duration::from_secs(2);
/// How long a job waits here before it may go where there is room.
const PATIENCE: Duration = Duration::from_secs(10);
/// The most jobs that leave in one review.
const MOVES: usize = 32;
/// How many divided jobs that have ended are remembered as callers see them.
pub(super) const FINISHED_MAX: usize = 1_000;

/// What an owner knows of its divided jobs besides the journal.
pub(crate) struct State {
    pub(super) home: Home,
    pub(super) sites: Arc<Sites>,
    /// The jobs with parts elsewhere.
    pub(super) divided: BTreeSet<JobId>,
    /// How the tasks that ran here ended, of divided jobs.
    pub(super) own: HashMap<JobId, Counts>,
    /// Divided jobs that have ended, as callers see them, the oldest first.
    pub(super) finished: VecDeque<(JobId, View)>,
    /// Parts of other shards' jobs that the engine knows.
    pub(super) hosted: BTreeSet<JobId>,
    review_at: Timestamp,
    wants_rooms: bool,
}

impl State {
    /// Takes up what the journal knows.
    pub(in crate::shard) fn new(shard: ShardId, image: &Image, now: Timestamp) -> Self {
        let divided = image.jobs.iter();
        let divided = divided.filter(|(_, job)| job.delegation.is_some());
        let hosted = image.jobs.iter().filter(|(_, job)| job.of.is_some());
        Self {
            home: Home::new(shard, image, now),
            sites: Arc::default(),
            divided: divided.map(|(id, _)| *id).collect(),
            own: HashMap::default(),
            finished: VecDeque::new(),
            hosted: hosted.map(|(id, _)| *id).collect(),
            review_at: now,
            wants_rooms: false,
        }
    }

    /// Returns when something is next due.
    pub(in crate::shard) fn next_wake(&self) -> Option<Timestamp> {
        [self.home.next_wake(), Some(self.review_at)]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Live {
    /// Follows the VM list.
    pub(crate) fn set_sites(&mut self, sites: Arc<Sites>) {
        self.parts.sites = sites;
    }

    /// Returns what the workers that take tasks have left.
    pub(crate) fn room(&self) -> part::Room {
        let open = self.engine.workers();
        let open = open.filter(|(_, condition)| *condition == Condition::Open);
        let free = open.filter_map(|(spec, _)| self.engine.free(spec.id));
        let waiting = self.engine.digest().waiting_tasks;
        free.fold(part::Room::none(self.shard, waiting), part::Room::and)
    }

    /// Returns whether it matters here what other shards have left.
    pub(crate) const fn wants_rooms(&self) -> bool {
        self.parts.wants_rooms
    }

    /// Returns the orders about parts that are due.
    pub(crate) fn due_parts(&mut self, scope: &Scope<'_>) -> Vec<Order> {
        if !self.is_active(scope.now) {
            return Vec::new();
        }
        let has_room = |spec: &Spec, known: &part::Part| {
            let same = |shard| shard == known.shard;
            part::elsewhere(scope.rooms, same, spec, known.tasks, scope.now).is_some()
        };
        let image = self.journal.image();
        self.parts.home.due(image, has_room, scope.now)
    }

    /// Takes in a report on a part.
    pub(crate) fn reported(&mut self, report: &Report, scope: &mut Scope<'_>) {
        let ended = self.parts.home.on(report, self.journal.image(), scope.now);
        let Some(record) = ended else {
            return;
        };
        let part = report.part;
        let job = report.of.job;
        let known =
            |pending: &Pending| matches!(pending, Pending::PartEnded { part: p, .. } if *p == part);
        if !self.pending.values().any(known) {
            // The part goes on reporting its end until a record of it is kept.
            let _ = self.push(record, Pending::PartEnded { job, part }, scope.now);
        }
    }

    /// Follows a change of a divided job that is kept.
    pub(in crate::shard) fn follow_parts(&mut self, job: JobId, scope: &mut Scope<'_>) {
        let image = self.journal.image();
        self.parts.home.follow(job, image, scope.now);
        if !self.delegate_owed(job, scope) {
            self.end_divided(job, scope);
        }
    }

    /// Looks for tasks and jobs that could start elsewhere.
    pub(in crate::shard) fn review_parts(&mut self, scope: &mut Scope<'_>) {
        if scope.now < self.parts.review_at || !self.is_active(scope.now) {
            return;
        }
        self.parts.review_at = scope.now + REVIEW;
        self.prune_hosted();
        let divided: Vec<JobId> = self.parts.divided.iter().copied().collect();
        let mut owed = false;
        for job in divided {
            let image = self.journal.image();
            owed |= image.jobs.get(&job).is_some_and(|job| job.owed() > 0);
            self.delegate_owed(job, scope);
        }
        let stuck = self.stuck_jobs(scope.now);
        let idle = self.parts.home.has_idle(scope.now);
        self.parts.wants_rooms = owed || idle || !stuck.is_empty();
        self.move_jobs(stuck, scope);
    }

    /// Forgets parts that the engine has forgotten.
    fn prune_hosted(&mut self) {
        let image = self.journal.image();
        let engine = &self.engine;
        let known = |id: &JobId| image.jobs.contains_key(id) || engine.spec(*id).is_some();
        self.parts.hosted.retain(known);
    }

    /// Lists the jobs of which nothing has started for want of room, the oldest first.
    fn stuck_jobs(&self, now: Timestamp) -> Vec<JobId> {
        let image = self.journal.image();
        let is_own = |job: &JobId| {
            let held = image.jobs.get(job);
            held.is_some_and(|held| held.of.is_none() && !held.cancelled)
        };
        let waits = |job: &JobId| match self.engine.explain(*job, now) {
            Some(Explanation::NoRoom { .. } | Explanation::AwaitingWorkers { .. }) => true,
            Some(
                Explanation::Reserved { until } | Explanation::BehindReservation { until, .. },
            ) => until > now + PATIENCE,
            // A quota holds wherever a job is.
            _ => false,
        };
        let unstarted = self.engine.unstarted(now.saturating_sub(PATIENCE));
        let stuck = unstarted.into_iter().filter(is_own).filter(waits);
        stuck.take(MOVES).collect()
    }

    fn move_jobs(&mut self, jobs: Vec<JobId>, scope: &mut Scope<'_>) {
        // One move a shard and review, so that what it has left is true for the next.
        let mut taken = BTreeSet::new();
        for job in jobs {
            let Some(held) = self.journal.image().jobs.get(&job) else {
                continue;
            };
            let (spec, tasks) = (Arc::clone(&held.spec), held.share());
            let not = |shard| shard == self.shard || taken.contains(&shard);
            let to = part::elsewhere(scope.rooms, not, &spec, tasks, scope.now);
            if let Some(shard) = to {
                taken.insert(shard);
                self.move_job(job, shard, tasks, scope);
            }
        }
    }

    /// Delegates all that this shard has of a job of which nothing has started.
    fn move_job(&mut self, job: JobId, shard: ShardId, tasks: u32, scope: &mut Scope<'_>) {
        if !self.engine.may_withdraw(job) {
            return;
        }
        let share = self.share(job, shard, tasks);
        let record = Record::Delegated {
            job,
            home: 0,
            parts: vec![share],
        };
        // From here on nothing of it starts here, whatever becomes of the record.
        if self
            .push(record, Pending::Delegate { job }, scope.now)
            .is_ok()
        {
            self.engine.withdraw(job, scope.now);
        }
    }

    /// Delegates tasks that came back; returns whether any are still to be placed.
    fn delegate_owed(&mut self, job: JobId, scope: &Scope<'_>) -> bool {
        let Some(held) = self.journal.image().jobs.get(&job) else {
            return false;
        };
        let owed = held.owed();
        if owed == 0 {
            return false;
        }
        let pending =
            |pending: &Pending| matches!(pending, Pending::Delegate { job: j } if *j == job);
        if self.pending.values().any(pending) {
            return true;
        }
        let (spec, home) = (Arc::clone(&held.spec), held.share());
        let to = part::elsewhere(scope.rooms, |_| false, &spec, owed, scope.now);
        if let Some(shard) = to {
            let parts = vec![self.share(job, shard, owed)];
            let record = Record::Delegated { job, home, parts };
            // The next review tries again.
            let _ = self.push(record, Pending::Delegate { job }, scope.now);
        }
        true
    }
}
