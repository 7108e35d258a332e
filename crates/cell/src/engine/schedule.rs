//! The order in which open steps get their turn.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Wait,
    reserve::Reserved, //
};
use crate::id::StepId;

/// How many looks at workers a pass takes before it leaves the less urgent steps to later passes: events wait behind it,
/// for 2 ms of a whole core at most (`examples/fleet`, 540 workers, 150% of the work that fits). While they waited up to
/// 9 ms, five times as many urgent jobs were late in a burst on half a core.
const PASS_LOOKS: usize = 8_000;
/// How many looks it takes beyond that, at steps that come after and at others in each pass, so that steps which find
/// no room for a long time don't hide one that would.
const TURN_LOOKS: usize = 2_000;
/// What a step takes by itself, in looks at a worker.
const STEP_LOOKS: usize = 4;
/// What it takes to see what a worker could offer if some of its tasks made way, in looks.
const OFFER_LOOKS: usize = 10;
/// The least time between two passes over the open steps: a busy second has some 1,000 events.
const PASS_GAP: Duration = Duration::from_millis(4);
/// What each look adds to it, so that passes leave most of the processor to events whatever waits: the engine took 84 ms
/// of a second on that fleet.
const LOOK_GAP: Duration = Duration::from_nanos(800);
/// The time to the next pass while steps were passed over, if nothing happens before.
const TURN_GAP: Duration = Duration::from_millis(50);

/// The least span of time: a step is in time up to a moment, and late from the next one on.
const INSTANT: Duration = Duration::from_micros(1);
/// A gang that is late is ranked with those in time, one of a queue at a time, once so many others of its queue have
/// started while it waited: some 7 s of the arrivals of a busy fleet of 540. Else each gang that comes later, and fits
/// where a wide one doesn't, goes before it for as long as any come.
const MOST_OVERTAKEN: u64 = 64;

/// The priority of urgent queues, which may preempt the others.
const URGENT: u8 = 0;

/// How urgent a step is; the least comes first.
///
/// It answers the backlog after an outage or a change of owners, when quick urgent jobs are late and the room
/// is taken by large ones that are not: late urgent steps go before the others' steps that are in time. They
/// take little of the room, and their callers get an answer instead of none. On 48 workers 2.3% of the jobs
/// came to nothing so instead of 2.9%, worth 0.699 instead of 0.684 (25 plays of days with trouble).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    standing: Standing,
    priority: u8,
    lateness: Lateness,
    latest_start: Timestamp,
    pub(super) step: StepId,
}

/// Which steps go before which, whatever their priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// An urgent step that is worth something yet.
    Urgent,
    /// One of the others that can be in time.
    InTime,
    /// One of the others that is late.
    Late,
    /// One that is worth nothing any more.
    Worthless,
}

/// How late a step is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lateness {
    InTime,
    Late,
    Worthless,
}

impl Standing {
    const fn new(priority: u8, lateness: Lateness) -> Self {
        match lateness {
            Lateness::Worthless => Self::Worthless,
            _ if priority == URGENT => Self::Urgent,
            Lateness::InTime => Self::InTime,
            Lateness::Late => Self::Late,
        }
    }
}

impl Engine {
    /// Goes through the open steps in order of urgency and starts what fits.
    pub(super) fn schedule(&mut self, now: Timestamp) {
        for id in self.agenda.take_unranked(now) {
            if let Some((rank, change)) = self.rank(id, now) {
                self.agenda.rank(rank, change);
            }
        }
        let mut reserved = Reserved::default();
        self.keep_emptying(&mut reserved, now);
        let (last, looks) = self.serve_from(None, PASS_LOOKS, &mut reserved, now);
        let more = self.serve_in_turn(last, &mut reserved, now);
        let looks = u32::try_from(looks + more).unwrap_or(u32::MAX);
        self.next_pass = now + PASS_GAP.max(LOOK_GAP * looks);
    }

    /// Goes through the steps that come after one, until that has taken so many looks; returns the last one, if any
    /// comes after it, and how many looks it took.
    fn serve_from(
        &mut self,
        from: Option<Rank>,
        budget: usize,
        reserved: &mut Reserved,
        now: Timestamp,
    ) -> (Option<Rank>, usize) {
        let mut last = from;
        let mut looks = 0;
        while let Some(rank) = self.agenda.after(last) {
            if looks >= budget {
                return (last, looks);
            }
            last = Some(rank);
            if rank.standing == Standing::Late {
                self.promote(rank.step);
            }
            looks += self.look(rank.step, reserved, now);
        }
        (None, looks)
    }

