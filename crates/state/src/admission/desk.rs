//! The checks of a new job.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::Pace;
use crate::{
    clock::Timestamp,
    job::{
        Kind,
        Spec, //
    },
    learn::{
        Estimator,
        Key, //
    },
    placement::Index,
    policy::{
        Policy,
        UnknownTeam, //
    },
    queue::Queue,
    quota::Ledger,
    refusal::{
        Reason,
        Refusal, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores,
        Span, //
    },
};

/// A full queue is worth another try once this part of it has been served.
const SERVED_PART: u32 = 20;
/// Runs that must have been seen before an estimate alone refuses a job.
const ENOUGH_SAMPLES: u32 = 20;
/// A declared run time is taken for up to this many times too long.
const DECLARED_EXCESS: u32 = 5;
/// A run may be this many times shorter than the median of its program.
const LEARNED_EXCESS: u32 = 4;

/// What the checks look at; nothing is changed.
#[derive(Clone, Copy, Debug)]
pub struct Desk<'a> {
    /// The policy in force.
    pub policy: &'a Policy,
    /// The limits and use of all teams.
    pub ledger: &'a Ledger,
    /// What waits.
    pub queue: &'a Queue,
    /// The workers.
    pub index: &'a Index,
    /// How many workers there are of each capacity: processors, memory, accelerators.
    pub shapes: &'a BTreeMap<(u32, u64, u16), u32>,
    /// The run times that were learned.
    pub estimator: &'a Estimator,
    /// How fast waiting jobs are served.
    pub pace: Pace,
    /// How many tasks of the job's size the cell takes while it is empty, where the caller knows;
    /// else only the workers here count.
    pub room: Option<u64>,
}

