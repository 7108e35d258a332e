//! The scheduling pass: the order in which open steps are placed, and its cost limits.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    WaitReason,
    reserve::Reservations,
    share::Claim, //
};
use crate::id::{
    QueueName,
    StepId, //
};

/// The cost limit of a pass, in worker checks, before it leaves the less urgent steps to later passes. Events wait
/// while a pass runs: with this limit for 2 ms at most on a whole core (`examples/fleet`, 540 workers, 150% of the work
/// that fits). When they waited up to 9 ms, five times as many urgent jobs were late in a burst on half a core.
const MAX_PASS_CHECKS: usize = 8_000;
/// The additional cost limit, in worker checks, for less urgent steps. Each pass continues where the previous one
/// stopped, so that steps which fit nowhere for a long time don't starve a later one that would fit.
const MAX_SKIPPED_CHECKS: usize = 2_000;
/// The fixed cost of a step, in worker checks.
const STEP_CHECKS: usize = 4;
/// The cost of evaluating preemption on a worker, in worker checks.
const PREEMPTION_CHECKS: usize = 10;
/// The minimum time between two passes. A busy second has some 1,000 events.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(4);
/// The delay that each worker check adds before the next pass, so that passes leave most of the CPU to events however
/// many steps wait. The engine used 84 ms of each second on the fleet that [`MAX_PASS_CHECKS`] describes.
const PASS_DELAY_PER_CHECK: Duration = Duration::from_nanos(800);
/// The time until skipped steps are retried if no event triggers a pass before.
const SKIPPED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The resolution of timestamps. A step is in time up to its latest start, and late from the next instant on.
const TIME_RESOLUTION: Duration = Duration::from_micros(1);
/// A late gang is ranked as if it were in time once this many other gangs of its queue have started while it waited;
/// this applies to one gang per queue at a time. On a busy fleet of 540 workers, as many gangs arrive in some 7 s.
/// Without it, later gangs that fit where a wide one doesn't would overtake that one for as long as new ones arrive.
const MAX_OVERTAKING_GANGS: u64 = 64;

/// The priority value of urgent queues, which may preempt the others.
pub(super) const URGENT_PRIORITY: u8 = 0;

/// The position of a step in the scheduling order; the smallest rank comes first.
///
/// Late urgent steps rank before steps of other queues that are in time. This helps with the backlog after an outage or
/// a change of owners, when short urgent jobs are late and larger jobs that are not late hold the resources: urgent
/// steps need few resources, and their callers get a result instead of none. On 48 workers this order reduced the jobs
/// without a result from 2.9% to 2.3% and raised the value of the results from 0.684 to 0.699 (25 simulations of days
/// with faults).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    class: Class,
    priority: u8,
    lateness: Lateness,
    claim: Claim,
    latest_start: Timestamp,
    pub(super) step: StepId,
}

impl Rank {
    /// Returns whether the result of the step has no value any more.
    pub(super) fn is_worthless(self) -> bool {
        self.class == Class::Worthless
    }
}

/// The class of a step, which is compared before its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// An urgent step whose result still has a value.
    Urgent,
    /// A step of another queue that can still be in time.
    InTime,
    /// A step of another queue that is late.
    Late,
    /// A step whose result has no value any more.
    Worthless,
}

/// How late a step is against its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lateness {
    InTime,
    Late,
    Worthless,
}

impl Class {
    const fn new(priority: u8, lateness: Lateness) -> Self {
        match lateness {
            Lateness::Worthless => Self::Worthless,
            _ if priority == URGENT_PRIORITY => Self::Urgent,
            Lateness::InTime => Self::InTime,
            Lateness::Late => Self::Late,
        }
    }
}

