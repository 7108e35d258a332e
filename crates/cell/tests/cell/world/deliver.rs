//! Delivery of orders and heartbeats to workers, and of their answers to the engine.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_cell::{
    bounds::Bounds,
    effect::Destination,
    event::{
        ExitReason,
        HeartbeatAnswer,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        TaskId,
        WorkerId, //
    },
};
use fulmarpier_state::clock::Timestamp;
use rand::RngExt;

use super::{
    CRASH_DELAY,
    Event,
    LONG_RUN_DURATION,
    NETWORK_DELAY,
    ORDER_TIMEOUT,
    World,
    gang,
    has_expired,
    issued_at,
    take_one,
    worker::Worker, //
};

/// How long a worker is unreachable that is cut off when it has started a task.
const CUT_OFF_DURATION: Duration = Duration::from_secs(4);

impl World {
    fn reachable_worker(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let now = self.now;
        let worker = self.workers.get_mut(id)?;
        (worker.unreachable_until <= now).then_some(worker)
    }

    /// Returns whether a call goes to another address than its worker's own.
    fn is_misdirected(&self, to: &Destination) -> bool {
        let worker = self.workers.get(&to.worker);
        worker.is_some_and(|worker| worker.address() != to.address)
    }

    /// Returns whether a worker answers at an address.
    fn has_listener(&self, address: SocketAddr) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| worker.address() == address && worker.unreachable_until <= self.now)
    }

    /// Delivers an order to start a task.
    ///
    /// `is_current` tells whether the sender still owns the cell; `is_answered` is false for an order whose answer is
    /// lost and that is executed late.
    pub(super) fn deliver_start(
        &mut self,
        order: &fulmarpier_cell::effect::Start,
        is_current: bool,
        is_answered: bool,
    ) {
        let (now, id) = (self.now, order.to.worker.clone());
        let fails = self.chance(self.faults.failures) || self.must_fail(order.task);
        let duration = Duration::from_millis(self.rng.random_range(200..3_000));
        let (exit_reason, duration) = match (self.can_never_assemble(order.task.step), fails) {
            (true, _) => (ExitReason::GangTimeout, Bounds::default().gang_wait),
            _ if self.is_long_running(order.task.step) => (ExitReason::Failed, LONG_RUN_DURATION),
            (false, true) => (ExitReason::Failed, duration),
            (false, false) => (ExitReason::Done, duration),
        };
        if self.is_misdirected(&order.to) {
            self.violations.push(format!(
                "{} is ordered at {}, where its worker isn't",
                order.task, order.to.address
            ));
        }
        if !self.workers.contains_key(&id) && !self.is_down(&id) {
            if is_current && is_answered {
                let answer = Event::Started(id, order.task, order.run, StartAnswer::Replaced);
                self.schedule(NETWORK_DELAY, answer);
            }
            return;
        }
        let Some(worker) = self.reachable_worker(&id) else {
            if is_current && is_answered {
                let timeout = Event::Started(id, order.task, order.run, StartAnswer::NoAnswer);
                self.schedule(ORDER_TIMEOUT, timeout);
            }
            return;
        };
        let started_at = worker.started_at();
        let ticket = order.ticket.as_deref();
        if ticket.is_some_and(|ticket| has_expired(ticket, now) || issued_at(ticket) < started_at) {
            self.refused_tickets += 1;
            if is_current && is_answered {
                let answer = Event::Started(id, order.task, order.run, StartAnswer::InvalidTicket);
                self.schedule(NETWORK_DELAY, answer);
            }
            return;
        }
        if take_one(&mut self.refusals, order.task) {
            let answer = Event::Started(id, order.task, order.run, StartAnswer::Unhealthy);
            return self.schedule(NETWORK_DELAY, answer);
        }
        let is_gang = self.is_simulated_gang(order.task.step);
        let (duration, exit_reason) = match is_gang {
            true => {
                self.plan_gang_end(order.task.step, order.run, exit_reason);
                (gang::wait(), ExitReason::GangTimeout)
            }
            false => (duration, exit_reason),
        };
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let answer = worker.start(order, duration, exit_reason, now);
        if answer == StartAnswer::Started {
            if is_gang {
                self.assemble_gang(order.task.step, order.run);
            }
            self.starts += 1;
            self.started_jobs.insert(order.task.step.job);
            if self.crashing_task_ids.contains(&order.task) {
                self.schedule(CRASH_DELAY, Event::Crash(id.clone(), order.task));
            }
            self.check_start(order, is_answered);
        }
        if self.cut_off_starts.remove(&order.task) {
            self.cut_off(&id, CUT_OFF_DURATION);
            let timeout = Event::Started(id, order.task, order.run, StartAnswer::NoAnswer);
            return self.schedule(ORDER_TIMEOUT, timeout);
        }
        if is_current && is_answered {
            let event = Event::Started(id, order.task, order.run, answer);
            self.schedule(NETWORK_DELAY, event);
        }
    }

    /// Makes a worker unreachable for some time.
    pub(super) fn cut_off(&mut self, id: &WorkerId, span: Duration) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unreachable_until = self.now + span;
        }
    }

    /// Returns whether the next run of a task has to fail, and counts it.
    fn must_fail(&mut self, task: TaskId) -> bool {
        take_one(&mut self.failing_runs, task)
    }

    pub(super) fn deliver_stop(&mut self, order: &fulmarpier_cell::effect::Stop, is_current: bool) {
        let (now, id) = (self.now, order.to.worker.clone());
        let is_known = self.workers.contains_key(&id) || self.is_down(&id);
        let answer = match (is_known, self.reachable_worker(&id)) {
            (false, _) => StopAnswer::Replaced,
            (true, None) => StopAnswer::NoAnswer,
            (true, Some(worker)) => worker.stop(order, now),
        };
        if is_current {
            let event = Event::Stopped(id, order.task, order.run, answer);
            self.schedule(NETWORK_DELAY, event);
        }
    }

    pub(super) fn deliver_heartbeat(
        &mut self,
        order: fulmarpier_cell::effect::Heartbeat,
        is_current: bool,
    ) {
        let (now, id) = (self.now, order.to.worker.clone());
        let is_lost = self.chance(self.faults.lost_heartbeats);
        let sent_at = order.sent_at;
        if !is_current || !self.heartbeats.contains(&(id.clone(), sent_at)) {
            return;
        }
        if self.is_misdirected(&order.to) {
            if self.has_listener(order.to.address) {
                let answer = HeartbeatAnswer::Replaced;
                self.schedule(NETWORK_DELAY, Event::HeartbeatAnswered(id, sent_at, answer));
            }
            return;
        }
        if self.is_down(&id) {
            return self.schedule(
                NETWORK_DELAY,
                Event::HeartbeatAnswered(id, sent_at, HeartbeatAnswer::ConnectionLost),
            );
        }
        if !self.workers.contains_key(&id) {
            return self.schedule(
                NETWORK_DELAY,
                Event::HeartbeatAnswered(id, sent_at, HeartbeatAnswer::Replaced),
            );
        }
        let Some(worker) = self.reachable_worker(&id) else {
            return;
        };
        if worker.rejects_fence(&order.to) {
            return self.schedule(
                NETWORK_DELAY,
                Event::HeartbeatAnswered(id, sent_at, HeartbeatAnswer::Fenced),
            );
        }
        let acknowledged = worker.heartbeat(&order, is_lost, now);
        let is_waiting = worker
            .waiting_heartbeat
            .is_some_and(|(_, waiting)| waiting == sent_at);
        for (task, run, is_done) in acknowledged {
            if is_done {
                self.done.insert(task);
                self.check_done(task, run);
            } else {
                self.failed.entry(task).or_default().insert(run);
            }
        }
        if !is_lost && !is_waiting {
            self.answer_heartbeat(&id, sent_at);
        }
    }

    /// Passes the answer to a heartbeat to the engine, unless the heartbeat has been answered or has timed out.
    pub(super) fn end_heartbeat(
        &mut self,
        id: &WorkerId,
        sent_at: Timestamp,
        answer: HeartbeatAnswer,
    ) {
        if self.heartbeats.remove(&(id.clone(), sent_at)) {
            self.engine
                .handle_heartbeat_answer(id, sent_at, answer, self.now);
        }
    }

    /// Answers a heartbeat that waits for the end of a run.
    pub(super) fn answer_waiting_heartbeat(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some((_, sent_at)) = worker.waiting_heartbeat.take() {
            self.answer_heartbeat(id, sent_at);
        }
    }

    fn answer_heartbeat(&mut self, id: &WorkerId, sent_at: Timestamp) {
        let (now, most) = (self.now, self.max_listed_ends);
        let Some(worker) = self.reachable_worker(id) else {
            return;
        };
        let answer = HeartbeatAnswer::Inventory(worker.inventory(most, now));
        self.schedule(
            NETWORK_DELAY,
            Event::HeartbeatAnswered(id.clone(), sent_at, answer),
        );
    }
}