impl Desk<'_> {
    /// Returns whether a job may be taken in.
    ///
    /// # Errors
    ///
    /// [`Reason::Empty`], [`Reason::UnknownTeam`], [`Reason::TooLarge`], [`Reason::OverQuota`],
    /// [`Reason::Deadline`], [`Reason::QueueFull`] and [`Reason::TeamQueueFull`]; the latter two
    /// say when asking again is of use.
    pub fn check(&self, spec: &Spec, now: Timestamp) -> Result<(), Refusal> {
        self.check_form(spec)?;
        self.check_team(spec)?;
        self.check_size(spec)?;
        self.check_quota(spec)?;
        self.check_deadline(spec, now)?;
        self.check_queues(spec)
    }

    fn check_form(&self, spec: &Spec) -> Result<(), Refusal> {
        if spec.tasks == 0 {
            return Err(Refusal::new(Reason::Empty, "a job needs at least one task"));
        }
        if spec.size.is_zero() {
            let detail = "a task needs some processor time or memory";
            return Err(Refusal::new(Reason::Malformed, detail));
        }
        let most = self.policy.bounds.tasks;
        if spec.tasks > most {
            let detail = format!("the job has {} tasks, at most are {most}", spec.tasks);
            return Err(Refusal::new(Reason::TooLarge, detail));
        }
        Ok(())
    }

    fn check_team(&self, spec: &Spec) -> Result<(), Refusal> {
        let slot = self.ledger.find(&spec.team);
        let configured = slot.is_some_and(|slot| self.ledger.account(slot).configured);
        if !configured && self.policy.unknown_team == UnknownTeam::Refuse {
            let detail = format!("there is no team `{}`", spec.team);
            return Err(Refusal::new(Reason::UnknownTeam, detail));
        }
        Ok(())
    }

    /// Refuses what could not run even on an empty cell; without workers nothing is known.
    fn check_size(&self, spec: &Spec) -> Result<(), Refusal> {
        if self.index.is_empty() && self.room.is_none() {
            return Ok(());
        }
        let fits = match self.room {
            Some(room) => room > 0,
            None => self.index.fits_empty(&spec.size),
        };
        if !fits {
            let detail = format!("a task needs {}, more than any worker has", spec.size);
            return Err(Refusal::new(Reason::TooLarge, detail));
        }
        if spec.kind != Kind::Gang {
            return Ok(());
        }
        let room = self.room.unwrap_or_else(|| self.empty_room(&spec.size));
        if room < u64::from(spec.tasks) {
            let detail = format!(
                "the gang has {} tasks of {}, the empty cell takes {room}",
                spec.tasks, spec.size
            );
            return Err(Refusal::new(Reason::TooLarge, detail));
        }
        Ok(())
    }

    /// Returns how many tasks of a size the cell would take if it were empty.
    fn empty_room(&self, size: &Resources) -> u64 {
        let of_shape = |(shape, count): (&(u32, u64, u16), &u32)| {
            let capacity = Resources::new(Millicores(shape.0), Bytes(shape.1), shape.2);
            u64::from(*count) * times(size, &capacity)
        };
        self.shapes.iter().map(of_shape).sum()
    }

    /// Refuses what could not run even if the team used nothing else.
    fn check_quota(&self, spec: &Spec) -> Result<(), Refusal> {
        let slot = self.ledger.find(&spec.team);
        let limit = slot.map_or(self.policy.default_limit, |slot| {
            self.ledger.account(slot).limit
        });
        let at_once = match spec.kind {
            Kind::Batch => 1,
            Kind::Gang | Kind::Service { .. } => spec.tasks,
        };
        let total = spec.size.checked_mul(at_once);
        let admitted = total.is_some_and(|total| limit.admits(Resources::ZERO, total));
        match (admitted, limit.resources) {
            (false, Some(most)) => {
                let detail = format!(
                    "{at_once} tasks of {} at once are more than the {most} of team `{}`",
                    spec.size, spec.team
                );
                Err(Refusal::new(Reason::OverQuota, detail))
            }
            (false, None) => {
                let detail = format!("{at_once} tasks of {} are too many", spec.size);
                Err(Refusal::new(Reason::TooLarge, detail))
            }
            (true, _) => Ok(()),
        }
    }

    /// Refuses what can't end by its deadline even if it started at once.
    ///
    /// Run times vary and declarations are often too long, so both must say so by a wide margin.
    fn check_deadline(&self, spec: &Spec, now: Timestamp) -> Result<(), Refusal> {
        let Some(deadline) = spec.deadline else {
            return Ok(());
        };
        if deadline <= now {
            return Err(Refusal::new(Reason::Deadline, "the deadline has passed"));
        }
        let left = now.until(deadline);
        let Some(shortest) = self.shortest_run(spec) else {
            return Ok(());
        };
        if shortest > left {
            let detail = format!(
                "a task runs for at least about {}, the deadline is in {}",
                Span::from(shortest),
                Span::from(left)
            );
            return Err(Refusal::new(Reason::Deadline, detail));
        }
        Ok(())
    }

    /// Returns a run time that tasks of the job hardly fall below, where one is known.
    fn shortest_run(&self, spec: &Spec) -> Option<Duration> {
        let key = Key::new(spec.team.clone(), &spec.payload.program);
        let estimate = self.estimator.runtime(&key, spec.runtime);
        let seen = estimate.samples >= ENOUGH_SAMPLES;
        let learned = seen.then(|| estimate.p50 / LEARNED_EXCESS);
        let declared = spec.runtime.map(|declared| declared / DECLARED_EXCESS);
        match (learned, declared) {
            (Some(learned), Some(declared)) => Some(learned.min(declared)),
            (learned, declared) => learned.or(declared),
        }
    }

    fn check_queues(&self, spec: &Spec) -> Result<(), Refusal> {
        let class = spec.priority;
        let bound = self.policy.bounds.class(class);
        if self.queue.class(class) >= bound {
            let detail = format!("{bound} jobs of the class wait already");
            let after = self.pace.wait_for(bound / SERVED_PART);
            return Err(Refusal::new(Reason::QueueFull, detail).retry_after(after));
        }
        let Some(slot) = self.ledger.find(&spec.team) else {
            return Ok(());
        };
        let bound = self.ledger.account(slot).limit.queue;
        if self.queue.team(slot) >= bound {
            let detail = format!("{bound} jobs of team `{}` wait already", spec.team);
            let after = self.pace.wait_for(bound / SERVED_PART);
            return Err(Refusal::new(Reason::TeamQueueFull, detail).retry_after(after));
        }
        Ok(())
    }
}

/// Returns how many times a size fits into a capacity.
fn times(size: &Resources, capacity: &Resources) -> u64 {
    let per = |capacity: u64, size: u64| capacity.checked_div(size).unwrap_or(u64::MAX);
    let cpu = per(u64::from(capacity.cpu.0), u64::from(size.cpu.0));
    let memory = per(capacity.memory.0, size.memory.0);
    let accelerators = per(
        u64::from(capacity.accelerators),
        u64::from(size.accelerators),
    );
    cpu.min(memory).min(accelerators)
}