impl Engine {
    /// Runs a scheduling pass: examines the open steps in order of urgency and starts the tasks that fit.
    pub(super) fn schedule(&mut self, now: Timestamp) {
        self.update_shares(now);
        for id in self.open_steps.take_unranked(now) {
            if let Some((rank, change)) = self.rank(id, now) {
                self.open_steps.rank(rank, change);
            }
        }
        let mut reserved = Reservations::default();
        self.reserve_emptying_workers(&mut reserved, now);
        self.reserve_held_workers(&mut reserved, now);
        let (last, cost) = self.schedule_from(None, MAX_PASS_CHECKS, &mut reserved, now);
        let more_cost = self.schedule_skipped(last, &mut reserved, now);
        self.pass_cost = cost + more_cost;
        let cost = u32::try_from(self.pass_cost).unwrap_or(u32::MAX);
        self.next_pass = now + MIN_PASS_INTERVAL.max(PASS_DELAY_PER_CHECK * cost);
    }

    /// Schedules the steps that rank after `from` until the cost reaches `budget`. Returns the cost and, if steps are
    /// left, the rank of the last step that was examined.
    fn schedule_from(
        &mut self,
        from: Option<Rank>,
        budget: usize,
        reserved: &mut Reservations,
        now: Timestamp,
    ) -> (Option<Rank>, usize) {
        let mut last = from;
        let mut cost = 0;
        loop {
            let max = budget.saturating_sub(cost).div_ceil(STEP_CHECKS);
            let (passed_over, after) = self.pass_over(last, max, now);
            last = after;
            cost += passed_over * STEP_CHECKS;
            let Some(rank) = self.open_steps.take_next_after(last) else {
                return (None, cost);
            };
            if cost >= budget {
                return (last, cost);
            }
            last = Some(rank);
            if rank.class == Class::Late {
                self.promote(rank.step);
            }
            cost += self.schedule_step(rank.step, reserved, now);
        }
    }

    /// Passes over the steps after `from`, at most `max`, whose examination would have no effect because they still
    /// wait for a node to ask for advice. They cost as much of the budget as if they were examined, so that the same
    /// steps are examined after them. Returns their number and the rank of the last one.
    fn pass_over(&self, from: Option<Rank>, max: usize, now: Timestamp) -> (usize, Option<Rank>) {
        if !self.knows_evacuation(now) {
            return (0, from);
        }
        let has_node = self.advice_nodes.idle(false).is_some();
        let has_node_for_long = self.advice_nodes.idle(true).is_some();
        self.open_steps.count_node_waits(from, max, |rank, wait| {
            let has_node = if wait.is_long {
                has_node_for_long
            } else {
                has_node
            };
            let gang = wait.gang.as_ref().filter(|_| rank.class == Class::Late);
            let is_promotable =
                gang.is_some_and(|(queue, started)| self.is_promotable(queue, *started));
            !has_node && now < wait.until && !is_promotable
        })
    }

    /// Schedules some of the steps after `last`, continuing where the previous pass stopped. Returns the cost.
    fn schedule_skipped(
        &mut self,
        last: Option<Rank>,
        reserved: &mut Reservations,
        now: Timestamp,
    ) -> usize {
        let Some(last) = last else {
            self.resume_after = None;
            return 0;
        };
        let from = self.resume_after.map_or(last, |rank| rank.max(last));
        let (resume_after, cost) =
            self.schedule_from(Some(from), MAX_SKIPPED_CHECKS, reserved, now);
        self.resume_after = resume_after;
        self.retry_skipped_at = Some(now + SKIPPED_RETRY_DELAY);
        cost
    }

