//! Data centres that are evacuated and taken back, and the checks that nothing is started there.

use std::time::Duration;

use fulmarpier_cell::{
    bounds::Bounds,
    effect::Start,
    id::{
        DataCentre,
        TaskId,
        WorkerId, //
    },
};
use rand::RngExt;

use super::{
    Event, Faults, World,
    worker::{
        DATA_CENTRES,
        Worker, //
    },
};

/// How long after a data centre was evacuated a task may be started there.
const EVACUATE: Duration = Duration::from_secs(3);
/// How long it takes at most until the nodes have read a change, while the store is there.
const READ_WITHIN: Duration = Duration::from_millis(300);

/// Returns the bounds of histories with some faults.
pub(super) fn bounds(faults: &Faults) -> Bounds {
    Bounds {
        evacuate: (faults.evacuations > 0).then_some(EVACUATE),
        ..Bounds::default()
    }
}

impl World {
    /// Has the operator evacuate a data centre; the nodes read that a moment later.
    pub(crate) fn evacuate(&mut self, data_centre: &str) {
        let data_centre = DataCentre::from(data_centre);
        self.evacuated.entry(data_centre).or_insert(self.now);
        self.later_read();
    }

    /// Has the operator take a data centre back.
    pub(crate) fn take_back(&mut self, data_centre: &str) {
        self.evacuated.remove(&DataCentre::from(data_centre));
        self.later_read();
    }

    /// Has the operator evacuate these data centres alone; the nodes read that at once.
    pub(crate) fn evacuate_only(&mut self, data_centres: &[&'static str]) {
        let now = self.now;
        let data_centres = data_centres.iter().copied().map(DataCentre::from);
        self.evacuated = data_centres.map(|name| (name, now)).collect();
        self.read_operator();
    }

    /// Returns the tasks that run in a data centre.
    pub(crate) fn tasks_in(&self, data_centre: &str) -> Vec<TaskId> {
        let data_centre = DataCentre::from(data_centre);
        let there = self.workers.values();
        let there = there.filter(|worker| worker.data_centre() == data_centre);
        there.flat_map(Worker::tasks).collect()
    }

    pub(super) fn take_all_back(&mut self) {
        self.evacuated.clear();
        self.later_read();
    }

    fn later_read(&mut self) {
        let span = READ_WITHIN.mul_f64(self.rng.random_range(0.0..1.0));
        self.later(span, Event::OperatorRead);
    }

    /// Has the nodes read which data centres are evacuated, and the owner be told, while the store is there.
    pub(super) fn read_operator(&mut self) {
        if self.now < self.store_back || self.is_operator_away {
            return;
        }
        let evacuation = self.evacuated.keys().cloned().collect();
        self.evacuation = (evacuation, self.now);
        self.tell_evacuation();
    }

    /// Tells the owner what the nodes have read last.
    pub(super) fn tell_evacuation(&mut self) {
        let (evacuation, read) = self.evacuation.clone();
        self.told = Some(evacuation.clone());
        self.engine.evacuate(evacuation, read, self.now);
    }

    /// Forgets what the owner was told: there is another one.
    pub(super) fn forget_told(&mut self) {
        self.told = None;
    }

    pub(super) fn evacuate_by_chance(&mut self) {
        for data_centre in DATA_CENTRES {
            if !self.chance(self.faults.evacuations) {
                continue;
            }
            match self.evacuated.contains_key(&DataCentre::from(data_centre)) {
                true => self.take_back(data_centre),
                false => self.evacuate(data_centre),
            }
        }
    }

    fn is_told_evacuated(&self, worker: &WorkerId) -> bool {
        let told = self.told.as_ref();
        let worker = self.workers.get(worker);
        told.zip(worker)
            .is_some_and(|(told, worker)| told.covers(Some(&worker.data_centre())))
    }

    /// Checks that no order to start leaves for an evacuated data centre, or before the owner knows of any.
    pub(super) fn check_leaves(&mut self, order: &Start) {
        let at = format!("{} on {}", order.task, order.to.worker);
        if self.told.is_none() {
            let line = format!("{at}: leaves before the owner knows what is evacuated");
            self.violations.push(line);
        }
        if self.is_told_evacuated(&order.to.worker) {
            let line = format!("{at}: leaves for an evacuated data centre");
            self.violations.push(line);
        }
    }

    /// Checks that nobody is asked about workers in evacuated data centres.
    pub(super) fn check_asked(&mut self, workers: &[WorkerId]) {
        let asked = workers.iter().find(|worker| self.is_told_evacuated(worker));
        if let Some(worker) = asked {
            let line = format!("{worker} is asked about, in an evacuated data centre");
            self.violations.push(line);
        }
    }

    /// Checks that a start comes within the time that is allowed for one after an evacuation.
    pub(super) fn check_evacuated(&mut self, order: &Start, is_in_time: bool) {
        let worker = self.workers.get(&order.to.worker);
        let since = worker.and_then(|worker| self.evacuated.get(&worker.data_centre()));
        let is_late = since.is_some_and(|since| *since + EVACUATE < self.now);
        // Nothing can be done about an order that is carried out late.
        if is_in_time && is_late {
            let line = format!("{} on {}: was evacuated", order.task, order.to.worker);
            self.violations.push(line);
        }
    }
}
