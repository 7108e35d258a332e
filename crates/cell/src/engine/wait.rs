//! Why open steps wait: told when the reason changes, and steps that no worker can run are set aside.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    unit::Millicores, //
};

use super::{
    Engine,
    place::{
        Demand,
        room_for, //
    },
};
use crate::{
    config::Queue,
    effect::Note,
    id::StepId,
    job::{
        Spec,
        Step, //
    },
    worker::Worker,
};

/// How often the reason why a step waits is looked for, and after how long for the first time: most steps are
/// asked about and placed before, and a look takes in every worker.
const LOOK: Duration = Duration::from_secs(1);

/// Why tasks of a step whose turn has come don't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// No worker of its pool has the label that it requires.
    Label,
    /// No worker of its pool that has the label is large enough, even with nothing on it.
    Size,
    /// None of the workers that could run it takes tasks: they are silent, leaving or not heard of yet.
    Closed,
    /// The workers that could run it stand in data centres that are evacuated.
    Evacuated,
    /// It is not known of late which data centres are evacuated.
    Evacuation,
    /// It waits for a node that is free to ask which workers may run it.
    Desk,
    /// The advice service has been asked.
    Advice,
    /// None of the workers that were asked about may run it.
    Barred,
    /// The workers that may run it have no room.
    Room,
    /// There is room, but the tickets for it have run out.
    Ticket,
    /// Workers have gone down under it, and none is empty for it alone.
    Alone,
    /// There is room, but too little for a whole gang, or it is kept for another step.
    Kept,
    /// Its workspace has as much running as it may, or what is left of that waits for a step that comes before it.
    Limit,
}

impl Wait {
    /// Returns the bare word, for logs and counters.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Label => "label",
            Self::Size => "size",
            Self::Closed => "closed",
            Self::Evacuated => "evacuated",
            Self::Evacuation => "evacuation-unknown",
            Self::Desk => "desk",
            Self::Advice => "advice",
            Self::Barred => "barred",
            Self::Room => "room",
            Self::Ticket => "ticket",
            Self::Alone => "alone",
            Self::Kept => "kept",
            Self::Limit => "limit",
        }
    }
}

/// What a step asks for that no worker offers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Lack {
    /// No worker of the pool has the label.
    #[error("no worker has the label `{0}`")]
    Label(Arc<str>),
    /// No worker of the pool that has the label is large enough.
    #[error("no worker is large enough for a task of step {0}")]
    Size(usize),
}

/// What was found of the workers when the reason was looked for, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Survey {
    /// Workers that were asked about.
    pub named: usize,
    /// Workers that have the label, are large enough and may run the step, as far as that is known.
    pub allowed: usize,
    /// Those of them that take tasks.
    pub open: usize,
    /// How many of its tasks fit on these.
    pub room: usize,
    /// How many fit where the ticket can be used as well.
    pub ticketed: usize,
    /// How long ago the one of them was heard that has been silent for longest.
    pub heard: Option<Duration>,
}

/// Returns whether a worker could run tasks of a step if nothing else ran on it.
fn is_suited(step: &Step, queue: &Queue, worker: &Worker) -> bool {
    has_label(step, queue, worker)
        && super::place::worker_share(step).fits(&worker.registration.capacity)
}

fn has_label(step: &Step, queue: &Queue, worker: &Worker) -> bool {
    let label = step.requires.as_deref();
    worker.registration.pool == queue.pool && label.is_none_or(|label| worker.has_label(label))
}

impl From<&Lack> for Wait {
    fn from(lack: &Lack) -> Self {
        match lack {
            Lack::Label(_) => Self::Label,
            Lack::Size(_) => Self::Size,
        }
    }
}

impl Engine {
    /// Returns what a job would ask for that no known worker of its queue's pool offers, whatever runs there.
    ///
    /// `None` where none of the pool is known: nothing can be said then.
    pub fn lack(&self, queue: &Queue, spec: &Spec) -> Option<Lack> {
        let mut steps = spec.steps.iter().enumerate();
        steps.find_map(|(index, step)| self.lack_of(step, index, queue))
    }

    fn lack_of(&self, step: &Step, index: usize, queue: &Queue) -> Option<Lack> {
        if self.rooms.members(&queue.pool) == 0 {
            return None;
        }
        let mut workers = self.workers.values();
        if workers.any(|worker| is_suited(step, queue, worker)) {
            return None;
        }
        let mut workers = self.workers.values();
        let label = step.requires.as_ref();
        let is_missing = !workers.any(|worker| has_label(step, queue, worker));
        Some(match label.filter(|_| is_missing) {
            Some(label) => Lack::Label(label.clone()),
            None => Lack::Size(index),
        })
    }

