//! One running task.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_coordination::platform::worker::{
    End,
    Running, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        TaskId, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};

use super::profile::Profile;
use crate::{
    record::Place,
    target::Target, //
};

/// The whole of a processor share, in thousandths.
pub(super) const FULL_RATE: u16 = 1_000;

/// What remains to be done of a task that runs to its end.
#[derive(Debug)]
pub(super) struct Work {
    /// What was left at the mark, at full rate.
    pub(super) left: Duration,
    /// When that was.
    pub(super) mark: Timestamp,
    /// The share of processor time since then, in thousandths.
    pub(super) rate: u16,
    /// Whether it fails at its end.
    pub(super) fails: bool,
}

impl Work {
    /// Returns when the work will be done at the present rate.
    fn done_at(&self) -> Timestamp {
        if self.rate == 0 {
            return Timestamp::MAX;
        }
        self.mark + self.left * u32::from(FULL_RATE) / u32::from(self.rate)
    }

    /// Moves the mark forward, counting the work done since.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let done = now.since(self.mark) * u32::from(self.rate) / u32::from(FULL_RATE);
        self.left = self.left.saturating_sub(done);
        self.mark = now;
    }
}

/// A task that runs on the worker.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) attempt: Attempt,
    pub(super) epoch: Epoch,
    pub(super) size: Resources,
    pub(super) started: Timestamp,
    pub(super) lease_until: Timestamp,
    /// None for a task of a service, which runs until it is stopped.
    pub(super) work: Option<Work>,
    pub(super) target: Option<Target>,
    /// When a stop that was ordered is enforced.
    pub(super) stop_by: Option<Timestamp>,
    pub(super) place: Place,
    /// The first version of the inventory that shows it.
    pub(super) since: u64,
    /// The version at which its report last changed.
    pub(super) changed: u64,
    /// That report.
    pub(super) shown: Option<Report>,
}

/// What an inventory says of a task besides its age and its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Report {
    usage: Resources,
    target: Option<SocketAddr>,
    busy: u16,
}

impl From<&Running> for Report {
    fn from(running: &Running) -> Self {
        Self {
            usage: running.usage,
            target: running.target,
            busy: running.busy,
        }
    }
}

impl Task {
    /// Returns how and when the task has ended by now, if it has.
    pub(super) fn end(&self, now: Timestamp) -> Option<(End, Timestamp)> {
        let done = self.work.as_ref().map(|work| {
            let end = if work.fails {
                End::Failed
            } else {
                End::Succeeded
            };
            (end, work.done_at())
        });
        [done, self.stopped(now), self.lapse(now)]
            .into_iter()
            .flatten()
            .filter(|(_, at)| *at <= now)
            .min_by_key(|(_, at)| *at)
    }

    /// Returns when the lease lapsed, if it has.
    pub(super) fn lapse(&self, now: Timestamp) -> Option<(End, Timestamp)> {
        (self.lease_until <= now).then_some((End::Lapsed, self.lease_until))
    }

    /// An ordered stop is done once the target is idle, and at the latest after the grace.
    fn stopped(&self, now: Timestamp) -> Option<(End, Timestamp)> {
        let stop_by = self.stop_by?;
        let idle = self.target.as_ref().is_none_or(|target| target.busy() == 0);
        let at = if idle { stop_by.min(now) } else { stop_by };
        Some((End::Stopped, at))
    }

    /// Returns the task as the inventory shows it.
    pub(super) fn running(&self, task: TaskId, now: Timestamp, profile: &Profile) -> Running {
        let age = now.since(self.started);
        let usage = if age < profile.usage_lag {
            Resources::ZERO
        } else {
            scale(&self.size, profile.usage)
        };
        Running {
            task,
            attempt: self.attempt,
            epoch: self.epoch,
            size: self.size,
            usage,
            age,
            lease: now.until(self.lease_until),
            target: self.target.as_ref().map(Target::address),
            busy: self.target.as_ref().map_or(0, Target::busy),
        }
    }
}

fn scale(size: &Resources, thousandths: u16) -> Resources {
    let of = |amount: u64| amount / 1_000 * u64::from(thousandths);
    let cpu = u64::from(size.cpu.0) * u64::from(thousandths) / 1_000;
    Resources {
        cpu: Millicores(u32::try_from(cpu).unwrap_or(u32::MAX)),
        memory: Bytes(of(size.memory.0)),
        accelerators: size.accelerators,
    }
}
