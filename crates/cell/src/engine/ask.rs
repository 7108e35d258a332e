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
    advice::Call,
    effect::{
        Effect,
        Note, //
    },
    event::Advised,
    id::{
        NodeName,
        StepId, //
    },
};

/// The most workers that the advice service takes in one call.
const MOST_NAMED: usize = 100;
/// Calls that take longer than this don't get all nodes.
const LONG_CALL: Duration = Duration::from_millis(150);
/// How many times the room that a step takes the workers have that it is asked about, as far as they are
/// likely to be allowed: others take some of it before the answer comes.
const ROOM_TIMES: f64 = 2.0;
/// How many times the room that a step takes the workers have whose tickets are renewed.
const REFRESH_TIMES: f64 = 3.0;
/// At least so many workers are asked about. With as few as just hold the step, fleets of 48 workers were
/// worth 0.03 less: what was asked about was taken by others, and another call cost more than it saved.
const LEAST_NAMED: usize = 48;
/// How many calls for one step are out at most.
const MOST_CALLS: usize = 4;
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
        let is_known = job
            .stage(id)
            .is_some_and(|stage| !stage.advice.named.is_empty());
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
        if !self.may_call(&demand, stage, now) {
            return;
        }
        let workers = self.rooms.from(&demand.queue.pool, Millicores(0)).rev();
        let workers = workers.filter_map(|slot| Some((slot, self.workers.get(&slot)?)));
        let eligible = workers.filter(|(_, worker)| {
            demand.admits(worker, now) && demand.size.fits(&worker.registration.capacity)
        });
        let most = match demand.step.gang {
            true => usize::MAX,
            false => MOST_NAMED,
        };
        let share = self.experience.share(&demand.queue.name);
        let wanted = stage.waiting.len() as f64 * ROOM_TIMES / share;
        let is_choosy = is_choosy(&demand);
        let mut named = Vec::new();
        let mut room = 0.0;
        for (slot, worker) in eligible {
            let is_enough = is_choosy && room >= wanted && named.len() >= LEAST_NAMED;
            if is_enough || named.len() >= most {
                break;
            }
            room += room_for(&worker.free, &demand.size) as f64;
            named.push(slot);
        }
        self.call(id, named, now);
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
        for (slot, worker) in self.candidates(&demand, stage, demand.size.cpu) {
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
            if !self.may_call(&demand, stage, now) {
                return;
            }
            let unnamed = self.unnamed(id, reserved, now);
            self.call(id, unnamed, now);
            return;
        }
        let is_stale = |slot: &Slot| stage.advice.ticket(*slot, now).is_none();
        if !rooms.iter().any(|(slot, _)| is_stale(slot)) {
            return;
        }
        // The roomiest first, and no more of them than are needed.
        rooms.sort_by_key(|(slot, room)| (std::cmp::Reverse(*room), *slot));
        let wanted = stage.waiting.len() as f64 * REFRESH_TIMES;
        let enough = enough(&demand, rooms.iter().map(|(_, room)| *room), wanted);
        rooms.truncate(enough.unwrap_or(rooms.len()));
        let slots: Vec<Slot> = rooms.into_iter().map(|(slot, _)| slot).collect();
        let stale: Vec<Slot> = slots.iter().copied().filter(is_stale).collect();
        if is_gang {
            self.keep_for(id, &slots, reserved);
        }
        self.call(id, stale, now);
    }

    /// Returns the workers that a step should be asked about beside those that it was: those with room, or
    /// where there are none and the allowed ones could hardly ever hold it, any.
    fn unnamed(&self, id: StepId, reserved: &Reserved, now: Timestamp) -> Vec<Slot> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return Vec::new();
        };
        let unnamed = |least| {
            let slots = self.rooms.from(&demand.queue.pool, least).rev();
            let slots = slots.filter(|slot| !stage.advice.has_named(*slot));
            let workers = slots.filter_map(|slot| Some((slot, self.workers.get(&slot)?)));
            workers.filter(|(slot, worker)| {
                demand.admits(worker, now)
                    && demand.size.fits(&worker.registration.capacity)
                    && !reserved.holds(*slot, id)
            })
        };
        let with_room = unnamed(demand.size.cpu);
        let with_room = with_room.filter(|(_, worker)| demand.size.fits(&worker.free));
        let with_room: Vec<Slot> = with_room.map(|(slot, _)| slot).collect();
        if !with_room.is_empty() {
            return with_room;
        }
        let allowed = stage.advice.allowed.keys();
        let allowed = allowed.filter_map(|slot| self.workers.get(slot));
        let capacity = allowed.map(|worker| room_for(&worker.registration.capacity, &demand.size));
        let wanted = stage.waiting.len() as f64 * ROOM_TIMES;
        match (capacity.sum::<usize>() as f64) < wanted {
            true => unnamed(Millicores(0)).map(|(slot, _)| slot).collect(),
            false => Vec::new(),
        }
    }

    /// Returns whether a call for a step could leave now: none is out, and a node is free for a short one at least.
    fn may_call(&self, demand: &Demand<'_>, stage: &Stage, now: Timestamp) -> bool {
        let terms = demand.queue.advice;
        let is_long = terms.is_some_and(|terms| terms.duration(1) > LONG_CALL);
        let is_free = stage.advice.asking == 0 && stage.advice.pause <= now;
        is_free && self.desk.idle(is_long).is_some()
    }

    /// Asks about workers, by several nodes at once where they are too many for one call.
    fn call(&mut self, id: StepId, named: Vec<Slot>, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(terms) = self.queue_of(job).advice else {
            return;
        };
        let Some(stage) = job.stage(id) else {
            return;
        };
        if stage.advice.asking > 0 || stage.advice.pause > now {
            return;
        }
        let calls = named.len().div_ceil(MOST_NAMED).min(MOST_CALLS);
        // Calls of like length end together.
        let each = named.len().div_ceil(calls.max(1)).clamp(1, MOST_NAMED);
        for named in named.chunks(each).take(calls) {
            let is_long = terms.duration(named.len()) > LONG_CALL;
            let Some(node) = self.desk.idle(is_long).cloned() else {
                return;
            };
            let workers = named.iter().filter_map(|slot| self.workers.get(slot));
            let workers = workers
                .map(|worker| worker.registration.id.clone())
                .collect();
            let call = Call {
                step: id,
                named: named.to_vec(),
                since: now,
                is_long,
            };
            self.desk.begin(node.clone(), call);
            if let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) {
                stage.advice.asking += 1;
            }
            self.outbox.push(Effect::Advise {
                node,
                step: id,
                workers,
            });
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
        let Some(call) = self.desk.finish(node, id) else {
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
            self.unask(id, now);
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
                let text = advised.ticket;
                Some((*slot, crate::advice::Ticket { text, until }))
            })
            .collect();
        let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) else {
            return;
        };
        stage.advice.asking = stage.advice.asking.saturating_sub(1);
        stage.advice.named.extend(call.named);
        stage.advice.named.sort_unstable();
        stage.advice.named.dedup();
        stage.advice.allowed.extend(tickets);
    }

    /// Lets a step be asked about again after a call that brought nothing.
    pub(super) fn unask(&mut self, id: StepId, now: Timestamp) {
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        if let Some(stage) = stage {
            stage.advice.asking = stage.advice.asking.saturating_sub(1);
            stage.advice.pause = now + PAUSE;
        }
    }
}
