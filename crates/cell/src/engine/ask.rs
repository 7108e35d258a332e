//! Asking which workers may run a step.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    unit::Millicores, //
};

use super::{
    Engine,
    Slot,
    job::Stage,
    place::{
        Demand,
        room_for, //
    },
    reserve::Reserved, //
};
use crate::{
    advice::{
        Call,
        Ticket, //
    },
    effect::{
        Effect,
        Note, //
    },
    event::Advised,
    id::{
        NodeName,
        StepId, //
    },
    worker::Worker,
};

/// The most workers that the advice service takes in one call.
const MOST_NAMED: usize = 100;
/// Calls that take longer than this don't get all nodes.
const LONG_CALL: Duration = Duration::from_millis(150);
/// How many times the room that a step takes the workers have that it is asked about, as far as they are
/// likely to be allowed: others take some of it before the answer comes.
const ROOM_TIMES: f64 = 2.0;
/// How many times the room that a gang takes the workers have that it is asked about, were nothing else on them:
/// their room comes up bit by bit, and each further call takes a gang longer than its tickets last. Asked only about
/// those that had room just then, gangs of 40 and more tasks on a full fleet of 540 waited 30 s for the last of them.
const GANG_TIMES: f64 = 9.0;
/// How many times the room that a step takes the workers have whose tickets are renewed.
const REFRESH_TIMES: f64 = 1.5;
/// At least so many workers are asked about. With as few as just hold the step, fleets of 48 workers were
/// worth 0.03 less: what was asked about was taken by others, and another call cost more than it saved.
const LEAST_NAMED: usize = 48;
/// How many calls for one step are out at most.
const MOST_CALLS: usize = 6;
/// How long to wait after a call that brought nothing.
const PAUSE: Duration = Duration::from_millis(100);

/// Returns whether a step is asked about only where it is likely to run: a gang takes its places at once, and
/// an urgent task the first one. Other tasks wait for room that may come up anywhere; asked about as few
/// workers, they were worth a quarter less on a busy fleet of 350.
fn is_choosy(demand: &Demand<'_>) -> bool {
    demand.step.gang || demand.queue.priority == 0
}

/// Returns how many workers with these rooms, in this order, hold as many tasks as wanted; `None` where all
/// of them don't, or all are to be asked about.
fn enough(
    demand: &Demand<'_>,
    mut rooms: impl Iterator<Item = usize>,
    wanted: f64,
) -> Option<usize> {
    let mut sum = 0.0;
    let last = rooms.position(|room| {
        sum += room as f64;
        sum >= wanted
    });
    last.filter(|_| is_choosy(demand)).map(|last| last + 1)
}

impl Engine {
    /// Returns whether it is known which workers may run a step.
    pub(super) fn has_advice(&self, id: StepId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        let is_known = job.stage(id).is_some_and(|stage| stage.advice.is_answered);
        is_known || self.queue_of(job).advice.is_none()
    }

