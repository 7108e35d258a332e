//! Asking which workers may run a step.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    place::room_for,
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
/// How long to wait after a call that brought nothing.
const PAUSE: Duration = Duration::from_millis(100);

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

    /// Asks about all workers that could run a step, if a node is free to ask.
    pub(super) fn ask(&mut self, id: StepId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(demand) = self.demand(job, id) else {
            return;
        };
        let mut named: Vec<(Slot, u32)> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                demand.admits(worker, now) && demand.size.fits(&worker.registration.capacity)
            })
            .map(|(slot, worker)| (*slot, worker.free.cpu.get()))
            .collect();
        if named.len() > MOST_NAMED {
            named.sort_by_key(|(_, free)| std::cmp::Reverse(*free));
            named.truncate(MOST_NAMED);
        }
        let named = named.into_iter().map(|(slot, _)| slot).collect();
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
        for slot in stage.advice.allowed.keys() {
            let Some(worker) = self.workers.get(slot) else {
                continue;
            };
            let room = room_for(&worker.free, &demand.size);
            if room > 0 && !reserved.holds(*slot, id) && self.is_eligible(id, *slot, worker, now) {
                rooms.push((*slot, room));
            }
        }
        let room: usize = rooms.iter().map(|(_, room)| *room).sum();
        let is_gang = demand.step.gang;
        let needed = match is_gang {
            true => stage.waiting.len(),
            false => 1,
        };
        if room < needed {
            let unnamed = self.unnamed(id, reserved, now);
            self.call(id, unnamed, now);
            return;
        }
        let is_stale = |slot: &Slot| stage.advice.ticket(*slot, now).is_none();
        let mut stale: Vec<Slot> = rooms.iter().map(|(slot, _)| *slot).collect();
        stale.retain(is_stale);
        stale.sort_unstable();
        if stale.is_empty() {
            return;
        }
        if is_gang {
            let slots: Vec<Slot> = rooms.into_iter().map(|(slot, _)| slot).collect();
            self.keep_for(id, &slots, reserved);
        }
        stale.truncate(MOST_NAMED);
        self.call(id, stale, now);
    }

    /// Returns the workers with room for a step that it was never asked about: those that have come
    /// up since, or were not open then.
    fn unnamed(&self, id: StepId, reserved: &Reserved, now: Timestamp) -> Vec<Slot> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return Vec::new();
        };
        let unnamed = self.workers.iter().filter(|(slot, worker)| {
            !stage.advice.named.contains(slot)
                && demand.admits(worker, now)
                && demand.size.fits(&worker.free)
                && !reserved.holds(**slot, id)
        });
        unnamed.map(|(slot, _)| *slot).take(MOST_NAMED).collect()
    }

    fn call(&mut self, id: StepId, named: Vec<Slot>, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(terms) = self.queue_of(job).advice else {
            return;
        };
        let is_long = terms.duration(named.len()) > LONG_CALL;
        let Some(stage) = job.stage(id) else {
            return;
        };
        if named.is_empty() || stage.advice.asking.is_some() || stage.advice.pause > now {
            return;
        }
        let Some(node) = self.desk.idle(is_long).cloned() else {
            return;
        };
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
        self.desk.begin(&node, call);
        if let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) {
            stage.advice.asking = Some(node.clone());
        }
        self.outbox.push(Effect::Advise {
            node,
            step: id,
            workers,
        });
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
        let validity = self.queue_of(job).advice.map(|terms| terms.validity);
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
        stage.advice.asking = None;
        stage.advice.named.extend(call.named);
        stage.advice.named.sort_unstable();
        stage.advice.named.dedup();
        stage.advice.allowed.extend(tickets);
    }

    /// Lets a step be asked about again after a call that brought nothing.
    pub(super) fn unask(&mut self, id: StepId, now: Timestamp) {
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        if let Some(stage) = stage {
            stage.advice.asking = None;
            stage.advice.pause = now + PAUSE;
        }
    }
}
