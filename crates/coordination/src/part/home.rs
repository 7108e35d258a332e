//! The home's side: what it orders, and what it makes of the reports.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        JobId,
        ShardId, //
    },
    job::Spec,
};

use super::{
    Origin,
    Part, //
};
use crate::{
    journal::Record,
    peer::part::{
        Order,
        Report,
        State,
        Wish, //
    },
    recovery::{
        Image,
        Job, //
    },
};

/// The pause before an order is sent again that is not known to be followed.
const SOON: Duration = Duration::from_millis(100);
/// The longest pause between two orders about one part.
const POLL: Duration = Duration::from_secs(2);
/// After how long a part of which nothing was started is wanted back.
const IDLE: Duration = Duration::from_secs(20);
/// How long after the end of a part was kept its shard may forget it.
const SETTLE: Duration = Duration::from_secs(30);
/// How often a shard is told to forget before it is left to it.
const REMINDERS: u32 = 10;

/// How far one part has come, as this owner knows it.
#[derive(Clone, Debug)]
struct Entry {
    job: JobId,
    stage: Stage,
    next: Timestamp,
    tries: u32,
    known: Option<State>,
    idle_since: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It has not ended.
    Open,
    /// Its end is kept here.
    Ended(ShardId),
}

/// What the owner of a home shard knows of the parts of its jobs.
///
/// What must last is in the shard's [`Image`]; this can be made anew from it at any time.
#[derive(Clone, Debug)]
pub struct Home {
    shard: ShardId,
    entries: BTreeMap<JobId, Entry>,
    /// No order is due before, so that an event costs nothing while none is.
    wake: Timestamp,
}

impl Home {
    /// Takes up the parts that the journal knows.
    pub fn new(shard: ShardId, image: &Image, now: Timestamp) -> Self {
        let mut home = Self {
            shard,
            entries: BTreeMap::new(),
            wake: Timestamp::MAX,
        };
        for id in image.jobs.keys() {
            home.follow(*id, image, now);
        }
        home
    }

    /// Takes note of a change of a job that was kept.
    pub fn follow(&mut self, id: JobId, image: &Image, now: Timestamp) {
        let Some(job) = image.jobs.get(&id) else {
            return;
        };
        let delegation = job.delegation.iter();
        for (part, known) in delegation.flat_map(|delegation| &delegation.parts) {
            let entry = self.entries.entry(*part).or_insert_with(|| Entry {
                job: id,
                stage: Stage::Open,
                next: now,
                tries: 0,
                known: None,
                idle_since: None,
            });
            entry.follow(known, job.cancelled, now);
            self.wake = self.wake.min(entry.next);
        }
    }

    /// Returns the orders that are due, one a part.
    ///
    /// `has_room` says whether a part could start in another shard; only then is an idle one wanted
    /// back.
    pub fn due(
        &mut self,
        image: &Image,
        has_room: impl Fn(&Spec, &Part) -> bool,
        now: Timestamp,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        if self.wake > now {
            return orders;
        }
        let shard = self.shard;
        self.entries.retain(|id, entry| {
            if entry.next > now {
                return true;
            }
            let order = entry.order(*id, shard, image, &has_room, now);
            let kept = order.is_some();
            orders.extend(order);
            kept
        });
        let next = self.entries.values().map(|entry| entry.next).min();
        self.wake = next.unwrap_or(Timestamp::MAX);
        orders
    }

    /// Takes in a report; returns the record to keep where the part has ended.
    pub fn on(&mut self, report: &Report, image: &Image, now: Timestamp) -> Option<Record> {
        let entry = self.entries.get_mut(&report.part)?;
        if report.of.home != self.shard || report.of.job != entry.job {
            return None;
        }
        if let Stage::Ended(_) = entry.stage {
            if report.state == State::Absent {
                self.entries.remove(&report.part);
            }
            return None;
        }
        entry.hear(report.state, now);
        let State::Ended(counts) = report.state else {
            return None;
        };
        let delegation = image.jobs.get(&entry.job)?.delegation.as_ref()?;
        let open = delegation.parts.get(&report.part)?.ended.is_none();
        open.then_some(Record::PartEnded {
            job: entry.job,
            part: report.part,
            counts,
        })
    }