    /// Asks about workers that could run a step, if a node is free to ask.
    ///
    /// Those with the most room come first, and as many of them as most likely hold all of its tasks; a
    /// call takes longer the more it names. Where all of them together have too little room, any of them
    /// may be the next to have some.
    pub(super) fn ask(&mut self, id: StepId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return;
        };
        if !stage.advice.planned.is_empty() {
            self.call_planned(id, now);
            return;
        }
        if !self.may_call(&demand, stage, now) {
            return;
        }
        let tasks = stage.waiting.len() as f64;
        let share = self.experience.share(&demand.queue.name);
        let is_choosy = is_choosy(&demand);
        let mut named = Vec::new();
        let (mut room, mut fits) = (0.0, 0.0);
        for (slot, worker) in self.unnamed(&demand, stage, Millicores(0), now) {
            let is_enough = room >= tasks * ROOM_TIMES / share
                || (demand.step.gang && fits >= tasks * GANG_TIMES / share);
            let is_most = !demand.step.gang && named.len() >= MOST_NAMED;
            if is_most || (is_choosy && is_enough && named.len() >= LEAST_NAMED) {
                break;
            }
            room += room_for(&worker.free, &demand.size) as f64;
            fits += room_for(&worker.registration.capacity, &demand.size) as f64;
            named.push(slot);
        }
        self.plan_calls(id, named);
        self.call_planned(id, now);
    }

    /// Returns the workers that a step was not asked about and that could run it, with so much processor time left or
    /// more; the roomiest come first.
    fn unnamed<'a>(
        &'a self,
        demand: &'a Demand<'_>,
        stage: &'a Stage,
        least: Millicores,
        now: Timestamp,
    ) -> impl Iterator<Item = (Slot, &'a Worker)> {
        let slots = self.rooms.from(&demand.queue.pool, least).rev();
        let slots = slots.filter(|slot| !stage.advice.has_named(*slot));
        let workers = slots.filter_map(|slot| Some((slot, self.workers.get(&slot)?)));
        workers.filter(move |(_, worker)| {
            demand.admits(worker, now) && demand.size.fits(&worker.registration.capacity)
        })
    }

    /// Asks again about workers with room whose tickets have run out.
    pub(super) fn refresh_advice(&mut self, id: StepId, reserved: &mut Reserved, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(demand) = self.demand(job, id).filter(|d| d.queue.advice.is_some()) else {
            return;
        };
        let Some(stage) = job.stage(id) else {
            return;
        };
        let mut rooms: Vec<(Slot, usize)> = Vec::new();
        for (slot, worker) in self.roomy(&demand, stage) {
            let room = room_for(&worker.free, &demand.size);
            if room > 0 && !reserved.holds(slot, id) && demand.admits(worker, now) {
                rooms.push((slot, room));
            }
        }
        let room: usize = rooms.iter().map(|(_, room)| *room).sum();
        let is_gang = demand.step.gang;
        let needed = match is_gang {
            true => stage.waiting.len(),
            false => 1,
        };
        if room < needed {
            if self.may_call(&demand, stage, now) {
                let further = self.further(&demand, stage, reserved, now);
                self.plan_calls(id, further);
                self.call_planned(id, now);
            }
            return;
        }
        let leaves = self.leaves(now);
        let is_stale = |slot: &Slot| {
            let worker = self.workers.get(slot);
            worker.is_none_or(|worker| stage.advice.ticket(*slot, worker, leaves).is_none())
        };
        if !rooms.iter().any(|(slot, _)| is_stale(slot)) {
            return;
        }
        // The roomiest first, and no more of them than are needed.
        rooms.sort_by_key(|(slot, room)| (std::cmp::Reverse(*room), *slot));
        // One that has to run alone takes more than its room.
        let wanted = (stage.waiting.len() + stage.suspects().count()) as f64 * REFRESH_TIMES;
        let enough = enough(&demand, rooms.iter().map(|(_, room)| *room), wanted);
        rooms.truncate(enough.unwrap_or(rooms.len()));
        let slots: Vec<Slot> = rooms.into_iter().map(|(slot, _)| slot).collect();
        let stale: Vec<Slot> = slots.iter().copied().filter(is_stale).collect();
        if is_gang {
            reserved.keep_for_gang(slots.into_iter(), id);
        }
        if self.may_call(&demand, stage, now) {
            self.plan_calls(id, stale);
            self.call_planned(id, now);
            // Which tickets are worth another call is seen anew by then.
            self.drop_planned(id);
        }
    }

    /// Returns the workers that a step should be asked about beside those that it was.
    ///
    /// For a gang that is as many as make its room likely to come up on those that are allowed. For another step it is
    /// those with room, or where there are none and the allowed ones could hardly ever hold it, any.
    fn further(
        &self,
        demand: &Demand<'_>,
        stage: &Stage,
        reserved: &Reserved,
        now: Timestamp,
    ) -> Vec<Slot> {
        let fits = |worker: &Worker| room_for(&worker.registration.capacity, &demand.size) as f64;
        let allowed = self.candidates(demand, stage);
        let allowed = allowed.filter(|(_, worker)| !worker.is_evacuated);
        let allowed: f64 = allowed.map(|(_, worker)| fits(worker)).sum();
        let tasks = stage.waiting.len() as f64;
        let unnamed = |least| {
            let unnamed = self.unnamed(demand, stage, least, now);
            unnamed.filter(|(slot, _)| !reserved.holds(*slot, demand.id))
        };
        if demand.step.gang {
            let missing = tasks * GANG_TIMES - allowed;
            if missing <= 0.0 {
                return Vec::new();
            }
            let missing = missing / self.experience.share(&demand.queue.name);
            let worthwhile = demand.queue.advice.map_or(0, |terms| terms.worthwhile());
            let mut sum = 0.0;
            let further = unnamed(Millicores(0)).enumerate();
            let further = further.take_while(|(count, (_, worker))| {
                let is_missing = sum < missing || *count < worthwhile.min(MOST_NAMED);
                sum += fits(worker);
                is_missing
            });
            return further.map(|(_, (slot, _))| slot).collect();
        }
        let with_room = unnamed(demand.size.cpu);
        let with_room = with_room.filter(|(_, worker)| demand.size.fits(&worker.free));
        let with_room: Vec<Slot> = with_room.map(|(slot, _)| slot).collect();
        match with_room.is_empty() && allowed < tasks * ROOM_TIMES {
            true => unnamed(Millicores(0)).map(|(slot, _)| slot).collect(),
            false => with_room,
        }
    }

    /// Returns whether a call for a step could leave now: none is out, and a node is free for a short one at least.
    fn may_call(&self, demand: &Demand<'_>, stage: &Stage, now: Timestamp) -> bool {
        let terms = demand.queue.advice;
        let is_long = terms.is_some_and(|terms| terms.duration(1) > LONG_CALL);
        let is_free = stage.advice.asking == 0 && stage.advice.pause <= now;
        is_free && self.desk.idle(is_long).is_some()
    }

    /// Plans calls about workers, by several nodes at once where they are too many for one call.
    fn plan_calls(&mut self, id: StepId, named: Vec<Slot>) {
        let calls = named.len().div_ceil(MOST_NAMED).min(MOST_CALLS);
        // Calls of like length end together.
        let each = named.len().div_ceil(calls.max(1)).clamp(1, MOST_NAMED);
        let planned = named.chunks(each).take(calls).map(<[Slot]>::to_vec);
        let planned: Vec<Vec<Slot>> = planned.collect();
        if let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) {
            stage.advice.planned = planned;
        }
    }

    /// Makes the planned calls of a step for which nodes are free.
    ///
    /// The others follow as nodes become free, without an answer to these: a gang gets what it needs to know within a
    /// call's time or two. One after the other they took a gang of 70 tasks 20 s.
    pub(super) fn call_planned(&mut self, id: StepId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let stage = job.stage(id);
        if stage.is_none_or(|stage| stage.advice.planned.is_empty()) {
            return;
        }
        let Some(terms) = self.queue_of(job).advice else {
            return;
        };
        let workers = &self.workers;
        let is_evacuated = |slot: &Slot| workers.get(slot).is_none_or(|worker| worker.is_evacuated);
        while let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id))
            && let Some(mut named) = stage.advice.planned.pop()
        {
            let is_long = terms.duration(named.len()) > LONG_CALL;
            let Some(node) = self.desk.idle(is_long).cloned() else {
                stage.advice.planned.push(named);
                return;
            };
            // Only once a node is free: hundreds of steps may wait for one, and each is looked at in every pass.
            named.retain(|slot| !is_evacuated(slot));
            if named.is_empty() {
                continue;
            }
            stage.advice.begin(&named);
            let workers = named.iter().filter_map(|slot| self.workers.get(slot));
            let workers = workers
                .map(|worker| worker.registration.id.clone())
                .collect();
            let call = Call {
                step: id,
                named,
                since: now,
                is_long,
            };
            self.desk.begin(node.clone(), call);
            self.outbox.push(Effect::Advise {
                node,
                step: id,
                workers,
            });
        }
    }

    fn drop_planned(&mut self, id: StepId) {
        if let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) {
            stage.advice.planned.clear();
        }
    }

    /// Takes the answer of the advice service, or `None` where there was none.
    pub fn advised(
        &mut self,
        node: &NodeName,
        id: StepId,
        answer: Option<Vec<Advised>>,
        now: Timestamp,
    ) {
        let Some(call) = self.desk.finish(node, id, answer.is_some(), now) else {
            return;
        };
        self.is_stirred = true;
        self.note(Note::Advised {
            step: id,
            node: node.clone(),
            named: call.named.len(),
            allowed: answer.as_ref().map(Vec::len),
            took: now.since(call.since),
        });
        let Some(answer) = answer else {
            self.unask(&call, now);
            return;
        };
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let queue = self.queue_of(job).clone();
        self.experience
            .learn(&queue.name, call.named.len(), answer.len());
        let validity = queue.advice.map(|terms| terms.validity);
        let until = now + validity.unwrap_or_default();
        let tickets: Vec<_> = answer
            .into_iter()
            .filter_map(|advised| {
                let slot = self.slots.get(&advised.worker)?;
                let ticket = Ticket {
                    text: advised.ticket,
                    asked: call.since,
                    until,
                };
                Some((*slot, ticket))
            })
            .collect();
        let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) else {
            return;
        };
        stage.advice.answer(tickets.into_iter());
        // Without that a step goes on asking about it, and never about others.
        for slot in call.named {
            let worker = self.workers.get(&slot);
            let ticket = stage.advice.allowed.get(slot);
            let is_denied = worker.zip(ticket).is_some_and(|(worker, ticket)| {
                ticket.asked < call.since && ticket.is_for_former(worker)
            });
            if is_denied {
                stage.advice.withdraw(slot);
            }
        }
    }

    /// Lets a step be asked about again after a call that brought nothing.
    pub(super) fn unask(&mut self, call: &Call, now: Timestamp) {
        let stage = self.jobs.get_mut(&call.step.job);
        if let Some(stage) = stage.and_then(|job| job.stage_mut(call.step)) {
            stage.advice.fail(&call.named, now + PAUSE);
        }
    }
}
