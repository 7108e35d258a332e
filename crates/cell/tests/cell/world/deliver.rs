//! What reaches workers, and what comes back from them.

use std::time::Duration;

use fulmarpier_cell::{
    bounds::Bounds,
    event::{
        HoldAnswer,
        How,
        StartAnswer,
        StopAnswer, //
    },
    id::WorkerId,
};
use fulmarpier_state::clock::Timestamp;
use rand::RngExt;

use super::{
    CRASHES_AFTER,
    Event,
    LASTS,
    ORDER,
    WAY,
    World,
    given,
    is_aged,
    worker::Worker, //
};

impl World {
    fn reach(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let now = self.now;
        let worker = self.workers.get_mut(id)?;
        (worker.cut_until <= now).then_some(worker)
    }

    pub(super) fn deliver_start(
        &mut self,
        order: &fulmarpier_cell::effect::Start,
        is_alive: bool,
        is_answered: bool,
    ) {
        let (now, id) = (self.now, order.to.worker.clone());
        let fails = self.chance(self.faults.failures);
        let works = Duration::from_millis(self.rng.random_range(200..3_000));
        let (how, works) = match (self.waits_in_vain(order.task.step), fails) {
            (true, _) => (How::Alone, Bounds::default().gang_wait),
            _ if self.lasts(order.task.step) => (How::Failed, LASTS),
            (false, true) => (How::Failed, works),
            (false, false) => (How::Done, works),
        };
        if !self.workers.contains_key(&id) && !self.is_down(&id) {
            if is_alive && is_answered {
                let gone = Event::Started(id, order.task, order.run, StartAnswer::Gone);
                self.later(WAY, gone);
            }
            return;
        }
        let Some(worker) = self.reach(&id) else {
            if is_alive && is_answered {
                let silent = Event::Started(id, order.task, order.run, StartAnswer::Silent);
                self.later(ORDER, silent);
            }
            return;
        };
        let born = worker.born();
        let ticket = order.ticket.as_deref();
        if ticket.is_some_and(|ticket| is_aged(ticket, now) || given(ticket) < born) {
            self.turned_away += 1;
            if is_alive && is_answered {
                let answer = Event::Started(id, order.task, order.run, StartAnswer::Ticket);
                self.later(WAY, answer);
            }
            return;
        }
        let answer = worker.start(order, works, how, now);
        if answer == StartAnswer::Started {
            self.starts += 1;
            self.begun.insert(order.task.step.job);
            if self.crashers.contains(&order.task) {
                self.later(CRASHES_AFTER, Event::Crash(id.clone(), order.task));
            }
            self.check_start(order, is_answered);
        }
        if is_alive && is_answered {
            let event = Event::Started(id, order.task, order.run, answer);
            self.later(WAY, event);
        }
    }

    pub(super) fn deliver_stop(&mut self, order: &fulmarpier_cell::effect::Stop, is_alive: bool) {
        let (now, id) = (self.now, order.to.worker.clone());
        let is_there = self.workers.contains_key(&id) || self.is_down(&id);
        let answer = match (is_there, self.reach(&id)) {
            (false, _) => StopAnswer::Gone,
            (true, None) => StopAnswer::Silent,
            (true, Some(worker)) => worker.stop(order, now),
        };
        if is_alive {
            let event = Event::Stopped(id, order.task, order.run, answer);
            self.later(WAY, event);
        }
    }

    pub(super) fn deliver_hold(&mut self, order: fulmarpier_cell::effect::Hold, is_alive: bool) {
        let (now, id) = (self.now, order.to.worker.clone());
        let is_lost = self.chance(self.faults.lost_holds);
        let asked = order.asked;
        if !is_alive || !self.calls.contains(&(id.clone(), asked)) {
            return;
        }
        if self.is_down(&id) {
            return self.later(WAY, Event::Held(id, asked, HoldAnswer::Broken));
        }
        if !self.workers.contains_key(&id) {
            return self.later(WAY, Event::Held(id, asked, HoldAnswer::Gone));
        }
        let Some(worker) = self.reach(&id) else {
            return;
        };
        if worker.is_beyond(&order.to) {
            return self.later(WAY, Event::Held(id, asked, HoldAnswer::Fenced));
        }
        let acknowledged = worker.hold(&order, is_lost, now);
        let is_waiting = worker.waiting.is_some_and(|(_, call)| call == asked);
        for (task, run, is_done) in acknowledged {
            if is_done {
                self.done.insert(task);
            } else {
                self.failed.entry(task).or_default().insert(run);
            }
        }
        if !is_lost && !is_waiting {
            self.answer_hold(&id, asked);
        }
    }

    /// Hands the answer to a call to the engine, unless the call is over.
    pub(super) fn end_call(&mut self, id: &WorkerId, asked: Timestamp, answer: HoldAnswer) {
        if self.calls.remove(&(id.clone(), asked)) {
            self.engine.held(id, asked, answer, self.now);
        }
    }

    /// Answers a call that waits for an end.
    pub(super) fn answer_waiting(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some((_, asked)) = worker.waiting.take() {
            self.answer_hold(id, asked);
        }
    }

    fn answer_hold(&mut self, id: &WorkerId, asked: Timestamp) {
        let now = self.now;
        let Some(worker) = self.reach(id) else {
            return;
        };
        let answer = HoldAnswer::Listed(worker.inventory(now));
        self.later(WAY, Event::Held(id.clone(), asked, answer));
    }
}