    /// Sets a step aside that no known worker could run, and returns whether it did.
    ///
    /// It comes back when a worker is listed or has changed. Left among the open steps, those that can't run
    /// take the looks of a pass from those that can: behind 400 of them, 40 quick jobs on idle workers were not
    /// done after 30 s, and are after 6 s now (virtual time, 8 workers).
    pub(super) fn set_aside(&mut self, id: StepId, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(demand) = self.demand(job, id) else {
            return false;
        };
        let index = usize::from(id.step);
        let Some(lack) = self.lack_of(demand.step, index, demand.queue) else {
            return false;
        };
        self.agenda.remove(id);
        self.aside.insert(id);
        self.tell_wait(id, Wait::from(&lack), Survey::default(), now);
        true
    }

    /// Opens the steps that were set aside: other workers may run them now.
    pub(super) fn take_up(&mut self) {
        for id in std::mem::take(&mut self.aside) {
            let job = self.jobs.get(&id.job).filter(|job| !job.is_over());
            let stage = job.and_then(|job| job.stage(id));
            if stage.is_some_and(|stage| !stage.waiting.is_empty()) {
                self.agenda.insert(id);
                self.is_stirred = true;
            }
        }
    }

    /// Looks for the reason why a step waits, from time to time, and tells it where it has changed.
    pub(super) fn explain_wait(&mut self, id: StepId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return;
        };
        if self.is_explained(id, now) {
            return;
        }
        let survey = self.survey(&demand, now);
        let is_asked = demand.queue.advice.is_none() || stage.advice.is_answered;
        let why = match survey {
            _ if !is_asked && stage.advice.asking > 0 => Wait::Advice,
            _ if !is_asked && self.has_open(&demand, now) => Wait::Desk,
            Survey { open: 0, .. } if self.is_pool_evacuated(&demand) => Wait::Evacuated,
            Survey { allowed: 0, .. } if is_asked => Wait::Barred,
            Survey { open: 0, .. } => Wait::Closed,
            _ if stage.are_suspects() => Wait::Alone,
            Survey { room: 0, .. } => Wait::Room,
            Survey { ticketed: 0, .. } => Wait::Ticket,
            _ => Wait::Kept,
        };
        self.tell_wait(id, why, survey, now);
    }

    /// Tells for what a step waits where no worker has to be looked at for that.
    pub(super) fn explain(&mut self, id: StepId, why: Wait, now: Timestamp) {
        if !self.is_explained(id, now) {
            self.tell_wait(id, why, Survey::default(), now);
        }
    }

    /// Returns whether the reason why a step waits was looked for of late.
    pub(super) fn is_explained(&self, id: StepId, now: Timestamp) -> bool {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        stage.is_none_or(|stage| {
            let opened = stage.opened.unwrap_or(now);
            now < stage.explained.max(opened) + LOOK
        })
    }

    /// Returns whether any worker takes tasks of a step, room and advice aside.
    fn has_open(&self, demand: &Demand<'_>, now: Timestamp) -> bool {
        let slots = self.rooms.from(&demand.queue.pool, Millicores(0));
        let mut workers = slots.filter_map(|slot| self.workers.get(&slot));
        workers.any(|worker| demand.admits(worker, now))
    }

    fn survey(&self, demand: &Demand<'_>, now: Timestamp) -> Survey {
        let mut survey = Survey::default();
        let stage = self.jobs.get(&demand.id.job);
        let Some(stage) = stage.and_then(|job| job.stage(demand.id)) else {
            return survey;
        };
        survey.named = stage.advice.named.len();
        let is_free = demand.queue.advice.is_none();
        let leaves = self.leaves(now);
        let has_ticket =
            |slot, worker| is_free || stage.advice.ticket(slot, worker, leaves).is_some();
        for (slot, worker) in self.candidates(demand, stage) {
            if !is_suited(demand.step, demand.queue, worker) {
                continue;
            }
            survey.allowed += 1;
            survey.heard = survey.heard.max(worker.heard.map(|heard| now.since(heard)));
            if !worker.is_open(now) {
                continue;
            }
            survey.open += 1;
            let room = room_for(&worker.free, &demand.size);
            survey.room += room;
            survey.ticketed += if has_ticket(slot, worker) { room } else { 0 };
        }
        survey
    }

    pub(super) fn tell_wait(&mut self, id: StepId, why: Wait, survey: Survey, now: Timestamp) {
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        let Some(stage) = stage else {
            return;
        };
        stage.explained = now;
        if stage.wait.replace(why) == Some(why) {
            return;
        }
        let tasks = stage.waiting.len();
        let waited = stage.opened.map(|opened| now.since(opened));
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let label = step.and_then(|step| step.requires.clone());
        self.note(Note::Waits {
            step: id,
            why,
            label,
            tasks,
            survey,
            waited: waited.unwrap_or_default(),
        });
    }
}
