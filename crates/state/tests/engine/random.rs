//! Random histories of events against the invariants.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::support::{
    at,
    batch,
    cell,
    gang,
    job_id,
    service,
    worker, //
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::{
        Act,
        Cause,
        Effect,
        End,
        Engine, //
    },
    id::{
        Attempt,
        JobId,
        TaskId,
        WorkerId, //
    },
    job::{
        Priority,
        Spec, //
    },
    quota::Limit,
    worker::Condition,
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

const CASES: u32 = 400;
/// The histories are the same on every run.
const SEED: u64 = 17;
const WORKERS: u32 = 6;
const CORES: u32 = 8;

/// One event of a history; numbers pick among what there is.
#[derive(Clone, Debug)]
enum Event {
    Submit {
        kind: u8,
        tasks: u32,
        size: u32,
        flags: u8,
    },
    Cancel(usize),
    Decide(u64),
    Started(usize),
    NotRun(usize, u8),
    Lost(usize),
    Ended(usize, u8),
    Act(usize),
    WorkerLost(u32),
    WorkerBack(u32),
    Condition(u32, u8),
    Resize(usize, u32),
    Quota(u32),
    Hold(u64, u32, u32),
    Unhold(u64),
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let submit = (0..5u8, 1..6u32, 1..9u32, any::<u8>());
    prop_oneof![
        4 => submit.prop_map(|(kind, tasks, size, flags)| Event::Submit { kind, tasks, size, flags }),
        1 => any::<usize>().prop_map(Event::Cancel),
        8 => (0..20_000u64).prop_map(Event::Decide),
        8 => any::<usize>().prop_map(Event::Started),
        2 => (any::<usize>(), any::<u8>()).prop_map(|(i, n)| Event::NotRun(i, n)),
        1 => any::<usize>().prop_map(Event::Lost),
        6 => (any::<usize>(), 0..4u8).prop_map(|(i, n)| Event::Ended(i, n)),
        3 => any::<usize>().prop_map(Event::Act),
        1 => (0..WORKERS).prop_map(Event::WorkerLost),
        2 => (0..WORKERS).prop_map(Event::WorkerBack),
        1 => (0..WORKERS, 0..3u8).prop_map(|(w, n)| Event::Condition(w, n)),
        1 => (any::<usize>(), 1..6u32).prop_map(|(i, n)| Event::Resize(i, n)),
        1 => (4..48u32).prop_map(Event::Quota),
        1 => (0..3u64, 1..4u32, 1..4u32).prop_map(|(h, n, s)| Event::Hold(h, n, s)),
        1 => (0..3u64).prop_map(Event::Unhold),
        1 => Just(Event::Restart),
    ]
}

/// What a fleet of workers knows, as the other side of the engine's effects.
struct World {
    engine: Engine,
    now: Timestamp,
    jobs: Vec<JobId>,
    live: BTreeMap<(TaskId, Attempt), (WorkerId, bool)>,
    acts: Vec<(TaskId, Attempt, WorkerId, Act)>,
    specs: BTreeMap<JobId, Spec>,
    starts: BTreeMap<TaskId, u32>,
}

impl World {
    fn new() -> Self {
        Self {
            engine: cell(WORKERS, CORES),
            now: at(1),
            jobs: Vec::new(),
            live: BTreeMap::new(),
            acts: Vec::new(),
            specs: BTreeMap::new(),
            starts: BTreeMap::new(),
        }
    }

