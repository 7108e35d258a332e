//! Two plain schedulers to compare with.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use fulmarpier_state::{
    engine::{
        Effect,
        Outcome, //
    },
    id::{
        Attempt,
        JobId,
        TaskId,
        WorkerId, //
    },
    job::{
        Kind,
        Spec, //
    },
    resource::Resources,
};

/// How a baseline chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// Strictly in order of arrival, on the first worker with room.
    FifoFirstFit,
    /// Whatever fits in order of arrival, on the worker with the least left over.
    BestFit,
}

/// A scheduler without classes, shares, deadlines and reservations.
pub(crate) struct Baseline {
    rule: Rule,
    capacity: Resources,
    free: BTreeMap<WorkerId, Resources>,
    queue: VecDeque<(JobId, Spec, u32)>,
    specs: BTreeMap<JobId, (Resources, u32)>,
}

impl Baseline {
    pub(crate) fn new(rule: Rule, workers: u32, capacity: Resources) -> Self {
        let free = (0..workers).map(|id| (WorkerId(id), capacity)).collect();
        Self {
            rule,
            capacity,
            free,
            queue: VecDeque::new(),
            specs: BTreeMap::new(),
        }
    }

    pub(crate) fn submit(&mut self, id: JobId, spec: Spec) {
        self.specs.insert(id, (spec.size, spec.tasks));
        self.queue.push_back((id, spec, 0));
    }

    pub(crate) fn ended(&mut self, task: TaskId, worker: WorkerId) -> Vec<Effect> {
        let Some((size, left)) = self.specs.get_mut(&task.job) else {
            return Vec::new();
        };
        if let Some(free) = self.free.get_mut(&worker) {
            *free = free.checked_add(*size).expect("it was taken before");
        }
        *left -= 1;
        if *left > 0 {
            return Vec::new();
        }
        let outcome = Outcome::Succeeded;
        let job = task.job;
        vec![Effect::JobEnded { job, outcome }]
    }

    pub(crate) fn used(&self) -> usize {
        let used = self.free.values().filter(|free| **free != self.capacity);
        used.count()
    }

    pub(crate) fn decide(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut queue = std::mem::take(&mut self.queue);
        let mut least: Option<Resources> = None;
        while let Some((id, spec, next)) = queue.pop_front() {
            // What is no smaller than a size that fitted nowhere fits nowhere either.
            let hopeless = least.is_some_and(|least| least.fits(&spec.size));
            let next = match hopeless {
                true => next,
                false => self.place(id, &spec, next, &mut effects),
            };
            if next == spec.tasks {
                continue;
            }
            if spec.kind != Kind::Gang && least.is_none_or(|least| spec.size.fits(&least)) {
                least = Some(spec.size);
            }
            self.queue.push_back((id, spec, next));
            if self.rule == Rule::FifoFirstFit {
                break;
            }
        }
        self.queue.append(&mut queue);
        effects
    }

    fn place(&mut self, id: JobId, spec: &Spec, from: u32, effects: &mut Vec<Effect>) -> u32 {
        let mut chosen = Vec::new();
        for _ in from..spec.tasks {
            let Some(worker) = self.find(&spec.size) else {
                break;
            };
            self.take(worker, spec.size);
            chosen.push(worker);
        }
        let whole = chosen.len() == (spec.tasks - from) as usize;
        if spec.kind == Kind::Gang && !whole {
            for worker in chosen {
                let free = self.free.get_mut(&worker).expect("it was taken before");
                *free = free.checked_add(spec.size).expect("it was taken before");
            }
            return from;
        }
        let mut next = from;
        for worker in chosen {
            let task = TaskId::new(id, next);
            let size = spec.size;
            let attempt = Attempt(1);
            next += 1;
            effects.push(Effect::Start {
                task,
                attempt,
                worker,
                size,
            });
        }
        next
    }

    fn find(&self, size: &Resources) -> Option<WorkerId> {
        let mut fitting = self.free.iter().filter(|(_, free)| size.fits(free));
        let found = match self.rule {
            Rule::FifoFirstFit => fitting.next(),
            Rule::BestFit => fitting.min_by_key(|(id, free)| (free.cpu, free.memory, **id)),
        };
        found.map(|(id, _)| *id)
    }

    fn take(&mut self, worker: WorkerId, size: Resources) {
        if let Some(free) = self.free.get_mut(&worker) {
            *free = free.checked_sub(size).expect("it fits");
        }
    }
}