    /// Goes on with the steps that were passed over, where the pass before this one has left off.
    fn serve_in_turn(
        &mut self,
        last: Option<Rank>,
        reserved: &mut Reserved,
        now: Timestamp,
    ) -> usize {
        let Some(last) = last else {
            self.turn = None;
            return 0;
        };
        let from = self.turn.map_or(last, |turn| turn.max(last));
        let (turn, looks) = self.serve_from(Some(from), TURN_LOOKS, reserved, now);
        self.turn = turn;
        self.look_again = Some(now + TURN_GAP);
        looks
    }

    /// Ranks a late gang with those in time where too many others were started before it, and none is ranked so already.
    fn promote(&mut self, id: StepId) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let is_gang = job.step(id).is_some_and(|step| step.gang);
        let Some(stage) = job.stage(id).filter(|_| is_gang) else {
            return;
        };
        let queue = &self.queue_of(job).name;
        let started = self.gangs_started.get(queue).copied().unwrap_or_default();
        let promoted = self.promoted.get(queue);
        let promoted = promoted.and_then(|promoted| self.agenda.rank_of(*promoted));
        let is_free = promoted.is_none_or(|rank| rank.lateness == Lateness::Worthless);
        let others = started.saturating_sub(stage.started_before);
        if is_free && others >= MOST_OVERTAKEN {
            self.promoted.insert(queue.clone(), id);
            self.agenda.unrank_one(id);
        }
    }

    /// Starts what fits of a step, or makes room for it; returns how many looks that took.
    fn look(&mut self, id: StepId, reserved: &mut Reserved, now: Timestamp) -> usize {
        if !self.knows_evacuation(now) {
            self.explain(id, Wait::Evacuation, now);
            return STEP_LOOKS;
        }
        let advice = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let advice = advice.map(|stage| &stage.advice);
        // Nothing can be known of it before the answer.
        if advice.is_some_and(|advice| advice.is_awaited()) {
            self.keep_of_limit(id, reserved);
            return STEP_LOOKS;
        }
        let allowed = advice.map_or(0, |advice| advice.allowed.len());
        if self.is_limited(id, reserved) {
            self.explain(id, Wait::Limit, now);
            return STEP_LOOKS;
        }
        if self.serve(id, reserved, now) || self.set_aside(id, now) {
            return STEP_LOOKS + allowed;
        }
        // Nobody makes way for what its own limit holds back.
        if self.is_limited(id, reserved) {
            self.explain(id, Wait::Limit, now);
            return STEP_LOOKS + allowed;
        }
        self.keep_of_limit(id, reserved);
        self.explain_wait(id, now);
        let is_made = !reserved.keeps(id) && self.make_room(id, reserved, now);
        STEP_LOOKS + allowed * if is_made { OFFER_LOOKS } else { 1 }
    }

    /// Returns the rank of a step, and when it changes.
    pub(super) fn rank(&self, id: StepId, now: Timestamp) -> Option<(Rank, Option<Timestamp>)> {
        let job = self.jobs.get(&id.job)?;
        let latest_start = job.latest_start(id);
        let worthless = job.worthless(id.occurrence);
        let (lateness, until) = match () {
            // It earns for as long as it runs, from whenever on.
            () if job.step(id).is_some_and(|step| step.lasting) => (Lateness::InTime, None),
            () if now <= latest_start => (Lateness::InTime, Some(latest_start)),
            () if now <= worthless => (Lateness::Late, Some(worthless)),
            () => (Lateness::Worthless, None),
        };
        let queue = self.queue_of(job);
        let priority = queue.priority;
        let is_promoted = self.promoted.get(&queue.name) == Some(&id);
        let lateness = match lateness {
            Lateness::Late if is_promoted => Lateness::InTime,
            lateness => lateness,
        };
        let rank = Rank {
            standing: Standing::new(priority, lateness),
            priority,
            lateness,
            latest_start,
            step: id,
        };
        Some((rank, until.map(|until| until + INSTANT)))
    }

    /// Starts what fits of one step; false where something of it has to wait.
    fn serve(&mut self, id: StepId, reserved: &mut Reserved, now: Timestamp) -> bool {
        if !self.has_advice(id) {
            self.ask(id, now);
            return false;
        }
        self.call_planned(id, now);
        let is_gang = self
            .jobs
            .get(&id.job)
            .and_then(|job| job.step(id))
            .is_some_and(|step| step.gang);
        let is_placed = match is_gang {
            true => self.place_gang(id, reserved, now),
            false => self.place_singles(id, reserved, now),
        };
        if is_placed {
            return true;
        }
        if self.is_limited(id, reserved) {
            return false;
        }
        self.refresh_advice(id, reserved, now);
        false
    }
}