    fn pick(&self, index: usize) -> Option<(TaskId, Attempt, WorkerId)> {
        let count = self.live.len();
        let nth = self.live.iter().nth(index.checked_rem(count)?)?;
        Some((nth.0.0, nth.0.1, nth.1.0))
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start {
                    task,
                    attempt,
                    worker,
                    ..
                } => self.start(task, attempt, worker),
                Effect::Act {
                    task,
                    attempt,
                    worker,
                    act,
                } => self.acts.push((task, attempt, worker, act)),
                _ => {}
            }
        }
    }

    fn start(&mut self, task: TaskId, attempt: Attempt, worker: WorkerId) {
        let twice = self.live.keys().any(|(live, _)| *live == task);
        assert!(!twice, "{task} was started while it may run");
        self.live.insert((task, attempt), (worker, false));
        let count = self.starts.entry(task).or_default();
        *count += 1;
        let spec = &self.specs[&task.job];
        let service = matches!(spec.kind, fulmarpier_state::job::Kind::Service { .. });
        assert!(
            spec.idempotent || service || *count == 1,
            "{task} is not idempotent and was started {count} times"
        );
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        let effects = match event {
            Event::Submit {
                kind,
                tasks,
                size,
                flags,
            } => self.submit(kind, tasks, size, flags),
            Event::Cancel(index) => match index.checked_rem(self.jobs.len()) {
                Some(index) => self
                    .engine
                    .cancel(self.jobs[index], now)
                    .unwrap_or_default(),
                None => Vec::new(),
            },
            Event::Decide(millis) => {
                self.now = now + Duration::from_millis(millis);
                self.engine.decide(self.now, 50)
            }
            Event::Started(index) => self.started(index),
            Event::NotRun(index, cause) => self.not_run(index, cause),
            Event::Lost(index) => match self.pick(index) {
                Some((task, attempt, worker)) => self.engine.suspect(task, attempt, worker),
                None => Vec::new(),
            },
            Event::Ended(index, end) => self.ended(index, end),
            Event::Act(index) => self.obey(index),
            Event::WorkerLost(number) => self.lose(WorkerId(number)),
            Event::WorkerBack(number) => {
                let worker = worker(number, CORES);
                let mut effects = self.engine.upsert_worker(worker, now);
                let open = Condition::Open;
                effects.extend(self.engine.set_condition(WorkerId(number), open, now));
                effects
            }
            Event::Condition(number, condition) => {
                let condition = match condition {
                    0 => Condition::Leaving,
                    1 => Condition::Quarantined,
                    _ => Condition::Open,
                };
                self.engine.set_condition(WorkerId(number), condition, now)
            }
            Event::Resize(index, size) => match index.checked_rem(self.jobs.len()) {
                Some(index) => self
                    .engine
                    .set_service_size(self.jobs[index], size, now)
                    .unwrap_or_default(),
                None => Vec::new(),
            },
            Event::Quota(size) => {
                let limit = Limit {
                    resources: Some(crate::support::cores(size)),
                    ..Limit::default()
                };
                let team = "manifest".parse().expect("a valid name");
                self.engine.set_quota(&team, limit);
                Vec::new()
            }
            Event::Hold(id, count, size) => {
                let expiry = now + Duration::from_secs(5);
                let size = crate::support::cores(size);
                self.engine.hold(id, size, count, expiry, now);
                Vec::new()
            }
            Event::Unhold(id) => {
                self.engine.release_hold(id, now);
                Vec::new()
            }
            Event::Restart => self.restart(),
        };
        self.carry_out(effects);
        self.engine.audit().expect("the invariants hold");
    }

    fn submit(&mut self, kind: u8, tasks: u32, size: u32, flags: u8) -> Vec<Effect> {
        let mut spec = match kind {
            0 => gang(tasks, size),
            1 => service(tasks, size),
            _ => batch(tasks, size),
        };
        spec.idempotent = flags & 1 == 0;
        spec.checkpoint = flags & 2 == 0;
        spec.priority = match flags >> 2 & 3 {
            0 => Priority::Urgent,
            1 => Priority::Low,
            _ => Priority::Normal,
        };
        if self.engine.check(&spec, self.now).is_ok() {
            let id = job_id(u32::try_from(self.jobs.len()).expect("few jobs") + 1);
            self.specs.insert(id, spec.clone());
            self.jobs.push(id);
            self.engine.submit(id, spec, self.now);
        }
        Vec::new()
    }

    fn started(&mut self, index: usize) -> Vec<Effect> {
        let Some((task, attempt, worker)) = self.pick(index) else {
            return Vec::new();
        };
        self.live.insert((task, attempt), (worker, true));
        self.engine.started(task, attempt, worker, self.now)
    }

    fn not_run(&mut self, index: usize, cause: u8) -> Vec<Effect> {
        let Some((task, attempt, worker)) = self.pick(index) else {
            return Vec::new();
        };
        if self.live[&(task, attempt)].1 {
            return Vec::new();
        }
        let cause = match cause % 3 {
            0 => Cause::Failed,
            1 => Cause::Late,
            _ => Cause::Full,
        };
        self.live.remove(&(task, attempt));
        // It certainly did not run, so its start does not count.
        *self.starts.entry(task).or_default() -= 1;
        self.engine.not_run(task, attempt, worker, cause, self.now)
    }

    fn ended(&mut self, index: usize, end: u8) -> Vec<Effect> {
        let Some((task, attempt, worker)) = self.pick(index) else {
            return Vec::new();
        };
        let end = match end {
            0 => End::Failed,
            1 => End::Lapsed,
            _ => End::Succeeded,
        };
        self.live.remove(&(task, attempt));
        let age = Duration::from_secs(3);
        self.engine.ended(task, attempt, worker, end, age, self.now)
    }

    fn obey(&mut self, index: usize) -> Vec<Effect> {
        let Some(index) = index.checked_rem(self.acts.len()) else {
            return Vec::new();
        };
        let (task, attempt, worker, act) = self.acts.swap_remove(index);
        if self.live.remove(&(task, attempt)).is_none() {
            return Vec::new();
        }
        let end = match act {
            Act::Checkpoint => End::Checkpointed,
            _ => End::Stopped,
        };
        let age = Duration::from_secs(3);
        self.engine.ended(task, attempt, worker, end, age, self.now)
    }

    fn lose(&mut self, worker: WorkerId) -> Vec<Effect> {
        self.live.retain(|_, (at, _)| *at != worker);
        self.engine.worker_lost(worker, self.now)
    }

    /// Replaces the engine by one made from its snapshot and the inventories of the workers.
    fn restart(&mut self) -> Vec<Effect> {
        let image = self.engine.export();
        let mut engine = Engine::new(self.engine.shard(), self.engine.policy().clone());
        engine.import(image, self.now);
        for number in 0..WORKERS {
            engine.upsert_worker(worker(number, CORES), self.now);
        }
        let mut effects = Vec::new();
        for ((task, attempt), (worker, _)) in &self.live {
            let size = self.specs[&task.job].size;
            let age = Duration::from_secs(1);
            let adopted = engine.adopt(*task, *attempt, *worker, size, age, self.now);
            effects.extend(adopted.expect("nothing runs twice"));
        }
        self.engine = engine;
        effects
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_after_every_event(events in prop::collection::vec(event(), 1..120)) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
        }
    }
}