    /// Returns what was last reported of a part.
    pub fn state(&self, part: JobId) -> Option<State> {
        self.entries.get(&part).and_then(|entry| entry.known)
    }

    /// Returns whether a part waits for so long that it matters what other shards have left.
    pub fn has_idle(&self, now: Timestamp) -> bool {
        self.entries.values().any(|entry| entry.is_idle(now))
    }

    /// Returns when the next order is due.
    pub fn next_wake(&self) -> Option<Timestamp> {
        (!self.entries.is_empty()).then_some(self.wake)
    }
}

impl Entry {
    fn follow(&mut self, part: &Part, cancelled: bool, now: Timestamp) {
        match (self.stage, part.ended) {
            (Stage::Open, Some(_)) => {
                self.stage = Stage::Ended(part.shard);
                self.tries = 0;
                self.next = now + SETTLE;
            }
            (Stage::Open, None) if cancelled => {
                self.tries = 0;
                self.next = now;
            }
            _ => {}
        }
    }

    fn hear(&mut self, state: State, now: Timestamp) {
        // A part that was taken stays taken until its end is kept here.
        if !self.is_taken() || state != State::Absent {
            self.known = Some(state);
        }
        let idle = match state {
            State::Open { running, ended, .. } => running == 0 && ended.total() == 0,
            State::Absent | State::Unsettled | State::Ended(_) => false,
        };
        self.idle_since = match idle {
            true => self.idle_since.or(Some(now)),
            false => None,
        };
    }

    const fn is_taken(&self) -> bool {
        matches!(self.known, Some(State::Open { .. } | State::Ended(_)))
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        self.idle_since
            .is_some_and(|since| now.since(since) >= IDLE)
    }

    /// Returns the order that is due, or `None` where nothing is left to order.
    fn order(
        &mut self,
        part: JobId,
        home: ShardId,
        image: &Image,
        has_room: impl Fn(&Spec, &Part) -> bool,
        now: Timestamp,
    ) -> Option<Order> {
        let of = Origin {
            job: self.job,
            home,
        };
        if let Stage::Ended(shard) = self.stage {
            self.pause(now);
            return (self.tries <= REMINDERS).then_some(Order {
                part,
                shard,
                of,
                wish: Wish::Forget,
                at: now,
                spec: None,
            });
        }
        let job = image.jobs.get(&self.job)?;
        let known = job.delegation.as_ref()?.parts.get(&part)?;
        let wish = self.wish(job, known, has_room, now);
        if self.is_taken() && wish == Wish::Run {
            self.tries = 0;
            self.next = now + POLL;
        } else {
            self.pause(now);
        }
        Some(Order {
            part,
            shard: known.shard,
            of,
            wish,
            at: now,
            spec: (!self.is_taken()).then(|| declaration(job, known)),
        })
    }

    fn wish(
        &self,
        job: &Job,
        part: &Part,
        has_room: impl Fn(&Spec, &Part) -> bool,
        now: Timestamp,
    ) -> Wish {
        if job.cancelled {
            Wish::Cancel
        } else if self.is_idle(now) && has_room(&job.spec, part) {
            Wish::Return
        } else {
            Wish::Run
        }
    }

    /// Doubles the pause with each order that changes nothing.
    fn pause(&mut self, now: Timestamp) {
        let pause = SOON.saturating_mul(1 << self.tries.min(5));
        self.tries += 1;
        self.next = now + pause.min(POLL);
    }
}

/// Returns the declaration of a part.
fn declaration(job: &Job, part: &Part) -> Box<Spec> {
    Box::new(Spec {
        tasks: part.tasks,
        ..job.spec.as_ref().clone()
    })
}