    /// Promotes a late gang to the rank of those in time if too many other gangs have overtaken it and no gang of its
    /// queue is promoted already.
    fn promote(&mut self, id: StepId) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let is_gang = job.step(id).is_some_and(|step| step.gang);
        let Some(stage) = job.stage(id).filter(|_| is_gang) else {
            return;
        };
        let queue = &self.queue_of(job).name;
        if self.is_promotable(queue, stage.gangs_started_before) {
            self.promoted.insert(queue.clone(), id);
            self.open_steps.mark_unranked(id);
        }
    }

    /// Returns whether a late gang is promoted that was opened after `started_before` gangs of its queue had started.
    fn is_promotable(&self, queue: &QueueName, started_before: u64) -> bool {
        let started = self.gangs_started.get(queue).copied().unwrap_or_default();
        if started.saturating_sub(started_before) < MAX_OVERTAKING_GANGS {
            return false;
        }
        let promoted = self.promoted.get(queue);
        let promoted = promoted.and_then(|promoted| self.open_steps.rank_of(*promoted));
        promoted.is_none_or(|rank| rank.lateness == Lateness::Worthless)
    }

    /// Starts the tasks of a step that fit, or reserves workers for it. Returns the cost in worker checks.
    fn schedule_step(&mut self, id: StepId, reserved: &mut Reservations, now: Timestamp) -> usize {
        if !self.knows_evacuation(now) {
            self.update_known_wait_reason(id, WaitReason::EvacuationUnknown, now);
            return STEP_CHECKS;
        }
        let advice = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let advice = advice.map(|stage| &stage.advice);
        // No worker can be chosen before the answer.
        if advice.is_some_and(|advice| advice.awaits_first_answer()) {
            self.reserve_quota(id, reserved);
            return STEP_CHECKS;
        }
        let allowed = advice.map_or(0, |advice| advice.allowed.len());
        if self.is_limited(id, reserved) {
            self.release_held_workers(id, "limit", now);
            self.update_known_wait_reason(id, WaitReason::Limit, now);
            return STEP_CHECKS;
        }
        let waiting = self.waiting_count(id);
        let is_placed = self.start_fitting(id, reserved, now);
        if self.waiting_count(id) < waiting {
            self.note_start(id, now);
        }
        if is_placed || self.park_unschedulable(id, now) {
            return STEP_CHECKS + allowed;
        }
        // Nothing is preempted for a step that its own workspace's limit holds back.
        if self.is_limited(id, reserved) {
            self.update_known_wait_reason(id, WaitReason::Limit, now);
            return STEP_CHECKS + allowed;
        }
        self.reserve_quota(id, reserved);
        self.update_wait_reason(id, now);
        let has_evaluated = !reserved.has_gang(id) && self.reserve_workers(id, reserved, now);
        if let Some(wait) = self.node_wait(id, now) {
            self.open_steps.note_node_wait(id, wait);
        }
        STEP_CHECKS + allowed * if has_evaluated { PREEMPTION_CHECKS } else { 1 }
    }

    /// Returns the rank of a step and, if it changes over time, when it changes next.
    pub(super) fn rank(&self, id: StepId, now: Timestamp) -> Option<(Rank, Option<Timestamp>)> {
        let job = self.jobs.get(&id.job)?;
        let latest_start = job.latest_start(id);
        let worthless = job.worthless_after(id.occurrence);
        let (lateness, until) = match () {
            // A long-running service has a value for as long as it runs, whenever it starts.
            () if job.step(id).is_some_and(|step| step.long_running) => (Lateness::InTime, None),
            () if now <= latest_start => (Lateness::InTime, Some(latest_start)),
            () if now <= worthless => (Lateness::Late, Some(worthless)),
            () => (Lateness::Worthless, None),
        };
        let queue = self.queue_of(job);
        let priority = queue.priority;
        let is_promoted = self.promoted.get(&queue.name) == Some(&id) || self.is_holding(id);
        let lateness = match lateness {
            Lateness::Late if is_promoted => Lateness::InTime,
            lateness => lateness,
        };
        let (claim, claim_change) = self.claim(job, id, now);
        let rank = Rank {
            class: Class::new(priority, lateness),
            priority,
            lateness,
            claim,
            latest_start,
            step: id,
        };
        let lateness_change = until.map(|until| until + TIME_RESOLUTION);
        let changes = [lateness_change, claim_change];
        Some((rank, changes.into_iter().flatten().min()))
    }

    /// Asks for advice if needed and starts the tasks of a step that fit. Returns false if some have to wait.
    fn start_fitting(&mut self, id: StepId, reserved: &mut Reservations, now: Timestamp) -> bool {
        if !self.has_advice(id) {
            self.request_advice(id, now);
            return false;
        }
        self.make_planned_calls(id, now);
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
