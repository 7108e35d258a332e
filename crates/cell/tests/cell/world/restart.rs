//! Workers that restart under their id, as another incarnation.

use std::time::Duration;

use fulmarpier_cell::{
    event::Registration,
    id::{
        Incarnation,
        WorkerId, //
    },
};
use rand::RngExt;

use super::{
    Event,
    World,
    worker::Worker, //
};

/// Number of heartbeats after which the owner knows an incarnation.
const HEARTBEATS_UNTIL_KNOWN: u32 = 2;

/// How a worker restarts under its id.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Restart {
    /// For how long nothing answers at its address.
    pub downtime: Duration,
    /// Whether its connections break; else its heartbeats time out.
    pub breaks_connections: bool,
    /// For how long after the downtime its entry is still the one of the former incarnation.
    pub stale_entry_duration: Duration,
    /// The first label of the new incarnation.
    pub label: &'static str,
    /// The capacity of the new incarnation, in tasks.
    pub capacity_tasks: u32,
}

impl Default for Restart {
    fn default() -> Self {
        Self {
            downtime: Duration::from_millis(300),
            breaks_connections: true,
            stale_entry_duration: Duration::ZERO,
            label: "a",
            capacity_tasks: 4,
        }
    }
}

impl World {
    /// Restarts a worker under its id, unless it is down.
    pub(crate) fn restart(&mut self, id: &WorkerId, restart: Restart) {
        if let Some(worker) = self.workers.remove(id) {
            self.go_down_for_restart(id.clone(), &worker, restart);
        }
    }

    /// Restarts all workers under their ids.
    pub(crate) fn restart_all(&mut self, restart: Restart) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.restart(&id, restart);
        }
    }

    pub(super) fn go_down_for_restart(&mut self, id: WorkerId, worker: &Worker, restart: Restart) {
        self.count_crash_of_running_tasks(worker);
        if restart.breaks_connections {
            self.break_connections(&id);
        }
        self.down_until
            .insert(id.clone(), self.now + restart.downtime);
        let entry = Box::new(worker.entry(self.now));
        let restarted = Event::Restarted(entry, worker.slot, restart);
        self.schedule(restart.downtime, restarted);
    }

    pub(super) fn complete_restart(&mut self, entry: Registration, slot: u32, restart: Restart) {
        let now = self.now;
        let worker = self.insert_worker(entry.id.clone(), slot);
        worker.become_next_incarnation(entry, restart, now);
        self.register_slot(slot);
    }

    /// Returns whether a worker executes a late order that was sent to the given incarnation of it.
    ///
    /// The next incarnation may get the order too. If it came before the owner can have heard of that incarnation, the
    /// worker couldn't tell it from an order that was meant for the new incarnation, so such an order is lost.
    pub(super) fn accepts_late_order(
        &self,
        id: &WorkerId,
        incarnation: Option<Incarnation>,
    ) -> bool {
        let worker = self.workers.get(id);
        worker.is_none_or(|worker| {
            Some(worker.incarnation()) == incarnation || worker.heartbeats >= HEARTBEATS_UNTIL_KNOWN
        })
    }

    pub(super) fn restart_workers(&mut self) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            // The slot of a worker that leaves has its replacement already.
            let stays = self.workers[&id].leaves_at.is_none();
            if stays && self.chance(self.faults.restarts) {
                let restart = self.random_restart();
                self.restart(&id, restart);
            }
        }
    }

    pub(super) fn random_restart(&mut self) -> Restart {
        Restart {
            downtime: Duration::from_millis(self.rng.random_range(100..3_000)),
            breaks_connections: self.chance(500),
            stale_entry_duration: Duration::from_millis(self.rng.random_range(0..1_500)),
            ..Restart::default()
        }
    }
}
